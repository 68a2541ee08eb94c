package scale

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// All balancers together probe a desk host no more often than a small fleet would, whatever the size of the fleet.
func TestProbesDoNotGrowWithTheFleet(t *testing.T) {
	for _, c := range []struct{ siblings, established, listed int }{{1, 50, 10}, {3, 60, 10}, {4, 1, 10}} {
		assert.Equal(t, 1.0, IntervalFactor(c.siblings, c.established, c.listed), "%v", c)
	}
	for _, n := range []int{20, 80, 800} {
		const open, hosts = 400, 10
		holders := min(float64(n), open/hosts)
		// Probes per interval of a single balancer. A balancer with one of 400 connections in a fleet of 800 estimates
		// that 80 balancers have connections to the host.
		probes := holders / IntervalFactor(n, max(open/n, 1), hosts)
		assert.LessOrEqual(t, probes, 1.01*referenceFleet, "%d balancers", n)
		assert.Greater(t, probes, 0.4*referenceFleet, "%d balancers", n)
	}
}
