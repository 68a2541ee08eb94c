// Package scale adapts decisions to the number of balancers that share a list of servers. Its functions are pure.
package scale

import (
	"cmp"
	"math"
	"time"
)

// IsLargeFleet reports whether so many balancers share the listed servers that the connections of one balancer to a
// server say almost nothing about the server's load: there are more balancers than servers, and more than smallFleet.
func IsLargeFleet(siblings, listed int) bool { return siblings > max(listed, smallFleet) }

const smallFleet = 8

// IntervalFactor returns the factor by which the intervals between probes of a server grow with the fleet. The
// intervals were measured with up to referenceFleet balancers that all had connections to the server. In a larger
// fleet, the number of balancers with connections to a server is estimated from this balancer's mean number of
// connections per server, and all of them together probe it no more often than referenceFleet balancers would.
func IntervalFactor(siblings, established, listed int) float64 {
	holders := float64(siblings) * min(float64(established)/float64(max(listed, 1)), 1)
	return max(holders/referenceFleet, 1)
}

const referenceFleet = 4

// RateEstimator estimates the rate of requests at a balancer that receives few. It is a counter with exponential decay.
type RateEstimator struct {
	weightedCount        float64
	updatedAt, startedAt time.Duration // the time of the last update, and of the first request
}

const windowSpans = 10 // the time constant of the decay, in spans

func decay(elapsed, span time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / (windowSpans * span).Seconds())
}

// Add counts a request.
func (r *RateEstimator) Add(now, span time.Duration) {
	r.weightedCount, r.updatedAt, r.startedAt = 1+r.weightedCount*decay(now-r.updatedAt, span), now, cmp.Or(r.startedAt, now)
}

// Rate returns the number of requests per span. It corrects for the time since the first request, because otherwise the
// rate would be underestimated just after the start.
func (r *RateEstimator) Rate(now, span time.Duration) float64 {
	return r.weightedCount / (1 + windowSpans*(1-decay(now-r.startedAt, span)))
}
