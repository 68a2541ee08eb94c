package operator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// reader collects errors and the places of blocks and attributes.
type reader struct {
	errors []fault
	places map[place][]hcl.Range
}

// fault is one error and where it is.
type fault struct {
	at   hcl.Range
	text string
}

// place is where something is wrong: a block, by its kind and label, and an attribute in it; empty for the block itself.
type place struct{ block, label, attribute string }

// diagnose takes the errors that the HCL parser found.
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

// error is all that was found, in the order of the file; nil where nothing was.
func (r *reader) error(name string) error {
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b fault) int {
		return cmp.Or(cmp.Compare(a.at.Start.Line, b.at.Start.Line), cmp.Compare(a.at.Start.Column, b.at.Start.Column))
	})
	var out ErrorList
	for _, f := range r.errors {
		out = append(out, fmt.Sprintf("%s:%d:%d: %s", name, f.at.Start.Line, f.at.Start.Column, f.text))
	}
	return out
}

// index finds the places of the blocks within a block, and of their attributes.
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

// span reads a span of time within bounds; want is what an error says of them.
func (r *reader) span(attribute, text string, least, most time.Duration, want string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		r.fail("", "", attribute, "want a span of %s", want)
	}
	return d
}
