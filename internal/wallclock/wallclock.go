// Package wallclock translates moments of the wall clock, which may be stepped forward or back at any time, into
// readings of a clock that runs on. It is pure: readings come in as arguments.
package wallclock

import (
	"math"
	"slices"
	"time"
)

// Clock remembers by how much the wall clock has been ahead of the running clock, and when. The running clock counts from
// the wall clock's reading at the process's start, so the first of its eras is ahead by nothing.
type Clock struct {
	eras   []era
	looked time.Duration
}

// era is a span of the running clock in which the wall clock was ahead of it by one amount. A step is noticed some time
// after it was made, so the spans of two neighbours share the time between the two looks.
type era struct {
	from, to time.Duration
	ahead    time.Duration
}

// leastStep is what counts as a step. The two clocks are not read in one instant, so they may differ by less.
const leastStep = 100 * time.Millisecond

// mostEras bounds what is remembered. Of more the first is kept, which holds all that was before this process, and the
// latest.
const mostEras = 64

// Bounds of what a reading can be, far enough from those of the type for sums.
const earliest, latest = math.MinInt64 / 2, math.MaxInt64 / 2

// New makes a clock that has seen no step.
func New(now time.Duration) *Clock {
	return &Clock{eras: []era{{from: earliest, to: latest}}, looked: now}
}

// Observe takes by how much the wall clock is ahead now, and tells by how much it was stepped since the last look.
func (c *Clock) Observe(now, ahead time.Duration) (step time.Duration) {
	last := &c.eras[len(c.eras)-1]
	if step = ahead - last.ahead; step.Abs() < leastStep {
		c.looked = now
		return 0
	}
	last.to = now
	c.eras = append(c.eras, era{from: c.looked, to: latest, ahead: ahead})
	c.looked = now
	if len(c.eras) > mostEras {
		c.eras = slices.Delete(c.eras, 1, 2)
	}
	return step
}

// WallTime is the wall clock's reading as of the last look.
func (c *Clock) WallTime(now time.Duration) time.Duration { return now + c.eras[len(c.eras)-1].ahead }

// Moment is the latest moment up to now at which the wall clock may have shown a reading; where it has never shown it, now.
// A step back makes it show some readings twice, and what began then is never taken to be older than it is.
//
// What began between two steps that no look has separated, and what was read before this process started, on a clock that was stepped since, cannot be known from the reading alone.
func (c *Clock) Moment(now, reading time.Duration) time.Duration {
	for _, e := range slices.Backward(c.eras) {
		at := reading - e.ahead
		if at >= e.from-leastStep && at <= min(e.to, now)+leastStep {
			return min(at, now)
		}
	}
	return now
}
