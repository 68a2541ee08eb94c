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

var day = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Duration { return time.Duration(day.Add(after).UnixNano()) }

// two rooms of three hosts; far more arrives in a than its hosts serve.
func skewed() (*Fleet, []policy.Server) {
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

func plan() (*Plan, []policy.Server) {
	f, list := skewed()
	return NewPlan(f, Solve(f, steps), day, time.Hour, 8*time.Minute), list
}

// share is what of the weights hosts of a room have.
func share(w map[string]float64, list []policy.Server, room string) float64 {
	in, all := 0.0, 0.0
	for _, s := range list {
		all += w[s.ID]
		if s.Zone == room {
			in += w[s.ID]
		}
	}
	return in / all
}

func TestWeightsKeepTrafficInItsRoom(t *testing.T) {
	p, list := plan()
	assert.Greater(t, share(p.Weigh(at(0), "b", list), list, "b"), 0.98)
	assert.InDelta(t, 135.0/168, share(p.Weigh(at(0), "a", list), list, "a"), 0.01, "a's 12 flights of 8 and a pair's 6, and the 135 that it serves")
	for _, w := range p.Weigh(at(0), "b", list) {
		assert.Greater(t, w, 0.0, "the module takes no weight for 1")
	}
	assert.Equal(t, 1.0, p.Weigh(at(0), "elsewhere", list)["h0"], "a room that the plan does not know")
}

func TestAPlanAgesInSteps(t *testing.T) {
	p, list := plan()
	was, changes := 2.0, 0
	for now := time.Duration(0); now < 2*time.Hour; now += 10 * time.Second {
		force, next := p.Force(at(now))
		assert.LessOrEqual(t, force, was)
		if force != was {
			was, changes = force, changes+1
		}
		if next != 0 {
			again, _ := p.Force(next)
			assert.Less(t, again, force, "it changes when it says so")
			before, _ := p.Force(next - 1)
			assert.Equal(t, force, before)
		}
	}
	assert.Equal(t, 1+fadeSteps, changes)
	assert.Zero(t, was)
	assert.Equal(t, 1.0, p.Weigh(at(2*time.Hour), "b", list)["h0"], "then as discovery tells")
	half := p.Weigh(at(time.Hour+4*time.Minute-time.Second), "b", list)
	assert.InDelta(t, 0.75, share(half, list, "b"), 0.01)
}

// Hosts that are gone leave their share to their room, and where that no longer serves it, to others; hosts that the
// plan does not know are taken for the median of their kind.
func TestAPlanForAnotherFleet(t *testing.T) {
	p, list := plan()
	fewer := slices.DeleteFunc(slices.Clone(list), func(s policy.Server) bool { return s.ID == "h0" || s.ID == "h2" })
	w := p.Weigh(at(0), "a", fewer)
	assert.InDelta(t, 45.0/(45+135-56), share(w, fewer, "a"), 0.01, "one host of a is left: it gets what it serves, b's what b has left")
	more := append(slices.Clone(list), policy.Server{ID: "new", Zone: "b", Kind: "full-speed", State: policy.Ready, Weight: 1})
	w = p.Weigh(at(0), "b", more)
	assert.InDelta(t, w["h1"], w["new"], 1e-9)
	none := p.Weigh(at(0), "a", nil)
	assert.Empty(t, none)
	var gone []policy.Server
	for _, s := range list {
		s.State = policy.Draining
		gone = append(gone, s)
	}
	assert.Equal(t, p.Weigh(at(0), "a", list), p.Weigh(at(0), "a", gone), "a drain moves no key before its host is gone")
}

// Weights follow from list, room and time alone: not from the order of the list.
func TestBalancersWeighAlike(t *testing.T) {
	p, list := plan()
	rapid.Check(t, func(t *rapid.T) {
		other := slices.Clone(list)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		n := rapid.IntRange(0, len(other)).Draw(t, "listed")
		now := at(time.Duration(rapid.IntRange(0, 7200).Draw(t, "now")) * time.Second)
		sorted := slices.Clone(other[:n])
		slices.SortFunc(sorted, func(a, b policy.Server) int { return strings.Compare(a.ID, b.ID) })
		assert.Equal(t, p.Weigh(now, "a", sorted), p.Weigh(now, "a", other[:n]))
	})
}

func TestAPlanComesBackAsItWas(t *testing.T) {
	p, _ := plan()
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

// Cells as hosts: flights and carriers are given to them.
func TestPlansOverCells(t *testing.T) {
	f, _ := skewed()
	f.Hosts = []Host{{ID: "north", Room: "a", Capacity: 150, HostsPerFlight: 2}, {ID: "south", Room: "b", Capacity: 150, HostsPerFlight: 2}}
	for i := range f.Flights {
		f.Flights[i].Carrier = f.Flights[i].Parts[0].Room
	}
	p := NewPlan(f, Solve(f, steps), day, time.Hour, 0)
	assert.Nil(t, p.RoomWeights)
	assert.Len(t, p.Flights, 16)
	assert.Equal(t, "south", p.Carriers["b"])
	again, err := ParsePlan(must(json.Marshal(p)))
	require.NoError(t, err)
	assert.Equal(t, p.Flights, again.Flights)
}

func must(text []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return text
}

// What the fleet cannot serve is told, by carrier, the least worth a load first.
func TestWhatIsShedIsTold(t *testing.T) {
	f := &Fleet{Prices: DefaultPrices(), Hosts: []Host{{ID: "h", Room: "a", Capacity: 40}}}
	for i, worth := range []float64{1, 3, 0.2, 0.1} {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Carrier: fmt.Sprint(worth), Parts: []Part{{"a", 14, 14 * worth}}})
	}
	p := NewPlan(f, Solve(f, steps), day, 0, 0)
	var names []string
	for _, s := range p.ShedDemand {
		names = append(names, s.Carrier)
	}
	assert.Equal(t, []string{"0.1", "0.2"}, names)
}

