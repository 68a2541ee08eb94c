// Package counters counts what the balancer takes in, sends and answers, by kind.
package counters

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Set counts by name. It belongs to the event loop.
type Set map[string]int64

// Outcomes counts how requests of a class have ended: brought up, refused, failed.
type Outcomes struct{ Completed, Rejected, Failed int64 }

// Add counts one.
func (s Set) Add(name string) { s[name]++ }

// WriteTo prints all counters in order of their names, one a line.
func (s Set) WriteTo(w io.Writer) (written int64, err error) {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		n, err := fmt.Fprintf(w, "count %s %d\n", name, s[name])
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
