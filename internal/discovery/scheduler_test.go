package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fakeService simulates discovery or an agent, as the operators' documentation describes it: a change at some time, and
// calls that it answers or leaves unanswered. It drives a scheduler and finds out when the change has arrived.
type fakeService struct {
	scheduler      CallScheduler
	changedAt      time.Duration // when the host list changes
	unanswered     []bool        // by call: whether it gets no answer
	latency        time.Duration // of connecting and of answering, each
	calls          int
	callTimes      []time.Duration
	missedCallAt   time.Duration // the time of the first call that missed the change; -1 before
	missedCallWait time.Duration // the wait of that call
}

// run makes calls from a time on, first on a new or a reused connection, and returns when the change has arrived.
func (s *fakeService) run(now time.Duration, fullList, reused bool) time.Duration {
	s.missedCallAt = -1
	for {
		call := s.scheduler.NextCall(fullList)
		connected := now + s.latency
		unanswered := s.calls < len(s.unanswered) && s.unanswered[s.calls]
		s.calls++
		s.callTimes = append(s.callTimes, now)
		if unanswered {
			if !reused { // an unanswered dial takes its full timeout
				connected = now + call.DialTimeout
			}
			if timedOut := connected + call.Timeout; s.missedCallAt < 0 && timedOut >= s.changedAt {
				s.missedCallAt, s.missedCallWait = now, call.Wait
			}
			now, reused = connected+call.Timeout, false
			retry, delay := s.scheduler.CallFailed(FailureTimeout)
			if !retry {
				return now // from here on the policy module makes the calls
			}
			now += delay
			continue
		}
		fullList, reused = false, true // the change is newer than the list now held
		answered := connected + s.latency
		if answered < s.changedAt && answered+call.Wait >= s.changedAt {
			answered = s.changedAt + s.latency
		} else if answered < s.changedAt {
			answered += call.Wait
		}
		s.scheduler.CallAnswered()
		if now = answered; now >= s.changedAt {
			return now
		}
	}
}

// Pushed lists: a change arrives within the drain grace after the agent has it, even if any two calls in a row get no
// answer.
func TestPushedChangesArriveWithinTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.IntRange(200, 3000).Draw(t, "grace")) * ms
		s := &fakeService{scheduler: CallScheduler{Pushed: true, Grace: grace, MinGrace: DefaultMinGrace}, latency: time.Duration(rapid.IntRange(0, 5).Draw(t, "latency")) * ms}
		s.unanswered = rapid.SliceOfN(rapid.Bool(), 0, 40).Draw(t, "unanswered")
		for i := 2; i < len(s.unanswered); i++ { // at most two in a row, as guaranteed
			s.unanswered[i] = s.unanswered[i] && !(s.unanswered[i-1] && s.unanswered[i-2])
		}
		s.changedAt = time.Duration(rapid.IntRange(0, 20000).Draw(t, "changed at")) * ms
		arrived := s.run(0, rapid.Bool().Draw(t, "full list"), false)
		delay := arrived - max(s.changedAt, 0)
		if delay > max(grace, DefaultMinGrace) {
			t.Fatalf("arrived %v after the agent had it, the grace is %v", delay, grace)
		}
		for i := 1; i < len(s.callTimes); i++ { // no tight loop: at most 16 calls within any grace, answered or not
			if j := i + 16; j < len(s.callTimes) && s.callTimes[j]-s.callTimes[i] < max(grace, DefaultMinGrace) && s.callTimes[i] > s.changedAt {
				t.Fatalf("16 calls in %v", s.callTimes[j]-s.callTimes[i])
			}
		}
	})
}

// Polling: a change that an unanswered poll missed arrives before it counts as notified and the grace is over, even if
// the next two calls get no answer either.
func TestUnansweredPollIsRetriedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const grace = 300 * ms
		s := &fakeService{scheduler: CallScheduler{Grace: grace}, latency: time.Duration(rapid.IntRange(0, 30).Draw(t, "latency")) * ms}
		first := rapid.IntRange(0, 5).Draw(t, "answered before")
		s.unanswered = make([]bool, first+1+rapid.IntRange(0, 2).Draw(t, "more unanswered"))
		for i := first; i < len(s.unanswered); i++ {
			s.unanswered[i] = true
		}
		s.changedAt = time.Duration(first)*longPollWait + time.Duration(rapid.IntRange(1, 9000).Draw(t, "changed at"))*ms
		arrived := s.run(0, false, true)
		if s.missedCallAt < 0 {
			return // no call missed the change
		}
		notified := max(s.changedAt, s.missedCallAt+6*time.Second, s.missedCallAt+s.missedCallWait+2*time.Second)
		if arrived > notified+grace {
			t.Fatalf("arrived at %v, counts as notified at %v: calls %v", arrived, notified, s.callTimes)
		}
	})
}

