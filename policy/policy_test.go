package policy

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Worked out by hand from 3.1 and 3.2: 'a' is 97; "ab" is 97 + (97<<19) + 98; 1 + 0x62531965 rotated by
// 21.
func TestHashVectors(t *testing.T) {
	for text, want := range map[string]uint32{"": 0, "a": 97, "ab": 50856131} {
		if got := carpHash(text); got != want {
			t.Errorf("carpHash(%q) = %d, want %d", text, got, want)
		}
	}
	if got := spread(1); got != 0x2CCC4A63 {
		t.Errorf("spread(1) = %#x, want 0x2CCC4A63", got)
	}
}

// Worked out by hand from 3.3: for shares 1/4 and 3/4, X_1 = sqrt(1/2) and X_2 = (1/2)/X_1 + X_1 =
// sqrt(2).
func TestMultiplierVectors(t *testing.T) {
	for _, c := range []struct{ weights, want []float64 }{
		{[]float64{5}, []float64{1}},
		{[]float64{2, 2, 2}, []float64{1, 1, 1}},
		{[]float64{1, 3}, []float64{math.Sqrt(0.5), math.Sqrt2}},
	} {
		for i, got := range multipliers(c.weights) {
			if math.Abs(got-c.want[i]) > 1e-9 {
				t.Errorf("multipliers(%v)[%d] = %v, want %v", c.weights, i, got, c.want[i])
			}
		}
	}
}

func TestRealisedShares(t *testing.T) {
	servers := fleet(6)
	for i := range servers {
		servers[i].Weight = []float64{1, 2}[i%2]
	}
	b, _ := newBalancer(t, servers)
	counts := map[string]int{}
	const keys = 60000
	rng := rand.New(rand.NewPCG(5, 5))
	for range keys {
		counts[ids(b, rng.Uint64N(1<<53))[0]]++
	}
	for _, s := range servers {
		want := keys * s.Weight / 9
		if got := float64(counts[s.ID]); math.Abs(got-want) > 0.15*want {
			t.Errorf("%s of weight %v is top for %v keys, want about %v", s.ID, s.Weight, got, want)
		}
	}
}

// The pairs of top scores are even too, as the choice between two spreads load over them.
func TestRealisedPairs(t *testing.T) {
	b, _ := newBalancer(t, fleet(6))
	pairs := map[[2]string]int{}
	const keys = 60000
	rng := rand.New(rand.NewPCG(6, 6))
	for range keys {
		r := ids(b, rng.Uint64N(1<<53))
		pairs[[2]string{r[0], r[1]}]++
	}
	for pair, got := range pairs {
		if want := keys / 30.0; math.Abs(float64(got)-want) > 0.15*want {
			t.Errorf("%v are the top two of %d keys, want about %v", pair, got, want)
		}
	}
	if len(pairs) != 30 {
		t.Errorf("%d of 30 ordered pairs occur", len(pairs))
	}
}

func TestRankingDependsOnListAndKeyAlone(t *testing.T) {
	servers := fleet(9)
	servers[3].State = Draining
	a, h := newBalancer(t, servers)
	other := New(settings(), 99, &fakeHost{})
	backwards := slices.Clone(servers)
	slices.Reverse(backwards)
	other.Members(t0, Cached, backwards)
	for i := range 50 {
		send(t, a, h, t0, req(fmt.Sprint("r", i), uint64(i)))
	}
	for key := range uint64(200) {
		if x, y := ids(a, key), ids(other, key); !slices.Equal(x, y) || len(x) != 9 {
			t.Fatalf("key %d ranks as %v and as %v", key, x, y)
		}
	}
}

func TestUnusableWeightsAreSane(t *testing.T) {
	servers := fleet(5)
	for i, w := range []float64{0, -3, math.NaN(), math.Inf(1), 2} {
		servers[i].Weight = w
	}
	b, _ := newBalancer(t, servers)
	b.relist()
	for _, s := range b.list {
		if !(s.factor > 0) || math.IsInf(s.factor, 0) {
			t.Errorf("%s has multiplier %v", s.ID, s.factor)
		}
	}
}

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
		b.First(t0+time.Duration(i)*10*ms+ms, fmt.Sprint("r", i))
	}
}

