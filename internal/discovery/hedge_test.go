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

// slowDiscovery simulates the sockets and a discovery that answers each call after a delay, or not at all.
type slowDiscovery struct {
	recorder
	watcher         *Watcher
	queue           deadline.Queue
	now             time.Duration
	latency         time.Duration
	unansweredCalls int // the number of first calls that get no answer
	calls           int
	maxOpen         int // the largest number of connections open at a time
}

func newSlowDiscovery(latency time.Duration, unansweredCalls int) *slowDiscovery {
	s := &slowDiscovery{recorder: recorder{open: map[int]bool{}}, now: watchStart, latency: latency, unansweredCalls: unansweredCalls}
	s.watcher = NewWatcher("old", s, s, &s.queue)
	s.watcher.Configure(false, 300*ms)
	return s
}

func (s *slowDiscovery) Dial(now time.Duration, connection int, address string, limit time.Duration) {
	s.recorder.Dial(now, connection, address, limit)
	s.maxOpen = max(s.maxOpen, len(s.open))
	s.queue.Set(now, func(now time.Duration) { s.watcher.Connected(now, connection) })
}

func (s *slowDiscovery) Send(connection int, _ []byte) {
	if s.calls++; s.calls <= s.unansweredCalls {
		return
	}
	s.queue.Set(s.now+s.latency, func(now time.Duration) {
		if s.open[connection] {
			s.watcher.Received(now, connection, fullList(41+s.calls, "terminating"))
		}
	})
}

// WatchStopped turns the watch on again after the longest delay that the policy module of a small fleet uses.
func (s *slowDiscovery) WatchStopped(now time.Duration) {
	s.recorder.WatchStopped(now)
	s.queue.Set(now+2400*ms, func(now time.Duration) { s.watcher.Watch(now, true) })
}

// runUntilList runs events until a list has been received or the limit is reached, and returns that time.
func (s *slowDiscovery) runUntilList(limit time.Duration) time.Duration {
	for len(s.lists) == 0 {
		at, ok := s.queue.Next()
		if !ok || at > limit {
			return limit
		}
		s.now = at
		s.queue.Run(at)
	}
	return s.now
}

// The list of a slow discovery is received as soon as it answers, at first and after a move, however long it takes. If
// it also leaves calls unanswered, the list is received by the following call. This guards against giving up each call
// before its answer.
func TestListOfASlowDiscoveryIsReceived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.IntRange(0, 6000).Draw(t, "latency")) * ms
		s := newSlowDiscovery(latency, rapid.IntRange(0, 2).Draw(t, "silent"))
		limit := fullListTimeout
		if rapid.Bool().Draw(t, "moved") {
			s.watcher.MoveTo(s.now, "new")
			limit = afterMoveTimeout
		} else {
			s.watcher.Watch(s.now, true)
		}
		due := watchStart + time.Duration(s.unansweredCalls)*limit + latency
		if received := s.runUntilList(watchStart + time.Minute); received > due {
			t.Fatalf("received %v after the first call, the answer was due after %v", received-watchStart, due-watchStart)
		}
		if s.maxOpen > maxConnections {
			t.Fatalf("%d connections at a time", s.maxOpen)
		}
	})
}

// The list of an agent is received as soon as it answers, even if that takes longer than the timeouts of all open calls
// together. This guards against ending each call before its answer, which leaves a new process waiting for its first
// list without serving anybody.
func TestListOfASlowAgentIsReceived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.IntRange(0, 6000).Draw(t, "latency")) * ms
		s := newSlowDiscovery(latency, 0)
		s.watcher.Configure(true, 300*ms)
		s.watcher.Watch(s.now, true)
		if received := s.runUntilList(watchStart + time.Minute); received > watchStart+latency {
			t.Fatalf("received %v after the first call", received-watchStart)
		}
		if s.maxOpen > maxConnections {
			t.Fatalf("%d connections at a time", s.maxOpen)
		}
	})
}

