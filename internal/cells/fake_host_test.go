package cells

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

const startTime = 1000 * time.Second

func testSettings() policy.Settings {
	return policy.Settings{MaxAttempts: 6, Siblings: 1, Tick: 4 * time.Millisecond, MustWatch: true, MaxWatchInterval: 10 * time.Second,
		DrainGrace: 300 * time.Millisecond, ColdCapacityShare: 0.15, WarmAfter: 22 * time.Second, OverloadFactor: 3, OverloadSpan: time.Second,
		Classes: map[string]policy.Class{"lookup": {SetupTarget: 300 * time.Millisecond, MessageTarget: 250 * time.Millisecond}}}
}

// fakeHost records the actions of a Fleet, and keeps track of attempts, final answers and timers.
type fakeHost struct {
	t            require.TestingT
	fleet        *Fleet
	actions      []string
	inFlight     map[string]string // desk host by request
	attempts     map[string]int
	finalAnswers map[string]int
	moves        []string
	timers       []timer
	watchCalls   int
	lastSent     string
	onSend       func(request, server string)
}

type timer struct {
	at   time.Duration
	name int64
}

func (w *fakeHost) recordAction(format string, args ...any) {
	w.actions = append(w.actions, fmt.Sprintf(format, args...))
}
func (w *fakeHost) Send(r, s string, d time.Duration) {
	w.recordAction("send %s %s %v", r, s, d)
	assert.Empty(w.t, w.inFlight[r], "two attempts in flight")
	w.inFlight[r] = s
	w.attempts[r]++
	w.lastSent = s
	if w.onSend != nil {
		w.onSend(r, s)
	}
}
func (w *fakeHost) Refuse(r string, d time.Duration, _ policy.Reason) {
	w.recordAction("refuse %s %v", r, d)
	w.finalAnswers[r]++
}
func (w *fakeHost) Fail(r string)  { w.recordAction("fail %s", r); w.finalAnswers[r]++ }
func (w *fakeHost) Move(r string)  { w.recordAction("move %s", r); w.moves = append(w.moves, r) }
func (w *fakeHost) Probe(s string) { w.recordAction("probe %s", s) }
func (w *fakeHost) NotifySiblings(s uint32, d time.Duration) {
	w.recordAction("notify siblings %d %v", s, d)
}
func (w *fakeHost) Watch(on bool) { w.recordAction("watch %v", on); w.watchCalls++ }
func (w *fakeHost) Log(string)    {}
func (w *fakeHost) Wake(at time.Duration, name int64) {
	w.recordAction("wake %v %d", at, name)
	w.timers = append(w.timers, timer{at, name})
}

func newFakeHost(t require.TestingT, set policy.Settings, plan *Plan) *fakeHost {
	w := &fakeHost{t: t, inFlight: map[string]string{}, attempts: map[string]int{}, finalAnswers: map[string]int{}}
	w.fleet = New(set, 7, w, plan)
	return w
}

func (w *fakeHost) request(now time.Duration, id, carrier string, flight uint64) string {
	w.lastSent = ""
	w.fleet.Request(now, policy.Request{ID: id, Class: "lookup", Key: flight, HasKey: true, TTL: time.Second, Tenant: carrier})
	return w.lastSent
}

func (w *fakeHost) establish(now time.Duration, id, carrier string, flight uint64) string {
	s := w.request(now, id, carrier, flight)
	require.NotEmpty(w.t, s)
	w.fleet.ConnectionEstablished(now, id)
	w.finalAnswers[id]++
	return s
}

func (w *fakeHost) endConnection(now time.Duration, id string) {
	delete(w.inFlight, id)
	w.fleet.Outcome(now, id, policy.Cancelled, true)
}

// fireTimers fires the timers that are due.
func (w *fakeHost) fireTimers(now time.Duration) {
	for {
		i := slices.IndexFunc(w.timers, func(t timer) bool { return t.at <= now })
		if i < 0 {
			return
		}
		due := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.fleet.Wake(now, due.name)
	}
}