func TestDrainingIsSkippedForNewAndKeptForMidFlowWithinGrace(t *testing.T) {
	servers := fleet(6)
	b, h := newBalancer(t, servers)
	top := ids(b, 3)
	i := slices.IndexFunc(servers, func(s Server) bool { return s.ID == top[0] })
	servers[i].State = Draining
	b.Members(t0, Delta, servers[i:i+1])
	if got := send(t, b, h, t0, req("new", 3)); got != top[1] {
		t.Errorf("new connection went to %s, want %s", got, top[1])
	}
	mid := req("mid", 3)
	mid.MidFlow = true
	if got := send(t, b, h, t0+200*ms, mid); got != top[0] {
		t.Errorf("mid-flow within grace went to %s, want %s", got, top[0])
	}
	mid.ID = "late"
	b.Members(t0+220*ms, Delta, servers[i:i+1]) // told again: the grace counts from the first time
	if got := send(t, b, h, t0+300*ms, mid); got == top[0] {
		t.Error("mid-flow after the grace still went to the draining server")
	}
}

func TestRefusalAndFailedConnectGoFurtherDown(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	top := ids(b, 3)
	first := send(t, b, h, t0, req("r", 3))
	b.Outcome(t0+ms, "r", TurnedAway, false)
	second := h.take("send")[0].server
	b.Outcome(t0+2*ms, "r", ConnectFailed, false)
	third := h.take("send")[0].server
	if got := []string{first, second, third}; !slices.Equal(got, top[:3]) {
		t.Errorf("attempts went to %v, want %v", got, top[:3])
	}
	if s := b.servers[top[0]]; b.passOver(t0+3*ms, &request{}, s) != doubted {
		t.Error("a server that turned a request away is not passed over by others")
	}
}

func TestSilentServerIsSuspectedAndCleared(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	top := ids(b, 3)
	send(t, b, h, t0, req("r", 3))
	b.Outcome(t0+time.Second, "r", Timeout, false)
	now := t0 + time.Second
	if got := h.take("send"); len(got) != 1 || got[0].server == top[0] || got[0].d > time.Second {
		t.Fatalf("after the time-out: %v", got)
	}
	b.First(now, "r")
	s := b.servers[top[0]]
	if b.passOver(now, &request{}, s) != doubted {
		t.Fatal("not suspect after a set-up without an answer")
	}
	if now = s.until; now < t0+time.Second+settings().Classes["safe"].Aim/2 {
		t.Errorf("passed over for only %v", now-t0-time.Second)
	}
	if got := send(t, b, h, now, req("test", 3)); got != top[0] {
		t.Fatalf("after the doubt a connection went to %s", got)
	}
	b.strike(now, s)
	b.First(now+ms, "test")
	if b.passOver(now+ms, &request{}, s) != eligible {
		t.Error("still passed over after one stood")
	}
}

func TestDoubtDoublesWithRepeats(t *testing.T) {
	b, _ := newBalancer(t, fleet(3))
	s, last, now := b.list[0], time.Duration(0), t0
	for range 3 {
		b.strike(now, s)
		if span := s.until - now; span <= last {
			t.Fatalf("doubt of %v after %v", span, last)
		} else {
			last, now = span, s.until+ms
		}
	}
}

// whileOverloaded tells where 4000 requests went, and how many were refused.
func whileOverloaded(b *Balancer, h *fakeHost) (seen map[string]bool, refused int) {
	seen = map[string]bool{}
	for i := range 4000 {
		h.actions = nil
		b.Request(t0+ms, req(fmt.Sprint("r", i), uint64(i)))
		for _, a := range h.actions {
			switch a.name {
			case "send":
				seen[a.server] = true
			case "refuse":
				refused++
			}
		}
	}
	return seen, refused
}

// What most of the fleet fails at tells nothing of its servers: the load must not fall on the few others. And so
// large a part of it is refused.
func TestDoubtOfMostOfTheFleetYields(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	for _, s := range b.list[:4] {
		b.strike(t0, s)
	}
	seen, refused := whileOverloaded(b, h)
	if len(seen) < 4 {
		t.Errorf("all load fell on the rest: %v", seen)
	}
	if refused < 3800 || refused == 4000 { // all but the cube of a third
		t.Errorf("%d of 4000 refused", refused)
	}
	mid := req("mid", 1)
	mid.MidFlow = true
	send(t, b, h, t0+ms, mid) // never refused: its connection stands
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
	if n := b.keys[carpHash("1")]; n > 2 {
		t.Errorf("a key of old still counts %d", n)
	}
	if len(b.keys) > 8*40+1 {
		t.Errorf("remembers %d keys", len(b.keys))
	}
}

