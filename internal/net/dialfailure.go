package net

import (
	"context"
	"errors"
	stdnet "net"
	"syscall"
	"time"

	"tealtiller/policy"
)

// localErrors mean that this machine could not even try to connect: no descriptor, memory, local port, route or
// network. They are temporary and say nothing about the peer.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.ENETDOWN,
}

// isLocalFailure reports whether a connection failed because of this machine.
func isLocalFailure(err error) bool {
	for _, failure := range localErrors {
		if errors.Is(err, failure) {
			return true
		}
	}
	return false
}

// localFailureHandler is implemented by sockets that distinguish local failures from those of the peer.
type localFailureHandler interface {
	failedLocally(now time.Duration)
}

// localRetryInterval is the time between two tries after a local failure.
const localRetryInterval = 10 * time.Millisecond

// connectWithRetry connects, and repeats local failures within the connect timeout: nothing has reached the peer, so
// it is still the same attempt. It returns early enough for the failure to be handled before the timeout.
func (n *Node) connectWithRetry(ctx context.Context, address string) (stdnet.Conn, error) {
	for {
		c, err := n.connect(ctx, "tcp", address)
		if err == nil || !isLocalFailure(err) {
			return c, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*localRetryInterval {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(localRetryInterval):
		}
	}
}

// failedLocally ends the attempt as not sent, or moves the client of an established connection; neither counts against the
// desk host.
func (u *upstream) failedLocally(now time.Duration) {
	if u.up { // established in another process, and could not be taken over
		u.moveClient(now, false, policy.Cancelled)
		return
	}
	u.close(now, false, policy.NotSent)
}

// failedLocally ends the probe without a report to the module, which goes on without one after a while.
func (p *probe) failedLocally(time.Duration) { p.close() }
