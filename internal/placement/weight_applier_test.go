package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

// For any sequence of updates, the list that is passed on equals the discovered list with other weights: no state,
// start time, room or host differs. A consumer that applies all updates has the weights of the plan.
func TestWeightApplierChangesOnlyWeights(t *testing.T) {
	p, list := skewedPlan()
	rapid.Check(t, func(t *rapid.T) {
		w, now := NewWeightApplier(nil, "a"), unixTime(0)
		discovered, received := map[string]policy.Server{}, map[string]policy.Server{}
		var plan *Plan
		receive := func(update []policy.Server) {
			for _, s := range update {
				if s.State == policy.Gone {
					delete(received, s.ID)
				} else {
					received[s.ID] = s
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				var changes []policy.Server
				for _, s := range list {
					if rapid.Bool().Draw(t, "changed") {
						s.State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining, policy.Gone}).Draw(t, "state")
						s.Started = time.Duration(rapid.IntRange(0, 3).Draw(t, "started"))
						s.Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
						changes = append(changes, s)
					}
				}
				kind := rapid.SampledFrom([]policy.MembersKind{policy.Delta, policy.Full}).Draw(t, "kind")
				if kind == policy.Full {
					clear(discovered)
					clear(received)
				}
				for _, s := range changes {
					if discovered[s.ID] = s; s.State == policy.Gone {
						delete(discovered, s.ID)
					}
				}
				receive(w.Apply(now, kind, changes))
			},
			"failed": func(t *rapid.T) { assert.Empty(t, w.Apply(now, policy.WatchFailed, nil)) },
			"plan": func(t *rapid.T) {
				if plan = nil; rapid.Bool().Draw(t, "planned") {
					plan = p
				}
				receive(w.SetPlan(now, plan, "a"))
			},
			"later": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute
				receive(w.SetPlan(now, plan, "a"))
			},
			"": func(t *rapid.T) {
				require.Len(t, received, len(discovered))
				weights := map[string]float64{}
				if plan != nil {
					weights = plan.Weights(now, "a", w.Servers())
				}
				for id, s := range discovered {
					got := received[id]
					if plan != nil {
						assert.Equal(t, weights[id], got.Weight)
						s.Weight = got.Weight
					}
					assert.Equal(t, s, got)
				}
			},
		})
	})
}

// sendRecorder is a policy.Host that counts the requests sent to each server.
type sendRecorder struct {
	sentTo  map[string]int
	refused int
}

func (s *sendRecorder) Send(_, server string, _ time.Duration)      { s.sentTo[server]++ }
func (s *sendRecorder) Refuse(string, time.Duration, policy.Reason) { s.refused++ }
func (s *sendRecorder) Fail(string)                                 { s.refused++ }
func (s *sendRecorder) Move(string)                                 {}
func (s *sendRecorder) NotifySiblings(uint32, time.Duration)        {}
func (s *sendRecorder) Probe(string)                                {}
func (s *sendRecorder) Wake(time.Duration, int64)                   {}
func (s *sendRecorder) Watch(bool)                                  {}
func (s *sendRecorder) Log(string)                                  {}

// A host with most of the weight gets nothing while it drains, no more than its cold budget while it is cold, and
// nothing once it has failed several times in a row: weights only decide which host is tried first.
func TestPlanDoesNotOverrideServerState(t *testing.T) {
	p, list := skewedPlan()
	for _, s := range list {
		p.RoomWeights["a"][s.ID] = 0.1
	}
	p.RoomWeights["a"]["h0"] = 5
	set := policy.Settings{Classes: map[string]policy.Class{"lookup": {SetupTarget: 300 * time.Millisecond}}, MaxAttempts: 6, Siblings: 1,
		Tick: time.Millisecond, DrainGrace: 300 * time.Millisecond, ColdCapacityShare: 0.15, WarmAfter: 22 * time.Second, OverloadFactor: 3, OverloadSpan: time.Second}
	run := func(state policy.State, started time.Duration, fails bool) int {
		host := &sendRecorder{sentTo: map[string]int{}}
		b, w, now := policy.New(set, 1, host), NewWeightApplier(p, "a"), unixTime(0)
		servers := list
		servers[0].State, servers[0].Started = state, started
		b.Members(now, policy.Full, w.Apply(now, policy.Full, servers))
		for i := range 300 {
			now += 10 * time.Millisecond
			id, before := fmt.Sprint("r", i), host.sentTo["h0"]
			b.Request(now, policy.Request{ID: id, Class: "lookup", Key: uint64(i), HasKey: true, TTL: time.Second})
			if fails && host.sentTo["h0"] > before {
				b.Outcome(now, id, policy.ConnectFailed, false)
			}
			b.ConnectionEstablished(now, id)
		}
		return host.sentTo["h0"]
	}
	ready := run(policy.Ready, 0, false)
	assert.Greater(t, ready, 100, "h0 has most of the weight")
	assert.Zero(t, run(policy.Draining, 0, false))
	assert.Less(t, run(policy.Ready, unixTime(-time.Second), false), ready/3)
	assert.Less(t, run(policy.Ready, 0, true), 30)
}

// Flights leave a fading plan one after the other. Flights of a carrier that the plan does not name follow the cell of
// the carrier.
func TestFlightsLeaveFadingPlanOneByOne(t *testing.T) {
	p := &Plan{Created: created, HoldTime: Duration(time.Hour), FadeTime: Duration(8 * time.Minute), Carriers: map[string]string{"x": "south"}, Flights: map[string]string{"1f": "north"}}
	_, ok := p.indexFlights()
	require.True(t, ok)
	cell, _ := p.Cell(unixTime(0), "x", 0x1f)
	assert.Equal(t, "north", cell)
	cell, _ = p.Cell(unixTime(0), "x", 2)
	assert.Equal(t, "south", cell)
	_, ok = p.Cell(unixTime(0), "y", 2)
	assert.False(t, ok)
	flightsInPlan := func(after time.Duration) (n int) {
		for k := range uint64(1000) {
			if _, ok := p.Cell(unixTime(after), "x", k); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 1000, flightsInPlan(0))
	assert.InDelta(t, 500, flightsInPlan(time.Hour+3*time.Minute+30*time.Second), 60)
	assert.Zero(t, flightsInPlan(2*time.Hour))
}

// With rooms as cells, each flight is in one room and the rooms are equally full. The hosts are weighted by their
// usable capacity, and when a host is gone all rooms still compute the same weights.
func TestPlanWithRoomsAsCells(t *testing.T) {
	f, list := skewedFleet()
	cells := LimitUtilisation(RoomsAsCells(f), 1.05)
	a := Solve(cells, testLimit)
	p := NewPlan(f, a, created, time.Hour, 0)
	assert.Len(t, p.Flights, 16)
	assert.Equal(t, p.RoomWeights["a"], p.RoomWeights["b"])
	flightsIn := map[string]int{}
	for _, room := range p.Flights {
		flightsIn[room]++
	}
	assert.InDelta(t, flightsIn["a"], flightsIn["b"], 1, "twelve arrive in a, four in b")
	fewer := list[1:]
	assert.Equal(t, p.Weights(unixTime(0), "a", fewer), p.Weights(unixTime(0), "b", fewer))
	limited := LimitUtilisation(f, 0.1)
	assert.Equal(t, f, LimitUtilisation(f, 1000), "the limit does not apply where demand exceeds the usable capacity")
	assert.NotEqual(t, f, limited)
}