// In a fleet that is slow as a whole a client that is held misses its time and comes again.
func TestMostOfTheFleetSlowPlacesAtOnce(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	for i, s := range b.list {
		if i < 3 {
			b.Heard(t0, s.hash, 300*ms)
		} else {
			s.State = Draining
		}
	}
	if seen, refused := whileOverloaded(b, h); len(seen) != 3 || refused < 3650 || refused == 4000 { // all but the cube of two fifths
		t.Errorf("placed on %v, want the three that are slow and do not drain; %d of 4000 refused", seen, refused)
	}
	if b.survey(t0 + 3*time.Second); b.overloaded() > 0 {
		t.Error("overloaded long after the last word of it")
	}
}

// A store that every set-up calls is overrun: each attempt fails at once, whatever the server.
func TestRefusalsSpareAStoreThatFails(t *testing.T) {
	b, h := newBalancer(t, fleet(8))
	now, sends := t0, 0
	var out []action
	for i := range 400 {
		now += 10 * ms
		for _, a := range out {
			b.Outcome(now, a.request, Error, false)
		}
		b.Request(now, req(fmt.Sprint("r", i), uint64(i)*31))
		b.Wake(now, timerHeld)
		out = h.take("send")
		sends += len(out)
	}
	if sends > 1600/6 { // four attempts each would be 1600
		t.Errorf("%d attempts in 4 s into a fleet where all fail", sends)
	}
	served := 0
	for i := range 2000 { // the store recovers
		now += 10 * ms
		for _, a := range out {
			b.First(now, a.request)
		}
		b.Request(now, req(fmt.Sprint("s", i), uint64(i)*31))
		b.Wake(now, timerHeld)
		if out = h.take("send"); i >= 1900 {
			served += len(out)
		}
	}
	if served < 95 || len(b.held) != 0 {
		t.Errorf("%d of the last 100 sent, %d held though set-ups stand again", served, len(b.held))
	}
}

func crowd(t *testing.T, b *Balancer, h *fakeHost, key uint64, n int) *server {
	t.Helper()
	for i := range n {
		id := fmt.Sprint("c", i)
		send(t, b, h, t0, req(id, key))
		b.First(t0, id)
	}
	return b.servers[ids(b, key)[0]]
}

func TestCrowdedServerIsPassedOverAndRelieved(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowd(t, b, h, 3, 20)
	b.Note(t0, "c2", NoteLoad, 9000) // of no use here
	if len(h.take("move")) != 0 {
		t.Fatal("moved for a note of load")
	}
	b.Note(t0+ms, "c0", NoteDelay, 400)
	moves := h.take("move")
	if len(moves) == 0 || len(moves) > 5 {
		t.Fatalf("moves: %v, want a few", moves)
	}
	if got := send(t, b, h, t0+2*ms, req("new", 3)); got == s.ID {
		t.Error("a crowded server got a new connection")
	}
	b.Note(t0+time.Second, "c0", NoteDelay, 20)
	if now := s.until; now > t0+2*time.Second || b.passOver(now, &request{}, s) != eligible {
		t.Error("passed over though it is back under and the doubt has passed")
	}
}

func TestDrainingBacklogIsNotCutFurther(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	crowd(t, b, h, 3, 20)
	b.Note(t0, "c0", NoteDelay, 900)
	h.actions = nil
	b.Note(t0+time.Second, "c0", NoteDelay, 400)
	if moves := h.take("move"); len(moves) > 0 {
		t.Errorf("%d moves though the backlog drains", len(moves))
	}
}

func TestDelayThatGrowsASecondASecondIsSilence(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowd(t, b, h, 3, 8)
	b.Note(t0, "c0", NoteDelay, 3000)
	b.Note(t0+time.Second, "c0", NoteDelay, 4000)
	if s.until <= t0+time.Second {
		t.Error("a server that does nothing is not suspect")
	}
}

func TestNobodyEligibleHoldsThenYields(t *testing.T) {
	b, h := newBalancer(t, fleet(2))
	b.list[0].State = Draining
	b.Heard(t0, b.list[1].hash, time.Second)
	b.Request(t0, req("r", 1))
	if got := h.take("send"); len(got) != 0 {
		t.Fatalf("sent to a crowded server at once: %v", got)
	}
	b.Wake(t0+1001*ms, timerHeld)
	if got := h.take("send"); len(got) != 1 {
		t.Errorf("a guess lost the request: %v", got)
	}
}

