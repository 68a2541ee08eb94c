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

const t0 = 1000 * time.Second

func settings() policy.Settings {
	return policy.Settings{MaxAttempts: 6, Siblings: 1, Tick: 4 * time.Millisecond, MustWatch: true, MaxWatchInterval: 10 * time.Second,
		DrainGrace: 300 * time.Millisecond, ColdCapacityShare: 0.15, WarmAfter: 22 * time.Second, OverloadFactor: 3, OverloadSpan: time.Second,
		Classes: map[string]policy.Class{"lookup": {SetupTarget: 300 * time.Millisecond, MessageTarget: 250 * time.Millisecond}}}
}

// world carries out what is asked, and keeps account of it.
type world struct {
	t        require.TestingT
	fleet    *Fleet
	said     []string
	out      map[string]string // request to desk host
	sends    map[string]int
	final    map[string]int
	moved    []string
	timers   []timer
	watched  int
	lastSent string
	sent     func(request, server string)
}

type timer struct {
	at   time.Duration
	name int64
}

func (w *world) say(format string, args ...any) {
	w.said = append(w.said, fmt.Sprintf(format, args...))
}
func (w *world) Send(r, s string, d time.Duration) {
	w.say("send %s %s %v", r, s, d)
	assert.Empty(w.t, w.out[r], "two attempts in flight")
	w.out[r] = s
	w.sends[r]++
	w.lastSent = s
	if w.sent != nil {
		w.sent(r, s)
	}
}
func (w *world) Refuse(r string, d time.Duration, _ policy.Reason) {
	w.say("refuse %s %v", r, d)
	w.final[r]++
}
func (w *world) Fail(r string)                            { w.say("fail %s", r); w.final[r]++ }
func (w *world) Move(r string)                            { w.say("move %s", r); w.moved = append(w.moved, r) }
func (w *world) Probe(s string)                           { w.say("ask %s", s) }
func (w *world) NotifySiblings(s uint32, d time.Duration) { w.say("tell %d %v", s, d) }
func (w *world) Watch(on bool)                            { w.say("watch %v", on); w.watched++ }
func (w *world) Log(string)                               {}
func (w *world) Wake(at time.Duration, name int64) {
	w.say("wake %v %d", at, name)
	w.timers = append(w.timers, timer{at, name})
}

func newWorld(t require.TestingT, set policy.Settings, plan *Plan) *world {
	w := &world{t: t, out: map[string]string{}, sends: map[string]int{}, final: map[string]int{}}
	w.fleet = New(set, 7, w, plan)
	return w
}

func (w *world) open(now time.Duration, id, carrier string, flight uint64) string {
	w.lastSent = ""
	w.fleet.Request(now, policy.Request{ID: id, Class: "lookup", Key: flight, HasKey: true, TTL: time.Second, Tenant: carrier})
	return w.lastSent
}

func (w *world) up(now time.Duration, id, carrier string, flight uint64) string {
	s := w.open(now, id, carrier, flight)
	require.NotEmpty(w.t, s)
	w.fleet.ConnectionEstablished(now, id)
	w.final[id]++
	return s
}

func (w *world) end(now time.Duration, id string) {
	delete(w.out, id)
	w.fleet.Outcome(now, id, policy.Cancelled, true)
}

