package placement

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Problem is what is wrong with a file, and where.
type Problem struct {
	Line, Column int
	Reason       string
}

func (p Problem) Error() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Reason) }

// decode reads a JSON document that must have no field that is not known and nothing after it.
func decode(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, more := d.Token(); more == nil {
			err = errors.New("something after the end")
		}
	}
	if err == nil {
		return nil
	}
	at := d.InputOffset()
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	}
	p := location(text, at)
	p.Reason = err.Error()
	return p
}

// location is the line and column of an offset.
func location(text []byte, at int64) Problem {
	before := text[:min(max(at, 0), int64(len(text)))]
	return Problem{Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n')}
}

// ParseFleet reads a fleet. An error tells line, column and reason.
func ParseFleet(text []byte) (*Fleet, error) {
	f := &Fleet{Prices: DefaultPrices()}
	if err := decode(text, f); err != nil {
		return nil, err
	}
	if all := f.Check(); len(all) > 0 {
		return nil, errors.Join(all...)
	}
	return f, nil
}

// Bounds of what a plan file may tell, beside those of a fleet.
const (
	mostYear   = 2200
	mostSpan   = Span(365 * 24 * time.Hour)
	mostWeight = 1e9
	mostDemand = 1e18
)

// ParsePlan reads a plan, whole or not at all. An error tells line, column and reason.
func ParsePlan(text []byte) (*Plan, error) {
	p := &Plan{}
	if err := decode(text, p); err != nil {
		return nil, err
	}
	c := &planChecker{Plan: p, text: text}
	for _, check := range []func() error{c.head, c.hosts, c.weights, c.demand} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	if bad, ok := p.index(); !ok {
		return nil, c.fail(bad, "flight %q: want a key in hexadecimal", bad)
	}
	return p, nil
}

// planChecker tells the first thing that makes no sense in a plan, and where in its text.
type planChecker struct {
	*Plan
	text  []byte
	known map[string]bool // hosts that the plan describes
}

// fail is an error at the first place at which the text has a name.
func (c *planChecker) fail(name, format string, args ...any) error {
	at := location(c.text, int64(max(bytes.Index(c.text, []byte(strconv.Quote(name))), 0)))
	at.Reason = fmt.Sprintf(format, args...)
	return at
}

func (c *planChecker) head() error {
	switch p := c.Plan; {
	case p.Version != PlanVersion:
		return c.fail("version", "a plan of version %d; this program reads version %d", p.Version, PlanVersion)
	case p.Created.Unix() <= 0 || p.Created.Year() > mostYear:
		return c.fail("born", "born %v", p.Created)
	case p.Holds < 0 || p.Fades < 0 || p.Holds > mostSpan || p.Fades > mostSpan:
		return c.fail("holds", "holds %v, fades %v; want spans of at most a year", time.Duration(p.Holds), time.Duration(p.Fades))
	case len(p.Hosts) > mostHosts || len(p.Flights) > mostFlights:
		return c.fail("hosts", "%d hosts, %d flights; at most %d and %d", len(p.Hosts), len(p.Flights), mostHosts, mostFlights)
	}
	return nil
}

func (c *planChecker) hosts() error {
	c.known = map[string]bool{}
	for _, h := range c.Hosts {
		if h.ID == "" || c.known[h.ID] || !isFigure(h.Serves) {
			return c.fail(h.ID, "host %q: told twice, without a name, or serves %v", h.ID, h.Serves)
		}
		c.known[h.ID] = true
	}
	return nil
}

func (c *planChecker) weights() error {
	for room, weights := range c.RoomWeights {
		for id, w := range weights {
			if !c.known[id] || !(w > 0 && w <= mostWeight) {
				return c.fail(id, "room %q, host %q: weight %v, or a host that the plan does not describe", room, id, w)
			}
		}
	}
	return nil
}

func (c *planChecker) demand() error {
	for room, d := range c.Demand {
		if !(d >= 0 && d <= mostDemand) {
			return c.fail(room, "demand of room %q: %v", room, d)
		}
	}
	return nil
}
