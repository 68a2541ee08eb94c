package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/deadline"
	"tealtiller/policy"
)

// recorder records the actions of a watcher in place of the sockets and the node.
type recorder struct {
	dials      int
	open       map[int]bool // by number
	requests   []string
	lists      []*List
	failed     []error
	watchStops int
	leaseEnd   time.Duration
	leaseCause LeaseCause // of its last change
}

func (r *recorder) Dial(_ time.Duration, connection int, _ string, _ time.Duration) {
	r.dials, r.open[connection] = r.dials+1, true
}
func (r *recorder) Send(_ int, request []byte)                { r.requests = append(r.requests, string(request)) }
func (r *recorder) Drop(connection int)                       { delete(r.open, connection) }
func (r *recorder) CallStarted(CallStart)                     {}
func (r *recorder) CallResent()                               {}
func (r *recorder) CallFailed(_ time.Duration, f CallFailure) { r.failed = append(r.failed, f.Err) }
func (r *recorder) WatchStopped(time.Duration)                { r.watchStops++ }
func (r *recorder) ListReceived(_ time.Duration, list *List)  { r.lists = append(r.lists, list) }
func (r *recorder) LeaseChanged(_, until time.Duration, cause LeaseCause) {
	r.leaseEnd, r.leaseCause = until, cause
}
func (r *recorder) last() *List { return r.lists[len(r.lists)-1] }
func newStartedWatcher() (*Watcher, *recorder, *deadline.Queue) {
	r, q := &recorder{open: map[int]bool{}}, &deadline.Queue{}
	w := NewWatcher("d", r, r, q)
	w.Configure(false, 300*ms)
	w.Watch(watchStart, true)
	w.Connected(watchStart, w.lastNumber)
	return w, r, q
}

const watchStart = 1000 * time.Second

func fullList(revision int, phase string) []byte {
	return []byte(response("200 OK", listJSON(revision, true, memberJSON("s-1", 1, phase))))
}

func partialList(revision int, phase string) []byte {
	return []byte(response("200 OK", listJSON(revision, false, memberJSON("s-1", 1, phase))))
}

// A change counts as notified from the earliest time at which discovery can have sent it: on arrival, if a long poll
// was waiting for it.
func TestChangesCountAsNotifiedFromTheEarliestPossibleTime(t *testing.T) {
	w, r, _ := newStartedWatcher()
	w.Received(watchStart+5*ms, w.lastNumber, fullList(41, "in_service"))
	assert.Equal(t, policy.LongAgo, r.last().NotifiedAt, "the first list")
	w.Received(watchStart+2*time.Second, w.lastNumber, partialList(42, "terminating"))
	assert.Equal(t, watchStart+2*time.Second, r.last().NotifiedAt, "it arrived while the call waited")
	w.Received(watchStart+2*time.Second+20*ms, w.lastNumber, partialList(43, "in_service"))
	assert.Equal(t, watchStart+2*time.Second, r.last().NotifiedAt, "it may date from the time of the answer before")

	w.Closed(watchStart+5*time.Second, w.lastNumber) // the watch stops, and the policy module turns it on again
	require.Equal(t, 1, r.watchStops)
	w.Watch(watchStart+6*time.Second, true)
	w.Connected(watchStart+6*time.Second, w.lastNumber)
	w.Received(watchStart+7*time.Second, w.lastNumber, partialList(44, "terminating"))
	assert.Equal(t, policy.LongAgo, r.last().NotifiedAt, "unknown after a failure")
	for _, s := range r.last().Servers() {
		assert.Equal(t, policy.LongAgo, s.NotifiedAt)
	}
}

// If discovery sends only older lists for long, it has restarted; an older list for a short time is just late.
func TestPersistentlyOlderListsMeanThatDiscoveryRestarted(t *testing.T) {
	w, r, q := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, fullList(41, "terminating"))
	now := watchStart + time.Second
	for ; len(r.lists) == 1 && now < watchStart+time.Minute; now += 500 * ms {
		w.Received(now, w.lastNumber, fullList(7, "in_service"))
		if len(r.lists) > 1 {
			break
		}
		q.Run(now + 450*ms) // the delay before the next call
		w.Watch(now+450*ms, true)
		w.Connected(now+450*ms, w.lastNumber)
	}
	require.Len(t, r.lists, 2)
	assert.InDelta(t, (watchStart + time.Second + restartDetectionTime).Seconds(), now.Seconds(), 1.5)
	assert.EqualValues(t, 7, r.last().Revision)
	for _, err := range r.failed {
		assert.ErrorIs(t, err, ErrOlderRevision)
	}
}

// Without the stored size, a long answer was parsed anew with each packet, which took longer than a drain grace on a
// busy machine.
func TestLongAnswerIsParsedOnce(t *testing.T) {
	c := newSessionClient("h", NoRevision)
	text := response("200 OK", largeListJSON(true))
	_, _, err := c.Feed([]byte(text[:segmentSize]), false)
	require.NoError(t, err)
	assert.Equal(t, len(text), c.answerSize, "from the header")
	assert.Zero(t, testing.AllocsPerRun(10, func() {
		if c.mayBeComplete() {
			t.Error("parsed before it is complete")
		}
	}))
}
