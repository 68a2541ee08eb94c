package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// service is discovery, or an agent, as the operators' page describes it: news at a moment, and calls that it answers,
// leaves without a word or refuses. It plays one clock against them and tells when the news was here.
type service struct {
	clock  Clock
	news   time.Duration // when there is something new
	lost   []bool        // call by call: it leaves the call without a word
	takes  time.Duration // to connect and to answer, each
	calls  int
	asked  []time.Duration // each call's start
	silent time.Duration   // the start of the call that missed the news first; -1 before
	wait   time.Duration   // of that call
}

// play runs calls from a moment, on a new connection or one that is kept, until the news is here, and tells when that was.
func (s *service) play(now time.Duration, whole, kept bool) time.Duration {
	s.silent = -1
	for {
		call := s.clock.Call(whole)
		connected := now + s.takes
		lost := s.calls < len(s.lost) && s.lost[s.calls]
		s.calls++
		s.asked = append(s.asked, now)
		if lost {
			if !kept { // a new connection may not come up for as long as it may take
				connected = now + call.Dial
			}
			if over := connected + call.Limit; s.silent < 0 && over >= s.news {
				s.silent, s.wait = now, call.Wait
			}
			now, kept = connected+call.Limit, false
			again, after := s.clock.Failed(Silent)
			if !again {
				return now // from here on the module asks
			}
			now += after
			continue
		}
		whole, kept = false, true // the list held is what the news is newer than
		answered := connected + s.takes
		if answered < s.news && answered+call.Wait >= s.news {
			answered = s.news + s.takes
		} else if answered < s.news {
			answered += call.Wait
		}
		s.clock.Answered()
		if now = answered; now >= s.news {
			return now
		}
	}
}

// A pushed list: what the agent has is here within the drain grace, though any two calls in a row fall silent.
func TestPushedNewsIsHereWithinTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.IntRange(200, 3000).Draw(t, "grace")) * ms
		s := &service{clock: Clock{Pushed: true, Grace: grace, MinGrace: LeastGrace}, takes: time.Duration(rapid.IntRange(0, 5).Draw(t, "takes")) * ms}
		s.lost = rapid.SliceOfN(rapid.Bool(), 0, 40).Draw(t, "lost")
		for i := 2; i < len(s.lost); i++ { // what the promise allows: two in a row
			s.lost[i] = s.lost[i] && !(s.lost[i-1] && s.lost[i-2])
		}
		s.news = time.Duration(rapid.IntRange(0, 20000).Draw(t, "news")) * ms
		here := s.play(0, rapid.Bool().Draw(t, "whole"), false)
		late := here - max(s.news, 0)
		if late > max(grace, LeastGrace) {
			t.Fatalf("here %v after the agent had it, the grace is %v", late, grace)
		}
		for i := 1; i < len(s.asked); i++ { // no tight loop: at most 16 calls in any grace, answered or not
			if j := i + 16; j < len(s.asked) && s.asked[j]-s.asked[i] < max(grace, LeastGrace) && s.asked[i] > s.news {
				t.Fatalf("16 calls in %v", s.asked[j]-s.asked[i])
			}
		}
	})
}

// A list that is asked for: what a silent watch missed is here before it counts as told and the grace is over, though the
// two calls that follow fall silent too.
func TestASilentWatchIsAskedAgainInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const grace = 300 * ms
		s := &service{clock: Clock{Grace: grace}, takes: time.Duration(rapid.IntRange(0, 30).Draw(t, "takes")) * ms}
		first := rapid.IntRange(0, 5).Draw(t, "answered before")
		s.lost = make([]bool, first+1+rapid.IntRange(0, 2).Draw(t, "more lost"))
		for i := first; i < len(s.lost); i++ {
			s.lost[i] = true
		}
		s.news = time.Duration(first)*watchWait + time.Duration(rapid.IntRange(1, 9000).Draw(t, "news"))*ms
		here := s.play(0, false, true)
		if s.silent < 0 {
			return // no call missed it
		}
		told := max(s.news, s.silent+6*time.Second, s.silent+s.wait+2*time.Second)
		if here > told+grace {
			t.Fatalf("here at %v, counts as told at %v: calls %v", here, told, s.asked)
		}
	})
}

// After a move of discovery all counts as told 4 s later; a call for the whole list after 6 s. Two calls fit in each.
func TestTwoWholeCallsFit(t *testing.T) {
	for _, c := range []struct {
		moved bool
		told  time.Duration
	}{{true, 4 * time.Second}, {false, 6 * time.Second}} {
		clock, at := Clock{Grace: 300 * ms}, time.Duration(0)
		if c.moved {
			clock.Moved()
		}
		for range 2 {
			call := clock.Call(true)
			at += call.Dial + call.Limit
			again, after := clock.Failed(Silent)
			assert.True(t, again)
			at += after
		}
		assert.LessOrEqual(t, at, c.told+300*ms, "moved %v", c.moved)
	}
}

// After a failed call the wait of a long poll adds nothing to the 6 s after which all counts as told: a call that falls
// silent is followed by another in time, however the call before it failed.
func TestSilenceAfterAFailureIsNoticedInTime(t *testing.T) {
	const told, grace, soon = 6 * time.Second, 300 * ms, 150 * ms // that a sound discovery takes to answer
	for how, name := range map[Failure]string{Refused: "refused", Silent: "silent", Unreadable: "unreadable"} {
		for failures := 1; failures <= 6; failures++ {
			clock := Clock{Grace: grace}
			for range failures {
				clock.Failed(how)
			}
			lost := clock.Call(false)
			again, after := clock.Failed(Silent)
			if !again { // the module spaces the calls of a small fleet by 2.4 s at the most
				after = 2400 * ms
			}
			next := clock.Call(false)
			heard := lost.Dial + lost.Limit + after + soon
			assert.GreaterOrEqual(t, next.Dial+next.Limit, soon)
			assert.LessOrEqual(t, heard, told+grace, "%d calls %s", failures, name)
		}
	}
}

// An answer that cannot be read is asked for again soon, but not for ever.
func TestUnreadableAnswersAreAskedForAgain(t *testing.T) {
	clock, waited := Clock{Grace: 300 * ms}, time.Duration(0)
	for range quickCalls {
		again, after := clock.Failed(Unreadable)
		assert.True(t, again)
		assert.Positive(t, after, "no tight loop")
		waited += after
	}
	assert.LessOrEqual(t, waited, time.Second)
	again, _ := clock.Failed(Unreadable)
	assert.False(t, again, "the module spaces what goes on")
}

// A discovery that refuses is left to the module, which spreads the calls of a fleet; so is one that stays silent.
func TestARefusalIsTheModulesToSpace(t *testing.T) {
	clock := Clock{Grace: 300 * ms}
	again, _ := clock.Failed(Refused)
	assert.False(t, again)
	for range quickCalls {
		again, _ = clock.Failed(Silent)
		assert.True(t, again)
	}
	again, _ = clock.Failed(Silent)
	assert.False(t, again)
	clock.Answered()
	assert.Equal(t, watchWait, clock.Call(false).Wait)

	agent := Clock{Pushed: true, Grace: time.Second, MinGrace: LeastGrace} // ours alone, but not to be asked in a tight loop
	for range 20 {
		again, after := agent.Failed(Refused)
		assert.True(t, again)
		assert.GreaterOrEqual(t, after, 10*ms)
		assert.LessOrEqual(t, after, 50*ms)
	}
}
