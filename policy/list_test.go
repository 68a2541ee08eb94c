package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// unbinding makes a balancer where only draining binds.
func unbinding(t *testing.T, servers []Server) (*Balancer, *fakeHost) {
	t.Helper()
	set := settings()
	set.GoneServersUsable = true
	return newBalancerWith(t, set, servers)
}

// landings tells where 60 requests of as many keys go; none of them stays.
func landings(t *testing.T, b *Balancer, h *fakeHost, now time.Duration) map[string]bool {
	t.Helper()
	seen := map[string]bool{}
	for i := range 60 {
		id := fmt.Sprint("land", i)
		seen[send(t, b, h, now, req(id, uint64(i)*7919))] = true
		b.ConnectionEstablished(now, id)
		b.Outcome(now, id, OK, true)
	}
	return seen
}

func called(state State, servers []Server) []Server {
	out := slices.Clone(servers)
	for i := range out {
		out[i].State = state
	}
	return out
}

// A list that calls most of the fleet, or all of it, gone is wrong: the mechanism goes on over all of them.
func TestShrunkAndEmptyListsAreNotBelieved(t *testing.T) {
	servers := fleet(10)
	for name, tell := range map[string]func(b *Balancer){
		"shrunk":    func(b *Balancer) { b.Members(t0+ms, Full, servers[:4]) },
		"empty":     func(b *Balancer) { b.Members(t0+ms, Full, nil) },
		"all gone":  func(b *Balancer) { b.Members(t0+ms, Delta, called(Gone, servers)) },
		"only gone": func(b *Balancer) { b.Members(t0+ms, Full, called(Gone, servers)) },
	} {
		b, h := unbinding(t, servers)
		before := ids(b, 3)
		tell(b)
		if after := ids(b, 3); !slices.Equal(before, after) {
			t.Errorf("%s: ranked %v, then %v", name, before, after)
		}
		if seen := landings(t, b, h, t0+2*ms); len(seen) != len(servers) {
			t.Errorf("%s: placed on %d of %d servers that run", name, len(seen), len(servers))
		}
	}
	b, h := newBalancer(t, servers) // where gone binds nothing changes
	b.Members(t0+ms, Full, servers[:4])
	if seen := landings(t, b, h, t0+2*ms); len(seen) != 4 {
		t.Errorf("placed on %d servers where four are listed and gone binds", len(seen))
	}
}

// One server that is called gone is believed gone, until a connection of ours proves that it runs.
func TestOneGoneServerIsBelievedUnlessOurConnectionStands(t *testing.T) {
	servers := fleet(10)
	gone := called(Gone, servers[2:3])
	b, h := unbinding(t, servers)
	b.Members(t0+ms, Delta, gone)
	if landings(t, b, h, t0+ms)[gone[0].ID] {
		t.Error("sent to the one server that is called gone")
	}
	b, h = unbinding(t, servers)
	b.Inherit(t0, req("open", 1), gone[0].ID)
	b.Members(t0+ms, Delta, gone)
	landings(t, b, h, t0+ms)
	if why := b.passOver(t0+ms, &request{}, b.servers[gone[0].ID]); why != eligible {
		t.Errorf("passed over (%d) though it serves us", why)
	}
	b.Outcome(t0+2*ms, "open", Reset, true)
	if landings(t, b, h, t0+2*ms)[gone[0].ID] {
		t.Error("sent to it though our connection there broke")
	}
}

// A failed attempt on a server that the list calls gone counts for two.
func TestFailureOnGoneServerCountsTwice(t *testing.T) {
	b, _ := unbinding(t, fleet(4))
	b.Members(t0+ms, Full, nil)
	gone := b.list[0]
	b.eject(t0+ms, gone)
	if gone.ejections != 2 {
		t.Errorf("%d ejections after a failure there", gone.ejections)
	}
}

