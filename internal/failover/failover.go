// Package failover decides, for each zone of desk hosts, what share of its own traffic it takes now. Like etcd's raft
// package, it does no I/O, reads no clock and starts no goroutine: callers pass in events with their time.
//
// The primary input is the host list, with each host's zone, phase and start, as all balancers see the same one: a zone
// whose hosts are gone, draining or cold has a lower target share at every balancer at once. The secondary input is the
// outcomes that this balancer has observed. They decay over time, count only if there are enough of them, and act with
// hysteresis. A share approaches its target by at most MaxChangePerSecond, so that a flapping link does not cause load
// swings across the fleet, and so that all balancers together ramp up a recovering zone while its hosts warm up.
package failover

import (
	"math"
	"slices"
	"time"
)

// Settings configures Zones.
type Settings struct {
	WarmUp             time.Duration // time from a host's start until it has its full capacity
	ColdCapacity       float64       // share of its capacity that a host has at its start, 0 to 1
	DecayTime          time.Duration // time in which the weight of an observed outcome decays to 1/e
	MinOutcomes        float64       // decayed weight of outcomes below which they are ignored
	ShunThreshold      float64       // failure rate at or above which a zone is shunned
	RecoverThreshold   float64       // failure rate at or below which it no longer is; less than ShunThreshold
	MaxChangePerSecond float64       // largest change of a zone's share per second
}

// DefaultSettings has the slowest warm-up and cold start of the two sites, and changes a share by at most a quarter per
// second.
var DefaultSettings = Settings{WarmUp: 8500 * time.Millisecond, ColdCapacity: 0.39, DecayTime: 3 * time.Second,
	MinOutcomes: 4, ShunThreshold: 0.6, RecoverThreshold: 0.3, MaxChangePerSecond: 0.25}

// Host is the part of a list entry that decides on its zone's target share.
type Host struct {
	Zone      string
	InService bool          // neither draining nor gone
	UpSince   time.Duration // when it last started, on the caller's clock; 0 or less if long ago
}

// State is how this balancer uses a zone.
type State int

const (
	Near      State = iota // takes all of its own traffic
	Shared                 // takes a part; the rest goes to the nearest zone with capacity
	Shunned                // takes no new traffic while another zone can
	Returning              // recovering: its share is increasing
)

func (s State) String() string { return [...]string{"near", "shared", "shunned", "returning"}[s] }

type zoneState struct {
	startTimes          []time.Duration // of the hosts in service
	listedHosts         int
	successes, failures float64 // outcomes observed, decayed to decayedAt
	decayedAt           time.Duration
	shunned             bool
	share               float64 // as of shareAt
	shareAt             time.Duration
	target              float64
	needsInitialShare   bool // a new zone's share starts at its first target, as a cold zone must not get all at once
}

// Zones tracks the shares of all zones.
type Zones struct {
	settings  Settings
	zones     map[string]*zoneState
	names     []string      // sorted, so that results do not depend on the iteration order of a map
	updatedAt time.Duration // when shares and targets were last brought up to date
}

// New returns a Zones without any zone.
func New(settings Settings) *Zones { return &Zones{settings: settings, zones: map[string]*zoneState{}} }

// stateOf returns the state of a zone, and adds the zone if it is new.
func (z *Zones) stateOf(name string, now time.Duration) *zoneState {
	zone := z.zones[name]
	if zone == nil {
		zone = &zoneState{share: 1, target: 1, shareAt: now, decayedAt: now, needsInitialShare: true}
		z.zones[name] = zone
		i, _ := slices.BinarySearch(z.names, name)
		z.names = slices.Insert(z.names, i, name)
	}
	return zone
}

// SetHosts replaces the host list. A zone that no longer has a host keeps its state, with no host in service.
func (z *Zones) SetHosts(now time.Duration, hosts []Host) {
	z.advanceShares(now)
	for _, zone := range z.zones {
		zone.startTimes, zone.listedHosts = zone.startTimes[:0], 0
	}
	for _, h := range hosts {
		zone := z.stateOf(h.Zone, now)
		if zone.listedHosts++; h.InService {
			zone.startTimes = append(zone.startTimes, h.UpSince)
		}
	}
	z.updateTargets(now)
}

// RecordOutcome records how an attempt at a host of a zone ended; ok: the connection came up or was answered in time.
func (z *Zones) RecordOutcome(now time.Duration, name string, ok bool) {
	z.advanceShares(now)
	zone := z.stateOf(name, now)
	zone.decay(now, z.settings.DecayTime)
	if ok {
		zone.successes++
	} else {
		zone.failures++
	}
	z.updateShunned(zone)
	z.updateTargets(now)
}

