package drainaudit

import "time"

// sixClock is the clock of lists that are asked for, as it stands after some of the calls.
type sixClock struct {
	earliest
	reached time.Duration // since when discovery could be reached
	silent  bool          // a call that fell silent has moved it
}

func (c *sixClock) moves(at time.Duration, by string) { c.at, c.by = max(c.at, at), by }

// sixSeconds is the clock of lists that are asked for: a change counts as told 6 s after discovery had it and could be
// reached, whatever calls failed; what a sound long poll missed by falling silent 2 s after its wait, if that is later.
// A process that starts after that is told at once.
func (a *Audit) sixSeconds(p *process, made time.Duration) (at time.Duration, by string) {
	clock := a.sinceReached(made)
	if clock.at < p.started {
		clock.at, clock.by = p.started, "long before this process started"
	}
	for i, c := range p.calls {
		began, silent := c.began, c.silent
		first := i == 0 && a.exempts(FirstCalls)
		if first && began-p.started <= promptCall {
			began = p.started
			if silent <= c.over() && c.result != answered {
				silent = min(silent, clock.at)
				clock.reached = max(clock.reached, c.silent)
			}
		}
		if began > clock.at {
			break
		}
		switch {
		case a.exempts(RefusedCalls) && c.result == refused && c.ended >= clock.reached:
			clock.reached = a.reachable(c.ended)
			clock.moves(clock.reached+toldAnyway, "6 s after discovery last refused a call")
		case first && c.silent == never && c.result != refused:
			clock.firstCall(p, c)
		default:
			a.fellSilent(&clock, c, silent)
		}
	}
	return clock.at, clock.by
}

// sinceReached is the clock without any call: outages alone move it.
func (a *Audit) sinceReached(made time.Duration) sixClock {
	clock := sixClock{reached: a.reachable(made)}
	clock.at, clock.by = clock.reached+toldAnyway, "6 s after discovery had it and could be reached"
	for _, o := range a.outages {
		if o.from >= clock.reached && o.from < clock.at {
			clock.reached = o.to
			clock.at = clock.reached + toldAnyway
		}
	}
	return clock
}

// firstCall moves the clock by the first call of a process.
func (c *sixClock) firstCall(p *process, call *Call) {
	switch {
	case call.result == answered && call.ended > c.at:
		c.moves(call.ended, "the first call was answered")
	case call.result == open:
		c.moves(never, "the first call is under way")
	case call.result == failed:
		c.moves(p.started+toldAnyway, "6 s after the start, as the first call failed")
	}
}

// fellSilent moves the clock by a call that fell silent at a moment.
func (a *Audit) fellSilent(clock *sixClock, c *Call, silent time.Duration) {
	if c.over() <= clock.reached || clock.silent && !a.exempts(FurtherSilence) {
		return
	}
	switch longPoll := !c.afterFailure && c.wait > toldAnyway-afterLongPoll; {
	case silent < clock.at && longPoll:
		clock.reached, clock.silent = max(clock.reached, c.silent), true
		clock.moves(max(c.silent+toldAnyway, c.began+c.wait+afterLongPoll), "2 s after the wait of a silent long poll")
	case silent <= clock.at:
		clock.reached, clock.silent = max(clock.reached, c.silent), true
		clock.moves(clock.reached+toldAnyway, "6 s after a call fell silent")
	}
}
