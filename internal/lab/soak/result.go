package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violation is a violation of a rule.
type Violation struct {
	Rule    string
	At      time.Duration
	Node    string
	Host    string
	Request string
	What    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f  %s: %s (balancer %s, host %s, request %s)", v.At.Seconds(), v.Rule, v.What, v.Node, v.Host, v.Request)
}

// Event is one line of the record of a run.
type Event struct {
	At      time.Duration // since the start of the run
	Node    string
	Host    string
	Request string
	What    string
}

// String formats the event as a line of the record.
func (e Event) String() string {
	return strings.TrimRight(fmt.Sprintf("%8.3f  %-4s %-6s %s  %s", e.At.Seconds(), e.Node, e.Host, e.What, e.Request), " ")
}

// Result is what was observed in a run.
type Result struct {
	Violations         []Violation
	Requests           int
	Answers            map[string]int // by first word; "none" for a request without an answer
	Attempts           int
	Lines              int           // answered on established connections
	MaxSchedulingDelay time.Duration // the longest scheduling delay of the run's own goroutines
	Events             []Event
}

// recordEvent adds an event to the record of the run. The caller holds the lock.
func (w *world) recordEvent(e Event) {
	e.At = w.now() - start
	w.events = append(w.events, e)
}

// recordViolation records a violation of a rule. The caller holds the lock.
func (w *world) recordViolation(v Violation) {
	w.violations = append(w.violations, v)
	w.recordEvent(Event{Node: v.Node, Host: v.Host, Request: v.Request, What: "BROKEN " + v.Rule + ": " + v.What})
}

// result sums up the run.
func (w *world) result() *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Result{Violations: w.violations, Answers: map[string]int{}, MaxSchedulingDelay: w.jitter.longest(0, never), Events: w.events}
	for _, q := range w.requests {
		if !q.sent() {
			continue
		}
		r.Requests++
		r.Answers[q.firstAnswerWord()]++
		r.Attempts += len(q.attempts)
		r.Lines += q.lines
	}
	slices.SortFunc(r.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return r
}
