package cells

import (
	"math"
	"time"

	"tealtiller/policy"
)

// minRetryAfter bounds the default retry time from below if no class has a longer set-up target.
const minRetryAfter = 100 * time.Millisecond

// Request passes a client's request to its home cell. If that cell is at a limit or has no host in service, the request
// goes to the overflow cell or is refused at once.
func (f *Fleet) Request(now time.Duration, q policy.Request) {
	c, from, misplaced := f.root, (*cell)(nil), false
	if f.plan != nil {
		home, other, since := f.plan.resolveHome(now, q.Tenant, q.Key)
		c = f.cellNamed(home)
		if q.MidFlow {
			c = f.midFlowCell(now, q.Key, c, other, since)
			misplaced = c.name != home
		} else if wait, refusals := f.checkLimits(now, c); wait > 0 {
			if from, c = c, f.overflowTarget(now, c); c == nil {
				*refusals++
				f.host.Refuse(q.ID, wait+retryJitter(q.ID, wait), policy.CellLimit)
				return
			}
		}
	}
	f.track(q, c, from, now).misplaced = misplaced
	c.balancer.Request(now, q)
}

// midFlowCell returns the cell in which a mid-flow request is tried first. Among the home cell, the other cell of a
// move and the overflow cell, it is the one with the most connections of the flight that this balancer knows. If it
// knows none, it is the other cell of the move until the connections have had time to follow their flight.
func (f *Fleet) midFlowCell(now time.Duration, flight uint64, home *cell, other string, since time.Duration) *cell {
	best := home
	established := f.flightConnections[flight]
	if other != "" {
		otherCell := f.cellNamed(other)
		recent := since > math.MinInt64 && now-since < f.followTime(home.name, other)
		if n := established[otherCell]; n > established[home] || n == 0 && established[home] == 0 && recent {
			best = otherCell
		}
	}
	if to := home.limits.OverflowTo; to != "" && established[f.cellNamed(to)] > established[best] {
		best = f.cellNamed(to)
	}
	return best
}

// followTime returns how long a move between two cells plans for connections to follow their flight.
func (f *Fleet) followTime(a, b string) time.Duration {
	for _, m := range f.plan.Moves {
		if m.From == a && m.To == b || m.From == b && m.To == a {
			return time.Duration(float64(m.Duration) * (1 - crossingShare))
		}
	}
	return 0
}

// checkLimits checks a new connection against a cell's limits. If the cell accepts it, the result is 0, and the
// connection counts towards MaxOpensPerSecond. Otherwise it returns the time after which to retry, and the counter of
// such refusals.
func (f *Fleet) checkLimits(now time.Duration, c *cell) (wait time.Duration, refusals *int64) {
	switch {
	// With GoneServersUsable, the cell's balancer may still use hosts that the list calls gone, so it decides itself.
	case c.hostsInService == 0 && !f.settings.GoneServersUsable:
		return f.defaultRetryAfter(), &c.counts.RefusedNoHost
	case c.limits.MaxConnections > 0 && c.open >= f.limitShare(c.limits.MaxConnections):
		return f.defaultRetryAfter(), &c.counts.RefusedFull
	case c.limits.MaxOpensPerSecond > 0:
		if wait := c.nextOpenAt - now; wait > 0 {
			return wait, &c.counts.RefusedTooFast
		}
		interval := time.Duration(float64(time.Second) * float64(f.siblings()) / c.limits.MaxOpensPerSecond)
		// Bursts of up to one second's quota are accepted.
		c.nextOpenAt = max(c.nextOpenAt+interval, now+2*interval-max(time.Second, interval))
	}
	return 0, nil
}

// defaultRetryAfter returns the retry time for refusals where the time at which the cell has capacity again is unknown.
func (f *Fleet) defaultRetryAfter() time.Duration {
	longest := minRetryAfter
	for _, c := range f.settings.Classes {
		longest = max(longest, c.SetupTarget)
	}
	return 2 * longest
}

// retryJitter returns a pseudo-random part of maxJitter that is the same for the same request.
func retryJitter(id string, maxJitter time.Duration) time.Duration {
	return time.Duration(unitHash(id, "") * float64(maxJitter))
}

// limitShare returns this balancer's share of a fleet-wide limit, rounded up: each balancer may add up to one to the
// total.
func (f *Fleet) limitShare(limit int) int {
	n := f.siblings()
	return (limit + n - 1) / n
}

// overflowTarget returns the cell that accepts a request which cell from cannot take, or nil if there is none. Overflow
// is not transitive: if the target cannot take the request either, it is refused.
func (f *Fleet) overflowTarget(now time.Duration, from *cell) *cell {
	if from.limits.OverflowTo == "" {
		return nil
	}
	to := f.cellNamed(from.limits.OverflowTo)
	if to.guests >= f.limitShare(to.limits.MaxGuests) || to.limits.MaxGuests == 0 {
		return nil
	}
	if wait, _ := f.checkLimits(now, to); wait > 0 {
		return nil
	}
	from.counts.Overflowed++
	return to
}
