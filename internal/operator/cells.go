package operator

import (
	"time"

	"tealtiller/internal/cells"
)

// What holds where the file tells nothing.
const usualSlack, usualKeep = 0.1, time.Minute

// mostYear is the last year that a moment in the file may be in.
const mostYear = 2200

// plan reads the cells and their moves, and has them checked as a whole.
func (r *reader) plan(b *cellsBlock) *cells.Plan {
	p := &cells.Plan{Default: b.Default, Slack: usualSlack, AbsentRetention: usualKeep}
	if b.Slack != nil {
		p.Slack = *b.Slack
	}
	if b.Keep != nil {
		keep, err := time.ParseDuration(*b.Keep)
		if err != nil {
			r.fail("", "", "keep", "want a span of time such as 60s")
		}
		p.AbsentRetention = keep
	}
	for _, c := range b.Cells {
		p.Cells = append(p.Cells, r.cell(c))
	}
	for _, m := range b.Moves {
		p.Moves = append(p.Moves, r.move(m))
	}
	for _, problem := range p.Validate() {
		r.fail(problem.Block, problem.Label, problem.Attribute, "%s", problem.Reason)
	}
	return p
}

func (r *reader) cell(c cellBlock) cells.Cell {
	out := cells.Cell{Name: c.Name, Carriers: c.Carriers, Numbers: c.Numbers, Rooms: c.Rooms, Kinds: c.Kinds,
		IDs: c.IDs, Share: c.Share, OverflowTo: c.OverflowTo, MaxGuests: c.Guests}
	for _, text := range c.Flights {
		flights, err := cells.ParseFlightRange(text)
		if err != nil {
			r.fail("cell", c.Name, "flights", "%v", err)
		}
		out.Flights = append(out.Flights, flights)
	}
	out.MaxConnections = limit(r, "cell", c.Name, "connections", c.Connections)
	out.MaxOpensPerSecond = limit(r, "cell", c.Name, "opens_per_second", c.OpensPerSecond)
	return out
}

func (r *reader) move(m moveBlock) cells.Move {
	out := cells.Move{Carrier: m.Carrier, From: m.From, To: m.To}
	out.Start = r.moment(m.Carrier, "start", m.Start)
	if m.Back != "" {
		out.ReturnStart = r.moment(m.Carrier, "back", m.Back)
	}
	span, err := time.ParseDuration(m.Span)
	if err != nil {
		r.fail("move", m.Carrier, "span", "want a span of time such as 90s or 10m")
		span = time.Second // told once
	}
	out.Duration = span
	out.MaxPerSecond = limit(r, "move", m.Carrier, "pace", m.Pace)
	return out
}

// limit reads a limit that may be left out, which is 0. Danger: one that the file sets to 0 would be none at all.
func limit[T int | float64](r *reader, block, label, attribute string, v *T) T {
	if v == nil {
		return 0
	}
	if *v == 0 {
		r.fail(block, label, attribute, "want a figure above 0; leave it out for no limit")
	}
	return *v
}

// moment reads a time of day such as 2026-12-01T15:00:00Z as Unix time.
func (r *reader) moment(carrier, attribute, text string) time.Duration {
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || at.Unix() <= 0 || at.Year() > mostYear {
		r.fail("move", carrier, attribute, "want a moment such as 2026-12-01T15:00:00Z")
		return time.Second
	}
	return time.Duration(at.UnixNano())
}
