package lab

import (
	"cmp"
	"math"
	"slices"
)

// The search's bound is computed from prices: one price for a load in each room. A grid of price pairs is laid from 0
// to the highest gain of any load, then finer around the best pair.
const (
	priceGridSize      = 9 // prices in each direction
	priceGridRounds    = 4
	keptBestPrices     = 24 // price pairs kept for the start of the search
	otherPriceInterval = 8  // every n-th of the other pairs is kept, for deeper levels
)

// preparePrices computes, for a grid of prices, what the flights gain beyond them.
func (e *exactSearch) preparePrices() {
	highest := e.highestPrice()
	low, high := [2]float64{}, [2]float64{highest, highest}
	for range priceGridRounds {
		best := e.addPriceGrid(low, high)
		for room := range 2 {
			width := (high[room] - low[room]) / (priceGridSize - 1)
			low[room], high[room] = math.Max(best[room]-width, 0), best[room]+width
		}
	}
	e.prunePrices()
}

// highestPrice is the highest gain per load on any host.
func (e *exactSearch) highestPrice() (top float64) {
	for _, g := range e.flights {
		for part, load := range g.loads {
			if load <= 0 {
				continue
			}
			for _, gain := range g.gains[part] {
				top = math.Max(top, gain/load)
			}
		}
	}
	return top
}

// addPriceGrid adds the pairs of a grid, and returns the pair with the lowest bound.
func (e *exactSearch) addPriceGrid(low, high [2]float64) (best [2]float64) {
	lowest := math.Inf(1)
	priceAt := func(room, step int) float64 {
		return low[room] + (high[room]-low[room])*float64(step)/(priceGridSize-1)
	}
	for i := range priceGridSize {
		for j := range priceGridSize {
			pair := [2]float64{priceAt(0, i), priceAt(1, j)}
			if bound := e.addPricePair(pair); bound < lowest {
				lowest, best = bound, pair
			}
		}
	}
	return best
}

// addPricePair adds a pair of prices and returns its bound for the empty placement.
func (e *exactSearch) addPricePair(pair [2]float64) float64 {
	prices := make([]float64, len(e.capacity))
	total := 0.0
	for host := range prices {
		prices[host] = pair[e.room[host]]
		total += prices[host] * e.capacity[host]
	}
	remainingGain := make([]float64, len(e.flights)+1)
	for flight := len(e.flights) - 1; flight >= 0; flight-- {
		remainingGain[flight] = remainingGain[flight+1] + e.maxGainOver(flight, prices)
	}
	e.prices, e.remainingGain = append(e.prices, prices), append(e.remainingGain, remainingGain)
	return total + remainingGain[0]
}

// maxGainOver is the highest gain of a flight beyond the prices, over all its assignments.
func (e *exactSearch) maxGainOver(flight int, prices []float64) (highest float64) {
	for _, at := range e.assignments[flight] {
		highest = math.Max(highest, e.gainOver(flight, at, prices))
	}
	return highest
}

// gainOver is the gain of one assignment of a flight beyond the prices. On each host, it counts no more than the host
// can serve of this flight alone.
func (e *exactSearch) gainOver(flight int, at assignment, prices []float64) (gain float64) {
	for part, host := range at {
		if host == unplaced || slices.Contains(at[:part], host) {
			continue
		}
		parts := e.profitableParts(flight, at, part, prices[host])
		gain += e.worth(host, parts, 1) - prices[host]*e.overhead[host]
	}
	return gain
}

// profitableParts are the parts of a flight, from the given one on, that are placed on the same host as that one and
// gain more than the price.
func (e *exactSearch) profitableParts(flight int, at assignment, from int, price float64) (parts []placedPart) {
	g, host := &e.flights[flight], at[from]
	for part := from; part < len(at); part++ {
		load, gain := g.loads[part], g.gains[part][host]
		if at[part] == host && gain > price*load {
			parts = append(parts, placedPart{load, gain - price*load})
		}
	}
	return parts
}

// prunePrices keeps the prices with the best bounds for the empty placement, and some of the others, which may bound
// better deeper in the search.
func (e *exactSearch) prunePrices() {
	bounds, order := make([]float64, len(e.prices)), make([]int, len(e.prices))
	for i := range e.prices {
		bounds[i], order[i] = e.boundAtStart(i), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(bounds[a], bounds[b]), a-b) })
	var prices, remainingGain [][]float64
	for rank, i := range order {
		if rank < keptBestPrices || rank%otherPriceInterval == 0 {
			prices, remainingGain = append(prices, e.prices[i]), append(remainingGain, e.remainingGain[i])
		}
	}
	e.prices, e.remainingGain = prices, remainingGain
}

// boundAtStart is the bound by a pair of prices for the empty placement.
func (e *exactSearch) boundAtStart(i int) float64 {
	bound := e.remainingGain[i][0]
	for host, price := range e.prices[i] {
		bound += price * e.capacity[host]
	}
	return bound
}
