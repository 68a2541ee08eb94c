// Package operator reads the operator's own file, in which everything is set that the platform's configuration does
// not know. It owns the file's form (HCL) and promises that a file is taken whole or not at all: whatever is wrong in
// it is told with file, line, column and reason, every error and not only the first.
package operator

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"tealtiller/internal/cells"
	"tealtiller/internal/failover"
	"tealtiller/internal/placement"
)

// File is what an operator's file says.
type File struct {
	Cells     *cells.Plan // nil: no cells
	Placement Placement
	Failover  *failover.Settings // nil: off
}

// Placement is where a plan is read and what a balancer sees is recorded.
type Placement struct {
	Plan    *placement.Plan // nil: no plan
	Path    string          // of the plan
	Record  string          // path of the record file; empty: none is written
	Every   time.Duration   // from one record to the next
	Largest int64           // bytes of a record file, from where on it is begun anew
}

// Error is all that is wrong with a file, one place a line.
type Error []string

func (e Error) Error() string {
	if len(e) == 1 {
		return e[0]
	}
	return fmt.Sprintf("%s (and %d more errors)", e[0], len(e)-1)
}

type document struct {
	Cells     *cellsBlock     `hcl:"cells,block"`
	Placement *placementBlock `hcl:"placement,block"`
	Failover  *failoverBlock  `hcl:"failover,block"`
}

// failoverBlock turns zone shares on; every figure may be left out for its default (docs/failover.md).
type failoverBlock struct {
	Warm     string   `hcl:"warm,optional"`
	ColdFrom *float64 `hcl:"cold_from,optional"`
	Span     string   `hcl:"span,optional"`
	Least    *float64 `hcl:"least,optional"`
	Enter    *float64 `hcl:"enter,optional"`
	Leave    *float64 `hcl:"leave,optional"`
	Swing    *float64 `hcl:"swing,optional"`
}

type placementBlock struct {
	Plan      string `hcl:"plan,optional"`
	Record    string `hcl:"record,optional"`
	Every     string `hcl:"record_every,optional"`
	LargestMB *int   `hcl:"record_largest_mb,optional"`
}

type cellsBlock struct {
	Default string      `hcl:"default"`
	Slack   *float64    `hcl:"slack,optional"`
	Keep    *string     `hcl:"keep,optional"`
	Cells   []cellBlock `hcl:"cell,block"`
	Moves   []moveBlock `hcl:"move,block"`
}

type cellBlock struct {
	Name           string   `hcl:"name,label"`
	Carriers       []string `hcl:"carriers,optional"`
	Flights        []string `hcl:"flights,optional"`
	Numbers        []int    `hcl:"numbers,optional"`
	Rooms          []string `hcl:"rooms,optional"`
	Kinds          []string `hcl:"kinds,optional"`
	IDs            []string `hcl:"ids,optional"`
	Share          float64  `hcl:"share,optional"`
	Connections    *int     `hcl:"connections,optional"`
	OpensPerSecond *float64 `hcl:"opens_per_second,optional"`
	OverflowTo     string   `hcl:"overflow_to,optional"`
	Guests         int      `hcl:"guests,optional"`
}

type moveBlock struct {
	Carrier string   `hcl:"carrier,label"`
	From    string   `hcl:"from"`
	To      string   `hcl:"to"`
	Start   string   `hcl:"start"`
	Span    string   `hcl:"span"`
	Pace    *float64 `hcl:"pace,optional"`
	Back    string   `hcl:"back,optional"`
}

// mostBytes bounds a file. Danger: one that is no operator's file at all could fill the memory.
const mostBytes = 1 << 20

// Load reads and checks a file.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if info.Size() > mostBytes {
		return nil, fmt.Errorf("operator's file: %s holds %d bytes; at most %d", path, info.Size(), mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(text, path)
}

// Parse reads and checks the text of a file; name is what errors call it. An error is an Error.
func Parse(text []byte, name string) (*File, error) {
	r := &reader{}
	parsed, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r.diagnose(diags)
	if parsed == nil || diags.HasErrors() {
		return nil, r.error(name)
	}
	var doc document
	r.diagnose(gohcl.DecodeBody(parsed.Body, nil, &doc))
	out := &File{}
	if doc.Cells != nil && len(r.errors) == 0 {
		body, _ := parsed.Body.(*hclsyntax.Body)
		r.places = index(body, "cells")
		out.Cells = r.plan(doc.Cells)
	}
	if doc.Placement != nil && len(r.errors) == 0 {
		body, _ := parsed.Body.(*hclsyntax.Body)
		r.places = index(body, "placement")
		r.placement(doc.Placement, filepath.Dir(name), &out.Placement)
	}
	if doc.Failover != nil && len(r.errors) == 0 {
		body, _ := parsed.Body.(*hclsyntax.Body)
		r.places = index(body, "failover")
		out.Failover = r.failover(doc.Failover)
	}
	if err := r.error(name); err != nil {
		return nil, err
	}
	if given := out.Placement.Plan; given != nil && out.Cells != nil {
		out.Cells.Given = given.Cell
	}
	return out, nil
}

