package placement

import (
	"math"
	"slices"
)

// dual is the Lagrangian dual of the placement problem: a price per load for what each room serves. For any prices from
// 0 on,
//
//	sum over rooms of price x usable capacity  +  sum over flights of the highest value of the flight at these prices
//
// is at least the value of any placement: a placement is worth at most what it would be worth if loads could be bought
// at the prices, and it cannot buy more than the usable capacity of the rooms. The highest value of a flight is found
// by trying every room for every piece where there are few combinations. Otherwise each piece is valued by itself, with
// its share of one overhead for the flight, which is at most what the flight pays.
type dual struct {
	*problem
	price []float64
}

// maxCombinations is the number of ways to place the pieces of a flight in rooms up to which all of them are tried.
const maxCombinations = 128

// choiceCount is the number of ways to give each of n pieces one of the places, or none. Above the limit it returns
// limit+1.
func choiceCount(n, places, limit int) int {
	count := 1
	for range n {
		if count *= places + 1; count > limit {
			return limit + 1
		}
	}
	return count
}

// decodeChoice reads a choice as a number to the base of places+1. It returns the index of the place of the first
// piece, or none for the digit 0, and the choice for the remaining pieces.
func decodeChoice(choice, places int) (index, rest int) {
	return choice%(places+1) - 1, choice / (places + 1)
}

// flightBound is the highest value of a flight at the prices. It adds the load that the flight then buys in each room
// to purchased, if that is not nil.
func (d *dual) flightBound(n int, purchased []float64) float64 {
	pieces := d.pieces[d.firstPiece[n]:d.firstPiece[n+1]]
	combinations := choiceCount(len(pieces), len(d.rooms), maxCombinations)
	if combinations > maxCombinations {
		return d.separateBound(n, pieces, purchased)
	}
	best, bestChoice := 0.0, 0
	for choice := 1; choice < combinations; choice++ {
		if total := d.choiceValue(pieces, choice); total > best {
			best, bestChoice = total, choice
		}
	}
	if purchased != nil {
		d.addPurchases(pieces, bestChoice, purchased)
	}
	return best
}

// choiceValue is the value of the pieces of a flight in the rooms of a choice.
func (d *dual) choiceValue(pieces []piece, choice int) float64 {
	total, used := 0.0, uint64(0)
	for c, r := 0, 0; c < len(pieces); c++ {
		if r, choice = decodeChoice(choice, len(d.rooms)); r == none {
			continue
		}
		if len(d.hostsByRoom[r]) == 0 {
			return math.Inf(-1)
		}
		total += d.reducedGain(&pieces[c], r)
		if used&(1<<r) == 0 {
			used |= 1 << r
			total -= d.holdCost(r)
		}
	}
	return total
}

// addPurchases adds the load that the pieces of a flight need in the rooms of a choice.
func (d *dual) addPurchases(pieces []piece, choice int, purchased []float64) {
	used := uint64(0)
	for c, r := 0, 0; c < len(pieces); c++ {
		if r, choice = decodeChoice(choice, len(d.rooms)); r == none {
			continue
		}
		purchased[r] += pieces[c].load
		if used&(1<<r) == 0 {
			used |= 1 << r
			purchased[r] += d.minOverhead[r]
		}
	}
}

// separateBound is an upper bound on the value of a flight, with each piece valued by itself.
func (d *dual) separateBound(n int, pieces []piece, purchased []float64) float64 {
	sum := 0.0
	for c := range pieces {
		loadShare := 1 / float64(len(pieces))
		if d.flightLoad[n] > 0 {
			loadShare = pieces[c].load / d.flightLoad[n]
		}
		best, room := 0.0, none
		for r := range d.rooms {
			if len(d.hostsByRoom[r]) > 0 {
				if g := d.reducedGain(&pieces[c], r) - loadShare*d.holdCost(r); g > best {
					best, room = g, r
				}
			}
		}
		if sum += best; room != none && purchased != nil {
			purchased[room] += pieces[c].load + loadShare*d.minOverhead[room]
		}
	}
	return sum
}

