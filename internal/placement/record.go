package placement

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"time"
)

// Record is what a balancer saw at a moment; a record file holds one a line, in JSON.
type Record struct {
	Version  int            `json:"v"`
	At       int64          `json:"at"` // Unix time, ms
	Balancer string         `json:"balancer"`
	Room     string         `json:"room"`
	Hosts    []RecordedHost `json:"hosts"`
	Stands   []Stand        `json:"stands"`

	at map[held]int // where in Stands
}

type held struct {
	key  uint64
	host string
}

// Count counts a connection of a flight that stands on a host.
func (r *Record) Count(key uint64, carrier, host, class string) {
	i, known := r.at[held{key, host}]
	if !known {
		if r.at == nil {
			r.at = map[held]int{}
		}
		i = len(r.Stands)
		r.at[held{key, host}] = i
		r.Stands = append(r.Stands, Stand{Key: strconv.FormatUint(key, 16), Carrier: carrier, Host: host, Open: map[string]int{}})
	}
	r.Stands[i].Open[class]++
}

// RecordedHost is a desk host as its last load report and the list tell of it.
type RecordedHost struct {
	ID      string  `json:"id"`
	Room    string  `json:"room"`
	Kind    string  `json:"kind"`
	Started int64   `json:"started"` // Unix time, ms; 0 for long ago
	X0      float64 `json:"x0"`      // load asked of it over what it can do
	Age     int64   `json:"age"`     // of the report, ms; below 0 where there is none
}

// Stand is connections of a flight on a host, by class.
type Stand struct {
	Key     string         `json:"key"`
	Carrier string         `json:"carrier,omitempty"`
	Host    string         `json:"host"`
	Open    map[string]int `json:"open"`
}

// ClassLoad is what one connection of a class weighs, in mean connection loads, and is worth a second.
type ClassLoad struct{ Load, Worth float64 }

// UsualClasses are those of the operators' pages.
func UsualClasses() map[string]ClassLoad {
	return map[string]ClassLoad{"lookup": {1, 1}, "seat-set": {3, 2}}
}

// freshReport is how old a report may be to count, warmAfter from when on a host is taken for warm.
const freshReport, warmAfter, mostRecord = 2500 * time.Millisecond, 30 * time.Second, 4 << 20

// Gatherer makes a fleet of what several balancers recorded. Records of one bucket of time are put together; each
// balancer counts once in it, with its last word.
type Gatherer struct {
	classes map[string]ClassLoad
	piece   float64
	bucket  time.Duration
	buckets map[int64]map[string]*Record // by time and balancer
	Refused int                          // lines that made no sense
}

// NewGatherer makes one; bucket is at least how often balancers record.
func NewGatherer(classes map[string]ClassLoad, piece float64, bucket time.Duration) *Gatherer {
	return &Gatherer{classes: classes, piece: piece, bucket: max(bucket, time.Millisecond), buckets: map[int64]map[string]*Record{}}
}

// Read takes a record file. A line that makes no sense, such as the last one of a process that was killed, is counted
// and left out.
func (g *Gatherer) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), mostRecord)
	for lines.Scan() {
		rec := &Record{}
		if err := json.Unmarshal(lines.Bytes(), rec); err != nil || rec.Version != 1 || rec.At <= 0 {
			g.Refused++
			continue
		}
		g.Add(rec)
	}
	return lines.Err()
}

// Add takes one record.
func (g *Gatherer) Add(rec *Record) {
	at := rec.At / g.bucket.Milliseconds()
	if g.buckets[at] == nil {
		g.buckets[at] = map[string]*Record{}
	}
	if old := g.buckets[at][rec.Balancer]; old == nil || old.At <= rec.At {
		g.buckets[at][rec.Balancer] = rec
	}
}

// Fleet is the hosts with their capacity as estimated, and the mean demand of each flight.
func (g *Gatherer) Fleet(prices Prices) (*Fleet, error) {
	times := make([]int64, 0, len(g.buckets))
	for at := range g.buckets {
		times = append(times, at)
	}
	if len(times) == 0 {
		return nil, fmt.Errorf("no record to make a fleet of; %d lines made no sense", g.Refused)
	}
	slices.Sort(times)
	f := &Fleet{Prices: prices}
	est := NewEstimator()
	flights, about := map[uint64]map[string]*Part{}, map[uint64]string{}
	for _, at := range times {
		load, held := map[string]float64{}, map[string]map[string]bool{}
		hosts := map[string]RecordedHost{}
		var when int64
		for _, name := range keys(g.buckets[at]) {
			rec := g.buckets[at][name]
			when = max(when, rec.At)
			for _, h := range rec.Hosts {
				if old, known := hosts[h.ID]; !known || h.Age >= 0 && (old.Age < 0 || h.Age < old.Age) {
					hosts[h.ID] = h
				}
			}
			for _, s := range rec.Stands {
				key, err := strconv.ParseUint(s.Key, 16, 64)
				if err != nil {
					g.Refused++
					continue
				}
				if held[s.Host] == nil {
					held[s.Host] = map[string]bool{}
				}
				held[s.Host][s.Key] = true
				if flights[key] == nil {
					flights[key] = map[string]*Part{}
				}
				part := flights[key][rec.Room]
				if part == nil {
					part = &Part{Room: rec.Room}
					flights[key][rec.Room] = part
				}
				about[key] = cmp.Or(about[key], s.Carrier)
				for _, class := range keys(s.Open) {
					c, known := g.classes[class]
					if !known {
						c = ClassLoad{1, 1}
					}
					n := float64(max(s.Open[class], 0))
					load[s.Host] += n * c.Load
					part.Load += n * c.Load / float64(len(times))
					part.Worth += n * c.Worth / float64(len(times))
				}
			}
		}
		for _, id := range keys(hosts) {
			h := hosts[id]
			est.Know(h.ID, h.Room, h.Kind)
			warm := h.Started == 0 || when-h.Started >= warmAfter.Milliseconds()
			if warm && h.Age >= 0 && h.Age <= freshReport.Milliseconds() {
				est.Learn(h.ID, load[id]+g.piece*float64(len(held[id])), h.X0)
			}
		}
	}
	f.Hosts = est.Hosts()
	for key, parts := range flights {
		fl := Flight{ID: key, Carrier: about[key]}
		for _, room := range keys(parts) {
			fl.Parts = append(fl.Parts, *parts[room])
		}
		f.Flights = append(f.Flights, fl)
	}
	slices.SortFunc(f.Flights, func(a, b Flight) int { return cmp.Compare(a.ID, b.ID) })
	if all := f.Check(); len(all) > 0 {
		return nil, all[0]
	}
	return f, nil
}

