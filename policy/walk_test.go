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
	r := ids(b, 7)
	for i, want := range []string{r[0], r[1], r[0], r[1]} { // ties go to the top
		if got := send(t, b, h, t0, req(fmt.Sprint("r", i), 7)); got != want {
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
		counts[send(t, b, h, t0, req(fmt.Sprint("r", i), uint64(i)*7919))]++
	}
	if got := counts[servers[0].ID]; got < 290 || got > 310 {
		t.Errorf("the server of three times the size got %d of 400, want about 300", got)
	}
}

// A balancer that holds next to nothing sends to the larger of two, as a small one is filled by few.
func TestFirstConnectionGoesToTheLargerOfTwo(t *testing.T) {
	servers := fleet(2)
	servers[0].Weight, servers[1].Weight = 7, 2
	for key := range uint64(40) {
		b, h := newBalancer(t, servers)
		if got := send(t, b, h, t0, req("r", key)); got != servers[0].ID {
			t.Fatalf("key %d went to the smaller of two empty servers", key)
		}
	}
}

func TestWithoutKeySpreads(t *testing.T) {
	b, h := newBalancer(t, fleet(8))
	seen := map[string]bool{}
	for i := range 200 {
		seen[send(t, b, h, t0, Request{ID: fmt.Sprintf("id-%d-%d", i, i*i), Class: "safe", TTL: time.Second})] = true
	}
	if len(seen) != 8 {
		t.Errorf("keyless requests reached %d of 8 servers", len(seen))
	}
}

// The mechanism decides the ordinary path: without trouble every first send lands on the key's two top
// scores.
func TestOrdinaryPathIsTheMechanism(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	for i := range 1000 {
		key := uint64(i % 83)
		got := send(t, b, h, t0+time.Duration(i)*10*ms, req(fmt.Sprint("r", i), key))
		if top := ids(b, key)[:2]; !slices.Contains(top, got) {
			t.Fatalf("key %d went to %s, not to one of %v", key, got, top)
		}
		b.ConnectionEstablished(t0+time.Duration(i)*10*ms+ms, fmt.Sprint("r", i))
	}
}

func TestRefusalAndFailedConnectGoFurtherDown(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	top := ids(b, 3)
	first := send(t, b, h, t0, req("r", 3))
	b.Outcome(t0+ms, "r", Rejected, false)
	second := h.take("send")[0].server
	b.Outcome(t0+2*ms, "r", ConnectFailed, false)
	third := h.take("send")[0].server
	if got := []string{first, second, third}; !slices.Equal(got, top[:3]) {
		t.Errorf("attempts went to %v, want %v", got, top[:3])
	}
	if s := b.servers[top[0]]; b.passOver(t0+3*ms, &request{}, s) != ejected {
		t.Error("a server that turned a request away is not passed over by others")
	}
}

// A key of a third of all clients is spread over its top ranks, a rare one keeps to its two servers; and a key
// that is asked for no more is forgotten.
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
		got := send(t, b, h, t0, req(fmt.Sprint("r", i), key))
		if i > 120 && used[key] != nil {
			used[key][got] = true
		}
		b.Outcome(t0, fmt.Sprint("r", i), OK, true)
	}
	if n := len(used[1]); n < 5 || n > 10 { // a third of 40 servers, two means each
		t.Errorf("a key of a third of the clients uses %d of 40 servers", n)
	}
	if n := len(used[2]); n > 2 {
		t.Errorf("a rare key uses %d servers", n)
	}
	for i := range 3000 {
		b.Request(t0, req(fmt.Sprint("x", i), uint64(10000+i)))
	}
	if n := b.keyCounts[carpHash("1")]; n > 2 {
		t.Errorf("a key of old still counts %d", n)
	}
	if len(b.keyCounts) > 8*40+1 {
		t.Errorf("remembers %d keys", len(b.keyCounts))
	}
}

func TestNobodyEligibleHoldsThenYields(t *testing.T) {
	b, h := newBalancer(t, fleet(2))
	b.list[0].State = Draining
	b.SiblingDelay(t0, b.list[1].hash, time.Second)
	b.Request(t0, req("r", 1))
	if got := h.take("send"); len(got) != 0 {
		t.Fatalf("sent to a crowded server at once: %v", got)
	}
	b.Wake(t0+1001*ms, timerWaiting)
	if got := h.take("send"); len(got) != 1 {
		t.Errorf("a guess lost the request: %v", got)
	}
}

// Whatever happens, a new connection that lands beyond the key's two top scores does so for a named reason.
func TestEveryLandingBeyondTheTopTwoHasAReason(t *testing.T) {
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
		var why []int
		for _, s := range top {
			if r := b.passOver(now, &request{}, s); r != eligible {
				why = append(why, r)
			}
		}
		id := fmt.Sprint("r", i)
		h.actions = nil
		b.Request(now, req(id, key))
		for _, a := range h.take("send") {
			if a.request != id {
				continue
			}
			if landed++; a.server != top[0].ID && a.server != top[1].ID {
				beyond++
				if len(why) == 0 {
					t.Fatalf("key %d went to %s past %s and %s without a reason", key, a.server, top[0].ID, top[1].ID)
				}
			}
			b.ConnectionEstablished(now, id)
			b.Outcome(now, id, OK, true)
		}
		for _, r := range why {
			names[r]++
		}
	}
	if landed < 1000 || beyond == 0 || len(names) < 3 {
		t.Errorf("%d landings, %d beyond the top two, reasons %v: the test saw too little", landed, beyond, names)
	}
}
