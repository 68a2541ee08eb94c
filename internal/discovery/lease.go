package discovery

import (
	"errors"
	"time"
)

// This file computes the lease on the host list: the time until which the list may be used to place new requests. The
// lease is limited because a change that this process missed, as a call was lost or has not been answered yet, counts
// as notified nevertheless.
//
// A change counts as notified at the latest notifiedWithin after discovery had it and was reachable; a change that an
// unanswered long poll missed, notifiedAfterPoll after the wait of that poll, if that is later. A new process is bound
// by all earlier changes from its start, so its lease begins with the first answer. If lists are pushed, an agent that
// has answered once reports everything it has at each call, and leaves a call unanswered only while there is nothing to
// report.

// Limits of the discovery protocol.
const (
	notifiedWithin      = 6 * time.Second
	notifiedAfterPoll   = 2 * time.Second
	notifiedAfterReload = 4 * time.Second
)

// maxStall is how long the process may be stalled between reading the clock and acting on it. This can happen twice:
// when it handles an answer, and when it writes a request.
const maxStall = 150 * time.Millisecond

// Unlimited is the end of a lease that does not expire.
const Unlimited = time.Duration(1<<63 - 1)

// sendAllowance is how long after a notification new requests may still be sent: the drain grace less two stalls.
func (w *Watcher) sendAllowance() time.Duration { return w.Grace - 2*maxStall }

// setLease sets the end of the lease and notifies the observer if it has changed.
func (w *Watcher) setLease(now, until time.Duration, cause LeaseCause) {
	if until == w.leaseEnd {
		return
	}
	w.leaseEnd = until
	w.observer.LeaseChanged(now, until, cause)
}

// extendLease makes the lease last at least until the given time.
func (w *Watcher) extendLease(now, until time.Duration, cause LeaseCause) {
	w.setLease(now, max(w.leaseEnd, until), cause)
}

// renewLease starts a new lease: discovery has answered, and the next call is open or about to be sent.
func (w *Watcher) renewLease(now time.Duration) {
	if w.Pushed {
		w.setLease(now, Unlimited, LeaseRenewed)
		return
	}
	w.setLease(now, now+notifiedWithin+w.sendAllowance(), LeaseRenewed)
	w.coverLongPoll(now, w.current())
}

// coverLongPoll extends the lease over the wait of a long poll that follows an answer. A call beside an overdue one
// does not follow an answer.
func (w *Watcher) coverLongPoll(now time.Duration, c *connection) {
	if !w.Pushed && c != nil && c.awaitingAnswer && len(w.connections) == 1 && c.wait+notifiedAfterPoll > notifiedWithin {
		w.extendLease(now, c.calledAt+c.wait+notifiedAfterPoll+w.sendAllowance(), LeaseLongPoll)
	}
}

// discoveryUnreachable records that discovery could not be reached until now, so none of its changes count as notified
// yet.
func (w *Watcher) discoveryUnreachable(now time.Duration) {
	limit := notifiedWithin
	if w.moved {
		limit = notifiedAfterReload
	}
	w.extendLease(now, now+limit+w.sendAllowance(), LeaseUnreachable)
}

// shortenAfterMove limits the lease after a reload that changes the address of discovery.
func (w *Watcher) shortenAfterMove(now time.Duration) {
	if !w.Pushed {
		w.setLease(now, min(w.leaseEnd, now+notifiedAfterReload+w.sendAllowance()), LeaseMoved)
	}
}

// showsUnreachable reports whether a failure proves that discovery could not be reached: it refused the connection or
// the call, or closed the connection without an answer. An answer that is truncated or malformed proves the opposite.
// An agent runs on this machine and is called again at once; only a refused connection, which means that it does not
// run, proves that it could not be reached.
func (w *Watcher) showsUnreachable(c *connection, err error, kind FailureKind) bool {
	if w.Pushed && c.callsMade > 0 {
		return false
	}
	return kind == FailureRefused && (!c.answerStarted || errors.Is(err, ErrStatus))
}
