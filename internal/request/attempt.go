package request

import (
	"errors"
	"time"

	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// ErrNoDescriptors is returned by Transport.Begin when no file descriptor is left for another attempt.
var ErrNoDescriptors = errors.New("no file descriptor left for an attempt")

// beginAttempt starts an attempt. If it cannot be started, its outcome is queued.
func (t *Table) beginAttempt(req *request, server string, timeout time.Duration) {
	expiry := t.now + timeout
	req.attemptOpen, req.attemptWritten = true, false
	t.counts.Add("attempts sent")
	req.attemptDeadline = t.deadlines.Set(expiry, func(now time.Duration) { t.attemptTimedOut(now, req) })
	if err := t.transport.Begin(req.owner, server, expiry); err != nil {
		result := policy.ConnectFailed
		if errors.Is(err, ErrNoDescriptors) {
			result = policy.NotSent
		}
		t.pendingOutcomes = append(t.pendingOutcomes, func(time.Duration) { t.endAttempt(req, result) })
	}
}

// MayWrite reports whether the open attempt may be written now. It is the only check before the first byte is written.
// If the attempt may not be written, result is how it ended. The check is needed because connecting takes time:
// meanwhile the client may have left, the desk host may have begun to drain, or the window in which a repeat is
// harmless may be over.
func (t *Table) MayWrite(now time.Duration, id slot.ID, until time.Duration, clientGone func() bool) (result policy.Result, ok bool) {
	switch {
	case now >= until: // the deadline has passed, but its callback has not run yet
		return policy.ConnectFailed, false
	case clientGone():
		t.counts.Add("attempts not written: client gone")
	case !t.attemptAllowed(now, id):
		t.counts.Add("attempts not written: no longer allowed")
	default:
		t.markWritten(id)
		return 0, true
	}
	return policy.NotSent, false
}

func (t *Table) attemptAllowed(now time.Duration, id slot.ID) bool {
	req, ok := t.requests.Get(id)
	return ok && req.attemptOpen && !req.answered && (req.midFlow || t.module.MayWrite(now, req.moduleID))
}

func (t *Table) markWritten(id slot.ID) {
	if req, ok := t.requests.Get(id); ok {
		req.attemptWritten = true
	}
}

// neverRan reports whether an attempt with this result cannot have run, although it may have been written.
func neverRan(result policy.Result) bool {
	return result == policy.Rejected || result == policy.ConnectFailed || result == policy.NotSent
}

// Established records that the open attempt has established its connection.
func (t *Table) Established(now time.Duration, id slot.ID) {
	req, ok := t.requests.Get(id)
	if !ok || !req.attemptOpen || req.established {
		return
	}
	t.now = now
	t.deadlines.Stop(req.attemptDeadline)
	req.established = true
	t.recordAnswer(req, completed)
	t.module.ConnectionEstablished(now, req.moduleID)
	t.deliverOutcomes()
}

// attemptTimedOut abandons an attempt that has not established its connection by its deadline.
func (t *Table) attemptTimedOut(now time.Duration, req *request) {
	if !req.attemptOpen || req.established {
		return
	}
	t.now = now
	result := policy.ConnectFailed // an attempt that was not sent cannot have run
	if t.transport.Abandon(req.owner) {
		result = policy.Timeout
	}
	t.endAttempt(req, result)
	t.deliverOutcomes()
}

// ResultNames holds the name of each result of an attempt or a connection, as counters and the log show it.
var ResultNames = map[policy.Result]string{policy.OK: "ok", policy.Error: "error", policy.Rejected: "busy",
	policy.Timeout: "timeout", policy.ConnectFailed: "connect failed", policy.Reset: "reset",
	policy.Cancelled: "cancelled", policy.NotSent: "moot"}

// endAttempt closes the open attempt, or the connection that it established, and reports its outcome to the module
// once.
func (t *Table) endAttempt(req *request, result policy.Result) {
	if !req.attemptOpen {
		return
	}
	t.deadlines.Stop(req.attemptDeadline)
	req.attemptOpen = false
	req.mayHaveRun = req.mayHaveRun || req.attemptWritten && !neverRan(result)
	if req.established {
		t.counts.Add("connections ended: " + ResultNames[result])
	} else {
		t.counts.Add("attempts ended: " + ResultNames[result])
	}
	finished := req.answered || result == policy.OK
	if !finished && req.midFlow { // no other host can continue the connection
		finished = true
		t.recordAnswer(req, failed)
		t.transport.Failed(req.owner)
	}
	if finished {
		t.remove(req)
	}
	t.module.Outcome(t.now, req.moduleID, result, finished)
}
