package cells

import (
	"math"
	"time"

	"tealtiller/policy"
)

// leastAway is the least time that a client stays away whom a cell refused where nothing tells when there is room.
const leastAway = 100 * time.Millisecond

// Request takes a client's request: it goes to its cell's module, or where that is full to the one that it overflows
// to, or is refused at once.
func (f *Fleet) Request(now time.Duration, q policy.Request) {
	c, from, misplaced := f.root, (*cell)(nil), false
	if f.plan != nil {
		home, other, since := f.plan.home(now, q.Tenant, q.Key)
		c = f.named(home)
		if q.MidFlow {
			c = f.holder(now, q.Key, c, other, since)
			misplaced = c.name != home
		} else if wait, why := f.refusal(now, c); wait > 0 {
			if from, c = c, f.overflow(now, c); c == nil {
				*why++
				f.host.Refuse(q.ID, wait+spread(q.ID, wait), policy.CellLimit)
				return
			}
		}
	}
	f.track(q, c, from, now).misplaced = misplaced
	c.module.Request(now, q)
}

// holder is the cell in which a flight's mid-flow arrivals are tried first: of those where it may be established, the
// one where most of its connections are that this balancer knows of; without any, the old cell until the connections had
// time to follow their flight.
func (f *Fleet) holder(now time.Duration, flight uint64, home *cell, other string, since time.Duration) *cell {
	best := home
	established := f.flights[flight]
	if other != "" {
		o := f.named(other)
		recent := since > math.MinInt64 && now-since < f.follow(home.name, other)
		if n := established[o]; n > established[home] || n == 0 && established[home] == 0 && recent {
			best = o
		}
	}
	if to := home.limits.OverflowTo; to != "" && established[f.named(to)] > established[best] {
		best = f.named(to)
	}
	return best
}

// follow is how long connections take to follow their flight, as planned.
func (f *Fleet) follow(a, b string) time.Duration {
	for _, m := range f.plan.Moves {
		if m.From == a && m.To == b || m.From == b && m.To == a {
			return time.Duration(float64(m.Duration) * (1 - crossing))
		}
	}
	return 0
}

// refusal tells whether a cell takes nothing new now, for how long about (0 if it does), and what would count it.
func (f *Fleet) refusal(now time.Duration, c *cell) (wait time.Duration, why *int64) {
	switch {
	case c.hosts == 0 && !f.set.GoneServersUsable: // else the module may know better than the list
		return f.away(), &c.count.RefusedNoHost
	case c.limits.MaxConnections > 0 && c.open >= f.part(c.limits.MaxConnections):
		return f.away(), &c.count.RefusedFull
	case c.limits.MaxOpensPerSecond > 0:
		if wait := c.due - now; wait > 0 {
			return wait, &c.count.RefusedTooFast
		}
		each := time.Duration(float64(time.Second) * float64(f.siblings()) / c.limits.MaxOpensPerSecond)
		c.due = max(c.due+each, now+2*each-max(time.Second, each)) // a second's worth may come at once
	}
	return 0, nil
}

// away is how long a client stays away where nothing tells when there is room.
func (f *Fleet) away() time.Duration {
	longest := leastAway
	for _, c := range f.set.Classes {
		longest = max(longest, c.SetupTarget)
	}
	return 2 * longest
}

// spread is a part of a span by chance, the same for the same request.
func spread(id string, span time.Duration) time.Duration {
	return time.Duration(unit(id, "") * float64(span))
}

// part is this balancer's part of a limit of the whole fleet; together they may be over it by one each.
func (f *Fleet) part(limit int) int {
	n := f.siblings()
	return (limit + n - 1) / n
}

// overflow is the cell that takes what its own cannot; nil if none does. Guests go no further.
func (f *Fleet) overflow(now time.Duration, from *cell) *cell {
	if from.limits.OverflowTo == "" {
		return nil
	}
	to := f.named(from.limits.OverflowTo)
	if to.guests >= f.part(to.limits.MaxGuests) || to.limits.MaxGuests == 0 {
		return nil
	}
	if wait, _ := f.refusal(now, to); wait > 0 {
		return nil
	}
	from.count.Overflowed++
	return to
}
