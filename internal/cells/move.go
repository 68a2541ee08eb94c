package cells

import (
	"math"
	"time"
)

// Move moves a carrier from one cell to another. Flights cross one by one, spread over the first three quarters of
// Duration, and their established connections follow.
type Move struct {
	Carrier      string
	From, To     string
	Start        time.Duration // Unix time
	Duration     time.Duration
	MaxPerSecond float64       // connections that may follow per second in the whole fleet; 0: no limit
	ReturnStart  time.Duration // Unix time from which flights that have crossed return, the last one first; 0: never
}

// crossingShare is the part of a move's duration in which flights cross; in the rest, the last connections follow.
const crossingShare = 0.75

// CrossingPosition returns the position of a flight in the order of crossing, at least 0 and less than 1.
func CrossingPosition(flight uint64) float64 {
	return float64(SplitMix64(flight)>>11) / (1 << 53)
}

// SplitMix64 hashes a key with one step of the SplitMix64 generator, so that each bit of the key affects all bits.
func SplitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Crossed reports whether a flight belongs in cell To at the given time, and since when it has been in its current
// cell (math.MinInt64 if it has not crossed yet). The result depends only on the move and the clock, so balancers differ
// by no more than their clocks do.
func (m *Move) Crossed(now time.Duration, flight uint64) (crossed bool, since time.Duration) {
	at := m.Start + time.Duration(CrossingPosition(flight)*crossingShare*float64(m.Duration))
	switch {
	case now < at || m.ReturnStart > 0 && m.ReturnStart <= at:
		return false, math.MinInt64
	case m.ReturnStart <= 0 || now < m.ReturnStart:
		return true, at
	}
	lastCrossing := m.Start + time.Duration(crossingShare*float64(m.Duration))
	returnAt := m.ReturnStart + min(m.ReturnStart, lastCrossing) - at // the last flight to cross returns first
	if now >= returnAt {
		return false, returnAt
	}
	return true, at
}

// End returns when the last flight has crossed or returned and the time for its connections to follow has passed.
func (m *Move) End() time.Duration {
	if m.ReturnStart > m.Start {
		return m.ReturnStart + min(m.ReturnStart-m.Start, m.Duration)
	}
	return m.Start + m.Duration
}

// returning reports whether the flights that have crossed are returning.
func (m *Move) returning(now time.Duration) bool { return m.ReturnStart > 0 && now >= m.ReturnStart }
