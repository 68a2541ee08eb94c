package net

import (
	"context"
	"errors"
	"fmt"
	stdnet "net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/request"
	"tealtiller/policy"
)

// failure is what the standard library makes of an error of socket or connect.
func failure(call string, cause syscall.Errno) error {
	return &stdnet.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, cause)}
}

var failuresHere = map[string]error{
	"EMFILE": failure("socket", syscall.EMFILE), "ENFILE": failure("socket", syscall.ENFILE),
	"ENOBUFS": failure("socket", syscall.ENOBUFS), "ENOMEM": failure("socket", syscall.ENOMEM),
	"EADDRNOTAVAIL": failure("connect", syscall.EADDRNOTAVAIL), "ENETUNREACH": failure("connect", syscall.ENETUNREACH),
	"ENETDOWN": failure("connect", syscall.ENETDOWN), "EAGAIN": failure("connect", syscall.EAGAIN),
}

// failingFirst makes the node's first calls of connect fail, and counts all.
func (r *rig) failingFirst(failures int64, cause error) (calls *atomic.Int64) {
	calls = &atomic.Int64{}
	r.fail = func() error {
		if calls.Add(1) <= failures {
			return cause
		}
		return nil
	}
	return calls
}

func (r *rig) steps(steps ...string) {
	r.t.Helper()
	for _, step := range steps {
		require.NoError(r.t, r.step(step), step)
	}
}

// A system call that fails here for a moment says nothing of the desk host, and nothing has been sent: the request is served by
// its first attempt, and the only desk host is not doubted.
func TestConnectFailsHereForAMoment(t *testing.T) {
	for name, cause := range failuresHere {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.set["tries"] = "1"
			calls := r.failingFirst(3, cause)
			r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 a *", "d send UP r1", "a expect UP r1",
				"wait count attempts sent 1", "wait count attempts written 1")
			assert.EqualValues(t, 4, calls.Load())
		})
	}
}

// Where it lasts, the attempts end unsent, and no desk host is struck for it: the client is refused, and served when it comes again.
func TestConnectFailsHereForLong(t *testing.T) {
	for name, cause := range failuresHere {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.set["connect"], r.set["tries"] = "60ms", "2"
			failing := atomic.Bool{}
			failing.Store(true)
			r.fail = func() error {
				if failing.Load() {
					return cause
				}
				return nil
			}
			r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "a expect BUSY *", "a wait fin",
				"wait count attempts ended: moot 1+", "wait count attempts ended: connect failed 0", "wait count attempts written 0")
			assert.Zero(t, r.avoided())
			failing.Store(false)
			r.steps("b connect", "b send OPEN 2 a c=lookup,d=4000", "d accept", "d expect OPEN 2 a *", "d send UP r1", "b expect UP r1")
		})
	}
}

// avoided is how many desk hosts the module avoids.
func (r *rig) avoided() (avoided int) {
	done := make(chan struct{})
	r.node.post(func(now time.Duration) {
		defer close(done)
		_, avoided = r.node.table.MemberCounts(now)
	})
	<-done
	return avoided
}

// What the other side or the way there tells is its failure: each attempt counts against the desk host.
func TestConnectFailsThere(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		t.Run(cause.Error(), func(t *testing.T) {
			r := newRig(t)
			r.set["tries"] = "1"
			calls := r.failingFirst(1, failure("connect", cause))
			r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "a expect BUSY *",
				"wait count attempts ended: "+request.ResultNames[policy.ConnectFailed]+" 1")
			assert.EqualValues(t, 1, calls.Load())
		})
	}
}

func TestFailedHere(t *testing.T) {
	for name, cause := range failuresHere {
		assert.True(t, failedHere(fmt.Errorf("wrapped: %w", cause)), name)
	}
	for _, cause := range []error{nil, context.DeadlineExceeded, os.ErrDeadlineExceeded, errors.New("other"),
		failure("connect", syscall.ECONNREFUSED), failure("connect", syscall.EHOSTUNREACH), failure("connect", syscall.ETIMEDOUT)} {
		assert.False(t, failedHere(cause), cause)
	}
}

// A report that could not be asked for here is no silence of the desk host.
func TestProbeFailsHere(t *testing.T) {
	r := newRig(t)
	r.fail = func() error { return failuresHere["EMFILE"] }
	r.start()
	done := make(chan struct{})
	var seen lag
	r.node.post(func(now time.Duration) {
		defer close(done)
		r.node.probeWait = 60 * time.Millisecond
		r.node.ask("s-0", r.node.delays.of("s-0"), now)
		seen.probe = r.node.delays.of("s-0").probe
	})
	<-done
	assert.NotNil(t, seen.probe)
	r.steps("wait count connections not made: failed here 1")
	done = make(chan struct{})
	r.node.post(func(time.Duration) {
		defer close(done)
		seen = *r.node.delays.of("s-0")
	})
	<-done
	assert.Zero(t, seen.missedAt)
	assert.Nil(t, seen.probe)
	assert.Zero(t, r.avoided())
}
