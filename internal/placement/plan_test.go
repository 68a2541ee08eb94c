package placement

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

var created = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

func unixTime(after time.Duration) time.Duration { return time.Duration(created.Add(after).UnixNano()) }

// skewedFleet has two rooms of three hosts each. Far more demand arrives in room a than its hosts can serve.
func skewedFleet() (*Fleet, []policy.Server) {
	f := &Fleet{Prices: DefaultPrices()}
	var list []policy.Server
	for i := range 6 {
		id, room := fmt.Sprint("h", i), []string{"a", "b"}[i%2]
		f.Hosts = append(f.Hosts, Host{ID: id, Room: room, Kind: "full-speed", Capacity: 50})
		list = append(list, policy.Server{ID: id, Zone: room, Kind: "full-speed", State: policy.Ready, Weight: 1})
	}
	for i := range 16 {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Carrier: "x", Parts: []Part{{[]string{"a", "a", "a", "b"}[i%4], 8, 8}}})
	}
	return f, list
}

func skewedPlan() (*Plan, []policy.Server) {
	f, list := skewedFleet()
	return NewPlan(f, Solve(f, testLimit), created, time.Hour, 8*time.Minute), list
}

// roomShare is the share of the total weight that the hosts of a room have.
func roomShare(w map[string]float64, list []policy.Server, room string) float64 {
	in, all := 0.0, 0.0
	for _, s := range list {
		all += w[s.ID]
		if s.Zone == room {
			in += w[s.ID]
		}
	}
	return in / all
}

func TestWeightsKeepTrafficInItsOwnRoom(t *testing.T) {
	p, list := skewedPlan()
	assert.Greater(t, roomShare(p.Weights(unixTime(0), "b", list), list, "b"), 0.98)
	assert.InDelta(t, 135.0/168, roomShare(p.Weights(unixTime(0), "a", list), list, "a"), 0.01, "room a has 12 flights of 8, with the overhead of 6 on two hosts, and serves 135")
	for _, w := range p.Weights(unixTime(0), "b", list) {
		assert.Greater(t, w, 0.0, "the ranking treats a weight of 0 as 1")
	}
	assert.Equal(t, 1.0, p.Weights(unixTime(0), "elsewhere", list)["h0"], "a room that is not in the plan")
}

func TestPlanForceFadesInSteps(t *testing.T) {
	p, list := skewedPlan()
	previous, changes := 2.0, 0
	for now := time.Duration(0); now < 2*time.Hour; now += 10 * time.Second {
		force, next := p.Force(unixTime(now))
		assert.LessOrEqual(t, force, previous)
		if force != previous {
			previous, changes = force, changes+1
		}
		if next != 0 {
			again, _ := p.Force(next)
			assert.Less(t, again, force, "the force changes at the announced time")
			before, _ := p.Force(next - 1)
			assert.Equal(t, force, before)
		}
	}
	assert.Equal(t, 1+fadeSteps, changes)
	assert.Zero(t, previous)
	assert.Equal(t, 1.0, p.Weights(unixTime(2*time.Hour), "b", list)["h0"], "a plan that is no longer in force leaves the discovered weights")
	fading := p.Weights(unixTime(time.Hour+4*time.Minute-time.Second), "b", list)
	assert.InDelta(t, 0.75, roomShare(fading, list, "b"), 0.01)
}

// The share of hosts that are gone goes to the other hosts of their room and, if these cannot serve it, to other rooms.
// Hosts that the plan does not know get the median weight of their kind.
func TestWeightsForChangedFleet(t *testing.T) {
	p, list := skewedPlan()
	fewer := slices.DeleteFunc(slices.Clone(list), func(s policy.Server) bool { return s.ID == "h0" || s.ID == "h2" })
	w := p.Weights(unixTime(0), "a", fewer)
	assert.InDelta(t, 45.0/(45+135-56), roomShare(w, fewer, "a"), 0.01, "the one host left in a gets what it serves, those of b get the free capacity of b")
	more := append(slices.Clone(list), policy.Server{ID: "new", Zone: "b", Kind: "full-speed", State: policy.Ready, Weight: 1})
	w = p.Weights(unixTime(0), "b", more)
	assert.InDelta(t, w["h1"], w["new"], 1e-9)
	none := p.Weights(unixTime(0), "a", nil)
	assert.Empty(t, none)
	var draining []policy.Server
	for _, s := range list {
		s.State = policy.Draining
		draining = append(draining, s)
	}
	assert.Equal(t, p.Weights(unixTime(0), "a", list), p.Weights(unixTime(0), "a", draining), "a draining host keeps its keys until it is gone")
}

