package policy

import (
	"math"
	"slices"
	"time"

	"tealtiller/internal/scale"
)

// The reasons to pass over a server. From unlisted on they are guesses, which a request may ignore.
const (
	eligible        = iota
	draining        // new requests on a draining server would violate the drain rule
	tried           // it would answer the same again; CARP (3.5) tries the next-best, after rejections too
	otherDedupScope // it would not recognise a duplicate, so a keyed request could take effect twice
	crowded         // a request would delay it further, or is shed because most servers fail
	warmingUp       // a cold server that is sent more than it can do fails and stays down
	unlisted        // the list calls it gone, and may be right
	ejected         // a silent server looks empty, and a few heavy connections can fill one unnoticed
	domainFailing   // its zone or kind fails as a whole, and trying each of its servers would cost an attempt
)

// passOver returns the reason not to send a request to a server, or eligible.
func (b *Balancer) passOver(now time.Duration, r *request, s *server) (reason int) {
	switch {
	case b.leaving(s) && !b.inGrace(now, r, s):
		return draining
	case slices.Contains(r.tried, s):
		return tried
	case r.mayHaveRunOn != nil && r.class.Effect == Keyed &&
		!s.sharesDuplicates(r.class.DedupScope, r.mayHaveRunOn.Server):
		return otherDedupScope
	case r.shed && b.capacityShare(now, s) >= 1,
		b.largeFleet() && !r.staysWithHolder() && b.isFull(now, r, s):
		return crowded
	case !b.withinSlowStart(now, r, s):
		return warmingUp
	case r.staysWithHolder(): // the guesses below do not apply
		return eligible
	case s.State == Gone && !b.listSuspect:
		return unlisted
	case b.isFailing(now, s):
		return ejected
	case b.domainFails(s):
		return domainFailing
	}
	return eligible
}

// leaving reports whether a server drains or is gone. Where gone servers are usable, one that the list merely
// calls gone may be running.
func (b *Balancer) leaving(s *server) bool {
	if s.State == Gone {
		return s.seenDraining || !b.settings.GoneServersUsable
	}
	return s.State == Draining
}

// inGrace reports whether a draining server may still be sent a mid-flow arrival, which it may well hold.
func (b *Balancer) inGrace(now time.Duration, r *request, s *server) bool {
	return r.midFlow && s.State == Draining && now < s.drainNotifiedAt+b.settings.DrainGrace-maxProcessPause
}

// maxProcessPause is how long a process may be paused between reading its clock and writing.
const maxProcessPause = 150 * time.Millisecond

// isFull reports whether, in a large fleet, a server has no capacity left by its last report or is slow. The
// load limit falls with the rank, as each server that holds any connection of a group pays a cost for it. A
// server without a fresh report that may not be probed counts as full while others have one, as it could fill
// up unnoticed.
func (b *Balancer) isFull(now time.Duration, r *request, s *server) bool {
	if now-s.reportedAt >= 3*metricInterval && now-b.reportedAt < 3*metricInterval && !b.mayProbe(now, r) {
		return true
	}
	loaded := now-s.reportedAt < 3*metricInterval && s.load > maxLoad-maxLoadStep*float64(max(r.rank-2, 0))
	return loaded || b.isSlow(now, s) && s.delay >= b.settings.shortestMessageTarget/2
}

// draw returns a random number from 0 to 1 that is fixed for a request and a server.
func (r *request) draw(b *Balancer, s *server) float64 {
	if r.slowStartDraw == 0 {
		r.slowStartDraw = b.rng.Float64()
	}
	return math.Mod(r.slowStartDraw+float64(s.hash)/(1<<32), 1)
}

// staysWithHolder reports whether a mid-flow request should go to the server that holds its connection.
func (r *request) staysWithHolder() bool { return r.midFlow && r.attempts == 0 && !r.holderUnknown }

// sharesDuplicates reports whether two servers discard each other's duplicates.
func (s Server) sharesDuplicates(scope Scope, other Server) bool {
	return scope == ScopeAll || scope == ScopeZone && s.Zone == other.Zone ||
		scope == ScopeCell && s.Cell == other.Cell
}

// walk goes down the ranking and returns the less occupied of the first two eligible servers. If there is
// none, it returns when one may become eligible.
func (b *Balancer) walk(now time.Duration, r *request, overload float64) (top *server, ends time.Duration) {
	ignoreGuesses := overload > 0 || now >= r.holdUntil
	skip, bestScore, bestArrivals, ranked := b.popularitySkip(r), 0, 0, 0
	b.candidates, r.rank = [2]*server{}, 0
	r.holderUnknown = r.midFlow && b.usesReports() && !slices.ContainsFunc(b.list, func(s *server) bool {
		score, _ := b.holderScore(now, s, r.keyHash)
		return score > 0
	})
	if ends = never; len(b.list) == 0 && b.watchPending && now < r.holdUntil {
		ends = now + b.settings.longestSetupTarget/4
	}
	for s := range b.rank(r.keyHash) {
		skip--
		r.rank++
		switch reason := b.passOver(now, r, s); {
		case reason == warmingUp && !b.largeFleet(): // in a large fleet the draw of a request does not change
			ends = min(ends, s.slowStartAt+b.settings.OverloadSpan)
		case reason == crowded && b.settings.Probes && now < r.holdUntil,
			reason > warmingUp && !ignoreGuesses:
			ends = min(ends, r.holdUntil)
		case eligible < reason && reason <= warmingUp:
		case r.staysWithHolder(): // any server but its holder resets the connection
			score, arrivals := b.holderScore(now, s, r.keyHash)
			ranked++
			better := ranked == 2 && arrivals < bestArrivals
			if score > 0 && top != nil {
				better = b.occupancy(s) < b.occupancy(top)
			}
			if top == nil || score > bestScore || score == bestScore && better {
				top, bestScore, bestArrivals = s, score, arrivals
			}
		case skip >= 0 && !b.usesReports(): // a popular key skips top ranks
		case top == nil:
			top, b.candidates[0] = s, s
		default:
			b.candidates[1] = s
			if d := b.occupancy(s) - b.occupancy(top); d < 0 ||
				d == 0 && b.largeFleet() && b.rng.IntN(2) == 0 {
				top = s
			}
			return top, 0
		}
	}
	return top, ends
}

