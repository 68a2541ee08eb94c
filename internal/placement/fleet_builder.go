package placement

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// ClassLoad is the load of one connection of a class, in mean connection loads, and its worth per second.
type ClassLoad struct{ Load, Worth float64 }

// DefaultClassLoads returns the loads and worths from the operators' documentation.
func DefaultClassLoads() map[string]ClassLoad {
	return map[string]ClassLoad{"lookup": {1, 1}, "seat-set": {3, 2}}
}

// maxReportAge is the age up to which a load report is used.
const maxReportAge = 2500 * time.Millisecond

// warmAfter is the time since its start after which a host counts as warm.
const warmAfter = 30 * time.Second

// maxRecordBytes is the length of the longest line that is read from a record file.
const maxRecordBytes = 4 << 20

// FleetBuilder builds a fleet from the records of several balancers. The records of one time bucket are combined; of
// each balancer only the newest record in the bucket counts.
type FleetBuilder struct {
	classes         map[string]ClassLoad
	perHostOverhead float64
	bucket          time.Duration
	buckets         map[int64]map[string]*Record // by time and balancer
	RejectedLines   int                          // lines that were not valid records, and connections with an invalid key
}

// NewFleetBuilder returns a builder without records. The bucket must not be shorter than the interval at which
// balancers record.
func NewFleetBuilder(classes map[string]ClassLoad, perHostOverhead float64, bucket time.Duration) *FleetBuilder {
	return &FleetBuilder{classes: classes, perHostOverhead: perHostOverhead, bucket: max(bucket, time.Millisecond),
		buckets: map[int64]map[string]*Record{}}
}

// Read adds the records of a file. Invalid lines, such as the truncated last line of a process that was killed, are
// counted and skipped.
func (b *FleetBuilder) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), maxRecordBytes)
	for lines.Scan() {
		rec := &Record{}
		if err := json.Unmarshal(lines.Bytes(), rec); err != nil || rec.Version != RecordVersion || rec.At <= 0 {
			b.RejectedLines++
			continue
		}
		b.Add(rec)
	}
	return lines.Err()
}

// Add adds one record.
func (b *FleetBuilder) Add(rec *Record) {
	at := rec.At / b.bucket.Milliseconds()
	if b.buckets[at] == nil {
		b.buckets[at] = map[string]*Record{}
	}
	if old := b.buckets[at][rec.Balancer]; old == nil || old.At <= rec.At {
		b.buckets[at][rec.Balancer] = rec
	}
}

// Fleet returns the hosts with their estimated capacities, and the mean demand of each flight.
func (b *FleetBuilder) Fleet(prices Prices) (*Fleet, error) {
	buckets := make([]int64, 0, len(b.buckets))
	for at := range b.buckets {
		buckets = append(buckets, at)
	}
	if len(buckets) == 0 {
		return nil, fmt.Errorf("no valid record to build a fleet from; %d lines rejected", b.RejectedLines)
	}
	slices.Sort(buckets)
	aggregated := &aggregation{FleetBuilder: b, bucketCount: float64(len(buckets)), estimator: NewCapacityEstimator(),
		flights: map[uint64]*recordedFlight{}}
	for _, at := range buckets {
		aggregated.addBucket(b.buckets[at])
	}
	f := &Fleet{Prices: prices, Hosts: aggregated.estimator.Hosts(), Flights: aggregated.sortedFlights()}
	if problems := f.Check(); len(problems) > 0 {
		return nil, problems[0]
	}
	return f, nil
}
