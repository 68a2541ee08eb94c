package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

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
