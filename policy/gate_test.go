package policy

import (
	"slices"
	"testing"
	"time"
)

// placedAt sends a request of a key and tells the server it is on its way to, as the list has it.
func placedAt(t *testing.T, b *Balancer, h *fakeHost, q Request, servers []Server) Server {
	t.Helper()
	id := send(t, b, h, t0, q)
	return servers[slices.IndexFunc(servers, func(s Server) bool { return s.ID == id })]
}

// Danger: the gate once asked only whether the server drains, and let a line through to one that had gone by then.
func TestNothingIsWrittenToAServerThatHasGone(t *testing.T) {
	for name, tell := range map[string]func(b *Balancer, s Server){
		"called gone": func(b *Balancer, s Server) { b.Members(t0+ms, Delta, called(Gone, []Server{s})) },
		"drains, then gone": func(b *Balancer, s Server) {
			b.Members(t0+ms, Delta, called(Draining, []Server{s}))
			b.Members(t0+2*ms, Delta, called(Gone, []Server{s}))
		},
		"left out": func(b *Balancer, _ Server) { b.Members(t0+ms, Full, nil) },
	} {
		for _, midFlow := range []bool{false, true} {
			servers := fleet(4)
			b, h := newBalancer(t, servers)
			q := req("r", 3)
			q.MidFlow = midFlow
			at := placedAt(t, b, h, q, servers)
			if !b.MayWrite(t0, "r") {
				t.Fatalf("%s: not allowed before the list changes", name)
			}
			tell(b, at)
			if b.MayWrite(t0+3*ms, "r") {
				t.Errorf("%s, mid-flow %v: allowed", name, midFlow)
			}
		}
	}
}

// Where only draining binds, a server that is merely called gone may still be written to, one that was seen draining not.
func TestGateWhereOnlyDrainingBinds(t *testing.T) {
	for _, drains := range []bool{false, true} {
		servers := fleet(4)
		b, h := unbinding(t, servers)
		at := placedAt(t, b, h, req("r", 3), servers)
		if drains {
			b.Members(t0+ms, Delta, called(Draining, []Server{at}))
		}
		b.Members(t0+2*ms, Delta, called(Gone, []Server{at}))
		if allowed := b.MayWrite(t0+3*ms, "r"); allowed == drains {
			t.Errorf("drains %v: allowed %v", drains, allowed)
		}
	}
}

// The grace counts from when the drain may have been told, not from when it was heard of.
func TestGraceCountsFromWhenADrainWasTold(t *testing.T) {
	const heard = t0 + time.Second
	for name, c := range map[string]struct {
		kind  MembersKind
		told  time.Duration
		sends bool
	}{
		"told as it is heard of":       {Delta, 0, true},
		"told a little before":         {Delta, heard - 50*ms, true},
		"told long before":             {Delta, LongAgo, false},
		"told in the future":           {Delta, heard + time.Hour, true},
		"in the list of the beginning": {Cached, 0, false},
	} {
		servers := fleet(6)
		b, h := newBalancer(t, servers)
		top := ids(b, 3)[0]
		for i := range servers {
			if servers[i].ID == top {
				servers[i].State, servers[i].NotifiedAt = Draining, c.told
			}
		}
		b.Members(heard, c.kind, servers)
		q := req("mid", 3)
		q.MidFlow = true
		if got := send(t, b, h, heard+40*ms, q); (got == top) != c.sends {
			t.Errorf("%s: sent to the draining server: %v", name, got == top)
		}
	}
}
