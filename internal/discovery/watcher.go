package discovery

import (
	"errors"
	"time"

	"tealtiller/internal/deadline"
)

// Transport is the connection to discovery that a Watcher decides on. There is one at a time: once a Watcher has dialled
// anew, or dropped the connection, nothing that happens on the earlier one is told to it.
type Transport interface {
	// Dial makes a connection, which Connected or Closed tells of within the limit.
	Dial(now time.Duration, address string, limit time.Duration)
	Send(request []byte)
	// Drop leaves the connection, also one that is not up yet.
	Drop()
}

// Observer hears what comes of the calls.
type Observer interface {
	Called(call CallStart)
	// Crossed tells that a call crossed the end of a kept connection and is made again.
	Crossed()
	Failed(now time.Duration, failure CallFailure)
	// Broken tells that the watch is off until Watch turns it on again.
	Broken(now time.Duration)
	Listed(now time.Duration, list *List)
}

// CallStart describes a call as it is written.
type CallStart struct {
	Connection int // the number of its connection, of all that were made
	Address    string
	Since      int64         // the revision that is held; None asks for the whole list
	Wait       time.Duration // discovery may hold its answer back so long
	Limit      time.Duration // from the call to its answer
}

// CallFailure describes a call, or an attempt to connect, that has failed.
type CallFailure struct {
	Connection int
	Address    string
	Err        error
	Took       time.Duration // since the call, or since the connection was asked for
	InRow      int           // failures since the last answer
	Again      bool          // the watcher calls again by itself,
	After      time.Duration // after this
	Notable    bool          // it is worth a line of the log
}

// Errors of calls that failed without an answer that could be read.
var (
	errNoAnswer   = errors.New("discovery: no answer in time")
	errOutOfReach = errors.New("discovery: out of reach")
	errBrokeOff   = errors.New("discovery: the answer broke off")
)

// crossingWindow is how soon after a call the end of a kept connection means that the two crossed.
const crossingWindow = 200 * time.Millisecond

// Watcher keeps the watch on the host list: one connection to discovery, one call at a time on it. It holds no socket and
// reads no clock: events come in with their time, a Transport and an Observer carry out what follows.
type Watcher struct {
	Clock
	transport Transport
	observer  Observer
	deadlines *deadline.Queue
	address   string
	client    *Client
	on        bool
	link      connection
	heardAt   time.Duration // when this discovery last answered; 0 before
	olderAt   time.Duration // when it first told an older list since then; 0 if it has not
}

// connection is the one in use.
type connection struct {
	state     connectionState
	number    int // of all connections, so that a deadline of an earlier one finds itself stale
	dialled   time.Duration
	dialLimit time.Duration
	calls     int // made on it
	waiting   bool
	heard     bool // some of the answer has come
	asked     time.Duration
	limit     *deadline.Deadline
}

type connectionState int

const (
	unconnected connectionState = iota
	dialling
	connected
)

// NewWatcher makes a watcher of the discovery at an address; it holds no list yet.
func NewWatcher(address string, transport Transport, observer Observer, deadlines *deadline.Queue) *Watcher {
	return &Watcher{Clock: Clock{Least: LeastGrace}, transport: transport, observer: observer, deadlines: deadlines,
		address: address, client: NewClient(address, None)}
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
		w.drop()
	}
}

// MoveTo goes over to another discovery, at once and with no failure told: a call that was put off after a failure was
// for the old one. The list stays until the new one tells the whole of its own.
func (w *Watcher) MoveTo(now time.Duration, address string) {
	w.address, w.client = address, NewClient(address, None)
	w.Moved()
	w.heardAt, w.olderAt = 0, 0
	w.drop()
	w.on = true
	w.dial(now)
}

func (w *Watcher) dial(now time.Duration) {
	limit := w.Call(w.client.Whole()).Dial
	w.link = connection{state: dialling, number: w.link.number + 1, dialled: now, dialLimit: limit}
	w.transport.Dial(now, w.address, limit)
}

// ask makes the next call on the connection, at once: a watch lasts only as long as calls follow closely.
func (w *Watcher) ask(now time.Duration) {
	link := &w.link
	link.waiting, link.heard, link.asked = true, false, now
	link.calls++
	call := w.Call(w.client.Whole())
	number := link.number
	link.limit = w.deadlines.Set(now+call.Limit, func(now time.Duration) {
		if w.link.number == number && w.link.state == connected {
			w.failed(now, errNoAnswer, Silent)
		}
	})
	w.observer.Called(CallStart{Connection: number, Address: w.address, Since: w.client.revision, Wait: call.Wait, Limit: call.Limit})
	w.transport.Send(w.client.Call(call.Wait))
}

// drop leaves the connection in use, if there is one.
func (w *Watcher) drop() {
	if w.link.state == unconnected {
		return
	}
	w.deadlines.Stop(w.link.limit)
	w.link.state = unconnected
	w.transport.Drop()
}

// failed has the call made again where the clock says so; else the observer hears, once, that the watch has broken.
func (w *Watcher) failed(now time.Duration, err error, how Failure) {
	began := w.link.dialled
	if w.link.waiting {
		began = w.link.asked
	}
	w.drop()
	again, after := w.Clock.Failed(how)
	w.observer.Failed(now, CallFailure{Connection: w.link.number, Address: w.address, Err: err, Took: now - began, InRow: w.fails,
		Again: again, After: after, Notable: w.First() || !again}) // danger: an agent that is silent through an outage would fill the log
	if !again {
		w.on = false
		w.observer.Broken(now)
		return
	}
	w.deadlines.Set(now+after, func(now time.Duration) {
		if w.on && w.link.state == unconnected {
			w.dial(now)
		}
	})
}

// Connected takes that the connection is up.
func (w *Watcher) Connected(now time.Duration) {
	w.link.state = connected
	w.ask(now)
}

// Received takes bytes of an answer.
func (w *Watcher) Received(now time.Duration, data []byte) {
	w.link.heard = true
	w.take(now, data, false)
}

// Closed takes that the connection has ended, or never came up.
func (w *Watcher) Closed(now time.Duration) {
	link := &w.link
	// The end of a kept connection so soon after a call means that the two crossed: discovery was done with the
	// connection, and the call was not seen. A pushed list's clock asks anew anyway.
	crossed := link.waiting && link.calls > 1 && !link.heard && now-link.asked < crossingWindow && !w.Pushed
	switch {
	case crossed:
		w.Crossed()
		w.observer.Crossed()
		w.drop()
		w.dial(now)
	case link.waiting:
		w.take(now, nil, true)
	default:
		how := Refused
		if now-link.dialled >= link.dialLimit {
			how = Silent
		}
		w.failed(now, errOutOfReach, how)
	}
}

// take takes a part of an answer, or the end of the connection.
func (w *Watcher) take(now time.Duration, data []byte, ended bool) {
	list, keep, err := w.client.Feed(data, ended)
	if err == nil && list == nil && ended {
		err = errBrokeOff
	}
	if err != nil {
		w.older(now, err)
		how := Refused
		if errors.Is(err, ErrUnreadable) {
			how = Unreadable
		}
		w.failed(now, err, how)
		return
	}
	if list == nil {
		return
	}
	list.Told = w.toldSince(now)
	w.heardAt, w.olderAt = now, 0
	w.deadlines.Stop(w.link.limit)
	w.link.waiting = false
	w.Answered()
	if keep {
		w.ask(now)
	} else {
		w.drop()
		w.dial(now)
	}
	w.observer.Listed(now, list)
}
