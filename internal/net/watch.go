package net

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// watch is the socket side of the watch on the host list. The discovery.Watcher decides when discovery is called and
// what follows a failure.
type watch struct {
	node    *Node
	watcher *discovery.Watcher
	conns   map[int]*discoveryConn // connections in use, by number; dropped ones are removed
	status  listStatus
	leased  bool // a lease on the list has been granted since the start
}

var (
	_ discovery.Transport = (*watch)(nil)
	_ discovery.Observer  = (*watch)(nil)
)

// newWatch returns the watch of a node, turned off.
func newWatch(n *Node, address string) *watch {
	w := &watch{node: n, conns: map[int]*discoveryConn{}}
	w.watcher = discovery.NewWatcher(address, w, w, &n.deadlines)
	return w
}

// configure applies settings.
func (w *watch) configure(set policy.Settings) { w.watcher.Configure(!set.MustWatch, set.DrainGrace) }

// Dial opens a connection to discovery.
func (w *watch) Dial(_ time.Duration, connection int, address string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	conn := &discoveryConn{watch: w, number: connection, cancel: cancel}
	w.conns[connection] = conn
	w.node.dial(ctx, conn, address)
}

// Send writes a call on an open connection.
func (w *watch) Send(connection int, request []byte) { w.node.write(w.conns[connection].conn, request) }

// Drop closes a connection that is no longer needed.
func (w *watch) Drop(connection int) {
	conn := w.conns[connection]
	delete(w.conns, connection)
	conn.cancel()
	w.node.closeConn(conn.conn, false)
}

// WatchStopped notifies the module, which turns the watch on again when it needs it.
func (w *watch) WatchStopped(now time.Duration) {
	w.node.table.UpdateMembers(now, policy.WatchFailed, nil)
}

// LeaseChanged notifies the module until when the list may be used.
func (w *watch) LeaseChanged(now, until time.Duration, cause discovery.LeaseCause) {
	w.leased = true
	w.traceLease(now, until, cause)
	w.node.table.SetLease(now, until)
}

// ListReceived applies an answer of discovery.
func (w *watch) ListReceived(now time.Duration, list *discovery.List) {
	w.noteAnswer(now, list)
	kind := policy.Delta
	if list.Complete {
		kind = policy.Full
	}
	w.node.updateMembers(now, kind, list)
}

// discoveryConn is the socket of one connection to discovery.
type discoveryConn struct {
	watch  *watch
	number int
	conn   gnet.Conn
	cancel context.CancelFunc
}

func (c *discoveryConn) inUse() bool { return c.watch.conns[c.number] == c }

func (c *discoveryConn) opened(now time.Duration, conn gnet.Conn) gnet.Action {
	c.cancel()
	c.conn = conn
	if !c.inUse() {
		return gnet.Close
	}
	c.watch.watcher.Connected(now, c.number)
	return gnet.None
}

func (c *discoveryConn) traffic(now time.Duration) {
	if c.conn == nil || !c.inUse() {
		return
	}
	data, _ := c.conn.Peek(-1)
	if len(data) == 0 {
		return
	}
	c.watch.watcher.Received(now, c.number, data)
	if c.conn != nil {
		_, _ = c.conn.Discard(-1)
	}
}

func (c *discoveryConn) detach(bool) { c.conn = nil }

// failedLocally implements localFailureHandler.
func (c *discoveryConn) failedLocally(now time.Duration) {
	c.cancel()
	if c.inUse() {
		c.watch.watcher.FailedLocally(now, c.number)
	}
}

func (c *discoveryConn) closed(now time.Duration, _ bool) {
	c.cancel()
	if c.inUse() {
		c.watch.watcher.Closed(now, c.number)
	}
}
