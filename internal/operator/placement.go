package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tealtiller/internal/placement"
)

// mostPlan bounds a plan file: 1,000 endpoints in two rooms and 20,000 flights take 1.5 MB.
const mostPlan = 8 << 20

// What holds where the file tells nothing of records: one each usualEvery, in a file of usualLargest MB at most.
const usualEvery, usualLargest = 5 * time.Second, 64

// Bounds of what the file tells of records.
const (
	leastEvery, mostEvery = 100 * time.Millisecond, time.Hour
	mostLargest           = 1 << 20 // MB
)

// placement reads where the plan is, what it says, and where records are written.
func (r *reader) placement(b *placementBlock, folder string, out *Placement) {
	*out = Placement{RecordPath: within(folder, b.Record), RecordInterval: usualEvery, MaxRecordBytes: usualLargest << 20}
	if b.Every != "" {
		out.RecordInterval = r.span("record_every", b.Every, leastEvery, mostEvery, "100ms to 1h")
	}
	if b.LargestMB != nil {
		if out.MaxRecordBytes = int64(*b.LargestMB) << 20; *b.LargestMB < 1 || *b.LargestMB > mostLargest {
			r.fail("", "", "record_largest_mb", "want a figure from 1 on")
		}
	}
	if b.Plan == "" {
		return
	}
	out.PlanPath = within(folder, b.Plan)
	var err error
	if out.Plan, err = readPlan(out.PlanPath); err != nil {
		r.fail("", "", "plan", "%s: %v", b.Plan, err)
	}
}

// within is a path that is told from a folder; an empty one stays empty.
func within(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// readPlan reads a plan file. A plan that makes no sense is refused with the operator's file, or a balancer would go on
// without what its operator thinks is in force.
func readPlan(path string) (*placement.Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(text) > mostPlan {
		return nil, fmt.Errorf("it holds %d bytes; at most %d", len(text), mostPlan)
	}
	return placement.ParsePlan(text)
}
