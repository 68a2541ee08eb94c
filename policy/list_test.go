package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newGoneUsableBalancer returns a balancer for which gone servers are usable.
func newGoneUsableBalancer(t *testing.T, servers []Server) (*Balancer, *fakeHost) {
	t.Helper()
	set := settings()
	set.GoneServersUsable = true
	return newBalancerWith(t, set, servers)
}

// serversUsed returns the servers that 60 short connections of as many keys are placed on.
func serversUsed(t *testing.T, b *Balancer, h *fakeHost, now time.Duration) map[string]bool {
	t.Helper()
	seen := map[string]bool{}
	for i := range 60 {
		id := fmt.Sprint("land", i)
		seen[sendRequest(t, b, h, now, newRequest(id, uint64(i)*7919))] = true
		b.ConnectionEstablished(now, id)
		b.Outcome(now, id, OK, true)
	}
	return seen
}

// withState returns a copy of the servers in another state.
func withState(state State, servers []Server) []Server {
	out := slices.Clone(servers)
	for i := range out {
		out[i].State = state
	}
	return out
}

// A list that calls most or all of the fleet gone is taken to be wrong: all servers stay in use.
func TestShrunkAndEmptyListsAreNotTrusted(t *testing.T) {
	servers := fleet(10)
	for name, notify := range map[string]func(b *Balancer){
		"shrunk":    func(b *Balancer) { b.Members(t0+ms, Full, servers[:4]) },
		"empty":     func(b *Balancer) { b.Members(t0+ms, Full, nil) },
		"all gone":  func(b *Balancer) { b.Members(t0+ms, Delta, withState(Gone, servers)) },
		"only gone": func(b *Balancer) { b.Members(t0+ms, Full, withState(Gone, servers)) },
	} {
		b, h := newGoneUsableBalancer(t, servers)
		before := rankedIDs(b, 3)
		notify(b)
		if after := rankedIDs(b, 3); !slices.Equal(before, after) {
			t.Errorf("%s: ranked %v, then %v", name, before, after)
		}
		if seen := serversUsed(t, b, h, t0+2*ms); len(seen) != len(servers) {
			t.Errorf("%s: placed on %d of %d running servers", name, len(seen), len(servers))
		}
	}
	b, h := newBalancer(t, servers) // where gone servers are not usable the list is followed
	b.Members(t0+ms, Full, servers[:4])
	if seen := serversUsed(t, b, h, t0+2*ms); len(seen) != 4 {
		t.Errorf("placed on %d servers where four are listed and gone servers are not usable", len(seen))
	}
}

// A single server that is called gone is taken to be gone, unless an established connection of ours proves that it
// runs.
func TestGoneServerIsUnusedUnlessAConnectionIsEstablished(t *testing.T) {
	servers := fleet(10)
	gone := withState(Gone, servers[2:3])
	b, h := newGoneUsableBalancer(t, servers)
	b.Members(t0+ms, Delta, gone)
	if serversUsed(t, b, h, t0+ms)[gone[0].ID] {
		t.Error("sent to the one server that is called gone")
	}
	b, h = newGoneUsableBalancer(t, servers)
	b.Inherit(t0, newRequest("open", 1), gone[0].ID)
	b.Members(t0+ms, Delta, gone)
	serversUsed(t, b, h, t0+ms)
	if reason := b.passOver(t0+ms, &request{}, b.servers[gone[0].ID]); reason != eligible {
		t.Errorf("passed over (%d) though it serves a connection of ours", reason)
	}
	b.Outcome(t0+2*ms, "open", Reset, true)
	if serversUsed(t, b, h, t0+2*ms)[gone[0].ID] {
		t.Error("sent to it though our connection to it broke")
	}
}

// A failed attempt at a server that the list calls gone counts as two ejections.
func TestFailureOnGoneServerCountsTwice(t *testing.T) {
	b, _ := newGoneUsableBalancer(t, fleet(4))
	b.Members(t0+ms, Full, nil)
	gone := b.list[0]
	b.eject(t0+ms, gone)
	if gone.ejections != 2 {
		t.Errorf("%d ejections after a failure there", gone.ejections)
	}
}

// A server that was seen draining counts as draining whatever later lists say, until a new process of it is ready.
func TestSeenDrainingHoldsUntilANewProcess(t *testing.T) {
	servers := fleet(4)
	one := slices.Clone(servers[1:2])
	one[0].Started = 5
	for name, later := range map[string]func(b *Balancer){
		"gone":             func(b *Balancer) { b.Members(t0+time.Second, Delta, withState(Gone, one)) },
		"left out":         func(b *Balancer) { b.Members(t0+time.Second, Full, nil) },
		"ready as before":  func(b *Balancer) { b.Members(t0+time.Second, Delta, one) },
		"old list":         func(b *Balancer) { b.Members(t0+time.Second, Full, servers) },
		"gone, then ready": func(b *Balancer) { b.Members(t0, Full, nil); b.Members(t0+time.Minute, Full, servers) },
		"gone, then as it was": func(b *Balancer) {
			b.Members(t0, Delta, withState(Gone, one))
			b.Members(t0+time.Minute, Delta, one)
		},
	} {
		b, h := newGoneUsableBalancer(t, servers)
		b.Members(t0, Delta, withState(Draining, one))
		later(b)
		if serversUsed(t, b, h, t0+2*time.Minute)[one[0].ID] {
			t.Errorf("%s: sent to a server that was seen draining", name)
		}
		fresh := slices.Clone(one)
		fresh[0].Started = t0 + time.Second
		b.Members(t0+3*time.Minute, Delta, fresh)
		if !serversUsed(t, b, h, t0+4*time.Minute)[one[0].ID] {
			t.Errorf("%s: a new process of it is not used", name)
		}
	}
}

