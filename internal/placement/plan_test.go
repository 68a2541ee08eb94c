package placement

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
