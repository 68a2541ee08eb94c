package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world checks the rules under random events: one answer before the deadline, one attempt at a time,
// effects, drains.
type world struct {
	t      *testing.T
	now    time.Duration
	open   map[string]*client
	state  map[string]Server
	told   map[string]time.Duration
	wakes  []action
	trace  []string
	rng    *rand.Rand
	b      *Balancer
	serial int
	set    Settings
	bound  map[string]time.Duration // where only draining binds: when the process seen draining started
	taken  []time.Duration
	again  []time.Duration
}

// mayBeSent tells whether the drain rule lets a server be sent to.
func (w *world) mayBeSent(e Server) bool {
	if w.set.GoneServersUsable {
		if _, bound := w.bound[e.ID]; bound {
			return w.now <= w.told[e.ID]+w.set.DrainGrace
		}
		return true
	}
	return e.State == Ready || e.State == Draining && w.now <= w.told[e.ID]+w.set.DrainGrace
}

// rationed counts a further attempt and fails where the budget has none.
func (w *world) rationed() {
	within := func(times []time.Duration, edge time.Duration) (n int) {
		for _, at := range times {
			if at >= w.now-w.set.RetryBudgetSpan+edge {
				n++
			}
		}
		return n
	}
	w.again = append(w.again, w.now)
	if most := w.set.RetryBudgetBase + w.set.RetryBudgetRatio*float64(within(w.taken, 1)); w.set.RetryBudgetSpan > 0 &&
		float64(within(w.again, 0)) > most {
		w.fail("%d further attempts, budget %.1f", within(w.again, 0), most)
	}
}

type client struct {
	q        Request
	class    Class
	deadline time.Duration
	out      string
	began    bool
	answered bool
	ran      string
	ranSince time.Duration
	sentAt   time.Duration
	attempts int
}

func (w *world) fail(format string, args ...any) { w.t.Helper(); w.t.Fatalf(format, args...) }

func (w *world) answer(r, kind string) {
	c := w.open[r]
	if c == nil || c.answered || c.out != "" {
		w.fail("%s of %s, which is not owed it", kind, r)
	}
	if w.now > c.deadline {
		w.fail("%s of %s after its deadline", kind, r)
	}
	c.answered = true
	delete(w.open, r)
}

func (w *world) Send(r, s string, d time.Duration) {
	c := w.open[r]
	w.trace = append(w.trace, "send "+r+" "+s)
	if c == nil || c.answered || c.out != "" || w.now >= c.deadline || d <= 0 || w.now+d > c.deadline {
		w.fail("send of %s at %v for %v: %+v", r, w.now, d, c)
	}
	e, listed := w.state[s]
	if !listed || !w.mayBeSent(e) {
		w.fail("send to %s, which is %v", s, e.State)
	}
	if c.ran != "" {
		switch {
		case c.class.Effect == Unsafe:
			w.fail("unsafe request %s sent again", r)
		case c.class.Effect == Keyed && (!e.sharesDuplicates(c.class.DedupScope, w.state[c.ran]) || w.now-c.ranSince > c.class.DedupWindow):
			w.fail("keyed request %s sent where its duplicates are not known", r)
		}
	}
	if c.attempts++; c.attempts > settings().MaxAttempts {
		w.fail("too many attempts of %s", r)
	}
	if c.sentAt = w.now; c.attempts > 1 {
		w.rationed()
	}
	c.out = s
	if c.ran == "" {
		c.ranSince = w.now
	}
}

func (w *world) Refuse(r string, _ time.Duration, _ Reason) {
	w.trace = append(w.trace, "refuse "+r)
	if c := w.open[r]; c != nil && c.ran != "" {
		if c.class.Effect == Unsafe || c.class.Effect == Keyed && c.class.DedupScope != ScopeAll {
			w.fail("refusal of %s, which may have run", r)
		}
	}
	w.answer(r, "refusal")
}

func (w *world) Fail(r string) { w.trace = append(w.trace, "fail "+r); w.answer(r, "failure") }

func (w *world) Move(r string) { w.trace = append(w.trace, "move "+r) }

func (w *world) NotifySiblings(uint32, time.Duration) {}

func (w *world) Probe(string) {}

func (w *world) Wake(at time.Duration, n int64) {
	if at <= w.now {
		w.fail("a timer in the past")
	}
	w.wakes = append(w.wakes, action{d: at, timer: n})
}

func (w *world) Watch(bool) { w.trace = append(w.trace, "watch") }

func (w *world) Log(text string) { w.trace = append(w.trace, text) }

func (w *world) names() (out []string) {
	for id := range w.open {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (w *world) step() {
	w.now += 5 * ms
	due := w.wakes
	w.wakes = nil
	for _, a := range due {
		if a.d <= w.now {
			w.b.Wake(w.now, a.timer)
		} else {
			w.wakes = append(w.wakes, a)
		}
	}
	switch w.rng.IntN(6) {
	case 0, 1:
		w.serial++
		names := []string{"keyed", "keyedall", "safe", "unsafe"}
		q := Request{ID: fmt.Sprint("q", w.serial), Class: names[w.rng.IntN(4)], Key: w.rng.Uint64N(30), HasKey: true,
			TTL: time.Duration(w.rng.IntN(1500)) * ms, MidFlow: w.rng.IntN(8) == 0}
		w.open[q.ID] = &client{q: q, class: settings().Classes[q.Class], deadline: w.now + q.TTL}
		w.taken = append(w.taken, w.now)
		w.b.Request(w.now, q)
	case 2:
		ids := make([]string, 0, len(w.state))
		for id := range w.state {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		e := w.state[ids[w.rng.IntN(len(ids))]]
		if next := State(w.rng.IntN(3)); next != e.State {
			e.State = next
			if _, bound := w.bound[e.ID]; !bound || !w.set.GoneServersUsable {
				w.told[e.ID] = w.now
			}
		}
		if w.rng.IntN(4) == 0 {
			e.Started = w.now
		}
		if since, bound := w.bound[e.ID]; e.State == Draining {
			w.bound[e.ID] = e.Started
		} else if bound && e.State == Ready && e.Started > since {
			delete(w.bound, e.ID)
		}
		w.state[e.ID] = e
		w.b.Members(w.now, Delta, []Server{e})
	}
	for _, id := range w.names() {
		c := w.open[id]
		overdue := w.now >= c.deadline && !c.began
		switch {
		case c.out == "":
			if w.now > c.deadline+5*ms {
				w.fail("%s has no answer", id)
			}
		case overdue || w.rng.IntN(30) == 0:
			res := Result(1 + w.rng.IntN(7))
			if overdue {
				res = Timeout
			}
			over := c.began || w.rng.IntN(4) == 0
			if over {
				res = OK
				delete(w.open, id)
			} else if res != Rejected && res != ConnectFailed && res != NotSent && c.ran == "" {
				c.ran = c.out
			}
			if i := slices.Index(w.again, c.sentAt); res == NotSent && c.attempts > 1 && i >= 0 { // skipped
				w.again = slices.Delete(w.again, i, i+1)
			}
			if c.out = ""; overdue {
				c.deadline += 5 * ms
			}
			w.b.Outcome(w.now, id, res, over)
		case !c.began && w.rng.IntN(20) == 0:
			c.began = true
			w.b.ConnectionEstablished(w.now, id)
		case c.began && w.rng.IntN(30) == 0:
			w.b.ConnectionMetric(w.now, id, MetricDelay, float64(w.rng.IntN(4000)))
		}
	}
}
