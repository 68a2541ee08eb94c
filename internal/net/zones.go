package net

import (
	"time"

	"tealtiller/internal/failover"
	"tealtiller/policy"
)

// zones feeds the zone shares of internal/failover where the operator's file turns them on, and tells each change of a
// zone's state in the log. As yet it decides nothing: the shares are seen, not acted on (docs/design/failover.md).
type zones struct {
	set    failover.Settings
	module *failover.Zones
	zoneOf map[string]string // of each listed host, from the list that the weigher holds
	told   map[string]failover.State
	again  bool // a look is set for a share still on its way
}

// zoneLook is how often the states are looked at while a share moves: at a swing of 0.25 a second, steps of a sixteenth.
const zoneLook = 250 * time.Millisecond

// turnZones starts, keeps or ends the zone shares as the terms say. Danger: new settings would judge old evidence by
// other figures, so a change begins anew from the list held.
func (n *Node) turnZones(now time.Duration) {
	switch set := n.cfg.Failover; {
	case set == nil:
		n.zones = nil
	case n.zones == nil || n.zones.set != *set:
		n.zones = &zones{set: *set, module: failover.New(*set), told: map[string]failover.State{}}
		n.zonesListed(now)
	}
}

// zonesListed takes the list as the weigher holds it, once it has taken what discovery told.
func (n *Node) zonesListed(now time.Duration) {
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
	z.module.SetHosts(now, hosts)
	n.zonesTell(now)
}

// zoneSaw takes the outcome of an attempt at a host: ok where it came up.
func (n *Node) zoneSaw(now time.Duration, host string, ok bool) {
	if z := n.zones; z != nil {
		if zone, known := z.zoneOf[host]; known {
			z.module.RecordOutcome(now, zone, ok)
			n.zonesTell(now)
		}
	}
}

func (n *Node) zonesTell(now time.Duration) {
	z := n.zones
	for _, name := range z.module.Names() {
		state := z.module.State(now, name)
		if was, known := z.told[name]; known && state == was {
			continue
		}
		z.told[name] = state
		n.count.Add("zone states changed")
		n.log.Info("zone-state", "zone", name, "state", state.String(), "share", z.module.Share(now, name))
	}
	if !z.again && z.module.InTransition(now) {
		z.again = true
		n.deadlines.Set(now+zoneLook, func(now time.Duration) {
			if z.again = false; n.zones == z {
				n.zonesTell(now)
			}
		})
	}
}