// tick wakes what is due by a time.
func (w *world) tick(now time.Duration) {
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

// Without a plan a Fleet does what the module does, action by action, whatever comes.
func TestWithoutAPlanItIsTheModule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := &world{t: t, out: map[string]string{}, sends: map[string]int{}, final: map[string]int{}}
		module := policy.New(settings(), 7, one)
		w := newWorld(t, settings(), nil)
		list, now := hosts(6), t0
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
				module.Members(now, kind, list[j:])
				w.fleet.Members(now, kind, list[j:])
			case 1, 2, 3:
				id = fmt.Sprintf("r%d", i)
				q := policy.Request{ID: id, Class: "lookup", Key: rapid.Uint64Range(0, 9).Draw(t, "key"), HasKey: true, TTL: time.Second}
				module.Request(now, q)
				w.fleet.Request(now, q)
			case 4:
				module.ConnectionEstablished(now, id)
				w.fleet.ConnectionEstablished(now, id)
			case 5:
				result := policy.Result(rapid.IntRange(0, 7).Draw(t, "result"))
				over := rapid.Bool().Draw(t, "over")
				if one.out[id] != "" {
					delete(one.out, id)
					delete(w.out, id)
					module.Outcome(now, id, result, over)
					w.fleet.Outcome(now, id, result, over)
				}
			case 6:
				module.ServerDelay(now, list[0].ID, 400*time.Millisecond)
				w.fleet.ServerDelay(now, list[0].ID, 400*time.Millisecond)
				if len(w.timers) > 0 {
					module.Wake(now, w.timers[0].name)
					w.fleet.Wake(now, w.timers[0].name)
					w.timers = w.timers[1:]
				}
			}
			require.Equal(t, one.said, w.said)
		}
	})
}

// Whatever happens to lists, plans and requests: one final answer each, never two attempts in flight, at most six,
// none to a host outside the request's cell, and the books agree with what is out.
func TestFleetKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plans := []*Plan{even(3), even(2), nil, {Default: "c0", Cells: []Cell{
			{Name: "c0", Share: 0.5, MaxGuests: 4, MaxConnections: 12}, {Name: "c1", Share: 0.3, MaxConnections: 3, OverflowTo: "c0", Carriers: []string{"air-1"}},
			{Name: "c2", Share: 0.2, MaxOpensPerSecond: 3, Carriers: []string{"air-2"}}},
			Moves: []Move{{Carrier: "air-1", From: "c1", To: "c2", Start: t0 + time.Second, Duration: 4 * time.Second, ReturnStart: t0 + 6*time.Second}}}}
		w := newWorld(t, settings(), plans[rapid.IntRange(0, 3).Draw(t, "plan")])
		list, now, taken, open := hosts(9), t0, map[string]bool{}, []string{}
		w.fleet.Members(now, policy.Full, list)
		w.sent = func(r, s string) {
			if c := w.fleet.entries[r].cell; w.fleet.plan != nil {
				require.Equal(t, w.fleet.owners[s].name, c.name, "a desk host of another cell")
			}
			require.NotEqual(t, policy.Gone, w.fleet.listed[s].State)
		}
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond
			w.tick(now)
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case what < 5:
				id := fmt.Sprintf("r%d", i)
				taken[id] = true
				w.fleet.Request(now, policy.Request{ID: id, Class: "lookup", Key: rapid.Uint64Range(0, 20).Draw(t, "key"), HasKey: true,
					TTL: time.Second, Tenant: fmt.Sprintf("air-%d", rapid.IntRange(0, 3).Draw(t, "carrier")), MidFlow: rapid.IntRange(0, 3).Draw(t, "mid") == 0})
			case what < 8:
				for _, id := range sorted(w.out) {
					if w.final[id] == 0 && rapid.Bool().Draw(t, "comes up") {
						w.fleet.ConnectionEstablished(now, id)
						w.final[id]++
						open = append(open, id)
					}
				}
			case what == 8:
				for _, id := range sorted(w.out) {
					if w.final[id] == 0 {
						delete(w.out, id)
						w.fleet.Outcome(now, id, rapid.SampledFrom([]policy.Result{policy.Rejected, policy.Reset, policy.Timeout}).Draw(t, "result"), false)
						break
					}
				}
			case what == 9 && len(open) > 0:
				w.end(now, open[0])
				open = open[1:]
			case what == 10:
				j := rapid.IntRange(0, 8).Draw(t, "host")
				list[j].State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining, policy.Gone}).Draw(t, "state")
				w.fleet.Members(now, policy.Delta, list[j:j+1])
			case what == 11:
				w.fleet.SetPlan(now, plans[rapid.IntRange(0, 3).Draw(t, "plan")])
			}
			for _, id := range w.moved { // the carrier ends what is moved, in the same moment
				if w.out[id] != "" {
					w.end(now, id)
					open = slices.DeleteFunc(open, func(o string) bool { return o == id })
				}
			}
			books(t, w)
		}
		for range 40 { // all that is out ends; what is held is answered within its time
			now += 100 * time.Millisecond
			w.tick(now)
			for _, id := range sorted(w.out) {
				if w.final[id] == 0 {
					delete(w.out, id)
					w.fleet.Outcome(now, id, policy.Rejected, false)
				}
			}
		}
		for id := range taken {
			require.Equal(t, 1, w.final[id], "final answers of %s", id)
			require.LessOrEqual(t, w.sends[id], 6)
		}
		moved := slices.Clone(w.moved)
		slices.Sort(moved)
		require.Equal(t, len(moved), len(slices.Compact(moved)), "moved twice")
	})
}

