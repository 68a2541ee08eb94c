package placement

import (
	"cmp"
	"math"
	"slices"
)

// gain is the value of serving a piece on a host, without the overhead that the host pays for the piece's flight. The
// waste of a flight's first host is credited in proportion to the load served: otherwise, small flights would be turned
// away although there is room for them.
func (p *problem) gain(c *piece, host int) float64 {
	g := c.worth + c.wasteCredit
	if p.hostRoom[host] != c.room {
		g -= p.prices.Crossing * c.worth
	}
	if c.current != none && c.current != host {
		g -= p.prices.Move * c.worth
	}
	return g
}

// Value is the value of a placement per second, and its components.
type Value struct {
	Total           float64 // ServedWorth less the costs
	ServedWorth     float64 // worth of the connections that are served
	ShedWorth       float64 // worth of those that are not
	ShedLoad        float64 // load of those that are not
	CrossingCost    float64 // cost of serving connections in another room than the one they arrive in
	WasteCost       float64 // cost of holding flights on more than one host
	MoveCost        float64 // cost of not staying where the plan in force places a flight
	CrossedWorth    float64 // worth of the connections that cross rooms
	FlightHostPairs int     // number of pairs of a flight and a host that holds some of it
	Feasible        bool    // all demand is served within the usable capacity of each host
}

// tolerance is the relative rounding error allowed in sums of floating-point numbers.
const tolerance = 1e-9

// valueOf computes the value of a placement from scratch: hostOf[i] is the host of piece i, or none.
//
// On a host that holds more than its usable capacity, the pieces of least gain per load are not served, one of them in
// part.
func (p *problem) valueOf(hostOf []int32) (v Value) {
	pieces := make([][]int32, len(p.hostIndexes))
	v.Feasible = true
	for i, h := range hostOf {
		if h == none {
			if p.pieces[i].worth > 0 || p.pieces[i].load > 0 {
				v.Feasible = false
				v.ShedWorth += p.pieces[i].worth
				v.ShedLoad += p.pieces[i].load
			}
			continue
		}
		pieces[h] = append(pieces[h], int32(i))
	}
	s := &state{problem: p, flightStamp: make([]int32, len(p.flightLoad))}
	for h := range pieces {
		total, d := s.hostValue(h, pieces[h])
		v.addHost(total, &d)
	}
	return v
}

// addHost adds the value of a host.
func (v *Value) addHost(total float64, d *hostDetail) {
	v.Total += total
	v.ServedWorth += d.servedWorth
	v.CrossingCost += d.crossingCost
	v.WasteCost += d.wasteCost
	v.MoveCost += d.moveCost
	v.CrossedWorth += d.crossedWorth
	v.ShedWorth += d.shedWorth
	v.ShedLoad += d.shedLoad
	v.FlightHostPairs += d.flights
	if d.shedLoad > 0 {
		v.Feasible = false
	}
}

// hostDetail holds the components of the value of a host.
type hostDetail struct {
	servedWorth, crossingCost, wasteCost, moveCost float64
	crossedWorth, shedWorth, shedLoad              float64

	flights      int // number of flights that have a piece there
	full         bool
	freeLoad     float64 // load that still fits; below 0 where the host is overfull
	marginalGain float64 // gain per load of the first piece that a full host does not serve completely
}

// hostValue is the value of a host with the given pieces on it. Only the share of a piece that is served counts, with
// its cost of crossing and moving. The overhead of a flight is paid for each flight that has a piece there, served or
// not.
func (s *state) hostValue(h int, pieces []int32) (total float64, d hostDetail) {
	if len(pieces) == 0 {
		return 0, hostDetail{freeLoad: s.usable[h]}
	}
	load := 0.0
	load, d.flights = s.loadAndFlights(pieces)
	overhead := float64(d.flights) * s.overhead[h]
	d.wasteCost = overhead * s.wastePerLoad
	left := s.usable[h] - overhead
	d.freeLoad = left - load
	if d.full = load > left+tolerance*(s.usable[h]+overhead); d.full {
		pieces = s.byGainPerLoad(h, pieces)
	} else {
		left = math.Inf(1)
	}
	credit := 0.0
	for _, i := range pieces {
		c := &s.pieces[i]
		share := 1.0
		if c.load > left && c.load > 0 {
			share = max(left, 0) / c.load
			if d.marginalGain == 0 {
				d.marginalGain = max(s.gain(c, h), 0) / c.load
			}
		}
		left -= c.load * share
		total += share * s.gain(c, h)
		credit += share * c.wasteCredit
		s.addPiece(&d, c, h, share)
	}
	total, d.wasteCost = total-d.wasteCost, d.wasteCost-credit
	return total, d
}

// loadAndFlights returns the load of pieces and the number of flights that they belong to.
func (s *state) loadAndFlights(pieces []int32) (load float64, flights int) {
	s.stamp++
	for _, i := range pieces {
		c := &s.pieces[i]
		load += c.load
		if s.flightStamp[c.flight] != s.stamp {
			s.flightStamp[c.flight] = s.stamp
			flights++
		}
	}
	return load, flights
}

// byGainPerLoad returns pieces in the order in which a full host serves them: the highest gain per load first.
func (s *state) byGainPerLoad(h int, pieces []int32) []int32 {
	s.sorted = append(s.sorted[:0], pieces...)
	slices.SortFunc(s.sorted, func(a, b int32) int {
		x, y := &s.pieces[a], &s.pieces[b]
		return cmp.Or(cmp.Compare(s.gain(y, h)*x.load, s.gain(x, h)*y.load), cmp.Compare(a, b))
	})
	return s.sorted
}

// addPiece adds a piece of which a host serves the given share.
func (s *state) addPiece(d *hostDetail, c *piece, h int, share float64) {
	d.servedWorth += share * c.worth
	d.shedWorth += (1 - share) * c.worth
	d.shedLoad += (1 - share) * c.load
	if s.hostRoom[h] != c.room {
		d.crossedWorth += share * c.worth
		d.crossingCost += share * s.prices.Crossing * c.worth
	}
	if c.current != none && c.current != h {
		d.moveCost += share * s.prices.Move * c.worth
	}
}