// Share returns the share of its own traffic that a zone may take now, 0 to 1; it is 1 for an unknown zone.
func (z *Zones) Share(now time.Duration, name string) float64 {
	z.update(now)
	if zone := z.zones[name]; zone != nil {
		return zone.share
	}
	return 1
}

// State returns the state of a zone now; an unknown zone is Near.
func (z *Zones) State(now time.Duration, name string) State {
	share := z.Share(now, name)
	zone := z.zones[name]
	switch {
	case zone == nil:
		return Near
	case share <= 0 && zone.target <= 0:
		return Shunned
	case zone.target > share:
		return Returning
	case share >= 1:
		return Near
	default:
		return Shared
	}
}

// InTransition reports whether any share has not reached its target, so that states may change without an event.
func (z *Zones) InTransition(now time.Duration) bool {
	z.update(now)
	for _, zone := range z.zones {
		if zone.share != zone.target {
			return true
		}
	}
	return false
}

// Names returns the names of all known zones, sorted.
func (z *Zones) Names() []string { return slices.Clone(z.names) }

// Fallback returns the zone to use when every zone's share is 0: of the zones with a host in service, the one with the
// lowest failure rate; "" if there is none.
func (z *Zones) Fallback(now time.Duration) string {
	best, lowestRate := "", math.Inf(1)
	for _, name := range z.names {
		zone := z.zones[name]
		zone.decay(now, z.settings.DecayTime)
		if rate := zone.failureRate(); len(zone.startTimes) > 0 && rate < lowestRate {
			best, lowestRate = name, rate
		}
	}
	return best
}

func (s *zoneState) decay(now, decayTime time.Duration) {
	if now > s.decayedAt && decayTime > 0 {
		factor := math.Exp(-float64(now-s.decayedAt) / float64(decayTime))
		s.successes, s.failures = s.successes*factor, s.failures*factor
	}
	s.decayedAt = max(s.decayedAt, now)
}

func (s *zoneState) failureRate() float64 {
	if s.successes+s.failures == 0 {
		return 0
	}
	return s.failures / (s.successes + s.failures)
}

// updateShunned applies the thresholds. Outcomes of a weight below MinOutcomes are ignored, so a shunned zone, which
// gets no traffic and no new outcomes, is tried again, with a growing share, once its outcomes have decayed.
func (z *Zones) updateShunned(zone *zoneState) {
	enoughOutcomes := zone.successes+zone.failures >= z.settings.MinOutcomes
	switch rate := zone.failureRate(); {
	case enoughOutcomes && rate >= z.settings.ShunThreshold:
		zone.shunned = true
	case !enoughOutcomes || rate <= z.settings.RecoverThreshold:
		zone.shunned = false
	}
}

// update brings shares and targets up to date; a second call for the same time does nothing.
func (z *Zones) update(now time.Duration) {
	if now != z.updatedAt {
		z.advanceShares(now)
		z.updateTargets(now)
	}
}

// updateTargets sets each target: the available capacity of the hosts in service per listed host, or 0 while shunned.
func (z *Zones) updateTargets(now time.Duration) {
	z.updatedAt = now
	for _, name := range z.names {
		zone := z.zones[name]
		zone.decay(now, z.settings.DecayTime)
		z.updateShunned(zone)
		zone.target = 0
		if zone.shunned || zone.listedHosts == 0 {
			continue
		}
		capacity := 0.0
		for _, startTime := range zone.startTimes {
			capacity += z.availableCapacity(now, startTime)
		}
		zone.target = capacity / float64(zone.listedHosts)
	}
	for _, zone := range z.zones {
		if zone.needsInitialShare {
			zone.share, zone.needsInitialShare = zone.target, false
		}
	}
}

// availableCapacity returns a host's share of its full capacity, which grows linearly from ColdCapacity in WarmUp.
func (z *Zones) availableCapacity(now, startTime time.Duration) float64 {
	if startTime <= 0 || z.settings.WarmUp <= 0 || now-startTime >= z.settings.WarmUp {
		return 1
	}
	return z.settings.ColdCapacity + (1-z.settings.ColdCapacity)*float64(max(now-startTime, 0))/float64(z.settings.WarmUp)
}

// advanceShares moves each share towards its target as of the last event, by at most MaxChangePerSecond.
func (z *Zones) advanceShares(now time.Duration) {
	for _, name := range z.names {
		zone := z.zones[name]
		if now <= zone.shareAt {
			continue
		}
		step := z.settings.MaxChangePerSecond * (now - zone.shareAt).Seconds()
		zone.share = min(max(zone.target, zone.share-step), zone.share+step)
		zone.shareAt = now
	}
}
