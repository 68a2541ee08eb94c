package policy

import (
	"math"
	"slices"
	"time"
)

// survey counts servers known to be well or to fail, by zone and kind, and judges whether the list is right.
func (b *Balancer) survey(now time.Duration) {
	clear(b.tallies)
	gone, proof := 0, false
	for _, s := range b.list {
		if s.State == Gone {
			gone++
			proof = proof || s.standing > 0
		}
		var n tally
		switch {
		case b.fails(now, s):
			n.fail, n.bad = 1, 1
		case s.ejections > 0 && now < s.until+b.set.patience<<doublings:
			n.bad = 1
		case s.standing > 0, b.many() && s.heardAt > 0 && now-s.heardAt < 3*noteEvery:
			n.well = 1
		}
		for _, p := range [...]part{{}, {"zone", s.Zone}, {"kind", s.Kind}} {
			t := b.tallies[p]
			b.tallies[p] = tally{t.well + n.well, t.fail + n.fail, t.bad + n.bad}
		}
	}
	if wrong := proof || 3*gone > len(b.list); wrong != b.listSuspect {
		b.listSuspect = wrong
		b.logf("list of servers: taken to be wrong in what it calls gone: %v", wrong)
	}
}

// overloaded is the chance to refuse new requests, once over half of those known fail. Of many, reports tell.
func (b *Balancer) overloaded() (chance float64) {
	if b.informed() {
		return 0
	}
	if t := b.tallies[part{}]; t.fail > t.well+2 {
		chance = 1 - math.Pow((t.well+2)/(t.fail+t.well+2), 3)
	}
	return max(chance, 1-math.Pow(2, -float64(min(max(b.failed-b.inRow(), 0), 4))))
}

func (b *Balancer) inRow() int { // set-ups that may fail in a row; each of many sees few, all of one store
	if b.many() {
		return 1
	}
	return 3
}

// alike: all known of a server's zone or kind, two at least, fails; most others, or all in our zone, do well.
func (b *Balancer) alike(s *server) bool {
	all, home := b.tallies[part{}], b.tallies[part{"zone", b.set.Zone}]
	for _, p := range [...]part{{"zone", s.Zone}, {"kind", s.Kind}} {
		t := b.tallies[p]
		others := all.well > all.bad-t.bad || p.by == "zone" && home.well > 1 && home.bad == 0
		if others && t.bad > 1 && t.well == 0 {
			return true
		}
	}
	return false
}

// eject passes over a server for a while, doubled by repeats; by chance siblings that met it together return
// apart.
func (b *Balancer) eject(now time.Duration, s *server) {
	if now < s.until {
		return
	}
	span := max(b.set.patience, b.set.OverloadSpan) << min(s.ejections, doublings)
	s.until = now + time.Duration((0.75+b.rng.Float64()/2)*float64(span))
	if s.ejections++; s.State == Gone { // two witnesses
		s.ejections++
	}
	b.logf("passed over %s for %v: it fails or is slow", s.ID, s.until-now)
}

const noteEvery, lasting = time.Second, 20 * time.Second // connections last so long on average at the least

func (b *Balancer) fails(now time.Duration, s *server) bool { return now < s.until || b.slow(now, s) }

func (b *Balancer) slow(now time.Duration, s *server) bool {
	return s.delay > b.set.messageAim/3 && now-s.delayAt < 3*noteEvery
}

func (b *Balancer) ConnectionMetric(now time.Duration, id string, kind MetricKind, level float64) { // of what is open
	if r := b.out(id); r != nil && kind == MetricDelay {
		b.ServerDelay(now, r.at.ID, time.Duration(level*float64(time.Millisecond)))
	}
}

// ServerDelay tells how long a message takes now at a server, and cuts what a crowded one holds of ours. Its growth
// is excess load; both must go by the next note. Danger: over a half, cut by all siblings, is a storm.
func (b *Balancer) ServerDelay(now time.Duration, server string, delay time.Duration) {
	s, growth := b.server(server), 0.0
	if b.slow(now, s) {
		growth = (delay - s.delay).Seconds() / max(now-s.delayAt, noteEvery).Seconds()
	}
	s.delay, s.delayAt = delay, now
	excess := growth + delay.Seconds()
	if delay < b.set.messageAim || excess <= 0 {
		return
	}
	b.eject(now, s)
	// Danger: who is moved reaches siblings that know nothing of it. Of the holders about one tells all.
	if holders := float64(b.set.Siblings) * b.usual(now); b.set.SiblingMessaging && b.rng.Float64()*holders < 1 {
		b.host.NotifySiblings(s.hash, delay)
	}
	moves := int(float64(len(s.conns))*min(excess/max(1+growth, excess), 0.5) + b.rng.Float64())
	for _, r := range s.conns {
		if moves > 0 && r.began && !r.moving {
			moves, r.moving = moves-1, true
			b.host.Move(r.id)
		}
	}
}

func (b *Balancer) SiblingDelay(now time.Duration, hash uint32, delay time.Duration) { // what a sibling tells
	if i := slices.IndexFunc(b.list, func(s *server) bool { return s.hash == hash }); i >= 0 {
		b.list[i].delay, b.list[i].delayAt = delay, now
	}
}
