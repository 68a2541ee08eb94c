package drainaudit

import "time"

// pollClock is when a change counts as notified where lists are polled, after some of the calls have been applied.
type pollClock struct {
	earliest
	reachableSince time.Duration // from when on discovery could be reached
	movedBySilence bool          // a silent call has postponed the notification
}

// postpone moves the notification to a time, unless it is later already.
func (c *pollClock) postpone(at time.Duration, reason string) { c.at, c.reason = max(c.at, at), reason }

// pollDeadline returns when a change counts as notified where lists are polled: 6 s after discovery had it and could be
// reached, whatever calls failed. A change that a long poll missed by falling silent counts 2 s after the maximum wait
// of the poll, if that is later; a poll that followed a failed call does not have this limit. A process that starts
// later than that is notified at its start.
func (a *Audit) pollDeadline(p *process, published time.Duration) (at time.Duration, reason string) {
	poll := a.pollClockWithoutCalls(published)
	if poll.at < p.started {
		poll.at, poll.reason = p.started, "long before this process started"
	}
	for i, c := range p.calls {
		began, silentSince := c.began, c.silentSince
		first := i == 0 && a.exempts(FirstCalls)
		if first && began-p.started <= promptCallLimit {
			began = p.started
			if silentSince <= c.effectiveEnd() && c.result != answered {
				silentSince = min(silentSince, poll.at)
				poll.reachableSince = max(poll.reachableSince, c.silentSince)
			}
		}
		if began > poll.at {
			break
		}
		switch {
		case a.exempts(RefusedCalls) && c.result == refused && c.ended >= poll.reachableSince:
			poll.reachableSince = a.nextReachable(c.ended)
			poll.postpone(poll.reachableSince+notifiedWithin, "6 s after discovery last refused a call")
		case first && c.silentSince == never && c.result != refused:
			poll.applyFirstCall(p, c)
		default:
			a.applySilentCall(&poll, c, silentSince)
		}
	}
	return poll.at, poll.reason
}

// pollClockWithoutCalls returns the clock before any call is applied: only outages have postponed it.
func (a *Audit) pollClockWithoutCalls(published time.Duration) pollClock {
	poll := pollClock{reachableSince: a.nextReachable(published)}
	poll.at, poll.reason = poll.reachableSince+notifiedWithin, "6 s after discovery had it and could be reached"
	for _, outage := range a.outages {
		if outage.from >= poll.reachableSince && outage.from < poll.at {
			poll.reachableSince = outage.to
			poll.at = poll.reachableSince + notifiedWithin
		}
	}
	return poll
}

// applyFirstCall applies the first call of a process.
func (c *pollClock) applyFirstCall(p *process, call *Call) {
	switch {
	case call.result == answered && call.ended > c.at:
		c.postpone(call.ended, "the first call was answered")
	case call.result == open:
		c.postpone(never, "the first call is under way")
	case call.result == failed:
		c.postpone(p.started+notifiedWithin, "6 s after the start, as the first call failed")
	}
}

// applySilentCall postpones the notification if the call fell silent before it. silentSince is the time from which on
// the call counts as silent for this comparison. Only the first silent call postpones it, unless FurtherSilence is
// exempted.
func (a *Audit) applySilentCall(poll *pollClock, c *Call, silentSince time.Duration) {
	if c.effectiveEnd() <= poll.reachableSince || poll.movedBySilence && !a.exempts(FurtherSilence) {
		return
	}
	switch longPoll := !c.afterFailure && c.maxWait > notifiedWithin-longPollMargin; {
	case silentSince < poll.at && longPoll:
		poll.reachableSince, poll.movedBySilence = max(poll.reachableSince, c.silentSince), true
		poll.postpone(max(c.silentSince+notifiedWithin, c.began+c.maxWait+longPollMargin), "2 s after the wait of a silent long poll")
	case silentSince <= poll.at:
		poll.reachableSince, poll.movedBySilence = max(poll.reachableSince, c.silentSince), true
		poll.postpone(poll.reachableSince+notifiedWithin, "6 s after a call fell silent")
	}
}