func TestColdBudget(t *testing.T) {
	servers := fleet(6)
	b, h := newBalancer(t, servers)
	for i := range 60 {
		id := fmt.Sprint("w", i)
		send(t, b, h, t0, req(id, uint64(i)*977))
		b.First(t0, id)
	}
	servers[2].Started = t0 // restarted under one id
	b.Members(t0, Delta, servers[2:3])
	n := 0
	for i := range 300 { // a storm of returning clients within the fall window
		if send(t, b, h, t0+time.Duration(i)*5*ms, req(fmt.Sprint("s", i), uint64(i)*31)) == servers[2].ID {
			n++
		}
	}
	usual := 10.0 // connections that stand on a warm server here, whatever the storm adds
	if most := headroom*3*0.3*usual/20*1.5 + 1; float64(n) > most {
		t.Errorf("%d sends to a server that just started, budget %v", n, most)
	}
	later := t0 + 30*time.Second
	if b.warmth(later, b.servers[servers[2].ID]) != 1 {
		t.Error("still cold after warmAfter")
	}
}

func TestAllColdAndSpentHoldsAndAnswers(t *testing.T) {
	b, h := allColdAndSpent(t)
	if got := len(h.take("send")); got > 3 {
		t.Errorf("%d sends to three servers that just started", got)
	}
	b.Wake(t0+1995*ms, timerHeld)
	if got := len(h.take("refuse")); got < 40 {
		t.Errorf("only %d of the held requests were answered", got)
	}
}

func TestEmptyListHoldsThenRefuses(t *testing.T) {
	b, h := newBalancer(t, nil)
	b.Request(t0, req("r", 1))
	wakes := h.take("wake")
	if len(wakes) != 1 || wakes[0].d >= t0+2*time.Second {
		t.Fatalf("a held request set no timer before its deadline: %v", wakes)
	}
	b.Wake(t0+1995*ms, timerHeld)
	if got := h.take("refuse"); len(got) != 1 {
		t.Errorf("refusals: %v", got)
	}
	if len(b.reqs) != 0 || len(b.held) != 0 {
		t.Error("the request is still remembered")
	}
}

func TestLapsedAndLateEventsAreHarmless(t *testing.T) {
	b, h := newBalancer(t, nil)
	b.Request(t0, req("r", 1))
	b.Gone(t0+ms, "r")
	b.Gone(t0+ms, "r")
	b.Outcome(t0+ms, "r", OK, true)
	b.First(t0+ms, "r")
	b.Note(t0+ms, "r", NoteDelay, 5)
	h.actions = nil
	b.Wake(t0+100*ms, timerHeld)
	if len(h.actions) != 0 {
		t.Errorf("actions for a request that ended: %v", h.actions)
	}
}

func TestOpenConnectionsCount(t *testing.T) {
	b, h := newBalancer(t, fleet(4))
	top := ids(b, 9)
	q := req("old", 9)
	b.Open(t0, q, top[0])
	if got := send(t, b, h, t0, req("new", 9)); got != top[1] {
		t.Errorf("went to %s though the top holds an open connection", got)
	}
	b.Outcome(t0+ms, "old", OK, true)
	if n := len(b.servers[top[0]].conns); n != 0 {
		t.Errorf("%d connections after the end", n)
	}
}

func TestWatchAsksAgainWithinAskWithin(t *testing.T) {
	h := &fakeHost{}
	b := New(settings(), 3, h)
	now := t0
	b.Members(now, Cached, fleet(2))
	for i := range 12 {
		var at time.Duration
		for _, w := range h.take("wake") {
			if w.timer == timerAsk {
				at = w.d
			}
		}
		if limit := settings().AskWithin << min(2*i, 2); at < now || at >= now+limit {
			t.Fatalf("asks at %v, now %v", at, now)
		}
		now = at
		b.Wake(now, timerAsk)
		if got := h.take("watch"); len(got) != 1 {
			t.Fatal("did not ask")
		}
		b.Members(now, Failed, nil)
	}
	h.actions = nil
	b.Members(now, Full, fleet(2))
	if len(h.take("wake")) != 0 {
		t.Error("asks again though subscribed")
	}
}

