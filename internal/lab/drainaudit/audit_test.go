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

// latest is the latest first byte that an audit lets pass, to the millisecond.
func latest(a *Audit, from, to time.Duration) time.Duration {
	for at := from; at <= to; at += ms {
		if a.Sent(0, "h", at) != nil {
			return at - ms
		}
	}
	return never
}

// askedAudit is a process that asks, starts at 0 with the list before any change, and has a watch open from 10 ms on.
func askedAudit(wait time.Duration) (*Audit, *Call) {
	a := New(Rules{Grace: grace, AskWithin: 10 * s})
	a.Started(0, 0, 0)
	first := a.Called(0, 5*ms, 0)
	a.Answered(0, first, 10*ms, 0)
	return a, a.Called(0, 10*ms, wait)
}

// Each case is a sentence of the pages; docs/design/drain-search.md names it.
func TestToldByTheClocksOfLists(t *testing.T) {
	for name, c := range map[string]struct {
		play func(a *Audit, watch *Call)
		told time.Duration
		mild time.Duration // as all mild readings have it; 0 where they change nothing
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
		"refused, perhaps for being crowded: that adds nothing": {func(a *Audit, watch *Call) {
			watch.Refused(s)
			a.Changed(2*s, "h", Terminating)
			a.Called(0, 3*s, 0).Refused(3500 * ms)
		}, 8 * s, 9500 * ms},
		"a second call in a row that falls silent adds nothing": {func(a *Audit, watch *Call) {
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
		"a call that failed in any other way adds nothing": {func(a *Audit, watch *Call) {
			a.Changed(2*s, "h", Terminating)
			watch.Failed(2 * s)
			a.Called(0, 4*s, 0).Failed(5 * s)
		}, 8 * s, 0},
		"a long poll after a failure adds nothing, but for its silence": {func(a *Audit, watch *Call) {
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
			a, watch := askedAudit(8 * s)
			c.play(a, watch)
			assert.Equal(t, c.told+grace+slack, latest(a, 2*s, 20*s))
			a.rules.Exempt = Mild
			assert.Equal(t, max(c.told, c.mild)+grace+slack, latest(a, 2*s, 20*s), "by all mild readings")
		})
	}
}

func TestToldByTheClocksOfPushedLists(t *testing.T) {
	for name, c := range map[string]struct {
		play func(a *Audit)
		told time.Duration
	}{
		"the agent has it, watch open or not":       {func(a *Audit) { a.Changed(2*s, "h", Terminating) }, 2 * s},
		"a new process: from its first moment on":   {func(a *Audit) { a.Changed(2*s, "h", Terminating); a.Started(0, 3*s, 0) }, 3 * s},
		"an outage: at its end":                     {func(a *Audit) { a.Outage(s, 5*s); a.Changed(2*s, "h", Terminating) }, 5 * s},
		"SIGHUP: 4 s later":                         {func(a *Audit) { a.Reloaded(0, 1900*ms); a.Changed(2*s, "h", Terminating) }, 5900 * ms},
		"told before SIGHUP: it stays told":         {func(a *Audit) { a.Changed(2*s, "h", Terminating); a.Reloaded(0, 2100*ms) }, 2 * s},
		"a watch that fell silent: 6 s after that":  {func(a *Audit) { a.Called(0, s, s).Silent(1500 * ms); a.Changed(2*s, "h", Terminating) }, 7500 * ms},
		"listed so in the configuration: its start": {func(a *Audit) { a.Changed(2*s, "h", Terminating); a.Started(0, 4*s, 1) }, 4 * s},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(Rules{Pushed: true, Grace: grace, AskWithin: 10 * s})
			a.Started(0, 0, 0)
			c.play(a)
			assert.Equal(t, c.told+grace+slack, latest(a, 2*s, 20*s))
		})
	}
}

// A balancer with no watch is held to its list for the time to ask within; a call that failed gives it four times that.
func TestToldWithoutAWatch(t *testing.T) {
	a := New(Rules{Grace: grace, AskWithin: 2 * s})
	a.Started(0, 0, 0)
	first := a.Called(0, 5*ms, 0)
	a.Answered(0, first, 10*ms, 0)
	a.Changed(3*s, "h", Terminating)
	assert.Equal(t, 5*s+grace+slack, latest(a, 3*s, 20*s))
}

// A process that starts long after a change is told at once; a mild reading leaves it the time that its first call takes.
func TestToldLongBeforeTheStart(t *testing.T) {
	a := New(Rules{Grace: grace, AskWithin: 10 * s})
	a.Changed(s, "h", Terminating)
	a.Started(0, 20*s, 0)
	first := a.Called(0, 20100*ms, 0)
	a.Answered(0, first, 20150*ms, 1)
	assert.Equal(t, 20*s+grace+slack, latest(a, 20*s, 30*s))
	broken := a.Sent(0, "h", 20*s+grace+slack+ms)
	assert.Equal(t, FirstCalls, broken.Excuses)
	assert.Contains(t, broken.Error(), "only a mild reading excuses it: first calls")
	a.rules.Exempt = FirstCalls
	assert.Equal(t, 20150*ms+grace+slack, latest(a, 20*s, 30*s))
}

// A host that is back in service may be sent to, once that is told; another host's drain is none of its business.
func TestBackInService(t *testing.T) {
	a, watch := askedAudit(8 * s)
	a.Changed(2*s, "h", Terminating)
	a.Answered(0, watch, 2*s, 1)
	assert.NotNil(t, a.Sent(0, "h", 4*s))
	assert.Nil(t, a.Sent(0, "other", 4*s))
	second := a.Called(0, 2*s, 8*s)
	a.Changed(5*s, "h", InService)
	assert.NotNil(t, a.Sent(0, "h", 5100*ms), "not told yet")
	a.Answered(0, second, 5200*ms, 2)
	assert.Nil(t, a.Sent(0, "h", 5200*ms))
}
