package lab

import (
	"math"
	"slices"
)

// knapsackBound is a second upper bound of the worth of a placement, for cases that SearchBest does not finish, by
// Lagrangian relaxation: each part may be bought by several hosts, each of which pays its price, and each host chooses
// its best set of parts independently. For any non-negative prices, the sum of the prices and of the hosts' gains is at
// least the worth of any placement, because in a placement every part is bought at most once. Prices are raised for
// parts that are bought more than once and lowered for parts that are not bought.
func (c *exactProblem) knapsackBound(floor float64, load []float64, rounds int) float64 {
	type part struct{ flight, index int }
	var parts []part
	var first []int // index of the first part, by flight
	for g := range c.flights {
		first = append(first, len(parts))
		for p := range c.flights[g].loads {
			parts = append(parts, part{g, p})
		}
	}
	price, lowest, scale, sinceImproved := make([]float64, len(parts)), math.MaxFloat64, 1.0, 0
	for i, p := range parts { // start from the gain beyond the load prices that bound best so far
		g := &c.flights[p.flight]
		share := g.loads[p.index] / math.Max(sumOf(g.loads), 1e-12)
		for h := range load {
			surplus := g.gains[p.index][h] - load[h]*g.loads[p.index] - share*(c.overheadCost[h]+load[h]*c.overhead[h])
			price[i] = math.Max(price[i], surplus)
		}
	}
	bestPrice := slices.Clone(price)
	for range rounds {
		total, bought := sumOf(price), make([]float64, len(parts))
		for h := range c.capacity {
			value, chosen := c.knapsack(h, func(g, p int) float64 { return price[first[g]+p] })
			total += value
			for _, at := range chosen {
				bought[first[at[0]]+at[1]]++
			}
		}
		if total < lowest*(1-1e-9) {
			lowest, sinceImproved = total, 0
			copy(bestPrice, price)
		} else if sinceImproved++; sinceImproved > 8 {
			scale, sinceImproved = scale*0.6, 0
			copy(price, bestPrice)
		}
		if lowest <= floor*(1+1e-7) {
			break
		}
		squaredNorm := 0.0
		for i := range bought {
			if bought[i]--; bought[i] < 0 && price[i] == 0 {
				bought[i] = 0
			}
			squaredNorm += bought[i] * bought[i]
		}
		if squaredNorm == 0 {
			break
		}
		step := scale * math.Max(total-floor, 1e-6*math.Abs(floor)) / squaredNorm
		for i := range price {
			price[i] = math.Max(price[i]+step*bought[i], 0)
		}
	}
	return lowest
}

// capacityUnits is the number of units into which a host's capacity is divided. Loads are rounded down to whole units,
// so that the result is never below the true optimum.
const capacityUnits = 3000

// knapsackChoice is a set of parts that a host takes of one flight: the parts taken whole, as bits, and the index of a
// part taken partly, -1 for none.
type knapsackChoice struct {
	wholeParts  int
	partialPart int
	load        float64 // of the whole parts, plus the overhead of the flight
	gain        float64
	partialRate float64 // gain per load of the part taken partly
	partialLoad float64 // load of the part taken partly
}

