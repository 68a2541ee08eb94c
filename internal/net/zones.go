package net

import (
	"time"

	"tealtiller/internal/failover"
	"tealtiller/policy"
)

// zoneMonitor feeds the zone shares of internal/failover if the operator's file turns them on, and logs each change of
// a zone's state. The shares do not influence any decision yet (docs/design/failover.md).
type zoneMonitor struct {
	settings       failover.Settings
	tracker        *failover.Zones
	zoneOf         map[string]string // by host ID, from the list held by the weigher
	loggedStates   map[string]failover.State
	checkScheduled bool // a check is scheduled for a share that is still changing
}

// zoneCheckInterval is how often states are checked while a share changes: at the default rate of 0.25 per second, a
// share changes by a sixteenth between two checks.
const zoneCheckInterval = 250 * time.Millisecond

// configureZones starts, keeps or ends the zone shares according to the configuration. New settings would judge old
// evidence by other limits, so after a change the shares start anew from the current list.
func (n *Node) configureZones(now time.Duration) {
	switch settings := n.cfg.Failover; {
	case settings == nil:
		n.zones = nil
	case n.zones == nil || n.zones.settings != *settings:
		n.zones = &zoneMonitor{settings: *settings, tracker: failover.New(*settings), loggedStates: map[string]failover.State{}}
		n.updateZoneHosts(now)
	}
}

// updateZoneHosts applies the list held by the weigher, after it has taken in an answer of discovery.
func (n *Node) updateZoneHosts(now time.Duration) {
	z := n.zones
	if z == nil {
		return
	}
	listed := n.weigher.Servers()
	hosts, zoneOf := make([]failover.Host, len(listed)), make(map[string]string, len(listed))
	for i, s := range listed {
		hosts[i], zoneOf[s.ID] = failover.Host{Zone: s.Zone, InService: s.State == policy.Ready, UpSince: s.Started}, s.Zone
	}
	z.zoneOf = zoneOf
	z.tracker.SetHosts(now, hosts)
	n.logZoneChanges(now)
}

// recordZoneOutcome records the outcome of an attempt at a host; ok means that it was established.
func (n *Node) recordZoneOutcome(now time.Duration, host string, ok bool) {
	if z := n.zones; z != nil {
		if zone, known := z.zoneOf[host]; known {
			z.tracker.RecordOutcome(now, zone, ok)
			n.logZoneChanges(now)
		}
	}
}

// logZoneChanges logs changed states, and schedules another check while a share changes.
func (n *Node) logZoneChanges(now time.Duration) {
	z := n.zones
	for _, name := range z.tracker.Names() {
		state := z.tracker.State(now, name)
		if logged, known := z.loggedStates[name]; known && state == logged {
			continue
		}
		z.loggedStates[name] = state
		n.counters.Add("zone states changed")
		n.log.Info("zone-state", "zone", name, "state", state.String(), "share", z.tracker.Share(now, name))
	}
	if !z.checkScheduled && z.tracker.InTransition(now) {
		z.checkScheduled = true
		n.deadlines.Set(now+zoneCheckInterval, func(now time.Duration) {
			if z.checkScheduled = false; n.zones == z {
				n.logZoneChanges(now)
			}
		})
	}
}