func TestFullListRemovesAndGoneIsForgotten(t *testing.T) {
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

// world checks the rules under random events: one answer before the deadline, one attempt at a time,
// effects, drains.
type world struct {
	t      *testing.T
	now    time.Duration
	open   map[string]*client
	state  map[string]Server
	told   map[string]time.Duration
	wakes  []action
	trace  []string
	rng    *rand.Rand
	b      *Balancer
	serial int
	set    Settings
	bound  map[string]time.Duration // where only draining binds: when the process seen draining started
	taken  []time.Duration
	again  []time.Duration
}

// mayBeSent tells whether the drain rule lets a server be sent to.
func (w *world) mayBeSent(e Server) bool {
	if w.set.OnlyDrainingBinds {
		if _, bound := w.bound[e.ID]; bound {
			return w.now <= w.told[e.ID]+w.set.DrainGrace
		}
		return true
	}
	return e.State == Ready || e.State == Draining && w.now <= w.told[e.ID]+w.set.DrainGrace
}

// rationed counts a further attempt and fails where the budget has none.
func (w *world) rationed() {
	within := func(times []time.Duration, edge time.Duration) (n int) {
		for _, at := range times {
			if at >= w.now-w.set.BudgetSpan+edge {
				n++
			}
		}
		return n
	}
	w.again = append(w.again, w.now)
	if most := w.set.SpareAttempts + w.set.AttemptShare*float64(within(w.taken, 1)); w.set.BudgetSpan > 0 &&
		float64(within(w.again, 0)) > most {
		w.fail("%d further attempts, budget %.1f", within(w.again, 0), most)
	}
}

type client struct {
	q        Request
	class    Class
	deadline time.Duration
	out      string
	began    bool
	answered bool
	ran      string
	ranSince time.Duration
	sentAt   time.Duration
	attempts int
}

func (w *world) fail(format string, args ...any) { w.t.Helper(); w.t.Fatalf(format, args...) }

func (w *world) answer(r, kind string) {
	c := w.open[r]
	if c == nil || c.answered || c.out != "" {
		w.fail("%s of %s, which is not owed it", kind, r)
	}
	if w.now > c.deadline {
		w.fail("%s of %s after its deadline", kind, r)
	}
	c.answered = true
	delete(w.open, r)
}

func (w *world) Send(r, s string, d time.Duration) {
	c := w.open[r]
	w.trace = append(w.trace, "send "+r+" "+s)
	if c == nil || c.answered || c.out != "" || w.now >= c.deadline || d <= 0 || w.now+d > c.deadline {
		w.fail("send of %s at %v for %v: %+v", r, w.now, d, c)
	}
	e, listed := w.state[s]
	if !listed || !w.mayBeSent(e) {
		w.fail("send to %s, which is %v", s, e.State)
	}
	if c.ran != "" {
		switch {
		case c.class.Effect == Unsafe:
			w.fail("unsafe request %s sent again", r)
		case c.class.Effect == Keyed && (!e.shares(c.class.Scope, w.state[c.ran]) || w.now-c.ranSince > c.class.Window):
			w.fail("keyed request %s sent where its duplicates are not known", r)
		}
	}
	if c.attempts++; c.attempts > settings().MaxAttempts {
		w.fail("too many attempts of %s", r)
	}
	if c.sentAt = w.now; c.attempts > 1 {
		w.rationed()
	}
	c.out = s
	if c.ran == "" {
		c.ranSince = w.now
	}
}

func (w *world) Refuse(r string, _ time.Duration) {
	w.trace = append(w.trace, "refuse "+r)
	if c := w.open[r]; c != nil && c.ran != "" {
		if c.class.Effect == Unsafe || c.class.Effect == Keyed && c.class.Scope != ScopeAll {
			w.fail("refusal of %s, which may have run", r)
		}
	}
	w.answer(r, "refusal")
}

func (w *world) Fail(r string)              { w.trace = append(w.trace, "fail "+r); w.answer(r, "failure") }
func (w *world) Move(r string)              { w.trace = append(w.trace, "move "+r) }
func (w *world) Tell(uint32, time.Duration) {}
func (w *world) Ask(string)                 {}
func (w *world) Wake(at time.Duration, n int64) {
	if at <= w.now {
		w.fail("a timer in the past")
	}
	w.wakes = append(w.wakes, action{d: at, timer: n})
}
func (w *world) Watch(bool)      { w.trace = append(w.trace, "watch") }
func (w *world) Log(text string) { w.trace = append(w.trace, text) }

func (w *world) names() (out []string) {
	for id := range w.open {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (w *world) step() {
	w.now += 5 * ms
	due := w.wakes
	w.wakes = nil
	for _, a := range due {
		if a.d <= w.now {
			w.b.Wake(w.now, a.timer)
		} else {
			w.wakes = append(w.wakes, a)
		}
	}
	switch w.rng.IntN(6) {
	case 0, 1:
		w.serial++
		names := []string{"keyed", "keyedall", "safe", "unsafe"}
		q := Request{ID: fmt.Sprint("q", w.serial), Class: names[w.rng.IntN(4)], Key: w.rng.Uint64N(30), HasKey: true,
			TTL: time.Duration(w.rng.IntN(1500)) * ms, MidFlow: w.rng.IntN(8) == 0}
		w.open[q.ID] = &client{q: q, class: settings().Classes[q.Class], deadline: w.now + q.TTL}
		w.taken = append(w.taken, w.now)
		w.b.Request(w.now, q)
	case 2:
		ids := make([]string, 0, len(w.state))
		for id := range w.state {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		e := w.state[ids[w.rng.IntN(len(ids))]]
		if next := State(w.rng.IntN(3)); next != e.State {
			e.State = next
			if _, bound := w.bound[e.ID]; !bound || !w.set.OnlyDrainingBinds {
				w.told[e.ID] = w.now
			}
		}
		if w.rng.IntN(4) == 0 {
			e.Started = w.now
		}
		if since, bound := w.bound[e.ID]; e.State == Draining {
			w.bound[e.ID] = e.Started
		} else if bound && e.State == Ready && e.Started > since {
			delete(w.bound, e.ID)
		}
		w.state[e.ID] = e
		w.b.Members(w.now, Delta, []Server{e})
	}
	for _, id := range w.names() {
		c := w.open[id]
		overdue := w.now >= c.deadline && !c.began
		switch {
		case c.out == "":
			if w.now > c.deadline+5*ms {
				w.fail("%s has no answer", id)
			}
		case overdue || w.rng.IntN(30) == 0:
			res := Result(1 + w.rng.IntN(7))
			if overdue {
				res = Timeout
			}
			over := c.began || w.rng.IntN(4) == 0
			if over {
				res = OK
				delete(w.open, id)
			} else if !res.neverRan() && c.ran == "" {
				c.ran = c.out
			}
			if i := slices.Index(w.again, c.sentAt); res == Moot && c.attempts > 1 && i >= 0 { // skipped
				w.again = slices.Delete(w.again, i, i+1)
			}
			if c.out = ""; overdue {
				c.deadline += 5 * ms
			}
			w.b.Outcome(w.now, id, res, over)
		case !c.began && w.rng.IntN(20) == 0:
			c.began = true
			w.b.First(w.now, id)
		case c.began && w.rng.IntN(30) == 0:
			w.b.Note(w.now, id, NoteDelay, float64(w.rng.IntN(4000)))
		}
	}
}

func runWorld(t *testing.T, seed uint64, set Settings) *world {
	w := &world{t: t, now: t0, set: set, bound: map[string]time.Duration{}, open: map[string]*client{}, state: map[string]Server{}, told: map[string]time.Duration{},
		rng: rand.New(rand.NewPCG(seed, 7))}
	w.b = New(set, seed, w)
	for _, s := range fleet(7) {
		w.state[s.ID] = s
	}
	w.b.Members(t0, Cached, fleet(7))
	for range 3000 {
		w.step()
	}
	for len(w.open) > 0 { // the counts return to zero
		for _, id := range w.names() {
			if c := w.open[id]; c.out != "" {
				delete(w.open, id)
				w.b.Outcome(w.now, id, OK, true)
			}
		}
		w.now += 5 * ms
		w.b.Wake(w.now, timerHeld)
	}
	for _, s := range w.b.servers {
		if len(s.conns) != 0 {
			t.Fatalf("seed %d: %s still counts %d connections", seed, s.ID, len(s.conns))
		}
	}
	if len(w.b.reqs) != 0 {
		t.Fatalf("seed %d: %d requests left", seed, len(w.b.reqs))
	}
	return w
}

func TestRulesUnderRandomEvents(t *testing.T) {
	again := 0
	for seed := range uint64(30) {
		if w := runWorld(t, seed, settings()); w.serial < 500 {
			t.Fatalf("only %d requests", w.serial)
		}
		set := settings()
		set.OnlyDrainingBinds, set.BudgetSpan, set.SpareAttempts, set.AttemptShare = true, 2*time.Second, 2, 0.03
		again += len(runWorld(t, seed, set).again)
	}
	if again < 50 {
		t.Errorf("only %d further attempts: the budget was hardly tried", again)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := runWorld(t, 4, settings()).trace, runWorld(t, 4, settings()).trace; !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

// The operators hold the module to these limits.
func TestModuleIsSmall(t *testing.T) {
	f, err := os.Open("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		text := strings.ReplaceAll(sc.Text(), "\t", "    ")
		if strings.TrimSpace(text) != "" {
			lines++
		}
		if len(text) > 110 {
			t.Errorf("line of %d characters: %s", len(text), text)
		}
		if lines == 1 && !strings.Contains(text, "api.go") {
			t.Error("the first line does not name api.go")
		}
	}
	if lines > 740 {
		t.Errorf("policy.go has %d lines, at most 740", lines)
	}
}

// Fleets as small as the smallest deployment and larger than the largest, warm or all cold.
func benchmarkFleets(b *testing.B, run func(b *testing.B, servers []Server)) {
	for _, n := range []int{12, 110, 400} {
		for _, started := range []time.Duration{0, t0} {
			servers := fleet(n)
			for i := range servers {
				servers[i].Started, servers[i].Weight = started, float64(1+i%3)
			}
			b.Run(fmt.Sprintf("servers=%d/cold=%v", n, started > 0), func(b *testing.B) { run(b, servers) })
		}
	}
}

func BenchmarkPlacement(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, servers []Server) {
		bal, h := newBalancer(b, servers)
		for i := 0; b.Loop(); i++ {
			id := "r" + string(rune('a'+i%26))
			bal.Request(t0, req(id, uint64(i)))
			bal.First(t0, id)
			bal.Outcome(t0, id, OK, true)
			bal.Gone(t0, id)
			bal.held, h.actions = bal.held[:0], h.actions[:0]
		}
	})
}

func BenchmarkDelta(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, servers []Server) {
		bal, _ := newBalancer(b, servers)
		for i := 0; b.Loop(); i++ {
			e := servers[i%len(servers)]
			e.State = []State{Draining, Gone, Ready}[i/len(servers)%3]
			bal.Members(t0, Delta, []Server{e})
			for range bal.rank(uint32(i)) {
				break
			}
		}
	})
}

func BenchmarkFullList(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, servers []Server) {
		bal, _ := newBalancer(b, servers)
		for b.Loop() {
			bal.Members(t0, Full, servers)
		}
	})
}