func sorted(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// books compares what the cells count with what there is.
func books(t *rapid.T, w *world) {
	open, stands, guests, standing := map[*cell]int{}, map[*cell]int{}, map[*cell]int{}, 0
	for _, e := range w.fleet.entries {
		open[e.cell]++
		if e.stands {
			stands[e.cell]++
			standing++
		}
		if e.from != nil {
			guests[e.cell]++
		}
	}
	for _, c := range w.fleet.numbers {
		require.Equal(t, open[c], c.open)
		require.Equal(t, stands[c], c.stands)
		require.Equal(t, guests[c], c.guests)
	}
	movers, flights := 0, 0
	for _, all := range w.fleet.movers {
		movers += len(all)
	}
	for _, at := range w.fleet.flights {
		for _, n := range at {
			flights += n
		}
	}
	require.Equal(t, standing, movers)
	require.Equal(t, standing, flights)
}

// A host that changes its cell is taken from the old module at once, and its cold budget is not given out twice.
func TestAHostThatChangesItsCellBringsNoSecondColdBudget(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Numbers: []int{1}}, {Name: "b", Numbers: []int{2}, Carriers: []string{"x"}}}}
	w := newWorld(t, settings(), plan)
	cold := policy.Server{ID: "cold", Cell: 1, State: policy.Ready, Weight: 1, Started: t0}
	w.fleet.Members(t0, policy.Full, []policy.Server{cold, {ID: "one", Cell: 1, State: policy.Ready, Weight: 1}, {ID: "two", Cell: 2, State: policy.Ready, Weight: 1}})
	for i := range 200 {
		w.up(t0-2*time.Second, fmt.Sprintf("s%d", i), []string{"", "x"}[i%2], uint64(i))
	}
	sent := 0
	for i := range 40 {
		if w.open(t0, fmt.Sprintf("a%d", i), "", uint64(i)) == "cold" {
			sent++
		}
	}
	require.Positive(t, sent)
	cold.Cell = 2
	w.fleet.Members(t0, policy.Delta, []policy.Server{cold})
	for i := range 40 {
		assert.NotEqual(t, "cold", w.open(t0, fmt.Sprintf("b%d", i), "x", uint64(i)))
	}
	w.fleet.Members(t0, policy.Delta, []policy.Server{{ID: "one", Cell: 2, State: policy.Ready, Weight: 1}})
	assert.Empty(t, w.open(t0, "late", "", 3), "the old cell has no host any more and says so")
	assert.Equal(t, 1, w.final["late"])
}

func TestADrainingHostThatChangesItsCellGetsNothingMidFlow(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Numbers: []int{1}}, {Name: "b", Numbers: []int{2}, Carriers: []string{"x"}}}}
	w := newWorld(t, settings(), plan)
	s := policy.Server{ID: "s", Cell: 1, State: policy.Draining, Weight: 1}
	w.fleet.Members(t0, policy.Full, []policy.Server{s, {ID: "two", Cell: 2, State: policy.Ready, Weight: 1}})
	s.Cell = 2
	w.fleet.Members(t0+250*time.Millisecond, policy.Delta, []policy.Server{s})
	for i := range uint64(20) {
		w.fleet.Request(t0+400*time.Millisecond, policy.Request{ID: fmt.Sprint(i), Class: "lookup", Key: i, HasKey: true, TTL: time.Second, MidFlow: true, Tenant: "x"})
		assert.Equal(t, "two", w.lastSent)
	}
}

