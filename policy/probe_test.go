package policy

import (
	"fmt"
	"testing"
	"time"
)

// newProbingSiblings returns siblings that may probe the same servers for reports.
func newProbingSiblings(n int, servers []Server) (out []*sibling) {
	out = newSiblings(n, 0, servers)
	for _, b := range out {
		b.settings.Probes, b.host.actions = true, nil
	}
	return out
}

// countPlacements gives each sibling a request and counts these by the server that they are sent to, or as "refused" or
// "held".
func countPlacements(all []*sibling, q func(i int) Request) map[string]int {
	out := map[string]int{"held": len(all)}
	for i, b := range all {
		b.host.actions = nil
		b.Request(t0+time.Duration(i)*ms, q(i))
		for _, a := range b.host.actions {
			if a.name == "refuse" {
				a.server = "refused"
			} else if a.name != "send" {
				continue
			}
			out[a.server]++
			out["held"]--
		}
	}
	return out
}

func sameKey(i int) Request     { return newRequest(fmt.Sprint("r", i), 7) }
func distinctKey(i int) Request { return newRequest(fmt.Sprint("r", i), uint64(i)) }

// To each of 80 balancers the two top servers of a key look equally empty, and together they use both evenly. The
// balancers of a small fleet always take the top one.
func TestLargeFleetBreaksTiesAtRandom(t *testing.T) {
	for _, c := range []struct{ n, low, high int }{{80, 25, 55}, {3, 3, 3}, {9, 9, 9}} {
		all := newSiblings(c.n, 0, fleet(10))
		if top := countPlacements(all, sameKey)[rankedIDs(all[0].Balancer, 7)[0]]; top < c.low || top > c.high {
			t.Errorf("%d of %d balancers took the top", top, c.n)
		}
	}
}

// A balancer of a large fleet probes the two servers that it would compare, and waits for both reports.
func TestLargeFleetProbesBeforePlacing(t *testing.T) {
	b := newProbingSiblings(80, fleet(10))[0]
	rank := rankedIDs(b.Balancer, 7)
	b.Request(t0, newRequest("r", 7))
	if probes := b.host.take("probe"); len(probes) != 2 || probes[0].server != rank[0] || probes[1].server != rank[1] {
		t.Fatalf("probed %v, want %v", probes, rank[:2])
	}
	b.ProbeResult(t0+ms, rank[0], Report{Answered: true, Delay: 80 * ms}) // near its capacity
	b.Wake(t0+2*ms, timerWaiting)
	for _, a := range b.host.actions {
		if a.name == "send" || a.name == "probe" && a.server != rank[2] {
			t.Fatalf("%v before the second report, or a second probe while one is under way", a)
		}
	}
	b.ProbeResult(t0+3*ms, rank[1], Report{Answered: true})
	b.ProbeResult(t0+4*ms, rank[2], Report{Answered: true})
	if got := b.host.take("send"); len(got) != 1 || got[0].server != rank[1] && got[0].server != rank[2] {
		t.Fatalf("sent %v, want one of %v", got, rank[1:3])
	}
	b.Request(t0+500*ms, newRequest("s", 7)) // a server with a fresh report is not probed again
	if probes := b.host.take("probe"); len(probes) != 0 {
		t.Errorf("probed again: %v", probes)
	}
}

// If no report arrives the request is sent well before its set-up target, and a server that did not answer the probe is
// passed over.
func TestUnansweredProbeDoesNotDelayRequests(t *testing.T) {
	b := newProbingSiblings(80, fleet(10))[0]
	rank := rankedIDs(b.Balancer, 7)
	b.Request(t0, newRequest("r", 7))
	b.ProbeResult(t0+200*ms, rank[0], Report{})
	if b.passOver(t0+201*ms, &request{}, b.servers[rank[0]]) != ejected {
		t.Error("not passed over though it did not answer a probe")
	}
	b.host.actions = nil
	for at := t0 + 201*ms; at < t0+settings().Classes["safe"].SetupTarget; at += 5 * ms {
		if b.Wake(at, timerWaiting); len(b.host.take("send")) == 1 {
			return
		}
	}
	t.Error("not sent within the set-up target")
}