func TestMidFlowGoesToItsHolderThoughCrowded(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowd(t, b, h, 3, 12)
	b.Note(t0, "c0", NoteDelay, 90)
	b.strike(t0, s)
	mid := req("mid", 3)
	mid.MidFlow = true
	if got := send(t, b, h, t0+ms, mid); got != s.ID {
		t.Errorf("mid-flow went to %s; its holder %s would have gone on", got, s.ID)
	}
}

func TestRestartUnderOneIDVoidsWhatWasLearned(t *testing.T) {
	servers := fleet(4)
	b, _ := newBalancer(t, servers)
	s := b.list[0]
	b.strike(t0, s)
	s.delay, s.delayAt = time.Second, t0
	e := s.Server
	e.Started = t0
	b.Members(t0, Delta, []Server{e})
	if t0 < s.until || b.slow(t0, s) {
		t.Error("a fresh process is held to what the old one did")
	}
	if b.warmth(t0, s) >= 1 {
		t.Error("a fresh process counts as warm")
	}
}

// A server that drops its newest connections is crowded, not silent: its resets alone raise no doubt.
func TestResetOfAStandingConnectionIsNoDoubt(t *testing.T) {
	b, h := newBalancer(t, fleet(4))
	s := b.servers[send(t, b, h, t0, req("r", 3))]
	b.First(t0, "r")
	b.Outcome(t0+ms, "r", Reset, true)
	if t0+ms < s.until {
		t.Error("doubted for a reset")
	}
}

