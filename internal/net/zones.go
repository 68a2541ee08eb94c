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
	hosts  map[string]policy.Server // the whole list as told so far; a delta builds on it
	told   map[string]failover.State
	again  bool // a look is set for a share still on its way
}

// zoneLook is how often the states are looked at while a share moves: at a swing of 0.25 a second, steps of a sixteenth.
const zoneLook = 250 * time.Millisecond

// turnZones starts, keeps or ends the zone shares as the terms say. Danger: new settings would judge old evidence by
// other figures, so a change begins anew from the list held.
func (n *Node) turnZones(now time.Duration) {
	set := n.cfg.Failover
	switch {
	case set == nil:
		n.zones = nil
	case n.zones == nil || n.zones.set != *set:
		z := &zones{set: *set, module: failover.New(*set), hosts: map[string]policy.Server{}, told: map[string]failover.State{}}
		if n.zones != nil {
			z.hosts = n.zones.hosts
		}
		n.zones = z
		n.zonesListed(now, policy.Delta, nil)
	}
}

// zonesListed takes what the pool config told.
func (n *Node) zonesListed(now time.Duration, kind policy.MembersKind, servers []policy.Server) {
	z := n.zones
	if z == nil {
		return
	}
	if kind == policy.Full || kind == policy.Cached {
		clear(z.hosts)
	}
	for _, s := range servers {
		if s.State == policy.Gone {
			delete(z.hosts, s.ID)
		} else {
			z.hosts[s.ID] = s
		}
	}
	hosts := make([]failover.Host, 0, len(z.hosts))
	for _, s := range z.hosts {
		hosts = append(hosts, failover.Host{Zone: s.Zone, InService: s.State == policy.Ready, UpSince: s.Started})
	}
	z.module.Listed(now, hosts)
	n.zonesTell(now)
}

// zoneSaw takes the outcome of a route step at a desk host: ok where it came up.
func (n *Node) zoneSaw(now time.Duration, host string, ok bool) {
	if z := n.zones; z != nil {
		if s, known := z.hosts[host]; known {
			z.module.Saw(now, s.Zone, ok)
			n.zonesTell(now)
		}
	}
}

func (n *Node) zonesTell(now time.Duration) {
	z := n.zones
	for _, name := range z.module.Names() {
		state, was := z.module.State(now, name), z.told[name]
		if _, known := z.told[name]; known && state == was {
			continue
		}
		z.told[name] = state
		n.count.Add("zone states changed")
		n.log.Info("zone-state", "zone", name, "state", state.String(), "share", z.module.Share(now, name))
	}
	if !z.again && z.module.Moving(now) {
		z.again = true
		n.deadlines.Set(now+zoneLook, func(now time.Duration) {
			if z.again = false; n.zones == z {
				n.zonesTell(now)
			}
		})
	}
}
