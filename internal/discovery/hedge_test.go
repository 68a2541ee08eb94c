package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tealtiller/internal/deadline"
	"tealtiller/policy"
)

// slowService stands for a discovery that answers each call after a time, or leaves it without a word, and for the sockets.
type slowService struct {
	recorder
	watcher *Watcher
	queue   deadline.Queue
	now     time.Duration
	takes   time.Duration
	silent  int // so many of its first calls get no answer
	asked   int
	most    int // connections open at a time
}

func newSlowService(takes time.Duration, silent int) *slowService {
	s := &slowService{recorder: recorder{open: map[int]bool{}}, now: watchStart, takes: takes, silent: silent}
	s.watcher = NewWatcher("old", s, s, &s.queue)
	s.watcher.Configure(false, 300*ms)
	return s
}

func (s *slowService) Dial(now time.Duration, connection int, address string, limit time.Duration) {
	s.recorder.Dial(now, connection, address, limit)
	s.most = max(s.most, len(s.open))
	s.queue.Set(now, func(now time.Duration) { s.watcher.Connected(now, connection) })
}

func (s *slowService) Send(connection int, _ []byte) {
	if s.asked++; s.asked <= s.silent {
		return
	}
	s.queue.Set(s.now+s.takes, func(now time.Duration) {
		if s.open[connection] {
			s.watcher.Received(now, connection, whole(41+s.asked, "terminating"))
		}
	})
}

// WatchStopped has the watch turned on again as the decision code of a small fleet does, at the latest.
func (s *slowService) WatchStopped(now time.Duration) {
	s.recorder.WatchStopped(now)
	s.queue.Set(now+2400*ms, func(now time.Duration) { s.watcher.Watch(now, true) })
}

// until plays until a list has come or a moment is over, and tells when that was.
func (s *slowService) until(last time.Duration) time.Duration {
	for len(s.lists) == 0 {
		at, ok := s.queue.Next()
		if !ok || at > last {
			return last
		}
		s.now = at
		s.queue.Run(at)
	}
	return s.now
}

// A discovery that takes its time is heard as soon as it answers, however long that is, after a move and at first; one that
// also leaves calls without a word, by the call that follows. Danger: calls given up before their answer, each time anew.
func TestASlowDiscoveryIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		takes := time.Duration(rapid.IntRange(0, 6000).Draw(t, "takes")) * ms
		s := newSlowService(takes, rapid.IntRange(0, 2).Draw(t, "silent"))
		limit := wholeLimit
		if rapid.Bool().Draw(t, "moved") {
			s.watcher.MoveTo(s.now, "new")
			limit = movedLimit
		} else {
			s.watcher.Watch(s.now, true)
		}
		due := watchStart + time.Duration(s.silent)*limit + takes
		if heard := s.until(watchStart + time.Minute); heard > due {
			t.Fatalf("heard %v after the first call, the answer was due after %v", heard-watchStart, due-watchStart)
		}
		if s.most > mostConnections {
			t.Fatalf("%d connections at a time", s.most)
		}
	})
}

// An agent that takes longer for an answer than all open calls together are given is heard as soon as it answers. Danger: each call
// ended before its answer, and a new process that waits for its first list serves nobody.
func TestASlowAgentIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		takes := time.Duration(rapid.IntRange(0, 6000).Draw(t, "takes")) * ms
		s := newSlowService(takes, 0)
		s.watcher.Configure(true, 300*ms)
		s.watcher.Watch(s.now, true)
		if heard := s.until(watchStart + time.Minute); heard > watchStart+takes {
			t.Fatalf("heard %v after the first call", heard-watchStart)
		}
		if s.most > mostConnections {
			t.Fatalf("%d connections at a time", s.most)
		}
	})
}