// The list of a slow agent is also received after unanswered calls, some of which are still open.
func TestListOfASlowAgentIsReceivedAfterUnansweredCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency")) * ms
		s := newSlowDiscovery(latency, rapid.IntRange(1, 100).Draw(t, "silent"))
		s.watcher.Configure(true, 300*ms)
		s.watcher.Watch(s.now, true)
		var firstAnswered time.Duration // the time of the first call that gets an answer
		for firstAnswered == 0 {
			at, _ := s.queue.Next()
			s.now = at
			s.queue.Run(at)
			if s.calls > s.unansweredCalls {
				firstAnswered = at
			}
		}
		if received := s.runUntilList(watchStart + 2*time.Minute); received > firstAnswered+4*latency+time.Second {
			t.Fatalf("received %v after the first call with an answer", received-firstAnswered)
		}
	})
}

// runUntil runs all events due by a time, as the event loop does.
func runUntil(q *deadline.Queue, now time.Duration) {
	for at, ok := q.Next(); ok && at <= now; at, ok = q.Next() {
		q.Run(now)
	}
}

// The watch continues on the connection whose overdue call is answered. The answer of the other open call is used too,
// unless it is older, which is not a failure.
func TestOverdueCallIsAnswered(t *testing.T) {
	w, r, q := newStartedWatcher()
	first := w.lastNumber
	runUntil(q, watchStart+fullListTimeout)
	require.Equal(t, first+1, w.lastNumber, "another call follows the overdue one")
	second := w.lastNumber
	w.Connected(watchStart+fullListTimeout, second)
	w.Received(watchStart+fullListTimeout+ms, first, fullList(43, "terminating"))
	require.Len(t, r.lists, 1)
	assert.Contains(t, r.requests[len(r.requests)-1], "since=43&")
	w.Received(watchStart+fullListTimeout+2*ms, second, fullList(42, "in_service"))
	require.Len(t, r.lists, 1, "an older list is not used")
	assert.Len(t, r.failed, 1, "only the overdue call")
	w.Received(watchStart+fullListTimeout+3*ms, first, partialList(44, "in_service"))
	require.Len(t, r.lists, 2)
	assert.Equal(t, map[int]bool{first: true}, r.open)
}

// If two calls are answered, only one watch continues. Otherwise each connection would continue as a watch of its own,
// and a discovery that was slow for a moment would permanently get twice the calls.
func TestOnlyOneWatchContinues(t *testing.T) {
	w, r, q := newStartedWatcher()
	first := w.lastNumber
	runUntil(q, watchStart+fullListTimeout)
	second := w.lastNumber
	w.Connected(watchStart+fullListTimeout, second)
	now := watchStart + fullListTimeout + ms
	for revision := 42; revision < 46; revision++ {
		for _, connection := range []int{first, second} {
			if r.open[connection] {
				w.Received(now, connection, fullList(revision, "in_service"))
			}
			now += ms
		}
	}
	assert.Equal(t, map[int]bool{first: true}, r.open)
	assert.Len(t, r.lists, 5, "the answer of the second call is used too")
	assert.Len(t, r.requests, 2+4)
}

// An overdue call without an answer is ended after a while. If it fails before, the watch is not affected.
func TestOverdueCallsEnd(t *testing.T) {
	w, r, q := newStartedWatcher()
	first := w.lastNumber
	runUntil(q, watchStart+fullListTimeout)
	w.Connected(watchStart+fullListTimeout, w.lastNumber)
	w.Received(watchStart+fullListTimeout+ms, w.lastNumber, fullList(42, "in_service"))
	require.True(t, r.open[first])
	w.Closed(watchStart+fullListTimeout+2*ms, first)
	assert.False(t, r.open[first])
	assert.Zero(t, r.watchStops)
	assert.Len(t, r.failed, 1)

	w.MoveTo(watchStart+5*time.Second, "new")
	w.Connected(watchStart+5*time.Second, w.lastNumber)
	overdue := w.lastNumber
	runUntil(q, watchStart+5*time.Second+afterMoveTimeout)
	w.Connected(watchStart+5*time.Second+afterMoveTimeout, w.lastNumber)
	w.Received(watchStart+7*time.Second, w.lastNumber, fullList(3, "in_service"))
	require.True(t, r.open[overdue])
	runUntil(q, watchStart+5*time.Second+afterMoveTimeout+overdueLifetime)
	assert.False(t, r.open[overdue])
	assert.Equal(t, policy.LongAgo, r.last().NotifiedAt)
}