// Balancers of a small fleet do not probe, nor do those of a large fleet that has no probes.
func TestSmallFleetDoesNotProbe(t *testing.T) {
	for _, s := range []*sibling{newProbingSiblings(3, fleet(10))[0], newSiblings(80, 0, fleet(10))[0]} {
		s.host.actions = nil
		s.Request(t0, newRequest("r", 7))
		if acts := s.host.actions; len(acts) != 1 || acts[0].name != "send" {
			t.Errorf("actions %v, want one send", acts)
		}
	}
}

// Each of 80 balancers sees two or three connections of three groups. With probes, no server gets more connections than
// it has capacity for.
func TestProbesKeepServersOfALargeFleetWithinCapacity(t *testing.T) {
	const n, clients, capacity = 80, 200, 26 // of a server, in connections, before messages slow down
	for _, probing := range []bool{true, false} {
		all, maxConnections, placed, connections := newSiblings(n, 0, fleet(10)), 0, 0, map[string]int{}
		for i := range clients {
			b, now, q := all[i*7%n], t0+time.Duration(i)*50*ms, newRequest(fmt.Sprint("r", i), uint64(i%3))
			b.settings.Probes, b.host.actions = probing, nil
			b.Request(now, q)
			for range 20 { // rounds of probes
				acts := b.host.actions
				b.host.actions = nil
				for _, a := range acts {
					if late := time.Duration(connections[a.server] / capacity); a.name == "probe" {
						b.ProbeResult(now, a.server, Report{Answered: true, Delay: min(late, 1) * 80 * ms})
					} else if a.name == "send" {
						connections[a.server]++
						maxConnections, placed = max(maxConnections, connections[a.server]), placed+1
						b.ConnectionEstablished(now, q.ID)
					}
				}
			}
		}
		if placed < clients*4/5 { // some are refused, by balancers that know of full servers only
			t.Errorf("probes %v: %d of %d connections established", probing, placed, clients)
		}
		if overfilled := maxConnections > capacity+3; overfilled == probing {
			t.Errorf("probes %v: %d connections on the fullest server, which has capacity for %d", probing, maxConnections, capacity)
		}
	}
}

// A balancer of a large fleet never sends to a slow server, however long a request has been held. One of a small fleet
// does so at last.
func TestLargeFleetNeverUsesSlowServers(t *testing.T) {
	for _, n := range []int{3, 80} {
		b := newProbingSiblings(n, fleet(2))[0]
		for _, s := range b.list {
			s.delay, s.delayAt, s.reportedAt = 80*ms, t0+900*ms, t0+900*ms
		}
		b.Request(t0, newRequest("r", 7))
		b.Wake(t0+1001*ms, timerWaiting)
		if sent := len(b.host.take("send")); (sent == 1) != (n == 3) {
			t.Errorf("%d balancers: %d sent", n, sent)
		}
	}
}

// All known servers are slow and requests are refused. A cold server still gets its share of requests.
func TestColdServerGetsItsShareThoughAllOthersAreSlow(t *testing.T) {
	servers := fleet(8)
	servers[7].Started = t0 - 5*time.Second
	all := newProbingSiblings(400, servers)
	for _, b := range all {
		b.settings.QuotaConnections = 400
		for _, s := range b.list {
			if s.reportedAt = t0; s.Started == 0 {
				s.delay, s.delayAt = 80*ms, t0
			}
		}
	}
	got := countPlacements(all, distinctKey)
	cold := got[servers[7].ID]
	if other := len(all) - cold - got["refused"] - got["held"]; cold == 0 || cold > 60 || other > 0 {
		t.Errorf("%d sent to the cold server, %d to slow ones", cold, other)
	}
}

// Only a cold server is left. Requests whose draw excludes it are refused at once instead of being held to the end.
func TestRequestsExcludedFromAColdServerAreRefusedAtOnce(t *testing.T) {
	servers := fleet(1)
	servers[0].Started = t0
	got := countPlacements(newSiblings(80, 0, servers), distinctKey)
	if sent, refused := got[servers[0].ID], got["refused"]; sent+refused != 80 || refused < 60 {
		t.Errorf("%d sent, %d refused at once, of 80", sent, refused)
	}
}
