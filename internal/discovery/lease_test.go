package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tealtiller/internal/deadline"
)

// testSendAllowance is the send allowance of the watchers in these tests.
const testSendAllowance = 300*ms - 2*maxStall

// A new process has no lease; the first answer starts one that covers the following long poll.
func TestLeaseBeginsWithTheFirstAnswer(t *testing.T) {
	w, r, _ := newStartedWatcher()
	assert.Zero(t, r.leaseEnd)
	w.Received(watchStart+5*ms, w.lastNumber, fullList(41, "in_service"))
	assert.Equal(t, watchStart+5*ms+longPollWait+notifiedAfterPoll+testSendAllowance, r.leaseEnd)
}

// Unanswered calls do not change the lease; the next answer renews it.
func TestUnansweredCallsDoNotExtendTheLease(t *testing.T) {
	w, r, q := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
	until := r.leaseEnd
	now := watchStart
	for range 200 { // 20 s
		now += 100 * ms
		q.Run(now)
		if c := w.current(); c != nil && !c.awaitingAnswer {
			w.Connected(now, c.number)
		}
		if r.watchStops > 0 {
			r.watchStops = 0
			w.Watch(now, true)
		}
	}
	assert.Greater(t, len(r.failed), 5, "calls without an answer")
	assert.Equal(t, until, r.leaseEnd)
	w.Received(now, w.lastNumber, fullList(41, "in_service"))
	assert.Greater(t, r.leaseEnd, now+notifiedWithin-time.Second)
}

// While discovery refuses calls or connections, no further changes count as notified, so the lease is extended.
func TestRefusalsExtendTheLease(t *testing.T) {
	for name, refuse := range map[string]func(w *Watcher, now time.Duration){
		"503": func(w *Watcher, now time.Duration) {
			w.Received(now, w.lastNumber, []byte(response("503 Service Unavailable", "")))
		},
		"reset": func(w *Watcher, now time.Duration) { w.Closed(now, w.lastNumber) },
	} {
		w, r, _ := newStartedWatcher()
		at := watchStart + 2*time.Second
		refuse(w, at)
		assert.Equal(t, at+notifiedWithin+testSendAllowance, r.leaseEnd, name)
		at += 5 * time.Second
		w.Watch(at, true)
		w.Closed(at, w.lastNumber) // the connection is refused
		assert.Equal(t, at+notifiedWithin+testSendAllowance, r.leaseEnd, "%s, then a refused connection", name)
	}
}

// A connection that is not established in time counts as silence, and an answer that is truncated or malformed shows
// that discovery was reachable: neither extends the lease.
func TestOtherFailuresDoNotExtendTheLease(t *testing.T) {
	text := fullList(41, "in_service")
	for name, fail := range map[string]func(w *Watcher, now time.Duration){
		"a truncated answer": func(w *Watcher, now time.Duration) {
			w.Received(now, w.lastNumber, text[:len(text)/2])
			w.Closed(now+10*ms, w.lastNumber)
		},
		"a malformed answer": func(w *Watcher, now time.Duration) {
			w.Received(now, w.lastNumber, []byte(response("200 OK", `{"revision":9}`)))
		},
		"a connection that this machine could not try": func(w *Watcher, now time.Duration) {
			w.MoveTo(now, "elsewhere")
			w.FailedLocally(now+10*ms, w.lastNumber)
		},
		"a connection that is not established": func(w *Watcher, now time.Duration) {
			w.MoveTo(now, "elsewhere")
			w.Closed(now+retryDialTimeout, w.lastNumber)
		},
	} {
		w, r, _ := newStartedWatcher()
		fail(w, watchStart+time.Second)
		assert.Zero(t, r.leaseEnd, name)
		assert.Len(t, r.failed, 1, name)
	}
}

// After a reload that moves discovery, all changes count as notified 4 s later, even if the new discovery refuses a call
// meanwhile, or 4 s after it refused a connection.
func TestMoveShortensTheLease(t *testing.T) {
	w, r, _ := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
	at := watchStart + time.Second
	w.MoveTo(at, "elsewhere")
	assert.Equal(t, at+notifiedAfterReload+testSendAllowance, r.leaseEnd)
	w.Connected(at+10*ms, w.lastNumber)
	w.Received(at+2*time.Second, w.lastNumber, []byte(response("503 Service Unavailable", "")))
	assert.Equal(t, at+notifiedAfterReload+testSendAllowance, r.leaseEnd, "a refused call")
	w.Watch(at+2500*ms, true)
	w.Closed(at+2500*ms, w.lastNumber)
	assert.Equal(t, at+2500*ms+notifiedAfterReload+testSendAllowance, r.leaseEnd, "a refused connection")
	w.Watch(at+3*time.Second, true)
	w.Connected(at+3*time.Second, w.lastNumber)
	w.Received(at+3*time.Second, w.lastNumber, fullList(7, "in_service"))
	assert.Equal(t, at+3*time.Second+longPollWait+notifiedAfterPoll+testSendAllowance, r.leaseEnd)
}

// If discovery closes its connection after each answer, the lease covers the long poll once that is sent on a new
// connection.
func TestLeaseCoversAPollOnAnotherConnection(t *testing.T) {
	w, r, _ := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, []byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+listJSON(41, true, memberJSON("s-1", 1, "in_service"))))
	w.Closed(watchStart, w.lastNumber)
	assert.Equal(t, watchStart+notifiedWithin+testSendAllowance, r.leaseEnd)
	w.Connected(watchStart+20*ms, w.lastNumber)
	assert.Equal(t, watchStart+20*ms+longPollWait+notifiedAfterPoll+testSendAllowance, r.leaseEnd)
}