// The estimate finds what hosts can do from late and noisy reports, and its error bars hold it most of the time.
func TestCapacityIsEstimated(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	within, off := 0, 0.0
	const hosts = 60
	e := NewEstimator()
	truth := map[string]float64{}
	for i := range hosts {
		id, kind, speed := fmt.Sprintf("h%02d", i), "full-speed", 0.85+0.25*rng.Float64()
		if i%2 == 1 {
			kind, speed = "slow-clock", 0.51+0.18*rng.Float64()
		}
		truth[id] = 36 * speed
		e.Know(id, "a", kind)
		load := 5.0
		for range 8 + rng.IntN(200) {
			late := load
			load = max(load+2*rng.NormFloat64(), 1)
			e.Learn(id, load*(1+0.1*rng.NormFloat64()), late/truth[id])
		}
	}
	for _, h := range e.Hosts() {
		off += math.Abs(h.Capacity/truth[h.ID]-1) / hosts
		if math.Abs(h.Capacity-truth[h.ID]) <= 2*h.CapacityError*h.Capacity {
			within++
		}
	}
	assert.Less(t, off, 0.08)
	assert.GreaterOrEqual(t, within, hosts*8/10)
}

// A host without reports is taken for its kind, with a wide error; records of several balancers add up, and a broken
// line is left out.
func TestRecordsMakeAFleet(t *testing.T) {
	var text strings.Builder
	for i := range 20 {
		for b := range 2 {
			rec := Record{Version: 1, At: day.UnixMilli() + int64(i*1000+b), Balancer: fmt.Sprint("n", b), Room: []string{"a", "b"}[b],
				Hosts:       []RecordedHost{{ID: "h0", Room: "a", Kind: "k", X0: 0.5}, {ID: "h1", Room: "b", Kind: "k", Age: -1}},
				Connections: []FlightConnections{{Key: "f1", Carrier: "x", Host: "h0", OpenByClass: map[string]int{"lookup": 2, "seat-set": 1}}}}
			text.Write(must(json.Marshal(rec)))
			text.WriteByte('\n')
		}
	}
	text.WriteString(`{"v":1,"at":17`)
	g := NewFleetBuilder(DefaultClassLoads(), 3, time.Second)
	require.NoError(t, g.Read(strings.NewReader(text.String())))
	assert.Equal(t, 1, g.RejectedLines)
	f, err := g.Fleet(DefaultPrices())
	require.NoError(t, err)
	require.Len(t, f.Hosts, 2)
	assert.InDelta(t, 26, f.Hosts[0].Capacity, 1e-6, "two balancers with 5 loads each and one flight, at an x0 of a half")
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
	p, list := plan()
	f.Add(must(json.Marshal(p)))
	f.Add([]byte(`{"version":1,"born":"2026-12-01T05:00:00Z","holds":"1h","fades":"1m","rooms":{"a":{}},"hosts":[],"demand":{"a":1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := ParsePlan(text)
		if err != nil {
			return
		}
		for _, w := range p.Weigh(at(0), "a", list) {
			if !(w > 0) || math.IsInf(w, 0) {
				t.Fatalf("weight %v", w)
			}
		}
	})
}

func FuzzFleet(f *testing.F) {
	fleet, _ := skewed()
	f.Add(must(json.Marshal(fleet)))
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
