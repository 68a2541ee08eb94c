package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// 300 balancers share a store that each set-up has to call, in turn, 200 a second. 700 clients come back within a second
// and a half. Danger: given up at the class's aim, an attempt is still done by the store, which from then on does nothing
// else. The siblings talk to nobody; each sees three of them.
func TestManyDoNotChokeAStoreThatAllShare(t *testing.T) {
	const clients, rate, end = 700, 200, 7 * time.Second
	type attempt struct {
		b    *sibling
		id   string
		over bool // given up, or at its end
	}
	all, rng := siblings(300, 0, fleet(90)), rand.New(rand.NewPCG(1, 2))
	due, out, queue, stand := map[time.Duration][]func(now time.Duration){}, map[string]*attempt{}, []*attempt{}, 0
	clock := t0
	at := func(at time.Duration, do func(now time.Duration)) {
		at = max((at+5*ms-1)/(5*ms)*(5*ms), clock+5*ms)
		due[at] = append(due[at], do)
	}
	var come func(b *sibling, client, tries int) func(now time.Duration)
	act := func(b *sibling, now time.Duration) {
		for len(b.host.actions) > 0 {
			acts := b.host.actions
			b.host.actions = nil
			for _, a := range acts {
				switch a.name {
				case "send":
					x := &attempt{b: b, id: a.request}
					out[a.request], queue = x, append(queue, x)
					at(now+a.d, func(now time.Duration) {
						if !x.over {
							x.over = true
							b.Outcome(now, x.id, Timeout, false)
						}
					})
				case "refuse":
					var client, tries int
					_, _ = fmt.Sscanf(a.request, "c%d-%d", &client, &tries)
					at(now+min(a.d, 2*time.Second), come(all[rng.IntN(len(all))], client, tries+1))
				case "wake":
					if a.timer == timerWaiting {
						at(a.d, func(now time.Duration) { b.Wake(now, timerWaiting) })
					}
				}
			}
		}
	}
	come = func(b *sibling, client, tries int) func(now time.Duration) {
		return func(now time.Duration) {
			q := req(fmt.Sprintf("c%d-%d", client, tries), uint64(client/5))
			q.TTL = 4800 * ms
			b.Request(now, q)
		}
	}
	for i := range clients {
		at(t0+time.Duration(rng.IntN(1500))*ms, come(all[rng.IntN(len(all))], i, 0))
	}
	for now := t0; now < t0+end; now += 5 * ms {
		clock = now
		for _, do := range due[now] {
			do(now)
		}
		for range rate / 200 { // one each 5 ms, wanted still or not
			if len(queue) > 0 {
				if x := queue[0]; !x.over {
					x.over = true
					stand++
					x.b.ConnectionEstablished(now, x.id)
				}
				queue = queue[1:]
			}
		}
		for _, b := range all {
			act(b, now)
		}
	}
	if stand < clients*19/20 {
		t.Errorf("%d of %d stand after %v, at a store that does %d a second", stand, clients, end, rate)
	}
}

// Of a key's two top servers one of many takes the one that reports less, and of two alike the one in its own zone; a few
// go by their own connections.
func TestOneOfManyGoesByReportsAndRoom(t *testing.T) {
	servers := fleet(10)
	for i := range servers {
		servers[i].Zone = []string{"here", "there"}[i%2]
	}
	for _, c := range []struct {
		n    int
		load [2]float64 // of the top two
		want int        // which of them, always; -1 for either
	}{{80, [2]float64{0.3, 0.1}, 1}, {80, [2]float64{0.1, 0.3}, 0}, {3, [2]float64{0.3, 0.1}, 0}} {
		for i, b := range asking(c.n, servers)[:3] {
			b.settings.Zone, b.settings.CrossZoneCost = "here", 0
			key := uint64(100 + i)
			for j, id := range ids(b.Balancer, key) {
				b.ProbeResult(t0, id, Report{Answered: true, Load: c.load[min(j, 1)]})
			}
			b.rng = rand.New(rand.NewPCG(uint64(i), 7))
			q := req("r", key)
			b.keyCounts[carpHash(fmt.Sprint(key))], b.totalKeyCount = 0, 400 // no popular key
			top := ids(b.Balancer, key)
			b.Request(t0, q)
			if sends := b.host.take("send"); len(sends) == 1 && sends[0].server != top[c.want] && sends[0].server == top[1-c.want] {
				t.Errorf("%+v: sent to the other of the two", c)
			}
		}
	}
	sent := map[string]int{}
	for i, b := range asking(80, servers)[:60] {
		b.settings.Zone, b.settings.CrossZoneCost, b.totalKeyCount = "here", 0.1, 400
		for _, id := range ids(b.Balancer, uint64(i)) {
			b.ProbeResult(t0, id, Report{Answered: true})
		}
		top := ids(b.Balancer, uint64(i))[:2]
		b.Request(t0, req("r", uint64(i)))
		zones := b.servers[top[0]].Zone + b.servers[top[1]].Zone
		for _, a := range b.host.take("send") {
			sent[zones+" "+b.servers[a.server].Zone]++
		}
	}
	if sent["herethere there"]+sent["therehere there"] > 0 || sent["herethere here"]+sent["therehere here"] < 10 {
		t.Errorf("where one of the two is here: %v", sent)
	}
}

// Two set-ups that fail in a row close the door of one of many by half, each further one again, and one that stands opens it
// by as much; a few wait for the fourth, and one that stands clears all.
func TestTheDoorOfManyClosesAndOpensByHalf(t *testing.T) {
	for _, c := range []struct {
		n    int
		shut float64 // the chance to be refused after three failures
		left int     // of them, after a set-up that stands
	}{{300, 0.75, 1}, {3, 0, 0}} {
		b := siblings(c.n, 0, fleet(90))[0]
		for i := range 3 {
			q := req(fmt.Sprint("r", i), uint64(i))
			b.setupFailures = 0 // let in
			b.Request(t0, q)
			b.setupFailures = i
			b.Outcome(t0, q.ID, Timeout, true)
		}
		if b.setupFailures != 3 || b.shedProbability() != c.shut {
			t.Errorf("%d balancers: %d failures, refused by %v, want %v", c.n, b.setupFailures, b.shedProbability(), c.shut)
		}
		b = siblings(c.n, 0, fleet(90))[0]
		b.Request(t0, req("last", 9))
		b.setupFailures = 3
		b.ConnectionEstablished(t0, "last")
		if b.setupFailures != c.left {
			t.Errorf("%d balancers: %d failures left, want %d", c.n, b.setupFailures, c.left)
		}
	}
}
