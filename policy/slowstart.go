package policy

import "time"

const (
	// headroom is the capacity of a server in multiples of its typical load: half of the fleet may be lost.
	headroom = 2
	// maxLoad is the load, as a fraction of capacity, from which a server counts as nearly full.
	maxLoad = 0.75
	// maxLoadStep lowers maxLoad for each further rank of the server, as a fraction of capacity.
	maxLoadStep = 0.03
	// slowStartRanks is how many top ranks of a key may be filled by a server in slow start.
	slowStartRanks = 8.0
	// slowStartMargin reduces the probability to use a cold server, as the request rate varies.
	slowStartMargin = 0.75
)

// capacityShare returns the minimum share of its capacity that a server has at its age.
func (b *Balancer) capacityShare(now time.Duration, s *server) float64 {
	age := max(now-s.Started, 0)
	if s.Started <= 0 || age >= b.settings.WarmAfter {
		return 1
	}
	return b.settings.ColdCapacityShare +
		(1-b.settings.ColdCapacityShare)*float64(age)/float64(b.settings.WarmAfter)
}

// withinSlowStart reports whether a server that may be in slow start can be sent one more request.
func (b *Balancer) withinSlowStart(now time.Duration, r *request, s *server) bool {
	capacity := b.capacityShare(now, s)
	if capacity >= 1 {
		return true
	}
	// what it may be sent within an OverloadSpan, as a share of what it can take when warm
	share := b.settings.OverloadFactor * capacity *
		float64(b.settings.OverloadSpan) / float64(b.settings.WarmAfter)
	if b.largeFleet() {
		return b.withinExpectedShare(now, r, s, share)
	}
	return b.withinDrawnBudget(now, r, s, capacity, share)
}

// withinExpectedShare decides in a large fleet: the probability to use the server is this balancer's part of
// what the server may be sent, divided by the requests that arrive here and may go there.
func (b *Balancer) withinExpectedShare(now time.Duration, r *request, s *server, share float64) bool {
	// this balancer's part of the connections of the server when it is warm
	warmConnections := max(b.settings.QuotaConnections/b.totalWeight/float64(b.settings.Siblings),
		b.typicalConnections(now)) * s.Weight
	// the share of the requests arriving here that may go to the server
	reach := max(b.keyShare(r), min(slowStartRanks/float64(len(b.list)), 1))
	arriving := max(b.requestRate.Rate(now, b.settings.OverloadSpan),
		2*warmConnections*float64(r.reconnects)) * reach
	return r.rank <= slowStartRanks && r.draw(b, s)*arriving < slowStartMargin*warmConnections*share
}

// withinDrawnBudget decides in a small fleet: once per OverloadSpan the balancer draws its budget for the
// server from the connections that it typically holds. Beyond the budget, a key that is new to the balancer
// may be sent there with some probability.
func (b *Balancer) withinDrawnBudget(now time.Duration, r *request, s *server, capacity, share float64) bool {
	budget := headroom * b.typicalConnections(now) * s.Weight * share
	if now-s.slowStartAt >= b.settings.OverloadSpan {
		s.slowStartBudget = int(budget + b.rng.Float64())
		s.slowStartDraw = b.rng.Float64()
		s.slowStartAt = now
	}
	if s.slowStartBudget > 0 {
		return true
	}
	probability := capacity / 2
	if r.reconnects > 0 {
		probability /= 2
	}
	newKey := b.keyCounts[r.keyHash] <= 1 && r.attempts == 0
	return newKey && s.slowStartDraw < probability && now-b.beyondBudgetAt >= b.settings.OverloadSpan
}

// TakeOver is called when this instance takes over from another process of the same balancer, which may just
// have spent the slow start budgets of cold servers; they count as spent.
func (b *Balancer) TakeOver(now time.Duration) {
	b.beyondBudgetAt = now
	for _, s := range b.list {
		s.slowStartBudget, s.slowStartAt = 0, now
	}
}

// typicalConnections returns how many connections of this balancer a warm server of size 1 holds on average,
// but at least its part of a single one.
func (b *Balancer) typicalConnections(now time.Duration) float64 {
	if now-b.typicalAt >= b.settings.OverloadSpan {
		open, weight := 0.0, 0.0
		for _, s := range b.list {
			open, weight = open+float64(s.established), weight+s.Weight*b.capacityShare(now, s)
		}
		b.typicalAt, b.typicalOpen = now, max(open/weight, 1/float64(b.settings.Siblings))
	}
	return b.typicalOpen
}
