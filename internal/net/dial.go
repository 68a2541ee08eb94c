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

const dialTimeout = 150 * time.Millisecond // where the settings tell none

// begin dials a desk host off the loop and sends it the client's first line.
func (n *Node) begin(d *downstream, server string, until time.Duration) error {
	address, ok := n.addresses[server]
	switch {
	case !ok:
		return errors.New("no address of " + server)
	case d.hungUp(): // the loop is about to hear of it, and ends the request
		n.count.Add("attempts not begun: client gone")
		return nil
	case !n.spare(2): // danger: a dial without a descriptor would look like an ill host
		n.count.Add("attempts not begun: no descriptors")
		return request.ErrNoDescriptors
	}
	u := &upstream{node: n, downstream: d, server: server, until: until, last: policy.Reset}
	u.id = n.upstreams.Add(u)
	d.upstream = u
	wait := n.cfg.Settings.ConnectTimeout
	if wait <= 0 {
		wait = dialTimeout
	}
	if d.opening.HostID != "" { // all come at once, and none has anywhere else to go
		wait = until - n.now()
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(wait, until-n.now()))
	u.cancel = cancel
	n.dial(ctx, u, address.String())
	return nil
}

// dial makes a connection off the loop; the socket is told of it by opened, or by lost that there is none.
func (n *Node) dial(ctx context.Context, s socket, address string) {
	n.dialling++
	go func() {
		c, err := n.connectInTime(ctx, address)
		if err == nil {
			err = n.enroll(s, c)
		}
		if err != nil {
			n.lost(s, err)
		}
	}()
}

// lost tells a socket that was counted as dialling that it has no connection, and why.
func (n *Node) lost(s socket, cause error) {
	n.post(func(now time.Duration) {
		n.dialling--
		if u, ok := s.(unreachable); ok && failedHere(cause) {
			n.count.Add("connections not made: failed here")
			u.unreached(now)
			return
		}
		s.closed(now, false)
	})
}

// enroll brings a connection to the loop, which tells the socket of it by opened. The loop gets a duplicate; ours is
// closed before the channel is. Danger: it is closed by a goroutine, which may lag behind when dozens come at once.
func (n *Node) enroll(s socket, c stdnet.Conn) error {
	done, err := n.loop.Enroll(gnet.NewContext(context.Background(), s), c)
	if err != nil {
		_ = c.Close()
		return err
	}
	for result := range done { // danger: what fails here, for want of a descriptor, is told nowhere else
		err = result.Err
	}
	if err == nil {
		n.post(func(time.Duration) { n.doubled-- })
	}
	return err
}
