package cells

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

const startTime = 1000 * time.Second

func testSettings() policy.Settings {
	return policy.Settings{MaxAttempts: 6, Siblings: 1, Tick: 4 * time.Millisecond, MustWatch: true, MaxWatchInterval: 10 * time.Second,
		DrainGrace: 300 * time.Millisecond, ColdCapacityShare: 0.15, WarmAfter: 22 * time.Second, OverloadFactor: 3, OverloadSpan: time.Second,
		Classes: map[string]policy.Class{"lookup": {SetupTarget: 300 * time.Millisecond, MessageTarget: 250 * time.Millisecond}}}
}

// fakeHost records the actions of a Fleet, and keeps track of attempts, final answers and timers.
type fakeHost struct {
	t            require.TestingT
	fleet        *Fleet
	actions      []string
	inFlight     map[string]string // desk host by request
	attempts     map[string]int
	finalAnswers map[string]int
	moves        []string
	timers       []timer
	watchCalls   int
	lastSent     string
	onSend       func(request, server string)
}

type timer struct {
	at   time.Duration
	name int64
}

func (w *fakeHost) recordAction(format string, args ...any) {
	w.actions = append(w.actions, fmt.Sprintf(format, args...))
}
func (w *fakeHost) Send(r, s string, d time.Duration) {
	w.recordAction("send %s %s %v", r, s, d)
	assert.Empty(w.t, w.inFlight[r], "two attempts in flight")
	w.inFlight[r] = s
	w.attempts[r]++
	w.lastSent = s
	if w.onSend != nil {
		w.onSend(r, s)
	}
}
func (w *fakeHost) Refuse(r string, d time.Duration, _ policy.Reason) {
	w.recordAction("refuse %s %v", r, d)
	w.finalAnswers[r]++
}
func (w *fakeHost) Fail(r string)  { w.recordAction("fail %s", r); w.finalAnswers[r]++ }
func (w *fakeHost) Move(r string)  { w.recordAction("move %s", r); w.moves = append(w.moves, r) }
func (w *fakeHost) Probe(s string) { w.recordAction("probe %s", s) }
func (w *fakeHost) NotifySiblings(s uint32, d time.Duration) {
	w.recordAction("notify siblings %d %v", s, d)
}
func (w *fakeHost) Watch(on bool) { w.recordAction("watch %v", on); w.watchCalls++ }
func (w *fakeHost) Log(string)    {}
func (w *fakeHost) Wake(at time.Duration, name int64) {
	w.recordAction("wake %v %d", at, name)
	w.timers = append(w.timers, timer{at, name})
}

func newFakeHost(t require.TestingT, set policy.Settings, plan *Plan) *fakeHost {
	w := &fakeHost{t: t, inFlight: map[string]string{}, attempts: map[string]int{}, finalAnswers: map[string]int{}}
	w.fleet = New(set, 7, w, plan)
	return w
}

func (w *fakeHost) request(now time.Duration, id, carrier string, flight uint64) string {
	w.lastSent = ""
	w.fleet.Request(now, policy.Request{ID: id, Class: "lookup", Key: flight, HasKey: true, TTL: time.Second, Tenant: carrier})
	return w.lastSent
}

func (w *fakeHost) establish(now time.Duration, id, carrier string, flight uint64) string {
	s := w.request(now, id, carrier, flight)
	require.NotEmpty(w.t, s)
	w.fleet.ConnectionEstablished(now, id)
	w.finalAnswers[id]++
	return s
}

func (w *fakeHost) endConnection(now time.Duration, id string) {
	delete(w.inFlight, id)
	w.fleet.Outcome(now, id, policy.Cancelled, true)
}

// fireTimers fires the timers that are due.
func (w *fakeHost) fireTimers(now time.Duration) {
	for {
		i := slices.IndexFunc(w.timers, func(t timer) bool { return t.at <= now })
		if i < 0 {
			return
		}
		due := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.fleet.Wake(now, due.name)
	}
}

