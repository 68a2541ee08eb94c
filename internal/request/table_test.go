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

// bench is a table whose carrier writes down what it is told.
type bench struct {
	*Table
	q    deadline.Queue
	told []string
	dead map[string]bool // servers at which nothing can be begun
	sent bool            // what Abandon tells
}

func newBench(servers ...string) *bench {
	b := &bench{dead: map[string]bool{}}
	set := policy.Settings{MaxAttempts: 6, Tick: time.Millisecond, OverloadSpan: time.Second,
		Classes: map[string]policy.Class{"c": {SetupTarget: 300 * time.Millisecond, MessageTarget: 50 * time.Millisecond}}}
	b.Table = New(func(h policy.Host) Module { return policy.New(set, 7, h) }, b, &b.q, counters.Set{})
	var list []policy.Server
	for _, s := range servers {
		list = append(list, policy.Server{ID: s, State: policy.Ready, Weight: 1})
	}
	b.UpdateMembers(t0, policy.Full, list)
	return b
}

const t0 = 1000 * time.Second

func (b *bench) tell(format string, args ...any) {
	b.told = append(b.told, fmt.Sprintf(format, args...))
}
func (b *bench) Begin(owner slot.ID, server string, _ time.Duration) error {
	b.tell("begin %d %s", owner, server)
	if b.dead[server] {
		return errors.New("dead")
	}
	return nil
}
func (b *bench) Abandon(owner slot.ID) bool                           { b.tell("abandon %d", owner); return b.sent }
func (b *bench) Busy(owner slot.ID, _ time.Duration, _ policy.Reason) { b.tell("busy %d", owner) }
func (b *bench) Failed(owner slot.ID)                                 { b.tell("failed %d", owner) }
func (b *bench) Move(owner slot.ID)                                   { b.tell("move %d", owner) }
func (b *bench) Watch(bool)                                           {}
func (b *bench) Ask(string)                                           {}
func (b *bench) Log(string)                                           {}

func (b *bench) takeTold() []string {
	told := b.told
	b.told = nil
	return told
}

func take(b *bench, owner slot.ID) slot.ID {
	return b.Submit(t0, owner, policy.Request{Class: "c", Key: 5, HasKey: true, TTL: time.Second})
}

func TestServedToItsEnd(t *testing.T) {
	b := newBench("s")
	id := take(b, 9)
	assert.Equal(t, []string{"begin 9 s"}, b.takeTold())
	assert.Equal(t, 1, b.Unanswered())
	b.Established(t0, id)
	assert.Equal(t, 0, b.Unanswered())
	b.q.Run(t0 + time.Minute)
	assert.Empty(t, b.takeTold(), "no deadline runs for what stands")
	b.AttemptEnded(t0, id, policy.OK)
	assert.Zero(t, b.Len())
	b.AttemptEnded(t0, id, policy.OK) // stale
	b.ClientLeft(t0, id)
	assert.Empty(t, b.takeTold())
}

// An attempt that fails at once is told after the module's action, and the answer comes at once.
func TestNothingCanBeBegun(t *testing.T) {
	b := newBench("s")
	b.dead["s"] = true
	take(b, 9)
	assert.Equal(t, []string{"begin 9 s", "busy 9"}, b.takeTold())
	assert.Zero(t, b.Len())
}

// The old attempt has ended before the next begins; what was not yet sent cannot have run.
func TestOverdueAttemptIsAbandonedFirst(t *testing.T) {
	for _, sent := range []bool{true, false} {
		b := newBench("s", "u")
		b.sent = sent
		take(b, 9)
		first := b.takeTold()[0]
		b.q.Run(t0 + 300*time.Millisecond)
		told := b.takeTold()
		assert.Len(t, told, 2)
		assert.Equal(t, "abandon 9", told[0])
		assert.Contains(t, told[1], "begin 9 ")
		assert.NotEqual(t, first, told[1])
		name := map[bool]string{true: "attempts ended: timeout", false: "attempts ended: connect failed"}[sent]
		assert.EqualValues(t, 1, b.count[name])
	}
}

// At its deadline a request has had one answer, whatever the hosts do.
func TestOneAnswerBeforeTheDeadline(t *testing.T) {
	b := newBench("s", "u", "v")
	b.sent = true
	take(b, 9)
	var all []string
	for now := t0; now < t0+time.Second; now += time.Millisecond {
		b.q.Run(now)
		all = append(all, b.takeTold()...)
	}
	answers := 0
	for _, a := range all {
		if a == "busy 9" || a == "failed 9" {
			answers++
		}
	}
	assert.Equal(t, 1, answers, "%v", all)
	assert.Zero(t, b.Len())
}

