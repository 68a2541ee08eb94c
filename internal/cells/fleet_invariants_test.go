package cells

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

// For any sequence of list updates, plans and requests: each request gets one final answer and at most six attempts,
// never two at once and none to a host outside its cell, and the cells' counts match the tracked requests.
func TestFleetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plans := []*Plan{evenPlan(3), evenPlan(2), nil, {Default: "c0", Cells: []Cell{
			{Name: "c0", Share: 0.5, MaxGuests: 4, MaxConnections: 12}, {Name: "c1", Share: 0.3, MaxConnections: 3, OverflowTo: "c0", Carriers: []string{"air-1"}},
			{Name: "c2", Share: 0.2, MaxOpensPerSecond: 3, Carriers: []string{"air-2"}}},
			Moves: []Move{{Carrier: "air-1", From: "c1", To: "c2", Start: startTime + time.Second, Duration: 4 * time.Second, ReturnStart: startTime + 6*time.Second}}}}
		w := newFakeHost(t, testSettings(), plans[rapid.IntRange(0, 3).Draw(t, "plan")])
		list, now, taken, open := testHosts(9), startTime, map[string]bool{}, []string{}
		w.fleet.Members(now, policy.Full, list)
		w.onSend = func(r, s string) {
			if c := w.fleet.requests[r].cell; w.fleet.plan != nil {
				require.Equal(t, w.fleet.cellOfHost[s].name, c.name, "a desk host of another cell")
			}
			require.NotEqual(t, policy.Gone, w.fleet.listedHosts[s].State)
		}
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond
			w.fireTimers(now)
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case what < 5:
				id := fmt.Sprintf("r%d", i)
				taken[id] = true
				w.fleet.Request(now, policy.Request{ID: id, Class: "lookup", Key: rapid.Uint64Range(0, 20).Draw(t, "key"), HasKey: true,
					TTL: time.Second, Tenant: fmt.Sprintf("air-%d", rapid.IntRange(0, 3).Draw(t, "carrier")), MidFlow: rapid.IntRange(0, 3).Draw(t, "mid") == 0})
			case what < 8:
				for _, id := range sortedKeys(w.inFlight) {
					if w.finalAnswers[id] == 0 && rapid.Bool().Draw(t, "comes up") {
						w.fleet.ConnectionEstablished(now, id)
						w.finalAnswers[id]++
						open = append(open, id)
					}
				}
			case what == 8:
				for _, id := range sortedKeys(w.inFlight) {
					if w.finalAnswers[id] == 0 {
						delete(w.inFlight, id)
						w.fleet.Outcome(now, id, rapid.SampledFrom([]policy.Result{policy.Rejected, policy.Reset, policy.Timeout}).Draw(t, "result"), false)
						break
					}
				}
			case what == 9 && len(open) > 0:
				w.endConnection(now, open[0])
				open = open[1:]
			case what == 10:
				j := rapid.IntRange(0, 8).Draw(t, "host")
				list[j].State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining, policy.Gone}).Draw(t, "state")
				w.fleet.Members(now, policy.Delta, list[j:j+1])
			case what == 11:
				w.fleet.SetPlan(now, plans[rapid.IntRange(0, 3).Draw(t, "plan")])
			}
			for _, id := range w.moves { // clients end moved connections at once
				if w.inFlight[id] != "" {
					w.endConnection(now, id)
					open = slices.DeleteFunc(open, func(o string) bool { return o == id })
				}
			}
			requireConsistentCounts(t, w)
		}
		for range 40 { // all attempts in flight end; waiting requests are answered before their deadline
			now += 100 * time.Millisecond
			w.fireTimers(now)
			for _, id := range sortedKeys(w.inFlight) {
				if w.finalAnswers[id] == 0 {
					delete(w.inFlight, id)
					w.fleet.Outcome(now, id, policy.Rejected, false)
				}
			}
		}
		for id := range taken {
			require.Equal(t, 1, w.finalAnswers[id], "final answers of %s", id)
			require.LessOrEqual(t, w.attempts[id], 6)
		}
		moved := slices.Clone(w.moves)
		slices.Sort(moved)
		require.Equal(t, len(moved), len(slices.Compact(moved)), "moved twice")
	})
}

func sortedKeys(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// requireConsistentCounts compares the cells' counts and indexes with the tracked requests.
func requireConsistentCounts(t *rapid.T, w *fakeHost) {
	open, established, guests, totalEstablished := map[*cell]int{}, map[*cell]int{}, map[*cell]int{}, 0
	for _, r := range w.fleet.requests {
		open[r.cell]++
		if r.established {
			established[r.cell]++
			totalEstablished++
		}
		if r.overflowedFrom != nil {
			guests[r.cell]++
		}
	}
	for _, c := range w.fleet.cellsByNumber {
		require.Equal(t, open[c], c.open)
		require.Equal(t, established[c], c.established)
		require.Equal(t, guests[c], c.guests)
	}
	byCarrier, byFlight := 0, 0
	for _, all := range w.fleet.carrierConnections {
		byCarrier += len(all)
	}
	for _, at := range w.fleet.flightConnections {
		for _, n := range at {
			byFlight += n
		}
	}
	require.Equal(t, totalEstablished, byCarrier)
	require.Equal(t, totalEstablished, byFlight)
}
