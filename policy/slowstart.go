package policy

import "time"

const (
	headroom       = 2    // times a server's usual load is what it bears, as half may be lost
	mostLoad       = 0.75 // of capacity: near the full
	rankStep       = 0.03 // of capacity, for each further rank
	slowStartRanks = 8.0  // of a key's ranks, those in which a server in slow start counts
	slowStartShare = 0.75 // of our part over what comes, as what comes varies
)

// capacityShare is the least share of its capacity that a server has.
func (b *Balancer) capacityShare(now time.Duration, s *server) float64 {
	age := max(now-s.Started, 0)
	if s.Started <= 0 || age >= b.set.WarmAfter {
		return 1
	}
	return b.set.ColdCapacityShare + (1-b.set.ColdCapacityShare)*float64(age)/float64(b.set.WarmAfter)
}

// withinSlowStart tells whether a server that may be in slow start can be sent one more.
func (b *Balancer) withinSlowStart(now time.Duration, r *request, s *server) bool {
	warm := b.capacityShare(now, s)
	if warm >= 1 {
		return true
	}
	// what it may be sent in a span of Fall, as a share of what it bears
	share := b.set.OverloadFactor * warm * float64(b.set.OverloadSpan) / float64(b.set.WarmAfter)
	if b.many() {
		return b.withinPartOfMany(now, r, s, share)
	}
	return b.withinDrawnPart(now, r, s, warm, share)
}

// withinPartOfMany: each of many balancers has the chance of its part over what comes to it.
func (b *Balancer) withinPartOfMany(now time.Duration, r *request, s *server, share float64) bool {
	// what the server bears when all is well, our part of it
	bears := max(b.set.QuotaConnections/b.size/float64(b.set.Siblings), b.usual(now)) * s.Weight
	// of what comes here, the part that may go there
	reach := max(b.share(r), min(slowStartRanks/float64(len(b.list)), 1))
	comes := max(b.rush.Rate(now, b.set.OverloadSpan), 2*bears*float64(r.returns)) * reach
	return r.rank <= slowStartRanks && r.chance(b, s)*comes < slowStartShare*bears*share
}

// withinDrawnPart: once a Fall a balancer of few draws its part by what it holds; beyond it a key that is new
// to it has a chance.
func (b *Balancer) withinDrawnPart(now time.Duration, r *request, s *server, warm, share float64) bool {
	part := headroom * b.usual(now) * s.Weight * share
	if now-s.slowStartAt >= b.set.OverloadSpan {
		s.slowStartLeft = int(part + b.rng.Float64())
		s.slowStartLuck = b.rng.Float64()
		s.slowStartAt = now
	}
	if s.slowStartLeft > 0 {
		return true
	}
	chance := warm / 2
	if r.returns > 0 {
		chance /= 2
	}
	newKey := b.keys[r.hash] <= 1 && r.attempts == 0
	return newKey && s.slowStartLuck < chance && now-b.roomAt >= b.set.OverloadSpan
}

// TakeOver takes over from another process of this balancer, which may just have spent the cold budgets.
func (b *Balancer) TakeOver(now time.Duration) {
	b.roomAt = now
	for _, s := range b.list {
		s.slowStartLeft, s.slowStartAt = 0, now
	}
}

// usual is how many of our connections a server of size 1 bears when warm; at least our part of one.
func (b *Balancer) usual(now time.Duration) float64 {
	if now-b.usualAt >= b.set.OverloadSpan {
		open, size := 0.0, 0.0
		for _, s := range b.list {
			open, size = open+float64(s.standing), size+s.Weight*b.capacityShare(now, s)
		}
		b.usualAt, b.usualOpen = now, max(open/size, 1/float64(b.set.Siblings))
	}
	return b.usualOpen
}