// knapsack returns the highest gain of a host from parts for which it pays their price, and which parts these are as
// pairs of flight and part. It is a table over the host's capacity, flight by flight, with and without a part that is
// served partly; an optimal set needs at most one such part.
func (c *exactProblem) knapsack(h int, price func(g, p int) float64) (value float64, chosen [][2]int) {
	type step struct {
		from      int32
		choice    int16
		fromWhole bool // the previous step is in the table without a part served partly
	}
	size := c.capacity[h] / capacityUnits
	if size <= 0 {
		return 0, nil
	}
	// the highest gains by units of capacity used, without and with a part served partly
	wholeValues, partialValues := make([]float64, capacityUnits+1), make([]float64, capacityUnits+1)
	for i := range partialValues {
		partialValues[i] = math.Inf(-1)
	}
	trails := make([][2][]step, len(c.flights))
	choices := make([][]knapsackChoice, len(c.flights))
	queue := make([]int32, 0, capacityUnits+1)
	for g := range c.flights {
		choices[g] = c.choices(h, g, price)
		nextWholeValues, nextPartialValues := slices.Clone(wholeValues), slices.Clone(partialValues)
		var trail [2][]step
		for t := range trail {
			trail[t] = make([]step, capacityUnits+1)
			for i := range trail[t] {
				trail[t][i] = step{int32(i), -1, t == 0}
			}
		}
		for n, o := range choices[g] {
			need := int(o.load / size)
			if need > capacityUnits {
				continue
			}
			if o.partialPart < 0 {
				for i := need; i <= capacityUnits; i++ {
					if v := wholeValues[i-need] + o.gain; v > nextWholeValues[i] {
						nextWholeValues[i], trail[0][i] = v, step{int32(i - need), int16(n), true}
					}
					if v := partialValues[i-need] + o.gain; v > nextPartialValues[i] {
						nextPartialValues[i], trail[1][i] = v, step{int32(i - need), int16(n), false}
					}
				}
				continue
			}
			// The part served partly uses up to window units: a sliding-window maximum over the table without such a part.
			window, rate := int(o.partialLoad/size)+1, o.partialRate*size
			queue = queue[:0]
			head := 0
			for i := need; i <= capacityUnits; i++ {
				from := i - need
				v := wholeValues[from] - rate*float64(from)
				for len(queue) > head && wholeValues[queue[len(queue)-1]]-rate*float64(queue[len(queue)-1]) <= v {
					queue = queue[:len(queue)-1]
				}
				queue = append(queue, int32(from))
				for int(queue[head]) < from-window {
					head++
				}
				best := queue[head]
				if v := wholeValues[best] + o.gain + rate*float64(from-int(best)); v > nextPartialValues[i] {
					nextPartialValues[i], trail[1][i] = v, step{best, int16(n), true}
				}
			}
		}
		wholeValues, partialValues, trails[g] = nextWholeValues, nextPartialValues, trail
	}
	table, at := 0, capacityUnits
	if value = wholeValues[capacityUnits]; partialValues[capacityUnits] > value {
		value, table = partialValues[capacityUnits], 1
	}
	for g := len(c.flights) - 1; g >= 0; g-- {
		s := trails[g][table][at]
		if s.choice >= 0 {
			o := choices[g][s.choice]
			for p := range c.flights[g].loads {
				if o.wholeParts&(1<<p) != 0 || o.partialPart == p {
					chosen = append(chosen, [2]int{g, p})
				}
			}
		}
		if at = int(s.from); s.fromWhole {
			table = 0
		}
	}
	return value, chosen
}

// choices are the sets of parts that a host may take of a flight.
func (c *exactProblem) choices(h, g int, price func(g, p int) float64) (out []knapsackChoice) {
	flight := &c.flights[g]
	for wholeParts := range 1 << len(flight.loads) {
		o := knapsackChoice{wholeParts: wholeParts, partialPart: -1, load: c.overhead[h], gain: -c.overheadCost[h]}
		for p, load := range flight.loads {
			if wholeParts&(1<<p) != 0 {
				o.load += load
				o.gain += flight.gains[p][h] - price(g, p)
			}
		}
		if wholeParts != 0 {
			out = append(out, o)
		}
		for p, load := range flight.loads {
			if wholeParts&(1<<p) == 0 && load > 0 && flight.gains[p][h] > price(g, p) {
				withPartial := o
				withPartial.partialPart, withPartial.gain, withPartial.partialRate, withPartial.partialLoad = p, o.gain-price(g, p), flight.gains[p][h]/load, load
				out = append(out, withPartial)
			}
		}
	}
	return out
}

func sumOf(all []float64) (out float64) {
	for _, x := range all {
		out += x
	}
	return out
}
