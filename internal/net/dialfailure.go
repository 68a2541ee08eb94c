package net

import (
	"context"
	"errors"
	stdnet "net"
	"syscall"
	"time"

	"tealtiller/policy"
)

// localFailures are the errors by which this machine tells that it could not even try to connect: no descriptor, no memory, no
// local port, no route or network. They pass, and say nothing of the other side.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.ENETDOWN,
}

// failedHere tells whether a connection was not made for a reason of this machine.
func failedHere(err error) bool {
	for _, failure := range localFailures {
		if errors.Is(err, failure) {
			return true
		}
	}
	return false
}

// unreachable is a socket that takes a failure of this machine otherwise than one of the other side.
type unreachable interface {
	unreached(now time.Duration)
}

// connectPause is how long a connection that could not be tried waits for the next try.
const connectPause = 10 * time.Millisecond

// connectInTime makes a connection. What fails here for a moment is tried again as long as the connection may take to come up:
// nothing has reached the other side, so it is still the same attempt. It ends early enough to be told before the time is over.
func (n *Node) connectInTime(ctx context.Context, address string) (stdnet.Conn, error) {
	for {
		c, err := n.connect(ctx, "tcp", address)
		if err == nil || !failedHere(err) {
			return c, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*connectPause {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(connectPause):
		}
	}
}

// unreached ends the attempt unsent, for which its host is not to blame.
func (u *upstream) unreached(now time.Duration) {
	if u.up { // it stood in another process, and could not be taken over
		u.closed(now, false)
		return
	}
	u.close(now, false, policy.NotSent)
}

// unreached ends the probe without a word to the module, which goes on without the report after a while.
func (p *probe) unreached(time.Duration) { p.close() }
