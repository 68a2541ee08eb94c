package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestLessOccupiedOfTwo(t *testing.T) {
	b, h := newBalancer(t, fleet(8))
	r := rankedIDs(b, 7)
	for i, want := range []string{r[0], r[1], r[0], r[1]} { // ties go to the top
		if got := sendRequest(t, b, h, t0, newRequest(fmt.Sprint("r", i), 7)); got != want {
			t.Fatalf("request %d went to %s, want %s of %v", i, got, want, r)
		}
	}
}

func TestOccupancyIsPerListedWeight(t *testing.T) {
	servers := fleet(2)
	servers[0].Weight, servers[1].Weight = 3, 1
	b, h := newBalancer(t, servers)
	counts := map[string]int{}
	for i := range 400 {
		counts[sendRequest(t, b, h, t0, newRequest(fmt.Sprint("r", i), uint64(i)*7919))]++
	}
	if got := counts[servers[0].ID]; got < 290 || got > 310 {
		t.Errorf("the server of three times the size got %d of 400, want about 300", got)
	}
}

// A balancer with hardly any connection prefers the larger of two servers, as a small one is full with a few
// connections.
func TestFirstConnectionGoesToTheLargerOfTwo(t *testing.T) {
	servers := fleet(2)
	servers[0].Weight, servers[1].Weight = 7, 2
	for key := range uint64(40) {
		b, h := newBalancer(t, servers)
		if got := sendRequest(t, b, h, t0, newRequest("r", key)); got != servers[0].ID {
			t.Fatalf("key %d went to the smaller of two empty servers", key)
		}
	}
}

func TestWithoutKeySpreads(t *testing.T) {
	b, h := newBalancer(t, fleet(8))
	seen := map[string]bool{}
	for i := range 200 {
		seen[sendRequest(t, b, h, t0, Request{ID: fmt.Sprintf("id-%d-%d", i, i*i), Class: "safe", TTL: time.Second})] = true
	}
	if len(seen) != 8 {
		t.Errorf("keyless requests reached %d of 8 servers", len(seen))
	}
}

// Without faults every request goes to one of the two top servers of its key.
func TestRequestsGoToTheTopTwoWithoutFaults(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	for i := range 1000 {
		key := uint64(i % 83)
		got := sendRequest(t, b, h, t0+time.Duration(i)*10*ms, newRequest(fmt.Sprint("r", i), key))
		if top := rankedIDs(b, key)[:2]; !slices.Contains(top, got) {
			t.Fatalf("key %d went to %s, not to one of %v", key, got, top)
		}
		b.ConnectionEstablished(t0+time.Duration(i)*10*ms+ms, fmt.Sprint("r", i))
	}
}

func TestRejectionAndFailedConnectGoFurtherDown(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	top := rankedIDs(b, 3)
	first := sendRequest(t, b, h, t0, newRequest("r", 3))
	b.Outcome(t0+ms, "r", Rejected, false)
	second := h.take("send")[0].server
	b.Outcome(t0+2*ms, "r", ConnectFailed, false)
	third := h.take("send")[0].server
	if got := []string{first, second, third}; !slices.Equal(got, top[:3]) {
		t.Errorf("attempts went to %v, want %v", got, top[:3])
	}
	if s := b.servers[top[0]]; b.passOver(t0+3*ms, &request{}, s) != ejected {
		t.Error("a server that rejected a request is not passed over by other requests")
	}
}

// A key of a third of all clients is spread over its top ranks, a rare one stays at its two top servers, and a key that
// is no longer requested is forgotten.
func TestPopularKeyIsSpread(t *testing.T) {
	b, h := newBalancer(t, fleet(40))
	used := map[uint64]map[string]bool{1: {}, 2: {}}
	for i := range 1200 {
		key := uint64(100 + i)
		if i%3 == 0 {
			key = 1
		} else if i%100 == 1 {
			key = 2
		}
		got := sendRequest(t, b, h, t0, newRequest(fmt.Sprint("r", i), key))
		if i > 120 && used[key] != nil {
			used[key][got] = true
		}
		b.Outcome(t0, fmt.Sprint("r", i), OK, true)
	}
	if n := len(used[1]); n < 5 || n > 10 { // the load of a third of 40 servers, at twice the mean on each
		t.Errorf("a key of a third of the clients uses %d of 40 servers", n)
	}
	if n := len(used[2]); n > 2 {
		t.Errorf("a rare key uses %d servers", n)
	}
	for i := range 3000 {
		b.Request(t0, newRequest(fmt.Sprint("x", i), uint64(10000+i)))
	}
	if n := b.keyCounts[carpHash("1")]; n > 2 {
		t.Errorf("an old key still counts %d", n)
	}
	if len(b.keyCounts) > 8*40+1 {
		t.Errorf("%d keys are stored", len(b.keyCounts))
	}
}

func TestRequestWithoutEligibleServerIsHeldThenPlaced(t *testing.T) {
	b, h := newBalancer(t, fleet(2))
	b.list[0].State = Draining
	b.SiblingDelay(t0, b.list[1].hash, time.Second)
	b.Request(t0, newRequest("r", 1))
	if got := h.take("send"); len(got) != 0 {
		t.Fatalf("sent to a crowded server at once: %v", got)
	}
	b.Wake(t0+1001*ms, timerWaiting)
	if got := h.take("send"); len(got) != 1 {
		t.Errorf("not sent to the crowded server in the end: %v", got)
	}
}

// A new connection that goes beyond the two top servers of its key always has a reason to pass these over.
func TestPlacementBeyondTheTopTwoHasAReason(t *testing.T) {
	b, h := newBalancer(t, fleet(9))
	rng := rand.New(rand.NewPCG(8, 8))
	names := map[int]int{}
	landed, beyond := 0, 0
	for i := range 4000 {
		now := t0 + time.Duration(i)*50*ms
		s := b.list[rng.IntN(len(b.list))]
		switch rng.IntN(100) {
		case 0:
			b.eject(now, s)
		case 1:
			b.ServerDelay(now, s.ID, time.Duration(rng.IntN(900))*ms)
		case 2:
			e := s.Server
			e.State = []State{Ready, Ready, Ready, Draining}[rng.IntN(4)]
			b.Members(now, Delta, []Server{e})
		case 3:
			e := s.Server
			e.Started = now
			b.Members(now, Delta, []Server{e})
		}
		key := rng.Uint64N(500)
		top := slices.Collect(b.rank(carpHash(fmt.Sprint(key))))[:2]
		var reasons []int
		for _, s := range top {
			if r := b.passOver(now, &request{}, s); r != eligible {
				reasons = append(reasons, r)
			}
		}
		id := fmt.Sprint("r", i)
		h.actions = nil
		b.Request(now, newRequest(id, key))
		for _, a := range h.take("send") {
			if a.request != id {
				continue
			}
			if landed++; a.server != top[0].ID && a.server != top[1].ID {
				beyond++
				if len(reasons) == 0 {
					t.Fatalf("key %d went to %s past %s and %s without a reason", key, a.server, top[0].ID, top[1].ID)
				}
			}
			b.ConnectionEstablished(now, id)
			b.Outcome(now, id, OK, true)
		}
		for _, r := range reasons {
			names[r]++
		}
	}
	if landed < 1000 || beyond == 0 || len(names) < 3 {
		t.Errorf("%d placed, %d beyond the top two, reasons %v: the test covered too little", landed, beyond, names)
	}
}
