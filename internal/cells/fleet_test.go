package cells

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

// Without a plan, a Fleet takes the same actions as a single policy.Balancer for any sequence of events.
func TestFleetWithoutPlanMatchesSingleBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single := &fakeHost{t: t, inFlight: map[string]string{}, attempts: map[string]int{}, finalAnswers: map[string]int{}}
		balancer := policy.New(testSettings(), 7, single)
		w := newFakeHost(t, testSettings(), nil)
		list, now := testHosts(6), startTime
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprintf("r%d", rapid.IntRange(0, i).Draw(t, "id"))
			what := rapid.IntRange(0, 6).Draw(t, "what")
			if i == 0 {
				what = 0
			}
			switch what {
			case 0:
				kind := rapid.SampledFrom([]policy.MembersKind{policy.Full, policy.Cached, policy.Delta, policy.WatchFailed}).Draw(t, "kind")
				j := rapid.IntRange(0, 5).Draw(t, "host")
				list[j].State = rapid.SampledFrom([]policy.State{policy.Ready, policy.Draining}).Draw(t, "state")
				balancer.Members(now, kind, list[j:])
				w.fleet.Members(now, kind, list[j:])
			case 1, 2, 3:
				id = fmt.Sprintf("r%d", i)
				q := policy.Request{ID: id, Class: "lookup", Key: rapid.Uint64Range(0, 9).Draw(t, "key"), HasKey: true, TTL: time.Second}
				balancer.Request(now, q)
				w.fleet.Request(now, q)
			case 4:
				balancer.ConnectionEstablished(now, id)
				w.fleet.ConnectionEstablished(now, id)
			case 5:
				result := policy.Result(rapid.IntRange(0, 7).Draw(t, "result"))
				over := rapid.Bool().Draw(t, "over")
				if single.inFlight[id] != "" {
					delete(single.inFlight, id)
					delete(w.inFlight, id)
					balancer.Outcome(now, id, result, over)
					w.fleet.Outcome(now, id, result, over)
				}
			case 6:
				balancer.ServerDelay(now, list[0].ID, 400*time.Millisecond)
				w.fleet.ServerDelay(now, list[0].ID, 400*time.Millisecond)
				if len(w.timers) > 0 {
					balancer.Wake(now, w.timers[0].name)
					w.fleet.Wake(now, w.timers[0].name)
					w.timers = w.timers[1:]
				}
			}
			require.Equal(t, single.actions, w.actions)
		}
	})
}

// Only one balancer watches discovery, so that calls do not multiply with the number of cells.
func TestOneWatchForAllCells(t *testing.T) {
	w := newFakeHost(t, testSettings(), evenPlan(5))
	w.fleet.Members(startTime, policy.Cached, testHosts(10))
	w.fleet.Members(startTime, policy.WatchFailed, nil)
	w.fireTimers(startTime + time.Minute)
	assert.Equal(t, 2, w.watchCalls)
}

func TestRetryBudgetIsDivided(t *testing.T) {
	set := testSettings()
	set.RetryBudgetSpan, set.RetryBudgetBase = 10*time.Second, 4
	w := newFakeHost(t, set, evenPlan(4))
	w.fleet.Members(startTime, policy.Full, testHosts(40))
	for i := range 40 {
		id := fmt.Sprintf("r%d", i)
		w.request(startTime, id, fmt.Sprintf("air-%d", i%4), uint64(i))
		for w.finalAnswers[id] == 0 {
			delete(w.inFlight, id)
			w.fleet.Outcome(startTime, id, policy.Rejected, false)
		}
	}
	retries := 0
	for _, n := range w.attempts {
		retries += n - 1
	}
	assert.LessOrEqual(t, retries, 4)
}

// Failures in one cell do not change the decisions of another.
func TestFailuresInAnotherCellChangeNoDecision(t *testing.T) {
	run := func(trouble bool) []string {
		w := newFakeHost(t, testSettings(), evenPlan(2))
		w.fleet.Members(startTime, policy.Full, testHosts(12))
		var sent []string
		for i := range 200 {
			now := startTime + time.Duration(i)*10*time.Millisecond
			id := fmt.Sprintf("a%d", i)
			w.request(now, id, "air-0", 1)
			if trouble && w.inFlight[id] != "" {
				delete(w.inFlight, id)
				w.fleet.Outcome(now, id, policy.Timeout, true)
			}
			sent = append(sent, w.request(now, fmt.Sprintf("b%d", i), "air-1", uint64(i)))
		}
		return sent
	}
	assert.Equal(t, run(false), run(true))
}
