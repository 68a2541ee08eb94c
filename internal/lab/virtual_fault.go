package lab

import (
	"slices"
	"time"

	"tealtiller/policy"
)

// Course of a deploy: the number of batches, and how long each batch drains.
const (
	deployBatches = 5
	deployDrain   = 4 * time.Second
)

// notifyBalancers sends all balancers a change of the list, each at a random time within 300 ms after the given delay.
func (v *VirtualLab) notifyBalancers(after time.Duration, list ...policy.Server) {
	for _, b := range v.balancers {
		v.scheduleAt(v.now+after+time.Duration(v.rng.IntN(300))*time.Millisecond, func() { b.updateMembers(policy.Delta, list) })
	}
}

// stopHost stops a desk host: its connections are reset.
func (v *VirtualLab) stopHost(s Spec) {
	m := v.hosts[s.ID]
	for _, c := range slices.Clone(m.clients) {
		b, id := c.balancer, c.id
		v.connectionBroken(c)
		v.Result.Decisions++
		b.fleet.Outcome(v.now, id, policy.Reset, true)
	}
	m.Stop(v.now)
}

// startHost starts a desk host, cold.
func (v *VirtualLab) startHost(s Spec) {
	v.hosts[s.ID].Start(v.now)
	v.notifyBalancers(time.Second, v.listedServer(s, policy.Ready))
}

// playFault starts a fault and schedules its end.
func (v *VirtualLab) playFault(f Fault) {
	affected, length := f.affectedHosts(v.rng, v.specs, v.cellOf), parsedDuration(f.For)
	switch f.Kind {
	case "crash":
		v.crash(affected, length)
	case "deploy":
		v.deploy(affected, length)
	case "drain":
		v.drain(affected, length, f.Size > 0)
	case "errors":
		v.setErrorRate(affected, length, f.Size)
	case "heavy":
		v.loadFactors[f.Carrier] = f.Size
		v.scheduleAt(v.now+length, func() { v.loadFactors[f.Carrier] = 1 })
	case "drop":
		v.dropClients(f)
	}
}

// crash stops desk hosts; discovery lists them as gone 2 s later.
func (v *VirtualLab) crash(affected []Spec, length time.Duration) {
	for _, s := range affected {
		v.stopHost(s)
		v.notifyBalancers(2*time.Second, v.listedServer(s, policy.Gone))
		v.scheduleAt(v.now+length, func() { v.startHost(s) })
	}
}

// deploy replaces desk hosts in batches; each host drains, stops and starts a second later.
func (v *VirtualLab) deploy(affected []Spec, length time.Duration) {
	for i, s := range affected {
		batch := time.Duration(i/max(len(affected)/deployBatches, 1)) * length / deployBatches
		v.scheduleAt(v.now+batch, func() { v.notifyBalancers(0, v.listedServer(s, policy.Draining)) })
		v.scheduleAt(v.now+batch+deployDrain, func() { v.stopHost(s) })
		v.scheduleAt(v.now+batch+deployDrain+time.Second, func() { v.startHost(s) })
	}
}

// drain lets desk hosts drain for a time and then stops them; if they return, they start a second later.
func (v *VirtualLab) drain(affected []Spec, length time.Duration, returns bool) {
	for _, s := range affected {
		v.notifyBalancers(0, v.listedServer(s, policy.Draining))
		v.scheduleAt(v.now+length, func() {
			v.stopHost(s)
			v.notifyBalancers(0, v.listedServer(s, policy.Gone))
			if returns {
				v.scheduleAt(v.now+time.Second, func() { v.startHost(s) })
			}
		})
	}
}

// setErrorRate lets desk hosts fail a share of the openings for a time.
func (v *VirtualLab) setErrorRate(affected []Spec, length time.Duration, share float64) {
	for _, s := range affected {
		v.hosts[s.ID].ErrorRate = share
		v.scheduleAt(v.now+length, func() { v.hosts[s.ID].ErrorRate = 0 })
	}
}

// dropClients has a share of the clients, of one carrier where named, drop their connections and reconnect.
func (v *VirtualLab) dropClients(f Fault) {
	var all []*virtualClient
	for _, s := range v.specs {
		all = append(all, v.hosts[s.ID].clients...)
	}
	for _, c := range all {
		if (f.Carrier == "" || c.carrier == f.Carrier) && v.rng.Float64() < f.Part {
			b, id := c.balancer, c.id
			v.connectionBroken(c)
			b.fleet.Outcome(v.now, id, policy.Cancelled, true)
		}
	}
}
