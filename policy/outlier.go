package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// metricInterval is the time between two measurements of a message delay.
	metricInterval = time.Second
	// connectionLifetime is a lower bound of the mean lifetime of a connection.
	connectionLifetime = 20 * time.Second
	// maxDoublings is how often the time of an ejection doubles at most.
	maxDoublings = 3
)

// surveyHealth counts the servers that are known to be healthy or to fail, by zone and kind. It also judges
// whether the list wrongly calls servers gone: one of them still serves a connection, or more than a third is
// gone.
func (b *Balancer) surveyHealth(now time.Duration) {
	clear(b.health)
	gone, goneServes := 0, false
	for _, s := range b.list {
		if s.State == Gone {
			gone++
			goneServes = goneServes || s.established > 0
		}
		var n healthCounts
		switch {
		case b.isFailing(now, s):
			n.failing, n.unhealthy = 1, 1
		case s.ejections > 0 && now < s.ejectedUntil+b.settings.longestSetupTarget<<maxDoublings:
			n.unhealthy = 1
		case s.established > 0, b.largeFleet() && s.reportedAt > 0 && now-s.reportedAt < 3*metricInterval:
			n.healthy = 1
		}
		for _, domain := range [...]failureDomain{{}, {"zone", s.Zone}, {"kind", s.Kind}} {
			t := b.health[domain]
			b.health[domain] = healthCounts{t.healthy + n.healthy, t.failing + n.failing,
				t.unhealthy + n.unhealthy}
		}
	}
	if suspect := goneServes || 3*gone > len(b.list); suspect != b.listSuspect {
		b.listSuspect = suspect
		b.logf("list of servers: taken to be wrong in what it calls gone: %v", suspect)
	}
}

// shedProbability returns the probability to refuse a new request. It is positive once more than half of the
// known servers fail, or several set-ups in a row have failed. In a large fleet that probes, the reports
// decide instead.
func (b *Balancer) shedProbability() (probability float64) {
	if b.usesReports() {
		return 0
	}
	if t := b.health[failureDomain{}]; t.failing > t.healthy+2 {
		probability = 1 - math.Pow((t.healthy+2)/(t.failing+t.healthy+2), 3)
	}
	return max(probability, 1-math.Pow(2, -float64(min(max(b.setupFailures-b.toleratedFailures(), 0), 4))))
}

// toleratedFailures returns how many set-ups may fail in a row before requests are refused. Each balancer of
// a large fleet sees few set-ups, and all of these may depend on the same store.
func (b *Balancer) toleratedFailures() int {
	if b.largeFleet() {
		return 1
	}
	return 3
}

// domainFails reports whether the zone or the kind of a server fails as a whole: at least two servers of it
// are known, none of them healthy, while most other servers, or all known ones in this balancer's zone, are.
func (b *Balancer) domainFails(s *server) bool {
	all, home := b.health[failureDomain{}], b.health[failureDomain{"zone", b.settings.Zone}]
	for _, domain := range [...]failureDomain{{"zone", s.Zone}, {"kind", s.Kind}} {
		t := b.health[domain]
		othersHealthy := all.healthy > all.unhealthy-t.unhealthy ||
			domain.dimension == "zone" && home.healthy > 1 && home.unhealthy == 0
		if othersHealthy && t.unhealthy > 1 && t.healthy == 0 {
			return true
		}
	}
	return false
}

// eject passes over a server for a while, which doubles with repeated ejections. The time is randomised so
// that siblings that ejected the server together return to it at different times.
func (b *Balancer) eject(now time.Duration, s *server) {
	if now < s.ejectedUntil {
		return
	}
	span := max(b.settings.longestSetupTarget, b.settings.OverloadSpan) << min(s.ejections, maxDoublings)
	s.ejectedUntil = now + time.Duration((0.75+b.rng.Float64()/2)*float64(span))
	if s.ejections++; s.State == Gone { // the failure confirms the list, so it counts twice
		s.ejections++
	}
	b.logf("passed over %s for %v: it fails or is slow", s.ID, s.ejectedUntil-now)
}

// isFailing reports whether a server is ejected or slow.
func (b *Balancer) isFailing(now time.Duration, s *server) bool {
	return now < s.ejectedUntil || b.isSlow(now, s)
}

// isSlow reports whether messages at a server were lately seen to take over a third of the shortest target.
func (b *Balancer) isSlow(now time.Duration, s *server) bool {
	return s.delay > b.settings.shortestMessageTarget/3 && now-s.delayAt < 3*metricInterval
}

// ConnectionMetric receives a measurement on an open connection. Only delays are used.
func (b *Balancer) ConnectionMetric(now time.Duration, id string, kind MetricKind, value float64) {
	if r := b.inFlight(id); r != nil && kind == MetricDelay {
		b.ServerDelay(now, r.server.ID, time.Duration(value*float64(time.Millisecond)))
	}
}

// ServerDelay receives how long a message takes now at a server. If that exceeds the target, the server is
// ejected and some of this balancer's connections there are moved. Their share follows from the excess load:
// the growth of the delay per second plus the delay itself, as both should be gone by the next measurement.
// At most half are moved, as more at all siblings at once would cause a storm of reconnecting clients.
func (b *Balancer) ServerDelay(now time.Duration, server string, delay time.Duration) {
	s, growth := b.server(server), 0.0
	if b.isSlow(now, s) {
		growth = (delay - s.delay).Seconds() / max(now-s.delayAt, metricInterval).Seconds()
	}
	s.delay, s.delayAt = delay, now
	excess := growth + delay.Seconds()
	if delay < b.settings.shortestMessageTarget || excess <= 0 {
		return
	}
	b.eject(now, s)
	// Moved clients reconnect through siblings that may not know of the delay. Of the balancers with
	// connections to the server, one on average notifies all siblings.
	if holders := float64(b.settings.Siblings) * b.typicalConnections(now); b.settings.SiblingMessaging &&
		b.rng.Float64()*holders < 1 {
		b.host.NotifySiblings(s.hash, delay)
	}
	moves := int(float64(len(s.connections))*min(excess/max(1+growth, excess), 0.5) + b.rng.Float64())
	for _, r := range s.connections {
		if moves > 0 && r.established && !r.moving {
			moves, r.moving = moves-1, true
			b.host.Move(r.id)
		}
	}
}

// SiblingDelay receives the message delay of a server from a sibling; see Host.NotifySiblings.
func (b *Balancer) SiblingDelay(now time.Duration, hash uint32, delay time.Duration) {
	if i := slices.IndexFunc(b.list, func(s *server) bool { return s.hash == hash }); i >= 0 {
		b.list[i].delay, b.list[i].delayAt = delay, now
	}
}
