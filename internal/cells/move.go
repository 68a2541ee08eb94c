package cells

import (
	"math"
	"time"
)

// Move takes a carrier from one cell to another. Start and Back are Unix time. Flights cross one after the other,
// spread over the first three quarters of Span; their connections follow, at most Pace a second in the whole fleet
// (0: as they come). From Back on, if set, those that have crossed return, the last one first.
type Move struct {
	Carrier      string
	From, To     string
	Start        time.Duration
	Duration     time.Duration
	MaxPerSecond float64
	ReturnStart  time.Duration
}

// crossing is the share of a span in which flights cross; what is left is for connections that are still to follow.
const crossing = 0.75

// CrossingPosition is where a flight is in the order in which flights cross, from 0 to under 1.
func CrossingPosition(flight uint64) float64 {
	return float64(SplitMix64(flight)>>11) / (1 << 53)
}

// SplitMix64 spreads a key over all bits (the finalizer of SplitMix64).
func SplitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Crossed tells whether a flight belongs in the cell To at a time, and since when it belongs where it does. It
// follows from move and clock alone, so balancers agree but for the difference of their clocks.
func (m *Move) Crossed(now time.Duration, flight uint64) (crossed bool, since time.Duration) {
	at := m.Start + time.Duration(CrossingPosition(flight)*crossing*float64(m.Duration))
	switch {
	case now < at || m.ReturnStart > 0 && m.ReturnStart <= at:
		return false, math.MinInt64
	case m.ReturnStart <= 0 || now < m.ReturnStart:
		return true, at
	}
	lastCrossing := m.Start + time.Duration(crossing*float64(m.Duration))
	home := m.ReturnStart + min(m.ReturnStart, lastCrossing) - at // what crossed last is back first
	if now >= home {
		return false, home
	}
	return true, at
}

// End is when the last flight has crossed, or is back, and the time for connections to follow has passed.
func (m *Move) End() time.Duration {
	if m.ReturnStart > m.Start {
		return m.ReturnStart + min(m.ReturnStart-m.Start, m.Duration)
	}
	return m.Start + m.Duration
}

// returning tells whether the flights that have crossed are on their way back.
func (m *Move) returning(now time.Duration) bool { return m.ReturnStart > 0 && now >= m.ReturnStart }
