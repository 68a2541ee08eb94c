package sitegen

import (
	"math"
	"math/rand/v2"
)

// floatRange is a range from which the bench draws a value for each simulated day.
type floatRange [2]float64

// intRange is a range of integers, both ends included.
type intRange [2]int

// sampler draws all random values of one site.
type sampler struct{ *rand.Rand }

func (rng *sampler) randomBool() bool { return rng.IntN(2) == 0 }

func pickOne[T any](rng *sampler, from []T) T { return from[rng.IntN(len(from))] }

// sample draws n different elements of a list.
func sample[T any](rng *sampler, from []T, n int) []T {
	sampled := make([]T, 0, n)
	for _, i := range rng.Perm(len(from))[:n] {
		sampled = append(sampled, from[i])
	}
	return sampled
}

// valueIn draws a value from a range.
func (rng *sampler) valueIn(from floatRange) float64 {
	return roundedWithin(from[0]+(from[1]-from[0])*rng.Float64(), from)
}

// subrange draws a range within a range, at least half as wide.
func (rng *sampler) subrange(from floatRange) floatRange {
	quarter := (from[1] - from[0]) / 4
	low := roundedWithin(from[0]+quarter*rng.Float64(), from)
	high := roundedWithin(from[1]-quarter*rng.Float64(), from)
	return floatRange{low, high}
}

// roundedWithin rounds to three significant digits without leaving the range.
func roundedWithin(v float64, from floatRange) float64 {
	if v == 0 {
		return 0
	}
	unit := math.Pow10(int(math.Floor(math.Log10(math.Abs(v)))) - 2)
	digits := math.Pow10(int(max(0, math.Round(-math.Log10(unit)))))
	nearest := math.Round(v*digits) / digits
	return min(max(nearest, from[0]), from[1])
}

// countIn draws an integer from a range.
func (rng *sampler) countIn(from intRange) int { return from[0] + rng.IntN(from[1]-from[0]+1) }

// countSubrange draws a range of integers within a range.
func (rng *sampler) countSubrange(from intRange) intRange {
	middle := rng.countIn(from)
	return intRange{rng.countIn(intRange{from[0], middle}), rng.countIn(intRange{middle, from[1]})}
}
