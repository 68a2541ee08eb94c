package cells

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

// Fixes the seed so that each run checks the same cases; -rapid.seed=0 -rapid.checks=100000 searches for others.
func init() { _ = flag.Set("rapid.seed", "1") }

// testHosts returns n hosts in two rooms and of two kinds.
func testHosts(n int) []policy.Server {
	out := make([]policy.Server, n)
	for i := range out {
		out[i] = policy.Server{ID: fmt.Sprintf("s-%04d", i), Zone: []string{"treforest", "llandaff"}[i%2],
			Kind: []string{"full-speed", "slow-clock"}[i/2%2], Cell: i % 5, State: policy.Ready, Weight: 1}
	}
	return out
}

func evenPlan(n int) *Plan {
	p := &Plan{Default: "c0"}
	for i := range n {
		p.Cells = append(p.Cells, Cell{Name: fmt.Sprintf("c%d", i), Share: 1 / float64(n), Carriers: []string{fmt.Sprintf("air-%d", i)}})
	}
	return p
}

// Each kind of error is reported at its block and attribute, and all errors at once.
func TestValidateReportsEveryError(t *testing.T) {
	p := &Plan{Default: "nowhere", Cells: []Cell{
		{Name: "a", Share: 0.7, Carriers: []string{"x"}, OverflowTo: "b", MaxGuests: 3, Flights: []FlightRange{{1, 9}}, Numbers: []int{4}, Rooms: []string{"r"}},
		{Name: "b", Share: 0.7, Carriers: []string{"x"}, OverflowTo: "a", MaxGuests: 5, MaxConnections: 5, Flights: []FlightRange{{9, 9}}, Numbers: []int{4}, Rooms: []string{"r"}},
		{Name: "b", Share: math.NaN()}, {Name: "no good", OverflowTo: "c"}, {Name: "e", Share: 0.1, OverflowTo: "no good"},
	}, Moves: []Move{{Carrier: "x", From: "b", To: "z", Duration: 1, Start: 5, ReturnStart: 4, MaxPerSecond: -1}, {Carrier: "x", From: "a", To: "a", Duration: time.Hour}}}
	var got []string
	for _, problem := range p.Validate() {
		got = append(got, problem.Block+"|"+problem.Label+"|"+problem.Attribute)
	}
	for _, want := range []string{"||default", "cell|b|carriers", "cell|b|flights", "cell|b|numbers", "cell|b|rooms", "cell|b|guests",
		"cell|b|", "cell|b|share", "cell|no good|", "cell|e|share", "cell|a|overflow_to", "cell|no good|overflow_to",
		"cell|e|overflow_to", "move|x|from", "move|x|to", "move|x|span", "move|x|back", "move|x|pace", "move|x|"} {
		assert.Contains(t, got, want)
	}
	assert.Empty(t, evenPlan(40).Validate())
	assert.Empty(t, (&Plan{}).Validate())
}

// The assignment does not depend on the order of the list, so it is the same at every balancer. Every host is in a
// cell, and each cell has its quota to within one host.
func TestAssignmentIsDeterministicAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, k := rapid.IntRange(1, 60).Draw(t, "hosts"), rapid.IntRange(1, 7).Draw(t, "cells")
		p, list := evenPlan(k), testHosts(n)
		assigned := p.AssignHosts(list)
		shuffled := rapid.Permutation(list).Draw(t, "order")
		assert.Equal(t, assigned, p.AssignHosts(shuffled))
		count := map[string]int{}
		for _, s := range list {
			count[assigned[s.ID]]++
		}
		for _, c := range p.Cells {
			assert.InDelta(t, float64(n)/float64(k), count[c.Name], 1)
		}
		assert.Len(t, assigned, n)
		assert.NotContains(t, count, "")
	})
}

func TestAssignmentSpreadsOverRoomsAndKinds(t *testing.T) {
	list, p := testHosts(48), evenPlan(4)
	count := map[string]int{}
	for id, c := range p.AssignHosts(list) {
		i := slices.IndexFunc(list, func(s policy.Server) bool { return s.ID == id })
		count[c+list[i].Zone+list[i].Kind]++
	}
	assert.Len(t, count, 16)
	for _, n := range count {
		assert.Equal(t, 3, n)
	}
}

