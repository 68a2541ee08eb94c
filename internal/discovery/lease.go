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

// lease is the lease on the host list. It lasts until the later of two times.
type lease struct {
	list time.Duration // by the last answer, or since discovery could not be reached; 0 before the first of these
	poll time.Duration // by the long poll that followed the last answer; 0 if there is none
}

func (l lease) end() time.Duration { return max(l.list, l.poll) }

// setLease replaces the lease and notifies the observer if its end has changed.
func (w *Watcher) setLease(now time.Duration, l lease, cause LeaseCause) {
	before := w.lease.end()
	w.lease = l
	if end := l.end(); end != before {
		w.observer.LeaseChanged(now, end, cause)
	}
}

// renewLease starts a new lease: discovery has answered, and the next call is open or about to be sent.
func (w *Watcher) renewLease(now time.Duration) {
	if w.Pushed {
		w.setLease(now, lease{list: Unlimited}, LeaseRenewed)
		return
	}
	w.polling = nil
	w.setLease(now, lease{list: now + notifiedWithin + w.sendAllowance()}, LeaseRenewed)
	w.coverLongPoll(now, w.current())
}

// coverLongPoll extends the lease over the wait of a long poll that follows an answer. A call beside an overdue one
// does not follow an answer.
func (w *Watcher) coverLongPoll(now time.Duration, c *connection) {
	if !w.Pushed && c != nil && c.awaitingAnswer && len(w.connections) == 1 && c.wait+notifiedAfterPoll > notifiedWithin {
		w.polling = c
		w.setLease(now, lease{w.lease.list, c.calledAt + c.wait + notifiedAfterPoll + w.sendAllowance()}, LeaseLongPoll)
	}
}

// leaseAfterFailure updates the lease after a failed call or connection.
func (w *Watcher) leaseAfterFailure(now time.Duration, c *connection, err error, kind FailureKind) {
	switch {
	case kind == FailureRefused && c.callsMade == 0:
		w.discoveryUnreachable(now)
	case w.Pushed: // an agent runs on this machine and is called again at once
	case !w.listReceived && refusesCall(c, err, kind):
		w.discoveryUnreachable(now)
	default:
		w.endLongPoll(now, c, err)
	}
}

// refusesCall reports whether discovery refused the call, or closed the connection without an answer. It does so when
// it is down, but also when it is overloaded and thus reachable. A process that has received no list yet cannot tell
// these apart, and takes it as down.
func refusesCall(c *connection, err error, kind FailureKind) bool {
	return kind == FailureRefused && (!c.answerStarted || errors.Is(err, ErrStatus))
}

// discoveryUnreachable records that discovery could not be reached until now, so none of its changes count as notified
// yet. That does not revive a lease that is over: the changes that count as notified by then still do.
func (w *Watcher) discoveryUnreachable(now time.Duration) {
	if w.listReceived && now >= w.lease.end()-w.sendAllowance() {
		return
	}
	limit := notifiedWithin
	if w.moved {
		limit = notifiedAfterReload
	}
	w.setLease(now, lease{max(w.lease.list, now+limit+w.sendAllowance()), w.lease.poll}, LeaseUnreachable)
}

// maxQueueTime is how long an overloaded discovery may keep a call waiting before it handles or refuses it.
const maxQueueTime = fullListTimeout

// endLongPoll takes back what a long poll added to the lease, if that is the call that ended without a usable answer.
// An overloaded discovery may have refused it without ever watching for changes. If it was open for longer than a call
// waits in the queue, it was a watch, which has reported all changes until its end, or fell silent before.
func (w *Watcher) endLongPoll(now time.Duration, c *connection, err error) {
	if c != w.polling {
		return
	}
	w.polling = nil
	list := w.lease.list
	if now-c.calledAt > maxQueueTime && !errors.Is(err, ErrStatus) {
		list = max(list, min(w.lease.poll, now+notifiedWithin+w.sendAllowance()))
	}
	w.setLease(now, lease{list: list}, LeaseCallFailed)
}

// shortenAfterMove limits the lease after a reload that changes the address of discovery.
func (w *Watcher) shortenAfterMove(now time.Duration) {
	if !w.Pushed {
		w.polling = nil
		w.setLease(now, lease{list: min(w.lease.end(), now+notifiedAfterReload+w.sendAllowance())}, LeaseMoved)
	}
}
