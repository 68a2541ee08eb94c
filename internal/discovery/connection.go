package discovery

import (
	"math"
	"slices"
	"time"

	"tealtiller/internal/deadline"
)

// maxConnections limits the calls open at a time, overdue ones included. Another call ends the one that is closest in
// age to an older one. A busy discovery thus holds no more of our calls than we would have made anyway.
const maxConnections = 4

// overdueLifetime is the longest time that an overdue call stays open.
const overdueLifetime = 10 * time.Second

// connection is a connection to discovery and the call on it.
type connection struct {
	number         int
	exchange       Exchange
	overdue        bool
	dialledAt      time.Duration
	dialTimeout    time.Duration
	callsMade      int
	awaitingAnswer bool
	answerStarted  bool // part of the answer has arrived
	calledAt       time.Duration
	wait           time.Duration // how long the call lets discovery delay its answer
	timeout        *deadline.Deadline
}

// current returns the connection whose call is not overdue, or nil.
func (w *Watcher) current() *connection {
	if i := slices.IndexFunc(w.connections, func(c *connection) bool { return !c.overdue }); i >= 0 {
		return w.connections[i]
	}
	return nil
}

// find returns the connection with a number, or nil if it was dropped.
func (w *Watcher) find(number int) *connection {
	if i := slices.IndexFunc(w.connections, func(c *connection) bool { return c.number == number }); i >= 0 {
		return w.connections[i]
	}
	return nil
}

// closestInAge returns the call whose age is proportionally closest to that of the next older one. If such calls are
// ended first, the ages of the calls that stay open grow by factors, and the oldest stays open. If the oldest were
// ended, the answers of a service that takes longer than the timeouts of all calls together would never be received.
func (w *Watcher) closestInAge(now time.Duration) *connection {
	closest, minRatio := w.connections[len(w.connections)-1], math.Inf(1)
	for i, c := range w.connections[1:] {
		olderAge := now - w.connections[i].dialledAt
		if ratio := float64(olderAge) / float64(max(now-c.dialledAt, 1)); ratio < minRatio {
			closest, minRatio = c, ratio
		}
	}
	return closest
}

// markOverdue leaves a call open until overdueLifetime is over; if its answer comes by then, it is used.
func (w *Watcher) markOverdue(now time.Duration, c *connection) {
	c.overdue, c.exchange.superseded = true, true
	w.deadlines.Stop(c.timeout)
	c.timeout = w.deadlines.Set(now+overdueLifetime, func(time.Duration) { w.drop(c) })
}

// drop closes a connection.
func (w *Watcher) drop(c *connection) {
	w.forget(c)
	w.transport.Drop(c.number)
}

// forget removes a connection from those in use.
func (w *Watcher) forget(c *connection) {
	w.deadlines.Stop(c.timeout)
	w.connections = slices.DeleteFunc(w.connections, func(other *connection) bool { return other == c })
}

func (w *Watcher) dropAll() {
	w.deadlines.Stop(w.retry)
	for len(w.connections) > 0 {
		w.drop(w.connections[0])
	}
}
