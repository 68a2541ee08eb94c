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
func (r *rig) onLoop(what func(now time.Duration)) {
	r.t.Helper()
	done := make(chan struct{})
	r.node.post(func(now time.Duration) {
		defer close(done)
		what(now)
	})
	require.NoError(r.t, r.within(func() error { <-done; return nil }))
}

// age is how long ago the module takes a listed host to have started.
func age(n *Node, now time.Duration, host string) time.Duration {
	for _, s := range n.weigher.Servers() {
		if s.ID == host {
			return now - s.Started
		}
	}
	return -1
}

// tell has the node take a list in which s-0 started at a reading of the wall clock.
func tell(t *testing.T, n *Node, now time.Duration, kind policy.MembersKind, started time.Duration) {
	tellPhase(t, n, now, kind, started, "in_service")
}

func tellPhase(t *testing.T, n *Node, now time.Duration, kind policy.MembersKind, started time.Duration, phase string) {
	list, err := discovery.Parse(fmt.Appendf(nil, `{"revision":42,"complete":true,"members":[{"id":"s-0","host_port":"127.0.0.1:1",
		"locality":"a","flavor":"m","cell":1,"phase":%q,"size":1,"up_since_ms":%d}]}`, phase, started.Milliseconds()))
	require.NoError(t, err)
	n.members(now, kind, list)
}

// The wall clock is stepped while the node runs: a host that starts afterwards is as cold as it is, one that the node has
// known before stays as it was, and nothing that is waited for moves.
func TestAStepOfTheWallClock(t *testing.T) {
	const tolerance = float64(2 * time.Millisecond) // the list tells milliseconds
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			r := newRig(t)
			require.NoError(t, r.step("a connect"))
			r.onLoop(func(now time.Duration) {
				due, _ := r.node.deadlines.Next()
				tell(t, r.node, now, policy.Full, now-3*time.Second)
				assert.InDelta(t, 3*time.Second, age(r.node, now, "s-0"), tolerance)
				r.node.wall.ahead = func() time.Duration { return step }
				tell(t, r.node, now, policy.Delta, now-3*time.Second)
				assert.InDelta(t, 3*time.Second, age(r.node, now, "s-0"), tolerance, "the start that it knew")
				tell(t, r.node, now, policy.Delta, now+step)
				assert.InDelta(t, 0, age(r.node, now, "s-0"), tolerance, "the start after the step")
				after, _ := r.node.deadlines.Next()
				assert.Equal(t, due, after)
				assert.Equal(t, int64(1), r.node.count["wall clock steps"])
			})
		})
	}
}

// A balancer that starts right after a step back holds a list of before it: its hosts are cold for as long as one that has
// just started, not until the wall clock is where it was.
func TestAStartThatLiesInTheFuture(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.step("a connect"))
	r.onLoop(func(now time.Duration) {
		tell(t, r.node, now, policy.Cached, now+time.Hour)
		assert.Zero(t, age(r.node, now, "s-0"))
		tell(t, r.node, now+time.Second, policy.Delta, now+time.Hour)
		assert.Equal(t, time.Second, age(r.node, now+time.Second, "s-0"), "it grows warm from when it was first told")
	})
}

// Where only what was seen to drain binds, a host that drained before a step back is taken up again once a younger process of
// it is ready, though the wall clock tells a smaller start for that one.
func TestAHostIsBackAfterAStepBack(t *testing.T) {
	r := newRig(t)
	r.set["binds"] = "true"
	require.NoError(t, r.step("a connect"))
	r.onLoop(func(now time.Duration) {
		tellPhase(t, r.node, now, policy.Full, now-time.Minute, "terminating")
		_, avoided := r.node.table.MemberCounts(now)
		assert.Equal(t, 1, avoided)
		r.node.wall.ahead = func() time.Duration { return -time.Hour }
		tell(t, r.node, now, policy.Delta, now-time.Hour)
		_, avoided = r.node.table.MemberCounts(now)
		assert.Zero(t, avoided)
	})
}

// Records tell the wall clock's reading, so that those of all balancers fit together, also of some that started before a
// step and some after it.
func TestRecordsTellTheWallClock(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.step("a connect"))
	r.onLoop(func(now time.Duration) {
		r.node.wall.ahead = func() time.Duration { return time.Hour }
		r.node.lookAtWallClock(now)
		now += 2 * time.Second
		tell(t, r.node, now, policy.Full, now+time.Hour-time.Second)
		seen := r.node.seen(now)
		assert.Equal(t, (now + time.Hour).Milliseconds(), seen.At)
		require.Len(t, seen.Hosts, 1)
		assert.InDelta(t, seen.At-1000, seen.Hosts[0].Started, 2)
		tell(t, r.node, now, policy.Full, 0)
		assert.Zero(t, r.node.seen(now).Hosts[0].Started)
	})
}
