package discovery

import (
	"errors"
	"time"

	"tealtiller/internal/deadline"
)

// Transport makes the connections to discovery that a Watcher decides on; it knows each by its number.
type Transport interface {
	// Dial makes a connection, which Connected or Closed tells of within the limit.
	Dial(now time.Duration, connection int, address string, limit time.Duration)
	Send(connection int, request []byte)
	// Drop leaves a connection, also one that is not up yet; nothing is told of it any more.
	Drop(connection int)
}

// Errors of calls that failed without an answer that could be read.
var (
	errNoAnswer   = errors.New("discovery: no answer in time")
	errOutOfReach = errors.New("discovery: out of reach")
	errBrokeOff   = errors.New("discovery: the answer broke off")
)

// crossingWindow is how soon after a call the end of a kept connection means that the two crossed.
const crossingWindow = 200 * time.Millisecond

// Watcher keeps the watch on the host list by calls to discovery. It holds no socket and reads no clock: events come in with
// their time, a Transport and an Observer carry out what follows.
//
// A call that is overdue is hedged: the next one is made on a connection of its own, and the overdue one stays open for its
// answer. Danger: a discovery that is slow, given up each time before its answer, would never be heard, and what an
// abandoned call was about to tell counts as told.
type Watcher struct {
	Clock
	transport   Transport
	observer    Observer
	deadlines   *deadline.Queue
	session     *Session
	address     string
	on          bool          // a call is under way, or the next one is due by itself
	connections []*connection // in order of age; all but one at the most are overdue
	made        int           // of all connections, the number of the newest
	retry       *deadline.Deadline
	heardAt     time.Duration // when this discovery last answered; 0 before
	olderAt     time.Duration // when it first told an older list since then; 0 if it has not
	leased      time.Duration // until then the list may be used; 0 before the first lease
}

// NewWatcher makes a watcher of the discovery at an address; it holds no list yet.
func NewWatcher(address string, transport Transport, observer Observer, deadlines *deadline.Queue) *Watcher {
	return &Watcher{Clock: Clock{MinGrace: LeastGrace}, transport: transport, observer: observer, deadlines: deadlines,
		address: address, session: NewSession(address, None)}
}

// Address is where discovery is.
func (w *Watcher) Address() string { return w.address }

// Configure takes the settings in force.
func (w *Watcher) Configure(pushed bool, grace time.Duration) { w.Pushed, w.Grace = pushed, grace }

// Watch turns the watch on or off.
func (w *Watcher) Watch(now time.Duration, on bool) {
	if w.on == on {
		return
	}
	if w.on = on; on {
		w.dial(now)
	} else {
		w.dropAll()
	}
}

// MoveTo goes over to another discovery, at once and with no failure told: a call that was put off after a failure was
// for the old one. The list stays until the new one tells the whole of its own.
func (w *Watcher) MoveTo(now time.Duration, address string) {
	w.address, w.session = address, NewSession(address, None)
	w.Moved()
	w.heardAt, w.olderAt = 0, 0
	w.dropAll()
	w.on = true
	w.shortenAfterMove(now)
	w.dial(now)
}

// dial begins a connection for the next call.
func (w *Watcher) dial(now time.Duration) {
	w.deadlines.Stop(w.retry)
	if len(w.connections) >= mostConnections {
		w.drop(w.closestInAge(now))
	}
	limit := w.Call(w.session.Whole()).Dial
	w.made++
	c := &connection{number: w.made, dialled: now, dialLimit: limit}
	w.connections = append(w.connections, c)
	w.transport.Dial(now, c.number, w.address, limit)
}

// ask makes the next call on a connection, at once: a watch lasts only as long as calls follow closely.
func (w *Watcher) ask(now time.Duration, c *connection) {
	c.waiting, c.heard, c.overdue, c.asked = true, false, false, now
	c.calls++
	call := w.Call(w.session.Whole())
	c.wait = call.Wait
	c.limit = w.deadlines.Set(now+call.Limit, func(now time.Duration) { w.late(now, c) })
	w.observer.CallStarted(CallStart{Connection: c.number, Address: w.address, Since: w.session.revision, Wait: call.Wait, Timeout: call.Limit})
	w.transport.Send(c.number, c.exchange.Call(w.session, call.Wait))
}

