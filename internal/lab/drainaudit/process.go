package drainaudit

import "time"

// process is what one balancer's process did, as discovery and the operating system saw it.
type process struct {
	started time.Duration
	known   int // revision of the list in its configuration
	reloads []time.Duration
	calls   []*Call
	written []writing
}

// writing is the moment in which discovery had written all changes up to a revision to the process.
type writing struct {
	at       time.Duration
	revision int
}

// Call is one call to discovery.
type Call struct {
	began        time.Duration
	ended        time.Duration // never, while it is open
	wait         time.Duration // that it let discovery hold its answer back
	silent       time.Duration // since when nothing more can come on it; never, if it is sound
	result       result
	afterFailure bool          // the call before it had no answer by then
	followed     time.Duration // when the next call began, which may be while this one is open; never before
}

type result int

const (
	open result = iota
	answered
	refused
	failed
)

const never = time.Duration(1<<63 - 1)

// Started takes the first moment of a process that holds the list of a revision; one of the same number is over.
func (a *Audit) Started(number int, at time.Duration, known int) {
	a.processes[number] = &process{started: at, known: known}
}

// Reloaded takes a SIGHUP after which discovery is elsewhere.
func (a *Audit) Reloaded(number int, at time.Duration) {
	p := a.processes[number]
	p.reloads = append(p.reloads, at)
}

// Called takes a call, which may wait so long for news.
func (a *Audit) Called(number int, at, wait time.Duration) *Call {
	p := a.processes[number]
	c := &Call{began: at, ended: never, silent: never, followed: never, wait: wait}
	if n := len(p.calls); n > 0 {
		before := p.calls[n-1]
		c.afterFailure = before.result != answered
		before.followed = at
	}
	p.calls = append(p.calls, c)
	return c
}

// Answered takes that discovery has written an answer to a call, with all changes up to a revision.
func (a *Audit) Answered(number int, c *Call, at time.Duration, revision int) {
	c.result, c.ended = answered, at
	p := a.processes[number]
	p.written = append(p.written, writing{at, revision})
}

// Refused takes that discovery has turned a call down, as it has too many, or ended it in an outage.
func (c *Call) Refused(at time.Duration) { c.result, c.ended = refused, at }

// Failed takes that a call has ended without an answer of use: garbled, or given up by the balancer.
func (c *Call) Failed(at time.Duration) {
	if c.result == open {
		c.result, c.ended = failed, at
	}
}

// Silent takes that nothing more comes on a call, though its connection stays open.
func (c *Call) Silent(at time.Duration) { c.silent = min(c.silent, at) }

// lastsAt tells whether a call, silent or not, is open at a moment.
func (c *Call) lastsAt(at time.Duration) bool { return c.began <= at && at < c.over() }

// over is when a call has ended, or the next one has begun.
func (c *Call) over() time.Duration { return min(c.ended, c.followed) }

// endedJustBefore tells whether a call ended so shortly before a moment that the next one follows closely.
func (c *Call) endedJustBefore(at time.Duration) bool {
	return c.over() <= at && at-c.over() <= silentGap
}
