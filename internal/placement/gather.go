package placement

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// ClassLoad is what one connection of a class weighs, in mean connection loads, and is worth a second.
type ClassLoad struct{ Load, Worth float64 }

// DefaultClassLoads are those of the operators' pages.
func DefaultClassLoads() map[string]ClassLoad {
	return map[string]ClassLoad{"lookup": {1, 1}, "seat-set": {3, 2}}
}

// freshReport is how old a report may be to count, warmAfter from when on a host is taken for warm.
const freshReport, warmAfter, mostRecord = 2500 * time.Millisecond, 30 * time.Second, 4 << 20

// FleetBuilder makes a fleet of what several balancers recorded. Records of one bucket of time are put together; each
// balancer counts once in it, with its last word.
type FleetBuilder struct {
	classes       map[string]ClassLoad
	piece         float64
	bucket        time.Duration
	buckets       map[int64]map[string]*Record // by time and balancer
	RejectedLines int                          // lines that made no sense
}

// NewFleetBuilder makes one; bucket is at least how often balancers record.
func NewFleetBuilder(classes map[string]ClassLoad, piece float64, bucket time.Duration) *FleetBuilder {
	return &FleetBuilder{classes: classes, piece: piece, bucket: max(bucket, time.Millisecond), buckets: map[int64]map[string]*Record{}}
}

// Read takes a record file. A line that makes no sense, such as the last one of a process that was killed, is counted
// and left out.
func (g *FleetBuilder) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), mostRecord)
	for lines.Scan() {
		rec := &Record{}
		if err := json.Unmarshal(lines.Bytes(), rec); err != nil || rec.Version != RecordVersion || rec.At <= 0 {
			g.RejectedLines++
			continue
		}
		g.Add(rec)
	}
	return lines.Err()
}

// Add takes one record.
func (g *FleetBuilder) Add(rec *Record) {
	at := rec.At / g.bucket.Milliseconds()
	if g.buckets[at] == nil {
		g.buckets[at] = map[string]*Record{}
	}
	if old := g.buckets[at][rec.Balancer]; old == nil || old.At <= rec.At {
		g.buckets[at][rec.Balancer] = rec
	}
}

// Fleet is the hosts with their capacity as estimated, and the mean demand of each flight.
func (g *FleetBuilder) Fleet(prices Prices) (*Fleet, error) {
	times := make([]int64, 0, len(g.buckets))
	for at := range g.buckets {
		times = append(times, at)
	}
	if len(times) == 0 {
		return nil, fmt.Errorf("no record to make a fleet of; %d lines made no sense", g.RejectedLines)
	}
	slices.Sort(times)
	d := &digest{FleetBuilder: g, times: float64(len(times)), estimator: NewEstimator(), flights: map[uint64]*recordedFlight{}}
	for _, at := range times {
		d.bucket(g.buckets[at])
	}
	f := &Fleet{Prices: prices, Hosts: d.estimator.Hosts(), Flights: d.all()}
	if all := f.Check(); len(all) > 0 {
		return nil, all[0]
	}
	return f, nil
}
