package operator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// reader collects the errors of a file. ranges has the positions of the blocks and attributes in the current block.
type reader struct {
	problems []problem
	ranges   map[location][]hcl.Range
}

// problem is one error and its position.
type problem struct {
	position hcl.Range
	text     string
}

// location identifies an attribute by the type and label of its block, or the block itself if attribute is empty.
type location struct{ block, label, attribute string }

// addDiagnostics adds the errors found by the HCL parser.
func (r *reader) addDiagnostics(diags hcl.Diagnostics) {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		p := problem{text: d.Summary + ": " + d.Detail}
		if d.Subject != nil {
			p.position = *d.Subject
		}
		r.problems = append(r.problems, p)
	}
}

// err returns all errors as an ErrorList in the order of their positions, or nil if there are none.
func (r *reader) err(name string) error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b problem) int {
		return cmp.Or(cmp.Compare(a.position.Start.Line, b.position.Start.Line), cmp.Compare(a.position.Start.Column, b.position.Start.Column))
	})
	var list ErrorList
	for _, p := range r.problems {
		list = append(list, fmt.Sprintf("%s:%d:%d: %s", name, p.position.Start.Line, p.position.Start.Column, p.text))
	}
	return list
}

// indexRanges returns the positions of a block, of the blocks in it and of their attributes. Blocks of the same type
// and label share a location.
func indexRanges(body *hclsyntax.Body, block string) map[location][]hcl.Range {
	ranges := map[location][]hcl.Range{}
	if body == nil {
		return ranges
	}
	add := func(block, label string, b *hclsyntax.Block) {
		ranges[location{block, label, ""}] = append(ranges[location{block, label, ""}], b.DefRange())
		for name, a := range b.Body.Attributes {
			ranges[location{block, label, name}] = append(ranges[location{block, label, name}], a.Expr.Range())
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
	return ranges
}

// addError adds an error at a location, or at the enclosing block if the location has no position. Of several blocks
// with the same label, the last one gets the error.
func (r *reader) addError(block, label, attribute, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if label != "" {
		text = fmt.Sprintf("%s %q: %s", block, label, text)
	}
	for _, l := range []location{{block, label, attribute}, {block, label, ""}, {}} {
		if ranges := r.ranges[l]; len(ranges) > 0 {
			r.problems = append(r.problems, problem{ranges[len(ranges)-1], text})
			return
		}
	}
	r.problems = append(r.problems, problem{text: text})
}

// parseDuration parses a duration from low to high; bounds is how the error message names that range.
func (r *reader) parseDuration(attribute, text string, low, high time.Duration, bounds string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		r.addError("", "", attribute, "must be a duration from %s", bounds)
	}
	return d
}