// The answer of an overdue call beside another open call does not start a long poll: its lease is the shorter one.
func TestLeaseAfterAnOverdueAnswer(t *testing.T) {
	w, r, q := newStartedWatcher()
	first := w.lastNumber
	at := watchStart + fullListTimeout
	q.Run(at)
	q.Run(at) // the next call is due at once
	w.Connected(at, w.lastNumber)
	w.Received(at+100*ms, first, fullList(41, "in_service"))
	assert.Equal(t, at+100*ms+notifiedWithin+testSendAllowance, r.leaseEnd)
}

// An agent reports everything it has at each call, and leaves a call unanswered only while there is nothing to report.
// So its first answer starts a lease that does not expire. A failed call does not, as the next one follows at once.
func TestLeaseOfPushedLists(t *testing.T) {
	w, r, _ := newStartedWatcher()
	w.Configure(true, 300*ms)
	w.Closed(watchStart+5*ms, w.lastNumber)
	assert.Zero(t, r.leaseEnd)
	w.dial(watchStart + 20*ms)
	w.Connected(watchStart+20*ms, w.lastNumber)
	w.Received(watchStart+20*ms, w.lastNumber, fullList(41, "in_service"))
	assert.Equal(t, Unlimited, r.leaseEnd)
}

// An agent that does not run refuses connections, and none of its changes can count as notified.
func TestLeaseWithoutAnAgent(t *testing.T) {
	r, q := &recorder{open: map[int]bool{}}, &deadline.Queue{}
	w := NewWatcher("d", r, r, q)
	w.Configure(true, 300*ms)
	w.Watch(watchStart, true)
	w.Closed(watchStart+ms, w.lastNumber)
	assert.Equal(t, watchStart+ms+notifiedWithin+testSendAllowance, r.leaseEnd)
}

// Guards against requests to hosts that drain, sent by an old list beside an overloaded discovery: a refused call shows
// that discovery was reachable, so however many calls it refuses, by 503 or a reset, none extends the lease. The long
// poll that it refuses first was not watching for changes, so its wait no longer counts.
func TestRefusedCallsDoNotExtendTheLease(t *testing.T) {
	for name, refuse := range map[string]func(w *Watcher, now time.Duration){
		"503": func(w *Watcher, now time.Duration) {
			w.Received(now, w.lastNumber, []byte(response("503 Service Unavailable", "")))
		},
		"reset": func(w *Watcher, now time.Duration) { w.Closed(now, w.lastNumber) },
	} {
		w, r, _ := newStartedWatcher()
		w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
		at := watchStart + maxQueueTime
		refuse(w, at)
		until := watchStart + notifiedWithin + testSendAllowance
		assert.Equal(t, until, r.leaseEnd, name)
		assert.Equal(t, LeaseCallFailed, r.leaseCause, name)
		for range 10 {
			at += 2 * time.Second
			w.Watch(at, true)
			w.Connected(at, w.lastNumber)
			refuse(w, at+time.Second)
			assert.Equal(t, until, r.leaseEnd, "%s, and again", name)
		}
	}
}

// A long poll that is reset after it was open for longer than a call waits for its turn has reported all changes until
// then, unless it fell silent: the lease lasts for as long as either allows.
func TestLeaseAfterALongPollIsReset(t *testing.T) {
	for age, until := range map[time.Duration]time.Duration{
		maxQueueTime + ms: maxQueueTime + ms + notifiedWithin,
		7 * time.Second:   longPollWait + notifiedAfterPoll,
	} {
		w, r, _ := newStartedWatcher()
		w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
		w.Closed(watchStart+age, w.lastNumber)
		assert.Equal(t, watchStart+until+testSendAllowance, r.leaseEnd)
	}
}

// The end of a call beside a long poll that has fallen silent does not change the lease.
func TestLeaseAfterACallBesideASilentPollFails(t *testing.T) {
	w, r, q := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
	at := watchStart + longPollWait + longPollSlack
	q.Run(at)
	q.Run(at) // the next call is due at once
	w.Connected(at, w.lastNumber)
	w.Closed(at+10*ms, w.lastNumber)
	assert.Len(t, r.failed, 2)
	assert.Equal(t, watchStart+longPollWait+notifiedAfterPoll+testSendAllowance, r.leaseEnd)
}

// A connection that is refused shows that discovery cannot be reached, which extends a lease but does not revive one
// that is over: by then changes count as notified.
func TestRefusedConnectionsExtendALeaseInForce(t *testing.T) {
	w, r, _ := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
	at := watchStart + time.Second
	w.Closed(at, w.lastNumber)
	for range 5 {
		at += 4 * time.Second
		w.Watch(at, true)
		w.Closed(at, w.lastNumber)
		assert.Equal(t, at+notifiedWithin+testSendAllowance, r.leaseEnd)
	}
	until := r.leaseEnd
	w.Watch(until+time.Second, true)
	w.Closed(until+time.Second, w.lastNumber)
	assert.Equal(t, until, r.leaseEnd, "after the end of the lease")
}

// A kept-alive connection that ends as the next call is sent on it ends that long poll too.
func TestLeaseAfterACallIsResent(t *testing.T) {
	w, r, _ := newStartedWatcher()
	w.Received(watchStart, w.lastNumber, fullList(41, "in_service"))
	w.Closed(watchStart+10*ms, w.lastNumber)
	assert.Equal(t, watchStart+notifiedWithin+testSendAllowance, r.leaseEnd)
}