// Without a plan, a Fleet takes the same actions as a single policy.Balancer for any sequence of events.
func TestFleetWithoutPlanMatchesSingleBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single := &fakeHost{t: t, inFlight: map[string]string{}, attempts: map[string]int{}, finalAnswers: map[string]int{}}
		balancer := policy.New(testSettings(), 7, single)
		w := newFakeHost(t, testSettings(), nil)
		list, now := testHosts(6), startTime
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprintf("r%d", rapid.IntRange(0, i).Draw(t, "id"))
			what := rapid.IntRange(0, 6).Draw(t, "what")
			if i == 0 {
				what = 0
			}
			switch what {
			case 0:
				kind := rapid.SampledFrom([]policy.MembersKind{policy.Full, policy.Cached, policy.Delta, policy.WatchFailed}).Draw(t, "kind")
				j := rapid.IntRange(0, 5).Draw(t, "host")
				list[j].State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining}).Draw(t, "state")
				balancer.Members(now, kind, list[j:])
				w.fleet.Members(now, kind, list[j:])
			case 1, 2, 3:
				id = fmt.Sprintf("r%d", i)
				q := policy.Request{ID: id, Class: "lookup", Key: rapid.Uint64Range(0, 9).Draw(t, "key"), HasKey: true, TTL: time.Second}
				balancer.Request(now, q)
				w.fleet.Request(now, q)
			case 4:
				balancer.ConnectionEstablished(now, id)
				w.fleet.ConnectionEstablished(now, id)
			case 5:
				result := policy.Result(rapid.IntRange(0, 7).Draw(t, "result"))
				over := rapid.Bool().Draw(t, "over")
				if single.inFlight[id] != "" {
					delete(single.inFlight, id)
					delete(w.inFlight, id)
					balancer.Outcome(now, id, result, over)
					w.fleet.Outcome(now, id, result, over)
				}
			case 6:
				balancer.ServerDelay(now, list[0].ID, 400*time.Millisecond)
				w.fleet.ServerDelay(now, list[0].ID, 400*time.Millisecond)
				if len(w.timers) > 0 {
					balancer.Wake(now, w.timers[0].name)
					w.fleet.Wake(now, w.timers[0].name)
					w.timers = w.timers[1:]
				}
			}
			require.Equal(t, single.actions, w.actions)
		}
	})
}