// Estimator works out what hosts can do from how much they held and what they reported then. A host's capacity is the
// load it held in all over the x0 it told in all: reports are late, and over many of them what came later is as often
// more as less. Its error follows from how far blocks of reports differ. Both are drawn towards the mean of the host's
// kind, by as much as its own reports tell less than that hosts of a kind are alike.
type Estimator struct {
	hosts map[string]*estimate
}

type estimate struct {
	room, kind string
	load, x0   []float64
}

// NewEstimator makes one that knows nothing.
func NewEstimator() *Estimator { return &Estimator{map[string]*estimate{}} }

// Know tells of a host.
func (e *Estimator) Know(id, room, kind string) {
	if e.hosts[id] == nil {
		e.hosts[id] = &estimate{}
	}
	e.hosts[id].room, e.hosts[id].kind = room, kind
}

// idle is the x0 under which a report tells nothing: it is of the noise.
const idle = 0.02

// Learn takes that a warm host held so much load when it reported an x0.
func (e *Estimator) Learn(id string, load, x0 float64) {
	if h := e.hosts[id]; h != nil && x0 > idle && load > 0 && !math.IsInf(load+x0, 0) {
		h.load, h.x0 = append(h.load, load), append(h.x0, x0)
	}
}

// own is what a host's reports alone tell: its capacity and the error of that; no error without enough of them.
func (h *estimate) own() (capacity, err float64, ok bool) {
	const blocks = 8
	if len(h.load) < blocks {
		return 0, 0, false
	}
	capacity = sum(h.load) / sum(h.x0)
	// leave out one block after the other: their ratios differ by as much as the whole is off
	square := 0.0
	for b := range blocks {
		from, to := b*len(h.load)/blocks, (b+1)*len(h.load)/blocks
		left := (sum(h.load) - sum(h.load[from:to])) / (sum(h.x0) - sum(h.x0[from:to]))
		square += (left - capacity) * (left - capacity)
	}
	return capacity, max(math.Sqrt(square*(blocks-1)/blocks), 0.01*capacity), true
}

// Hosts is what is known, in order of the ids.
func (e *Estimator) Hosts() []Host {
	type figures struct{ mean, spread float64 }
	kinds, all := map[string]figures{}, figures{1, 0.5}
	var means []float64
	for kind, ids := range e.byKind() {
		if m, s, ok := e.of(ids); ok {
			kinds[kind] = figures{m, s}
			means = append(means, m)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		all = figures{sum(means) / float64(len(means)), 0.4 * sum(means) / float64(len(means))}
	}
	var out []Host
	for _, id := range keys(e.hosts) {
		h := e.hosts[id]
		k, known := kinds[h.kind]
		if !known {
			k = all
		}
		capacity, off := k.mean, k.spread
		if c, err, ok := h.own(); ok {
			a, b := 1/(err*err), 1/(k.spread*k.spread)
			capacity, off = (a*c+b*k.mean)/(a+b), math.Sqrt(1/(a+b))
		}
		out = append(out, Host{ID: id, Room: h.room, Kind: h.kind, Capacity: capacity, Error: min(off/capacity, 10)})
	}
	return out
}

func (e *Estimator) byKind() map[string][]string {
	out := map[string][]string{}
	for _, id := range keys(e.hosts) {
		out[e.hosts[id].kind] = append(out[e.hosts[id].kind], id)
	}
	return out
}

// of is the mean of hosts and how far they differ beyond their errors; at the least by a twentieth.
func (e *Estimator) of(ids []string) (mean, spread float64, ok bool) {
	var c, errs []float64
	for _, id := range ids {
		if x, err, ok := e.hosts[id].own(); ok {
			c, errs = append(c, x), append(errs, err*err)
		}
	}
	if len(c) == 0 {
		return 0, 0, false
	}
	mean = sum(c) / float64(len(c))
	square := 0.0
	for _, x := range c {
		square += (x - mean) * (x - mean)
	}
	if len(c) > 1 {
		square = square/float64(len(c)-1) - sum(errs)/float64(len(errs))
	} else {
		square = 0.04 * mean * mean // one alone: two hosts of a kind differ by a fifth
	}
	return mean, math.Sqrt(max(square, 0.0025*mean*mean)), true
}
