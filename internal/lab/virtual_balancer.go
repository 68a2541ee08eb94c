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

// virtualBalancer is the decision code of one balancer; to that it is the policy.Host.
type virtualBalancer struct {
	v       *Virtual
	index   int
	room    string
	weigher *placement.WeightApplier
	fleet   *cells.Fleet
	clients map[string]*virtualClient
}

// hop is the way from a balancer to a desk host or back.
const hop = time.Millisecond

// Send plays an attempt at a desk host.
func (b *virtualBalancer) Send(request, server string, timeout time.Duration) {
	v, c, m := b.v, b.clients[request], b.v.machines[server]
	if v.plan != nil && c != nil && v.cellOf[server] != v.plan.HomeCell(v.now, c.carrier, c.group) {
		v.Result.Foreign++
	}
	if c == nil || m == nil {
		b.outcome(request, 0, policy.NotSent)
		return
	}
	m.Advance(v.now)
	took := hop + m.Setup(v.now)
	switch {
	case !m.Up:
		b.outcome(request, hop, policy.ConnectFailed)
	case took > timeout:
		b.outcome(request, timeout, policy.Timeout)
	default:
		v.at(v.now+took, func() { b.arrive(request, c, m) })
	}
}

// outcome tells after a time how an attempt has ended.
func (b *virtualBalancer) outcome(request string, after time.Duration, result policy.Result) {
	v := b.v
	v.at(v.now+after, func() {
		v.Result.Decisions++
		b.fleet.Outcome(v.now, request, result, false)
	})
}

// arrive is the moment in which a desk host answers.
func (b *virtualBalancer) arrive(request string, c *virtualClient, m *virtualHost) {
	v := b.v
	c.weight = c.load * max(v.weight[c.carrier], 1)
	switch m.Open(v.now, c.weight, c.group, v.rng.Float64()) {
	case Full:
		b.outcome(request, hop, policy.Rejected)
		return
	case Fails:
		b.outcome(request, hop, policy.Error)
		return
	}
	v.final(c)
	v.stands(c, m)
	b.fleet.ConnectionEstablished(v.now, c.id)
	b.endsAfter(c)
}

// endsAfter has a connection end when its time is over, unless it has ended before.
func (b *virtualBalancer) endsAfter(c *virtualClient) {
	v, id := b.v, c.id
	v.at(v.now+c.life, func() {
		if c.id == id && c.host != nil {
			v.done(c)
			v.Result.Decisions++
			b.fleet.Outcome(v.now, id, policy.OK, true)
		}
	})
}

// Refuse has the client come again as it is told.
func (b *virtualBalancer) Refuse(request string, after time.Duration, _ policy.Reason) {
	if c := b.clients[request]; c != nil {
		b.v.final(c)
		b.v.again(c, min(after, longestBack))
	}
}

// Fail has the client come again.
func (b *virtualBalancer) Fail(request string) { b.Refuse(request, 0, policy.NoServer) }

// Move ends a connection that stands.
func (b *virtualBalancer) Move(request string) {
	b.v.at(b.v.now, func() {
		if c := b.clients[request]; c != nil && c.host != nil {
			b.v.Result.Worth.Moves++
			b.v.broken(c)
			b.fleet.Outcome(b.v.now, request, policy.Cancelled, true)
		}
	})
}

// Wake wakes the decision code.
func (b *virtualBalancer) Wake(at time.Duration, name int64) {
	b.v.at(at, func() { b.fleet.Wake(b.v.now, name) })
}

// NotifySiblings, Ask, Watch and Log have nobody to reach here.
func (b *virtualBalancer) NotifySiblings(uint32, time.Duration) {}

// Probe does nothing.
func (b *virtualBalancer) Probe(string) {}

// Watch does nothing.
func (b *virtualBalancer) Watch(bool) {}

// Log does nothing.
func (b *virtualBalancer) Log(string) {}

// delays tells of desk hosts at which messages take over a third of the shortest aim, once a second.
func (b *virtualBalancer) delays() {
	v := b.v
	for _, s := range v.specs {
		m := v.machines[s.ID]
		if m.Advance(v.now); m.Up && m.conns > 0 {
			if took := m.Message(v.now); took > messageAim/3 {
				b.fleet.ServerDelay(v.now, s.ID, took)
			}
		}
	}
	v.at(v.now+time.Second, b.delays)
}

// members tells a balancer of the list, weighed by its plan.
func (b *virtualBalancer) members(kind policy.MembersKind, list []policy.Server) {
	b.fleet.Members(b.v.now, kind, b.weigher.Apply(b.v.now, kind, list))
}

// record notes once a second what a balancer sees.
func (b *virtualBalancer) record() {
	v := b.v
	rec := &placement.Record{Version: 1, At: v.now.Milliseconds(), Balancer: fmt.Sprint("n", b.index), Room: b.room}
	for _, s := range v.specs {
		rec.Hosts = append(rec.Hosts, v.recorded(s))
	}
	for _, id := range slices.Sorted(maps.Keys(b.clients)) {
		if c := b.clients[id]; c.host != nil {
			rec.CountConnection(c.group, c.carrier, c.host.ID, c.class)
		}
	}
	v.gather.Add(rec)
	v.at(v.now+time.Second, b.record)
}

// recorded is a desk host as a balancer records it.
func (v *Virtual) recorded(s Spec) placement.RecordedHost {
	m := v.machines[s.ID]
	h := placement.RecordedHost{ID: s.ID, Room: s.Room, Kind: s.Kind, Started: m.Started.Milliseconds(), Age: -1}
	if m.Up {
		h.X0, h.Age = m.Report(v.now).X0, 0
	}
	return h
}
