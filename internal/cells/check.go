package cells

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Problem is one error in a plan. Block, Label and Attribute locate it by the names used in the operator's file.
type Problem struct {
	Block, Label string // empty if the error concerns the plan itself
	Attribute    string // empty if the error concerns the whole block
	Reason       string
}

func (p Problem) Error() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", p.Block, p.Label, p.Attribute)) + ": " + p.Reason
}

// maxCells bounds the memory of a balancer, which holds a policy.Balancer for each cell.
const maxCells = 256

// maxFlightRanges bounds the time per request, as each is compared with all flight ranges.
const maxFlightRanges = 1024

// Bounds of single values.
const (
	maxAbsentRetention = 24 * time.Hour
	minMoveDuration    = time.Second
	maxMoveDuration    = 7 * 24 * time.Hour
	maxPerSecond       = 1e9
	maxNameLength      = 40
	shareTolerance     = 1e-9 // rounding error allowed when shares are summed
)

// Validate returns all errors in a plan.
func (p *Plan) Validate() (all []Problem) {
	if len(p.Cells) == 0 {
		if len(p.Moves) > 0 {
			all = append(all, Problem{"move", p.Moves[0].Carrier, "", "the plan has moves but no cells"})
		}
		return all
	}
	c := &validator{plan: p, cellsByName: map[string]*Cell{}, carriers: map[string]string{}, numbers: map[int]string{},
		rooms: map[string]string{}, kinds: map[string]string{}, ids: map[string]string{}}
	if len(p.Cells) > maxCells {
		c.report("", "", "", "too many cells: %d; at most %d", len(p.Cells), maxCells)
	}
	for i := range p.Cells {
		c.checkCell(&p.Cells[i])
	}
	c.checkPlan()
	for i := range p.Cells {
		c.checkOverflow(&p.Cells[i])
	}
	moved := map[string]bool{}
	for i := range p.Moves {
		c.checkMove(&p.Moves[i], moved)
	}
	return c.problems
}

// validator collects the errors of a plan, and what the cells checked so far have claimed.
type validator struct {
	plan        *Plan
	problems    []Problem
	cellsByName map[string]*Cell
	shares      float64
	// The name of the cell that claimed each:
	carriers, rooms, kinds, ids map[string]string
	numbers                     map[int]string
	flights                     []ownedRange
}

// ownedRange is a flight range and the name of the cell that lists it.
type ownedRange struct {
	FlightRange
	cell string
}

func (c *validator) report(block, label, attribute, format string, args ...any) {
	c.problems = append(c.problems, Problem{block, label, attribute, fmt.Sprintf(format, args...)})
}

// checkPlan checks the plan's own attributes and the totals over all cells; it runs after all calls of checkCell.
func (c *validator) checkPlan() {
	p := c.plan
	if len(c.flights) > maxFlightRanges {
		c.report("", "", "", "too many flight keys and ranges: %d; at most %d", len(c.flights), maxFlightRanges)
	}
	if p.Default == "" {
		c.report("", "", "default", "a default cell is required")
	} else if c.cellsByName[p.Default] == nil {
		c.report("", "", "default", "unknown cell %q", p.Default)
	}
	if !isShare(p.Slack) {
		c.report("", "", "slack", "must be between 0 and 1")
	}
	if p.AbsentRetention < 0 || p.AbsentRetention > maxAbsentRetention {
		c.report("", "", "keep", "must be a duration between 0s and 24h")
	}
	if c.shares > 1+shareTolerance {
		c.report("cell", p.Cells[len(p.Cells)-1].Name, "share", "the shares of all cells add up to %.4g, more than 1", c.shares)
	}
}

// checkMove checks one move; moved holds the carriers of the moves before it.
func (c *validator) checkMove(m *Move, moved map[string]bool) {
	report := func(attribute, format string, args ...any) { c.report("move", m.Carrier, attribute, format, args...) }
	if moved[m.Carrier] {
		report("", "duplicate move of this carrier")
	}
	moved[m.Carrier] = true
	home := cmp.Or(c.carriers[m.Carrier], c.plan.Default)
	switch {
	case c.cellsByName[m.From] == nil:
		report("from", "unknown cell %q", m.From)
	case home != m.From:
		report("from", "carrier %q is in cell %q", m.Carrier, home)
	}
	if c.cellsByName[m.To] == nil {
		report("to", "unknown cell %q", m.To)
	} else if m.To == m.From {
		report("to", "must not be the same cell as from")
	}
	if m.Duration < minMoveDuration || m.Duration > maxMoveDuration {
		report("span", "must be a duration between 1s and 168h")
	}
	if !isRate(m.MaxPerSecond) {
		report("pace", "must be greater than 0")
	}
	if m.ReturnStart != 0 && m.ReturnStart <= m.Start {
		report("back", "must be later than start")
	}
}

// isShare reports whether x is in the range of a share; it is false for NaN.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// isRate reports whether x is in the range of a rate; it is false for NaN.
func isRate(x float64) bool { return x >= 0 && x < maxPerSecond }
