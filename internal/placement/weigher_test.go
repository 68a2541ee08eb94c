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

// Whatever is told, in whatever order, what is handed on is what was told with other weights: no state, start, room or
// host is another, and whoever takes all of it has the weights of the plan.
func TestAWeigherChangesWeightsAlone(t *testing.T) {
	p, list := plan()
	rapid.Check(t, func(t *rapid.T) {
		w, now := NewWeightApplier(nil, "a"), at(0)
		told, taken := map[string]policy.Server{}, map[string]policy.Server{}
		var plan *Plan
		take := func(handed []policy.Server) {
			for _, s := range handed {
				if s.State == policy.Gone {
					delete(taken, s.ID)
				} else {
					taken[s.ID] = s
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"told": func(t *rapid.T) {
				var news []policy.Server
				for _, s := range list {
					if rapid.Bool().Draw(t, "changed") {
						s.State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining, policy.Gone}).Draw(t, "state")
						s.Started = time.Duration(rapid.IntRange(0, 3).Draw(t, "started"))
						s.Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
						news = append(news, s)
					}
				}
				kind := rapid.SampledFrom([]policy.MembersKind{policy.Delta, policy.Full}).Draw(t, "kind")
				if kind == policy.Full {
					clear(told)
					clear(taken)
				}
				for _, s := range news {
					if told[s.ID] = s; s.State == policy.Gone {
						delete(told, s.ID)
					}
				}
				take(w.Apply(now, kind, news))
			},
			"failed": func(t *rapid.T) { assert.Empty(t, w.Apply(now, policy.WatchFailed, nil)) },
			"plan": func(t *rapid.T) {
				if plan = nil; rapid.Bool().Draw(t, "planned") {
					plan = p
				}
				take(w.SetPlan(now, plan, "a"))
			},
			"later": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute
				take(w.SetPlan(now, plan, "a"))
			},
			"": func(t *rapid.T) {
				require.Len(t, taken, len(told))
				weights := map[string]float64{}
				if plan != nil {
					weights = plan.Weigh(now, "a", w.Servers())
				}
				for id, s := range told {
					got := taken[id]
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

// sent is the module's host in these tests.
type sent struct {
	to      map[string]int
	refused int
}

func (s *sent) Send(_, server string, _ time.Duration)      { s.to[server]++ }
func (s *sent) Refuse(string, time.Duration, policy.Reason) { s.refused++ }
func (s *sent) Fail(string)                                 { s.refused++ }
func (s *sent) Move(string)                                 {}
func (s *sent) NotifySiblings(uint32, time.Duration)        {}
func (s *sent) Probe(string)                                {}
func (s *sent) Wake(time.Duration, int64)                   {}
func (s *sent) Watch(bool)                                  {}
func (s *sent) Log(string)                                  {}

// A host that the plan loves is sent nothing while it drains, no more than its cold budget while it is cold, and
// nothing once it has failed in a row: a weight decides where to look first, and nothing else.
func TestAPlanOverridesNothing(t *testing.T) {
	p, list := plan()
	for _, s := range list {
		p.RoomWeights["a"][s.ID] = 0.1
	}
	p.RoomWeights["a"]["h0"] = 5
	set := policy.Settings{Classes: map[string]policy.Class{"lookup": {SetupTarget: 300 * time.Millisecond}}, MaxAttempts: 6, Siblings: 1,
		Tick: time.Millisecond, DrainGrace: 300 * time.Millisecond, ColdCapacityShare: 0.15, WarmAfter: 22 * time.Second, OverloadFactor: 3, OverloadSpan: time.Second}
	run := func(state policy.State, started time.Duration, fails bool) int {
		host := &sent{to: map[string]int{}}
		b, w, now := policy.New(set, 1, host), NewWeightApplier(p, "a"), at(0)
		told := list
		told[0].State, told[0].Started = state, started
		b.Members(now, policy.Full, w.Apply(now, policy.Full, told))
		for i := range 300 {
			now += 10 * time.Millisecond
			id, before := fmt.Sprint("r", i), host.to["h0"]
			b.Request(now, policy.Request{ID: id, Class: "lookup", Key: uint64(i), HasKey: true, TTL: time.Second})
			if fails && host.to["h0"] > before {
				b.Outcome(now, id, policy.ConnectFailed, false)
			}
			b.ConnectionEstablished(now, id)
		}
		return host.to["h0"]
	}
	usual := run(policy.Ready, 0, false)
	assert.Greater(t, usual, 100, "it has most of the weight")
	assert.Zero(t, run(policy.Draining, 0, false))
	assert.Less(t, run(policy.Ready, at(-time.Second), false), usual/3)
	assert.Less(t, run(policy.Ready, 0, true), 30)
}

// Flights leave a plan that fades one after the other; a carrier's others follow its cell.
func TestFlightsLeaveAPlanThatFades(t *testing.T) {
	p := &Plan{Created: day, Holds: Span(time.Hour), Fades: Span(8 * time.Minute), Carriers: map[string]string{"x": "south"}, Flights: map[string]string{"1f": "north"}}
	_, ok := p.index()
	require.True(t, ok)
	cell, _ := p.Cell(at(0), "x", 0x1f)
	assert.Equal(t, "north", cell)
	cell, _ = p.Cell(at(0), "x", 2)
	assert.Equal(t, "south", cell)
	_, ok = p.Cell(at(0), "y", 2)
	assert.False(t, ok)
	in := func(after time.Duration) (n int) {
		for k := range uint64(1000) {
			if _, ok := p.Cell(at(after), "x", k); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 1000, in(0))
	assert.InDelta(t, 500, in(time.Hour+3*time.Minute+30*time.Second), 60)
	assert.Zero(t, in(2*time.Hour))
}

// Each flight in one room's cell, rooms as full as each other, hosts by what they serve; what the plan says when a host
// is gone is the same for all rooms.
func TestPlansByRoom(t *testing.T) {
	f, list := skewed()
	g := LimitUtilisation(RoomsAsCells(f), 1.05)
	a := Solve(g, steps)
	p := NewPlan(f, a, day, time.Hour, 0)
	assert.Len(t, p.Flights, 16)
	assert.Equal(t, p.RoomWeights["a"], p.RoomWeights["b"])
	in := map[string]int{}
	for _, room := range p.Flights {
		in[room]++
	}
	assert.InDelta(t, in["a"], in["b"], 1, "twelve arrive in a, four in b")
	fewer := list[1:]
	assert.Equal(t, p.Weigh(at(0), "a", fewer), p.Weigh(at(0), "b", fewer))
	over := LimitUtilisation(f, 0.1)
	assert.Equal(t, f, LimitUtilisation(f, 1000), "nothing is even where demand is over what is served")
	assert.NotEqual(t, f, over)
}
