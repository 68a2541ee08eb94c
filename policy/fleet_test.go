package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldServerRun simulates a fleet in virtual time. Its connections last for a while and are replaced, its balancers get
// unequal shares of the requests, and one of its servers restarts. It records the requests sent to that server.
type coldServerRun struct {
	balancers        []*sibling
	rng              *rand.Rand
	cumulativeShares []float64 // of the requests, by balancer
	servers          []Server
	openConnections  map[string]int // by server
	coldID           string
	sentToCold       []time.Duration // when requests were sent to the restarted server
	requestCount     int
	firstKey         uint64 // differs between seeds
}

const (
	meanLifetime = 20 * time.Second // of a connection
	warmCapacity = 40               // connections that a warm server holds
)

func newColdServerRun(n, hosts int, seed uint64) *coldServerRun {
	f := &coldServerRun{rng: rand.New(rand.NewPCG(seed, uint64(n))), servers: fleet(hosts), openConnections: map[string]int{},
		firstKey: seed * 1000003}
	established := hosts * warmCapacity / 2
	f.balancers = newSiblings(n, established, f.servers)
	total := 0.0
	for i, b := range f.balancers {
		b.rng, b.settings.QuotaConnections, b.settings.Probes = rand.New(rand.NewPCG(seed, uint64(i))), float64(established), true
		total += 1 / math.Sqrt(float64(i+1)) // shares are very unequal
		f.cumulativeShares = append(f.cumulativeShares, total)
	}
	return f
}

// restart replaces every third balancer, beginning with index from, by a new one that knows only the list.
func (f *coldServerRun) restart(from int, now time.Duration) {
	restarted := newSiblings(len(f.balancers), 0, f.servers)
	for i := from; i < len(f.balancers); i += 3 {
		b := restarted[i]
		b.rng, b.settings.QuotaConnections, b.settings.Probes = f.balancers[i].rng, f.balancers[i].settings.QuotaConnections, true
		b.Members(now, Cached, f.servers)
		f.balancers[i] = b
	}
}

// arrive makes a client arrive at one of the balancers and follows its request until it is established or answered.
func (f *coldServerRun) arrive(now time.Duration, reconnecting bool) {
	i, _ := slices.BinarySearch(f.cumulativeShares, f.rng.Float64()*f.cumulativeShares[len(f.cumulativeShares)-1])
	b := f.balancers[i]
	f.requestCount++
	q := newRequest(fmt.Sprint("r", f.requestCount), f.firstKey+f.rng.Uint64N(uint64(len(f.servers)*2)))
	q.Reconnecting, b.host.actions = reconnecting, nil
	b.Request(now, q)
	for at := now; ; {
		acts := b.host.actions
		b.host.actions = nil
		var wake time.Duration
		for _, a := range acts {
			switch a.name {
			case "send":
				if a.server == f.coldID {
					f.sentToCold = append(f.sentToCold, now)
				}
				f.openConnections[a.server]++
				b.ConnectionEstablished(now, a.request)
				return
			case "refuse", "fail":
				return
			case "probe":
				b.ProbeResult(at, a.server, Report{Answered: true, Load: float64(f.openConnections[a.server]) / warmCapacity})
			case "wake":
				wake = a.duration
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

// Within any OverloadSpan, all balancers together send a server that has just started at most N + 2*sqrt(N) + 2
// requests, where N is the number that the settings allow in that span. This holds even if the share of each balancer
// is a fraction of one request, if shares are very unequal, if a third of all clients reconnects within two seconds,
// and if balancers restart within such a span.
func TestFleetStaysWithinTheCapacityOfAColdServer(t *testing.T) {
	for _, c := range []struct{ balancers, hosts int }{{1, 4}, {2, 6}, {3, 8}, {8, 10}, {20, 12}, {30, 12}, {80, 20}, {300, 60}, {900, 90}} {
		set, windows, maxRatio := settings(), 0, 0.0
		for seed := range uint64(18) { // in the last six runs balancers restart
			f := newColdServerRun(c.balancers, c.hosts, seed)
			f.coldID = f.servers[c.hosts/2].ID
			start := t0 + 5*time.Second
			rate := float64(c.hosts) * warmCapacity / 2 / meanLifetime.Seconds()
			restarts := start + set.OverloadSpan/2
			for now := t0; now < start+set.WarmAfter; {
				if seed >= 12 && now >= restarts && now < start+4*set.OverloadSpan {
					f.restart(int(restarts/(set.OverloadSpan/2))%3, now)
					restarts += set.OverloadSpan / 2
				}
				storm := now > start+5*time.Second && now < start+7*time.Second
				if now += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)); now >= start && f.servers[c.hosts/2].Started == 0 {
					f.servers[c.hosts/2].Started = start
					f.openConnections[f.coldID], f.sentToCold = 0, nil
					for _, b := range f.balancers {
						b.Members(now, Delta, f.servers[c.hosts/2:c.hosts/2+1])
					}
				}
				f.arrive(now, false)
				for range int(meanLifetime.Seconds() / 3 / 2) {
					if storm {
						f.arrive(now, true)
					}
				}
			}
			for i, from := range f.sentToCold {
				n := 0
				for _, at := range f.sentToCold[i:] {
					if at < from+set.OverloadSpan {
						n++
					}
				}
				warmth := set.ColdCapacityShare + (1-set.ColdCapacityShare)*(from-start).Seconds()/set.WarmAfter.Seconds()
				allowed := set.OverloadFactor * warmCapacity * warmth * set.OverloadSpan.Seconds() / meanLifetime.Seconds()
				if windows++; float64(n) > allowed+2*math.Sqrt(allowed)+2 {
					t.Errorf("%d balancers, seed %d, %v after its start: %d sent, N is %.1f", c.balancers, seed, from-start, n, allowed)
				}
				maxRatio = max(maxRatio, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
			}
		}
		t.Logf("%d balancers: %d windows, at most %.2f of the allowed number", c.balancers, windows, maxRatio)
		if windows == 0 {
			t.Errorf("%d balancers sent it no request", c.balancers)
		}
	}
}
