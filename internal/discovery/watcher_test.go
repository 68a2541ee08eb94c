package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/deadline"
	"tealtiller/policy"
)

// recorder stands for the sockets and the node round a watcher.
type recorder struct {
	dials    int
	open     map[int]bool // connections by number
	requests []string
	lists    []*List
	failed   []error
	broken   int
	leased   time.Duration
}

func (r *recorder) Dial(_ time.Duration, connection int, _ string, _ time.Duration) {
	r.dials, r.open[connection] = r.dials+1, true
}
func (r *recorder) Send(_ int, request []byte)                { r.requests = append(r.requests, string(request)) }
func (r *recorder) Drop(connection int)                       { delete(r.open, connection) }
func (r *recorder) CallStarted(CallStart)                     {}
func (r *recorder) CallResent()                               {}
func (r *recorder) CallFailed(_ time.Duration, f CallFailure) { r.failed = append(r.failed, f.Err) }
func (r *recorder) WatchStopped(time.Duration)                { r.broken++ }
func (r *recorder) ListReceived(_ time.Duration, list *List)  { r.lists = append(r.lists, list) }
func (r *recorder) LeaseChanged(_, until time.Duration)       { r.leased = until }
func (r *recorder) last() *List                               { return r.lists[len(r.lists)-1] }
func newWatched() (*Watcher, *recorder, *deadline.Queue) {
	r, q := &recorder{open: map[int]bool{}}, &deadline.Queue{}
	w := NewWatcher("d", r, r, q)
	w.Configure(false, 300*ms)
	w.Watch(watchStart, true)
	w.Connected(watchStart, w.made)
	return w, r, q
}

const watchStart = 1000 * time.Second

func whole(revision int, phase string) []byte {
	return []byte(answer("200 OK", body(revision, true, entry("s-1", 1, phase))))
}

func part(revision int, phase string) []byte {
	return []byte(answer("200 OK", body(revision, false, entry("s-1", 1, phase))))
}

// News counts as told when discovery may first have told it: as it comes, where a sound watch waited for it.
func TestNewsCountsFromWhenItMayHaveBeenTold(t *testing.T) {
	w, r, _ := newWatched()
	w.Received(watchStart+5*ms, w.made, whole(41, "in_service"))
	assert.Equal(t, policy.LongAgo, r.last().Told, "the first list")
	w.Received(watchStart+2*time.Second, w.made, part(42, "terminating"))
	assert.Equal(t, watchStart+2*time.Second, r.last().Told, "it came while the call waited")
	w.Received(watchStart+2*time.Second+20*ms, w.made, part(43, "in_service"))
	assert.Equal(t, watchStart+2*time.Second, r.last().Told, "it may have lain there since the answer before")

	w.Closed(watchStart+5*time.Second, w.made) // the watch broke, and the module asks again
	require.Equal(t, 1, r.broken)
	w.Watch(watchStart+6*time.Second, true)
	w.Connected(watchStart+6*time.Second, w.made)
	w.Received(watchStart+7*time.Second, w.made, part(44, "terminating"))
	assert.Equal(t, policy.LongAgo, r.last().Told, "nobody knows since when")
	for _, s := range r.last().Servers() {
		assert.Equal(t, policy.LongAgo, s.NotifiedAt)
	}
}

// A discovery that goes on with older lists for long has started anew; one that does so for a moment is late.
func TestOlderListsForLongAreADiscoveryThatStartedAnew(t *testing.T) {
	w, r, q := newWatched()
	w.Received(watchStart, w.made, whole(41, "terminating"))
	now := watchStart + time.Second
	for ; len(r.lists) == 1 && now < watchStart+time.Minute; now += 500 * ms {
		w.Received(now, w.made, whole(7, "in_service"))
		if len(r.lists) > 1 {
			break
		}
		q.Run(now + 450*ms) // the pause before the next call
		w.Watch(now+450*ms, true)
		w.Connected(now+450*ms, w.made)
	}
	require.Len(t, r.lists, 2)
	assert.InDelta(t, (watchStart + time.Second + restartedAfter).Seconds(), now.Seconds(), 1.5)
	assert.EqualValues(t, 7, r.last().Revision)
	for _, err := range r.failed {
		assert.ErrorIs(t, err, ErrOlder)
	}
}

// Danger: with each packet of a long answer all of it was read anew, longer than a grace on a busy machine.
func TestLongAnswerIsReadOnce(t *testing.T) {
	c := newClient("h", None)
	text := answer("200 OK", longList(true))
	_, _, err := c.Feed([]byte(text[:segment]), false)
	require.NoError(t, err)
	assert.Equal(t, len(text), c.length, "the head tells how long it is")
	assert.Zero(t, testing.AllocsPerRun(10, func() {
		if c.mayBeWhole() {
			t.Error("read before it is whole")
		}
	}))
}