// One module alone asks discovery; calls do not multiply with cells.
func TestOneWatchForAllCells(t *testing.T) {
	w := newWorld(t, settings(), even(5))
	w.fleet.Members(t0, policy.Cached, hosts(10))
	w.fleet.Members(t0, policy.WatchFailed, nil)
	w.tick(t0 + time.Minute)
	assert.Equal(t, 2, w.watched)
}

func TestTheRationOfAttemptsIsSplit(t *testing.T) {
	set := settings()
	set.RetryBudgetSpan, set.RetryBudgetBase = 10*time.Second, 4
	w := newWorld(t, set, even(4))
	w.fleet.Members(t0, policy.Full, hosts(40))
	for i := range 40 {
		id := fmt.Sprintf("r%d", i)
		w.open(t0, id, fmt.Sprintf("air-%d", i%4), uint64(i))
		for w.final[id] == 0 {
			delete(w.out, id)
			w.fleet.Outcome(t0, id, policy.Rejected, false)
		}
	}
	again := 0
	for _, n := range w.sends {
		again += n - 1
	}
	assert.LessOrEqual(t, again, 4)
}

// Limits refuse at once and say when to come back; guests have room up to a cap that leaves the cell its own.
func TestLimitsAndGuests(t *testing.T) {
	plan := &Plan{Default: "big", AbsentRetention: time.Minute, Cells: []Cell{{Name: "big", Share: 0.5, MaxConnections: 10, MaxGuests: 4},
		{Name: "small", Share: 0.5, MaxConnections: 3, OverflowTo: "big", Carriers: []string{"x"}}}}
	w := newWorld(t, settings(), plan)
	w.fleet.Members(t0, policy.Full, hosts(8))
	for i := range 9 {
		w.open(t0, fmt.Sprintf("g%d", i), "x", uint64(i))
	}
	f := w.fleet.Stats(t0)
	assert.Equal(t, []int{4, 4, 3}, []int{f[0].Connections, f[0].Guests, f[1].Connections})
	assert.Equal(t, []int64{4, 2, 0}, []int64{f[1].Overflowed, f[1].RefusedFull, f[0].RefusedFull})
	assert.Equal(t, 1, w.final["g8"])
	for i := range 6 {
		assert.NotEmpty(t, w.open(t0, fmt.Sprintf("b%d", i), "", uint64(i)), "the cell keeps its own room")
	}
	assert.Empty(t, w.open(t0, "b6", "", 1))
	for i, list := 0, hosts(8); i < 8; i++ { // no host left in the small one: its guests still have room
		if w.fleet.owners[list[i].ID].name == "small" {
			list[i].State = policy.Gone
			w.fleet.Members(t0, policy.Delta, list[i:i+1])
		}
	}
	for _, id := range []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "b0"} {
		w.end(t0, id)
	}
	assert.Equal(t, "big", w.fleet.owners[w.open(t0, "late", "x", 1)].name, "with no host in service it overflows")
}

func TestOpensPerSecond(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 20} {
		plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Share: 1, MaxOpensPerSecond: rate}}}
		w := newWorld(t, settings(), plan)
		w.fleet.Members(t0, policy.Full, hosts(8))
		passed := 0
		for i := range 2000 { // 20 s at 100 a second
			if w.open(t0+time.Duration(i)*10*time.Millisecond, fmt.Sprint(i), "", uint64(i)) != "" {
				passed++
			}
		}
		assert.InDelta(t, 20*rate+max(rate, 1), passed, 1.01, "at %v a second", rate)
	}
}

