package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the rules under random events: one answer before the deadline, one attempt at a
// time, no repeated effect, and no request to a server that has drained.
type ruleChecker struct {
	t                 *testing.T
	now               time.Duration
	clients           map[string]*client
	servers           map[string]Server
	drainNotifiedAt   map[string]time.Duration
	timers            []action
	trace             []string
	rng               *rand.Rand
	balancer          *Balancer
	requestCount      int
	settings          Settings
	drainingProcesses map[string]time.Duration // if gone servers are usable: start of the process seen draining
	requestTimes      []time.Duration
	retryTimes        []time.Duration
}

// maySend reports whether the drain rule permits a request to a server.
func (w *ruleChecker) maySend(e Server) bool {
	if w.settings.GoneServersUsable {
		if _, seenDraining := w.drainingProcesses[e.ID]; seenDraining {
			return w.now <= w.drainNotifiedAt[e.ID]+w.settings.DrainGrace
		}
		return true
	}
	return e.State == Ready || e.State == Draining && w.now <= w.drainNotifiedAt[e.ID]+w.settings.DrainGrace
}

// countRetry counts an attempt beyond the first and fails the test if the budget does not allow it.
func (w *ruleChecker) countRetry() {
	within := func(times []time.Duration, edge time.Duration) (n int) {
		for _, at := range times {
			if at >= w.now-w.settings.RetryBudgetSpan+edge {
				n++
			}
		}
		return n
	}
	w.retryTimes = append(w.retryTimes, w.now)
	if allowed := w.settings.RetryBudgetBase + w.settings.RetryBudgetRatio*float64(within(w.requestTimes, 1)); w.settings.RetryBudgetSpan > 0 &&
		float64(within(w.retryTimes, 0)) > allowed {
		w.fail("%d retries, budget %.1f", within(w.retryTimes, 0), allowed)
	}
}

type client struct {
	request         Request
	class           Class
	deadline        time.Duration
	server          string
	established     bool
	answered        bool
	mayHaveRunOn    string
	mayHaveRunSince time.Duration
	sentAt          time.Duration
	attempts        int
}

func (w *ruleChecker) fail(format string, args ...any) { w.t.Helper(); w.t.Fatalf(format, args...) }

// answer checks and records the final answer to a request.
func (w *ruleChecker) answer(r, kind string) {
	c := w.clients[r]
	if c == nil || c.answered || c.server != "" {
		w.fail("%s of %s, which expects no answer", kind, r)
	}
	if w.now > c.deadline {
		w.fail("%s of %s after its deadline", kind, r)
	}
	c.answered = true
	delete(w.clients, r)
}

func (w *ruleChecker) Send(r, s string, d time.Duration) {
	c := w.clients[r]
	w.trace = append(w.trace, "send "+r+" "+s)
	if c == nil || c.answered || c.server != "" || w.now >= c.deadline || d <= 0 || w.now+d > c.deadline {
		w.fail("send of %s at %v for %v: %+v", r, w.now, d, c)
	}
	e, listed := w.servers[s]
	if !listed || !w.maySend(e) {
		w.fail("send to %s in state %v", s, e.State)
	}
	if c.mayHaveRunOn != "" {
		switch {
		case c.class.Effect == Unsafe:
			w.fail("unsafe request %s sent again", r)
		case c.class.Effect == Keyed && (!e.sharesDuplicates(c.class.DedupScope, w.servers[c.mayHaveRunOn]) || w.now-c.mayHaveRunSince > c.class.DedupWindow):
			w.fail("keyed request %s sent where its duplicates are not known", r)
		}
	}
	if c.attempts++; c.attempts > settings().MaxAttempts {
		w.fail("too many attempts of %s", r)
	}
	if c.sentAt = w.now; c.attempts > 1 {
		w.countRetry()
	}
	c.server = s
	if c.mayHaveRunOn == "" {
		c.mayHaveRunSince = w.now
	}
}

func (w *ruleChecker) Refuse(r string, _ time.Duration, _ Reason) {
	w.trace = append(w.trace, "refuse "+r)
	if c := w.clients[r]; c != nil && c.mayHaveRunOn != "" {
		if c.class.Effect == Unsafe || c.class.Effect == Keyed && c.class.DedupScope != ScopeAll {
			w.fail("refusal of %s, which may have run", r)
		}
	}
	w.answer(r, "refusal")
}

