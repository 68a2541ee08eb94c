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

// dialFailure is an error of socket or connect as the standard library returns it.
func dialFailure(call string, cause syscall.Errno) error {
	return &stdnet.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, cause)}
}

var localFailures = map[string]error{
	"EMFILE": dialFailure("socket", syscall.EMFILE), "ENFILE": dialFailure("socket", syscall.ENFILE),
	"ENOBUFS": dialFailure("socket", syscall.ENOBUFS), "ENOMEM": dialFailure("socket", syscall.ENOMEM),
	"EADDRNOTAVAIL": dialFailure("connect", syscall.EADDRNOTAVAIL), "ENETUNREACH": dialFailure("connect", syscall.ENETUNREACH),
	"ENETDOWN": dialFailure("connect", syscall.ENETDOWN), "EAGAIN": dialFailure("connect", syscall.EAGAIN),
}

// failFirstDials makes the node's first dials fail, and counts all dials.
func (r *rig) failFirstDials(failures int64, cause error) (calls *atomic.Int64) {
	calls = &atomic.Int64{}
	r.dialError = func() error {
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

// A brief local failure of a system call says nothing about the desk host, and nothing has been sent: the request is
// served by its first attempt, and the only desk host stays eligible.
func TestBriefLocalConnectFailure(t *testing.T) {
	for name, cause := range localFailures {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.settings["tries"] = "1"
			calls := r.failFirstDials(3, cause)
			r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 a *", "d send UP r1", "a expect UP r1",
				"wait count attempts sent 1", "wait count attempts written 1")
			assert.EqualValues(t, 4, calls.Load())
		})
	}
}

// If a local failure lasts, the attempts end as not sent, and it does not count against any desk host: the client is
// refused, and served when it retries.
func TestLastingLocalConnectFailure(t *testing.T) {
	for name, cause := range localFailures {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.settings["connect"], r.settings["tries"] = "60ms", "2"
			failing := atomic.Bool{}
			failing.Store(true)
			r.dialError = func() error {
				if failing.Load() {
					return cause
				}
				return nil
			}
			r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "a expect BUSY *", "a wait fin",
				"wait count attempts ended: moot 1+", "wait count attempts ended: connect failed 0", "wait count attempts written 0")
			assert.Zero(t, r.unavailableHosts())
			failing.Store(false)
			r.steps("b connect", "b send OPEN 2 a c=lookup,d=4000", "d accept", "d expect OPEN 2 a *", "d send UP r1", "b expect UP r1")
		})
	}
}

// unavailableHosts is how many desk hosts the module avoids.
func (r *rig) unavailableHosts() (avoided int) {
	done := make(chan struct{})
	r.node.post(func(now time.Duration) {
		defer close(done)
		_, avoided = r.node.table.MemberCounts(now)
	})
	<-done
	return avoided
}

// Failures of the peer or of the network path count against the desk host, one per attempt.
func TestRemoteConnectFailure(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		t.Run(cause.Error(), func(t *testing.T) {
			r := newRig(t)
			r.settings["tries"] = "1"
			calls := r.failFirstDials(1, dialFailure("connect", cause))
			r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "a expect BUSY *",
				"wait count attempts ended: "+request.ResultNames[policy.ConnectFailed]+" 1")
			assert.EqualValues(t, 1, calls.Load())
		})
	}
}

func TestIsLocalFailure(t *testing.T) {
	for name, cause := range localFailures {
		assert.True(t, isLocalFailure(fmt.Errorf("wrapped: %w", cause)), name)
	}
	for _, cause := range []error{nil, context.DeadlineExceeded, os.ErrDeadlineExceeded, errors.New("other"),
		dialFailure("connect", syscall.ECONNREFUSED), dialFailure("connect", syscall.EHOSTUNREACH), dialFailure("connect", syscall.ETIMEDOUT)} {
		assert.False(t, isLocalFailure(cause), cause)
	}
}

// A probe that failed locally must not count as an unanswered one.
func TestProbeFailsLocally(t *testing.T) {
	r := newRig(t)
	r.dialError = func() error { return localFailures["EMFILE"] }
	r.start()
	done := make(chan struct{})
	var seen hostStatus
	r.node.post(func(now time.Duration) {
		defer close(done)
		r.node.probeTimeout = 60 * time.Millisecond
		r.node.probeHost("s-0", r.node.delays.host("s-0"), now)
		seen.probe = r.node.delays.host("s-0").probe
	})
	<-done
	assert.NotNil(t, seen.probe)
	r.steps("wait count connections not made: failed here 1")
	done = make(chan struct{})
	r.node.post(func(time.Duration) {
		defer close(done)
		seen = *r.node.delays.host("s-0")
	})
	<-done
	assert.Zero(t, seen.probeMissedAt)
	assert.Nil(t, seen.probe)
	assert.Zero(t, r.unavailableHosts())
}

// Guards against requests that are placed by an old list because this machine, not discovery, fails the connection: the
// failure is no lease on the list, so a new process is not ready.
func TestLocalFailureToReachDiscoveryIsNoOutage(t *testing.T) {
	r := newRig(t)
	r.settings["discovery"], r.settings["listwait"] = "subscribe", "20s"
	r.discoveryDialError = localFailures["EMFILE"]
	r.steps("wait count discovery calls failed 1+", "a connect", "a send PING", "a expect ERR")
}