// A carrier's move: flights cross whole, standing connections follow at the pace, each client is told once, and a
// half-done move that is turned back ends where it began.
func TestMove(t *testing.T) {
	for _, back := range []time.Duration{0, t0 + 15*time.Second} {
		plan := even(2)
		plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: t0 + 10*time.Second, Duration: 10 * time.Second, MaxPerSecond: 40, ReturnStart: back}}
		w := newWorld(t, settings(), plan)
		w.fleet.Members(t0, policy.Full, hosts(20))
		for i := range 300 {
			w.up(t0, fmt.Sprintf("r%d", i), "air-1", uint64(i%30))
		}
		told, again, second := map[string]int{}, 0, map[time.Duration]int{}
		for now := t0; now < t0+40*time.Second; now += 50 * time.Millisecond {
			before := len(w.moved)
			w.tick(now)
			second[now.Truncate(time.Second)] += len(w.moved) - before
			assert.LessOrEqual(t, second[now.Truncate(time.Second)], 48, "the pace, and a tick's more")
			for _, id := range w.moved[before:] {
				require.Equal(t, 1, w.final[id])
				w.end(now, id)
				told[id]++
				again++
				var flight uint64
				_, _ = fmt.Sscanf(id, "r%d", &flight)
				w.up(now, fmt.Sprintf("r%d", flight%30+30*uint64(1000+again)), "air-1", flight%30)
			}
		}
		want, f := 300, w.fleet.Stats(t0+40*time.Second)
		if back > 0 {
			want = 0
			assert.Greater(t, again, 100)
		} else {
			assert.Equal(t, 300, again, "each client once")
		}
		assert.Equal(t, []int{want, 300 - want, 0, 0}, []int{f[0].Connections, f[1].Connections, f[0].PendingMoves, f[1].PendingMoves})
		for id, n := range told {
			assert.Equal(t, 1, n, id)
		}
	}
}

// What arrives mid-flow goes to the cell that holds it; one that is not there goes on at home, as a further attempt.
func TestMidFlowInAMove(t *testing.T) {
	plan := even(2)
	plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: t0, Duration: 4 * time.Second, MaxPerSecond: 1}}
	w := newWorld(t, settings(), plan)
	w.fleet.Members(t0-time.Second, policy.Full, hosts(24))
	w.up(t0-time.Second, "s", "air-1", 5)
	now := t0 + 10*time.Second // crossed, and what stands has not followed yet
	w.fleet.Request(now, policy.Request{ID: "m", Class: "lookup", Key: 5, HasKey: true, TTL: time.Second, Tenant: "air-1", MidFlow: true})
	assert.Equal(t, w.out["s"], w.lastSent)
	delete(w.out, "m")
	w.fleet.Outcome(now, "m", policy.Reset, false)
	require.NotEmpty(t, w.out["m"])
	assert.Equal(t, "c0", w.fleet.owners[w.out["m"]].name)
	assert.Equal(t, 2, w.sends["m"])
	for i := 0; i < 10 && w.final["m"] == 0; i++ {
		delete(w.out, "m")
		w.fleet.Outcome(now, "m", policy.Reset, false)
	}
	assert.Equal(t, 6, w.sends["m"])
	assert.Equal(t, 1, w.final["m"])
}

// Trouble of one cell leaves the decisions of another as they are.
func TestAnotherCellsTroubleChangesNothingHere(t *testing.T) {
	run := func(trouble bool) []string {
		w := newWorld(t, settings(), even(2))
		w.fleet.Members(t0, policy.Full, hosts(12))
		var sent []string
		for i := range 200 {
			now := t0 + time.Duration(i)*10*time.Millisecond
			id := fmt.Sprintf("a%d", i)
			w.open(now, id, "air-0", 1)
			if trouble && w.out[id] != "" {
				delete(w.out, id)
				w.fleet.Outcome(now, id, policy.Timeout, true)
			}
			sent = append(sent, w.open(now, fmt.Sprintf("b%d", i), "air-1", uint64(i)))
		}
		return sent
	}
	assert.Equal(t, run(false), run(true))
}

// What stands at a desk host that has come to the cell where its flight belongs is there already, and is not moved.
func TestWhoseHostCameAlongIsNotMoved(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", IDs: []string{"s-0000"}}, {Name: "b", IDs: []string{"s-0001"}}}}
	w := newWorld(t, settings(), plan)
	w.fleet.Members(t0, policy.Full, hosts(2))
	w.up(t0, "r", "x", 1)
	turned := &Plan{Default: "a", Cells: []Cell{{Name: "a", IDs: []string{"s-0001"}}, {Name: "b", IDs: []string{"s-0000"}}},
		Moves: []Move{{Carrier: "x", From: "a", To: "b", Start: t0, Duration: time.Second}}}
	w.fleet.SetPlan(t0, turned)
	for now := t0; now < t0+5*time.Second; now += 50 * time.Millisecond {
		w.tick(now)
	}
	assert.Empty(t, w.moved)
	assert.NotEmpty(t, w.open(t0+5*time.Second, "s", "x", 1))
	assert.Equal(t, "s-0000", w.lastSent)
}

