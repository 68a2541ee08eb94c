package cells

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Problem is what is wrong with a plan: the block and attribute at fault, as the operator's file names them.
type Problem struct {
	Block, Label string // "" for the plan itself
	Attribute    string // "" for the whole block
	Reason       string
}

func (p Problem) Error() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", p.Block, p.Label, p.Attribute)) + ": " + p.Reason
}

// Bounds of a plan: each cell has a decision module of its own, in each balancer's memory; each request is compared
// with all ranges of flights.
const mostCells, mostFlights = 256, 1024

// Bounds of single figures.
const (
	mostKeep       = 24 * time.Hour
	leastSpan      = time.Second
	mostSpan       = 7 * 24 * time.Hour
	mostPerSecond  = 1e9
	mostNameLength = 40
	shareTolerance = 1e-9 // by which rounding may take the sum of all shares over 1
)

// Validate tells everything that is wrong with a plan.
func (p *Plan) Validate() (all []Problem) {
	if len(p.Cells) == 0 {
		if len(p.Moves) > 0 {
			all = append(all, Problem{"move", p.Moves[0].Carrier, "", "there are no cells"})
		}
		return all
	}
	c := &checker{plan: p, names: map[string]*Cell{}, carriers: map[string]string{}, numbers: map[int]string{},
		rooms: map[string]string{}, kinds: map[string]string{}, ids: map[string]string{}}
	if len(p.Cells) > mostCells {
		c.say("", "", "", "%d cells; at most %d", len(p.Cells), mostCells)
	}
	for i := range p.Cells {
		c.cell(&p.Cells[i])
	}
	c.whole()
	for i := range p.Cells {
		c.overflow(&p.Cells[i])
	}
	moved := map[string]bool{}
	for i := range p.Moves {
		c.move(&p.Moves[i], moved)
	}
	return c.all
}

// checker collects problems, and what is taken already by the cells that it has seen.
type checker struct {
	plan   *Plan
	all    []Problem
	names  map[string]*Cell
	shares float64
	// the cell that names each
	carriers, rooms, kinds, ids map[string]string
	numbers                     map[int]string
	flights                     []ownedRange
}

// ownedRange is a range of flights and the cell that names it.
type ownedRange struct {
	FlightRange
	cell string
}

func (c *checker) say(block, label, attribute, format string, args ...any) {
	c.all = append(c.all, Problem{block, label, attribute, fmt.Sprintf(format, args...)})
}

// whole checks what concerns the plan itself, once all cells have been seen.
func (c *checker) whole() {
	p := c.plan
	if len(c.flights) > mostFlights {
		c.say("", "", "", "%d keys or ranges of flights; at most %d", len(c.flights), mostFlights)
	}
	if p.Default == "" {
		c.say("", "", "default", "no default cell is named")
	} else if c.names[p.Default] == nil {
		c.say("", "", "default", "there is no cell %q", p.Default)
	}
	if !isShare(p.Slack) {
		c.say("", "", "slack", "want a figure from 0 to 1")
	}
	if p.AbsentRetention < 0 || p.AbsentRetention > mostKeep {
		c.say("", "", "keep", "want a span of 0s to 24h")
	}
	if c.shares > 1+shareTolerance {
		c.say("cell", p.Cells[len(p.Cells)-1].Name, "share", "the shares of all cells come to %.4g, over 1", c.shares)
	}
}

// move checks one move; moved has the carriers of those before it.
func (c *checker) move(m *Move, moved map[string]bool) {
	say := func(attribute, format string, args ...any) { c.say("move", m.Carrier, attribute, format, args...) }
	if moved[m.Carrier] {
		say("", "a second move of this carrier")
	}
	moved[m.Carrier] = true
	home := cmp.Or(c.carriers[m.Carrier], c.plan.Default)
	switch {
	case c.names[m.From] == nil:
		say("from", "there is no cell %q", m.From)
	case home != m.From:
		say("from", "carrier %q is in cell %q", m.Carrier, home)
	}
	if c.names[m.To] == nil {
		say("to", "there is no cell %q", m.To)
	} else if m.To == m.From {
		say("to", "from and to are the same cell")
	}
	if m.Duration < leastSpan || m.Duration > mostSpan {
		say("span", "want a span of 1 s to 168 h")
	}
	if !isRate(m.MaxPerSecond) {
		say("pace", "want a figure above 0")
	}
	if m.ReturnStart != 0 && m.ReturnStart <= m.Start {
		say("back", "it is not after the start")
	}
}

// isShare and isRate are false for what is not a number.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

func isRate(x float64) bool { return x >= 0 && x < mostPerSecond }
