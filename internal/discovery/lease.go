package discovery

import (
	"errors"
	"time"
)

// This file works out the lease on the host list: until when it may be used to place new requests. Danger: a change that was
// missed, because a call was lost or none was answered yet, counts as notified all the same.
//
// A change counts as notified at the latest notifiedWithin after discovery had it and could be reached; one that a silent long
// poll missed, notifiedAfterPoll after the poll's wait if that is later. A process that has just started is bound by all earlier
// changes at once, so its lease begins with the first answer. Where lists are pushed, an agent that has answered once tells all
// that it has at each call, and is silent only while there is nothing to tell.

// The limits of the protocol.
const (
	notifiedWithin      = 6 * time.Second
	notifiedAfterPoll   = 2 * time.Second
	notifiedAfterReload = 4 * time.Second
)

// longestHold is how long the process may be held up between reading its clock and what it does then: once as it takes an
// answer, and once as it writes a request.
const longestHold = 150 * time.Millisecond

// Unlimited is the end of a lease that does not end.
const Unlimited = time.Duration(1<<63 - 1)

// allowance is how long after a notification new requests may still be sent: the drain grace, less two holds.
func (w *Watcher) allowance() time.Duration { return w.Grace - 2*longestHold }

// setLease tells the observer of a lease that has changed.
func (w *Watcher) setLease(now, until time.Duration) {
	if until == w.leased {
		return
	}
	w.leased = until
	w.observer.LeaseChanged(now, until)
}

// extend has the lease last at least until a moment.
func (w *Watcher) extend(now, until time.Duration) { w.setLease(now, max(w.leased, until)) }

// renew begins the lease anew: discovery has answered, and the next call is under way or about to be made.
func (w *Watcher) renew(now time.Duration) {
	if w.Pushed {
		w.setLease(now, Unlimited)
		return
	}
	w.setLease(now, now+notifiedWithin+w.allowance())
	w.coverPoll(now, w.current())
}

// coverPoll has the lease last through the wait of a long poll that follows an answer. One beside an overdue call does not
// follow an answer.
func (w *Watcher) coverPoll(now time.Duration, c *connection) {
	if !w.Pushed && c != nil && c.waiting && len(w.connections) == 1 && c.wait+notifiedAfterPoll > notifiedWithin {
		w.extend(now, c.asked+c.wait+notifiedAfterPoll+w.allowance())
	}
}

// unreachable takes that discovery could not be reached until now, so that nothing it has counts as notified yet.
func (w *Watcher) unreachable(now time.Duration) {
	within := notifiedWithin
	if w.moved {
		within = notifiedAfterReload
	}
	w.extend(now, now+within+w.allowance())
}

// shortenAfterMove ends the lease soon after a reload that moves discovery.
func (w *Watcher) shortenAfterMove(now time.Duration) {
	if !w.Pushed {
		w.setLease(now, min(w.leased, now+notifiedAfterReload+w.allowance()))
	}
}

// turnedDown tells whether a failure shows that discovery could not be reached: it refused the connection or the call, or
// ended the call without a word. An answer that broke off, or makes no sense, shows the opposite. An agent is on this machine
// and is asked again at once: it tells that only by refusing connections, as one that does not run.
func (w *Watcher) turnedDown(c *connection, err error, how Failure) bool {
	if w.Pushed && c.calls > 0 {
		return false
	}
	return how == Refused && (!c.heard || errors.Is(err, ErrTurnedDown))
}