// Two balancers whose clocks are 200 ms apart: a client that the one tells to move comes to the other one at once, and
// is in its new cell there, not to be told again.
func TestClocksThatDiffer(t *testing.T) {
	plan := even(2)
	plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: t0 + time.Second, Duration: 4 * time.Second}}
	const behind = 200 * time.Millisecond
	ahead, late := newWorld(t, settings(), plan), newWorld(t, settings(), plan)
	for _, w := range []*world{ahead, late} {
		w.fleet.Members(t0, policy.Full, hosts(8))
	}
	for i := range 100 {
		ahead.up(t0, fmt.Sprintf("r%d", i), "air-1", uint64(i))
	}
	told := 0
	for now := t0; now < t0+10*time.Second; now += 20 * time.Millisecond {
		before := len(ahead.moved)
		ahead.tick(now)
		late.tick(now - behind)
		for _, id := range ahead.moved[before:] {
			ahead.end(now, id)
			var flight uint64
			_, _ = fmt.Sscanf(id, "r%d", &flight)
			s := late.up(now-behind, id, "air-1", flight)
			assert.Equal(t, "c0", late.fleet.owners[s].name)
			told++
		}
	}
	assert.Equal(t, 100, told)
	assert.Empty(t, late.moved)
}

// However often a plan is replaced in the midst of a move, one chain of timers drives it.
func TestOneChainOfTimers(t *testing.T) {
	plan := even(2)
	plan.Moves = []Move{{Carrier: "air-1", From: "c1", To: "c0", Start: t0, Duration: time.Minute}}
	w := newWorld(t, settings(), plan)
	w.fleet.Members(t0, policy.Full, hosts(8))
	for i := range 10 {
		w.fleet.SetPlan(t0+time.Duration(i)*10*time.Millisecond, plan)
	}
	asked := 0
	for now := t0; now < t0+10*time.Second; now += 10 * time.Millisecond {
		before := len(w.said)
		w.tick(now)
		asked += len(w.said) - before
	}
	assert.LessOrEqual(t, asked, 110, "ten a second, and those of the plans before")
}

// Discovery out of reach deals nothing anew; the place of a host that left is kept for a while, and no longer.
func TestPlacesAreKeptForAWhile(t *testing.T) {
	plan := even(4)
	plan.AbsentRetention = 30 * time.Second
	w := newWorld(t, settings(), plan)
	list := hosts(16)
	w.fleet.Members(t0, policy.Full, list)
	owners := func() map[string]string {
		out := map[string]string{}
		for id, c := range w.fleet.owners {
			out[id] = c.name
		}
		return out
	}
	before := owners()
	crashed := map[string]bool{}
	for i := range list {
		if before[list[i].ID] == "c0" {
			list[i].State = policy.Gone
			w.fleet.Members(t0+time.Second, policy.Delta, list[i:i+1])
			crashed[list[i].ID] = true
		}
	}
	w.fleet.Members(t0+2*time.Second, policy.WatchFailed, nil)
	w.tick(t0 + 20*time.Second)
	for id, c := range owners() {
		assert.Equal(t, before[id], c, "a crash draws no host from another cell")
		assert.False(t, crashed[id])
	}
	assert.Empty(t, w.open(t0+20*time.Second, "r", "air-0", 1), "the cell has no host and says so")
	w.tick(t0 + 40*time.Second)
	count := map[string]int{}
	for _, c := range owners() {
		count[c]++
	}
	assert.Equal(t, map[string]int{"c0": 3, "c1": 3, "c2": 3, "c3": 3}, count)
	assert.NotEmpty(t, w.open(t0+40*time.Second, "s", "air-0", 1))
}
