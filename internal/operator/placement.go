package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tealtiller/internal/placement"
)

// maxPlanBytes bounds the size of a plan file; a plan of 1,000 hosts in two rooms and 20,000 flights takes 1.5 MB.
const maxPlanBytes = 8 << 20

// Defaults of the record attributes.
const (
	defaultRecordInterval = 5 * time.Second
	defaultRecordMB       = 64
)

// Bounds of the record attributes.
const (
	minRecordInterval, maxRecordInterval = 100 * time.Millisecond, time.Hour
	maxRecordMB                          = 1 << 20
)

// readPlacement converts the placement block and loads the plan that it names; relative paths are relative to folder.
func (r *reader) readPlacement(b *placementBlock, folder string, out *Placement) {
	*out = Placement{RecordPath: resolvePath(folder, b.Record), RecordInterval: defaultRecordInterval,
		MaxRecordBytes: defaultRecordMB << 20}
	if b.RecordEvery != "" {
		out.RecordInterval = r.parseDuration("record_every", b.RecordEvery, minRecordInterval, maxRecordInterval, "100ms to 1h")
	}
	if b.RecordLargestMB != nil {
		if out.MaxRecordBytes = int64(*b.RecordLargestMB) << 20; *b.RecordLargestMB < 1 || *b.RecordLargestMB > maxRecordMB {
			r.addError("", "", "record_largest_mb", "must be between 1 and %d", maxRecordMB)
		}
	}
	if b.Plan == "" {
		return
	}
	out.PlanPath = resolvePath(folder, b.Plan)
	var err error
	if out.Plan, err = readPlan(out.PlanPath); err != nil {
		r.addError("", "", "plan", "%s: %v", b.Plan, err)
	}
}

// resolvePath resolves a path relative to a folder; an empty path stays empty.
func resolvePath(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// readPlan reads a plan file. An invalid plan is an error in the operator's file, so that a balancer does not run
// without a plan that its operator believes to be active.
func readPlan(path string) (*placement.Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(text) > maxPlanBytes {
		return nil, fmt.Errorf("file is too large: %d bytes; at most %d", len(text), maxPlanBytes)
	}
	return placement.ParsePlan(text)
}
