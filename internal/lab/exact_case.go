package lab

import (
	"cmp"
	"math"
	"slices"

	"tealtiller/internal/placement"
)

// unplaced stands for a host where a part of a flight is left out.
const unplaced = -1

// exactGroup is a flight: its parts' loads, and what each of them brings on each host.
type exactGroup struct {
	load []float64
	gain [][]float64 // by part and host
}

// whole is the load of all parts.
func (g exactGroup) whole() float64 { return sumOf(g.load) }

// exactCase is a fleet in figures, hosts and flights by their numbers.
type exactCase struct {
	serve, pay, paid []float64 // by host: loads that it serves, loads and worth that it pays for a flight
	groups           []exactGroup
	room             []int
	home             []bool // a plan in force has a flight there
}

func newExactCase(f *placement.Fleet) *exactCase {
	c := &exactCase{home: make([]bool, len(f.Hosts))}
	waste := wasted(f)
	rooms := map[string]int{}
	for _, h := range f.Hosts {
		if _, known := rooms[h.Room]; !known {
			rooms[h.Room] = len(rooms)
		}
		c.addHost(f, h, rooms[h.Room], waste)
	}
	for _, flight := range f.Flights {
		was := hostIndex(f, flight.CurrentHost)
		if was >= 0 {
			c.home[was] = true
		}
		c.groups = append(c.groups, c.newGroup(f, flight, was))
	}
	// the heaviest first: they leave the fewest ways open
	slices.SortStableFunc(c.groups, func(a, b exactGroup) int { return cmp.Compare(b.whole(), a.whole()) })
	return c
}

// demand is a fleet's worth and load, of all flights.
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

// wasted is what a load that a host pays for a flight costs, as the mean load of the fleet is worth.
func wasted(f *placement.Fleet) float64 {
	all := demandOf(f)
	if all.load <= 0 {
		return 0
	}
	return f.Prices.Waste * all.worth / all.load
}

func (c *exactCase) addHost(f *placement.Fleet, h placement.Host, room int, waste float64) {
	warm := h.WarmShare
	if warm == 0 {
		warm = 1
	}
	spread := math.Max(h.HostsPerFlight, 1)
	sure := math.Max(1-f.Prices.CautionErrors*h.CapacityError, 0.1)
	c.room = append(c.room, room)
	c.serve = append(c.serve, h.Capacity*warm*f.Prices.MaxUtilisation*sure)
	c.pay = append(c.pay, f.Prices.PerHostOverhead*spread)
	c.paid = append(c.paid, waste*f.Prices.PerHostOverhead*spread)
}

// newGroup makes a flight of figures; was is the host where a plan in force has it, below 0 for none.
func (c *exactCase) newGroup(f *placement.Fleet, flight placement.Flight, was int) exactGroup {
	var g exactGroup
	for _, p := range flight.Parts {
		g.load = append(g.load, p.Load)
	}
	all := g.whole()
	for _, p := range flight.Parts {
		gains := make([]float64, len(f.Hosts))
		for host := range f.Hosts {
			gains[host] = p.Worth * (1 - lostShare(f, p.Room, was, host))
			if all > 0 { // the first host's price is given back
				gains[host] += slices.Min(c.paid) * p.Load / all
			}
		}
		g.gain = append(g.gain, gains)
	}
	return g
}

// lostShare is the share of a part's worth that a host loses for being in another room than its clients, or another one
// than where they are now.
func lostShare(f *placement.Fleet, room string, was, host int) (lost float64) {
	if f.Hosts[host].Room != room {
		lost += f.Prices.Crossing
	}
	if was >= 0 && was != host {
		lost += f.Prices.Move
	}
	return lost
}

func hostIndex(f *placement.Fleet, id string) int {
	return slices.IndexFunc(f.Hosts, func(h placement.Host) bool { return h.ID == id })
}

// held is a part that stands on a host.
type held struct{ load, gain float64 }

// rounding is the share of a host's capacity by which sums of loads may be off.
const rounding = 1e-9

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
	rest := slices.Clone(parts)
	for len(rest) > 0 {
		best := densest(rest)
		p := rest[best]
		rest = slices.Delete(rest, best, best+1)
		if p.load <= room+rounding*c.serve[host] {
			out += p.gain
			room -= p.load
			continue
		}
		if stops == 0 {
			stops = p.gain / p.load
		}
		out += p.gain * math.Max(room, 0) / p.load
		room = math.Min(room, 0)
	}
	return out, stops
}

// densest is the first part of those that bring most for their load.
func densest(parts []held) (best int) {
	for i := range parts {
		if parts[i].gain*parts[best].load > parts[best].gain*parts[i].load {
			best = i
		}
	}
	return best
}
