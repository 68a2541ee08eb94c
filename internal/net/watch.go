package net

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// watch is the socket side of the watch on the host list. When discovery is called, and what follows a failure, is the
// watcher's to say.
type watch struct {
	node    *Node
	watcher *discovery.Watcher
	link    *discoveryLink // the connection in use; one that was dropped is left to itself
	status  listStatus
}

var (
	_ discovery.Transport = (*watch)(nil)
	_ discovery.Observer  = (*watch)(nil)
)

// newWatch makes the watch of a node; it is off.
func newWatch(n *Node, address string) *watch {
	w := &watch{node: n}
	w.watcher = discovery.NewWatcher(address, w, w, &n.deadlines)
	return w
}

// configure takes the settings in force.
func (w *watch) configure(set policy.Settings) { w.watcher.Configure(!set.MustAsk, set.DrainGrace) }

// Dial makes a connection to discovery.
func (w *watch) Dial(_ time.Duration, address string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	w.link = &discoveryLink{watch: w, cancel: cancel}
	w.node.dial(ctx, w.link, address)
}

// Send writes a call.
func (w *watch) Send(request []byte) { w.node.write(w.link.conn, request) }

// Drop leaves the connection in use.
func (w *watch) Drop() {
	link := w.link
	w.link = nil
	link.cancel()
	w.node.end(link.conn, false)
}

// Broken tells the module, which asks again when it sees fit. Who waits for the first list goes by the one that is held, as
// discovery cannot be reached.
func (w *watch) Broken(now time.Duration) {
	w.node.table.Members(now, policy.Failed, nil)
	w.node.table.StopWaiting(now)
}

// Listed takes what discovery has told.
func (w *watch) Listed(now time.Duration, list *discovery.List) {
	w.noteAnswer(now, list)
	kind := policy.Delta
	if list.Complete {
		kind = policy.Full
	}
	w.node.members(now, kind, list)
	w.node.table.StopWaiting(now)
}

// discoveryLink is the socket of one connection to discovery.
type discoveryLink struct {
	watch  *watch
	conn   gnet.Conn
	cancel context.CancelFunc
}

func (l *discoveryLink) inUse() bool { return l.watch.link == l }

func (l *discoveryLink) opened(now time.Duration, conn gnet.Conn) gnet.Action {
	l.cancel()
	l.conn = conn
	if !l.inUse() {
		return gnet.Close
	}
	l.watch.watcher.Connected(now)
	return gnet.None
}

func (l *discoveryLink) traffic(now time.Duration) {
	if l.conn == nil || !l.inUse() {
		return
	}
	data, _ := l.conn.Peek(-1)
	if len(data) == 0 {
		return
	}
	l.watch.watcher.Received(now, data)
	if l.conn != nil {
		_, _ = l.conn.Discard(-1)
	}
}

func (l *discoveryLink) detach(bool) { l.conn = nil }

func (l *discoveryLink) closed(now time.Duration, _ bool) {
	l.cancel()
	if l.inUse() {
		l.watch.watcher.Closed(now)
	}
}
