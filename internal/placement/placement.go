// Package placement works out ahead where flights should stand, from what desk hosts can do, the rooms in which clients
// arrive, and what it costs to cross rooms, to spread a flight and to move it. It owns the model of fleet and demand
// (Fleet), the objective (Value), the solver with its bound (Solve), the weights that follow (Shares), the plan that
// balancers read (Plan) and what is learned of capacity from a running fleet (Estimator).
//
// It promises: the same input and the same number of steps give the same answer on any machine; an answer tells what
// it is worth, by which method it was found, and a bound that no placement can be over; what it calls feasible serves
// all demand within what every host is said to serve. It is pure: no input or output, no clock, no goroutine; who
// wants to stop it early passes a question in.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Fleet is what a plan is made for. Loads are counted in mean connection loads, worth in worth a second.
type Fleet struct {
	Hosts   []Host   `json:"hosts"`
	Flights []Flight `json:"flights"`
	Prices  Prices   `json:"prices"`
}

// Host is a desk host, or a cell of them that flights are placed in as one.
type Host struct {
	ID       string  `json:"id"`
	Room     string  `json:"room"`
	Kind     string  `json:"kind,omitempty"`
	Capacity float64 `json:"capacity"`         // loads that it can do when warm
	Error    float64 `json:"error,omitempty"`  // by how much Capacity may be off, as a share of it (one standard error)
	Warm     float64 `json:"warm,omitempty"`   // share of Capacity that it has over the plan's time; 0 means all
	Spread   float64 `json:"spread,omitempty"` // for a cell: on how many hosts a flight in it stands; 0 means one
}

// Flight is connections that cost extra on each host that holds a part of them.
type Flight struct {
	ID      uint64 `json:"id"` // the key that clients tell
	Carrier string `json:"carrier,omitempty"`
	Parts   []Part `json:"parts"`
	Was     string `json:"was,omitempty"` // the host or cell that the plan in force has it on
}

// Part is what of a flight arrives in one room.
type Part struct {
	Room  string  `json:"room"`
	Load  float64 `json:"load"`
	Worth float64 `json:"worth"` // a second, all its connections together
}

// Prices are what things cost. Shares are of the worth of what they happen to.
type Prices struct {
	Crossing float64 `json:"crossing"` // share of worth, for connections served in another room than they arrive in
	Piece    float64 `json:"piece"`    // loads that each host holding a part of a flight pays
	Waste    float64 `json:"waste"`    // share of the mean worth of a load, for each load of Piece paid beyond a flight's first host
	Move     float64 `json:"move"`     // share of worth, for what does not stay where the plan in force has it
	Fill     float64 `json:"fill"`     // share of what a host can do at which messages still come within the aims
	Caution  float64 `json:"caution"`  // standard errors by which capacities are taken lower
}

// Usual are the operators' prices: 10 points for each request crossing once, 23 for as much work wasted as asked for,
// 3.1 for each client moved once, 3 loads for each host with a part of a flight. A message at an idle host takes 4 to
// 8 ms and over what is left of it when loaded, so 50 ms is kept to about nine tenths.
func Usual() Prices {
	return Prices{Crossing: 0.10, Piece: 3, Waste: 0.23, Move: 0.031, Fill: 0.9, Caution: 1}
}

// Serves is how many loads a host serves within the aims.
func (h *Host) Serves(p *Prices) float64 {
	return h.present() * p.Fill * max(1-p.Caution*h.Error, 0.1)
}

// present is the capacity that a host has over the plan's time.
func (h *Host) present() float64 {
	if h.Warm == 0 {
		return h.Capacity
	}
	return h.Capacity * h.Warm
}

func (h *Host) spread() float64 { return max(h.Spread, 1) }

// Bounds of a fleet: what is larger was not measured.
const mostHosts, mostFlights, mostRooms = 20_000, 400_000, 64

