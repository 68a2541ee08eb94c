package soak

import (
	"fmt"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

// This file judges a run by the operators' rules. The run's lock is held wherever world's fields are read.

// slack is by how much each time limit grows on sockets.
const slack = 50 * time.Millisecond

// DrainReadStrictly is the drain rule where only a reading milder than the pages' words would excuse a break.
const DrainReadStrictly = "drain, read strictly"

// goneSlack is how long after its client went a request may still be attempted.
const goneSlack = 100 * time.Millisecond

// judgeFirstByte judges the first byte of an attempt as it comes.
func (w *world) judgeFirstByte(a *attempt) {
	q := a.request
	doubt := w.jitter.about(a.began)
	q.node.mu.Lock()
	current := q.process == q.node.process
	q.node.mu.Unlock()
	if current { // the list's clocks of an earlier process are gone
		if broken := w.audit.FirstByteSent(q.node.number, a.host.listed.ID, a.began); broken != nil && broken.Late > doubt {
			broken.MakeRelativeTo(start)
			rule := "drain"
			if broken.Excuse() != "" {
				rule = DrainReadStrictly
			}
			w.broke(Break{Rule: rule, At: a.began - start, Node: q.node.name, Host: a.host.listed.ID, Request: q.id, What: broken.Error()})
		}
	}
	if q.left > 0 && a.began > q.left+goneSlack+doubt {
		w.broke(Break{Rule: "left", At: a.began - start, Node: q.node.name, Host: a.host.listed.ID, Request: q.id,
			What: fmt.Sprintf("an attempt %v after its client left", a.began-q.left)})
	}
	if n := len(q.attempts); n > w.script.MaxAttempts {
		w.broke(Break{Rule: "attempts", At: a.began - start, Node: q.node.name, Request: q.id,
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

// judgeInFlight judges whether two attempts of a request were out at a time.
func (w *world) judgeInFlight(q *requestRecord) {
	for i, a := range q.attempts[:max(len(q.attempts)-1, 0)] {
		next := q.attempts[i+1]
		if overlap := a.ended - next.began; overlap > w.jitter.about(next.began) && !w.nodeKilledBefore(q, next.began) {
			w.broke(Break{Rule: "in flight", At: next.began - start, Node: q.node.name, Request: q.id,
				What: fmt.Sprintf("attempts %d and %d were out together for %v", i+1, i+2, overlap)})
		}
	}
}

// judgeEffects judges whether an effect was doubled.
func (w *world) judgeEffects(q *requestRecord) {
	first := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.result != resultNeverRan })
	if first < 0 {
		return
	}
	for _, a := range q.attempts[first+1:] {
		since := a.began - q.attempts[first].began
		doubled := q.script.Class == "unsafe" || q.script.Class == "keyed" && since > window+slack+w.jitter.about(a.began)
		if doubled {
			w.broke(Break{Rule: "duplicate", At: a.began - start, Node: q.node.name, Host: a.host.listed.ID, Request: q.id,
				What: fmt.Sprintf("a further attempt of a request %s %v after one that may have run", q.script.Class, since)})
			return
		}
	}
}

// judgeAnswer judges whether a request got its one final answer.
func (w *world) judgeAnswer(q *requestRecord) {
	due := q.asked + min(q.script.TTL, w.script.Deadline) + lateAnswer
	switch {
	case !q.sent() || q.left > 0:
	case q.more != "":
		w.lost("answers", q, fmt.Sprintf("two answers: %q and %q", q.answer, q.more))
	case q.answered == 0 && q.ended == 0: // the run ended first
		if w.now() > due+time.Second {
			w.lost("lost", q, "no answer")
		}
	case q.answered == 0 && q.excused == "":
		w.lost("lost", q, fmt.Sprintf("no answer; its connection ended %v after it was sent", q.ended-q.asked))
	case q.answered > due+w.jitter.about(q.answered):
		w.lost("lost", q, fmt.Sprintf("answered %v after it was sent", q.answered-q.asked))
	case q.answerWord() == "UP" && !q.gave(q.answer):
		w.lost("lost", q, fmt.Sprintf("served by %q, which no host said", q.answer))
	}
}

func (w *world) lost(rule string, q *requestRecord, what string) {
	w.broke(Break{Rule: rule, At: max(q.answered, q.ended, q.asked) - start, Node: q.node.name, Request: q.id, What: what})
}

// gave tells whether a host gave an answer.
func (q *requestRecord) gave(answer string) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return answer == "UP "+a.receipt })
}

// excuse is why a connection that ended at a moment without an answer breaks no rule; empty if it does.
func (w *world) excuse(q *requestRecord, at time.Duration) string {
	switch {
	case w.ctx.Err() != nil:
		return "the run is over"
	case q.left > 0:
		return "its client left"
	case w.crowded(q):
		return "idle clients fill the descriptors"
	case w.crashed(q, at):
		return "its balancer was killed"
	case q.answered > 0 && !w.script.Proxy && w.nodeKilledBefore(q, at+slack):
		return "packets pass through"
	}
	return ""
}

// crashed tells whether a request's process was killed out of the blue before a moment. At a planned restart nothing may be
// lost.
func (w *world) crashed(q *requestRecord, at time.Duration) bool {
	q.node.mu.Lock()
	defer q.node.mu.Unlock()
	if q.process < q.node.process {
		return w.restartedAt(q)
	}
	return q.node.killedAt > 0 && q.node.sigtermAt == 0 && q.node.killedAt <= at+slack
}

// restartedAt tells whether the process of a request ended by a kill out of the blue. Restarts of the script are the only
// ones; where a balancer has terminations too, the record of events tells them apart.
func (w *world) restartedAt(q *requestRecord) bool {
	return slices.ContainsFunc(w.script.Restarts, func(r drainsearch.Restart) bool {
		return r.Balancer == q.node.number && start+r.At >= q.asked-slack && start+r.At <= max(q.ended, q.answered, q.asked)+slack
	})
}

// nodeKilledBefore tells whether the process of a request was ended by a signal before a moment.
func (w *world) nodeKilledBefore(q *requestRecord, at time.Duration) bool {
	q.node.mu.Lock()
	defer q.node.mu.Unlock()
	return q.process < q.node.process || q.node.killedAt > 0 && q.node.killedAt <= at
}

// crowded tells whether idle clients fill the descriptors of a request's balancer while it is new.
func (w *world) crowded(q *requestRecord) bool {
	return q.answered == 0 && len(q.attempts) == 0 && slices.ContainsFunc(w.script.Crowds, func(c Crowd) bool {
		return c.Balancer == q.node.number && start+c.From <= q.asked && q.asked <= start+c.To
	})
}

// hostDisturbed tells whether the host of what stands has ended it, or ceased to serve it.
func (w *world) hostDisturbed(q *requestRecord) bool {
	if len(q.attempts) == 0 {
		return false
	}
	a := q.attempts[len(q.attempts)-1]
	if a.hostEnded {
		return true
	}
	for _, c := range w.script.Changes { // its process ended, or started anew
		if c.Host == a.host.index && c.Phase != drainaudit.Terminating && start+c.At >= a.began-slack && start+c.At <= w.now() {
			return true
		}
	}
	return slices.ContainsFunc(w.script.HostFaults, func(f HostFault) bool {
		return f.Host == a.host.index && f.Kind == HostHangs && start+f.To >= a.began && start+f.From <= w.now()
	})
}