// After a silence, too, a slow agent is heard, though calls from within it are still open.
func TestASlowAgentIsHeardAfterASilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		takes := time.Duration(rapid.IntRange(0, 1000).Draw(t, "takes")) * ms
		s := newSlowService(takes, rapid.IntRange(1, 100).Draw(t, "silent"))
		s.watcher.Configure(true, 300*ms)
		s.watcher.Watch(s.now, true)
		var answers time.Duration // when the first call was made that is to be answered
		for answers == 0 {
			at, _ := s.queue.Next()
			s.now = at
			s.queue.Run(at)
			if s.asked > s.silent {
				answers = at
			}
		}
		if heard := s.until(watchStart + 2*time.Minute); heard > answers+4*takes+time.Second {
			t.Fatalf("heard %v after the first call with an answer", heard-answers)
		}
	})
}

// runUntil runs all that is due at a moment, as the event loop does.
func runUntil(q *deadline.Queue, now time.Duration) {
	for at, ok := q.Next(); ok && at <= now; at, ok = q.Next() {
		q.Run(now)
	}
}

// The watch goes on where an overdue call is answered; the answer of the call beside it is taken too, but not an older one,
// and that is no failure.
func TestAnOverdueCallIsAnswered(t *testing.T) {
	w, r, q := newWatched()
	first := w.made
	runUntil(q, watchStart+wholeLimit)
	require.Equal(t, first+1, w.made, "another call follows")
	second := w.made
	w.Connected(watchStart+wholeLimit, second)
	w.Received(watchStart+wholeLimit+ms, first, whole(43, "terminating"))
	require.Len(t, r.lists, 1)
	assert.Contains(t, r.requests[len(r.requests)-1], "since=43&")
	w.Received(watchStart+wholeLimit+2*ms, second, whole(42, "in_service"))
	require.Len(t, r.lists, 1, "an older list")
	assert.Len(t, r.failed, 1, "the overdue call alone")
	w.Received(watchStart+wholeLimit+3*ms, first, part(44, "in_service"))
	require.Len(t, r.lists, 2)
	assert.Equal(t, map[int]bool{first: true}, r.open)
}

// Where two calls are answered, one watch goes on. Danger: each would go on as a watch of its own, for good, and a discovery that
// was slow for a moment would have twice the calls from then on.
func TestOneWatchGoesOn(t *testing.T) {
	w, r, q := newWatched()
	first := w.made
	runUntil(q, watchStart+wholeLimit)
	second := w.made
	w.Connected(watchStart+wholeLimit, second)
	now := watchStart + wholeLimit + ms
	for revision := 42; revision < 46; revision++ {
		for _, connection := range []int{first, second} {
			if r.open[connection] {
				w.Received(now, connection, whole(revision, "in_service"))
			}
			now += ms
		}
	}
	assert.Equal(t, map[int]bool{first: true}, r.open)
	assert.Len(t, r.lists, 5, "the second call's answer too")
	assert.Len(t, r.requests, 2+4)
}

// An overdue call that never gets its answer is left in the end, and its later failure is none of the watch.
func TestOverdueCallsEnd(t *testing.T) {
	w, r, q := newWatched()
	first := w.made
	runUntil(q, watchStart+wholeLimit)
	w.Connected(watchStart+wholeLimit, w.made)
	w.Received(watchStart+wholeLimit+ms, w.made, whole(42, "in_service"))
	require.True(t, r.open[first])
	w.Closed(watchStart+wholeLimit+2*ms, first)
	assert.False(t, r.open[first])
	assert.Zero(t, r.broken)
	assert.Len(t, r.failed, 1)

	w.MoveTo(watchStart+5*time.Second, "new")
	w.Connected(watchStart+5*time.Second, w.made)
	overdue := w.made
	runUntil(q, watchStart+5*time.Second+movedLimit)
	w.Connected(watchStart+5*time.Second+movedLimit, w.made)
	w.Received(watchStart+7*time.Second, w.made, whole(3, "in_service"))
	require.True(t, r.open[overdue])
	runUntil(q, watchStart+5*time.Second+movedLimit+overdueLife)
	assert.False(t, r.open[overdue])
	assert.Equal(t, policy.LongAgo, r.last().Told)
}
