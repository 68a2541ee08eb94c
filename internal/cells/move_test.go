package cells

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

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