// For any sequence of list updates, plans and requests: each request gets one final answer and at most six attempts,
// never two at once and none to a host outside its cell, and the cells' counts match the tracked requests.
func TestFleetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plans := []*Plan{evenPlan(3), evenPlan(2), nil, {Default: "c0", Cells: []Cell{
			{Name: "c0", Share: 0.5, MaxGuests: 4, MaxConnections: 12}, {Name: "c1", Share: 0.3, MaxConnections: 3, OverflowTo: "c0", Carriers: []string{"air-1"}},
			{Name: "c2", Share: 0.2, MaxOpensPerSecond: 3, Carriers: []string{"air-2"}}},
			Moves: []Move{{Carrier: "air-1", From: "c1", To: "c2", Start: startTime + time.Second, Duration: 4 * time.Second, ReturnStart: startTime + 6*time.Second}}}}
		w := newFakeHost(t, testSettings(), plans[rapid.IntRange(0, 3).Draw(t, "plan")])
		list, now, taken, open := testHosts(9), startTime, map[string]bool{}, []string{}
		w.fleet.Members(now, policy.Full, list)
		w.onSend = func(r, s string) {
			if c := w.fleet.requests[r].cell; w.fleet.plan != nil {
				require.Equal(t, w.fleet.cellOfHost[s].name, c.name, "a desk host of another cell")
			}
			require.NotEqual(t, policy.Gone, w.fleet.listedHosts[s].State)
		}
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond
			w.fireTimers(now)
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case what < 5:
				id := fmt.Sprintf("r%d", i)
				taken[id] = true
				w.fleet.Request(now, policy.Request{ID: id, Class: "lookup", Key: rapid.Uint64Range(0, 20).Draw(t, "key"), HasKey: true,
					TTL: time.Second, Tenant: fmt.Sprintf("air-%d", rapid.IntRange(0, 3).Draw(t, "carrier")), MidFlow: rapid.IntRange(0, 3).Draw(t, "mid") == 0})
			case what < 8:
				for _, id := range sortedKeys(w.inFlight) {
					if w.finalAnswers[id] == 0 && rapid.Bool().Draw(t, "comes up") {
						w.fleet.ConnectionEstablished(now, id)
						w.finalAnswers[id]++
						open = append(open, id)
					}
				}
			case what == 8:
				for _, id := range sortedKeys(w.inFlight) {
					if w.finalAnswers[id] == 0 {
						delete(w.inFlight, id)
						w.fleet.Outcome(now, id, rapid.SampledFrom([]policy.Result{policy.Rejected, policy.Reset, policy.Timeout}).Draw(t, "result"), false)
						break
					}
				}
			case what == 9 && len(open) > 0:
				w.endConnection(now, open[0])
				open = open[1:]
			case what == 10:
				j := rapid.IntRange(0, 8).Draw(t, "host")
				list[j].State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining, policy.Gone}).Draw(t, "state")
				w.fleet.Members(now, policy.Delta, list[j:j+1])
			case what == 11:
				w.fleet.SetPlan(now, plans[rapid.IntRange(0, 3).Draw(t, "plan")])
			}
			for _, id := range w.moves { // clients end moved connections at once
				if w.inFlight[id] != "" {
					w.endConnection(now, id)
					open = slices.DeleteFunc(open, func(o string) bool { return o == id })
				}
			}
			requireConsistentCounts(t, w)
		}
		for range 40 { // all attempts in flight end; waiting requests are answered before their deadline
			now += 100 * time.Millisecond
			w.fireTimers(now)
			for _, id := range sortedKeys(w.inFlight) {
				if w.finalAnswers[id] == 0 {
					delete(w.inFlight, id)
					w.fleet.Outcome(now, id, policy.Rejected, false)
				}
			}
		}
		for id := range taken {
			require.Equal(t, 1, w.finalAnswers[id], "final answers of %s", id)
			require.LessOrEqual(t, w.attempts[id], 6)
		}
		moved := slices.Clone(w.moves)
		slices.Sort(moved)
		require.Equal(t, len(moved), len(slices.Compact(moved)), "moved twice")
	})
}

