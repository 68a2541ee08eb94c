package discovery

import "time"

// CallScheduler decides when the host list is requested, how long an answer may take, and whether a failed call is
// retried. It is deterministic: it holds no socket and reads no clock. Whether an agent on this machine pushes the list
// or discovery is polled, it guarantees that a change arrives before the drain grace is over that begins when the
// change counts as notified, even if two calls in a row are lost (three when polling).
//
// By the protocol, a change counts as notified as soon as an agent has it. A change that an unanswered long poll missed
// counts as notified 6 s after the poll fell silent, or 2 s after the wait of its call, whichever is later.
type CallScheduler struct {
	Pushed     bool          // the list comes from an agent, which answers at once and at no cost
	Grace      time.Duration // the drain grace: once it is over, nothing new may be sent to the draining desk host
	MinGrace   time.Duration // calls for a pushed list allow for at least this grace, as a busy machine needs it
	timeouts   int           // consecutive calls without an answer
	unreadable int           // unreadable answers since the last good one
	failures   int           // consecutive failed calls of any kind
	resent     bool          // the last call was sent again, because its connection closed
	moved      bool          // the address of discovery has changed, and no list has come from the new one yet
}

// Call holds the parameters of a call.
type Call struct {
	Wait        time.Duration // how long discovery may delay its answer; ignored for the full list
	Timeout     time.Duration // from the call to its answer; then it is overdue, and the next call follows
	DialTimeout time.Duration
}

// Parameters of calls when polling. A long poll that timed out is followed by calls without a wait, so that all changes
// it missed arrive within the 2 s: after 8.3 s of the poll, the first retry has 0.15 s to connect and 0.8 s to be
// answered, the second 0.15 s and 0.6 s, and then there is time for a third.
const (
	longPollWait      = 8 * time.Second
	longPollSlack     = 300 * time.Millisecond
	firstShortTimeout = 800 * time.Millisecond // longer than shortTimeout: slow is not silent
	shortTimeout      = 600 * time.Millisecond
	shortDialTimeout  = 150 * time.Millisecond
	// A busy discovery queues a call and refuses it after 3 s. Ending the call earlier costs discovery as much and
	// yields nothing. The changes it would report count as notified after 6 s, so a second call must fit in that time.
	fullListTimeout       = 3300 * time.Millisecond
	fullListDialTimeout   = 600 * time.Millisecond
	secondFullListTimeout = 1900 * time.Millisecond
	retryDialTimeout      = 400 * time.Millisecond
	// After discovery has moved, all changes count as notified 4 s later: two calls must fit in that time.
	afterMoveTimeout    = 1600 * time.Millisecond
	afterMoveCalls      = 2
	longPollDialTimeout = time.Second
	maxImmediateRetries = 3 // consecutive calls; after that the policy module spaces the calls
	noWait              = time.Millisecond
	// After a failed call all changes count as notified 6 s after discovery had them and was reachable, and the wait of
	// a long poll does not extend that. So this wait is short enough that a call without an answer leaves time for a
	// second one.
	waitAfterFailure = 2 * time.Second
)

// NextCall returns the parameters of the next call.
func (c *CallScheduler) NextCall(fullList bool) Call {
	switch {
	case c.Pushed:
		// A long poll that was kept open through an outage may stay unanswered after the agent has changes again, which
		// count as notified once the agent has them. So a call waits for only half the grace, and not at all after a
		// lost call.
		grace := max(c.Grace, c.MinGrace)
		if fullList || c.timeouts > 0 {
			return Call{Wait: noWait, Timeout: grace / 10, DialTimeout: grace / 10}
		}
		return Call{Wait: grace / 2, Timeout: grace/2 + grace/10, DialTimeout: grace / 10}
	case c.moved && c.timeouts < afterMoveCalls:
		return Call{Timeout: afterMoveTimeout, DialTimeout: retryDialTimeout}
	case c.moved:
		return Call{Timeout: fullListTimeout, DialTimeout: retryDialTimeout}
	case fullList && c.timeouts > 0:
		return Call{Timeout: secondFullListTimeout, DialTimeout: retryDialTimeout}
	case fullList:
		return Call{Timeout: fullListTimeout, DialTimeout: fullListDialTimeout}
	case c.timeouts == 1:
		return Call{Wait: noWait, Timeout: firstShortTimeout, DialTimeout: shortDialTimeout}
	case c.timeouts > 0 && c.timeouts <= maxImmediateRetries:
		return Call{Wait: noWait, Timeout: shortTimeout, DialTimeout: shortDialTimeout}
	case c.timeouts > 0:
		return Call{Wait: noWait, Timeout: fullListTimeout, DialTimeout: retryDialTimeout}
	case c.failures > 0 || c.resent:
		return Call{Wait: waitAfterFailure, Timeout: fullListTimeout, DialTimeout: fullListDialTimeout}
	}
	return Call{Wait: longPollWait, Timeout: longPollWait + longPollSlack, DialTimeout: longPollDialTimeout}
}

// DefaultMinGrace is the default of MinGrace: 250 ms of wait, 50 ms to connect and 50 ms to be answered.
const DefaultMinGrace = 500 * time.Millisecond

// DiscoveryMoved resets the state when the address of discovery changes.
func (c *CallScheduler) DiscoveryMoved() {
	c.timeouts, c.unreadable, c.failures, c.resent, c.moved = 0, 0, 0, false, true
}

// CallResent records that the connection closed as the call was sent, and that the call is sent again at once. This is
// not a failure, but the next call is timed as after one, because the connection may have ended by a fault.
func (c *CallScheduler) CallResent() { c.resent = true }

// CallAnswered resets the state after an answer.
func (c *CallScheduler) CallAnswered() {
	c.timeouts, c.unreadable, c.failures, c.resent, c.moved = 0, 0, 0, false, false
}

// FirstFailure reports whether the last call failed and the one before it did not.
func (c *CallScheduler) FirstFailure() bool { return c.failures == 1 }

// FailureKind is the way in which a call failed.
type FailureKind int

// The kinds of failures.
const (
	FailureRefused    FailureKind = iota // discovery rejected the call, or the connection broke
	FailureTimeout                       // no answer, or no connection, within the timeout
	FailureUnreadable                    // the answer was malformed, or older than one received before
)

// CallFailed records a failed call. It returns whether the scheduler retries it, and after which delay. Otherwise the
// policy module decides when to call: 300 balancers that retry at once would overload a discovery that has just refused
// them. An unreadable answer is retried here, because it is no refusal and the changes in it may count as notified very
// soon.
func (c *CallScheduler) CallFailed(kind FailureKind) (retry bool, delay time.Duration) {
	c.failures++
	switch kind {
	case FailureTimeout:
		c.timeouts++
	case FailureUnreadable:
		c.timeouts = 0
		c.unreadable++
	case FailureRefused:
		c.timeouts = 0
	}
	switch {
	case c.Pushed:
		return true, min(pushedBackoff<<min(c.failures-1, 5), max(c.Grace, c.MinGrace)/20)
	case kind == FailureTimeout && (c.timeouts <= maxImmediateRetries || c.moved):
		return true, 0
	case kind == FailureUnreadable && c.unreadable <= maxImmediateRetries:
		return true, unreadableBackoff << (c.unreadable - 1)
	}
	return false, 0
}

// unreadableBackoff is the delay after an unreadable answer, doubled with each further one.
const unreadableBackoff = 100 * time.Millisecond

// pushedBackoff is the delay after the first failed call to an agent, doubled with each further one up to a twentieth
// of the drain grace. Without it, an agent that refuses calls at once would be called in a tight loop.
const pushedBackoff = 10 * time.Millisecond
