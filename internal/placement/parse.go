package placement

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// ParseError is an error in a file, and its position.
type ParseError struct {
	Line, Column int
	Reason       string
}

func (p ParseError) Error() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Reason) }

// decode reads a JSON document. Unknown fields and data after the document are errors.
func decode(document []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, more := d.Token(); more == nil {
			err = errors.New("data after the end of the document")
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
	p := location(document, at)
	p.Reason = err.Error()
	return p
}

// location is the line and column of an offset.
func location(text []byte, at int64) ParseError {
	before := text[:min(max(at, 0), int64(len(text)))]
	return ParseError{Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n')}
}

// ParseFleet reads and checks a fleet. A syntax error states line, column and reason.
func ParseFleet(text []byte) (*Fleet, error) {
	f := &Fleet{Prices: DefaultPrices()}
	if err := decode(text, f); err != nil {
		return nil, err
	}
	if problems := f.Check(); len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return f, nil
}

// Limits on the values in a plan file, besides those of a fleet.
const (
	maxYear     = 2200
	maxDuration = Duration(365 * 24 * time.Hour)
	maxWeight   = 1e9
	maxDemand   = 1e18
)

// ParsePlan reads and checks a plan. Errors state line, column and reason.
func ParsePlan(text []byte) (*Plan, error) {
	p := &Plan{}
	if err := decode(text, p); err != nil {
		return nil, err
	}
	c := &planChecker{Plan: p, text: text}
	for _, check := range []func() error{c.checkHeader, c.checkHosts, c.checkWeights, c.checkDemand} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	if badKey, ok := p.indexFlights(); !ok {
		return nil, c.errorAt(badKey, "flight %q: want a hexadecimal key", badKey)
	}
	return p, nil
}

// planChecker finds the first error in a plan, and its position in the text.
type planChecker struct {
	*Plan
	text  []byte
	known map[string]bool // hosts that the plan describes
}

// errorAt returns an error at the first position at which the text has a name.
func (c *planChecker) errorAt(name, format string, args ...any) error {
	at := location(c.text, int64(max(bytes.Index(c.text, []byte(strconv.Quote(name))), 0)))
	at.Reason = fmt.Sprintf(format, args...)
	return at
}

func (c *planChecker) checkHeader() error {
	switch p := c.Plan; {
	case p.Version != PlanVersion:
		return c.errorAt("version", "a plan of version %d; this program reads version %d", p.Version, PlanVersion)
	case p.Created.Unix() <= 0 || p.Created.Year() > maxYear:
		return c.errorAt("born", "born %v: want a time after 1970 and up to the year 2200", p.Created)
	case p.HoldTime < 0 || p.FadeTime < 0 || p.HoldTime > maxDuration || p.FadeTime > maxDuration:
		return c.errorAt("holds", "holds %v, fades %v; want durations from 0 to a year",
			time.Duration(p.HoldTime), time.Duration(p.FadeTime))
	case len(p.Hosts) > maxHosts || len(p.Flights) > maxFlights:
		return c.errorAt("hosts", "%d hosts, %d flights; want at most %d and %d", len(p.Hosts), len(p.Flights), maxHosts, maxFlights)
	}
	return nil
}

func (c *planChecker) checkHosts() error {
	c.known = map[string]bool{}
	for _, h := range c.Hosts {
		if h.ID == "" || c.known[h.ID] || !isQuantity(h.UsableCapacity) {
			return c.errorAt(h.ID, "host %q: no id, listed twice, or an invalid capacity: serves %v", h.ID, h.UsableCapacity)
		}
		c.known[h.ID] = true
	}
	return nil
}

func (c *planChecker) checkWeights() error {
	for room, weights := range c.RoomWeights {
		for id, w := range weights {
			if !c.known[id] || !(w > 0 && w <= maxWeight) {
				return c.errorAt(id, "room %q, host %q: weight %v is invalid, or the plan does not describe the host", room, id, w)
			}
		}
	}
	return nil
}

func (c *planChecker) checkDemand() error {
	for room, d := range c.Demand {
		if !(d >= 0 && d <= maxDemand) {
			return c.errorAt(room, "demand of room %q: %v; want a number from 0 to 1e18", room, d)
		}
	}
	return nil
}
