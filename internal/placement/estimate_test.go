package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

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
