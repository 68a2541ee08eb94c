package drainaudit

import "time"

// earliest is the earliest of several times, and the time limit that it comes from.
type earliest struct {
	at     time.Duration
	reason string
}

// consider takes a time over if it is earlier.
func (e *earliest) consider(at time.Duration, reason string) {
	if at < e.at {
		e.at, e.reason = at, reason
	}
}

// notifiedAt returns when a change counts as notified to a process, by the time limit that expires first.
func (a *Audit) notifiedAt(p *process, index int) (at time.Duration, reason string) {
	first := earliest{at: never}
	if index < p.knownRevision {
		first.consider(p.started, "the list in the configuration")
	}
	for _, answer := range p.answers {
		if index < answer.revision {
			first.consider(answer.at, "written by discovery")
			break
		}
	}
	if a.rules.Pushed {
		at, reason := a.agentDeadline(p, a.changes[index].at)
		first.consider(at, reason)
		return first.at, first.reason
	}
	published := a.changes[index].at
	at, reason = a.pollDeadline(p, published)
	first.consider(at, reason)
	first.consider(a.unwatchedDeadline(p, published), "no watch for the time of AskWithin")
	first.consider(a.reloadDeadline(p, published), "4 s after SIGHUP")
	return first.at, first.reason
}

// nextReachable returns the first moment from a time on at which discovery is not down.
func (a *Audit) nextReachable(at time.Duration) time.Duration {
	for _, outage := range a.outages {
		if outage.from <= at && at < outage.to {
			at = outage.to
		}
	}
	return at
}

// agentDeadline returns when a change counts as notified where lists are pushed: as soon as the agent has it, whether
// or not a watch is open, but not before the process starts. What the agent receives at the end of an outage counts at
// once; a change that would count within 4 s after a SIGHUP counts at the end of these 4 s. A change that a silent watch
// missed counts 6 s after the watch fell silent.
func (a *Audit) agentDeadline(p *process, published time.Duration) (at time.Duration, reason string) {
	at, reason = a.nextReachable(max(published, p.started)), "the agent has it"
	for _, reloaded := range p.reloads {
		if reloaded <= at && at < reloaded+reloadLimit {
			at, reason = reloaded+reloadLimit, "the agent has it, 4 s after SIGHUP"
		}
	}
	for i, c := range p.calls {
		first := a.exempts(AgentFirstCalls) && i == 0 && at <= c.began && c.began-p.started <= promptCallLimit
		follows := i > 0 && p.calls[i-1].endedShortlyBefore(at) && at < c.began && c.began-p.calls[i-1].effectiveEnd() <= silentGap
		switch {
		case (first || follows || c.isOpenAt(at) || c.endedShortlyBefore(at)) && c.silentSince <= max(at, c.began):
			at, reason = a.nextReachable(max(at, c.silentSince+notifiedWithin)), "6 s after the watch fell silent"
		case first && c.result == answered:
			at, reason = c.ended, "the first call was answered"
		case first && c.result == open:
			return never, "the first call is under way"
		}
	}
	return at, reason
}

// unwatchedDeadline returns when a change counts as notified to a balancer without a watch. Such a balancer may use its
// list for AskWithin after its last call, four times as long if that call failed, counted anew from the end of an
// outage. A change counts that long after the last call or, if that is later, after discovery had it, unless the next
// call begins first.
func (a *Audit) unwatchedDeadline(p *process, published time.Duration) time.Duration {
	lastEnd, lastFailed := time.Duration(0), false // the latest end of the calls so far, and whether that call failed
	for _, c := range p.calls {
		if c.ended >= lastEnd {
			lastEnd, lastFailed = c.ended, c.result != answered
		}
		nextBegan := c.nextBegan
		if nextBegan <= published || lastEnd == never || nextBegan-lastEnd <= watchGap {
			continue
		}
		within := a.rules.AskWithin
		if lastFailed {
			within *= failedCallFactor
		}
		if at := max(published, a.nextReachable(lastEnd)) + within; at < nextBegan {
			return at
		}
	}
	return never
}

// reloadDeadline returns when a change counts as notified after a SIGHUP that moves discovery: all that discovery had
// by then counts 4 s later, counted anew from a call to the new discovery that was refused or fell silent.
func (a *Audit) reloadDeadline(p *process, published time.Duration) time.Duration {
	for _, reloaded := range p.reloads {
		if published > reloaded {
			continue
		}
		reachableSince := a.nextReachable(reloaded)
		for _, c := range p.calls {
			switch {
			case c.began < reloaded || c.began >= reachableSince+reloadLimit:
			case c.result == refused && c.ended >= reachableSince:
				reachableSince = a.nextReachable(c.ended)
			case c.silentSince != never && c.silentSince > reachableSince:
				reachableSince = c.silentSince
			}
		}
		return reachableSince + reloadLimit
	}
	return never
}
