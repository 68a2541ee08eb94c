package drainaudit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	ms    = time.Millisecond
	grace = 300 * ms
	s     = time.Second
)

// latestAllowed returns the time of the latest first byte that an audit allows, to the millisecond.
func latestAllowed(a *Audit, from, to time.Duration) time.Duration {
	for at := from; at <= to; at += ms {
		if a.FirstByteSent(0, "h", at) != nil {
			return at - ms
		}
	}
	return never
}

// pollingAudit returns an audit of a process that polls discovery, starts at 0 with the list before any change, and has
// a watch open from 10 ms on.
func pollingAudit(wait time.Duration) (*Audit, *Call) {
	a := New(Rules{Grace: grace, AskWithin: 10 * s})
	a.Started(0, 0, 0)
	first := a.Called(0, 5*ms, 0)
	a.Answered(0, first, 10*ms, 0)
	return a, a.Called(0, 10*ms, wait)
}

// Each case is a sentence of the operators' pages; docs/design/drain-search.md names it.
func TestPollDeadlines(t *testing.T) {
	for name, c := range map[string]struct {
		play     func(a *Audit, watch *Call)
		notified time.Duration
		lenient  time.Duration // under all lenient readings; 0 where they make no difference
	}{
		"written on a watch": {func(a *Audit, watch *Call) {
			a.Changed(2*s, "h", Terminating)
			a.Answered(0, watch, 2100*ms, 1)
		}, 2100 * ms, 0},
		"a silent long poll: 2 s after its wait": {func(a *Audit, watch *Call) {
			watch.Silent(s)
			a.Changed(2*s, "h", Terminated)
		}, 10010 * ms, 0},
		"a silent long poll that falls silent late: 6 s": {func(a *Audit, watch *Call) {
			watch.Silent(7 * s)
			a.Changed(7500*ms, "h", Terminated)
		}, 13500 * ms, 0},
		"refused, perhaps due to overload: no postponement": {func(a *Audit, watch *Call) {
			watch.Refused(s)
			a.Changed(2*s, "h", Terminating)
			a.Called(0, 3*s, 0).Refused(3500 * ms)
		}, 8 * s, 9500 * ms},
		"a second consecutive call that falls silent: no postponement": {func(a *Audit, watch *Call) {
			watch.Failed(s)
			a.Changed(2*s, "h", Terminating)
			first := a.Called(0, 3*s, 2*s)
			first.Silent(3 * s)
			first.Failed(6300 * ms)
			a.Called(0, 6300*ms, 2*s).Silent(6300 * ms)
		}, 9 * s, 12300 * ms},
		"an outage: 6 s after its end": {func(a *Audit, watch *Call) {
			watch.Refused(s)
			a.Outage(s, 9*s)
			a.Changed(2*s, "h", Terminating)
		}, 15 * s, 0},
		"a call that failed in any other way: no postponement": {func(a *Audit, watch *Call) {
			a.Changed(2*s, "h", Terminating)
			watch.Failed(2 * s)
			a.Called(0, 4*s, 0).Failed(5 * s)
		}, 8 * s, 0},
		"a long poll after a failure: postponed by its silence alone": {func(a *Audit, watch *Call) {
			watch.Failed(s)
			a.Changed(2*s, "h", Terminating)
			a.Called(0, 3*s, 8*s).Silent(3 * s)
		}, 9 * s, 0},
		"SIGHUP: 4 s": {func(a *Audit, watch *Call) {
			a.Changed(2*s, "h", Terminating)
			watch.Failed(3 * s)
			a.Reloaded(0, 3*s)
		}, 7 * s, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, watch := pollingAudit(8 * s)
			c.play(a, watch)
			assert.Equal(t, c.notified+grace+slack, latestAllowed(a, 2*s, 20*s))
			a.rules.Exempt = LenientReadings
			assert.Equal(t, max(c.notified, c.lenient)+grace+slack, latestAllowed(a, 2*s, 20*s), "under all lenient readings")
		})
	}
}

