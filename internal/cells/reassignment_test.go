package cells

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

// A host that changes its cell is removed from the old cell's balancer at once, and its slow-start budget is not spent
// twice.
func TestReassignedHostGetsNoSecondSlowStartBudget(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Numbers: []int{1}}, {Name: "b", Numbers: []int{2}, Carriers: []string{"x"}}}}
	w := newFakeHost(t, testSettings(), plan)
	cold := policy.Server{ID: "cold", Cell: 1, State: policy.Ready, Weight: 1, Started: startTime}
	w.fleet.Members(startTime, policy.Full, []policy.Server{cold, {ID: "one", Cell: 1, State: policy.Ready, Weight: 1}, {ID: "two", Cell: 2, State: policy.Ready, Weight: 1}})
	for i := range 200 {
		w.establish(startTime-2*time.Second, fmt.Sprintf("s%d", i), []string{"", "x"}[i%2], uint64(i))
	}
	sent := 0
	for i := range 40 {
		if w.request(startTime, fmt.Sprintf("a%d", i), "", uint64(i)) == "cold" {
			sent++
		}
	}
	require.Positive(t, sent)
	cold.Cell = 2
	w.fleet.Members(startTime, policy.Delta, []policy.Server{cold})
	for i := range 40 {
		assert.NotEqual(t, "cold", w.request(startTime, fmt.Sprintf("b%d", i), "x", uint64(i)))
	}
	w.fleet.Members(startTime, policy.Delta, []policy.Server{{ID: "one", Cell: 2, State: policy.Ready, Weight: 1}})
	assert.Empty(t, w.request(startTime, "late", "", 3), "the old cell has no host left and refuses")
	assert.Equal(t, 1, w.finalAnswers["late"])
}

func TestReassignedDrainingHostGetsNoMidFlowRequests(t *testing.T) {
	plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Numbers: []int{1}}, {Name: "b", Numbers: []int{2}, Carriers: []string{"x"}}}}
	w := newFakeHost(t, testSettings(), plan)
	s := policy.Server{ID: "s", Cell: 1, State: policy.Draining, Weight: 1}
	w.fleet.Members(startTime, policy.Full, []policy.Server{s, {ID: "two", Cell: 2, State: policy.Ready, Weight: 1}})
	s.Cell = 2
	w.fleet.Members(startTime+250*time.Millisecond, policy.Delta, []policy.Server{s})
	for i := range uint64(20) {
		w.fleet.Request(startTime+400*time.Millisecond, policy.Request{ID: fmt.Sprint(i), Class: "lookup", Key: i, HasKey: true, TTL: time.Second, MidFlow: true, Tenant: "x"})
		assert.Equal(t, "two", w.lastSent)
	}
}

// Hosts are not reassigned while discovery is unreachable. A host that left counts in the assignment for
// AbsentRetention, and no longer.
func TestAbsentHostRetention(t *testing.T) {
	plan := evenPlan(4)
	plan.AbsentRetention = 30 * time.Second
	w := newFakeHost(t, testSettings(), plan)
	list := testHosts(16)
	w.fleet.Members(startTime, policy.Full, list)
	owners := func() map[string]string {
		out := map[string]string{}
		for id, c := range w.fleet.cellOfHost {
			out[id] = c.name
		}
		return out
	}
	before := owners()
	crashed := map[string]bool{}
	for i := range list {
		if before[list[i].ID] == "c0" {
			list[i].State = policy.Gone
			w.fleet.Members(startTime+time.Second, policy.Delta, list[i:i+1])
			crashed[list[i].ID] = true
		}
	}
	w.fleet.Members(startTime+2*time.Second, policy.WatchFailed, nil)
	w.fireTimers(startTime + 20*time.Second)
	for id, c := range owners() {
		assert.Equal(t, before[id], c, "a crash takes no host from another cell")
		assert.False(t, crashed[id])
	}
	assert.Empty(t, w.request(startTime+20*time.Second, "r", "air-0", 1), "the cell has no host and refuses")
	w.fireTimers(startTime + 40*time.Second)
	count := map[string]int{}
	for _, c := range owners() {
		count[c]++
	}
	assert.Equal(t, map[string]int{"c0": 3, "c1": 3, "c2": 3, "c3": 3}, count)
	assert.NotEmpty(t, w.request(startTime+40*time.Second, "s", "air-0", 1))
}