// late takes that a call has no answer within its limit: it stays open, and another one follows.
func (w *Watcher) late(now time.Duration, c *connection) {
	w.setOverdue(now, c)
	w.follow(now, c, errNoAnswer, Silent)
}

// failed takes that a call, or its connection, has come to nothing. One that was overdue has been followed by another.
func (w *Watcher) failed(now time.Duration, c *connection, err error, how Failure) {
	w.drop(c)
	if !c.overdue {
		w.follow(now, c, err, how)
	}
	if w.turnedDown(c, err, how) {
		w.unreachable(now)
	}
}

// follow has a call made again where the clock says so; else the observer hears, once, that the watch has broken.
func (w *Watcher) follow(now time.Duration, c *connection, err error, how Failure) {
	began := c.dialled
	if c.waiting {
		began = c.asked
	}
	again, after := w.Clock.Failed(how)
	w.observer.CallFailed(now, CallFailure{Connection: c.number, Address: w.address, Err: err, Elapsed: now - began, Consecutive: w.fails,
		Retries: again, RetryDelay: after, ShouldLog: w.First() || !again}) // danger: an agent that is silent through an outage would fill the log
	if !again {
		w.on = false
		w.observer.WatchStopped(now)
		return
	}
	w.deadlines.Stop(w.retry)
	w.retry = w.deadlines.Set(now+after, func(now time.Duration) {
		if w.on && w.current() == nil {
			w.dial(now)
		}
	})
}

// Connected takes that a connection is up.
func (w *Watcher) Connected(now time.Duration, number int) {
	c := w.find(number)
	switch {
	case c == nil:
	case c.overdue: // another call was answered before this one was made
		w.drop(c)
	default:
		w.ask(now, c)
		w.coverPoll(now, c)
	}
}

// Received takes bytes of an answer.
func (w *Watcher) Received(now time.Duration, number int, data []byte) {
	if c := w.find(number); c != nil {
		c.heard = true
		w.take(now, c, data, false)
	}
}

// Closed takes that a connection has ended, or never came up.
func (w *Watcher) Closed(now time.Duration, number int) {
	c := w.find(number)
	if c == nil {
		return
	}
	// The end of a kept connection so soon after a call means that the two crossed: discovery was done with the
	// connection, and the call was not seen. A pushed list's clock asks anew anyway.
	crossed := c.waiting && c.calls > 1 && !c.heard && now-c.asked < crossingWindow && !w.Pushed
	switch {
	case crossed:
		w.Crossed()
		w.observer.CallResent()
		w.drop(c)
		w.dial(now)
	case c.waiting:
		w.take(now, c, nil, true)
	default:
		how := Refused
		if now-c.dialled >= c.dialLimit {
			how = Silent
		}
		w.failed(now, c, errOutOfReach, how)
	}
}

// take takes a part of an answer, or the end of its connection.
func (w *Watcher) take(now time.Duration, c *connection, data []byte, ended bool) {
	list, keep, err := c.exchange.Feed(w.session, data, ended)
	if err == nil && list == nil && ended {
		err = errBrokeOff
	}
	if err != nil {
		if !c.overdue {
			w.older(now, err)
		}
		how := Refused
		if errors.Is(err, ErrUnreadable) {
			how = Unreadable
		}
		w.failed(now, c, err, how)
		return
	}
	if list != nil {
		w.answered(now, c, list, keep)
	}
}

// answered takes a list. The watch goes on where the first answer came, also that of an overdue call: a call that is under
// way beside it stays open, as its answer may be newer, and its connection ends with that.
func (w *Watcher) answered(now time.Duration, c *connection, list *List, keep bool) {
	list.Told = w.toldSince(now, c)
	other := w.current()
	beside := other != nil && other != c
	watched := beside && w.heardAt > c.asked // another call, made later, was answered before
	w.heardAt, w.olderAt = now, 0
	w.deadlines.Stop(c.limit)
	w.deadlines.Stop(w.retry)
	c.waiting = false
	w.Answered()
	w.on = true
	switch {
	case watched, beside && !keep:
		w.drop(c)
	case beside:
		w.setOverdue(now, other)
		w.ask(now, c)
	case keep:
		w.ask(now, c)
	default:
		w.drop(c)
		w.dial(now)
	}
	w.observer.ListReceived(now, list)
	w.renew(now)
}