// Balancers of a room must agree on the weights, so these must not depend on the order of the list.
func TestWeightsDoNotDependOnListOrder(t *testing.T) {
	p, list := skewedPlan()
	rapid.Check(t, func(t *rapid.T) {
		other := slices.Clone(list)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		n := rapid.IntRange(0, len(other)).Draw(t, "listed")
		now := unixTime(time.Duration(rapid.IntRange(0, 7200).Draw(t, "now")) * time.Second)
		sorted := slices.Clone(other[:n])
		slices.SortFunc(sorted, func(a, b policy.Server) int { return strings.Compare(a.ID, b.ID) })
		assert.Equal(t, p.Weights(now, "a", sorted), p.Weights(now, "a", other[:n]))
	})
}

func TestPlanRoundTrip(t *testing.T) {
	p, _ := skewedPlan()
	text, err := json.MarshalIndent(p, "", "  ")
	require.NoError(t, err)
	again, err := ParsePlan(text)
	require.NoError(t, err)
	assert.Equal(t, p, again)
	for name, change := range map[string][2]string{
		"3:11: a plan of version 2": {`"version": 1`, "\n \"version\": 2"},
		"unknown field":             {`"version"`, `"versions"`},
		"invalid duration":          {`"1h0m0s"`, `"an hour"`},
		"weight":                    {`"h0": `, `"h0": -`},
	} {
		_, err := ParsePlan([]byte(strings.Replace(string(text), change[0], change[1], 1)))
		if name[0] == '3' {
			assert.ErrorContains(t, err, "a plan of version 2")
			assert.ErrorContains(t, err, "3:2: ")
		} else {
			assert.ErrorContains(t, err, name)
		}
	}
	_, err = ParsePlan(append(text, "{}"...))
	assert.Error(t, err)
}

// With cells in place of hosts, the plan assigns flights and carriers to cells.
func TestPlanWithCellsAsHosts(t *testing.T) {
	f, _ := skewedFleet()
	f.Hosts = []Host{{ID: "north", Room: "a", Capacity: 150, HostsPerFlight: 2}, {ID: "south", Room: "b", Capacity: 150, HostsPerFlight: 2}}
	for i := range f.Flights {
		f.Flights[i].Carrier = f.Flights[i].Parts[0].Room
	}
	p := NewPlan(f, Solve(f, testLimit), created, time.Hour, 0)
	assert.Nil(t, p.RoomWeights)
	assert.Len(t, p.Flights, 16)
	assert.Equal(t, "south", p.Carriers["b"])
	again, err := ParsePlan(mustMarshal(json.Marshal(p)))
	require.NoError(t, err)
	assert.Equal(t, p.Flights, again.Flights)
}

func mustMarshal(text []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return text
}

// Demand that the fleet cannot serve is reported by carrier, the least worth per load first.
func TestShedDemandIsReportedByCarrier(t *testing.T) {
	f := &Fleet{Prices: DefaultPrices(), Hosts: []Host{{ID: "h", Room: "a", Capacity: 40}}}
	for i, worth := range []float64{1, 3, 0.2, 0.1} {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Carrier: fmt.Sprint(worth), Parts: []Part{{"a", 14, 14 * worth}}})
	}
	p := NewPlan(f, Solve(f, testLimit), created, 0, 0)
	var names []string
	for _, s := range p.ShedDemand {
		names = append(names, s.Carrier)
	}
	assert.Equal(t, []string{"0.1", "0.2"}, names)
}

