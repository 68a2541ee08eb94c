package discovery

import (
	"errors"
	"time"

	"tealtiller/internal/deadline"
)

// Transport holds the connections to discovery for a Watcher, by their numbers.
type Transport interface {
	// Dial opens a connection; Connected or Closed is called within the limit.
	Dial(now time.Duration, connection int, address string, limit time.Duration)
	Send(connection int, request []byte)
	// Drop closes a connection, even one that is not established yet; no event of it is reported any more.
	Drop(connection int)
}

// Errors of calls without a complete answer.
var (
	errNoAnswer        = errors.New("discovery: no answer in time")
	errUnreachable     = errors.New("discovery: cannot connect")
	errNotTried        = errors.New("discovery: connection failed on this machine")
	errAnswerTruncated = errors.New("discovery: answer truncated")
)

// keepAliveRaceWindow is how soon after a call the close of a kept-alive connection means that discovery had closed it
// before it received the call.
const keepAliveRaceWindow = 200 * time.Millisecond

// Watcher keeps a watch on the host list by calls to discovery. It holds no socket and reads no clock: events are
// passed in with their time, and a Transport and an Observer act on the results.
//
// An overdue call is hedged: the next call is made on another connection, and the overdue one stays open for its
// answer. If every call were given up before its answer, the list of a slow discovery would never be received, while
// the changes in it count as notified.
type Watcher struct {
	CallScheduler
	transport      Transport
	observer       Observer
	deadlines      *deadline.Queue
	session        *Session
	address        string
	watching       bool          // a call is open, or the next one is due without a call of Watch
	connections    []*connection // by age, the oldest first; all but at most one are overdue
	lastNumber     int           // the number of the newest connection
	retry          *deadline.Deadline
	listReceived   bool          // a list has been received since the start, perhaps from another discovery
	answeredAt     time.Duration // when this discovery last answered; 0 if it has not
	olderListSince time.Duration // when it first sent an older list since its last answer; 0 if it has not
	lease          lease
	polling        *connection // the long poll that the lease covers; nil if there is none
}

// NewWatcher returns a watcher of the discovery at an address. It holds no list, and the watch is off.
func NewWatcher(address string, transport Transport, observer Observer, deadlines *deadline.Queue) *Watcher {
	return &Watcher{CallScheduler: CallScheduler{MinGrace: DefaultMinGrace}, transport: transport, observer: observer,
		deadlines: deadlines, address: address, session: NewSession(address, NoRevision)}
}

// Address returns the address of discovery.
func (w *Watcher) Address() string { return w.address }

// Configure sets whether the list is pushed by an agent, and the drain grace.
func (w *Watcher) Configure(pushed bool, grace time.Duration) { w.Pushed, w.Grace = pushed, grace }

// Watch turns the watch on or off.
func (w *Watcher) Watch(now time.Duration, on bool) {
	if w.watching == on {
		return
	}
	if w.watching = on; on {
		w.dial(now)
	} else {
		w.dropAll()
	}
}

// MoveTo switches to another discovery at once, without reporting a failure: a delayed retry concerned the old one. The
// list is kept until the new one has sent its full list.
func (w *Watcher) MoveTo(now time.Duration, address string) {
	w.address, w.session = address, NewSession(address, NoRevision)
	w.DiscoveryMoved()
	w.answeredAt, w.olderListSince = 0, 0
	w.dropAll()
	w.watching = true
	w.shortenAfterMove(now)
	w.dial(now)
}

// dial opens a connection for the next call.
func (w *Watcher) dial(now time.Duration) {
	w.deadlines.Stop(w.retry)
	if len(w.connections) >= maxConnections {
		w.drop(w.closestInAge(now))
	}
	timeout := w.NextCall(w.session.NeedsFullList()).DialTimeout
	w.lastNumber++
	c := &connection{number: w.lastNumber, dialledAt: now, dialTimeout: timeout}
	w.connections = append(w.connections, c)
	w.transport.Dial(now, c.number, w.address, timeout)
}