func (w *ruleChecker) Fail(r string) { w.trace = append(w.trace, "fail "+r); w.answer(r, "failure") }

func (w *ruleChecker) Move(r string) { w.trace = append(w.trace, "move "+r) }

func (w *ruleChecker) NotifySiblings(uint32, time.Duration) {}

func (w *ruleChecker) Probe(string) {}

func (w *ruleChecker) Wake(at time.Duration, n int64) {
	if at <= w.now {
		w.fail("timer in the past")
	}
	w.timers = append(w.timers, action{duration: at, timer: n})
}

func (w *ruleChecker) Watch(bool) { w.trace = append(w.trace, "watch") }

func (w *ruleChecker) Log(text string) { w.trace = append(w.trace, text) }

// clientIDs returns the ids of all requests in order.
func (w *ruleChecker) clientIDs() (out []string) {
	for id := range w.clients {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// step advances the time and plays a random event, and outcomes for the clients.
func (w *ruleChecker) step() {
	w.now += 5 * ms
	due := w.timers
	w.timers = nil
	for _, a := range due {
		if a.duration <= w.now {
			w.balancer.Wake(w.now, a.timer)
		} else {
			w.timers = append(w.timers, a)
		}
	}
	switch w.rng.IntN(6) {
	case 0, 1:
		w.requestCount++
		names := []string{"keyed", "keyedall", "safe", "unsafe"}
		q := Request{ID: fmt.Sprint("q", w.requestCount), Class: names[w.rng.IntN(4)], Key: w.rng.Uint64N(30), HasKey: true,
			TTL: time.Duration(w.rng.IntN(1500)) * ms, MidFlow: w.rng.IntN(8) == 0}
		w.clients[q.ID] = &client{request: q, class: settings().Classes[q.Class], deadline: w.now + q.TTL}
		w.requestTimes = append(w.requestTimes, w.now)
		w.balancer.Request(w.now, q)
	case 2:
		ids := make([]string, 0, len(w.servers))
		for id := range w.servers {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		e := w.servers[ids[w.rng.IntN(len(ids))]]
		if next := State(w.rng.IntN(3)); next != e.State {
			e.State = next
			if _, seenDraining := w.drainingProcesses[e.ID]; !seenDraining || !w.settings.GoneServersUsable {
				w.drainNotifiedAt[e.ID] = w.now
			}
		}
		if w.rng.IntN(4) == 0 {
			e.Started = w.now
		}
		if since, seenDraining := w.drainingProcesses[e.ID]; e.State == Draining {
			w.drainingProcesses[e.ID] = e.Started
		} else if seenDraining && e.State == Ready && e.Started > since {
			delete(w.drainingProcesses, e.ID)
		}
		w.servers[e.ID] = e
		w.balancer.Members(w.now, Delta, []Server{e})
	}
	for _, id := range w.clientIDs() {
		c := w.clients[id]
		overdue := w.now >= c.deadline && !c.established
		switch {
		case c.server == "":
			if w.now > c.deadline+5*ms {
				w.fail("%s has no answer", id)
			}
		case overdue || w.rng.IntN(30) == 0:
			res := Result(1 + w.rng.IntN(7))
			if overdue {
				res = Timeout
			}
			over := c.established || w.rng.IntN(4) == 0
			if over {
				res = OK
				delete(w.clients, id)
			} else if res != Rejected && res != ConnectFailed && res != NotSent && c.mayHaveRunOn == "" {
				c.mayHaveRunOn = c.server
			}
			// an attempt that was not sent does not count
			if i := slices.Index(w.retryTimes, c.sentAt); res == NotSent && c.attempts > 1 && i >= 0 {
				w.retryTimes = slices.Delete(w.retryTimes, i, i+1)
			}
			if c.server = ""; overdue {
				c.deadline += 5 * ms
			}
			w.balancer.Outcome(w.now, id, res, over)
		case !c.established && w.rng.IntN(20) == 0:
			c.established = true
			w.balancer.ConnectionEstablished(w.now, id)
		case c.established && w.rng.IntN(30) == 0:
			w.balancer.ConnectionMetric(w.now, id, MetricDelay, float64(w.rng.IntN(4000)))
		}
	}
}
