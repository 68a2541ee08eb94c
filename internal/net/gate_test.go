package net

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

// Just before the first line is written the gate is asked: a client that has left, though the loop has not read so yet, and a
// deadline that is due, though it has not run yet, end the attempt unsent.
func TestGateBeforeTheFirstLine(t *testing.T) {
	r := newRig(t)
	r.set["connect"] = "9s"
	for _, step := range []string{"hold", "a connect", "a send OPEN 1 a c=lookup,d=9000", "wait count attempts sent 1"} {
		require.NoError(t, r.step(step))
	}
	ask := func(before func(u *upstream), later time.Duration) (result policy.Result, ok bool) {
		done := make(chan struct{})
		r.node.post(func(now time.Duration) {
			defer close(done)
			for _, u := range r.node.upstreams.All() {
				before(u)
				result, ok = u.writable(now + later)
			}
		})
		<-done
		return result, ok
	}
	nothing := func(*upstream) {}
	_, ok := ask(nothing, 0)
	assert.True(t, ok)
	result, ok := ask(nothing, 9*time.Second)
	assert.False(t, ok)
	assert.Equal(t, policy.ConnectFailed, result)
	result, ok = ask(func(u *upstream) {
		assert.NoError(t, r.step("a send hello")) // bytes that lie before its end
		assert.NoError(t, r.step("a close"))
		require.Eventually(t, u.downstream.hungUp, limit, time.Millisecond)
	}, 0)
	assert.False(t, ok)
	assert.Equal(t, policy.NotSent, result)
	require.NoError(t, r.step("let"))
	require.NoError(t, r.step("wait count clients gone before their answer 1"))
	require.NoError(t, r.step("wait count attempts written 0"))
}
