package policy

import (
	"cmp"
	"iter"
	"math"
	"math/bits"
	"slices"
)

// This file implements the ranking of the Cache Array Routing Protocol, draft-vinod-carp-v1, whose sections
// the comments name.

// carpHash is the hash of sections 3.1 and 3.2 before its final step.
func carpHash(text string) (h uint32) {
	for i := range len(text) {
		h += bits.RotateLeft32(h, 19) + uint32(text[i])
	}
	return h
}

// carpMix is the final step of sections 3.1 and 3.2.
func carpMix(h uint32) uint32 {
	h += h * 0x62531965
	return bits.RotateLeft32(h, 21)
}

// multipliers returns the load factor multipliers of section 3.3 for weights in ascending order and their
// sum. Equal weights get equal multipliers.
func multipliers(weights []float64, sum float64) []float64 {
	product, previous, x := 1.0, 0.0, 0.0
	out := make([]float64, len(weights))
	for i, w := range weights {
		if left, p := float64(len(weights)-i), w/sum; p != previous {
			x = math.Pow(left*(p-previous)/product+math.Pow(x, left), 1/left)
			previous = p
		}
		out[i], product = x, product*x
	}
	return out
}

// updateMultipliers computes the multipliers after any number of changes of the list.
func (b *Balancer) updateMultipliers() {
	b.multipliersStale, b.totalWeight = false, 0
	ascending := slices.SortedFunc(slices.Values(b.list), func(a, c *server) int {
		return cmp.Compare(a.Weight, c.Weight)
	})
	weights := make([]float64, len(ascending))
	for i, s := range ascending {
		weights[i] = s.Weight
		b.totalWeight += s.Weight
	}
	for i, x := range multipliers(weights, b.totalWeight) {
		ascending[i].multiplier = x
	}
}

// rank yields the servers on the list by descending score (section 3.4). The first three are selected one by
// one; the rest, which few requests need, is sorted. The final step is applied twice: with once, as in the
// draft, the order depends on the 11 lowest bits only, and shares are off by a seventh.
func (b *Balancer) rank(key uint32) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		if b.multipliersStale {
			b.updateMultipliers()
		}
		b.rankBuffer = append(b.rankBuffer[:0], b.list...)
		for _, s := range b.rankBuffer {
			s.score = float64(carpMix(carpMix(key^s.hash))) * s.multiplier
		}
		for i := range b.rankBuffer {
			if left := b.rankBuffer[i:]; i < 3 {
				best := slices.Index(left, slices.MinFunc(left, byScore))
				left[0], left[best] = left[best], left[0]
			} else if i == 3 {
				slices.SortFunc(left, byScore)
			}
			if !yield(b.rankBuffer[i]) {
				return
			}
		}
	}
}

func byScore(s, o *server) int {
	if s.score == o.score {
		return byID(s, o)
	}
	return cmp.Compare(o.score, s.score)
}