// The estimator finds the capacities of hosts from late and noisy reports, and its error bars cover the true value most
// of the time.
func TestCapacityEstimatesCoverTrueValues(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	within, meanError := 0, 0.0
	const hosts = 60
	e := NewCapacityEstimator()
	truth := map[string]float64{}
	for i := range hosts {
		id, kind, speed := fmt.Sprintf("h%02d", i), "full-speed", 0.85+0.25*rng.Float64()
		if i%2 == 1 {
			kind, speed = "slow-clock", 0.51+0.18*rng.Float64()
		}
		truth[id] = 36 * speed
		e.AddHost(id, "a", kind)
		load := 5.0
		for range 8 + rng.IntN(200) {
			reported := load
			load = max(load+2*rng.NormFloat64(), 1)
			e.AddSample(id, load*(1+0.1*rng.NormFloat64()), reported/truth[id])
		}
	}
	for _, h := range e.Hosts() {
		meanError += math.Abs(h.Capacity/truth[h.ID]-1) / hosts
		if math.Abs(h.Capacity-truth[h.ID]) <= 2*h.CapacityError*h.Capacity {
			within++
		}
	}
	assert.Less(t, meanError, 0.08)
	assert.GreaterOrEqual(t, within, hosts*8/10)
}

// A host without reports gets the capacity of its kind with a large error, records of several balancers add up, and an
// invalid line is skipped.
func TestFleetFromRecords(t *testing.T) {
	var text strings.Builder
	for i := range 20 {
		for b := range 2 {
			rec := Record{Version: 1, At: created.UnixMilli() + int64(i*1000+b), Balancer: fmt.Sprint("n", b), Room: []string{"a", "b"}[b],
				Hosts:       []RecordedHost{{ID: "h0", Room: "a", Kind: "k", X0: 0.5}, {ID: "h1", Room: "b", Kind: "k", Age: -1}},
				Connections: []FlightConnections{{Key: "f1", Carrier: "x", Host: "h0", OpenByClass: map[string]int{"lookup": 2, "seat-set": 1}}}}
			text.Write(mustMarshal(json.Marshal(rec)))
			text.WriteByte('\n')
		}
	}
	text.WriteString(`{"v":1,"at":17`)
	builder := NewFleetBuilder(DefaultClassLoads(), 3, time.Second)
	require.NoError(t, builder.Read(strings.NewReader(text.String())))
	assert.Equal(t, 1, builder.RejectedLines)
	f, err := builder.Fleet(DefaultPrices())
	require.NoError(t, err)
	require.Len(t, f.Hosts, 2)
	assert.InDelta(t, 26, f.Hosts[0].Capacity, 1e-6, "two balancers with 5 loads each, and the overhead of one flight, at an x0 of one half")
	assert.InDelta(t, 26, f.Hosts[1].Capacity, 1e-6)
	assert.Greater(t, f.Hosts[1].CapacityError, 2*f.Hosts[0].CapacityError)
	require.Len(t, f.Flights, 1)
	for i, room := range []string{"a", "b"} {
		part := f.Flights[0].Parts[i]
		assert.Equal(t, room, part.Room)
		assert.InDelta(t, 5, part.Load, 1e-9)
		assert.InDelta(t, 4, part.Worth, 1e-9)
	}
}

func FuzzPlan(f *testing.F) {
	p, list := skewedPlan()
	f.Add(mustMarshal(json.Marshal(p)))
	f.Add([]byte(`{"version":1,"born":"2026-12-01T05:00:00Z","holds":"1h","fades":"1m","rooms":{"a":{}},"hosts":[],"demand":{"a":1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := ParsePlan(text)
		if err != nil {
			return
		}
		for _, w := range p.Weights(unixTime(0), "a", list) {
			if !(w > 0) || math.IsInf(w, 0) {
				t.Fatalf("weight %v", w)
			}
		}
	})
}

func FuzzFleet(f *testing.F) {
	fleet, _ := skewedFleet()
	f.Add(mustMarshal(json.Marshal(fleet)))
	f.Add([]byte(`{"hosts":[{"id":"h","room":"a","capacity":1e-9}],"flights":[{"id":1,"parts":[{"room":"b","load":1e9,"worth":0}]}],"prices":{"fill":1,"piece":3}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		fleet, err := ParseFleet(text)
		if err != nil || len(fleet.Hosts) > 50 || len(fleet.Flights) > 50 {
			return
		}
		a := Solve(fleet, SearchLimit{MaxSteps: 500})
		if math.IsNaN(a.Total) || a.Total > a.Bound*(1+1e-9)+1e-9 {
			t.Fatalf("worth %v, bound %v", a.Total, a.Bound)
		}
	})
}
