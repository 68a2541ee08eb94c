package lab

import (
	"math"
	"math/rand/v2"
	"slices"

	"tealtiller/internal/placement"
)

// This file is the other opinion on placement: what the best placement of a small fleet is worth, found by looking at
// all of them. It shares no code with the solver: the objective is written anew from its definition, and so is the
// search. Enumerate looks at every placement; Exact leaves out those that a bound of its own excludes and those that
// differ by equal hosts only. A part of a flight stands on one host: no part may be larger than eight times what a host
// pays for a flight, from where on the solver cuts it.

// exactGroup is a flight: what each of its parts brings on each host, and its load.
type exactGroup struct {
	load []float64
	gain [][]float64 // of part, host
}

type exactCase struct {
	serve, pay, paid []float64 // of each host: loads it serves, loads and worth that it pays for a flight
	groups           []exactGroup
	room             []int
	home             []bool // a plan in force has a flight there
}

func newExactCase(f *placement.Fleet) *exactCase {
	c := &exactCase{}
	worth, load := 0.0, 0.0
	for _, fl := range f.Flights {
		for _, p := range fl.Parts {
			worth, load = worth+p.Worth, load+p.Load
		}
	}
	rooms := map[string]int{}
	for _, h := range f.Hosts {
		if _, known := rooms[h.Room]; !known {
			rooms[h.Room] = len(rooms)
		}
		warm, spread := h.Warm, h.Spread
		if warm == 0 {
			warm = 1
		}
		spread = math.Max(spread, 1)
		c.room = append(c.room, rooms[h.Room])
		c.serve = append(c.serve, h.Capacity*warm*f.Prices.Fill*math.Max(1-f.Prices.Caution*h.Error, 0.1))
		c.pay = append(c.pay, f.Prices.Piece*spread)
		paid := 0.0
		if load > 0 {
			paid = f.Prices.Waste * worth / load * f.Prices.Piece * spread
		}
		c.paid = append(c.paid, paid)
	}
	c.home = make([]bool, len(f.Hosts))
	for _, fl := range f.Flights {
		known := slices.IndexFunc(f.Hosts, func(h placement.Host) bool { return h.ID == fl.Was })
		if known >= 0 {
			c.home[known] = true
		}
		var g exactGroup
		all := 0.0
		for _, p := range fl.Parts {
			all += p.Load
		}
		for _, p := range fl.Parts {
			gains := make([]float64, len(f.Hosts))
			for h := range f.Hosts {
				lost := 0.0
				if f.Hosts[h].Room != p.Room {
					lost += f.Prices.Crossing
				}
				if known >= 0 && known != h {
					lost += f.Prices.Move
				}
				gains[h] = p.Worth * (1 - lost)
				if all > 0 { // the first host's price is given back
					gains[h] += slices.Min(c.paid) * p.Load / all
				}
			}
			g.load, g.gain = append(g.load, p.Load), append(g.gain, gains)
		}
		c.groups = append(c.groups, g)
	}
	// the heaviest first: they leave the fewest ways open
	slices.SortStableFunc(c.groups, func(a, b exactGroup) int {
		x, y := 0.0, 0.0
		for _, l := range a.load {
			x += l
		}
		for _, l := range b.load {
			y += l
		}
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return c
}

// held is a part that stands on a host.
type held struct{ load, gain float64 }

// worth is what a host brings that holds parts of so many flights: it pays for the flights, and of the parts it serves
// first what brings most for its load, the last one in part.
func (c *exactCase) worth(host int, parts []held, flights int) float64 {
	out, _ := c.filled(host, parts, flights)
	return out
}

// filled tells besides at what gain a load the host stops to serve; 0 where it serves all.
func (c *exactCase) filled(host int, parts []held, flights int) (out, stops float64) {
	out = -float64(flights) * c.paid[host]
	room := c.serve[host] - float64(flights)*c.pay[host]
	rest := append([]held(nil), parts...)
	for len(rest) > 0 {
		best := 0
		for i := range rest {
			if rest[i].gain*rest[best].load > rest[best].gain*rest[i].load {
				best = i
			}
		}
		switch p := rest[best]; {
		case p.load <= room+1e-9*c.serve[host]:
			out += p.gain
			room -= p.load
		default:
			if stops == 0 {
				stops = p.gain / p.load
			}
			out += p.gain * math.Max(room, 0) / p.load
			room = math.Min(room, 0)
		}
		rest = append(rest[:best], rest[best+1:]...)
	}
	return out, stops
}

// Enumerate is the worth of the best placement, found by looking at every one.
func Enumerate(f *placement.Fleet) float64 {
	c := newExactCase(f)
	hosts := len(c.serve)
	parts, flights := make([][]held, hosts), make([]int, hosts)
	best := math.Inf(-1)
	var visit func(g int)
	visit = func(g int) {
		if g == len(c.groups) {
			total := 0.0
			for h := range parts {
				total += c.worth(h, parts[h], flights[h])
			}
			best = math.Max(best, total)
			return
		}
		group := &c.groups[g]
		at := make([]int, len(group.load))
		var place func(p int)
		place = func(p int) {
			if p == len(at) {
				visit(g + 1)
				return
			}
			at[p] = -1
			place(p + 1)
			for h := range hosts {
				first := !slices.Contains(at[:p], h)
				if first {
					flights[h]++
				}
				at[p] = h
				parts[h] = append(parts[h], held{group.load[p], group.gain[p][h]})
				place(p + 1)
				parts[h] = parts[h][:len(parts[h])-1]
				if first {
					flights[h]--
				}
			}
			at[p] = -1
		}
		place(0)
	}
	visit(0)
	return best
}

// Exact is the worth of the best placement of a fleet of at most two rooms, which is at least floor. Proved tells that
// the search ended within its budget of nodes; else the worth is of the best one met, and most is what none is over.
func Exact(f *placement.Fleet, floor float64, budget int) (worth, most float64, proved bool) {
	c := newExactCase(f)
	e := &exactSearch{exactCase: c, best: floor, budget: budget}
	e.prepare()
	e.parts, e.flights = make([][]held, len(c.serve)), make([]int, len(c.serve))
	top := e.bound(0)
	e.visit(0)
	if e.budget <= 0 {
		return e.best, math.Max(math.Min(top, c.knapsackBound(e.best, e.prices[0], 250)), e.best), false
	}
	return e.best, e.best, true
}

// WorthOf is what a solver's answer is worth, and whether it serves all demand within what every host serves.
func WorthOf(f *placement.Fleet, a *placement.Answer) (worth float64, feasible bool) {
	c := newExactCase(f)
	parts, flights := make([][]held, len(c.serve)), make([]int, len(c.serve))
	load, placed := make([]float64, len(c.serve)), map[uint64]float64{}
	asked := map[uint64]float64{}
	for _, fl := range f.Flights {
		for _, p := range fl.Parts {
			asked[fl.ID] += p.Load
		}
	}
	for _, got := range a.Flights {
		i := slices.IndexFunc(f.Flights, func(fl placement.Flight) bool { return fl.ID == got.ID })
		was := slices.IndexFunc(f.Hosts, func(h placement.Host) bool { return h.ID == f.Flights[i].Was })
		seen := map[int]bool{}
		for _, at := range got.At {
			h := slices.IndexFunc(f.Hosts, func(h placement.Host) bool { return h.ID == at.Host })
			p := slices.IndexFunc(f.Flights[i].Parts, func(p placement.Part) bool { return p.Room == at.Room })
			part, lost := f.Flights[i].Parts[p], 0.0
			if f.Hosts[h].Room != at.Room {
				lost += f.Prices.Crossing
			}
			if was >= 0 && was != h {
				lost += f.Prices.Move
			}
			whole := 0.0
			for _, p := range f.Flights[i].Parts {
				whole += p.Load
			}
			back := slices.Min(c.paid) * at.Load / whole
			parts[h] = append(parts[h], held{at.Load, part.Worth*at.Load/part.Load*(1-lost) + back})
			load[h] += at.Load
			placed[got.ID] += at.Load
			if !seen[h] {
				seen[h] = true
				flights[h]++
			}
		}
	}
	feasible = true
	for h := range parts {
		worth += c.worth(h, parts[h], flights[h])
		feasible = feasible && load[h]+float64(flights[h])*c.pay[h] <= c.serve[h]*(1+1e-6)
	}
	for id, l := range asked {
		feasible = feasible && placed[id] >= l*(1-1e-9)
	}
	return worth, feasible
}

type exactSearch struct {
	*exactCase
	best    float64
	budget  int
	prices  [][]float64  // pairs of prices of a load, one for each host by its room
	rest    [][]float64  // of each pair: the most that the groups from g on bring
	ways    [][]exactWay // of each group
	parts   [][]held
	flights []int
}

type exactWay struct {
	at     []int
	brings float64 // with no limits
}

// prepare works out the ways of each group, and for a net of prices what the groups bring at them.
func (e *exactSearch) prepare() {
	hosts := len(e.serve)
	for _, g := range e.groups {
		var ways []exactWay
		at := make([]int, len(g.load))
		var place func(p int, brings float64)
		place = func(p int, brings float64) {
			if p == len(at) {
				ways = append(ways, exactWay{append([]int(nil), at...), brings})
				return
			}
			at[p] = -1
			place(p+1, brings)
			for h := range hosts {
				b := brings + g.gain[p][h]
				if !slices.Contains(at[:p], h) {
					b -= e.paid[h]
				}
				at[p] = h
				place(p+1, b)
			}
		}
		place(0, 0)
		e.ways = append(e.ways, ways)
	}
	// Prices from nothing to the most that any load brings; then finer round the best pair.
	top := 0.0
	for _, g := range e.groups {
		for p := range g.load {
			for h := range hosts {
				if g.load[p] > 0 {
					top = math.Max(top, g.gain[p][h]/g.load[p])
				}
			}
		}
	}
	low, high := [2]float64{}, [2]float64{top, top}
	const net = 9
	for range 4 {
		bestAt, best := [2]float64{}, math.Inf(1)
		for i := range net {
			for j := range net {
				pair := [2]float64{low[0] + (high[0]-low[0])*float64(i)/(net-1), low[1] + (high[1]-low[1])*float64(j)/(net-1)}
				if b := e.add(pair); b < best {
					best, bestAt = b, pair
				}
			}
		}
		for r := range 2 {
			width := (high[r] - low[r]) / (net - 1)
			low[r], high[r] = math.Max(bestAt[r]-width, 0), bestAt[r]+width
		}
	}
	e.thin()
}

// add adds a pair of prices and tells the bound that it gives at the start.
func (e *exactSearch) add(pair [2]float64) float64 {
	price := make([]float64, len(e.serve))
	total := 0.0
	for h := range price {
		price[h] = pair[e.room[h]]
		total += price[h] * e.serve[h]
	}
	rest := make([]float64, len(e.groups)+1)
	for g := len(e.groups) - 1; g >= 0; g-- {
		most := 0.0
		for _, w := range e.ways[g] {
			b := 0.0
			for p, h := range w.at {
				if h < 0 || slices.Contains(w.at[:p], h) {
					continue
				}
				// no more than the host serves of the group if it has nothing else
				var alone []held
				for q := p; q < len(w.at); q++ {
					if load, gain := e.groups[g].load[q], e.groups[g].gain[q][h]; w.at[q] == h && gain > price[h]*load {
						alone = append(alone, held{load, gain - price[h]*load})
					}
				}
				b += e.worth(h, alone, 1) - price[h]*e.pay[h]
			}
			most = math.Max(most, b)
		}
		rest[g] = rest[g+1] + most
	}
	e.prices, e.rest = append(e.prices, price), append(e.rest, rest)
	return total + rest[0]
}

// thin keeps the prices that bound best at the start, and some of the others for what comes deeper.
func (e *exactSearch) thin() {
	order := make([]int, len(e.prices))
	value := func(i int) float64 {
		v := e.rest[i][0]
		for h, p := range e.prices[i] {
			v += p * e.serve[h]
		}
		return v
	}
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if x, y := value(a), value(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a - b
	})
	var prices, rest [][]float64
	for k, i := range order {
		if k < 24 || k%8 == 0 {
			prices, rest = append(prices, e.prices[i]), append(rest, e.rest[i])
		}
	}
	e.prices, e.rest = prices, rest
}

// bound is what nothing that completes the present placement is over: at any prices a host brings at most the price of
// what it serves and what its parts bring over the price. One that is full and stops to serve at a gain over the price
// brings what it does, and more parts bring no more there than at the price, for the most that it serves is concave.
func (e *exactSearch) bound(g int) float64 {
	value, stops := make([]float64, len(e.serve)), make([]float64, len(e.serve))
	for h := range value {
		value[h], stops[h] = e.filled(h, e.parts[h], e.flights[h])
	}
	least := math.Inf(1)
	for i, price := range e.prices {
		total := e.rest[i][g]
		for h, p := range price {
			if stops[h] > 0 && stops[h] >= p {
				total += value[h]
				continue
			}
			total += p*(e.serve[h]-float64(e.flights[h])*e.pay[h]) - float64(e.flights[h])*e.paid[h]
			for _, x := range e.parts[h] {
				if over := x.gain - p*x.load; over > 0 {
					total += over
				}
			}
		}
		if least = math.Min(least, total); least <= e.best {
			break
		}
	}
	return least
}

func (e *exactSearch) visit(g int) {
	if e.budget--; e.budget <= 0 {
		return
	}
	if g == len(e.groups) {
		total := 0.0
		for h := range e.parts {
			total += e.worth(h, e.parts[h], e.flights[h])
		}
		e.best = math.Max(e.best, total)
		return
	}
	type next struct {
		way   []int
		bound float64
	}
	var ways []next
	for _, w := range e.ways[g] {
		if e.mirrored(w.at) {
			continue
		}
		e.set(g, w.at)
		if b := e.bound(g + 1); b > e.best+1e-9*math.Abs(e.best) {
			ways = append(ways, next{w.at, b})
		}
		e.unset(w.at)
	}
	slices.SortStableFunc(ways, func(a, b next) int {
		switch {
		case a.bound > b.bound:
			return -1
		case a.bound < b.bound:
			return 1
		}
		return 0
	})
	for _, w := range ways {
		if w.bound <= e.best+1e-9*math.Abs(e.best) {
			return
		}
		e.set(g, w.way)
		e.visit(g + 1)
		e.unset(w.way)
	}
}

func (e *exactSearch) set(g int, at []int) {
	for p, h := range at {
		if h >= 0 {
			if !slices.Contains(at[:p], h) {
				e.flights[h]++
			}
			e.parts[h] = append(e.parts[h], held{e.groups[g].load[p], e.groups[g].gain[p][h]})
		}
	}
}

func (e *exactSearch) unset(at []int) {
	for p, h := range at {
		if h >= 0 {
			if !slices.Contains(at[:p], h) {
				e.flights[h]--
			}
			e.parts[h] = e.parts[h][:len(e.parts[h])-1]
		}
	}
}

// mirrored tells that a way takes an empty host where an equal one before it is empty.
func (e *exactSearch) mirrored(at []int) bool {
	for p, h := range at {
		if h < 0 || e.flights[h] > 0 || e.home[h] {
			continue
		}
		for o := range h {
			if e.flights[o] == 0 && !e.home[o] && e.room[o] == e.room[h] && e.serve[o] == e.serve[h] && e.pay[o] == e.pay[h] &&
				!slices.Contains(at[:p], o) {
				return true
			}
		}
	}
	return false
}

// PlacementCase draws a small fleet: up to six hosts of two kinds in one or two rooms, up to twenty flights, from far
// too little to far too much traffic, some of it in the wrong room, some under a plan already.
func PlacementCase(rng *rand.Rand, hosts, flights int) *placement.Fleet {
	f := &placement.Fleet{Prices: placement.Usual()}
	f.Prices.Caution = float64(rng.IntN(2))
	rooms := bothRooms[:1+min(rng.IntN(4), 1)]
	equal := rng.IntN(3) == 0 // ties
	largest, serves := 0.0, 0.0
	for i := range 1 + rng.IntN(hosts) {
		h := placement.Host{ID: string(rune('a' + i)), Room: rooms[rng.IntN(len(rooms))], Kind: "full-speed", Capacity: 30 + 15*rng.Float64()}
		if rng.IntN(2) == 0 {
			h.Kind, h.Capacity = "slow-clock", 17+8*rng.Float64()
		}
		if equal {
			h.Capacity = 30
		}
		if rng.IntN(6) == 0 {
			h.Warm = 0.15 + 0.8*rng.Float64()
		}
		if rng.IntN(4) == 0 {
			h.Error = 0.3 * rng.Float64()
		}
		f.Hosts = append(f.Hosts, h)
		s := h.Serves(&f.Prices)
		largest, serves = math.Max(largest, math.Min(s, 8*f.Prices.Piece)), serves+s
	}
	count := 1 + rng.IntN(flights)
	demand := serves * (0.2 + 1.4*rng.Float64())
	skew := rng.Float64()
	for range count {
		fl := placement.Flight{ID: rng.Uint64(), Carrier: Carriers[rng.IntN(len(Carriers))].Name}
		load := demand / float64(count) * (0.2 + rng.ExpFloat64())
		if equal && rng.IntN(2) == 0 {
			load = demand / float64(count)
		}
		worth := 0.5 + rng.Float64() // a load
		part := 1.0
		for r, room := range rooms {
			share := part
			if r+1 < len(rooms) {
				if share = skew; rng.IntN(2) == 0 {
					share = math.Round(skew)
				}
			}
			part -= share
			if x := math.Min(load*share, largest); x > 0 {
				fl.Parts = append(fl.Parts, placement.Part{Room: room, Load: x, Worth: x * worth})
			}
		}
		if rng.IntN(3) == 0 {
			fl.Was = f.Hosts[rng.IntN(len(f.Hosts))].ID
		}
		f.Flights = append(f.Flights, fl)
	}
	return f
}