// An older list that arrives again does not make a cold server count as warm.
func TestOlderListDoesNotMakeAColdServerWarm(t *testing.T) {
	servers := fleet(4)
	b, _ := newGoneUsableBalancer(t, servers)
	cold := slices.Clone(servers[:1])
	cold[0].Started = t0
	b.Members(t0, Delta, cold)
	b.Members(t0+time.Second, Full, servers)
	if w := b.capacityShare(t0+time.Second, b.servers[cold[0].ID]); w > 0.5 {
		t.Errorf("capacity share %v one second after its start", w)
	}
}

// Servers that are gone are forgotten after a while, the number of those remembered is bounded, and the list holds no
// server that was never listed.
func TestMemoryOfGoneServersIsBounded(t *testing.T) {
	b, _ := newGoneUsableBalancer(t, fleet(4))
	b.Members(t0+ms, Full, nil)
	if len(b.list) != 4 {
		t.Fatalf("%d of 4 servers left on the list", len(b.list))
	}
	b.Members(t0+2*goneMemory, Full, nil)
	if len(b.list) != 0 || len(b.servers) != 0 {
		t.Errorf("%d servers on the list, %d remembered long after", len(b.list), len(b.servers))
	}
	for i := range 200 {
		names := make([]Server, 100)
		for j := range names {
			names[j] = Server{ID: fmt.Sprint("ghost", i, "-", j), State: Ready, Weight: 1}
		}
		b.Members(t0+2*goneMemory+time.Duration(i)*time.Second, Full, names)
	}
	if len(b.servers) > 10*goneMemoryHalving {
		t.Errorf("%d servers remembered", len(b.servers))
	}
}

// Servers that are listed but do not exist never answer. Each is tried once and then passed over, though it looks
// empty.
func TestMissingServersAreTriedOnce(t *testing.T) {
	servers := fleet(12)
	b, h := newGoneUsableBalancer(t, servers)
	attempts := map[string]int{}
	for _, s := range servers[6:] {
		attempts[s.ID] = 0
	}
	isMissing := func(id string) bool { _, missing := attempts[id]; return missing }
	for i := range 120 {
		q := newRequest(fmt.Sprint("r", i), uint64(i)*7919)
		for _, id := range tryUntilServed(b, h, t0+time.Duration(i)*5*ms, q, isMissing) {
			if isMissing(id) {
				attempts[id]++
			}
		}
	}
	for id, n := range attempts {
		if n > 1 {
			t.Errorf("%s was tried %d times in 0.6 s", id, n)
		}
	}
}

// Two faults at once: the list wrongly calls most servers gone, and one of these has really died.
func TestWrongListAndADeadServer(t *testing.T) {
	servers := fleet(10)
	b, h := newGoneUsableBalancer(t, servers)
	b.Members(t0+ms, Full, servers[:3])
	dead, seen := servers[5].ID, map[string]int{}
	for i := range 80 {
		q := newRequest(fmt.Sprint("r", i), uint64(i)*7919)
		for _, id := range tryUntilServed(b, h, t0+time.Duration(i)*20*ms, q, func(id string) bool { return id == dead }) {
			seen[id]++
		}
	}
	if len(seen) < 9 || seen[dead] == 0 || seen[dead] > 2 {
		t.Errorf("used %d of 10 servers, the dead one %d times", len(seen), seen[dead])
	}
}

// Invalid settings cause no crash and hold no request for ever.
func TestInvalidSettings(t *testing.T) {
	for name, set := range map[string]Settings{
		"none": {}, "negative": {MaxAttempts: -1, Siblings: -5, Tick: -1, MaxWatchInterval: -time.Second, OverloadSpan: -1, WarmAfter: -1,
			ColdCapacityShare: -2, OverloadFactor: -1, RetryBudgetSpan: -1, RetryBudgetBase: -3, RetryBudgetRatio: -1, DrainGrace: -1},
		"budget of nothing": {MaxAttempts: 3, RetryBudgetSpan: time.Second},
	} {
		h := &fakeHost{}
		b := New(set, 1, h)
		servers := fleet(3)
		servers[0].Started = t0
		b.Members(t0, Cached, append(servers, servers...))
		answered := 0
		for i := range 20 {
			h.actions = nil
			id := fmt.Sprint("r", i)
			b.Request(t0+time.Duration(i)*time.Second, newRequest(id, uint64(i)))
			for range 4 {
				b.Outcome(t0+time.Duration(i)*time.Second, id, Error, false)
			}
			b.Wake(t0+time.Duration(i)*time.Second+1999*ms, timerWaiting)
			answered += len(h.take("refuse"))
		}
		if answered < 18 {
			t.Errorf("%s: %d of 20 failing requests answered", name, answered)
		}
	}
}

// ServerCounts counts the listed servers and those of them that are avoided, which are draining or ejected.
func TestServerCounts(t *testing.T) {
	servers := fleet(5)
	b, _ := newBalancer(t, servers)
	servers[0].State, servers[1].State = Draining, Gone
	b.Members(t0+ms, Delta, servers[:2])
	b.eject(t0+ms, b.server(servers[2].ID))
	if listed, avoided := b.ServerCounts(t0 + 2*ms); listed != 4 || avoided != 2 {
		t.Errorf("listed %d, avoided %d", listed, avoided)
	}
}
