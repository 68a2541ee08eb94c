package policy

import (
	"slices"
	"testing"
	"time"
)

// placedAt places a request and returns the listed entry of the server that it is sent to.
func placedAt(t *testing.T, b *Balancer, h *fakeHost, q Request, servers []Server) Server {
	t.Helper()
	id := sendRequest(t, b, h, t0, q)
	return servers[slices.IndexFunc(servers, func(s Server) bool { return s.ID == id })]
}

// MayWrite once checked only whether the server was draining, and so permitted a write to one that had gone since.
func TestNoWriteToAServerThatHasGone(t *testing.T) {
	for name, notify := range map[string]func(b *Balancer, s Server){
		"called gone": func(b *Balancer, s Server) { b.Members(t0+ms, Delta, withState(Gone, []Server{s})) },
		"drains, then gone": func(b *Balancer, s Server) {
			b.Members(t0+ms, Delta, withState(Draining, []Server{s}))
			b.Members(t0+2*ms, Delta, withState(Gone, []Server{s}))
		},
		"left out": func(b *Balancer, _ Server) { b.Members(t0+ms, Full, nil) },
	} {
		for _, midFlow := range []bool{false, true} {
			servers := fleet(4)
			b, h := newBalancer(t, servers)
			q := newRequest("r", 3)
			q.MidFlow = midFlow
			at := placedAt(t, b, h, q, servers)
			if !b.MayWrite(t0, "r") {
				t.Fatalf("%s: not allowed before the list changes", name)
			}
			notify(b, at)
			if b.MayWrite(t0+3*ms, "r") {
				t.Errorf("%s, mid-flow %v: allowed", name, midFlow)
			}
		}
	}
}

// Where gone servers are usable, a server that is merely called gone may still be written to, but one that was seen
// draining may not.
func TestWriteWhereGoneServersAreUsable(t *testing.T) {
	for _, drains := range []bool{false, true} {
		servers := fleet(4)
		b, h := newGoneUsableBalancer(t, servers)
		at := placedAt(t, b, h, newRequest("r", 3), servers)
		if drains {
			b.Members(t0+ms, Delta, withState(Draining, []Server{at}))
		}
		b.Members(t0+2*ms, Delta, withState(Gone, []Server{at}))
		if allowed := b.MayWrite(t0+3*ms, "r"); allowed == drains {
			t.Errorf("drains %v: allowed %v", drains, allowed)
		}
	}
}

// The grace counts from when the drain may count as notified, not from when the entry was received.
func TestGraceCountsFromTheNotificationOfADrain(t *testing.T) {
	const received = t0 + time.Second
	for name, c := range map[string]struct {
		kind       MembersKind
		notifiedAt time.Duration
		sends      bool
	}{
		"notified on receipt":     {Delta, 0, true},
		"notified shortly before": {Delta, received - 50*ms, true},
		"notified long before":    {Delta, LongAgo, false},
		"notified in the future":  {Delta, received + time.Hour, true},
		"in the cached list":      {Cached, 0, false},
	} {
		servers := fleet(6)
		b, h := newBalancer(t, servers)
		top := rankedIDs(b, 3)[0]
		for i := range servers {
			if servers[i].ID == top {
				servers[i].State, servers[i].NotifiedAt = Draining, c.notifiedAt
			}
		}
		b.Members(received, c.kind, servers)
		q := newRequest("mid", 3)
		q.MidFlow = true
		if got := sendRequest(t, b, h, received+40*ms, q); (got == top) != c.sends {
			t.Errorf("%s: sent to the draining server: %v", name, got == top)
		}
	}
}
