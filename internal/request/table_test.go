package request

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tealtiller/internal/counters"
	"tealtiller/internal/deadline"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// harness is a table with a transport that records its calls.
type harness struct {
	*Table
	deadlineQueue deadline.Queue
	calls         []string
	unreachable   map[string]bool // servers at which Begin fails
	abandonedSent bool            // what Abandon returns
}

func newHarness(servers ...string) *harness {
	h := &harness{unreachable: map[string]bool{}}
	set := policy.Settings{MaxAttempts: 6, Tick: time.Millisecond, OverloadSpan: time.Second,
		Classes: map[string]policy.Class{"c": {SetupTarget: 300 * time.Millisecond, MessageTarget: 50 * time.Millisecond}}}
	h.Table = New(func(host policy.Host) Module { return policy.New(set, 7, host) }, h, &h.deadlineQueue, counters.Set{})
	var list []policy.Server
	for _, s := range servers {
		list = append(list, policy.Server{ID: s, State: policy.Ready, Weight: 1})
	}
	h.UpdateMembers(t0, policy.Full, list)
	return h
}

const t0 = 1000 * time.Second

func (h *harness) record(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}
func (h *harness) Begin(owner slot.ID, server string, _ time.Duration) error {
	h.record("begin %d %s", owner, server)
	if h.unreachable[server] {
		return errors.New("server unreachable")
	}
	return nil
}
func (h *harness) Abandon(owner slot.ID) bool                           { h.record("abandon %d", owner); return h.abandonedSent }
func (h *harness) Busy(owner slot.ID, _ time.Duration, _ policy.Reason) { h.record("busy %d", owner) }
func (h *harness) Failed(owner slot.ID)                                 { h.record("failed %d", owner) }
func (h *harness) Move(owner slot.ID)                                   { h.record("move %d", owner) }
func (h *harness) Watch(bool)                                           {}
func (h *harness) Probe(string)                                         {}
func (h *harness) Log(string)                                           {}

func (h *harness) takeCalls() []string {
	calls := h.calls
	h.calls = nil
	return calls
}

func submit(h *harness, owner slot.ID) slot.ID {
	return h.Submit(t0, owner, policy.Request{Class: "c", Key: 5, HasKey: true, TTL: time.Second})
}

func TestConnectionLifecycle(t *testing.T) {
	h := newHarness("s")
	id := submit(h, 9)
	assert.Equal(t, []string{"begin 9 s"}, h.takeCalls())
	assert.Equal(t, 1, h.Unanswered())
	h.Established(t0, id)
	assert.Equal(t, 0, h.Unanswered())
	h.deadlineQueue.Run(t0 + time.Minute)
	assert.Empty(t, h.takeCalls(), "an established connection has no deadline")
	h.AttemptEnded(t0, id, policy.OK)
	assert.Zero(t, h.Len())
	h.AttemptEnded(t0, id, policy.OK) // a stale id is ignored
	h.ClientLeft(t0, id)
	assert.Empty(t, h.takeCalls())
}

// The outcome of an attempt that fails immediately is reported after the module's action has returned, and the request
// is answered within the same call.
func TestAttemptThatCannotStart(t *testing.T) {
	h := newHarness("s")
	h.unreachable["s"] = true
	submit(h, 9)
	assert.Equal(t, []string{"begin 9 s", "busy 9"}, h.takeCalls())
	assert.Zero(t, h.Len())
}

// The timed-out attempt is abandoned before the next one begins. An attempt that was not sent cannot have run and
// counts as a failure to connect.
func TestTimedOutAttemptIsAbandonedBeforeTheNext(t *testing.T) {
	for _, sent := range []bool{true, false} {
		h := newHarness("s", "u")
		h.abandonedSent = sent
		submit(h, 9)
		firstAttempt := h.takeCalls()[0]
		h.deadlineQueue.Run(t0 + 300*time.Millisecond)
		calls := h.takeCalls()
		assert.Len(t, calls, 2)
		assert.Equal(t, "abandon 9", calls[0])
		assert.Contains(t, calls[1], "begin 9 ")
		assert.NotEqual(t, firstAttempt, calls[1])
		counter := map[bool]string{true: "attempts ended: timeout", false: "attempts ended: connect failed"}[sent]
		assert.EqualValues(t, 1, h.counts[counter])
	}
}

// A request has exactly one answer by its deadline, even if no host responds.
func TestOneAnswerBeforeTheDeadline(t *testing.T) {
	h := newHarness("s", "u", "v")
	h.abandonedSent = true
	submit(h, 9)
	var calls []string
	for now := t0; now < t0+time.Second; now += time.Millisecond {
		h.deadlineQueue.Run(now)
		calls = append(calls, h.takeCalls()...)
	}
	answers := 0
	for _, call := range calls {
		if call == "busy 9" || call == "failed 9" {
			answers++
		}
	}
	assert.Equal(t, 1, answers, "%v", calls)
	assert.Zero(t, h.Len())
}