func sortedKeys(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// requireConsistentCounts compares the cells' counts and indexes with the tracked requests.
func requireConsistentCounts(t *rapid.T, w *fakeHost) {
	open, established, guests, totalEstablished := map[*cell]int{}, map[*cell]int{}, map[*cell]int{}, 0
	for _, r := range w.fleet.requests {
		open[r.cell]++
		if r.established {
			established[r.cell]++
			totalEstablished++
		}
		if r.overflowedFrom != nil {
			guests[r.cell]++
		}
	}
	for _, c := range w.fleet.cellsByNumber {
		require.Equal(t, open[c], c.open)
		require.Equal(t, established[c], c.established)
		require.Equal(t, guests[c], c.guests)
	}
	byCarrier, byFlight := 0, 0
	for _, all := range w.fleet.carrierConnections {
		byCarrier += len(all)
	}
	for _, at := range w.fleet.flightConnections {
		for _, n := range at {
			byFlight += n
		}
	}
	require.Equal(t, totalEstablished, byCarrier)
	require.Equal(t, totalEstablished, byFlight)
}

// A host that changes its cell is removed from the old cell's balancer at once, and its slow-start budget is not spent
// twice.
func TestReassignedHostGetsNoSecondSlowStartBudget(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Numbers: []int{1}}, {Name: "b", Numbers: []int{2}, Carriers: []string{"x"}}}}
	w := newFakeHost(t, testSettings(), plan)
	cold := policy.Server{ID: "cold", Cell: 1, State: policy.Ready, Weight: 1, Started: startTime}
	w.fleet.Members(startTime, policy.Full, []policy.Server{cold, {ID: "one", Cell: 1, State: policy.Ready, Weight: 1}, {ID: "two", Cell: 2, State: policy.Ready, Weight: 1}})
	for i := range 200 {
		w.establish(startTime-2*time.Second, fmt.Sprintf("s%d", i), []string{"", "x"}[i%2], uint64(i))
	}
	sent := 0
	for i := range 40 {
		if w.request(startTime, fmt.Sprintf("a%d", i), "", uint64(i)) == "cold" {
			sent++
		}
	}
	require.Positive(t, sent)
	cold.Cell = 2
	w.fleet.Members(startTime, policy.Delta, []policy.Server{cold})
	for i := range 40 {
		assert.NotEqual(t, "cold", w.request(startTime, fmt.Sprintf("b%d", i), "x", uint64(i)))
	}
	w.fleet.Members(startTime, policy.Delta, []policy.Server{{ID: "one", Cell: 2, State: policy.Ready, Weight: 1}})
	assert.Empty(t, w.request(startTime, "late", "", 3), "the old cell has no host left and refuses")
	assert.Equal(t, 1, w.finalAnswers["late"])
}

func TestReassignedDrainingHostGetsNoMidFlowRequests(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Numbers: []int{1}}, {Name: "b", Numbers: []int{2}, Carriers: []string{"x"}}}}
	w := newFakeHost(t, testSettings(), plan)
	s := policy.Server{ID: "s", Cell: 1, State: policy.Draining, Weight: 1}
	w.fleet.Members(startTime, policy.Full, []policy.Server{s, {ID: "two", Cell: 2, State: policy.Ready, Weight: 1}})
	s.Cell = 2
	w.fleet.Members(startTime+250*time.Millisecond, policy.Delta, []policy.Server{s})
	for i := range uint64(20) {
		w.fleet.Request(startTime+400*time.Millisecond, policy.Request{ID: fmt.Sprint(i), Class: "lookup", Key: i, HasKey: true, TTL: time.Second, MidFlow: true, Tenant: "x"})
		assert.Equal(t, "two", w.lastSent)
	}
}

// Only one balancer watches discovery, so that calls do not multiply with the number of cells.
func TestOneWatchForAllCells(t *testing.T) {
	w := newFakeHost(t, testSettings(), evenPlan(5))
	w.fleet.Members(startTime, policy.Cached, testHosts(10))
	w.fleet.Members(startTime, policy.WatchFailed, nil)
	w.fireTimers(startTime + time.Minute)
	assert.Equal(t, 2, w.watchCalls)
}

func TestRetryBudgetIsDivided(t *testing.T) {
	set := testSettings()
	set.RetryBudgetSpan, set.RetryBudgetBase = 10*time.Second, 4
	w := newFakeHost(t, set, evenPlan(4))
	w.fleet.Members(startTime, policy.Full, testHosts(40))
	for i := range 40 {
		id := fmt.Sprintf("r%d", i)
		w.request(startTime, id, fmt.Sprintf("air-%d", i%4), uint64(i))
		for w.finalAnswers[id] == 0 {
			delete(w.inFlight, id)
			w.fleet.Outcome(startTime, id, policy.Rejected, false)
		}
	}
	retries := 0
	for _, n := range w.attempts {
		retries += n - 1
	}
	assert.LessOrEqual(t, retries, 4)
}

