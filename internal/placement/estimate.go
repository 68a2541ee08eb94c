package placement

import (
	"math"
	"slices"
)

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

// What is taken for granted of hosts, as shares of a capacity.
const (
	blocks        = 8    // of reports; fewer reports tell nothing of their error
	leastOwnError = 0.01 // of what a host's own reports tell
	leastSpread   = 0.05 // of hosts of a kind
	spreadOfOne   = 0.2  // of a kind with one known host: two of a kind differ by a fifth
	spreadOfKinds = 0.4  // of hosts whose kind is not known
)

// unknownHost is a host where no capacity at all is known.
var unknownHost = figures{1, 0.5}

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
	return capacity, max(math.Sqrt(square*(blocks-1)/blocks), leastOwnError*capacity), true
}

// figures are the mean capacity of hosts and how far they differ.
type figures struct{ mean, spread float64 }

// Hosts is what is known, in order of the ids.
func (e *Estimator) Hosts() (out []Host) {
	kinds, all := e.kinds()
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
		out = append(out, Host{ID: id, Room: h.room, Kind: h.kind, Capacity: capacity, CapacityError: min(off/capacity, mostError)})
	}
	return out
}

// kinds are the figures of each kind with a host of which enough is known, and of a host of any other kind.
func (e *Estimator) kinds() (kinds map[string]figures, all figures) {
	kinds, all = map[string]figures{}, unknownHost
	var means []float64
	for kind, ids := range e.byKind() {
		if m, s, ok := e.of(ids); ok {
			kinds[kind] = figures{m, s}
			means = append(means, m)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		n := float64(len(means))
		all = figures{sum(means) / n, spreadOfKinds * sum(means) / n}
	}
	return kinds, all
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
		square = spreadOfOne * spreadOfOne * mean * mean // one alone
	}
	return mean, math.Sqrt(max(square, leastSpread*leastSpread*mean*mean)), true
}
