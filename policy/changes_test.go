package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestEmptyListHoldsThenRefusesRequests(t *testing.T) {
	b, h := newBalancer(t, nil)
	b.Request(t0, newRequest("r", 1))
	wakes := h.take("wake")
	if len(wakes) != 1 || wakes[0].duration >= t0+2*time.Second {
		t.Fatalf("no timer before the deadline of the held request: %v", wakes)
	}
	b.Wake(t0+1995*ms, timerWaiting)
	if got := h.take("refuse"); len(got) != 1 {
		t.Errorf("refusals: %v", got)
	}
	if len(b.requests) != 0 || len(b.waiting) != 0 {
		t.Error("the request is still stored")
	}
}

func TestEventsOfEndedRequestsAreIgnored(t *testing.T) {
	b, h := newBalancer(t, nil)
	b.Request(t0, newRequest("r", 1))
	b.ClientGone(t0+ms, "r")
	b.ClientGone(t0+ms, "r")
	b.Outcome(t0+ms, "r", OK, true)
	b.ConnectionEstablished(t0+ms, "r")
	b.ConnectionMetric(t0+ms, "r", MetricDelay, 5)
	h.actions = nil
	b.Wake(t0+100*ms, timerWaiting)
	if len(h.actions) != 0 {
		t.Errorf("actions for a request that ended: %v", h.actions)
	}
}

func TestInheritedConnectionsCount(t *testing.T) {
	b, h := newBalancer(t, fleet(4))
	top := rankedIDs(b, 9)
	q := newRequest("old", 9)
	b.Inherit(t0, q, top[0])
	if got := sendRequest(t, b, h, t0, newRequest("new", 9)); got != top[1] {
		t.Errorf("went to %s though the top server holds a connection", got)
	}
	b.Outcome(t0+ms, "old", OK, true)
	if n := len(b.servers[top[0]].connections); n != 0 {
		t.Errorf("%d connections after the end", n)
	}
}

func TestWatchIsRetriedWithinMaxWatchInterval(t *testing.T) {
	h := &fakeHost{}
	b := New(settings(), 3, h)
	now := t0
	b.Members(now, Cached, fleet(2))
	for i := range 12 {
		var at time.Duration
		for _, w := range h.take("wake") {
			if w.timer == timerWatch {
				at = w.duration
			}
		}
		if limit := settings().MaxWatchInterval << min(2*i, 2); at < now || at >= now+limit {
			t.Fatalf("next call at %v, now %v", at, now)
		}
		now = at
		b.Wake(now, timerWatch)
		if got := h.take("watch"); len(got) != 1 {
			t.Fatal("no call")
		}
		b.Members(now, WatchFailed, nil)
	}
	h.actions = nil
	b.Members(now, Full, fleet(2))
	if len(h.take("wake")) != 0 {
		t.Error("another call though the watch succeeded")
	}
}

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	servers := fleet(4)
	b, _ := newBalancer(t, servers)
	b.Members(t0+ms, Full, servers[:2])
	if len(b.list) != 2 || len(b.servers) != 2 {
		t.Errorf("%d listed, %d known", len(b.list), len(b.servers))
	}
	servers[0].State = Gone
	b.Members(t0+2*ms, Delta, servers[:1])
	if len(b.list) != 1 {
		t.Errorf("%d listed after a removal", len(b.list))
	}
}

func TestRestartUnderTheSameIDClearsObservations(t *testing.T) {
	servers := fleet(4)
	b, _ := newBalancer(t, servers)
	s := b.list[0]
	b.eject(t0, s)
	s.delay, s.delayAt = time.Second, t0
	e := s.Server
	e.Started = t0
	b.Members(t0, Delta, []Server{e})
	if t0 < s.ejectedUntil || b.isSlow(t0, s) {
		t.Error("a new process is passed over for the failures of the old one")
	}
	if b.capacityShare(t0, s) >= 1 {
		t.Error("a new process counts as warm")
	}
}

// A server that leaves and returns under the same id leaves a single entry and no other state. A server named twice
// counts once. An older full list brings back the servers that it names.
func TestFlappingRepeatedAndOlderLists(t *testing.T) {
	servers := fleet(4)
	b, h := newBalancer(t, servers)
	old := b.list[2].Server
	for range 5 {
		gone := old
		gone.State = Gone
		b.Members(t0, Delta, []Server{gone})
		if len(b.list) != 3 || b.servers[old.ID] != nil {
			t.Fatalf("%d listed after one of four is gone", len(b.list))
		}
		for i := range 40 {
			if got := sendRequest(t, b, h, t0, newRequest(fmt.Sprint("r", i), uint64(i))); got == old.ID {
				t.Fatal("sent to a server that is gone")
			}
			b.Outcome(t0, fmt.Sprint("r", i), OK, true)
		}
		b.Members(t0, Delta, []Server{old, old})
		if len(b.list) != 4 {
			t.Fatalf("%d listed, want 4", len(b.list))
		}
	}
	b.Members(t0, Full, servers[:2])
	b.Members(t0, Full, append(slices.Clone(servers), servers...))
	if got := rankedIDs(b, 7); len(got) != 4 {
		t.Errorf("ranks %v after a list that names each twice", got)
	}
}

// Guards against memory that grows with each new name of a server that a client makes up.
func TestServersThatNoListNamesAreForgotten(t *testing.T) {
	servers := fleet(3)
	b, _ := newBalancer(t, servers)
	for i := range 1000 {
		id := fmt.Sprint("q", i)
		b.Inherit(t0, newRequest(id, uint64(i)), fmt.Sprint("unknown", i))
		b.Outcome(t0, id, ConnectFailed, true)
	}
	if len(b.servers) != len(servers) {
		t.Errorf("%d servers are stored, %d are listed", len(b.servers), len(servers))
	}
	b.Inherit(t0, newRequest("first", 1), "unknown")
	b.Inherit(t0, newRequest("second", 2), "unknown")
	b.Outcome(t0, "first", OK, true)
	if s := b.servers["unknown"]; s == nil || s.established != 1 {
		t.Error("a server with a connection is forgotten")
	}
}

// A server that another instance hands over before the first list is no made-up one: it stays known.
func TestAddedServerStaysKnownWithoutAList(t *testing.T) {
	b := New(settings(), 1, &fakeHost{})
	b.AddServer(t0, fleet(1)[0])
	b.Inherit(t0, newRequest("q", 1), b.list[0].ID)
	b.Outcome(t0, "q", Reset, true)
	if b.servers[b.list[0].ID] != b.list[0] {
		t.Error("a listed server is forgotten")
	}
}