// sendCall sends the next call on a connection, at once: the watch lasts only as long as calls follow closely.
func (w *Watcher) sendCall(now time.Duration, c *connection) {
	c.awaitingAnswer, c.answerStarted, c.overdue, c.calledAt = true, false, false, now
	c.callsMade++
	call := w.NextCall(w.session.NeedsFullList())
	c.wait = call.Wait
	c.timeout = w.deadlines.Set(now+call.Timeout, func(now time.Duration) { w.callTimedOut(now, c) })
	w.observer.CallStarted(CallStart{Connection: c.number, Address: w.address, Since: w.session.revision, Wait: call.Wait,
		Timeout: call.Timeout})
	w.transport.Send(c.number, c.exchange.Call(w.session, call.Wait))
}

// callTimedOut handles a call without an answer within its timeout: it stays open, and another call follows.
func (w *Watcher) callTimedOut(now time.Duration, c *connection) {
	w.markOverdue(now, c)
	w.scheduleRetry(now, c, errNoAnswer, FailureTimeout)
}

// callFailed handles a failed call or connection. An overdue call has been followed by another one already.
func (w *Watcher) callFailed(now time.Duration, c *connection, err error, kind FailureKind) {
	w.drop(c)
	w.leaseAfterFailure(now, c, err, kind)
	if !c.overdue {
		w.scheduleRetry(now, c, err, kind)
	}
}

// scheduleRetry schedules the next call, or notifies the observer that the watch has stopped.
func (w *Watcher) scheduleRetry(now time.Duration, c *connection, err error, kind FailureKind) {
	startedAt := c.dialledAt
	if c.awaitingAnswer {
		startedAt = c.calledAt
	}
	retry, delay := w.CallScheduler.CallFailed(kind)
	// Not every failure is worth a log line: an agent that does not answer during an outage would fill the log.
	w.observer.CallFailed(now, CallFailure{Connection: c.number, Address: w.address, Err: err, Elapsed: now - startedAt,
		Consecutive: w.failures, Retries: retry, RetryDelay: delay, ShouldLog: w.FirstFailure() || !retry})
	if !retry {
		w.watching = false
		w.observer.WatchStopped(now)
		return
	}
	w.deadlines.Stop(w.retry)
	w.retry = w.deadlines.Set(now+delay, func(now time.Duration) {
		if w.watching && w.current() == nil {
			w.dial(now)
		}
	})
}

// Connected handles an established connection.
func (w *Watcher) Connected(now time.Duration, number int) {
	c := w.find(number)
	switch {
	case c == nil:
	case c.overdue: // another call was answered before this connection was established
		w.drop(c)
	default:
		w.sendCall(now, c)
		w.coverLongPoll(now, c)
	}
}

// FailedLocally handles a connection that this machine could not even try to establish until its time was over, as it
// lacks descriptors, memory or ports. That says nothing about discovery.
func (w *Watcher) FailedLocally(now time.Duration, number int) {
	if c := w.find(number); c != nil {
		w.callFailed(now, c, errNotTried, FailureTimeout)
	}
}

// Received handles data of an answer.
func (w *Watcher) Received(now time.Duration, number int, data []byte) {
	if c := w.find(number); c != nil {
		c.answerStarted = true
		w.feed(now, c, data, false)
	}
}

// Closed handles a connection that was closed or could not be established.
func (w *Watcher) Closed(now time.Duration, number int) {
	c := w.find(number)
	if c == nil {
		return
	}
	// If a kept-alive connection closes so soon after a call, discovery closed it before it received the call. If the
	// list is pushed, the scheduler retries the call anyway.
	closedByRace := c.awaitingAnswer && c.callsMade > 1 && !c.answerStarted && now-c.calledAt < keepAliveRaceWindow && !w.Pushed
	switch {
	case closedByRace:
		w.CallResent()
		w.observer.CallResent()
		w.drop(c)
		w.endLongPoll(now, c, errAnswerTruncated)
		w.dial(now)
	case c.awaitingAnswer:
		w.feed(now, c, nil, true)
	default:
		kind := FailureRefused
		if now-c.dialledAt >= c.dialTimeout {
			kind = FailureTimeout
		}
		w.callFailed(now, c, errUnreachable, kind)
	}
}