// largeFleet reports whether balancers outnumber servers, so that the counts of one hardly describe a server.
// Top servers then often tie; a tie is broken at random, as all balancers would otherwise fill the first.
func (b *Balancer) largeFleet() bool { return scale.IsLargeFleet(b.settings.Siblings, len(b.list)) }

// usesReports reports whether placement relies on the reports that servers give when probed.
func (b *Balancer) usesReports() bool { return b.largeFleet() && b.settings.Probes }

// mayProbe reports whether a request may still send probes and wait for their reports.
func (b *Balancer) mayProbe(now time.Duration, r *request) bool {
	return now < r.probeUntil && r.probes < 2*r.maxAttempts
}

// awaitReports probes those candidates that lack a fresh report, and reports whether to wait for them.
func (b *Balancer) awaitReports(now time.Duration, r *request) (wait bool) {
	for _, s := range b.candidates {
		known := s == nil || !b.usesReports() || now >= r.probeUntil || now-s.reportedAt <= metricInterval
		if !known && now-s.probedAt > b.settings.longestSetupTarget && b.mayProbe(now, r) {
			r.probes, s.probedAt = r.probes+1, now
			b.host.Probe(s.ID)
		}
		wait = wait || !known && now-s.probedAt <= b.settings.longestSetupTarget
	}
	return wait
}

// ProbeResult receives the answer of a server to a probe, or that there was none.
func (b *Balancer) ProbeResult(now time.Duration, server string, report Report) {
	s := b.server(server)
	if report.Answered {
		b.reportedAt, s.reportedAt = now, now
		if s.load = report.Load; !b.isSlow(now, s) {
			s.delay, s.delayAt = report.Delay, now
		}
	} else if now-s.probedAt <= b.settings.longestSetupTarget {
		b.eject(now, s)
	}
	b.Wake(now, timerWaiting)
}

// holderScore rates how likely a server holds a mid-flow arrival of a key, and returns how many mid-flow
// arrivals of the key it has got from here. Most connections of a key are where this balancer's own ones are,
// and hardly any at a slow or young server. Arrivals are subtracted from the score, as dozens of one key
// would fill a single server.
func (b *Balancer) holderScore(now time.Duration, s *server, key uint32) (score, arrivals int) {
	if s.Started > 0 && now-s.Started < connectionLifetime {
		return -2, 0
	}
	for _, c := range s.connections {
		switch {
		case c.keyHash != key:
		case c.midFlow:
			arrivals++
		case c.established:
			score++
		}
	}
	if score == 0 && b.isSlow(now, s) {
		return -1, arrivals
	}
	return min(score, 1+max(score-arrivals, 0)), arrivals
}

// popularitySkip draws how many top ranks to skip, as a popular key would fill its two top servers unnoticed.
func (b *Balancer) popularitySkip(r *request) int {
	return b.rng.IntN(max(int(math.Ceil(b.keyShare(r)*float64(len(b.list))/2))-1, 1))
}

// keyShare estimates the share of the request's key in all requests. A reconnecting client counts twice.
func (b *Balancer) keyShare(r *request) float64 {
	seen := priorShare*priorWeight + float64(max(b.keyCounts[r.keyHash]-1, 0)+r.reconnects)
	return seen / (priorWeight + float64(max(b.totalKeyCount-1, 0)))
}

// countKey counts a request for a key. When the counts sum to more than eight per server all are halved, as
// the popularity of keys changes.
func (b *Balancer) countKey(key uint32) {
	b.keyCounts[key]++
	if b.totalKeyCount++; b.totalKeyCount <= 8*max(len(b.list), priorWeight) {
		return
	}
	b.totalKeyCount /= 2 // includes rare keys, though their own counts are dropped
	for k, n := range b.keyCounts {
		if b.keyCounts[k] = n / 2; n < 2 {
			delete(b.keyCounts, k)
		}
	}
}

const (
	// priorShare is the estimated share of a key that has not been seen.
	priorShare = 0.05
	// priorWeight is how many requests the prior estimate counts as.
	priorWeight = 4
)

// occupancy returns how occupied a server is: the connections of this balancer per weight, or, in a large
// fleet, the reported load plus a penalty for another zone.
func (b *Balancer) occupancy(s *server) (load float64) {
	if !b.largeFleet() {
		return float64(len(s.connections)+1) / s.Weight
	}
	if load = s.load; s.Zone != b.settings.Zone {
		load += 2 * b.settings.CrossZoneCost
	}
	return load
}
