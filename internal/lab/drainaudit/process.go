package drainaudit

import "time"

// process is what one balancer process did, as seen by discovery and the operating system.
type process struct {
	started       time.Duration
	knownRevision int // revision of the list in its configuration
	reloads       []time.Duration
	calls         []*Call
	answers       []writtenAnswer
}

// writtenAnswer is the time at which discovery had written all changes up to a revision to the process.
type writtenAnswer struct {
	at       time.Duration
	revision int
}

// Call is one call to discovery.
type Call struct {
	began        time.Duration
	ended        time.Duration // never while the call is open
	maxWait      time.Duration // how long discovery may hold the answer back
	silentSince  time.Duration // from when on no data can arrive on the call; never if the call is sound
	result       result
	afterFailure bool          // the previous call had no answer when this one began
	nextBegan    time.Duration // when the next call began, possibly while this one was open; never if there is none
}

type result int

const (
	open result = iota
	answered
	refused
	failed
)

const never = time.Duration(1<<63 - 1)

// Started records the start of a process whose configuration has the list of a revision. It replaces the earlier
// process of the same number.
func (a *Audit) Started(number int, at time.Duration, knownRevision int) {
	a.processes[number] = &process{started: at, knownRevision: knownRevision}
}

// Reloaded records a SIGHUP that moves discovery to another address.
func (a *Audit) Reloaded(number int, at time.Duration) {
	p := a.processes[number]
	p.reloads = append(p.reloads, at)
}

// Called records a call to discovery that may wait for changes for up to maxWait.
func (a *Audit) Called(number int, at, maxWait time.Duration) *Call {
	p := a.processes[number]
	c := &Call{began: at, ended: never, silentSince: never, nextBegan: never, maxWait: maxWait}
	if n := len(p.calls); n > 0 {
		previous := p.calls[n-1]
		c.afterFailure = previous.result != answered
		previous.nextBegan = at
	}
	p.calls = append(p.calls, c)
	return c
}

// Answered records that discovery has written an answer with all changes up to a revision.
func (a *Audit) Answered(number int, c *Call, at time.Duration, revision int) {
	c.result, c.ended = answered, at
	p := a.processes[number]
	p.answers = append(p.answers, writtenAnswer{at, revision})
}

// Refused records that discovery has refused the call because it is overloaded, or ended it in an outage.
func (c *Call) Refused(at time.Duration) { c.result, c.ended = refused, at }

// Failed records that the call has ended without a usable answer: the answer was malformed, or the balancer abandoned
// the call. It has no effect on a call that has ended already.
func (c *Call) Failed(at time.Duration) {
	if c.result == open {
		c.result, c.ended = failed, at
	}
}

// Silent records that no more data arrives on the call although its connection stays open.
func (c *Call) Silent(at time.Duration) { c.silentSince = min(c.silentSince, at) }

// isOpenAt reports whether the call, silent or not, is open at a time.
func (c *Call) isOpenAt(at time.Duration) bool { return c.began <= at && at < c.effectiveEnd() }

// effectiveEnd is when the call ended or the next one began, whichever is earlier.
func (c *Call) effectiveEnd() time.Duration { return min(c.ended, c.nextBegan) }

// endedShortlyBefore reports whether the call ended so shortly before a time that the next one counts as its successor.
func (c *Call) endedShortlyBefore(at time.Duration) bool {
	return c.effectiveEnd() <= at && at-c.effectiveEnd() <= silentGap
}
