package soak

import (
	"fmt"
	"net"
	"strings"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// requestRecord is all that was seen of one client's request.
type requestRecord struct {
	id           string
	script       drainsearch.Request
	node         *node
	process      int
	sentAt       time.Duration // its last byte was written; 0 before
	leftAt       time.Duration // its client went; 0: it stayed
	answeredAt   time.Duration
	answer       string // the first line that came
	secondAnswer string // a further final answer
	endedAt      time.Duration
	excuse       string // why its end without an answer breaks no rule
	lines        int
	attempts     []*attempt
}

// attempt is one attempt at a host.
type attempt struct {
	request   *requestRecord
	host      *host
	conn      net.Conn
	beganAt   time.Duration // its first byte was read
	endedAt   time.Duration // never, while it is out
	result    attemptResult
	receipt   string
	disturbed bool // the host ended, or ceased to serve, what stood
}

type attemptResult int

const (
	resultPending attemptResult = iota
	resultNotExecuted
	resultMaybeExecuted
	resultEstablished
)

func (q *requestRecord) sent() bool { return q.sentAt > 0 }

// firstAnswerWord is the first word of the answer.
func (q *requestRecord) firstAnswerWord() string {
	word, _, _ := strings.Cut(q.answer, " ")
	if word == "" {
		return "none"
	}
	return word
}

// nextAnswer is what a host says to the attempt of a number.
func (q *requestRecord) nextAnswer(number int) drainsearch.Answer {
	if number < len(q.script.Answers) {
		return q.script.Answers[number]
	}
	return drainsearch.Up
}

// newRequest notes a request that is about to be sent.
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

// recordAttempt notes the first byte of an recordAttempt, and judges it; nil if it is of no request.
func (w *world) recordAttempt(h *host, c net.Conn, id string, at time.Duration) *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.requests[id]
	if q == nil {
		w.recordViolation(Break{Rule: "malformed", At: at - start, Host: h.listed.ID, Request: id, What: "an attempt for a request that nobody sent"})
		return nil
	}
	a := &attempt{request: q, host: h, conn: c, beganAt: at, endedAt: never}
	a.receipt = fmt.Sprintf("%s.%d", id, len(q.attempts))
	q.attempts = append(q.attempts, a)
	w.recordEvent(Event{Node: q.node.name, Host: h.listed.ID, Request: id, What: fmt.Sprintf("attempt %d", len(q.attempts))})
	w.judgeFirstByte(a)
	select {
	case q.node.attempted <- struct{}{}:
	default:
	}
	return a
}

// attemptEnded notes that an attempt is attemptEnded.
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

// attemptEstablished notes that an attempt has brought a connection up; false if the run is over.
func (w *world) attemptEstablished(a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.result = resultEstablished
	return w.ctx.Err() == nil
}

// recordMalformed notes a first line that no client sent in that form.
func (w *world) recordMalformed(h *host, line string) {
	if line == "" || w.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.HasSuffix(line, "\n") { // the balancer gave it up in its midst
		return
	}
	w.recordViolation(Break{Rule: "malformed", At: w.now() - start, Host: h.listed.ID, What: fmt.Sprintf("first line %q", line)})
}