func TestAgentDeadlines(t *testing.T) {
	for name, c := range map[string]struct {
		play     func(a *Audit)
		notified time.Duration
	}{
		"the agent has it, watch open or not":            {func(a *Audit) { a.Changed(2*s, "h", Terminating) }, 2 * s},
		"a new process: from its first moment on":        {func(a *Audit) { a.Changed(2*s, "h", Terminating); a.Started(0, 3*s, 0) }, 3 * s},
		"an outage: at its end":                          {func(a *Audit) { a.Outage(s, 5*s); a.Changed(2*s, "h", Terminating) }, 5 * s},
		"SIGHUP: 4 s later":                              {func(a *Audit) { a.Reloaded(0, 1900*ms); a.Changed(2*s, "h", Terminating) }, 5900 * ms},
		"notified before SIGHUP: stays notified":         {func(a *Audit) { a.Changed(2*s, "h", Terminating); a.Reloaded(0, 2100*ms) }, 2 * s},
		"a watch that fell silent: 6 s after that":       {func(a *Audit) { a.Called(0, s, s).Silent(1500 * ms); a.Changed(2*s, "h", Terminating) }, 7500 * ms},
		"in the list of the configuration: at the start": {func(a *Audit) { a.Changed(2*s, "h", Terminating); a.Started(0, 4*s, 1) }, 4 * s},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(Rules{Pushed: true, Grace: grace, AskWithin: 10 * s})
			a.Started(0, 0, 0)
			c.play(a)
			assert.Equal(t, c.notified+grace+slack, latestAllowed(a, 2*s, 20*s))
		})
	}
}

// A balancer without a watch may use its list for AskWithin; a failed call extends that to four times as long.
func TestUnwatchedDeadline(t *testing.T) {
	a := New(Rules{Grace: grace, AskWithin: 2 * s})
	a.Started(0, 0, 0)
	first := a.Called(0, 5*ms, 0)
	a.Answered(0, first, 10*ms, 0)
	a.Changed(3*s, "h", Terminating)
	assert.Equal(t, 5*s+grace+slack, latestAllowed(a, 3*s, 20*s))
}

// A process that starts long after a change counts as notified at its start; a lenient reading allows it the time of
// its first call in addition.
func TestChangeLongBeforeStart(t *testing.T) {
	a := New(Rules{Grace: grace, AskWithin: 10 * s})
	a.Changed(s, "h", Terminating)
	a.Started(0, 20*s, 0)
	first := a.Called(0, 20100*ms, 0)
	a.Answered(0, first, 20150*ms, 1)
	assert.Equal(t, 20*s+grace+slack, latestAllowed(a, 20*s, 30*s))
	violation := a.FirstByteSent(0, "h", 20*s+grace+slack+ms)
	assert.Equal(t, FirstCalls, violation.Exemptions)
	assert.Contains(t, violation.Error(), "only a lenient reading excuses it: first calls")
	a.rules.Exempt = FirstCalls
	assert.Equal(t, 20150*ms+grace+slack, latestAllowed(a, 20*s, 30*s))
}

// A host that is back in service may receive requests once that is notified. The drain of one host does not affect
// another.
func TestBackInService(t *testing.T) {
	a, watch := pollingAudit(8 * s)
	a.Changed(2*s, "h", Terminating)
	a.Answered(0, watch, 2*s, 1)
	assert.NotNil(t, a.FirstByteSent(0, "h", 4*s))
	assert.Nil(t, a.FirstByteSent(0, "other", 4*s))
	second := a.Called(0, 2*s, 8*s)
	a.Changed(5*s, "h", InService)
	assert.NotNil(t, a.FirstByteSent(0, "h", 5100*ms), "not notified yet")
	a.Answered(0, second, 5200*ms, 2)
	assert.Nil(t, a.FirstByteSent(0, "h", 5200*ms))
}
