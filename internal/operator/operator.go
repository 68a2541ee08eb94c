// Package operator reads the operator's own file, an HCL file with all settings that are not part of the platform's
// configuration. A file is either accepted completely or rejected: all errors in it are reported, not only the first,
// each with file, line, column and reason.
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

// File is the content of an operator's file.
type File struct {
	Cells     *cells.Plan // nil: no cells
	Placement Placement
	Failover  *failover.Settings // nil: off
}

// Placement configures the placement plan, and the file in which a balancer records its connections and hosts.
type Placement struct {
	Plan           *placement.Plan // nil: no plan
	PlanPath       string
	RecordPath     string        // empty: no records are written
	RecordInterval time.Duration // time between two records
	MaxRecordBytes int64         // size at which a new record file is started
}

// ErrorList is all errors in a file, each with its position.
type ErrorList []string

func (e ErrorList) Error() string {
	if len(e) == 1 {
		return e[0]
	}
	return fmt.Sprintf("%s (and %d more errors)", e[0], len(e)-1)
}

// maxFileBytes bounds the size of a file. Without the limit, loading a wrong file could exhaust the memory.
const maxFileBytes = 1 << 20

// errEmptyFile is returned for a file of 0 bytes. A write that fails on a full disk leaves such a file; accepting it
// would turn off everything that is configured. A file that is meant to turn everything off must contain a comment.
var errEmptyFile = errors.New("empty; the file may be truncated (to turn everything off, write a comment)")

// Load reads and checks a file. An error in the content is an ErrorList.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("operator's file: %s is too large: %d bytes; at most %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if len(text) == 0 && info.Mode().IsRegular() {
		return nil, fmt.Errorf("operator's file: %s is %w", path, errEmptyFile)
	}
	return Parse(text, path)
}

// Parse parses and checks the text of a file. name is the file name in errors, and relative paths in the text are
// relative to its folder. An error is an ErrorList.
func Parse(text []byte, name string) (*File, error) {
	r := &reader{}
	parsed, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r.addDiagnostics(diags)
	if parsed == nil || diags.HasErrors() {
		return nil, r.err(name)
	}
	var blocks fileBody
	r.addDiagnostics(gohcl.DecodeBody(parsed.Body, nil, &blocks))
	body, _ := parsed.Body.(*hclsyntax.Body)
	file := r.readBlocks(&blocks, body, filepath.Dir(name))
	if err := r.err(name); err != nil {
		return nil, err
	}
	return file, nil
}

// readBlocks converts the blocks one after the other, and stops after one with an error.
func (r *reader) readBlocks(blocks *fileBody, body *hclsyntax.Body, folder string) *File {
	file := &File{}
	if blocks.Cells != nil && r.beginBlock(body, "cells") {
		file.Cells = r.readCells(blocks.Cells)
	}
	if blocks.Placement != nil && r.beginBlock(body, "placement") {
		r.readPlacement(blocks.Placement, folder, &file.Placement)
	}
	if blocks.Failover != nil && r.beginBlock(body, "failover") {
		file.Failover = r.readFailover(blocks.Failover)
	}
	if plan := file.Placement.Plan; plan != nil && file.Cells != nil {
		file.Cells.PlacementCell = plan.Cell
	}
	return file
}

// beginBlock makes a block the current one, to which positions refer. It returns false if there have been errors.
func (r *reader) beginBlock(body *hclsyntax.Body, block string) bool {
	if len(r.problems) > 0 {
		return false
	}
	r.ranges = indexRanges(body, block)
	return true
}
