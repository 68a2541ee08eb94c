// Package counters counts events of the balancer by name.
package counters

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Set counts events by name. It belongs to the event loop and is not safe for concurrent use.
type Set map[string]int64

// Outcomes counts the requests of a class by outcome: established, refused, failed.
type Outcomes struct{ Completed, Rejected, Failed int64 }

// Add increments a counter.
func (s Set) Add(name string) { s[name]++ }

// WriteTo writes all counters ordered by name, one a line.
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
