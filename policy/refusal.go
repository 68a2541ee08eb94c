package policy

import (
	"slices"
	"time"
)

// This file decides when a request is given up, for which reason, and when its client may come back.

// noMoreAttempts reports whether the request may have no further attempt, and why.
func (b *Balancer) noMoreAttempts(now time.Duration, r *request, last time.Duration) (why Reason, over bool) {
	switch {
	case now >= last:
		return NoTimeLeft, true
	case r.shed && !b.largeFleet():
		return Overload, true
	case r.attempts >= r.maxAttempts:
		return AttemptsUsed, true
	case !r.mayRepeat(now):
		return NotRepeatable, true
	}
	return 0, false
}

// noServerReason returns why a request that finds no eligible server is given up.
func noServerReason(r *request) Reason {
	if r.shed {
		return Overload
	}
	return NoServer
}

// withinBudgetSpan returns those of the ascending times that lie in the span of the retry budget that ends at
// moment.
func (b *Balancer) withinBudgetSpan(moment time.Duration, times []time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, moment-b.settings.RetryBudgetSpan)
	return times[i:]
}

// budgetSpentUntil returns when the retry budget next allows an attempt, or 0 if it allows one now. Without a
// budget, retries would multiply the load of a failure.
func (b *Balancer) budgetSpentUntil(now time.Duration) time.Duration {
	b.retryTimes, b.requestTimes = b.withinBudgetSpan(now, b.retryTimes),
		b.withinBudgetSpan(now+1, b.requestTimes)
	allowed := b.settings.RetryBudgetBase + b.settings.RetryBudgetRatio*float64(len(b.requestTimes))
	if b.settings.RetryBudgetSpan <= 0 || float64(len(b.retryTimes)+1) <= allowed {
		return 0
	}
	return append(b.retryTimes, now)[0] + b.settings.RetryBudgetSpan + 1
}

// giveUp answers a request at once. It is refused, with a hint to retry when the cause ends, only if
// repeating it does no harm; otherwise it fails.
func (b *Balancer) giveUp(now time.Duration, r *request, ends time.Duration, why Reason) {
	retryAfter := 2 * b.settings.longestSetupTarget
	if now < ends && ends < never {
		retryAfter = ends - now
	}
	if r.mayHaveRunOn == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.DedupScope == ScopeAll {
		b.host.Refuse(r.id, retryAfter+time.Duration(b.rng.Float64()*float64(retryAfter)), why)
	} else {
		b.host.Fail(r.id)
	}
	delete(b.requests, r.id)
}
