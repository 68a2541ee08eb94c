package soak

import (
	"fmt"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

// This file judges a run by the operators' rules. All functions that read fields of world run under the run's lock.

// slack is the tolerance added to each time limit, as the run uses sockets.
const slack = 50 * time.Millisecond

// DrainReadStrictly is the name of the drain rule where only a lenient reading of the pages would excuse the violation.
const DrainReadStrictly = "drain, read strictly"

// leftSlack is for how long after its client left a request may still be attempted.
const leftSlack = 100 * time.Millisecond

// judgeFirstByte judges the first byte of an attempt when it arrives.
func (w *world) judgeFirstByte(a *attempt) {
	q := a.request
	tolerance := w.jitter.around(a.beganAt)
	q.node.mu.Lock()
	current := q.process == q.node.process
	q.node.mu.Unlock()
	if current { // the audit no longer has the calls of an earlier process
		if violation := w.audit.FirstByteSent(q.node.number, a.host.listed.ID, a.beganAt); violation != nil && violation.Late > tolerance {
			violation.MakeRelativeTo(start)
			rule := "drain"
			if violation.Excuse() != "" {
				rule = DrainReadStrictly
			}
			w.recordViolation(Violation{Rule: rule, At: a.beganAt - start, Node: q.node.name, Host: a.host.listed.ID, Request: q.id, What: violation.Error()})
		}
	}
	if q.leftAt > 0 && a.beganAt > q.leftAt+leftSlack+tolerance {
		w.recordViolation(Violation{Rule: "left", At: a.beganAt - start, Node: q.node.name, Host: a.host.listed.ID, Request: q.id,
			What: fmt.Sprintf("an attempt %v after its client left", a.beganAt-q.leftAt)})
	}
	if n := len(q.attempts); n > w.script.MaxAttempts {
		w.recordViolation(Violation{Rule: "attempts", At: a.beganAt - start, Node: q.node.name, Request: q.id,
			What: fmt.Sprintf("%d attempts of %d", n, w.script.MaxAttempts)})
	}
}

// judgeRequests judges all requests at the end of the run.
func (w *world) judgeRequests() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.requests {
		w.judgeInFlight(q)
		w.judgeEffects(q)
		w.judgeAnswer(q)
	}
}

// judgeInFlight judges whether two attempts of a request were in progress at the same time.
func (w *world) judgeInFlight(q *requestRecord) {
	for i, a := range q.attempts[:max(len(q.attempts)-1, 0)] {
		next := q.attempts[i+1]
		if overlap := a.endedAt - next.beganAt; overlap > w.jitter.around(next.beganAt) && !w.nodeKilledBefore(q, next.beganAt) {
			w.recordViolation(Violation{Rule: "in flight", At: next.beganAt - start, Node: q.node.name, Request: q.id,
				What: fmt.Sprintf("attempts %d and %d were in progress together for %v", i+1, i+2, overlap)})
		}
	}
}

// judgeEffects judges whether a request may have taken effect twice.
func (w *world) judgeEffects(q *requestRecord) {
	first := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.result != resultNotExecuted })
	if first < 0 {
		return
	}
	for _, a := range q.attempts[first+1:] {
		since := a.beganAt - q.attempts[first].beganAt
		doubled := q.script.Class == "unsafe" || q.script.Class == "keyed" && since > dedupWindow+slack+w.jitter.around(a.beganAt)
		if doubled {
			w.recordViolation(Violation{Rule: "duplicate", At: a.beganAt - start, Node: q.node.name, Host: a.host.listed.ID, Request: q.id,
				What: fmt.Sprintf("a further attempt of a request of class %s %v after one that may have run", q.script.Class, since)})
			return
		}
	}
}