// A host that leaves reassigns few others: with 1,000 hosts, 40 cells and slack, less than one on average. Without
// slack, the size of a cell stays exact.
func TestAssignmentChangesFewHosts(t *testing.T) {
	for slack, maxMoved := range map[float64]int{0.1: 30, 0: 180} {
		list, p := testHosts(1000), evenPlan(40)
		p.Slack = slack
		before, moved, largest := p.AssignHosts(list), 0, 0
		for i := 0; i < 30; i++ {
			count := map[string]int{}
			for id, c := range p.AssignHosts(slices.Delete(slices.Clone(list), i*30, i*30+1)) {
				if before[id] != c {
					moved++
				}
				count[c]++
				largest = max(largest, count[c])
			}
		}
		assert.Less(t, moved, maxMoved)
		assert.LessOrEqual(t, largest, 25+int(25*slack))
	}
}

func TestHostSelectors(t *testing.T) {
	p := &Plan{Default: "rest", Cells: []Cell{{Name: "id", IDs: []string{"s-0000"}}, {Name: "number", Numbers: []int{0}},
		{Name: "room", Rooms: []string{"llandaff"}}, {Name: "kind", Kinds: []string{"slow-clock"}}, {Name: "rest", Share: 1}}}
	assigned := p.AssignHosts(testHosts(8))
	assert.Equal(t, map[string]string{"s-0000": "id", "s-0001": "room", "s-0002": "kind", "s-0003": "room",
		"s-0004": "rest", "s-0005": "number", "s-0006": "kind", "s-0007": "room"}, assigned)
	p.Cells[4].Share = 0
	p.Cells[4].Numbers = []int{99}
	assert.Equal(t, "rest", p.AssignHosts(testHosts(8))["s-0004"], "without shares, the default cell gets the remaining hosts")
}

// During a move, a flight crosses once, at a time that depends only on the move and the clock. If the move is returned,
// the flight returns once or never crosses.
func TestFlightsCrossAndReturnAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Move{Carrier: "x", From: "a", To: "b", Start: 1000 * time.Second, Duration: time.Duration(rapid.IntRange(1, 600).Draw(t, "span")) * time.Second}
		if rapid.Bool().Draw(t, "turned") {
			m.ReturnStart = m.Start + time.Duration(rapid.IntRange(1, 900).Draw(t, "back"))*time.Second
		}
		flight := rapid.Uint64().Draw(t, "flight")
		changes, hasCrossed := 0, false
		observe := func(now time.Duration) {
			crossed, since := m.Crossed(now, flight)
			if crossed != hasCrossed {
				changes, hasCrossed = changes+1, crossed
			}
			assert.LessOrEqual(t, since, now)
		}
		for now := m.Start - time.Second; now < m.End(); now += (m.End() - m.Start) / 100 {
			observe(now)
		}
		observe(m.End())
		if m.ReturnStart == 0 {
			assert.Equal(t, 1, changes)
			assert.True(t, hasCrossed)
		} else {
			assert.False(t, hasCrossed)
			assert.LessOrEqual(t, changes, 2)
		}
	})
}

// A placement plan's cell for a flight ranks below the file's flights and moves and above its carriers. A cell that
// does not exist is ignored.
func TestPlacementPlanPrecedence(t *testing.T) {
	p := evenPlan(4)
	p.Cells[3].Flights = []FlightRange{{7, 7}}
	p.Moves = []Move{{Carrier: "air-2", From: "c2", To: "c1", Start: time.Second, Duration: time.Second}}
	placedIn := "c1"
	p.PlacementCell = func(_ time.Duration, _ string, flight uint64) (string, bool) { return placedIn, flight < 10 }
	assert.Equal(t, "c1", p.HomeCell(0, "air-0", 5))
	assert.Equal(t, "c3", p.HomeCell(0, "air-0", 7), "the file lists the flight")
	assert.Equal(t, "c2", p.HomeCell(0, "air-2", 5), "its carrier has a move")
	assert.Equal(t, "c0", p.HomeCell(0, "air-0", 50), "the placement plan does not contain the flight")
	placedIn = "c9"
	assert.Equal(t, "c0", p.HomeCell(0, "air-0", 5))
}