// placement reads the plan that the file names, by a path from the file's own folder. A plan that makes no sense is
// refused with the file, or a balancer would go on without what its operator thinks is in force.
func (r *reader) placement(b *placementBlock, folder string, out *Placement) {
	*out = Placement{Record: b.Record, Every: usualEvery, Largest: usualLargest << 20}
	if b.Every != "" {
		every, err := time.ParseDuration(b.Every)
		if err != nil || every < 100*time.Millisecond || every > time.Hour {
			r.fail("", "", "record_every", "want a span of 100ms to 1h")
		}
		out.Every = every
	}
	if b.LargestMB != nil {
		if out.Largest = int64(*b.LargestMB) << 20; *b.LargestMB < 1 || *b.LargestMB > 1<<20 {
			r.fail("", "", "record_largest_mb", "want a figure from 1 on")
		}
	}
	if out.Record != "" && !filepath.IsAbs(out.Record) {
		out.Record = filepath.Join(folder, out.Record)
	}
	if b.Plan == "" {
		return
	}
	if out.Path = b.Plan; !filepath.IsAbs(out.Path) {
		out.Path = filepath.Join(folder, out.Path)
	}
	text, err := os.ReadFile(out.Path)
	if err == nil && len(text) > mostPlan {
		err = fmt.Errorf("it holds %d bytes; at most %d", len(text), mostPlan)
	}
	if err == nil {
		out.Plan, err = placement.ParsePlan(text)
	}
	if err != nil {
		r.fail("", "", "plan", "%s: %v", b.Plan, err)
	}
}

func (r *reader) failover(b *failoverBlock) *failover.Settings {
	set := failover.Defaults
	span := func(attribute, text string, into *time.Duration) {
		if text == "" {
			return
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < 100*time.Millisecond || d > 10*time.Minute {
			r.fail("", "", attribute, "want a span of 100ms to 10m")
		}
		*into = d
	}
	part := func(attribute string, v *float64, low float64, into *float64) {
		if v == nil {
			return
		}
		if *into = *v; *v < low || *v > 1 {
			r.fail("", "", attribute, "want a figure from %g to 1", low)
		}
	}
	span("warm", b.Warm, &set.Warm)
	span("span", b.Span, &set.Span)
	part("cold_from", b.ColdFrom, 0, &set.ColdFrom)
	part("enter", b.Enter, 0.01, &set.Enter)
	part("leave", b.Leave, 0, &set.Leave)
	part("swing", b.Swing, 0.01, &set.Swing)
	if b.Least != nil {
		if set.Least = *b.Least; *b.Least < 1 || *b.Least > 1000 {
			r.fail("", "", "least", "want a figure from 1 to 1000")
		}
	}
	if set.Leave >= set.Enter {
		r.fail("", "", "leave", "want less than enter (%g), or a zone would flap", set.Enter)
	}
	return &set
}

// mostPlan bounds a plan file: 1,000 hosts in two rooms and 20,000 flights take 1.5 MB.
const mostPlan, usualEvery, usualLargest = 8 << 20, 5 * time.Second, 64

// reader gathers errors and the places at which blocks and attributes stand.
type reader struct {
	errors []fault
	places map[place][]hcl.Range
}

type fault struct {
	at   hcl.Range
	text string
}

// place is a block, by its kind and label, and an attribute in it; empty for the block itself.
type place struct{ block, label, attribute string }

func (r *reader) diagnose(diags hcl.Diagnostics) {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		f := fault{text: d.Summary + ": " + d.Detail}
		if d.Subject != nil {
			f.at = *d.Subject
		}
		r.errors = append(r.errors, f)
	}
}

