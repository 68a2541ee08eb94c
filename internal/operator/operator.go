// Package operator reads the operator's own file, in which everything is set that the platform's configuration does
// not know. It owns the file's form (HCL) and promises that a file is taken whole or not at all: whatever is wrong in
// it is told with file, line, column and reason, every error and not only the first.
package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
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
	Plan           *placement.Plan // nil: no plan
	PlanPath       string          // of the plan
	RecordPath     string          // path of the record file; empty: none is written
	RecordInterval time.Duration   // from one record to the next
	MaxRecordBytes int64           // bytes of a record file, from where on it is begun anew
}

// ErrorList is all that is wrong with a file, one place a line.
type ErrorList []string

func (e ErrorList) Error() string {
	if len(e) == 1 {
		return e[0]
	}
	return fmt.Sprintf("%s (and %d more errors)", e[0], len(e)-1)
}

// mostBytes bounds a file. Danger: one that is no operator's file at all could fill the memory.
const mostBytes = 1 << 20

// errCutShort refuses a file of no bytes. Danger: that is what a write leaves that a full disk has stopped, and to take it
// would turn off all that is in force. A file that means to turn all off holds a comment.
var errCutShort = errors.New("empty: cut short, or without a comment")

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
	if len(text) == 0 && info.Mode().IsRegular() {
		return nil, fmt.Errorf("operator's file: %s is %w", path, errCutShort)
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
	body, _ := parsed.Body.(*hclsyntax.Body)
	out := r.file(&doc, body, filepath.Dir(name))
	if err := r.error(name); err != nil {
		return nil, err
	}
	return out, nil
}

// file reads the blocks one after the other, as long as none has an error.
func (r *reader) file(doc *document, body *hclsyntax.Body, folder string) *File {
	out := &File{}
	if doc.Cells != nil && r.begin(body, "cells") {
		out.Cells = r.plan(doc.Cells)
	}
	if doc.Placement != nil && r.begin(body, "placement") {
		r.placement(doc.Placement, folder, &out.Placement)
	}
	if doc.Failover != nil && r.begin(body, "failover") {
		out.Failover = r.failover(doc.Failover)
	}
	if given := out.Placement.Plan; given != nil && out.Cells != nil {
		out.Cells.PlacementCell = given.Cell
	}
	return out
}

// begin turns to a block, and tells whether there was no error before it.
func (r *reader) begin(body *hclsyntax.Body, block string) bool {
	if len(r.errors) > 0 {
		return false
	}
	r.places = index(body, block)
	return true
}