// All changes count as notified 4 s after a move of discovery, and 6 s after a call for the full list. Two calls fit in
// each.
func TestTwoFullListCallsFit(t *testing.T) {
	for _, c := range []struct {
		moved    bool
		notified time.Duration
	}{{true, 4 * time.Second}, {false, 6 * time.Second}} {
		scheduler, at := CallScheduler{Grace: 300 * ms}, time.Duration(0)
		if c.moved {
			scheduler.DiscoveryMoved()
		}
		for range 2 {
			call := scheduler.NextCall(true)
			at += call.DialTimeout + call.Timeout
			retry, delay := scheduler.CallFailed(FailureTimeout)
			assert.True(t, retry)
			at += delay
		}
		assert.LessOrEqual(t, at, c.notified+300*ms, "moved %v", c.moved)
	}
}

// After a failed call, the wait of a long poll does not extend the 6 s after which all changes count as notified: a
// call that gets no answer is followed by another in time, whatever the kind of the failure before it.
func TestTimeoutAfterAFailureIsDetectedInTime(t *testing.T) {
	// answerTime is how long a discovery without faults takes to answer.
	const notified, grace, answerTime = 6 * time.Second, 300 * ms, 150 * ms
	for kind, name := range map[FailureKind]string{FailureRefused: "refused", FailureTimeout: "unanswered", FailureUnreadable: "unreadable"} {
		for failures := 1; failures <= 6; failures++ {
			scheduler := CallScheduler{Grace: grace}
			for range failures {
				scheduler.CallFailed(kind)
			}
			unanswered := scheduler.NextCall(false)
			retry, delay := scheduler.CallFailed(FailureTimeout)
			if !retry { // the policy module of a small fleet spaces the calls by at most 2.4 s
				delay = 2400 * ms
			}
			next := scheduler.NextCall(false)
			received := unanswered.DialTimeout + unanswered.Timeout + delay + answerTime
			assert.GreaterOrEqual(t, next.DialTimeout+next.Timeout, answerTime)
			assert.LessOrEqual(t, received, notified+grace, "%d calls %s", failures, name)
		}
	}
}

// An unreadable answer is soon requested again, but only a few times.
func TestUnreadableAnswersAreRetried(t *testing.T) {
	scheduler, waited := CallScheduler{Grace: 300 * ms}, time.Duration(0)
	for range maxImmediateRetries {
		retry, delay := scheduler.CallFailed(FailureUnreadable)
		assert.True(t, retry)
		assert.Positive(t, delay, "no tight loop")
		waited += delay
	}
	assert.LessOrEqual(t, waited, time.Second)
	retry, _ := scheduler.CallFailed(FailureUnreadable)
	assert.False(t, retry, "the policy module spaces further calls")
}

// If discovery refuses calls, or keeps leaving them unanswered, the policy module makes the next one and spreads the
// calls of a fleet.
func TestRefusedCallsAreRetriedByTheModule(t *testing.T) {
	scheduler := CallScheduler{Grace: 300 * ms}
	retry, _ := scheduler.CallFailed(FailureRefused)
	assert.False(t, retry)
	for range maxImmediateRetries {
		retry, _ = scheduler.CallFailed(FailureTimeout)
		assert.True(t, retry)
	}
	retry, _ = scheduler.CallFailed(FailureTimeout)
	assert.False(t, retry)
	scheduler.CallAnswered()
	assert.Equal(t, longPollWait, scheduler.NextCall(false).Wait)

	// An agent serves this machine only, but must not be called in a tight loop.
	agent := CallScheduler{Pushed: true, Grace: time.Second, MinGrace: DefaultMinGrace}
	for range 20 {
		retry, delay := agent.CallFailed(FailureRefused)
		assert.True(t, retry)
		assert.GreaterOrEqual(t, delay, 10*ms)
		assert.LessOrEqual(t, delay, 50*ms)
	}
}