func TestClientLeavesBeforeItsAnswer(t *testing.T) {
	b := newBench("s", "u")
	id := take(b, 9)
	b.takeTold()
	b.ClientLeft(t0, id)
	assert.Equal(t, []string{"abandon 9"}, b.takeTold())
	assert.Zero(t, b.Len())
	b.q.Run(t0 + time.Minute)
	assert.Empty(t, b.takeTold())
}

func TestHandedOverGoesNowhereElse(t *testing.T) {
	b := newBench("s", "u")
	id := b.SubmitMidFlow(t0, 9, policy.Request{Class: "c", TTL: time.Second}, "u")
	assert.Equal(t, []string{"begin 9 u"}, b.takeTold())
	b.AttemptEnded(t0, id, policy.Reset)
	assert.Equal(t, []string{"failed 9"}, b.takeTold())
	assert.Zero(t, b.Len())
	b.dead["u"] = true
	b.SubmitMidFlow(t0, 10, policy.Request{Class: "c", TTL: time.Second}, "u")
	assert.Equal(t, []string{"begin 10 u", "failed 10"}, b.takeTold())
}

// A note on slow messages moves clients; each move gives the module its outcome after the note.
func TestMovesFollowANote(t *testing.T) {
	b := newBench("s")
	var ids []slot.ID
	for owner := range slot.ID(4) {
		ids = append(ids, take(b, owner+1))
		b.Established(t0, ids[owner])
	}
	b.takeTold()
	b.Note(t0, ids[0], policy.MetricDelay, 5000)
	told := b.takeTold()
	assert.Len(t, told, 2, "half at the most: %v", told)
	assert.Equal(t, 2, b.Len())
	assert.EqualValues(t, 2, b.count["connections ended: cancelled"])
}

// A second Send while an attempt is out would be a second copy: it is not sent, and its outcome is Moot.
func TestNeverTwoAttemptsInFlight(t *testing.T) {
	b := newBench("s", "u")
	id := take(b, 9)
	b.takeTold()
	req, _ := b.requests.Get(id)
	host{b.Table}.Send(req.name, "u", time.Second)
	assert.Empty(t, b.takeTold())
	assert.Len(t, b.queue, 1)
	host{b.Table}.Send("not a name", "u", time.Second)
	host{b.Table}.Refuse("77", 0, policy.NoTimeLeft)
	host{b.Table}.Move(req.name) // does not stand
	assert.Empty(t, b.takeTold())
}

// Operators compare the figures with what clients saw: each final answer counts once, under the class as it was
// when taken, whatever comes after it; what a client abandoned has none.
func TestEachFinalAnswerIsCountedOnce(t *testing.T) {
	b := newBench("s")
	up := take(b, 1)
	b.Established(t0, up)
	b.Established(t0, up)
	b.Reconfigure(policy.Settings{MaxAttempts: 6, Tick: time.Millisecond}) // its class vanishes
	b.AttemptEnded(t0, up, policy.Reset)
	assert.Equal(t, map[string]counters.Outcomes{"c": {Completed: 1}}, b.AnswerCounts())
	b.ClientLeft(t0, take(b, 2))
	refused := take(b, 3)
	b.AttemptEnded(t0, refused, policy.Rejected)
	b.ClientLeft(t0, refused)
	b.CountRejected("c")
	assert.Equal(t, counters.Outcomes{Completed: 1, Rejected: 2}, b.AnswerCounts()["c"])
	spoilt := take(b, 4)
	b.ProtocolError(t0, spoilt)
	b.ProtocolError(t0, spoilt)
	b.SubmitMidFlow(t0, 5, policy.Request{Class: "d", TTL: time.Second}, "s")
	b.AttemptEnded(t0, b.SubmitMidFlow(t0, 6, policy.Request{Class: "d", TTL: time.Second}, "s"), policy.ConnectFailed)
	assert.Equal(t, counters.Outcomes{Completed: 1, Rejected: 2, Failed: 1}, b.AnswerCounts()["c"])
	assert.Equal(t, counters.Outcomes{Failed: 1}, b.AnswerCounts()["d"])
}

// What stood in another process of this balancer counts here as ours, and no more there; its answer was counted there.
func TestWhatStandsChangesHands(t *testing.T) {
	old, b := newBench("s"), newBench("s")
	id := take(old, 1)
	old.Release(t0, id)
	assert.Equal(t, 1, old.Len(), "nothing stands yet")
	old.Established(t0, id)
	old.Release(t0, id)
	old.Release(t0, id)
	assert.Zero(t, old.Len())
	id = b.Inherit(t0, 7, policy.Request{ID: "x", Class: "c", Key: 5, HasKey: true}, "s")
	assert.Equal(t, 1, b.Len())
	assert.Zero(t, b.Unanswered())
	assert.True(t, b.IsOpen("x"))
	assert.Empty(t, b.AnswerCounts())
	b.AttemptEnded(t0, id, policy.OK)
	assert.Zero(t, b.Len())
	assert.Empty(t, b.takeTold())
}