func TestClientLeavesBeforeItsAnswer(t *testing.T) {
	h := newHarness("s", "u")
	id := submit(h, 9)
	h.takeCalls()
	h.ClientLeft(t0, id)
	assert.Equal(t, []string{"abandon 9"}, h.takeCalls())
	assert.Zero(t, h.Len())
	h.deadlineQueue.Run(t0 + time.Minute)
	assert.Empty(t, h.takeCalls())
}

func TestMidFlowConnectionIsNotRetriedElsewhere(t *testing.T) {
	h := newHarness("s", "u")
	id := h.SubmitToHost(t0, 9, policy.Request{Class: "c", TTL: time.Second}, "u")
	assert.Equal(t, []string{"begin 9 u"}, h.takeCalls())
	h.AttemptEnded(t0, id, policy.Reset)
	assert.Equal(t, []string{"failed 9"}, h.takeCalls())
	assert.Zero(t, h.Len())
	h.unreachable["u"] = true
	h.SubmitToHost(t0, 10, policy.Request{Class: "c", TTL: time.Second}, "u")
	assert.Equal(t, []string{"begin 10 u", "failed 10"}, h.takeCalls())
}

// A measurement of slow messages moves clients. The outcome of each move is delivered after the module has handled the
// measurement.
func TestMetricMovesConnections(t *testing.T) {
	h := newHarness("s")
	var ids []slot.ID
	for owner := range slot.ID(4) {
		ids = append(ids, submit(h, owner+1))
		h.Established(t0, ids[owner])
	}
	h.takeCalls()
	h.ConnectionMetric(t0, ids[0], policy.MetricDelay, 5000)
	calls := h.takeCalls()
	assert.Len(t, calls, 2, "at most half are moved: %v", calls)
	assert.Equal(t, 2, h.Len())
	assert.EqualValues(t, 2, h.counts["connections ended: cancelled"])
}

// A Send while an attempt is open would send a second copy of the request: it is not sent, and its outcome is NotSent.
func TestNoSecondAttemptInFlight(t *testing.T) {
	h := newHarness("s", "u")
	id := submit(h, 9)
	h.takeCalls()
	req, _ := h.requests.Get(id)
	moduleHost{h.Table}.Send(req.moduleID, "u", time.Second)
	assert.Empty(t, h.takeCalls())
	assert.Len(t, h.pendingOutcomes, 1)
	moduleHost{h.Table}.Send("not a name", "u", time.Second)
	moduleHost{h.Table}.Refuse("77", 0, policy.NoTimeLeft)
	moduleHost{h.Table}.Move(req.moduleID) // not established
	assert.Empty(t, h.takeCalls())
}

// Operators compare these counts with what clients received: each final answer counts once, under the class that the
// request had when it was submitted, whatever follows. A request that its client abandoned has no answer.
func TestEachFinalAnswerIsCountedOnce(t *testing.T) {
	h := newHarness("s")
	established := submit(h, 1)
	h.Established(t0, established)
	h.Established(t0, established)
	h.Reconfigure(policy.Settings{MaxAttempts: 6, Tick: time.Millisecond}) // the settings no longer contain its class
	h.AttemptEnded(t0, established, policy.Reset)
	assert.Equal(t, map[string]counters.Outcomes{"c": {Completed: 1}}, h.AnswerCounts())
	h.ClientLeft(t0, submit(h, 2))
	refused := submit(h, 3)
	h.AttemptEnded(t0, refused, policy.Rejected)
	h.ClientLeft(t0, refused)
	h.CountRejected("c")
	assert.Equal(t, counters.Outcomes{Completed: 1, Rejected: 2}, h.AnswerCounts()["c"])
	violating := submit(h, 4)
	h.AnsweredFailed(t0, violating)
	h.AnsweredFailed(t0, violating)
	h.SubmitToHost(t0, 5, policy.Request{Class: "d", TTL: time.Second}, "s")
	h.AttemptEnded(t0, h.SubmitToHost(t0, 6, policy.Request{Class: "d", TTL: time.Second}, "s"), policy.ConnectFailed)
	assert.Equal(t, counters.Outcomes{Completed: 1, Rejected: 2, Failed: 1}, h.AnswerCounts()["c"])
	assert.Equal(t, counters.Outcomes{Failed: 1}, h.AnswerCounts()["d"])
}

// A connection that another process of this balancer established is tracked by the successor alone after the transfer.
// Only the first process counts its answer.
func TestConnectionPassesToAnotherProcess(t *testing.T) {
	previous, successor := newHarness("s"), newHarness("s")
	id := submit(previous, 1)
	previous.Release(t0, id)
	assert.Equal(t, 1, previous.Len(), "a request without an established connection is not released")
	previous.Established(t0, id)
	previous.Release(t0, id)
	previous.Release(t0, id)
	assert.Zero(t, previous.Len())
	id = successor.Inherit(t0, 7, policy.Request{ID: "x", Class: "c", Key: 5, HasKey: true}, "s")
	assert.Equal(t, 1, successor.Len())
	assert.Zero(t, successor.Unanswered())
	assert.True(t, successor.IsOpen("x"))
	assert.Empty(t, successor.AnswerCounts())
	successor.AttemptEnded(t0, id, policy.OK)
	assert.Zero(t, successor.Len())
	assert.Empty(t, successor.takeCalls())
}
