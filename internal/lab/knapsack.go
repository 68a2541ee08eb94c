package lab

import (
	"math"
	"slices"
)

// knapsackBound is a second bound on what a placement is worth, for cases that Exact does not end: each part may be
// bought by several hosts, at a price that each of them pays for it, and each host chooses the best set for itself. For
// any prices from 0 on, the prices and what the hosts make of them are together at least what any placement is worth:
// in a placement every part is bought once at the most. Prices go up where a part is bought twice and down where it is
// not bought.
func (c *exactCase) knapsackBound(floor float64, load []float64, rounds int) float64 {
	type part struct{ group, index int }
	var parts []part
	var first []int // of each group
	for g := range c.groups {
		first = append(first, len(parts))
		for p := range c.groups[g].load {
			parts = append(parts, part{g, p})
		}
	}
	price, least, scale, since := make([]float64, len(parts)), math.MaxFloat64, 1.0, 0
	for i, p := range parts { // what it brings over the prices of a load that bound best so far
		g := &c.groups[p.group]
		share := g.load[p.index] / math.Max(sumOf(g.load), 1e-12)
		for h := range load {
			over := g.gain[p.index][h] - load[h]*g.load[p.index] - share*(c.paid[h]+load[h]*c.pay[h])
			price[i] = math.Max(price[i], over)
		}
	}
	kept := slices.Clone(price)
	for range rounds {
		total, bought := sumOf(price), make([]float64, len(parts))
		for h := range c.serve {
			most, chosen := c.knapsack(h, func(g, p int) float64 { return price[first[g]+p] })
			total += most
			for _, at := range chosen {
				bought[first[at[0]]+at[1]]++
			}
		}
		if total < least*(1-1e-9) {
			least, since = total, 0
			copy(kept, price)
		} else if since++; since > 8 {
			scale, since = scale*0.6, 0
			copy(price, kept)
		}
		if least <= floor*(1+1e-7) {
			break
		}
		square := 0.0
		for i := range bought {
			if bought[i]--; bought[i] < 0 && price[i] == 0 {
				bought[i] = 0
			}
			square += bought[i] * bought[i]
		}
		if square == 0 {
			break
		}
		step := scale * math.Max(total-floor, 1e-6*math.Abs(floor)) / square
		for i := range price {
			price[i] = math.Max(price[i]+step*bought[i], 0)
		}
	}
	return least
}

// gridCells is into how many a host's room is cut. Loads are rounded down to whole cells, so that what comes out is never
// less than what can be.
const gridCells = 3000

// choice is what a host takes of a group: whole parts, and one in part, as bits and an index; -1 for none.
type choice struct {
	whole   int
	part    int
	load    float64 // of what is whole, with what the flight pays
	brings  float64
	partial float64 // gain a load of the one in part
	most    float64 // its load
}

// knapsack is what a host makes at the most of parts for which it pays, and which those are: a table over its room,
// group by group, with and without a part that is served in part. There need be one of these at the most.
func (c *exactCase) knapsack(h int, price func(g, p int) float64) (most float64, chosen [][2]int) {
	type step struct {
		from   int32
		choice int16
		whole  bool // from the table without a part served in part
	}
	size := c.serve[h] / gridCells
	if size <= 0 {
		return 0, nil
	}
	whole, cut := make([]float64, gridCells+1), make([]float64, gridCells+1) // best value that uses up to so many cells
	for i := range cut {
		cut[i] = math.Inf(-1)
	}
	trails := make([][2][]step, len(c.groups))
	choices := make([][]choice, len(c.groups))
	queue := make([]int32, 0, gridCells+1)
	for g := range c.groups {
		choices[g] = c.choices(h, g, price)
		nextWhole, nextCut := slices.Clone(whole), slices.Clone(cut)
		var trail [2][]step
		for t := range trail {
			trail[t] = make([]step, gridCells+1)
			for i := range trail[t] {
				trail[t][i] = step{int32(i), -1, t == 0}
			}
		}
		for n, o := range choices[g] {
			need := int(o.load / size)
			if need > gridCells {
				continue
			}
			if o.part < 0 {
				for i := need; i <= gridCells; i++ {
					if v := whole[i-need] + o.brings; v > nextWhole[i] {
						nextWhole[i], trail[0][i] = v, step{int32(i - need), int16(n), true}
					}
					if v := cut[i-need] + o.brings; v > nextCut[i] {
						nextCut[i], trail[1][i] = v, step{int32(i - need), int16(n), false}
					}
				}
				continue
			}
			// so many cells for the part: a window that slides over the table of the others
			window, rate := int(o.most/size)+1, o.partial*size
			queue = queue[:0]
			head := 0
			for i := need; i <= gridCells; i++ {
				from := i - need
				v := whole[from] - rate*float64(from)
				for len(queue) > head && whole[queue[len(queue)-1]]-rate*float64(queue[len(queue)-1]) <= v {
					queue = queue[:len(queue)-1]
				}
				queue = append(queue, int32(from))
				for int(queue[head]) < from-window {
					head++
				}
				best := queue[head]
				if v := whole[best] + o.brings + rate*float64(from-int(best)); v > nextCut[i] {
					nextCut[i], trail[1][i] = v, step{best, int16(n), true}
				}
			}
		}
		whole, cut, trails[g] = nextWhole, nextCut, trail
	}
	table, at := 0, gridCells
	if most = whole[gridCells]; cut[gridCells] > most {
		most, table = cut[gridCells], 1
	}
	for g := len(c.groups) - 1; g >= 0; g-- {
		s := trails[g][table][at]
		if s.choice >= 0 {
			o := choices[g][s.choice]
			for p := range c.groups[g].load {
				if o.whole&(1<<p) != 0 || o.part == p {
					chosen = append(chosen, [2]int{g, p})
				}
			}
		}
		if at = int(s.from); s.whole {
			table = 0
		}
	}
	return most, chosen
}

// choices is what a host may take of a group.
func (c *exactCase) choices(h, g int, price func(g, p int) float64) (out []choice) {
	group := &c.groups[g]
	for whole := range 1 << len(group.load) {
		o := choice{whole: whole, part: -1, load: c.pay[h], brings: -c.paid[h]}
		for p, load := range group.load {
			if whole&(1<<p) != 0 {
				o.load += load
				o.brings += group.gain[p][h] - price(g, p)
			}
		}
		if whole != 0 {
			out = append(out, o)
		}
		for p, load := range group.load {
			if whole&(1<<p) == 0 && load > 0 && group.gain[p][h] > price(g, p) {
				cut := o
				cut.part, cut.brings, cut.partial, cut.most = p, o.brings-price(g, p), group.gain[p][h]/load, load
				out = append(out, cut)
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
