// Package scale decides what changes with the number of balancers that share a list of servers. It is pure: figures come
// in, answers go out.
package scale

import (
	"cmp"
	"math"
	"time"
)

// IsLargeFleet tells whether so many balancers share so many listed servers that what one holds of a server says next to nothing
// of what that holds: there are more of them than servers, and more than a few.
func IsLargeFleet(siblings, listed int) bool { return siblings > max(listed, few) }

const few = 8

// IntervalFactor is by how much the intervals between questions to a server grow with the fleet. They were measured with up to
// usualFleet balancers that all hold connections at it. Of many, those hold some that by our own part of the
// connections it should have, on the mean, and all together ask it no more often.
func IntervalFactor(siblings, standing, listed int) float64 {
	holders := float64(siblings) * min(float64(standing)/float64(max(listed, 1)), 1)
	return max(holders/usualFleet, 1)
}

const usualFleet = 4

// RateEstimator is how often requests come, at one that sees few: each counts less as time goes on.
type RateEstimator struct {
	seen     float64
	at, from time.Duration // as of when, and when the first came
}

const spans = 10 // over which requests are counted

func fade(ago, span time.Duration) float64 {
	return math.Exp(-ago.Seconds() / (spans * span).Seconds())
}

// Add counts a request.
func (r *RateEstimator) Add(now, span time.Duration) {
	r.seen, r.at, r.from = 1+r.seen*fade(now-r.at, span), now, cmp.Or(r.from, now)
}

// Rate is how many come in a span. Danger: counted over all spans, those of one that has just started would seem rare.
func (r *RateEstimator) Rate(now, span time.Duration) float64 {
	return r.seen / (1 + spans*(1-fade(now-r.from, span)))
}
