package policy

import (
	"slices"
	"time"
)

// This file says when a request is given up, for which reason, and when its client may come back.

// over tells whether no further attempt may be made, and why.
func (b *Balancer) over(now time.Duration, r *request, last time.Duration) (why Reason, over bool) {
	switch {
	case now >= last:
		return NoTimeLeft, true
	case r.excess && !b.many():
		return Overload, true
	case r.attempts >= r.most:
		return AttemptsUsed, true
	case !r.repeats(now):
		return NotRepeatable, true
	}
	return 0, false
}

// noServer is why a request that finds no server is given up.
func noServer(r *request) Reason {
	if r.excess {
		return Overload
	}
	return NoServer
}

func (b *Balancer) within(moment time.Duration, times []time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, moment-b.set.RetryBudgetSpan)
	return times[i:]
}

// spentUntil tells when the budget has a further attempt, 0 while it has. Danger: retries multiply a failure.
func (b *Balancer) spentUntil(now time.Duration) time.Duration {
	b.again, b.taken = b.within(now, b.again), b.within(now+1, b.taken)
	most := b.set.RetryBudgetBase + b.set.RetryBudgetRatio*float64(len(b.taken))
	if b.set.RetryBudgetSpan <= 0 || float64(len(b.again)+1) <= most {
		return 0
	}
	return append(b.again, now)[0] + b.set.RetryBudgetSpan + 1
}

// giveUp answers at once, refused only where a repeat does no harm, to come back when the cause ends.
func (b *Balancer) giveUp(now time.Duration, r *request, ends time.Duration, why Reason) {
	away := 2 * b.set.patience
	if now < ends && ends < never {
		away = ends - now
	}
	if r.ranAt == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.DedupScope == ScopeAll {
		b.host.Refuse(r.id, away+time.Duration(b.rng.Float64()*float64(away)), why)
	} else {
		b.host.Fail(r.id)
	}
	delete(b.reqs, r.id)
}
