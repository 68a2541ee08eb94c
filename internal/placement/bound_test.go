package placement

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// At any dual prices, the bound of a complete placement is at least its value: branch and bound must not deduct too
// much for chosen places and full hosts. Placements with a host whose overhead alone exceeds its capacity are skipped,
// as such a host only loses.
func TestBoundHoldsForEveryPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		s := &search{problem: newProblem(f)}
		d := &dual{problem: s.problem, price: make([]float64, len(s.rooms))}
		for r := range d.price {
			d.price[r] = rapid.Float64Range(0, 2).Draw(t, "price")
		}
		b := s.newBrancher(d)
		bound := d.bound(nil)
		for n := range s.flightLoad {
			if len(b.options[n]) == 0 {
				t.Skip("too many options to list")
			}
			o := rapid.SampledFrom(b.options[n]).Draw(t, "place")
			bound -= o.loss
			for c, h := range o.hosts {
				if h != none {
					b.current.move(pieceMove{int32(s.firstPiece[n] + c), none, h})
				}
			}
		}
		for h := range s.hostIndexes {
			if _, detail := b.current.hostValue(h, b.current.piecesOn[h]); float64(detail.flights)*s.overhead[h] > s.usable[h] {
				t.Skip("a host without capacity beyond its overhead")
			}
			bound -= b.settleLoss(h)
		}
		total := sum(b.current.hostWorth)
		assert.GreaterOrEqual(t, bound, total-1e-6*max(1, math.Abs(total)))
	})
}
