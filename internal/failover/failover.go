// Package failover decides, for each zone of desk hosts, how much of its own traffic it may take now. It is pure, as
// etcd's raft is: no I/O, no clock, no goroutine; events come in with the time, states go out.
//
// What every balancer sees alike comes first: the list, with each host's zone, phase and start. A zone whose hosts
// are gone, draining or cold has a lower target share at every balancer at once. This balancer's own outcomes come
// second, faded by the clock and counted only as much as was seen, with hysteresis. The share moves towards its target
// by at most Swing a second, so that a link that flaps does not swing the fleet, and a zone back from the dark is
// ramped as its hosts warm, by all balancers together.
package failover

import (
	"math"
	"slices"
	"time"
)

// Settings are the figures of the module. Times are durations on the clock that comes in.
type Settings struct {
	WarmUp             time.Duration // how long a host that has just started takes to be warm
	ColdCapacity       float64       // the part of its capacity that a host has at its start, 0 to 1
	DecayTime          time.Duration // over which this balancer's own outcomes fade (by e after one Span)
	MinOutcomes        float64       // the weight of outcomes below which they decide nothing
	ShunThreshold      float64       // the failing part of outcomes at which a zone is shunned
	RecoverThreshold   float64       // the failing part under which it is no longer; Leave < Enter
	MaxChangePerSecond float64       // the most that a zone's share moves in a second
}

// DefaultSettings: warm-up and cold start as both sites have them at their slowest, a swing of a quarter a second.
var DefaultSettings = Settings{WarmUp: 8500 * time.Millisecond, ColdCapacity: 0.39, DecayTime: 3 * time.Second, MinOutcomes: 4, ShunThreshold: 0.6,
	RecoverThreshold: 0.3, MaxChangePerSecond: 0.25}

// Host is one entry of the list as the module needs it.
type Host struct {
	Zone      string
	InService bool          // neither draining nor gone
	UpSince   time.Duration // when it last started, on the same clock; 0 or less for long ago
}

// State is what a zone is to this balancer.
type State int

const (
	Near      State = iota // takes all of its own traffic
	Shared                 // takes a part; the rest goes to the nearest zone with room
	Shunned                // takes nothing new while another zone can
	Returning              // back: its part grows in steps
)

func (s State) String() string { return [...]string{"near", "shared", "shunned", "returning"}[s] }

type zone struct {
	up      []time.Duration // starts of the hosts in service
	listed  int
	ok, bad float64       // outcomes, faded
	seenAt  time.Duration // as of when they are faded
	shunned bool
	share   float64
	at      time.Duration // as of when share holds
	target  float64
	fresh   bool // not yet aimed: its share starts at its target, so a zone first seen cold is not sent all at once
}

// Zones holds what is known of all zones.
type Zones struct {
	set     Settings
	zones   map[string]*zone
	names   []string      // in order, so that nothing depends on a map's
	aimedAt time.Duration // shares and targets hold as of then; a question at the same time finds them so
}

// New makes a module that knows no zone.
func New(set Settings) *Zones { return &Zones{set: set, zones: map[string]*zone{}} }

func (z *Zones) of(name string, now time.Duration) *zone {
	c := z.zones[name]
	if c == nil {
		c = &zone{share: 1, target: 1, at: now, seenAt: now, fresh: true}
		z.zones[name] = c
		i, _ := slices.BinarySearch(z.names, name)
		z.names = slices.Insert(z.names, i, name)
	}
	return c
}

// SetHosts takes the whole list. A zone that no longer has a host keeps its state, with no host in service.
func (z *Zones) SetHosts(now time.Duration, hosts []Host) {
	z.advance(now)
	for _, c := range z.zones {
		c.up, c.listed = c.up[:0], 0
	}
	for _, h := range hosts {
		c := z.of(h.Zone, now)
		if c.listed++; h.InService {
			c.up = append(c.up, h.UpSince)
		}
	}
	z.aim(now)
}

// RecordOutcome takes one outcome of this balancer's own at a host of a zone: ok where it came up or answered in time.
func (z *Zones) RecordOutcome(now time.Duration, name string, ok bool) {
	z.advance(now)
	c := z.of(name, now)
	c.fade(now, z.set.DecayTime)
	if ok {
		c.ok++
	} else {
		c.bad++
	}
	z.judge(c)
	z.aim(now)
}

