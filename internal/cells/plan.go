// Package cells partitions the fleet into cells, each with its own carriers, flights and desk hosts, so that a failure
// or an overload in one cell does not affect the others. It contains the operator's plan (Plan), the assignment of
// hosts to cells (Plan.AssignHosts), the time at which each flight crosses during a move (Move.Crossed), and Fleet,
// which puts one policy.Balancer per cell behind the interface of a single one.
//
// Guarantees: whatever depends only on the host list, the plan and the clock is the same at every balancer; a host is
// in one cell at a time; without a plan, a Fleet takes exactly the actions of a single policy.Balancer. The package
// does no I/O, reads no clock and starts no goroutine: callers pass in the time, and actions go to a policy.Host.
package cells

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Plan is an operator's configuration of the cells. A plan without cells turns them off.
type Plan struct {
	Default string // the cell of carriers and flights that no cell lists
	// Slack is the fraction by which a cell may exceed its share of the hosts. With 0, every cell has its share to
	// within one host, and each host that joins or leaves reassigns some others; with 0.1, it reassigns hardly any.
	Slack float64
	// AbsentRetention is how long a host that has left the list still counts in the assignment. Without it, a crash in
	// one cell would pull in hosts from all other cells, and the recovery would push them back.
	AbsentRetention time.Duration
	Cells           []Cell
	Moves           []Move
	// PlacementCell, if set, returns the cell that a placement plan gives to a carrier's flight. The flights and moves
	// of the operator's file take precedence over it; it takes precedence over the file's carriers. A cell that does
	// not exist is ignored.
	PlacementCell func(now time.Duration, carrier string, flight uint64) (cell string, ok bool)
}

// CellCount returns the number of cells; a nil plan has none.
func (p *Plan) CellCount() int {
	if p == nil {
		return 0
	}
	return len(p.Cells)
}

// Cell configures one cell: its carriers and flights, its hosts and its limits. Limits apply to the whole fleet; each
// balancer enforces its share, the limit divided by the number of siblings. Zero means no limit.
type Cell struct {
	Name     string
	Carriers []string
	Flights  []FlightRange
	// A host that matches Numbers (the cell number in the host list), Rooms, Kinds or IDs belongs to this cell. All
	// other hosts are assigned by Share.
	Numbers []int
	Rooms   []string
	Kinds   []string
	IDs     []string
	Share   float64
	// MaxConnections limits the connections that are established or being set up, MaxOpensPerSecond the rate of new
	// ones.
	MaxConnections    int
	MaxOpensPerSecond float64
	OverflowTo        string // takes requests when this cell is full or has no host in service; empty: they are refused
	MaxGuests         int    // connections accepted from other cells' overflow; 0: none
}

// FlightRange is the flight keys from Low to High, both inclusive.
type FlightRange struct{ Low, High uint64 }

// ParseFlightRange parses a hexadecimal flight key, or a range of them written LOW-HIGH.
func ParseFlightRange(text string) (r FlightRange, err error) {
	low, high, isRange := strings.Cut(text, "-")
	if r.Low, err = strconv.ParseUint(low, 16, 64); err != nil {
		return r, fmt.Errorf("flight %q: must be a hexadecimal key or a range LOW-HIGH", text)
	}
	if r.High = r.Low; isRange {
		if r.High, err = strconv.ParseUint(high, 16, 64); err != nil || r.High < r.Low {
			return r, fmt.Errorf("flight %q: range must be LOW-HIGH in hexadecimal with LOW <= HIGH", text)
		}
	}
	return r, nil
}

func (r FlightRange) contains(flight uint64) bool { return r.Low <= flight && flight <= r.High }

// HomeCell returns the cell that a carrier's flight belongs to at the given time.
func (p *Plan) HomeCell(now time.Duration, carrier string, flight uint64) string {
	home, _, _ := p.resolveHome(now, carrier, flight)
	return home
}

// resolveHome returns the home cell of a carrier's flight. If the carrier has a move, other is the second cell of the
// move, in which connections of the flight may still be established, and since is when the flight last crossed, as
// Move.Crossed returns it.
func (p *Plan) resolveHome(now time.Duration, carrier string, flight uint64) (home, other string, since time.Duration) {
	if cell, ok := p.cellOfFlight(flight); ok {
		return cell, "", 0
	}
	if m := p.moveOf(carrier); m != nil {
		crossed, since := m.Crossed(now, flight)
		if crossed {
			return m.To, m.From, since
		}
		return m.From, m.To, since
	}
	if p.PlacementCell != nil {
		if cell, ok := p.PlacementCell(now, carrier, flight); ok && p.hasCell(cell) {
			return cell, "", 0
		}
	}
	return p.cellOfCarrier(carrier), "", 0
}

// cellOfFlight returns the cell that lists a flight by its key.
func (p *Plan) cellOfFlight(flight uint64) (string, bool) {
	for i := range p.Cells {
		for _, r := range p.Cells[i].Flights {
			if r.contains(flight) {
				return p.Cells[i].Name, true
			}
		}
	}
	return "", false
}

// moveOf returns the move of a carrier, or nil.
func (p *Plan) moveOf(carrier string) *Move {
	for i := range p.Moves {
		if p.Moves[i].Carrier == carrier {
			return &p.Moves[i]
		}
	}
	return nil
}

// cellOfCarrier returns the cell that lists a carrier, or the default cell.
func (p *Plan) cellOfCarrier(carrier string) string {
	for i := range p.Cells {
		if slices.Contains(p.Cells[i].Carriers, carrier) {
			return p.Cells[i].Name
		}
	}
	return p.Default
}

func (p *Plan) hasCell(name string) bool {
	return slices.ContainsFunc(p.Cells, func(c Cell) bool { return c.Name == name })
}