// Requests over a limit are refused at once with a retry time. Guests are accepted up to MaxGuests, which leaves the
// rest of the capacity to the cell's own connections.
func TestLimitsAndGuests(t *testing.T) {
	plan := &Plan{Default: "big", AbsentRetention: time.Minute, Cells: []Cell{{Name: "big", Share: 0.5, MaxConnections: 10, MaxGuests: 4},
		{Name: "small", Share: 0.5, MaxConnections: 3, OverflowTo: "big", Carriers: []string{"x"}}}}
	w := newFakeHost(t, testSettings(), plan)
	w.fleet.Members(startTime, policy.Full, testHosts(8))
	for i := range 9 {
		w.request(startTime, fmt.Sprintf("g%d", i), "x", uint64(i))
	}
	f := w.fleet.Stats(startTime)
	assert.Equal(t, []int{4, 4, 3}, []int{f[0].Connections, f[0].Guests, f[1].Connections})
	assert.Equal(t, []int64{4, 2, 0}, []int64{f[1].Overflowed, f[1].RefusedFull, f[0].RefusedFull})
	assert.Equal(t, 1, w.finalAnswers["g8"])
	for i := range 6 {
		assert.NotEmpty(t, w.request(startTime, fmt.Sprintf("b%d", i), "", uint64(i)), "guests do not use the cell's own capacity")
	}
	assert.Empty(t, w.request(startTime, "b6", "", 1))
	for i, list := 0, testHosts(8); i < 8; i++ { // the small cell loses all hosts, and its requests still overflow
		if w.fleet.cellOfHost[list[i].ID].name == "small" {
			list[i].State = policy.Gone
			w.fleet.Members(startTime, policy.Delta, list[i:i+1])
		}
	}
	for _, id := range []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "b0"} {
		w.endConnection(startTime, id)
	}
	assert.Equal(t, "big", w.fleet.cellOfHost[w.request(startTime, "late", "x", 1)].name, "with no host in service, requests overflow")
}

func TestOpensPerSecond(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 20} {
		plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Share: 1, MaxOpensPerSecond: rate}}}
		w := newFakeHost(t, testSettings(), plan)
		w.fleet.Members(startTime, policy.Full, testHosts(8))
		passed := 0
		for i := range 2000 { // 20 s at 100 per second
			if w.request(startTime+time.Duration(i)*10*time.Millisecond, fmt.Sprint(i), "", uint64(i)) != "" {
				passed++
			}
		}
		assert.InDelta(t, 20*rate+max(rate, 1), passed, 1.01, "at %v a second", rate)
	}
}

// During a carrier's move, flights cross as a unit, established connections follow at the configured pace and each
// client gets MOVE once. A move that is returned halfway ends in the cell where it began.
func TestMove(t *testing.T) {
	for _, back := range []time.Duration{0, startTime + 15*time.Second} {
		plan := evenPlan(2)
		plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: startTime + 10*time.Second, Duration: 10 * time.Second, MaxPerSecond: 40, ReturnStart: back}}
		w := newFakeHost(t, testSettings(), plan)
		w.fleet.Members(startTime, policy.Full, testHosts(20))
		for i := range 300 {
			w.establish(startTime, fmt.Sprintf("r%d", i), "air-1", uint64(i%30))
		}
		movesByClient, reconnects, movesBySecond := map[string]int{}, 0, map[time.Duration]int{}
		for now := startTime; now < startTime+40*time.Second; now += 50 * time.Millisecond {
			before := len(w.moves)
			w.fireTimers(now)
			movesBySecond[now.Truncate(time.Second)] += len(w.moves) - before
			assert.LessOrEqual(t, movesBySecond[now.Truncate(time.Second)], 48, "the pace plus one interval")
			for _, id := range w.moves[before:] {
				require.Equal(t, 1, w.finalAnswers[id])
				w.endConnection(now, id)
				movesByClient[id]++
				reconnects++
				var flight uint64
				_, _ = fmt.Sscanf(id, "r%d", &flight)
				w.establish(now, fmt.Sprintf("r%d", flight%30+30*uint64(1000+reconnects)), "air-1", flight%30)
			}
		}
		want, f := 300, w.fleet.Stats(startTime+40*time.Second)
		if back > 0 {
			want = 0
			assert.Greater(t, reconnects, 100)
		} else {
			assert.Equal(t, 300, reconnects, "one MOVE per client")
		}
		assert.Equal(t, []int{want, 300 - want, 0, 0}, []int{f[0].Connections, f[1].Connections, f[0].PendingMoves, f[1].PendingMoves})
		for id, n := range movesByClient {
			assert.Equal(t, 1, n, id)
		}
	}
}