// reducedGain is the value of serving a piece in a room, less the price of its load.
func (d *dual) reducedGain(c *piece, r int) float64 {
	g := c.worth + c.wasteCredit - d.price[r]*c.load
	if r != c.room {
		g -= d.prices.Crossing * c.worth
	}
	if c.current != none && d.hostRoom[c.current] != r {
		g -= d.prices.Move * c.worth
	}
	return g
}

// holdCost is the least cost of holding a flight in a room at the prices.
func (d *dual) holdCost(r int) float64 { return d.minOverhead[r] * (d.wastePerLoad + d.price[r]) }

// bound is the upper bound at the prices. It adds the load bought in each room to purchased, if that is not nil.
func (d *dual) bound(purchased []float64) float64 {
	sum := 0.0
	for r, hosts := range d.hostsByRoom {
		for _, h := range hosts {
			sum += d.price[r] * d.usable[h]
		}
	}
	for n := range d.flightLoad {
		sum += d.flightBound(n, purchased)
	}
	return sum
}

// Parameters of the subgradient descent.
const (
	maxStalledRounds = 3     // rounds without a lower bound after which the step size is halved
	minImprovement   = 1e-12 // share by which a bound must be lower to count as an improvement
	minStepShare     = 1e-6  // least gap to the best value that a step assumes, as a share of the bound
	flightsPerStep   = 8     // a round counts as one step of the search per this many flights
)

// subgradientDescent looks for the prices with the lowest bound, by steps along the excess demand of each room. The
// bound is valid at all prices, so the descent may end at any step.
func (s *search) subgradientDescent(rounds int) *dual {
	d := &dual{problem: s.problem, price: make([]float64, len(s.rooms))}
	usable := s.usableByRoom()
	scale, stalledRounds := 1.0, 0
	for range rounds {
		if s.finished() {
			break
		}
		s.steps += len(s.flightLoad) / flightsPerStep
		purchased := make([]float64, len(s.rooms))
		bound := d.bound(purchased)
		if bound < s.bound-minImprovement*math.Abs(s.bound) {
			s.bound, s.dualPrices, stalledRounds = bound, slices.Clone(d.price), 0
		} else if stalledRounds++; stalledRounds > maxStalledRounds {
			scale, stalledRounds = scale/2, 0
			copy(d.price, s.dualPrices)
		}
		squares := d.excessDemand(purchased, usable)
		if squares == 0 {
			break
		}
		if !d.stepPrices(purchased, scale*max(bound-s.bestValue, minStepShare*math.Abs(bound))/squares) {
			break
		}
	}
	copy(d.price, s.dualPrices)
	return d
}

// usableByRoom is the usable capacity of the hosts of each room together.
func (p *problem) usableByRoom() []float64 {
	usable := make([]float64, len(p.rooms))
	for r, hosts := range p.hostsByRoom {
		for _, h := range hosts {
			usable[r] += p.usable[h]
		}
	}
	return usable
}

// excessDemand subtracts the usable capacity of each room from what is bought there, and returns the sum of the
// squares. Unused capacity at a price of 0 counts as no excess.
func (d *dual) excessDemand(purchased, usable []float64) (squares float64) {
	for r := range purchased {
		if purchased[r] -= usable[r]; purchased[r] < 0 && d.price[r] == 0 {
			purchased[r] = 0
		}
		squares += purchased[r] * purchased[r]
	}
	return squares
}

// stepPrices moves the prices along the excess demand, none below 0, and reports whether any has changed.
func (d *dual) stepPrices(excess []float64, size float64) (moved bool) {
	for r := range excess {
		next := max(d.price[r]+size*excess[r], 0)
		moved = moved || next != d.price[r]
		d.price[r] = next
	}
	return moved
}
