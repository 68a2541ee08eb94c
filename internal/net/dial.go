package net

import (
	"context"
	"errors"
	stdnet "net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/request"
	"tealtiller/policy"
)

// defaultConnectTimeout applies where the settings have no connect timeout.
const defaultConnectTimeout = 150 * time.Millisecond

// beginAttempt dials a desk host off the loop; the upstream socket then sends it the client's OPEN line.
func (n *Node) beginAttempt(d *downstream, server string, until time.Duration) error {
	address, ok := n.addresses[server]
	switch {
	case !ok:
		return errors.New("no address of " + server)
	case d.peerClosed(): // the loop is about to notice, and ends the request
		n.counters.Add("attempts not begun: client gone")
		return nil
	case !n.makeRoomFromIdle(2): // without descriptors the dial would fail and count against the desk host
		n.counters.Add("attempts not begun: no descriptors")
		return request.ErrNoDescriptors
	}
	u := &upstream{node: n, downstream: d, server: server, attemptDeadline: until, endResult: policy.Reset}
	u.id = n.upstreams.Add(u)
	d.upstream = u
	wait := n.cfg.Settings.ConnectTimeout
	if wait <= 0 {
		wait = defaultConnectTimeout
	}
	if d.opening.HostID != "" { // already established: these all come at once, and no other host can serve them
		wait = until - n.now()
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(wait, until-n.now()))
	u.cancel = cancel
	n.dial(ctx, u, address.String())
	return nil
}

// dial connects off the loop. The socket is notified by opened, or through dialFailed.
func (n *Node) dial(ctx context.Context, s socket, address string) {
	n.dialling++
	go func() {
		c, err := n.connectWithRetry(ctx, address)
		if err == nil {
			err = n.enroll(s, c)
		}
		if err != nil {
			n.dialFailed(s, err)
		}
	}()
}

// dialFailed notifies a socket counted in dialling that its connection failed.
func (n *Node) dialFailed(s socket, cause error) {
	n.post(func(now time.Duration) {
		n.dialling--
		if h, ok := s.(localFailureHandler); ok && isLocalFailure(cause) {
			n.counters.Add("connections not made: failed here")
			h.failedLocally(now)
			return
		}
		s.closed(now, errors.Is(cause, errPeerReset))
	})
}

var (
	// errPeerReset means that the peer has reset the connection before it was on the loop.
	errPeerReset = errors.New("connection reset before it was enrolled")
	// errNotEnrolled means that gnet has given up a connection without an error.
	errNotEnrolled = errors.New("connection was not enrolled")
)

// enroll hands a connection to the loop, which calls the socket's opened. The loop gets a duplicate descriptor; a
// goroutine closes ours before it closes the channel, and may lag behind when dozens of connections come at once.
func (n *Node) enroll(s socket, c stdnet.Conn) error {
	done, err := n.loop.Enroll(gnet.NewContext(context.Background(), s), c)
	if err != nil {
		_ = c.Close()
		return err
	}
	err = errNotEnrolled
	for result := range done { // a failure here, such as for want of a descriptor, is reported nowhere else
		err = result.Err
	}
	if err == nil {
		n.post(func(time.Duration) { n.duplicates-- })
	}
	return err
}

// enrollInherited hands a connection from another process to the loop, unless its peer has reset it on the way: it has no
// remote address then, which makes gnet's task panic.
func (n *Node) enrollInherited(s socket, c stdnet.Conn) error {
	if c.RemoteAddr() == nil {
		_ = c.Close()
		return errPeerReset
	}
	return n.enroll(s, c)
}
