package operator

import (
	"time"

	"tealtiller/internal/cells"
)

// Defaults of optional attributes.
const (
	defaultSlack           = 0.1
	defaultAbsentRetention = time.Minute
)

// maxYear is the last year allowed in a time.
const maxYear = 2200

// readCells converts the cells and moves to a plan, and adds the errors that the plan's validation finds.
func (r *reader) readCells(b *cellsBlock) *cells.Plan {
	p := &cells.Plan{Default: b.Default, Slack: defaultSlack, AbsentRetention: defaultAbsentRetention}
	if b.Slack != nil {
		p.Slack = *b.Slack
	}
	if b.Keep != nil {
		keep, err := time.ParseDuration(*b.Keep)
		if err != nil {
			r.addError("", "", "keep", "must be a duration such as 60s")
		}
		p.AbsentRetention = keep
	}
	for _, c := range b.Cells {
		p.Cells = append(p.Cells, r.readCell(c))
	}
	for _, m := range b.Moves {
		p.Moves = append(p.Moves, r.readMove(m))
	}
	for _, problem := range p.Validate() {
		r.addError(problem.Block, problem.Label, problem.Attribute, "%s", problem.Reason)
	}
	return p
}

func (r *reader) readCell(c cellBlock) cells.Cell {
	out := cells.Cell{Name: c.Name, Carriers: c.Carriers, Numbers: c.Numbers, Rooms: c.Rooms, Kinds: c.Kinds,
		IDs: c.IDs, Share: c.Share, OverflowTo: c.OverflowTo, MaxGuests: c.Guests}
	for _, text := range c.Flights {
		flights, err := cells.ParseFlightRange(text)
		if err != nil {
			r.addError("cell", c.Name, "flights", "%v", err)
		}
		out.Flights = append(out.Flights, flights)
	}
	out.MaxConnections = readLimit(r, "cell", c.Name, "connections", c.Connections)
	out.MaxOpensPerSecond = readLimit(r, "cell", c.Name, "opens_per_second", c.OpensPerSecond)
	return out
}

func (r *reader) readMove(m moveBlock) cells.Move {
	out := cells.Move{Carrier: m.Carrier, From: m.From, To: m.To}
	out.Start = r.parseTime(m.Carrier, "start", m.Start)
	if m.Back != "" {
		out.ReturnStart = r.parseTime(m.Carrier, "back", m.Back)
	}
	span, err := time.ParseDuration(m.Span)
	if err != nil {
		r.addError("move", m.Carrier, "span", "must be a duration such as 90s or 10m")
		span = time.Second // a valid value, so that the plan's validation does not report span again
	}
	out.Duration = span
	out.MaxPerSecond = readLimit(r, "move", m.Carrier, "pace", m.Pace)
	return out
}

// readLimit returns the value of an optional limit, or 0 for no limit. An explicit 0 is an error, as it would turn the
// limit off.
func readLimit[T int | float64](r *reader, block, label, attribute string, v *T) T {
	if v == nil {
		return 0
	}
	if *v == 0 {
		r.addError(block, label, attribute, "must be greater than 0; omit it for no limit")
	}
	return *v
}

// parseTime parses an RFC 3339 time and returns it as Unix time.
func (r *reader) parseTime(carrier, attribute, text string) time.Duration {
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || at.Unix() <= 0 || at.Year() > maxYear {
		r.addError("move", carrier, attribute, "must be a time such as 2026-12-01T15:00:00Z")
		return time.Second
	}
	return time.Duration(at.UnixNano())
}