// judgeAnswer judges whether a request received exactly one final answer, in time.
func (w *world) judgeAnswer(q *requestRecord) {
	due := q.sentAt + min(q.script.TTL, w.script.Deadline) + answerSlack
	switch {
	case !q.sent() || q.leftAt > 0:
	case q.secondAnswer != "":
		w.requestViolation("answers", q, fmt.Sprintf("two answers: %q and %q", q.answer, q.secondAnswer))
	case q.answeredAt == 0 && q.endedAt == 0: // the run ended first
		if w.now() > due+time.Second {
			w.requestViolation("lost", q, "no answer")
		}
	case q.answeredAt == 0 && q.excuse == "":
		w.requestViolation("lost", q, fmt.Sprintf("no answer; its connection ended %v after it was sent", q.endedAt-q.sentAt))
	case q.answeredAt > due+w.jitter.around(q.answeredAt):
		w.requestViolation("lost", q, fmt.Sprintf("answered %v after it was sent", q.answeredAt-q.sentAt))
	case q.firstAnswerWord() == "UP" && !q.wasGiven(q.answer):
		w.requestViolation("lost", q, fmt.Sprintf("served by %q, which no host sent", q.answer))
	}
}

func (w *world) requestViolation(rule string, q *requestRecord, what string) {
	w.recordViolation(Violation{Rule: rule, At: max(q.answeredAt, q.endedAt, q.sentAt) - start, Node: q.node.name, Request: q.id, What: what})
}

// wasGiven reports whether a host gave this answer.
func (q *requestRecord) wasGiven(answer string) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return answer == "UP "+a.receipt })
}

// excuse returns why a connection that ended at a time without an answer breaks no rule; it is empty if one is broken.
func (w *world) excuse(q *requestRecord, at time.Duration) string {
	switch {
	case w.ctx.Err() != nil:
		return "the run is over"
	case q.leftAt > 0:
		return "its client left"
	case w.flooded(q):
		return "idle clients fill the descriptors"
	case w.wasCrashed(q, at):
		return "its balancer was killed"
	case q.answeredAt > 0 && !w.script.Proxy && w.nodeKilledBefore(q, at+slack):
		return "packets pass through"
	}
	return ""
}

// wasCrashed reports whether the process of a request was killed without SIGTERM before a time. At a planned restart
// nothing may be lost.
func (w *world) wasCrashed(q *requestRecord, at time.Duration) bool {
	q.node.mu.Lock()
	defer q.node.mu.Unlock()
	if q.process < q.node.process {
		return w.restartedByScript(q)
	}
	return q.node.killedAt > 0 && q.node.sigtermAt == 0 && q.node.killedAt <= at+slack
}

// restartedByScript reports whether the process of a request ended in a scripted crash. Only the Restarts of
// the script are crashes; where a balancer has planned restarts as well, only the record of events distinguishes them.
func (w *world) restartedByScript(q *requestRecord) bool {
	return slices.ContainsFunc(w.script.Restarts, func(r drainsearch.Restart) bool {
		return r.Balancer == q.node.number && start+r.At >= q.sentAt-slack && start+r.At <= max(q.endedAt, q.answeredAt, q.sentAt)+slack
	})
}

// nodeKilledBefore reports whether the process of a request was ended by a signal before a time.
func (w *world) nodeKilledBefore(q *requestRecord, at time.Duration) bool {
	q.node.mu.Lock()
	defer q.node.mu.Unlock()
	return q.process < q.node.process || q.node.killedAt > 0 && q.node.killedAt <= at
}

// flooded reports whether idle connections used up the file descriptors of a request's balancer when the request was
// new.
func (w *world) flooded(q *requestRecord) bool {
	return q.answeredAt == 0 && len(q.attempts) == 0 && slices.ContainsFunc(w.script.Floods, func(c ConnectionFlood) bool {
		return c.Balancer == q.node.number && start+c.From <= q.sentAt && q.sentAt <= start+c.To
	})
}

// hostDisturbed reports whether the host of an established connection ended it or stopped serving it.
func (w *world) hostDisturbed(q *requestRecord) bool {
	if len(q.attempts) == 0 {
		return false
	}
	a := q.attempts[len(q.attempts)-1]
	if a.disturbed {
		return true
	}
	for _, c := range w.script.Changes { // its process ended, or started anew
		if c.Host == a.host.index && c.Phase != drainaudit.Terminating && start+c.At >= a.beganAt-slack && start+c.At <= w.now() {
			return true
		}
	}
	return slices.ContainsFunc(w.script.HostFaults, func(f HostFault) bool {
		return f.Host == a.host.index && f.Kind == HostHangs && start+f.To >= a.beganAt && start+f.From <= w.now()
	})
}
