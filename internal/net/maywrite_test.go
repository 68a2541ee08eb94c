package net

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

// An attempt is checked just before its OPEN line is written: it ends unsent if the client has disconnected, although
// the loop has not read the end yet, or if a deadline is due, although it has not run yet.
func TestAttemptCheckedBeforeOpenIsWritten(t *testing.T) {
	r := newRig(t)
	r.settings["connect"] = "9s"
	for _, step := range []string{"hold", "a connect", "a send OPEN 1 a c=lookup,d=9000", "wait count attempts sent 1"} {
		require.NoError(t, r.step(step))
	}
	check := func(prepare func(u *upstream), later time.Duration) (result policy.Result, ok bool) {
		done := make(chan struct{})
		r.node.post(func(now time.Duration) {
			defer close(done)
			for _, u := range r.node.upstreams.All() {
				prepare(u)
				result, ok = u.writable(now + later)
			}
		})
		<-done
		return result, ok
	}
	unchanged := func(*upstream) {}
	_, ok := check(unchanged, 0)
	assert.True(t, ok)
	result, ok := check(unchanged, 9*time.Second)
	assert.False(t, ok)
	assert.Equal(t, policy.ConnectFailed, result)
	result, ok = check(func(u *upstream) {
		assert.NoError(t, r.step("a send hello")) // bytes that precede the end
		assert.NoError(t, r.step("a close"))
		require.Eventually(t, u.downstream.peerClosed, stepTimeout, time.Millisecond)
	}, 0)
	assert.False(t, ok)
	assert.Equal(t, policy.NotSent, result)
	require.NoError(t, r.step("let"))
	require.NoError(t, r.step("wait count clients gone before their answer 1"))
	require.NoError(t, r.step("wait count attempts written 0"))
}
