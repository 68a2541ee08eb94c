// Package wallclock converts wall-clock readings, which may be stepped forward or back at any time, to monotonic time.
// It reads no clock itself: readings are passed in.
package wallclock

import (
	"math"
	"slices"
	"time"
)

// Clock records the offset of the wall clock from the monotonic clock over time. The monotonic clock starts at the wall
// clock's reading at the start of the process, so the offset of the first interval is 0.
type Clock struct {
	intervals  []interval
	observedAt time.Duration
}

// interval is a span of monotonic time with a constant offset. A step is noticed some time after it was made, so two
// neighbouring intervals overlap in the time between the two observations.
type interval struct {
	from, to time.Duration
	offset   time.Duration
}

// minStep is the smallest step. The two clocks are not read at the same instant, so their difference varies by less
// than this.
const minStep = 100 * time.Millisecond

// maxIntervals limits the intervals kept. Beyond it, the first one, which covers all time before this process, and the
// latest ones are kept.
const maxIntervals = 64

// Bounds of readings, far enough from the limits of the type that sums do not overflow.
const earliest, latest = math.MinInt64 / 2, math.MaxInt64 / 2

// New returns a clock that has observed no step.
func New(now time.Duration) *Clock {
	return &Clock{intervals: []interval{{from: earliest, to: latest}}, observedAt: now}
}

// Observe records the current offset of the wall clock, and returns by how much the clock was stepped since the last
// observation.
func (c *Clock) Observe(now, offset time.Duration) (step time.Duration) {
	last := &c.intervals[len(c.intervals)-1]
	if step = offset - last.offset; step.Abs() < minStep {
		c.observedAt = now
		return 0
	}
	last.to = now
	c.intervals = append(c.intervals, interval{from: c.observedAt, to: latest, offset: offset})
	c.observedAt = now
	if len(c.intervals) > maxIntervals {
		c.intervals = slices.Delete(c.intervals, 1, 2)
	}
	return step
}

// WallTime returns the wall clock's reading, with the offset of the last observation.
func (c *Clock) WallTime(now time.Duration) time.Duration {
	return now + c.intervals[len(c.intervals)-1].offset
}

// Monotonic returns the latest time up to now at which the wall clock may have shown a reading, or now if it has never
// shown it. After a step back the clock shows some readings twice; taking the later time never makes anything appear
// older than it is.
//
// The result may be wrong for an event between two steps without an observation between them, and for a reading from
// before this process started, on a clock that has been stepped since: the reading alone does not determine their time.
func (c *Clock) Monotonic(now, reading time.Duration) time.Duration {
	for _, e := range slices.Backward(c.intervals) {
		at := reading - e.offset
		if at >= e.from-minStep && at <= min(e.to, now)+minStep {
			return min(at, now)
		}
	}
	return now
}
