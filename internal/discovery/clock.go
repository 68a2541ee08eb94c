package discovery

import "time"

// Clock decides when the list is asked for, how long an answer may take, and what follows a call that failed. It is pure:
// it holds no socket and reads no time. Where the list is pushed to an agent on our own machine and where discovery is
// asked, it keeps one promise: what discovery has to tell is here before it counts as told and the drain grace after that
// is over, though two calls in a row are lost (three where it is asked).
//
// What counts as told when (the operators' page): an agent's list from the moment the agent has it; what a watch that has
// fallen silent missed, 6 s after it fell silent or 2 s after the wait of its call is over, whichever is later.
type Clock struct {
	Pushed   bool          // the list comes from an agent that answers at once and at no cost
	Grace    time.Duration // after a drain was told, nothing new goes to that desk host once it is over
	MinGrace time.Duration // calls for a pushed list are made for this grace at the least, as a busy machine needs it
	lost     int           // calls in a row without an answer
	bad      int           // calls in a row whose answer could not be read
	fails    int           // calls in a row that failed in any way
	broke    bool          // the last call's connection ended in its midst, and it is made again
	moved    bool          // discovery has moved, and the new one has not told its list yet
}

// Call is how one call is made.
type Call struct {
	Wait  time.Duration // discovery may hold its answer back so long; a call for the whole list waits for nothing
	Limit time.Duration // from the call to its answer; then it is overdue, and the next one follows
	Dial  time.Duration // for the connection to come up
}

// What a call that is asked may take. A watch that was silent is followed by calls that wait for nothing, so that all that
// it missed is here within the 2 s: 8.3 s, then 0.15 s to connect and 0.8 s to be answered, 0.15 s and 0.6 s, and a third.
const (
	watchWait  = 8 * time.Second
	watchSlack = 300 * time.Millisecond
	firstQuick = 800 * time.Millisecond // a discovery that is slow is not silent
	quickLimit = 600 * time.Millisecond
	quickDial  = 150 * time.Millisecond
	// A call waits its turn at a busy discovery, which refuses it after 3 s. Given up sooner it costs as much and tells
	// nothing, and what it would have told counts as told after 6 s; a second one must fit.
	wholeLimit = 3300 * time.Millisecond
	wholeDial  = 600 * time.Millisecond
	secondCall = 1900 * time.Millisecond
	secondDial = 400 * time.Millisecond
	// After a move of discovery all counts as told 4 s later: two calls must fit.
	movedLimit = 1600 * time.Millisecond
	movedCalls = 2
	dialLimit  = time.Second
	quickCalls = 3 // in a row without an answer, then the module spaces them
	noWait     = time.Millisecond
	// After a failed call all counts as told 6 s after discovery had it and could be reached, and the wait of a long poll
	// adds nothing to that: one that falls silent is given up soon enough for a second call.
	retryWait = 2 * time.Second
)

// Call tells how the next call is made; whole, that it asks for the whole list.
func (c *Clock) Call(whole bool) Call {
	switch {
	case c.Pushed:
		// Danger: a watch that was held open through an outage may stay silent when the agent has news again, and what the
		// agent has counts as told. So a call waits for half the grace only, and one that follows a lost one not at all.
		g := max(c.Grace, c.MinGrace)
		if whole || c.lost > 0 {
			return Call{Wait: noWait, Limit: g / 10, Dial: g / 10}
		}
		return Call{Wait: g / 2, Limit: g/2 + g/10, Dial: g / 10}
	case c.moved && c.lost < movedCalls:
		return Call{Limit: movedLimit, Dial: secondDial}
	case c.moved:
		return Call{Limit: wholeLimit, Dial: secondDial}
	case whole && c.lost > 0:
		return Call{Limit: secondCall, Dial: secondDial}
	case whole:
		return Call{Limit: wholeLimit, Dial: wholeDial}
	case c.lost == 1:
		return Call{Wait: noWait, Limit: firstQuick, Dial: quickDial}
	case c.lost > 0 && c.lost <= quickCalls:
		return Call{Wait: noWait, Limit: quickLimit, Dial: quickDial}
	case c.lost > 0:
		return Call{Wait: noWait, Limit: wholeLimit, Dial: secondDial}
	case c.fails > 0 || c.broke:
		return Call{Wait: retryWait, Limit: wholeLimit, Dial: wholeDial}
	}
	return Call{Wait: watchWait, Limit: watchWait + watchSlack, Dial: dialLimit}
}

// LeastGrace is the usual Least: 250 ms of wait, 50 ms to connect and 50 ms to be answered.
const LeastGrace = 500 * time.Millisecond

// Moved takes that another discovery is asked from now on.
func (c *Clock) Moved() { c.lost, c.bad, c.fails, c.broke, c.moved = 0, 0, 0, false, true }

// Crossed takes that a call crossed the end of its connection, and is made again at once. Though it has not failed, what
// follows a failure holds for the next one too: the connection may have ended by a fault.
func (c *Clock) Crossed() { c.broke = true }

// Answered takes an answer.
func (c *Clock) Answered() { c.lost, c.bad, c.fails, c.broke, c.moved = 0, 0, 0, false, false }

// First tells that the last call failed, and the one before it did not.
func (c *Clock) First() bool { return c.fails == 1 }

// Failure is how a call failed.
type Failure int

// The ways in which calls fail.
const (
	Refused    Failure = iota // discovery turned it down, or its connection broke
	Silent                    // nothing came in time
	Unreadable                // the answer made no sense, or is older than what was told before
)

// Failed takes that a call has failed. It tells whether the call is made again by this clock, and after how long; else the
// module says when, for 300 balancers that ask at once would push a discovery over that has just refused them. An answer
// that cannot be read is no refusal: what it would have told may count as told very soon.
func (c *Clock) Failed(how Failure) (again bool, after time.Duration) {
	c.fails++
	switch how {
	case Silent:
		c.lost++
	case Unreadable:
		c.lost = 0
		c.bad++
	case Refused:
		c.lost = 0
	}
	switch {
	case c.Pushed:
		return true, min(firstPause<<min(c.fails-1, 5), max(c.Grace, c.MinGrace)/20)
	case how == Silent && (c.lost <= quickCalls || c.moved):
		return true, 0
	case how == Unreadable && c.bad <= quickCalls:
		return true, unreadablePause << (c.bad - 1)
	}
	return false, 0
}

// unreadablePause is how long to wait after an answer that could not be read, doubled with each further one.
const unreadablePause = 100 * time.Millisecond

// firstPause is how long to wait after the first failed call where the list is pushed, doubled with each further one up to
// a twentieth of the drain grace. Danger: an agent that refuses at once must not be asked in a tight loop.
const firstPause = 10 * time.Millisecond
