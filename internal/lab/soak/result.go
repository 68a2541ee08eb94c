package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Break is a broken rule.
type Break struct {
	Rule    string
	At      time.Duration
	Node    string
	Host    string
	Request string
	What    string
}

func (b Break) String() string {
	return fmt.Sprintf("%8.3f  %s: %s (balancer %s, host %s, request %s)", b.At.Seconds(), b.Rule, b.What, b.Node, b.Host, b.Request)
}

// Event is one line of the record of a run.
type Event struct {
	At      time.Duration // since the start of the run
	Node    string
	Host    string
	Request string
	What    string
}

// String is the event as a line of the record.
func (e Event) String() string {
	return strings.TrimRight(fmt.Sprintf("%8.3f  %-4s %-6s %s  %s", e.At.Seconds(), e.Node, e.Host, e.What, e.Request), " ")
}

// Result is what a run has shown.
type Result struct {
	Breaks   []Break
	Requests int
	Answers  map[string]int // by their first word; "none" where there was none
	Attempts int
	Lines    int           // answered on standing connections
	Late     time.Duration // the longest hold-up of the run's own clock
	Events   []Event
}

// recordEvent adds to the record of the run; the lock is held.
func (w *world) recordEvent(e Event) {
	e.At = w.now() - start
	w.events = append(w.events, e)
}

// recordViolation notes a broken rule; the lock is held.
func (w *world) recordViolation(b Break) {
	w.violations = append(w.violations, b)
	w.recordEvent(Event{Node: b.Node, Host: b.Host, Request: b.Request, What: "BROKEN " + b.Rule + ": " + b.What})
}

// result is what the run has shown.
func (w *world) result() *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Result{Breaks: w.violations, Answers: map[string]int{}, Late: w.jitter.longest(0, never), Events: w.events}
	for _, q := range w.requests {
		if !q.sent() {
			continue
		}
		r.Requests++
		r.Answers[q.firstAnswerWord()]++
		r.Attempts += len(q.attempts)
		r.Lines += q.lines
	}
	slices.SortFunc(r.Breaks, func(a, b Break) int { return int(a.At - b.At) })
	return r
}
