package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// 300 balancers, without messages between them, share a store that serves each set-up in turn, 200 per second, and 700
// clients reconnect within one and a half seconds. Each balancer sees about three of them. If attempts were given up at
// the set-up target, the store would still do their work and from then on nothing else.
func TestLargeFleetDoesNotOverloadASharedStore(t *testing.T) {
	const clients, rate, end = 700, 200, 7 * time.Second
	type attempt struct {
		b     *sibling
		id    string
		ended bool // given up or completed
	}
	all, rng := newSiblings(300, 0, fleet(90)), rand.New(rand.NewPCG(1, 2))
	scheduled, inFlight, queue, established := map[time.Duration][]func(now time.Duration){}, map[string]*attempt{}, []*attempt{}, 0
	clock := t0
	at := func(at time.Duration, do func(now time.Duration)) {
		at = max((at+5*ms-1)/(5*ms)*(5*ms), clock+5*ms)
		scheduled[at] = append(scheduled[at], do)
	}
	var arrive func(b *sibling, client, tries int) func(now time.Duration)
	act := func(b *sibling, now time.Duration) {
		for len(b.host.actions) > 0 {
			acts := b.host.actions
			b.host.actions = nil
			for _, a := range acts {
				switch a.name {
				case "send":
					x := &attempt{b: b, id: a.request}
					inFlight[a.request], queue = x, append(queue, x)
					at(now+a.duration, func(now time.Duration) {
						if !x.ended {
							x.ended = true
							b.Outcome(now, x.id, Timeout, false)
						}
					})
				case "refuse":
					var client, tries int
					_, _ = fmt.Sscanf(a.request, "c%d-%d", &client, &tries)
					at(now+min(a.duration, 2*time.Second), arrive(all[rng.IntN(len(all))], client, tries+1))
				case "wake":
					if a.timer == timerWaiting {
						at(a.duration, func(now time.Duration) { b.Wake(now, timerWaiting) })
					}
				}
			}
		}
	}
	arrive = func(b *sibling, client, tries int) func(now time.Duration) {
		return func(now time.Duration) {
			q := newRequest(fmt.Sprintf("c%d-%d", client, tries), uint64(client/5))
			q.TTL = 4800 * ms
			b.Request(now, q)
		}
	}
	for i := range clients {
		at(t0+time.Duration(rng.IntN(1500))*ms, arrive(all[rng.IntN(len(all))], i, 0))
	}
	for now := t0; now < t0+end; now += 5 * ms {
		clock = now
		for _, do := range scheduled[now] {
			do(now)
		}
		for range rate / 200 { // one every 5 ms, whether still wanted or not
			if len(queue) > 0 {
				if x := queue[0]; !x.ended {
					x.ended = true
					established++
					x.b.ConnectionEstablished(now, x.id)
				}
				queue = queue[1:]
			}
		}
		for _, b := range all {
			act(b, now)
		}
	}
	if established < clients*19/20 {
		t.Errorf("%d of %d established after %v, with a store that serves %d per second", established, clients, end, rate)
	}
}

// Of the two top servers of a key, a balancer of a large fleet takes the one that reports less load, and at equal loads
// the one in its own zone. One of a small fleet goes by its own connections.
func TestLargeFleetPlacesByReportsAndZone(t *testing.T) {
	servers := fleet(10)
	for i := range servers {
		servers[i].Zone = []string{"here", "there"}[i%2]
	}
	for _, c := range []struct {
		n    int
		load [2]float64 // reported by the two top servers
		want int        // index of the server that must not be passed over for the other
	}{{80, [2]float64{0.3, 0.1}, 1}, {80, [2]float64{0.1, 0.3}, 0}, {3, [2]float64{0.3, 0.1}, 0}} {
		for i, b := range newProbingSiblings(c.n, servers)[:3] {
			b.settings.Zone, b.settings.CrossZoneCost = "here", 0
			key := uint64(100 + i)
			for j, id := range rankedIDs(b.Balancer, key) {
				b.ProbeResult(t0, id, Report{Answered: true, Load: c.load[min(j, 1)]})
			}
			b.rng = rand.New(rand.NewPCG(uint64(i), 7))
			q := newRequest("r", key)
			b.keyCounts[carpHash(fmt.Sprint(key))], b.totalKeyCount = 0, 400 // the key is not popular
			top := rankedIDs(b.Balancer, key)
			b.Request(t0, q)
			if sends := b.host.take("send"); len(sends) == 1 && sends[0].server != top[c.want] && sends[0].server == top[1-c.want] {
				t.Errorf("%+v: sent to the other of the two top servers", c)
			}
		}
	}
	sent := map[string]int{}
	for i, b := range newProbingSiblings(80, servers)[:60] {
		b.settings.Zone, b.settings.CrossZoneCost, b.totalKeyCount = "here", 0.1, 400
		for _, id := range rankedIDs(b.Balancer, uint64(i)) {
			b.ProbeResult(t0, id, Report{Answered: true})
		}
		top := rankedIDs(b.Balancer, uint64(i))[:2]
		b.Request(t0, newRequest("r", uint64(i)))
		zones := b.servers[top[0]].Zone + b.servers[top[1]].Zone
		for _, a := range b.host.take("send") {
			sent[zones+" "+b.servers[a.server].Zone]++
		}
	}
	if sent["herethere there"]+sent["therehere there"] > 0 || sent["herethere here"]+sent["therehere here"] < 10 {
		t.Errorf("requests by the zones of the two top servers and the zone used: %v", sent)
	}
}

// In a large fleet two failed set-ups in a row shed half of the requests and each further failure half of the rest; an
// established connection halves the count of failures. In a small fleet shedding starts with the fourth failure, and an
// established connection ends it.
func TestSheddingAfterFailedSetups(t *testing.T) {
	for _, c := range []struct {
		n               int
		shedProbability float64 // after three failures
		failuresLeft    int     // after one established connection
	}{{300, 0.75, 1}, {3, 0, 0}} {
		b := newSiblings(c.n, 0, fleet(90))[0]
		for i := range 3 {
			q := newRequest(fmt.Sprint("r", i), uint64(i))
			b.setupFailures = 0 // not shed
			b.Request(t0, q)
			b.setupFailures = i
			b.Outcome(t0, q.ID, Timeout, true)
		}
		if b.setupFailures != 3 || b.shedProbability() != c.shedProbability {
			t.Errorf("%d balancers: %d failures, shed with probability %v, want %v", c.n, b.setupFailures, b.shedProbability(), c.shedProbability)
		}
		b = newSiblings(c.n, 0, fleet(90))[0]
		b.Request(t0, newRequest("last", 9))
		b.setupFailures = 3
		b.ConnectionEstablished(t0, "last")
		if b.setupFailures != c.failuresLeft {
			t.Errorf("%d balancers: %d failures left, want %d", c.n, b.setupFailures, c.failuresLeft)
		}
	}
}
