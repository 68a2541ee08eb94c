package drainsearch

import (
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// start is where the virtual clock begins: Unix time, as the balancer's own clock does.
const start = 1_700_000_000 * time.Second

// Options change how a script is played and judged. SkipLastCheck, IgnoresGrace and LateCalls inject a fault into the
// code around the balancer, to check that the search finds it.
type Options struct {
	SkipLastCheck bool                  // the first byte is written without the last check
	IgnoresGrace  bool                  // the balancer uses a grace that is a second too long
	Exempt        drainaudit.Exemptions // of the judge; none for a strict one
	LateCalls     time.Duration         // delay added to each call to discovery
	Explain       func(format string, args ...any)
}

// world is the state of one run of a script.
type world struct {
	clock
	script    *Script
	options   Options
	audit     *drainaudit.Audit
	service   *service
	balancers []*balancer
	violation *drainaudit.Violation
}

// Play runs a script. It returns the first violation of the rule, nil if there is none, and how many first bytes were
// judged.
func Play(s *Script, options Options) (violation *drainaudit.Violation, sent int) {
	w := &world{script: s, options: options, audit: drainaudit.New(drainaudit.Rules{
		Pushed: s.Pushed, Grace: s.Grace, AskWithin: s.AskWithin, Exempt: options.Exempt,
	})}
	w.now = start
	w.service = newService(w)
	for i := range s.Balancers {
		w.balancers = append(w.balancers, &balancer{world: w, number: i})
		w.balancers[i].startProcess(0, s.KnownAge)
	}
	w.schedule()
	w.run(start + s.Length)
	if w.violation != nil {
		w.violation.MakeRelativeTo(start)
	}
	for _, b := range w.balancers {
		sent += b.sent
	}
	return w.violation, sent
}

// schedule schedules the events of the script.
func (w *world) schedule() {
	for _, r := range w.script.Reloads {
		w.at(start+r.At, func() { w.balancers[r.Balancer].reload(r.Moves) })
	}
	for _, r := range w.script.Restarts {
		b := w.balancers[r.Balancer]
		w.at(start+r.At, b.kill)
		w.at(start+r.At+r.Down, func() { b.startProcess(r.Startup, r.KnownAge) })
	}
	for _, h := range w.script.Holds {
		w.at(start+h.At, func() { w.balancers[h.Balancer].nextHold = h.For })
	}
	for _, r := range w.script.Requests {
		w.at(start+r.At, func() { w.balancers[r.Balancer].startRequest(r) })
	}
}

// explain reports an event of the run to Options.Explain.
func (w *world) explain(format string, args ...any) {
	if w.options.Explain != nil {
		w.options.Explain("%9.3f  "+format, append([]any{(w.now - start).Seconds()}, args...)...)
	}
}
