package cells

import (
	"fmt"
	"testing"
	"time"

	"tealtiller/policy"
)

// ticks spells time.Duration where that would fill the line.
type ticks = time.Duration

// still carries nothing out.
type still struct{ policy.Host }

func (still) Send(string, string, ticks)          {}
func (still) Refuse(string, ticks, policy.Reason) {}
func (still) Fail(string)                         {}
func (still) Wake(ticks, int64)                   {}
func (still) Watch(bool)                          {}
func (still) Probe(string)                        {}
func (still) Log(string)                          {}

// One placement and its end, on 1,000 hosts: the bare module, a Fleet without a plan, with one cell, with 40.
func BenchmarkDecision(b *testing.B) {
	list := hosts(1000)
	decide := func(b *testing.B, m interface {
		Request(ticks, policy.Request)
		ConnectionEstablished(ticks, string)
		Outcome(ticks, string, policy.Result, bool)
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
			m.Request(t0, policy.Request{ID: id, Class: "lookup", Key: uint64(i % 400), HasKey: true, TTL: t0, Tenant: carriers[i%40]})
			m.ConnectionEstablished(t0, id)
			m.Outcome(t0, id, policy.OK, true)
		}
	}
	b.Run("module", func(b *testing.B) {
		m := policy.New(settings(), 7, still{})
		m.Members(t0, policy.Full, list)
		decide(b, m)
	})
	for _, n := range []int{0, 1, 40} {
		b.Run(fmt.Sprintf("cells=%d", n), func(b *testing.B) {
			var plan *Plan
			if n > 0 {
				plan = even(n)
			}
			f := New(settings(), 7, still{}, plan)
			f.Members(t0, policy.Full, list)
			decide(b, f)
		})
	}
}

// What a change of the list costs: one host comes or goes, and all is dealt anew.
func BenchmarkDeal(b *testing.B) {
	for _, n := range []int{3, 40} {
		b.Run(fmt.Sprintf("cells=%d", n), func(b *testing.B) {
			list, p := hosts(1000), even(n)
			b.ReportAllocs()
			for b.Loop() {
				p.AssignHosts(list)
			}
		})
	}
}
