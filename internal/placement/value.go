package placement

import (
	"cmp"
	"math"
	"slices"
)

// gain is what serving a piece on a host brings, but for what the host pays for holding its flight. The waste of a
// flight's first host is given back, in proportion to what is served of it: no flight is turned away while there is
// room because it is small.
func (p *problem) gain(c *piece, host int) float64 {
	g := c.worth + c.refund
	if p.room[host] != c.room {
		g -= p.prices.Crossing * c.worth
	}
	if c.was != none && c.was != host {
		g -= p.prices.Move * c.worth
	}
	return g
}

// Value is what a placement is worth a second, and of what that is made.
type Value struct {
	Total           float64 // served, less what follows
	ServedWorth     float64 // worth of what is served
	ShedWorth       float64 // worth of what is not
	ShedLoad        float64 // and its load
	Crossing        float64 // what crossing costs
	Waste           float64 // what holding flights on more than one host costs
	Moved           float64
	CrossedWorth    float64 // worth that crosses
	FlightHostPairs int     // pairs of flight and host
	Feasible        bool
}

// tolerance is what sums of floating point may be off by, as a share.
const tolerance = 1e-9

// value works out what a placement is worth, from nothing but it: at[i] is the host of piece i, or none.
//
// On a host that holds more than it serves, the pieces of least worth a load wait outside, the last of them in part.
func (p *problem) value(at []int32) (v Value) {
	items := make([][]int32, len(p.hosts))
	v.Feasible = true
	for i, h := range at {
		if h == none {
			if p.pieces[i].worth > 0 || p.pieces[i].load > 0 {
				v.Feasible = false
				v.ShedWorth += p.pieces[i].worth
				v.ShedLoad += p.pieces[i].load
			}
			continue
		}
		items[h] = append(items[h], int32(i))
	}
	s := &state{problem: p, mark: make([]int32, len(p.flight))}
	for h := range items {
		total, d := s.host(h, items[h])
		v.add(total, &d)
	}
	return v
}

// add counts what a host is worth.
func (v *Value) add(total float64, d *detail) {
	v.Total += total
	v.ServedWorth += d.served
	v.Crossing += d.crossing
	v.Waste += d.waste
	v.Moved += d.moved
	v.CrossedWorth += d.crossed
	v.ShedWorth += d.shed
	v.ShedLoad += d.shedLoad
	v.FlightHostPairs += d.pieces
	if d.shedLoad > 0 {
		v.Feasible = false
	}
}

// detail is what a host's value is made of.
type detail struct {
	served, crossing, waste, moved, crossed, shed, shedLoad float64
	pieces                                                  int
	full                                                    bool
	free                                                    float64 // loads that could still come; under 0 where it is full
	margin                                                  float64 // gain a load at which a full host stops to serve
}

// host is what a host is worth with what is placed there. Of the pieces, what serves is counted with its crossing
// and its move; the flight's price is paid for each flight that has a piece there, served or not.
func (s *state) host(h int, items []int32) (total float64, d detail) {
	if len(items) == 0 {
		return 0, detail{free: s.serves[h]}
	}
	load := 0.0
	load, d.pieces = s.count(items)
	over := float64(d.pieces) * s.over[h]
	d.waste = over * s.waste
	left := s.serves[h] - over
	d.free = left - load
	if d.full = load > left+tolerance*(s.serves[h]+over); d.full {
		items = s.byWorth(h, items)
	} else {
		left = math.Inf(1)
	}
	refund := 0.0
	for _, i := range items {
		c := &s.pieces[i]
		share := 1.0
		if c.load > left && c.load > 0 {
			share = max(left, 0) / c.load
			if d.margin == 0 {
				d.margin = max(s.gain(c, h), 0) / c.load
			}
		}
		left -= c.load * share
		total += share * s.gain(c, h)
		refund += share * c.refund
		s.add(&d, c, h, share)
	}
	total, d.waste = total-d.waste, d.waste-refund
	return total, d
}

// count is the load of pieces, and of how many flights they are.
func (s *state) count(items []int32) (load float64, flights int) {
	s.stamp++
	for _, i := range items {
		c := &s.pieces[i]
		load += c.load
		if s.mark[c.flight] != s.stamp {
			s.mark[c.flight] = s.stamp
			flights++
		}
	}
	return load, flights
}

// byWorth is the pieces in the order in which a full host serves them: the most worth a load first.
func (s *state) byWorth(h int, items []int32) []int32 {
	s.order = append(s.order[:0], items...)
	slices.SortFunc(s.order, func(a, b int32) int {
		x, y := &s.pieces[a], &s.pieces[b]
		return cmp.Or(cmp.Compare(s.gain(y, h)*x.load, s.gain(x, h)*y.load), cmp.Compare(a, b))
	})
	return s.order
}

// add counts a piece of which a host serves a share.
func (s *state) add(d *detail, c *piece, h int, share float64) {
	d.served += share * c.worth
	d.shed += (1 - share) * c.worth
	d.shedLoad += (1 - share) * c.load
	if s.room[h] != c.room {
		d.crossed += share * c.worth
		d.crossing += share * s.prices.Crossing * c.worth
	}
	if c.was != none && c.was != h {
		d.moved += share * s.prices.Move * c.worth
	}
}