// Seen draining binds, whatever the list says later, until another process of the server is ready.
func TestSeenDrainingBindsUntilANewProcess(t *testing.T) {
	servers := fleet(4)
	one := slices.Clone(servers[1:2])
	one[0].Started = 5
	for name, later := range map[string]func(b *Balancer){
		"gone":             func(b *Balancer) { b.Members(t0+time.Second, Delta, called(Gone, one)) },
		"left out":         func(b *Balancer) { b.Members(t0+time.Second, Full, nil) },
		"ready as before":  func(b *Balancer) { b.Members(t0+time.Second, Delta, one) },
		"old list":         func(b *Balancer) { b.Members(t0+time.Second, Full, servers) },
		"gone, then ready": func(b *Balancer) { b.Members(t0, Full, nil); b.Members(t0+time.Minute, Full, servers) },
		"gone, then as it was": func(b *Balancer) {
			b.Members(t0, Delta, called(Gone, one))
			b.Members(t0+time.Minute, Delta, one)
		},
	} {
		b, h := unbinding(t, servers)
		b.Members(t0, Delta, called(Draining, one))
		later(b)
		if landings(t, b, h, t0+2*time.Minute)[one[0].ID] {
			t.Errorf("%s: sent to a server that was seen draining", name)
		}
		fresh := slices.Clone(one)
		fresh[0].Started = t0 + time.Second
		b.Members(t0+3*time.Minute, Delta, fresh)
		if !landings(t, b, h, t0+4*time.Minute)[one[0].ID] {
			t.Errorf("%s: another process of it is not used", name)
		}
	}
}

// An older list that comes again does not make a cold server look warm.
func TestOldListDoesNotWarmAColdServer(t *testing.T) {
	servers := fleet(4)
	b, _ := unbinding(t, servers)
	cold := slices.Clone(servers[:1])
	cold[0].Started = t0
	b.Members(t0, Delta, cold)
	b.Members(t0+time.Second, Full, servers)
	if w := b.capacityShare(t0+time.Second, b.servers[cold[0].ID]); w > 0.5 {
		t.Errorf("warmth %v one second after its start", w)
	}
}

// What is remembered of gone servers ends in time and is bounded, and no name that no list told is sent to.
func TestMemoryOfGoneServersIsBounded(t *testing.T) {
	b, _ := unbinding(t, fleet(4))
	b.Members(t0+ms, Full, nil)
	if len(b.list) != 4 {
		t.Fatalf("%d of 4 candidates left", len(b.list))
	}
	b.Members(t0+2*goneMemory, Full, nil)
	if len(b.list) != 0 || len(b.servers) != 0 {
		t.Errorf("%d candidates, %d servers remembered long after", len(b.list), len(b.servers))
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

// Ghosts are named and never answer. One failure each and they draw nothing, though they look empty.
func TestGhostsAreLeftAfterTheFirstFailure(t *testing.T) {
	servers := fleet(12)
	b, h := unbinding(t, servers)
	ghosts := map[string]int{}
	for _, s := range servers[6:] {
		ghosts[s.ID] = 0
	}
	isGhost := func(id string) bool { _, ghost := ghosts[id]; return ghost }
	for i := range 120 {
		q := req(fmt.Sprint("r", i), uint64(i)*7919)
		for _, id := range tryUntilServed(b, h, t0+time.Duration(i)*5*ms, q, isGhost) {
			if isGhost(id) {
				ghosts[id]++
			}
		}
	}
	for id, n := range ghosts {
		if n > 1 {
			t.Errorf("%s was tried %d times in 0.6 s", id, n)
		}
	}
}

// Two troubles at once: the list calls most servers gone, wrongly, and one of these has died.
func TestWrongListAndADeadServer(t *testing.T) {
	servers := fleet(10)
	b, h := unbinding(t, servers)
	b.Members(t0+ms, Full, servers[:3])
	dead, seen := servers[5].ID, map[string]int{}
	for i := range 80 {
		q := req(fmt.Sprint("r", i), uint64(i)*7919)
		for _, id := range tryUntilServed(b, h, t0+time.Duration(i)*20*ms, q, func(id string) bool { return id == dead }) {
			seen[id]++
		}
	}
	if len(seen) < 9 || seen[dead] == 0 || seen[dead] > 2 {
		t.Errorf("used %d of 10 servers, the dead one %d times", len(seen), seen[dead])
	}
}

// Absurd settings break nothing and hold nobody for ever.
func TestAbsurdSettings(t *testing.T) {
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
			b.Request(t0+time.Duration(i)*time.Second, req(id, uint64(i)))
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

// Operators are told how many servers the list names and how many are avoided, draining and ejected ones.
func TestListedAndAvoided(t *testing.T) {
	servers := fleet(5)
	b, _ := newBalancer(t, servers)
	servers[0].State, servers[1].State = Draining, Gone
	b.Members(t0+ms, Delta, servers[:2])
	b.eject(t0+ms, b.server(servers[2].ID))
	if listed, avoided := b.ServerCounts(t0 + 2*ms); listed != 4 || avoided != 2 {
		t.Errorf("listed %d, avoided %d", listed, avoided)
	}
}
