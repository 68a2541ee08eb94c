package scale

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// All balancers together ask a desk host no more often than a few would, however many they are.
func TestQuestionsDoNotGrowWithTheFleet(t *testing.T) {
	for _, c := range []struct{ siblings, standing, listed int }{{1, 50, 10}, {3, 60, 10}, {4, 1, 10}} {
		assert.Equal(t, 1.0, IntervalFactor(c.siblings, c.standing, c.listed), "%v", c)
	}
	for _, n := range []int{20, 80, 800} {
		const open, hosts = 400, 10
		holders := min(float64(n), open/hosts)
		// In the span in which one alone asks once. Who holds one of 400 as one of 800 thinks that 80 do.
		asked := holders / IntervalFactor(n, max(open/n, 1), hosts)
		assert.LessOrEqual(t, asked, 1.01*usualFleet, "%d balancers", n)
		assert.Greater(t, asked, 0.4*usualFleet, "%d balancers", n)
	}
}
