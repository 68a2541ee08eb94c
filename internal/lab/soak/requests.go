package soak

import (
	"fmt"
	"net"
	"strings"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// requestRecord is what was observed of one client's request.
type requestRecord struct {
	id           string
	script       drainsearch.Request
	node         *node
	process      int
	sentAt       time.Duration // when its last byte was written; 0 before that
	leftAt       time.Duration // when its client left; 0 if it stayed
	answeredAt   time.Duration
	answer       string // the first line received
	secondAnswer string // a further line after a final answer
	endedAt      time.Duration
	excuse       string // why a missing answer breaks no rule; empty if it does
	lines        int
	attempts     []*attempt
	// sendingEndsAt is when its client ends its sending; 0 if it does not.
	sendingEndsAt time.Duration
}

// attempt is one attempt of a request at a host.
type attempt struct {
	request   *requestRecord
	index     int // among the attempts of its request
	host      *host
	conn      net.Conn
	beganAt   time.Duration // when its first byte was read
	endedAt   time.Duration // never while it is in progress
	result    attemptResult
	receipt   string
	disturbed bool // the host ended the established connection, or stopped serving it
}

type attemptResult int

const (
	resultPending attemptResult = iota
	resultNotExecuted
	resultMaybeExecuted
	resultEstablished
)

func (q *requestRecord) sent() bool { return q.sentAt > 0 }

// firstAnswerWord returns the first word of the answer, or "none".
func (q *requestRecord) firstAnswerWord() string {
	word, _, _ := strings.Cut(q.answer, " ")
	if word == "" {
		return "none"
	}
	return word
}

// scriptedAnswer returns the host's answer to the attempt.
func (a *attempt) scriptedAnswer() drainsearch.Answer {
	if a.index < len(a.request.script.Answers) {
		return a.request.script.Answers[a.index]
	}
	return drainsearch.AnswerUp
}

// newRequest records a request that is about to be sent.
func (w *world) newRequest(n *node, name string, script drainsearch.Request) *requestRecord {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	q := &requestRecord{id: fmt.Sprintf("%s-%d-%s", n.name, process, name), script: script, node: n, process: process}
	w.requests[q.id] = q
	return q
}

// recordAttempt records the first byte of an attempt and judges it; it returns nil if the attempt belongs to no
// request.
func (w *world) recordAttempt(h *host, c net.Conn, id string, at time.Duration) *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.requests[id]
	if q == nil {
		w.recordViolation(Violation{Rule: "malformed", At: at - start, Host: h.listed.ID, Request: id, What: "an attempt for a request that nobody sent"})
		return nil
	}
	a := &attempt{request: q, index: len(q.attempts), host: h, conn: c, beganAt: at, endedAt: never}
	a.receipt = fmt.Sprintf("%s.%d", id, a.index)
	q.attempts = append(q.attempts, a)
	w.recordEvent(Event{Node: q.node.name, Host: h.listed.ID, Request: id, What: fmt.Sprintf("attempt %d", len(q.attempts))})
	w.judgeFirstByte(a)
	select {
	case q.node.attempted <- struct{}{}:
	default:
	}
	return a
}

// attemptEnded records the end of an attempt.
func (w *world) attemptEnded(a *attempt, result attemptResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.endedAt == never {
		a.endedAt = w.now()
	}
	if a.result != resultEstablished {
		a.result = result
	}
}

// attemptEstablished records that an attempt has established a connection; it returns false if the run is over.
func (w *world) attemptEstablished(a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.result = resultEstablished
	return w.ctx.Err() == nil
}

// recordMalformed records a first line in a form that no client sent.
func (w *world) recordMalformed(h *host, line string) {
	if line == "" || w.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.HasSuffix(line, "\n") { // the balancer abandoned the attempt while it wrote the line
		return
	}
	w.recordViolation(Violation{Rule: "malformed", At: w.now() - start, Host: h.listed.ID, What: fmt.Sprintf("first line %q", line)})
}
