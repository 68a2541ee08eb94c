package net

import (
	"maps"
	"slices"
	"time"

	"tealtiller/internal/scale"
	"tealtiller/policy"
)

// delays keeps how long a message takes at each desk host, and tells the module once a second of those where
// that is over a third of the shortest aim, and once more when it is back under. It is what was measured from
// a client's line to the desk host's next, or what the desk host's own reports let expect, if that is more:
// a crowded desk host may echo at once and still have work piled up.
type delays struct {
	third time.Duration
	many  bool // balancers share the list, each of which knows next to nothing: see scale.Many
	lags  map[string]*lag
}

// lag is what is known of one desk host, while connections of ours stand there or it is known to be crowded.
type lag struct {
	probe    *probe
	echo     time.Duration // the shortest from a line to the next, since the module was told
	waiting  time.Duration // for how long a line has been without an answer, and all else silent
	heardAt  time.Duration // when it last said anything, on any connection
	missedAt time.Duration // when a probe last went unanswered
	seen     bool          // at this look
	fresh    bool          // set-ups have come up there since the last probe
	probedAt time.Duration
	report   report
	told     bool // slow, as last told
	toldAt   time.Duration
}

// look is how often desk hosts are looked at; noteEvery, how often the module is told at most.
const look, noteEvery = 250 * time.Millisecond, time.Second

func newDelays() delays { return delays{lags: map[string]*lag{}} }

// size takes how many desk hosts are listed, and tells it.
func (s *delays) size(n *Node, now time.Duration) (listed int) {
	listed, _ = n.table.MemberCounts(now)
	s.many = scale.IsLargeFleet(n.cfg.Settings.Policy.Siblings, listed)
	return listed
}

// aims takes the settings' message aims; without any, desk hosts are not looked at.
func (s *delays) aims(set policy.Settings) {
	s.third = 0
	for _, c := range set.Classes {
		if c.MessageTarget > 0 && (s.third == 0 || c.MessageTarget/3 < s.third) {
			s.third = c.MessageTarget / 3
		}
	}
}

func (s *delays) next(n *Node, now time.Duration) {
	n.deadlines.Set(now+look, func(now time.Duration) {
		n.lookAtWallClock(now)
		if s.third > 0 {
			s.look(n, now)
		}
		s.next(n, now)
	})
}

func (s *delays) of(server string) *lag {
	l := s.lags[server]
	if l == nil {
		l = &lag{}
		s.lags[server] = l
	}
	return l
}

// measured takes how long a desk host's answer to a line took.
func (s *delays) measured(server string, took time.Duration) {
	if l := s.of(server); l.echo == 0 || took < l.echo {
		l.echo = took
	}
}

// look probes the desk hosts at which connections of ours stand, where that is due, and forgets the others.
// Danger: one that drops all that we send it holds none of ours, and would look empty again at each look; so
// what is known to be crowded is kept until it no longer is, or answers no more, and the module has heard of that.
func (s *delays) look(n *Node, now time.Duration) {
	for _, l := range s.lags {
		l.seen, l.waiting, l.report.open, l.report.since = false, 0, 0, 0
	}
	for _, u := range n.upstreams.All() {
		if u.up {
			l := s.of(u.server)
			l.seen = true
			if l.report.open++; u.upAt > l.report.madeAt {
				l.report.since++
			}
			if u.askedAt > l.heardAt {
				l.waiting = max(l.waiting, now-u.askedAt)
			}
		}
	}
	standing := 0
	for _, l := range s.lags {
		standing += l.report.open
	}
	listed := s.size(n, now)
	spread := scale.IntervalFactor(n.cfg.Settings.Policy.Siblings, standing, listed)
	for _, server := range slices.Sorted(maps.Keys(s.lags)) {
		l := s.lags[server]
		if !l.seen && !l.report.crowded(now) && !l.told && !l.probe.asking() {
			l.probe.close()
			delete(s.lags, server)
			continue
		}
		every := l.report.next()
		if l.fresh {
			every = probeEvery
		}
		every = time.Duration(float64(every) * spread)
		if l.waiting > 0 {
			every = look
		}
		if n.cfg.Settings.ProbesAllowed && now-l.probedAt >= every && (l.seen || !s.many) { // many ask when they place
			l.fresh, l.probedAt = false, now
			n.ask(server, l, now)
		}
		s.tell(n, now, server, l)
	}
}

// shed takes that a desk host has dropped a connection that stood. Danger: it does so when too much has piled
// up, before any report of it comes, and its clients are back within a second; the module must know by then.
func (s *delays) shed(n *Node, now time.Duration, server string) {
	l := s.of(server)
	l.fresh = true // asked for its report at the next look
	if l.report.shed(now) {
		s.tell(n, now, server, l)
	}
}

// silent is how long the desk host has left a line without an answer. Danger: a connection may fall silent alone;
// to take its desk host to be slow for it would move all others that stand there. So a probe must have failed too.
func (l *lag) silent(n *Node, now time.Duration) time.Duration {
	if n.cfg.Settings.ProbesAllowed && l.missedAt < now-l.waiting {
		return 0
	}
	return l.waiting
}

// tell tells the module of a desk host, if that is due. What still waits for an answer counts by its age.
func (s *delays) tell(n *Node, now time.Duration, server string, l *lag) {
	if now-l.toldAt < noteEvery {
		return
	}
	took := max(l.report.expected(now), l.echo, l.silent(n, now))
	echo := l.echo
	l.echo = 0
	slow := took > s.third
	if slow || l.told {
		n.count.Add("delays told")
		n.trace("delay-told", "host", server, "ms", took.Milliseconds(), "echo", echo, "x0", l.report.x0)
		l.toldAt = now
		n.table.ObserveDelay(now, server, took)
	}
	l.told = slow
}
