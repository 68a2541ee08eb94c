package request

import (
	"errors"
	"time"

	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// ErrNoDescriptors tells that the carrier had no means to begin an attempt.
var ErrNoDescriptors = errors.New("no descriptor for an attempt")

func (t *Table) begin(req *request, server string, timeout time.Duration) {
	until := t.now + timeout
	req.out = true
	t.count.Add("attempts sent")
	req.until = t.deadlines.Set(until, func(now time.Duration) { t.overdue(now, req) })
	if err := t.carrier.Begin(req.owner, server, until); err != nil {
		result := policy.ConnectFailed
		if errors.Is(err, ErrNoDescriptors) {
			result = policy.NotSent
		}
		t.queue = append(t.queue, func(time.Duration) { t.ended(req, result) })
	}
}

// MayWrite tells whether the attempt that is out may be written now: the one gate, just before its first byte is. Else it
// tells what came of the attempt. Danger: the connection took its time to come up, and meanwhile the client went, the desk
// host was told to drain, or the time in which a repeat does no harm has passed.
func (t *Table) MayWrite(now time.Duration, id slot.ID, until time.Duration, clientGone func() bool) (result policy.Result, ok bool) {
	switch {
	case now >= until: // its deadline is due, and has not run yet
		return policy.ConnectFailed, false
	case clientGone():
		t.count.Add("attempts not written: client gone")
	case !t.allows(now, id):
		t.count.Add("attempts not written: no longer allowed")
	default:
		return 0, true
	}
	return policy.NotSent, false
}

func (t *Table) allows(now time.Duration, id slot.ID) bool {
	req, ok := t.requests.Get(id)
	return ok && req.out && !req.answered && (req.handed || t.module.MayWrite(now, req.name))
}

// Established tells that the attempt has brought up the connection.
func (t *Table) Established(now time.Duration, id slot.ID) {
	req, ok := t.requests.Get(id)
	if !ok || !req.out || req.stands {
		return
	}
	t.now = now
	t.deadlines.Stop(req.until)
	req.stands = true
	t.answered(req, completed)
	t.module.ConnectionEstablished(now, req.name)
	t.settle()
}

// overdue gives up an attempt that has not brought up the connection in its time.
func (t *Table) overdue(now time.Duration, req *request) {
	if !req.out || req.stands {
		return
	}
	t.now = now
	result := policy.ConnectFailed // not sent yet: it cannot have run
	if t.carrier.Abandon(req.owner) {
		result = policy.Timeout
	}
	t.ended(req, result)
	t.settle()
}

// ResultNames are the names of how attempts and connections end.
var ResultNames = map[policy.Result]string{policy.OK: "ok", policy.Error: "error", policy.Rejected: "busy",
	policy.Timeout: "timeout", policy.ConnectFailed: "connect failed", policy.Reset: "reset",
	policy.Cancelled: "cancelled", policy.NotSent: "moot"}

// ended tells the module the one outcome of an attempt.
func (t *Table) ended(req *request, result policy.Result) {
	if !req.out {
		return
	}
	t.deadlines.Stop(req.until)
	req.out = false
	if req.stands {
		t.count.Add("connections ended: " + ResultNames[result])
	} else {
		t.count.Add("attempts ended: " + ResultNames[result])
	}
	over := req.answered || result == policy.OK
	if !over && req.handed { // no other host can go on with it
		over = true
		t.answered(req, failed)
		t.carrier.Failed(req.owner)
	}
	if over {
		t.remove(req)
	}
	t.module.Outcome(t.now, req.name, result, over)
}