// Whatever happens, a new connection that lands beyond the key's two top scores does so for a named reason.
func TestEveryLandingBeyondTheTopTwoHasAReason(t *testing.T) {
	b, h := newBalancer(t, fleet(9))
	rng := rand.New(rand.NewPCG(8, 8))
	names := map[reason]int{}
	landed, beyond := 0, 0
	for i := range 4000 {
		now := t0 + time.Duration(i)*50*ms
		s := b.list[rng.IntN(len(b.list))]
		switch rng.IntN(100) {
		case 0:
			b.strike(now, s)
		case 1:
			b.delayed(now, s, time.Duration(rng.IntN(900))*ms)
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
		var why []reason
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
			b.First(now, id)
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

// The on-call page names each log line that the module writes, by its text up to the first figure or name.
func TestOnCallPageNamesEveryLogLine(t *testing.T) {
	source, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(source), "b.logf(\"")[1:]
	for _, l := range lines {
		text, _, _ := strings.Cut(l, "\"")
		start, _, _ := strings.Cut(text, "%")
		if !strings.Contains(string(page), "`"+strings.TrimSpace(start)) {
			t.Errorf("docs/oncall.md does not name %q", text)
		}
	}
	if len(lines) < 3 {
		t.Errorf("found only %d log lines", len(lines))
	}
}

// A server that comes and goes, under one id, leaves one entry and no trace; one named twice counts once; and a
// full list of an older time brings back what it names.
func TestListsThatFlapRepeatAndGoBack(t *testing.T) {
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
			if got := send(t, b, h, t0, req(fmt.Sprint("r", i), uint64(i))); got == old.ID {
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
	if got := ids(b, 7); len(got) != 4 {
		t.Errorf("ranks %v after a list that names each twice", got)
	}
}

// A server that drops all it is sent holds nothing of ours; a delay told of it keeps new connections away.
func TestDelayAtAServerThatHoldsNothing(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	top := send(t, b, h, t0, req("a", 7))
	b.First(t0, "a")
	b.Outcome(t0, "a", Reset, true)
	b.Delay(t0, top, time.Second)
	b.Delay(t0, "unheard-of", time.Second)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		if got := send(t, b, h, t0+ms, req(id, 7)); got == top {
			t.Errorf("%s went to %s", id, got)
		}
	}
}

// What arrives mid-flow was placed before a young server joined: the top of the others holds it, unless all are young.
func TestMidFlowPassesOverYoungServers(t *testing.T) {
	set := settings()
	set.WarmAfter = time.Second // so that no budget of a cold one interferes
	b, h := newBalancerWith(t, set, fleet(5))
	ranked := ids(b, 7)
	join := func(id string) {
		s := Server{ID: id, State: Ready, Weight: 1, Started: t0}
		b.Members(t0, Delta, []Server{s})
	}
	mid := func(id string, now time.Duration) string {
		q := req(id, 7)
		q.MidFlow = true
		return send(t, b, h, now, q)
	}
	join(ranked[0])
	if got := mid("a", t0+5*time.Second); got != ranked[1] {
		t.Errorf("the young top got it, not %s: %s", ranked[1], got)
	}
	if got := mid("b", t0+lasting); got != ranked[0] {
		t.Errorf("%s got it, not the top, which is old by now", got)
	}
	for _, id := range ranked {
		join(id)
	}
	if got := mid("c", t0+5*time.Second); got != ranked[0] {
		t.Errorf("%s got it, not the top of servers that are all young", got)
	}
}

// Most of a key's connections stand where most of ours do; where none do, not at a server that is slow.
func TestMidFlowGoesWhereMostOfItsKeyStand(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	ranked := ids(b, 7)
	mid := func(id string, now time.Duration) string {
		q := req(id, 7)
		q.MidFlow = true
		return send(t, b, h, now, q)
	}
	b.Delay(t0, ranked[0], 80*ms)
	if got := mid("a", t0); got != ranked[1] {
		t.Errorf("%s got it, not the next after the slow one", got)
	}
	later := t0 + 10*noteEvery
	if got := mid("b", later); got != ranked[0] {
		t.Errorf("%s got it, not the top", got)
	}
	b.Open(later, req("c", 7), ranked[2])
	b.Open(later, req("other", 8), ranked[3])
	if got := mid("d", later); got != ranked[2] {
		t.Errorf("%s got it, not the one that holds one of the key", got)
	}
}

// What the process before us sent to a cold server in this span is not known here: nothing more goes there in it.
func TestSucceedingSpendsTheColdBudget(t *testing.T) {
	servers := fleet(1)
	servers[0].Started = t0
	b, h := newBalancer(t, servers)
	now := t0 + b.set.WarmAfter/2
	b.Succeed(now)
	h.actions = nil
	b.Request(now+ms, req("early", 1))
	if sent := h.take("send"); len(sent) > 0 {
		t.Errorf("sent %v", sent)
	}
	if at := send(t, b, h, now+b.set.Fall+ms, req("later", 2)); at != servers[0].ID {
		t.Errorf("sent to %q", at)
	}
}

// When a sibling dies, all its clients of a key arrive at once. What is sent elsewhere than to its holder is set up
// anew, so they are dealt out as the holders' parts are likely to be; all to one server would fill it.
func TestMidFlowBurstsAreDealtOut(t *testing.T) {
	burst := func(b *Balancer, h *fakeHost, n int) map[string]int {
		got := map[string]int{}
		for i := range n {
			q := req(fmt.Sprint("mid", i), 7)
			q.MidFlow = true
			got[send(t, b, h, t0+ms, q)]++
		}
		return got
	}
	b, h := newBalancer(t, fleet(5))
	ranked := ids(b, 7)
	if got := burst(b, h, 6); got[ranked[0]] != 3 || got[ranked[1]] != 3 {
		t.Errorf("with none of the key here: %v of %v", got, ranked)
	}
	b, h = newBalancer(t, fleet(5))
	for i, at := range []int{2, 2, 2, 2, 3, 3} {
		b.Open(t0, req(fmt.Sprint("own", i), 7), ranked[at])
	}
	if got := burst(b, h, 6); got[ranked[2]] < 3 || got[ranked[3]] < 2 || len(got) != 2 {
		t.Errorf("with four at one and two at the other: %v of %v", got, ranked)
	}
}