// A mid-flow request is first tried in the cell that has connections of its flight. If the connection is not there, the
// request continues in its home cell, and the first try counts as an attempt.
func TestMidFlowInAMove(t *testing.T) {
	plan := evenPlan(2)
	plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: startTime, Duration: 4 * time.Second, MaxPerSecond: 1}}
	w := newFakeHost(t, testSettings(), plan)
	w.fleet.Members(startTime-time.Second, policy.Full, testHosts(24))
	w.establish(startTime-time.Second, "s", "air-1", 5)
	now := startTime + 10*time.Second // the flight has crossed, and its connection has not followed yet
	w.fleet.Request(now, policy.Request{ID: "m", Class: "lookup", Key: 5, HasKey: true, TTL: time.Second, Tenant: "air-1", MidFlow: true})
	assert.Equal(t, w.inFlight["s"], w.lastSent)
	delete(w.inFlight, "m")
	w.fleet.Outcome(now, "m", policy.Reset, false)
	require.NotEmpty(t, w.inFlight["m"])
	assert.Equal(t, "c0", w.fleet.cellOfHost[w.inFlight["m"]].name)
	assert.Equal(t, 2, w.attempts["m"])
	for i := 0; i < 10 && w.finalAnswers["m"] == 0; i++ {
		delete(w.inFlight, "m")
		w.fleet.Outcome(now, "m", policy.Reset, false)
	}
	assert.Equal(t, 6, w.attempts["m"])
	assert.Equal(t, 1, w.finalAnswers["m"])
}

// Failures in one cell do not change the decisions of another.
func TestFailuresInAnotherCellChangeNoDecision(t *testing.T) {
	run := func(trouble bool) []string {
		w := newFakeHost(t, testSettings(), evenPlan(2))
		w.fleet.Members(startTime, policy.Full, testHosts(12))
		var sent []string
		for i := range 200 {
			now := startTime + time.Duration(i)*10*time.Millisecond
			id := fmt.Sprintf("a%d", i)
			w.request(now, id, "air-0", 1)
			if trouble && w.inFlight[id] != "" {
				delete(w.inFlight, id)
				w.fleet.Outcome(now, id, policy.Timeout, true)
			}
			sent = append(sent, w.request(now, fmt.Sprintf("b%d", i), "air-1", uint64(i)))
		}
		return sent
	}
	assert.Equal(t, run(false), run(true))
}

// A connection whose desk host was reassigned to the flight's home cell is already in that cell and gets no MOVE.
func TestConnectionWithReassignedHostIsNotMoved(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", IDs: []string{"s-0000"}}, {Name: "b", IDs: []string{"s-0001"}}}}
	w := newFakeHost(t, testSettings(), plan)
	w.fleet.Members(startTime, policy.Full, testHosts(2))
	w.establish(startTime, "r", "x", 1)
	swapped := &Plan{Default: "a", Cells: []Cell{{Name: "a", IDs: []string{"s-0001"}}, {Name: "b", IDs: []string{"s-0000"}}},
		Moves: []Move{{Carrier: "x", From: "a", To: "b", Start: startTime, Duration: time.Second}}}
	w.fleet.SetPlan(startTime, swapped)
	for now := startTime; now < startTime+5*time.Second; now += 50 * time.Millisecond {
		w.fireTimers(now)
	}
	assert.Empty(t, w.moves)
	assert.NotEmpty(t, w.request(startTime+5*time.Second, "s", "x", 1))
	assert.Equal(t, "s-0000", w.lastSent)
}

