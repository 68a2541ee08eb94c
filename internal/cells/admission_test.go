package cells

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tealtiller/policy"
)

// Requests over a limit are refused at once with a retry time. Guests are accepted up to MaxGuests, which leaves the
// rest of the capacity to the cell's own connections.
func TestLimitsAndGuests(t *testing.T) {
	plan := &Plan{Default: "big", AbsentRetention: time.Minute, Cells: []Cell{{Name: "big", Share: 0.5, MaxConnections: 10, MaxGuests: 4},
		{Name: "small", Share: 0.5, MaxConnections: 3, OverflowTo: "big", Carriers: []string{"x"}}}}
	w := newFakeHost(t, testSettings(), plan)
	w.fleet.Members(startTime, policy.Full, testHosts(8))
	for i := range 9 {
		w.request(startTime, fmt.Sprintf("g%d", i), "x", uint64(i))
	}
	f := w.fleet.Stats(startTime)
	assert.Equal(t, []int{4, 4, 3}, []int{f[0].Connections, f[0].Guests, f[1].Connections})
	assert.Equal(t, []int64{4, 2, 0}, []int64{f[1].Overflowed, f[1].RefusedFull, f[0].RefusedFull})
	assert.Equal(t, 1, w.finalAnswers["g8"])
	for i := range 6 {
		assert.NotEmpty(t, w.request(startTime, fmt.Sprintf("b%d", i), "", uint64(i)), "guests do not use the cell's own capacity")
	}
	assert.Empty(t, w.request(startTime, "b6", "", 1))
	for i, list := 0, testHosts(8); i < 8; i++ { // the small cell loses all hosts, and its requests still overflow
		if w.fleet.cellOfHost[list[i].ID].name == "small" {
			list[i].State = policy.Gone
			w.fleet.Members(startTime, policy.Delta, list[i:i+1])
		}
	}
	for _, id := range []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "b0"} {
		w.endConnection(startTime, id)
	}
	assert.Equal(t, "big", w.fleet.cellOfHost[w.request(startTime, "late", "x", 1)].name, "with no host in service, requests overflow")
}

func TestOpensPerSecond(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 20} {
		plan := &Plan{Default: "a", Cells: []Cell{{Name: "a", Share: 1, MaxOpensPerSecond: rate}}}
		w := newFakeHost(t, testSettings(), plan)
		w.fleet.Members(startTime, policy.Full, testHosts(8))
		passed := 0
		for i := range 2000 { // 20 s at 100 per second
			if w.request(startTime+time.Duration(i)*10*time.Millisecond, fmt.Sprint(i), "", uint64(i)) != "" {
				passed++
			}
		}
		assert.InDelta(t, 20*rate+max(rate, 1), passed, 1.01, "at %v a second", rate)
	}
}