// Share is the part of its own traffic that a zone may take now, 0 to 1; 1 for a zone never heard of.
func (z *Zones) Share(now time.Duration, name string) float64 {
	z.settle(now)
	if c := z.zones[name]; c != nil {
		return c.share
	}
	return 1
}

// State tells what a zone is now.
func (z *Zones) State(now time.Duration, name string) State {
	share := z.Share(now, name)
	c := z.zones[name]
	switch {
	case c == nil:
		return Near
	case share <= 0 && c.target <= 0:
		return Shunned
	case c.target > share:
		return Returning
	case share >= 1:
		return Near
	default:
		return Shared
	}
}

// InTransition tells whether some zone's share has still to reach its target, so that its state may change with no event.
func (z *Zones) InTransition(now time.Duration) bool {
	z.settle(now)
	for _, c := range z.zones {
		if c.share != c.target {
			return true
		}
	}
	return false
}

// Names lists the zones known, in order.
func (z *Zones) Names() []string { return slices.Clone(z.names) }

// Fallback is the zone to use when every zone's share is nothing: of those with a host in service, the one whose
// outcomes fail least; "" where no zone has one.
func (z *Zones) Fallback(now time.Duration) string {
	best, least := "", math.Inf(1)
	for _, name := range z.names {
		c := z.zones[name]
		c.fade(now, z.set.DecayTime)
		if f := c.failing(); len(c.up) > 0 && f < least {
			best, least = name, f
		}
	}
	return best
}

func (c *zone) fade(now, span time.Duration) {
	if now > c.seenAt && span > 0 {
		k := math.Exp(-float64(now-c.seenAt) / float64(span))
		c.ok, c.bad = c.ok*k, c.bad*k
	}
	c.seenAt = max(c.seenAt, now)
}

func (c *zone) failing() float64 {
	if c.ok+c.bad == 0 {
		return 0
	}
	return c.bad / (c.ok + c.bad)
}

// judge applies the hysteresis. Evidence that has faded below Least decides nothing, so a shunned zone, which is sent
// nothing and so says nothing, is tried again once its evidence has faded: in steps, by the swing.
func (z *Zones) judge(c *zone) {
	seen := c.ok+c.bad >= z.set.MinOutcomes
	switch f := c.failing(); {
	case seen && f >= z.set.ShunThreshold:
		c.shunned = true
	case !seen || f <= z.set.RecoverThreshold:
		c.shunned = false
	}
}

// settle brings shares and targets to a moment, once for each: the same moment again changes nothing.
func (z *Zones) settle(now time.Duration) {
	if now != z.aimedAt {
		z.advance(now)
		z.aim(now)
	}
}

// aim sets each zone's target: the warmth of its hosts in service over those listed, or nothing while shunned.
func (z *Zones) aim(now time.Duration) {
	z.aimedAt = now
	for _, name := range z.names {
		c := z.zones[name]
		c.fade(now, z.set.DecayTime)
		z.judge(c)
		c.target = 0
		if c.shunned || c.listed == 0 {
			continue
		}
		warmth := 0.0
		for _, up := range c.up {
			warmth += z.warmth(now, up)
		}
		c.target = warmth / float64(c.listed)
	}
	for _, c := range z.zones {
		if c.fresh {
			c.share, c.fresh = c.target, false
		}
	}
}

func (z *Zones) warmth(now, up time.Duration) float64 {
	if up <= 0 || z.set.WarmUp <= 0 || now-up >= z.set.WarmUp {
		return 1
	}
	return z.set.ColdCapacity + (1-z.set.ColdCapacity)*float64(max(now-up, 0))/float64(z.set.WarmUp)
}

// advance moves each share towards the target that held since the last event, by at most Swing a second.
func (z *Zones) advance(now time.Duration) {
	for _, name := range z.names {
		c := z.zones[name]
		if now <= c.at {
			continue
		}
		step := z.set.MaxChangePerSecond * (now - c.at).Seconds()
		c.share = min(max(c.target, c.share-step), c.share+step)
		c.at = now
	}
}
