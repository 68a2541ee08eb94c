package cells

import (
	"fmt"
	"testing"
	"time"

	"tealtiller/policy"
)

// duration shortens time.Duration in signatures.
type duration = time.Duration

// discardHost ignores all actions.
type discardHost struct{ policy.Host }

func (discardHost) Send(string, string, duration)          {}
func (discardHost) Refuse(string, duration, policy.Reason) {}
func (discardHost) Fail(string)                            {}
func (discardHost) Wake(duration, int64)                   {}
func (discardHost) Watch(bool)                             {}
func (discardHost) Probe(string)                           {}
func (discardHost) Log(string)                             {}

// The cost of one connection from request to end on 1,000 hosts: a bare policy.Balancer, and a Fleet without a plan,
// with 1 cell and with 40 cells.
func BenchmarkDecision(b *testing.B) {
	list := testHosts(1000)
	decide := func(b *testing.B, m interface {
		Request(duration, policy.Request)
		ConnectionEstablished(duration, string)
		Outcome(duration, string, policy.Result, bool)
	}) {
		ids, carriers := make([]string, 4096), make([]string, 40)
		for i := range ids {
			ids[i] = fmt.Sprintf("r%d", i)
		}
		for i := range carriers {
			carriers[i] = fmt.Sprintf("air-%d", i)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			id := ids[i%len(ids)]
			m.Request(startTime, policy.Request{ID: id, Class: "lookup", Key: uint64(i % 400), HasKey: true, TTL: startTime, Tenant: carriers[i%40]})
			m.ConnectionEstablished(startTime, id)
			m.Outcome(startTime, id, policy.OK, true)
		}
	}
	b.Run("balancer", func(b *testing.B) {
		m := policy.New(testSettings(), 7, discardHost{})
		m.Members(startTime, policy.Full, list)
		decide(b, m)
	})
	for _, n := range []int{0, 1, 40} {
		b.Run(fmt.Sprintf("cells=%d", n), func(b *testing.B) {
			var plan *Plan
			if n > 0 {
				plan = evenPlan(n)
			}
			f := New(testSettings(), 7, discardHost{}, plan)
			f.Members(startTime, policy.Full, list)
			decide(b, f)
		})
	}
}

// The cost of assigning 1,000 hosts anew, as is done when a host joins or leaves.
func BenchmarkAssignHosts(b *testing.B) {
	for _, n := range []int{3, 40} {
		b.Run(fmt.Sprintf("cells=%d", n), func(b *testing.B) {
			list, p := testHosts(1000), evenPlan(n)
			b.ReportAllocs()
			for b.Loop() {
				p.AssignHosts(list)
			}
		})
	}
}