// Check tells everything that makes no sense.
func (f *Fleet) Check() (all []error) {
	say := func(format string, args ...any) {
		if len(all) < 100 {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	figure := func(x float64) bool { return x >= 0 && x <= 1e15 } // not a number is not
	if len(f.Hosts) > mostHosts || len(f.Flights) > mostFlights {
		say("%d hosts and %d flights; at most %d and %d", len(f.Hosts), len(f.Flights), mostHosts, mostFlights)
		return all
	}
	names, rooms := map[string]bool{}, map[string]bool{}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		rooms[h.Room] = true
		switch {
		case h.ID == "":
			say("host %d: no id", i+1)
		case names[h.ID]:
			say("host %q: told twice", h.ID)
		case !figure(h.Capacity):
			say("host %q: capacity %v; want a figure from 0 on", h.ID, h.Capacity)
		case !(h.Error >= 0 && h.Error <= 10):
			say("host %q: error %v; want 0 to 10", h.ID, h.Error)
		case !(h.Warm >= 0 && h.Warm <= 1):
			say("host %q: warm %v; want 0 to 1", h.ID, h.Warm)
		case h.Spread != 0 && !(h.Spread >= 1 && h.Spread <= mostHosts):
			say("host %q: spread %v; want 1 or more", h.ID, h.Spread)
		}
		names[h.ID] = true
	}
	keys := map[uint64]bool{}
	for i := range f.Flights {
		fl := &f.Flights[i]
		if keys[fl.ID] {
			say("flight %x: told twice", fl.ID)
		}
		keys[fl.ID] = true
		in := map[string]bool{}
		for _, p := range fl.Parts {
			rooms[p.Room] = true
			if in[p.Room] {
				say("flight %x: room %q told twice", fl.ID, p.Room)
			}
			in[p.Room] = true
			if !figure(p.Load) || !figure(p.Worth) {
				say("flight %x: load %v, worth %v; want figures from 0 on", fl.ID, p.Load, p.Worth)
			}
		}
	}
	if len(rooms) > mostRooms {
		say("%d rooms; at most %d", len(rooms), mostRooms)
	}
	p := &f.Prices
	for name, x := range map[string]float64{"crossing": p.Crossing, "waste": p.Waste, "move": p.Move} {
		if !(x >= 0 && x <= 1) {
			say("price %s: %v; want 0 to 1", name, x)
		}
	}
	if !(p.Piece >= 0 && p.Piece <= 1e6) {
		say("price piece: %v; want 0 or more loads", p.Piece)
	}
	if !(p.Fill > 0 && p.Fill <= 1) || !(p.Caution >= 0 && p.Caution <= 5) {
		say("fill %v, caution %v; want above 0 to 1, and 0 to 5", p.Fill, p.Caution)
	}
	slices.SortFunc(all, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return all
}

// wholeUpTo is how many times the price of a further host a part is placed as a whole; a larger one is cut, as it may be
// larger than any host, and what the cut costs is little against it. The rule must not look at what hosts can do, or
// more of it could be worth less.
const wholeUpTo, mostCuts = 8, 256

// piece is what is placed as one: a part of a flight, or of a part that is cut.
type piece struct {
	flight, room int
	load, worth  float64
	refund       float64 // its share of the waste of the first host
	was          int     // host, or none
}

const none = -1

// problem is a fleet in numbers. Hosts and flights are in the order of their names, so that the order in which they
// were told changes nothing.
type problem struct {
	fleet   *Fleet
	hosts   []int // index in the fleet
	serves  []float64
	room    []int // of each host
	over    []float64
	rooms   []string
	byRoom  [][]int
	pieces  []piece
	flights []int // index in the fleet
	from    []int // pieces of flight i are from[i] to from[i+1]
	flight  []float64
	prices  Prices
	waste   float64   // worth of a load that serves nobody
	worth   float64   // of all
	least   []float64 // that a host of each room pays for a flight
	home    []bool    // of each host: the plan in force has a flight there, so that it is like no other
}

func compile(f *Fleet) *problem {
	p := &problem{fleet: f, prices: f.Prices}
	for i := range f.Hosts {
		p.hosts = append(p.hosts, i)
	}
	slices.SortFunc(p.hosts, func(a, b int) int { return cmp.Compare(f.Hosts[a].ID, f.Hosts[b].ID) })
	seen := map[string]bool{}
	note := func(room string) {
		if !seen[room] {
			seen[room] = true
			p.rooms = append(p.rooms, room)
		}
	}
	for i := range f.Hosts {
		note(f.Hosts[i].Room)
	}
	for i := range f.Flights {
		for _, part := range f.Flights[i].Parts {
			note(part.Room)
		}
		p.flights = append(p.flights, i)
	}
	slices.Sort(p.rooms)
	index, names := map[string]int{}, map[string]int{}
	for i, r := range p.rooms {
		index[r] = i
	}
	p.byRoom = make([][]int, len(p.rooms))
	for j, i := range p.hosts {
		h := &f.Hosts[i]
		names[h.ID] = j
		r := index[h.Room]
		p.room = append(p.room, r)
		p.byRoom[r] = append(p.byRoom[r], j)
		p.serves = append(p.serves, h.Serves(&f.Prices))
		p.over = append(p.over, f.Prices.Piece*h.spread())
	}
	p.least, p.home = make([]float64, len(p.rooms)), make([]bool, len(p.hosts))
	for r, hosts := range p.byRoom {
		for j, h := range hosts {
			if j == 0 || p.over[h] < p.least[r] {
				p.least[r] = p.over[h]
			}
		}
	}
	total := func(i int) (sum float64) {
		for _, part := range f.Flights[i].Parts {
			sum += part.Load
		}
		return sum
	}
	slices.SortFunc(p.flights, func(a, b int) int { // the largest first
		return cmp.Or(cmp.Compare(total(b), total(a)), cmp.Compare(f.Flights[a].ID, f.Flights[b].ID))
	})
	unit := wholeUpTo * f.Prices.Piece
	if unit == 0 {
		for i := range f.Flights {
			unit += total(i) / 32
		}
	}
	load := 0.0
	for n, i := range p.flights {
		fl := &f.Flights[i]
		p.from = append(p.from, len(p.pieces))
		sum := 0.0
		parts := slices.Clone(fl.Parts)
		slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Room, b.Room) })
		for _, part := range parts {
			if part.Load == 0 && part.Worth == 0 {
				continue
			}
			was, known := names[fl.Was]
			if !known {
				was = none
			} else {
				p.home[was] = true
			}
			cuts := 1
			if unit > 0 && part.Load > unit {
				cuts = int(min(math.Ceil(part.Load/unit-tolerance), mostCuts))
			}
			for range cuts {
				c := float64(cuts)
				p.pieces = append(p.pieces, piece{n, index[part.Room], part.Load / c, part.Worth / c, 0, was})
			}
			sum += part.Load
			p.worth += part.Worth
		}
		load += sum
		p.flight = append(p.flight, sum)
	}
	p.from = append(p.from, len(p.pieces))
	if load > 0 {
		p.waste = f.Prices.Waste * p.worth / load
	}
	if len(p.over) > 0 {
		least := slices.Min(p.over)
		for i := range p.pieces {
			if c := &p.pieces[i]; p.flight[c.flight] > 0 {
				c.refund = p.waste * least * c.load / p.flight[c.flight]
			}
		}
	}
	return p
}

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
	Total    float64 // served, less what follows
	Served   float64 // worth of what is served
	Shed     float64 // worth of what is not
	ShedLoad float64 // and its load
	Crossing float64 // what crossing costs
	Waste    float64 // what holding flights on more than one host costs
	Moved    float64
	Crossed  float64 // worth that crosses
	Pieces   int     // pairs of flight and host
	Feasible bool
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
				v.Shed += p.pieces[i].worth
				v.ShedLoad += p.pieces[i].load
			}
			continue
		}
		items[h] = append(items[h], int32(i))
	}
	s := &state{problem: p, mark: make([]int32, len(p.flight))}
	for h := range items {
		total, d := s.host(h, items[h])
		v.Total += total
		v.Served += d.served
		v.Crossing += d.crossing
		v.Waste += d.waste
		v.Moved += d.moved
		v.Crossed += d.crossed
		v.Shed += d.shed
		v.ShedLoad += d.shedLoad
		v.Pieces += d.pieces
		if d.shedLoad > 0 {
			v.Feasible = false
		}
	}
	return v
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
	s.stamp++
	load := 0.0
	for _, i := range items {
		c := &s.pieces[i]
		load += c.load
		if s.mark[c.flight] != s.stamp {
			s.mark[c.flight] = s.stamp
			d.pieces++
		}
	}
	over, refund := float64(d.pieces)*s.over[h], 0.0
	d.waste = over * s.waste
	left := s.serves[h] - over
	d.free = left - load
	if d.full = load > left+tolerance*(s.serves[h]+over); d.full {
		s.order = append(s.order[:0], items...)
		slices.SortFunc(s.order, func(a, b int32) int {
			x, y := &s.pieces[a], &s.pieces[b]
			return cmp.Or(cmp.Compare(s.gain(y, h)*x.load, s.gain(x, h)*y.load), cmp.Compare(a, b))
		})
		items = s.order
	} else {
		left = math.Inf(1)
	}
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
	total, d.waste = total-d.waste, d.waste-refund
	return total, d
}