// Two balancers' clocks differ by 200 ms. A client that gets MOVE from one and reconnects to the other at once is
// placed in its new cell there, and does not get MOVE again.
func TestMoveWithClockSkew(t *testing.T) {
	plan := evenPlan(2)
	plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: startTime + time.Second, Duration: 4 * time.Second}}
	const behind = 200 * time.Millisecond
	ahead, late := newFakeHost(t, testSettings(), plan), newFakeHost(t, testSettings(), plan)
	for _, w := range []*fakeHost{ahead, late} {
		w.fleet.Members(startTime, policy.Full, testHosts(8))
	}
	for i := range 100 {
		ahead.establish(startTime, fmt.Sprintf("r%d", i), "air-1", uint64(i))
	}
	moved := 0
	for now := startTime; now < startTime+10*time.Second; now += 20 * time.Millisecond {
		before := len(ahead.moves)
		ahead.fireTimers(now)
		late.fireTimers(now - behind)
		for _, id := range ahead.moves[before:] {
			ahead.endConnection(now, id)
			var flight uint64
			_, _ = fmt.Sscanf(id, "r%d", &flight)
			s := late.establish(now-behind, id, "air-1", flight)
			assert.Equal(t, "c0", late.fleet.cellOfHost[s].name)
			moved++
		}
	}
	assert.Equal(t, 100, moved)
	assert.Empty(t, late.moves)
}

// Replacing the plan repeatedly during a move does not multiply the move timers.
func TestReplacedPlansShareOneMoveTimer(t *testing.T) {
	plan := evenPlan(2)
	plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: startTime, Duration: time.Minute}}
	w := newFakeHost(t, testSettings(), plan)
	w.fleet.Members(startTime, policy.Full, testHosts(8))
	for i := range 10 {
		w.fleet.SetPlan(startTime+time.Duration(i)*10*time.Millisecond, plan)
	}
	actions := 0
	for now := startTime; now < startTime+10*time.Second; now += 10 * time.Millisecond {
		before := len(w.actions)
		w.fireTimers(now)
		actions += len(w.actions) - before
	}
	assert.LessOrEqual(t, actions, 110, "ten per second, plus the timers of earlier plans")
}

// Hosts are not reassigned while discovery is unreachable. A host that left counts in the assignment for
// AbsentRetention, and no longer.
func TestAbsentHostRetention(t *testing.T) {
	plan := evenPlan(4)
	plan.AbsentRetention = 30 * time.Second
	w := newFakeHost(t, testSettings(), plan)
	list := testHosts(16)
	w.fleet.Members(startTime, policy.Full, list)
	owners := func() map[string]string {
		out := map[string]string{}
		for id, c := range w.fleet.cellOfHost {
			out[id] = c.name
		}
		return out
	}
	before := owners()
	crashed := map[string]bool{}
	for i := range list {
		if before[list[i].ID] == "c0" {
			list[i].State = policy.Gone
			w.fleet.Members(startTime+time.Second, policy.Delta, list[i:i+1])
			crashed[list[i].ID] = true
		}
	}
	w.fleet.Members(startTime+2*time.Second, policy.WatchFailed, nil)
	w.fireTimers(startTime + 20*time.Second)
	for id, c := range owners() {
		assert.Equal(t, before[id], c, "a crash takes no host from another cell")
		assert.False(t, crashed[id])
	}
	assert.Empty(t, w.request(startTime+20*time.Second, "r", "air-0", 1), "the cell has no host and refuses")
	w.fireTimers(startTime + 40*time.Second)
	count := map[string]int{}
	for _, c := range owners() {
		count[c]++
	}
	assert.Equal(t, map[string]int{"c0": 3, "c1": 3, "c2": 3, "c3": 3}, count)
	assert.NotEmpty(t, w.request(startTime+40*time.Second, "s", "air-0", 1))
}