func (r *reader) error(name string) error {
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b fault) int {
		return cmp.Or(cmp.Compare(a.at.Start.Line, b.at.Start.Line), cmp.Compare(a.at.Start.Column, b.at.Start.Column))
	})
	var out Error
	for _, f := range r.errors {
		out = append(out, fmt.Sprintf("%s:%d:%d: %s", name, f.at.Start.Line, f.at.Start.Column, f.text))
	}
	return out
}

// index finds the blocks within a block, and what stands in them.
func index(body *hclsyntax.Body, block string) map[place][]hcl.Range {
	out := map[place][]hcl.Range{}
	if body == nil {
		return out
	}
	add := func(block, label string, b *hclsyntax.Block) {
		out[place{block, label, ""}] = append(out[place{block, label, ""}], b.DefRange())
		for name, a := range b.Body.Attributes {
			out[place{block, label, name}] = append(out[place{block, label, name}], a.Expr.Range())
		}
	}
	for _, b := range body.Blocks {
		if b.Type != block {
			continue
		}
		add("", "", b)
		for _, inner := range b.Body.Blocks {
			if len(inner.Labels) == 1 {
				add(inner.Type, inner.Labels[0], inner)
			}
		}
	}
	return out
}

// fail notes what is wrong at a place. Of blocks with one label it is the last one that is at fault.
func (r *reader) fail(block, label, attribute, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if label != "" {
		text = fmt.Sprintf("%s %q: %s", block, label, text)
	}
	for _, p := range []place{{block, label, attribute}, {block, label, ""}, {}} {
		if at := r.places[p]; len(at) > 0 {
			r.errors = append(r.errors, fault{at[len(at)-1], text})
			return
		}
	}
	r.errors = append(r.errors, fault{text: text})
}

func (r *reader) plan(b *cellsBlock) *cells.Plan {
	p := &cells.Plan{Default: b.Default, Slack: usualSlack, Keep: usualKeep}
	if b.Slack != nil {
		p.Slack = *b.Slack
	}
	if b.Keep != nil {
		keep, err := time.ParseDuration(*b.Keep)
		if err != nil {
			r.fail("", "", "keep", "want a span of time such as 60s")
		}
		p.Keep = keep
	}
	for _, c := range b.Cells {
		out := cells.Cell{Name: c.Name, Carriers: c.Carriers, Numbers: c.Numbers, Rooms: c.Rooms, Kinds: c.Kinds,
			IDs: c.IDs, Share: c.Share, OverflowTo: c.OverflowTo, Guests: c.Guests}
		for _, text := range c.Flights {
			flights, err := cells.ParseRange(text)
			if err != nil {
				r.fail("cell", c.Name, "flights", "%v", err)
			}
			out.Flights = append(out.Flights, flights)
		}
		if c.Connections != nil {
			if out.Connections = *c.Connections; out.Connections == 0 {
				r.fail("cell", c.Name, "connections", "want a figure above 0; leave it out for no limit")
			}
		}
		if c.OpensPerSecond != nil {
			if out.OpensPerSecond = *c.OpensPerSecond; out.OpensPerSecond == 0 {
				r.fail("cell", c.Name, "opens_per_second", "want a figure above 0; leave it out for no limit")
			}
		}
		p.Cells = append(p.Cells, out)
	}
	for _, m := range b.Moves {
		out := cells.Move{Carrier: m.Carrier, From: m.From, To: m.To}
		out.Start = r.moment(m.Carrier, "start", m.Start)
		if m.Back != "" {
			out.Back = r.moment(m.Carrier, "back", m.Back)
		}
		span, err := time.ParseDuration(m.Span)
		if err != nil {
			r.fail("move", m.Carrier, "span", "want a span of time such as 90s or 10m")
			span = time.Second // told once
		}
		out.Span = span
		if m.Pace != nil {
			if out.Pace = *m.Pace; out.Pace == 0 {
				r.fail("move", m.Carrier, "pace", "want a figure above 0; leave it out for no limit")
			}
		}
		p.Moves = append(p.Moves, out)
	}
	for _, problem := range p.Check() {
		r.fail(problem.Block, problem.Label, problem.Attribute, "%s", problem.Reason)
	}
	return p
}

// What holds where the file tells nothing.
const usualSlack, usualKeep = 0.1, time.Minute

// moment reads a time of day such as 2026-12-01T15:00:00Z as Unix time.
func (r *reader) moment(carrier, attribute, text string) time.Duration {
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || at.Unix() <= 0 || at.Year() > 2200 {
		r.fail("move", carrier, attribute, "want a moment such as 2026-12-01T15:00:00Z")
		return time.Second
	}
	return time.Duration(at.UnixNano())
}
