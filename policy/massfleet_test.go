package policy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// This test plays 300 balancers, each of which sees few requests, and a release that replaces six in ten hosts within
// seven seconds. Two failures are possible. Each balancer may send a group to other hosts, and each host with a
// connection of a group pays a cost for it, so that the fleet creates its own load. And hosts that have just started
// may stay empty beside full ones while reconnecting clients are refused.
//
// Not simulated are packet losses, connections that outlive their balancer, and failures of discovery. A client that
// has given up never returns, though its connection counts as wanted to the end of its time.

// Bounds for each of the seeds below. When they were set, seeds 1, 2 and 3 gave 266, 260 and 267 pieces at the end (249
// to 268 on seeds 1 to 8), 0.682, 0.696 and 0.760 served (0.682 to 0.760), and no cold host failed (1 on seed 8); the
// present code may give other figures. With a policy in which each request drew at random whether a host was full, was
// refused by the few hosts that one balancer knows, and went to any cold host: 403, 439 and 449 pieces, 0.603, 0.643
// and 0.679 served, and 0, 0 and 1 hosts failed.
const (
	maxPieces      = 285  // in the last second
	minServed      = 0.67 // share of the worth wanted
	maxFailedHosts = 0    // cold hosts; see simHost.receive
)

func TestLargeFleetRelease(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := runSimulation(releaseDay(seed, 300))
			t.Logf("\n%v", r)
			assert.Zero(t, r.Unanswered, "requests without an answer before their deadline")
			assert.Zero(t, r.Unexpected, "unexpected answers and attempts")
			assert.Zero(t, r.SentAfterGrace, "attempts at draining hosts after the grace")
			assert.LessOrEqual(t, r.FailedHosts, maxFailedHosts, "failed cold hosts")
			assert.LessOrEqual(t, r.last().Pieces, maxPieces)
			assert.GreaterOrEqual(t, r.Served, minServed)
			assert.Positive(t, r.Attempts)
		})
	}
}

// Two runs with the same seed give exactly the same result.
func TestLargeFleetReleaseIsReproducible(t *testing.T) {
	plan := releaseDay(4, 120)
	first := runSimulation(plan)
	assert.Equal(t, first, runSimulation(plan))
	plan.seed++
	assert.NotEqual(t, first, runSimulation(plan))
}

// BenchmarkLargeFleetRelease reports the figures of further seeds, one per line, and then their mean:
//
//	go test ./policy -run '^$' -bench LargeFleetRelease -benchtime 1x
func BenchmarkLargeFleetRelease(b *testing.B) {
	var sum simFigures
	const seeds = 8
	for seed := uint64(1); seed <= seeds; seed++ {
		b.Run(fmt.Sprint("seed", seed), func(b *testing.B) {
			for b.Loop() {
				got := figuresOf(runSimulation(releaseDay(seed, 300)))
				got.report(b, 1)
				sum.add(got)
			}
		})
	}
	b.Run("mean", func(b *testing.B) { sum.report(b, sum.runs) })
}

// simFigures are the summed results of a number of runs.
type simFigures struct{ runs, served, refused, pieces, failedHosts float64 }

// figuresOf returns the figures of one run.
func figuresOf(r simResult) simFigures {
	return simFigures{1, r.Served, r.refused(), float64(r.last().Pieces), float64(r.FailedHosts)}
}

func (s *simFigures) add(o simFigures) {
	s.runs += o.runs
	s.served += o.served
	s.refused += o.refused
	s.pieces += o.pieces
	s.failedHosts += o.failedHosts
}

// report reports the figures divided by a number of runs.
func (s *simFigures) report(b *testing.B, over float64) {
	b.ReportMetric(s.served/over, "served")
	b.ReportMetric(s.refused/over, "refused")
	b.ReportMetric(s.pieces/over, "pieces")
	b.ReportMetric(s.failedHosts/over, "failed-hosts")
}
