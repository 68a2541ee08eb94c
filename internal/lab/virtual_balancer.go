package lab

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/placement"
	"tealtiller/policy"
)

// virtualBalancer runs the decision code of one balancer, as its policy.Host.
type virtualBalancer struct {
	lab           *VirtualLab
	index         int
	room          string
	weightApplier *placement.WeightApplier
	fleet         *cells.Fleet
	clients       map[string]*virtualClient
}

// hopLatency is the latency from a balancer to a desk host or back.
const hopLatency = time.Millisecond

// Send plays an attempt at a desk host.
func (b *virtualBalancer) Send(request, server string, timeout time.Duration) {
	v, c, m := b.lab, b.clients[request], b.lab.hosts[server]
	if v.plan != nil && c != nil && v.cellOf[server] != v.plan.HomeCell(v.now, c.carrier, c.group) {
		v.Result.Foreign++
	}
	if c == nil || m == nil {
		b.outcome(request, 0, policy.NotSent)
		return
	}
	m.Advance(v.now)
	took := hopLatency + m.Setup(v.now)
	switch {
	case !m.Up:
		b.outcome(request, hopLatency, policy.ConnectFailed)
	case took > timeout:
		b.outcome(request, timeout, policy.Timeout)
	default:
		v.scheduleAt(v.now+took, func() { b.openAtHost(request, c, m) })
	}
}

// outcome reports the result of an attempt to the decision code after a time.
func (b *virtualBalancer) outcome(request string, after time.Duration, result policy.Result) {
	v := b.lab
	v.scheduleAt(v.now+after, func() {
		v.Result.Decisions++
		b.fleet.Outcome(v.now, request, result, false)
	})
}

// openAtHost plays the moment in which a desk host answers an attempt.
func (b *virtualBalancer) openAtHost(request string, c *virtualClient, m *virtualHost) {
	v := b.lab
	c.effectiveLoad = c.load * max(v.loadFactors[c.carrier], 1)
	switch m.Open(v.now, c.effectiveLoad, c.group, v.rng.Float64()) {
	case AnswerBusy:
		b.outcome(request, hopLatency, policy.Rejected)
		return
	case AnswerError:
		b.outcome(request, hopLatency, policy.Error)
		return
	}
	v.finalAnswer(c)
	v.connectionUp(c, m)
	b.fleet.ConnectionEstablished(v.now, c.id)
	b.scheduleEnd(c)
}

// scheduleEnd ends a connection when its lifetime is over, unless it has ended before.
func (b *virtualBalancer) scheduleEnd(c *virtualClient) {
	v, id := b.lab, c.id
	v.scheduleAt(v.now+c.life, func() {
		if c.id == id && c.host != nil {
			v.endConnection(c)
			v.Result.Decisions++
			b.fleet.Outcome(v.now, id, policy.OK, true)
		}
	})
}

// Refuse refuses a client, which retries after the given time, but at most after maxRetryAfter.
func (b *virtualBalancer) Refuse(request string, after time.Duration, _ policy.Reason) {
	if c := b.clients[request]; c != nil {
		b.lab.finalAnswer(c)
		b.lab.retry(c, min(after, maxRetryAfter))
	}
}

// Fail reports an error to a client, which retries.
func (b *virtualBalancer) Fail(request string) { b.Refuse(request, 0, policy.NoServer) }

// Move ends an established connection; its client reconnects.
func (b *virtualBalancer) Move(request string) {
	b.lab.scheduleAt(b.lab.now, func() {
		if c := b.clients[request]; c != nil && c.host != nil {
			b.lab.Result.Worth.Moves++
			b.lab.connectionBroken(c)
			b.fleet.Outcome(b.lab.now, request, policy.Cancelled, true)
		}
	})
}

// Wake schedules a wake-up of the decision code.
func (b *virtualBalancer) Wake(at time.Duration, name int64) {
	b.lab.scheduleAt(at, func() { b.fleet.Wake(b.lab.now, name) })
}

// NotifySiblings does nothing: the balancers exchange no messages in virtual time.
func (b *virtualBalancer) NotifySiblings(uint32, time.Duration) {}

// Probe does nothing: hosts are not probed in virtual time.
func (b *virtualBalancer) Probe(string) {}

// Watch does nothing: list changes are delivered by the faults.
func (b *virtualBalancer) Watch(bool) {}

// Log does nothing.
func (b *virtualBalancer) Log(string) {}

// reportDelays reports, once a second, the desk hosts at which messages take over a third of the shortest target.
func (b *virtualBalancer) reportDelays() {
	v := b.lab
	for _, s := range v.specs {
		m := v.hosts[s.ID]
		if m.Advance(v.now); m.Up && m.connections > 0 {
			if took := m.Message(v.now); took > messageTarget/3 {
				b.fleet.ServerDelay(v.now, s.ID, took)
			}
		}
	}
	v.scheduleAt(v.now+time.Second, b.reportDelays)
}

// updateMembers passes a host list on to the decision code, with the weights of the placement plan applied.
func (b *virtualBalancer) updateMembers(kind policy.MembersKind, list []policy.Server) {
	b.fleet.Members(b.lab.now, kind, b.weightApplier.Apply(b.lab.now, kind, list))
}

// recordState records, once a second, the hosts and connections that a balancer has.
func (b *virtualBalancer) recordState() {
	v := b.lab
	rec := &placement.Record{Version: 1, At: v.now.Milliseconds(), Balancer: fmt.Sprint("n", b.index), Room: b.room}
	for _, s := range v.specs {
		rec.Hosts = append(rec.Hosts, v.recordedHost(s))
	}
	for _, id := range slices.Sorted(maps.Keys(b.clients)) {
		if c := b.clients[id]; c.host != nil {
			rec.CountConnection(c.group, c.carrier, c.host.ID, c.class)
		}
	}
	v.records.Add(rec)
	v.scheduleAt(v.now+time.Second, b.recordState)
}

// recordedHost is a desk host as a balancer records it.
func (v *VirtualLab) recordedHost(s Spec) placement.RecordedHost {
	m := v.hosts[s.ID]
	h := placement.RecordedHost{ID: s.ID, Room: s.Room, Kind: s.Kind, Started: m.Started.Milliseconds(), Age: -1}
	if m.Up {
		h.X0, h.Age = m.Report(v.now).X0, 0
	}
	return h
}
