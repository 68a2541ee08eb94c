package drainsearch

import (
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// start is where the virtual clock begins: Unix time, as the balancer's own clock does.
const start = 1_700_000_000 * time.Second

// Options plant a fault in the harness round the balancer, to see that the search finds it.
type Options struct {
	NoGate       bool                  // the first byte is written without asking the gate
	IgnoresGrace bool                  // the balancer takes the grace as a second longer than it is
	Exempt       drainaudit.Exemptions // of the judge; none for a strict one
	LateCalls    time.Duration         // each call to discovery is written so much late
	Explain      func(format string, args ...any)
}

// world is one run of a script.
type world struct {
	clock
	script    *Script
	options   Options
	audit     *drainaudit.Audit
	service   *service
	balancers []*balancer
	broken    *drainaudit.Violation
}

// Play plays a script and tells the first break of the rule; nil if it was kept. Sent is how many first bytes were judged.
func Play(s *Script, options Options) (broken *drainaudit.Violation, sent int) {
	w := &world{script: s, options: options, audit: drainaudit.New(drainaudit.Rules{
		Pushed: s.Pushed, Grace: s.Grace, AskWithin: s.AskWithin, Exempt: options.Exempt,
	})}
	w.now = start
	w.service = newService(w)
	for i := range s.Balancers {
		w.balancers = append(w.balancers, &balancer{world: w, number: i})
		w.balancers[i].begin(0, s.KnownAge)
	}
	w.schedule()
	w.run(start + s.Length)
	if w.broken != nil {
		w.broken.MakeRelativeTo(start)
	}
	for _, b := range w.balancers {
		sent += b.sent
	}
	return w.broken, sent
}

// schedule sets what the script tells.
func (w *world) schedule() {
	for _, r := range w.script.Reloads {
		w.at(start+r.At, func() { w.balancers[r.Balancer].reload(r.Moves) })
	}
	for _, r := range w.script.Restarts {
		b := w.balancers[r.Balancer]
		w.at(start+r.At, b.kill)
		w.at(start+r.At+r.Down, func() { b.begin(r.Startup, r.KnownAge) })
	}
	for _, h := range w.script.Holds {
		w.at(start+h.At, func() { w.balancers[h.Balancer].hold = h.For })
	}
	for _, r := range w.script.Requests {
		w.at(start+r.At, func() { w.balancers[r.Balancer].request(r) })
	}
}

// explain tells what happens, for who looks at one script.
func (w *world) explain(format string, args ...any) {
	if w.options.Explain != nil {
		w.options.Explain("%9.3f  "+format, append([]any{(w.now - start).Seconds()}, args...)...)
	}
}
