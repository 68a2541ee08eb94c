// Package cells confines carriers and flights to parts of the fleet, so that one's trouble stays with the endpoints of
// its own cell. It owns the plan that an operator wrote (Plan), the assignment of endpoints to cells (Deal), the moment
// at which each flight crosses in a move (Move.Crossed), and the decision modules of the cells behind one interface
// (Fleet).
//
// It promises: what follows from list, plan and clock alone is the same at every balancer; an endpoint is in one cell at
// a time; without a plan a Fleet does what the one module does, action by action. It is pure: no input or output, no
// clock, no goroutine. Time comes in, actions go out.
package cells

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Plan is what an operator wants of cells. A plan without cells switches them off.
type Plan struct {
	Default string // the cell of whoever is named in none
	// Slack is by how much a cell may exceed its share of the endpoints assigned. With none, every cell has its share to
	// within one, and each endpoint that comes or goes moves some others; with a tenth, hardly any.
	Slack float64
	// AbsentRetention is how long the place of an endpoint that has left the list is kept for it. Danger: without, a crash in one
	// cell would draw endpoints from all others, and its return would push them back.
	AbsentRetention time.Duration
	Cells           []Cell
	Moves           []Move
	// PlacementCell, if set, is where a placement plan has a carrier's flight. What the file says of flights and moves takes
	// precedence over it, and it over what the file says of carriers. A cell that does not exist counts as none.
	PlacementCell func(now time.Duration, carrier string, flight uint64) (cell string, ok bool)
}

// CellCount is how many cells a plan has; nil is one without.
func (p *Plan) CellCount() int {
	if p == nil {
		return 0
	}
	return len(p.Cells)
}

// Cell is one part of the fleet: who belongs in it, which endpoints serve it, and how much it takes. Limits are the
// whole fleet's; each balancer keeps its part, one by the number of siblings. Zero means no limit.
type Cell struct {
	Name     string
	Carriers []string
	Flights  []FlightRange
	// Endpoints that one of these names are the cell's; the rest of the fleet is assigned by share.
	Numbers []int
	Rooms   []string
	Kinds   []string
	IDs     []string
	Share   float64
	// MaxConnections bounds what is established or being set up, OpensPerSecond what comes new.
	MaxConnections    int
	MaxOpensPerSecond float64
	OverflowTo        string // when full, or with no endpoint in service; empty refuses
	MaxGuests         int    // the most connections that overflow from other cells into this one
}

// FlightRange is the flight keys from Low to High, both included.
type FlightRange struct{ Low, High uint64 }

// ParseFlightRange reads a flight key, or two with a dash between, in hexadecimal.
func ParseFlightRange(text string) (r FlightRange, err error) {
	low, high, two := strings.Cut(text, "-")
	if r.Low, err = strconv.ParseUint(low, 16, 64); err != nil {
		return r, fmt.Errorf("flight %q: want a hexadecimal key, or LOW-HIGH", text)
	}
	if r.High = r.Low; two {
		if r.High, err = strconv.ParseUint(high, 16, 64); err != nil || r.High < r.Low {
			return r, fmt.Errorf("flight %q: want LOW-HIGH in hexadecimal, the lower first", text)
		}
	}
	return r, nil
}

func (r FlightRange) contains(flight uint64) bool { return r.Low <= flight && flight <= r.High }

// HomeCell tells in which cell a carrier's flight belongs at a time.
func (p *Plan) HomeCell(now time.Duration, carrier string, flight uint64) string {
	home, _, _ := p.home(now, carrier, flight)
	return home
}

// home is where a plan has a carrier's flight at a time. In a move, other is the move's other cell, in which
// connections of the flight may still be established.
func (p *Plan) home(now time.Duration, carrier string, flight uint64) (home, other string, since time.Duration) {
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

// cellOfFlight is the cell that names a flight by its key.
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

// moveOf is the move of a carrier; nil if it has none.
func (p *Plan) moveOf(carrier string) *Move {
	for i := range p.Moves {
		if p.Moves[i].Carrier == carrier {
			return &p.Moves[i]
		}
	}
	return nil
}

// cellOfCarrier is the cell that names a carrier, else the default one.
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
