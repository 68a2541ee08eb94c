package lab

import "slices"

// partialPlacement is a placement that is being built: the parts and the number of flights on each host so far.
type partialPlacement struct {
	*exactProblem
	parts       [][]placedPart
	flightCount []int
}

func newPartialPlacement(c *exactProblem) *partialPlacement {
	return &partialPlacement{exactProblem: c, parts: make([][]placedPart, len(c.capacity)), flightCount: make([]int, len(c.capacity))}
}

// add places a part; first says that it is the first part of its flight on the host.
func (l *partialPlacement) add(flight, part, host int, first bool) {
	if first {
		l.flightCount[host]++
	}
	g := &l.flights[flight]
	l.parts[host] = append(l.parts[host], placedPart{g.loads[part], g.gains[part][host]})
}

// remove removes the last part placed on a host.
func (l *partialPlacement) remove(host int, first bool) {
	l.parts[host] = l.parts[host][:len(l.parts[host])-1]
	if first {
		l.flightCount[host]--
	}
}

// set places all parts of a flight.
func (l *partialPlacement) set(flight int, at []int) {
	for part, host := range at {
		if host != unplaced {
			l.add(flight, part, host, !slices.Contains(at[:part], host))
		}
	}
}

// unset removes all parts of a flight.
func (l *partialPlacement) unset(at []int) {
	for part, host := range at {
		if host != unplaced {
			l.remove(host, !slices.Contains(at[:part], host))
		}
	}
}

// total is the worth of the placement.
func (l *partialPlacement) total() (worth float64) {
	for host := range l.parts {
		worth += l.worth(host, l.parts[host], l.flightCount[host])
	}
	return worth
}
