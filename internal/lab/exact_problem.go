package lab

import (
	"cmp"
	"math"
	"slices"

	"tealtiller/internal/placement"
)

// unplaced is the host index of a part that is not placed.
const unplaced = -1

// exactFlight holds the load of each part of a flight, and what the part gains on each host.
type exactFlight struct {
	loads []float64
	gains [][]float64 // by part and host
}

func (g exactFlight) totalLoad() float64 { return sumOf(g.loads) }

// exactProblem is a fleet as numbers; hosts and flights go by their index.
type exactProblem struct {
	capacity, overhead, overheadCost []float64 // by host: loads that it serves; loads and worth that it pays for each flight
	flights                          []exactFlight
	room                             []int
	inCurrentPlan                    []bool // by host: whether the plan in force has a flight there
}

func newExactProblem(f *placement.Fleet) *exactProblem {
	c := &exactProblem{inCurrentPlan: make([]bool, len(f.Hosts))}
	wastePerLoad := wasteCost(f)
	rooms := map[string]int{}
	for _, h := range f.Hosts {
		if _, known := rooms[h.Room]; !known {
			rooms[h.Room] = len(rooms)
		}
		c.addHost(f, h, rooms[h.Room], wastePerLoad)
	}
	for _, flight := range f.Flights {
		current := hostIndex(f, flight.CurrentHost)
		if current >= 0 {
			c.inCurrentPlan[current] = true
		}
		c.flights = append(c.flights, c.newFlight(f, flight, current))
	}
	// the heaviest flights first: they leave the fewest possibilities
	slices.SortStableFunc(c.flights, func(a, b exactFlight) int { return cmp.Compare(b.totalLoad(), a.totalLoad()) })
	return c
}

// demand is the worth and load of all flights of a fleet.
type demand struct{ worth, load float64 }

func demandOf(f *placement.Fleet) (all demand) {
	for _, flight := range f.Flights {
		for _, p := range flight.Parts {
			all.worth += p.Worth
			all.load += p.Load
		}
	}
	return all
}

// wasteCost is the cost of one load of overhead, from the mean worth of a load in the fleet.
func wasteCost(f *placement.Fleet) float64 {
	all := demandOf(f)
	if all.load <= 0 {
		return 0
	}
	return f.Prices.Waste * all.worth / all.load
}

func (c *exactProblem) addHost(f *placement.Fleet, h placement.Host, room int, wastePerLoad float64) {
	warm := h.WarmShare
	if warm == 0 {
		warm = 1
	}
	hostsPerFlight := math.Max(h.HostsPerFlight, 1)
	cautionFactor := math.Max(1-f.Prices.CautionErrors*h.CapacityError, 0.1)
	c.room = append(c.room, room)
	c.capacity = append(c.capacity, h.Capacity*warm*f.Prices.MaxUtilisation*cautionFactor)
	c.overhead = append(c.overhead, f.Prices.PerHostOverhead*hostsPerFlight)
	c.overheadCost = append(c.overheadCost, wastePerLoad*f.Prices.PerHostOverhead*hostsPerFlight)
}

// newFlight converts a flight; current is the index of its host in the plan in force, below 0 without one.
func (c *exactProblem) newFlight(f *placement.Fleet, flight placement.Flight, current int) exactFlight {
	var g exactFlight
	for _, p := range flight.Parts {
		g.loads = append(g.loads, p.Load)
	}
	all := g.totalLoad()
	for _, p := range flight.Parts {
		gains := make([]float64, len(f.Hosts))
		for host := range f.Hosts {
			gains[host] = p.Worth * (1 - lostShare(f, p.Room, current, host))
			if all > 0 { // the overhead of the first host is refunded
				gains[host] += slices.Min(c.overheadCost) * p.Load / all
			}
		}
		g.gains = append(g.gains, gains)
	}
	return g
}

// lostShare is the share of a part's worth that is lost on a host: for being in another room than the clients, and for
// not being the current host.
func lostShare(f *placement.Fleet, room string, current, host int) (lost float64) {
	if f.Hosts[host].Room != room {
		lost += f.Prices.Crossing
	}
	if current >= 0 && current != host {
		lost += f.Prices.Move
	}
	return lost
}

func hostIndex(f *placement.Fleet, id string) int {
	return slices.IndexFunc(f.Hosts, func(h placement.Host) bool { return h.ID == id })
}

// placedPart is a part that is placed on a host.
type placedPart struct{ load, gain float64 }

// roundingTolerance is the relative rounding error that sums of loads may have.
const roundingTolerance = 1e-9

// worth is the worth of a host that holds the given parts of a number of flights. The host pays its overhead for each
// flight, then serves the parts in descending order of gain per load; the last one may be served partly.
func (c *exactProblem) worth(host int, parts []placedPart, flights int) float64 {
	total, _ := c.fill(host, parts, flights)
	return total
}

// fill returns the worth of a host and the gain per load at which its capacity ends; 0 if it serves all parts.
func (c *exactProblem) fill(host int, parts []placedPart, flights int) (worth, marginalGain float64) {
	worth = -float64(flights) * c.overheadCost[host]
	free := c.capacity[host] - float64(flights)*c.overhead[host]
	rest := slices.Clone(parts)
	for len(rest) > 0 {
		best := densest(rest)
		p := rest[best]
		rest = slices.Delete(rest, best, best+1)
		if p.load <= free+roundingTolerance*c.capacity[host] {
			worth += p.gain
			free -= p.load
			continue
		}
		if marginalGain == 0 {
			marginalGain = p.gain / p.load
		}
		worth += p.gain * math.Max(free, 0) / p.load
		free = math.Min(free, 0)
	}
	return worth, marginalGain
}

// densest is the index of the first part with the highest gain per load.
func densest(parts []placedPart) (best int) {
	for i := range parts {
		if parts[i].gain*parts[best].load > parts[best].gain*parts[i].load {
			best = i
		}
	}
	return best
}
