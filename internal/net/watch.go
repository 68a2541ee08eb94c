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
	links   map[int]*discoveryLink // the connections in use, by number; one that was dropped is left to itself
	status  listStatus
	leased  bool // a lease on the list has begun since the start
}

var (
	_ discovery.Transport = (*watch)(nil)
	_ discovery.Observer  = (*watch)(nil)
)

// newWatch makes the watch of a node; it is off.
func newWatch(n *Node, address string) *watch {
	w := &watch{node: n, links: map[int]*discoveryLink{}}
	w.watcher = discovery.NewWatcher(address, w, w, &n.deadlines)
	return w
}

// configure takes the settings in force.
func (w *watch) configure(set policy.Settings) { w.watcher.Configure(!set.MustWatch, set.DrainGrace) }

// Dial makes a connection to discovery.
func (w *watch) Dial(_ time.Duration, connection int, address string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	link := &discoveryLink{watch: w, number: connection, cancel: cancel}
	w.links[connection] = link
	w.node.dial(ctx, link, address)
}

// Send writes a call.
func (w *watch) Send(connection int, request []byte) { w.node.write(w.links[connection].conn, request) }

// Drop leaves a connection.
func (w *watch) Drop(connection int) {
	link := w.links[connection]
	delete(w.links, connection)
	link.cancel()
	w.node.end(link.conn, false)
}

// WatchStopped tells the module, which asks again when it sees fit.
func (w *watch) WatchStopped(now time.Duration) {
	w.node.table.UpdateMembers(now, policy.WatchFailed, nil)
}

// LeaseChanged tells the module until when the list may be used.
func (w *watch) LeaseChanged(now, until time.Duration) {
	w.leased = true
	w.node.table.SetLease(now, until)
}

// ListReceived takes what discovery has told.
func (w *watch) ListReceived(now time.Duration, list *discovery.List) {
	w.noteAnswer(now, list)
	kind := policy.Delta
	if list.Complete {
		kind = policy.Full
	}
	w.node.members(now, kind, list)
}

// discoveryLink is the socket of one connection to discovery.
type discoveryLink struct {
	watch  *watch
	number int
	conn   gnet.Conn
	cancel context.CancelFunc
}

func (l *discoveryLink) inUse() bool { return l.watch.links[l.number] == l }

func (l *discoveryLink) opened(now time.Duration, conn gnet.Conn) gnet.Action {
	l.cancel()
	l.conn = conn
	if !l.inUse() {
		return gnet.Close
	}
	l.watch.watcher.Connected(now, l.number)
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
	l.watch.watcher.Received(now, l.number, data)
	if l.conn != nil {
		_, _ = l.conn.Discard(-1)
	}
}

func (l *discoveryLink) detach(bool) { l.conn = nil }

func (l *discoveryLink) closed(now time.Duration, _ bool) {
	l.cancel()
	if l.inUse() {
		l.watch.watcher.Closed(now, l.number)
	}
}
