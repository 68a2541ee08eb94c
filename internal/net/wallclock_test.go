package net

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// onLoop runs a function on the node's loop.
func (r *rig) onLoop(f func(now time.Duration)) {
	r.t.Helper()
	done := make(chan struct{})
	r.node.post(func(now time.Duration) {
		defer close(done)
		f(now)
	})
	require.NoError(r.t, r.withTimeout(func() error { <-done; return nil }))
}

// hostAge is how long ago a listed host started, as known to the module; -1 if it is not listed.
func hostAge(n *Node, now time.Duration, host string) time.Duration {
	for _, s := range n.weigher.Servers() {
		if s.ID == host {
			return now - s.Started
		}
	}
	return -1
}

// updateList applies a list in which s-0 started at the given reading of the wall clock.
func updateList(t *testing.T, n *Node, now time.Duration, kind policy.MembersKind, started time.Duration) {
	updateListWithPhase(t, n, now, kind, started, "in_service")
}

// updateListWithPhase is updateList with a phase other than in_service.
func updateListWithPhase(t *testing.T, n *Node, now time.Duration, kind policy.MembersKind, started time.Duration, phase string) {
	list, err := discovery.Parse(fmt.Appendf(nil, `{"revision":42,"complete":true,"members":[{"id":"s-0","host_port":"127.0.0.1:1",
		"locality":"a","flavor":"m","cell":1,"phase":%q,"size":1,"up_since_ms":%d}]}`, phase, started.Milliseconds()))
	require.NoError(t, err)
	n.updateMembers(now, kind, list)
}

// The wall clock is stepped while the node runs: a host that starts afterwards has its true age, one that was known
// before keeps its start, and no deadline moves.
func TestWallClockStep(t *testing.T) {
	const tolerance = float64(2 * time.Millisecond) // lists have a resolution of 1 ms
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			r := newRig(t)
			require.NoError(t, r.step("a connect"))
			r.onLoop(func(now time.Duration) {
				due, _ := r.node.deadlines.Next()
				updateList(t, r.node, now, policy.Full, now-3*time.Second)
				assert.InDelta(t, 3*time.Second, hostAge(r.node, now, "s-0"), tolerance)
				r.node.wallClock.offset = func() time.Duration { return step }
				updateList(t, r.node, now, policy.Delta, now-3*time.Second)
				assert.InDelta(t, 3*time.Second, hostAge(r.node, now, "s-0"), tolerance, "a known start must not move")
				updateList(t, r.node, now, policy.Delta, now+step)
				assert.InDelta(t, 0, hostAge(r.node, now, "s-0"), tolerance, "a start after the step")
				after, _ := r.node.deadlines.Next()
				assert.Equal(t, due, after)
				assert.Equal(t, int64(1), r.node.counters["wall clock steps"])
			})
		})
	}
}

// A balancer that starts right after a backward step holds a list from before it: its hosts are cold for as long as
// one that has just started, not until the wall clock reaches its old reading.
func TestStartTimeInTheFuture(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.step("a connect"))
	r.onLoop(func(now time.Duration) {
		updateList(t, r.node, now, policy.Cached, now+time.Hour)
		assert.Zero(t, hostAge(r.node, now, "s-0"))
		updateList(t, r.node, now+time.Second, policy.Delta, now+time.Hour)
		assert.Equal(t, time.Second, hostAge(r.node, now+time.Second, "s-0"), "it ages from when it was first listed")
	})
}

// Where only an observed drain is binding, a host that drained before a backward step is used again once a newer
// process of it is ready, although its start is earlier by the wall clock.
func TestHostReturnsAfterBackwardStep(t *testing.T) {
	r := newRig(t)
	r.settings["binds"] = "true"
	require.NoError(t, r.step("a connect"))
	r.onLoop(func(now time.Duration) {
		updateListWithPhase(t, r.node, now, policy.Full, now-time.Minute, "terminating")
		_, avoided := r.node.table.MemberCounts(now)
		assert.Equal(t, 1, avoided)
		r.node.wallClock.offset = func() time.Duration { return -time.Hour }
		updateList(t, r.node, now, policy.Delta, now-time.Hour)
		_, avoided = r.node.table.MemberCounts(now)
		assert.Zero(t, avoided)
	})
}

// Records contain wall clock times, so that those of all balancers match, also of balancers started before and after a
// step.
func TestRecordsUseTheWallClock(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.step("a connect"))
	r.onLoop(func(now time.Duration) {
		r.node.wallClock.offset = func() time.Duration { return time.Hour }
		r.node.checkWallClock(now)
		now += 2 * time.Second
		updateList(t, r.node, now, policy.Full, now+time.Hour-time.Second)
		seen := r.node.snapshot(now)
		assert.Equal(t, (now + time.Hour).Milliseconds(), seen.At)
		require.Len(t, seen.Hosts, 1)
		assert.InDelta(t, seen.At-1000, seen.Hosts[0].Started, 2)
		updateList(t, r.node, now, policy.Full, 0)
		assert.Zero(t, r.node.snapshot(now).Hosts[0].Started)
	})
}
