package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetRun is a fleet in virtual time: its connections stand for a while and are replaced, its balancers get unequal parts of
// what comes, and one of its servers starts anew. What reaches that one is written down.
type fleetRun struct {
	all     []*sibling
	rng     *rand.Rand
	parts   []float64 // of what comes, summed up
	servers []Server
	open    map[string]int // at each server
	cold    string
	sent    []time.Duration // to the cold server
	serial  int
	keys    uint64 // where they begin: others with each seed
}

const lives, fullest = 20 * time.Second, 40 // connections last so long on average; a warm server holds so many

func newFleetRun(n, hosts int, seed uint64) *fleetRun {
	f := &fleetRun{rng: rand.New(rand.NewPCG(seed, uint64(n))), servers: fleet(hosts), open: map[string]int{},
		keys: seed * 1000003}
	standing := hosts * fullest / 2
	f.all = siblings(n, standing, f.servers)
	sum := 0.0
	for i, b := range f.all {
		b.rng, b.settings.QuotaConnections, b.settings.Probes = rand.New(rand.NewPCG(seed, uint64(i))), float64(standing), true
		sum += 1 / math.Sqrt(float64(i+1)) // some get many times what others do
		f.parts = append(f.parts, sum)
	}
	return f
}

// restart has every third balancer from one on start anew, with the list and nothing else that it knew.
func (f *fleetRun) restart(from int, now time.Duration) {
	anew := siblings(len(f.all), 0, f.servers)
	for i := from; i < len(f.all); i += 3 {
		b := anew[i]
		b.rng, b.settings.QuotaConnections, b.settings.Probes = f.all[i].rng, f.all[i].settings.QuotaConnections, true
		b.Members(now, Cached, f.servers)
		f.all[i] = b
	}
}

// come has a client come to one of the balancers, and follows what that does until the client stands or is answered.
func (f *fleetRun) come(now time.Duration, returned bool) {
	i, _ := slices.BinarySearch(f.parts, f.rng.Float64()*f.parts[len(f.parts)-1])
	b := f.all[i]
	f.serial++
	q := req(fmt.Sprint("r", f.serial), f.keys+f.rng.Uint64N(uint64(len(f.servers)*2)))
	q.Reconnecting, b.host.actions = returned, nil
	b.Request(now, q)
	for at := now; ; {
		acts := b.host.actions
		b.host.actions = nil
		var wake time.Duration
		for _, a := range acts {
			switch a.name {
			case "send":
				if a.server == f.cold {
					f.sent = append(f.sent, now)
				}
				f.open[a.server]++
				b.ConnectionEstablished(now, a.request)
				return
			case "refuse", "fail":
				return
			case "ask":
				b.ProbeResult(at, a.server, Report{Answered: true, Load: float64(f.open[a.server]) / fullest})
			case "wake":
				wake = a.d
			}
		}
		if len(b.host.actions) == 0 {
			if wake == 0 || wake > now+2*time.Second {
				return
			}
			at = wake
			b.Wake(at, timerWaiting)
		}
	}
}

// A server that starts anew is sent by all balancers together, in each span of Fall, at most N + 2 x root of N + 2, where N is
// what the settings let it be sent then: also where each balancer's part is a fraction of one, where some get many times what
// others do, when a third of all clients comes back within two seconds, and when balancers start anew within such a span.
func TestAFleetSendsAColdServerWhatItBears(t *testing.T) {
	for _, c := range []struct{ balancers, hosts int }{{1, 4}, {2, 6}, {3, 8}, {8, 10}, {20, 12}, {30, 12}, {80, 20}, {300, 60}, {900, 90}} {
		set, windows, most := settings(), 0, 0.0
		for seed := range uint64(18) { // in the last six balancers start anew
			f := newFleetRun(c.balancers, c.hosts, seed)
			f.cold = f.servers[c.hosts/2].ID
			start := t0 + 5*time.Second
			rate := float64(c.hosts) * fullest / 2 / lives.Seconds()
			restarts := start + set.OverloadSpan/2
			for now := t0; now < start+set.WarmAfter; {
				if seed >= 12 && now >= restarts && now < start+4*set.OverloadSpan {
					f.restart(int(restarts/(set.OverloadSpan/2))%3, now)
					restarts += set.OverloadSpan / 2
				}
				back := now > start+5*time.Second && now < start+7*time.Second
				if now += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)); now >= start && f.servers[c.hosts/2].Started == 0 {
					f.servers[c.hosts/2].Started = start
					f.open[f.cold], f.sent = 0, nil
					for _, b := range f.all {
						b.Members(now, Delta, f.servers[c.hosts/2:c.hosts/2+1])
					}
				}
				f.come(now, false)
				for range int(lives.Seconds() / 3 / 2) {
					if back {
						f.come(now, true)
					}
				}
			}
			for i, from := range f.sent {
				n := 0
				for _, at := range f.sent[i:] {
					if at < from+set.OverloadSpan {
						n++
					}
				}
				warmth := set.ColdCapacityShare + (1-set.ColdCapacityShare)*(from-start).Seconds()/set.WarmAfter.Seconds()
				may := set.OverloadFactor * fullest * warmth * set.OverloadSpan.Seconds() / lives.Seconds()
				if windows++; float64(n) > may+2*math.Sqrt(may)+2 {
					t.Errorf("%d balancers, seed %d, %v after its start: %d sent, N is %.1f", c.balancers, seed, from-start, n, may)
				}
				most = max(most, float64(n)/(may+2*math.Sqrt(may)+2))
			}
		}
		t.Logf("%d balancers: %d windows, at most %.2f of what it may be sent", c.balancers, windows, most)
		if windows == 0 {
			t.Errorf("%d balancers sent it nothing", c.balancers)
		}
	}
}
