package placement

import (
	"math"
	"slices"
)

// CapacityEstimator estimates the capacity of hosts from the load that they held when they reported their x0. The
// capacity of a host is the sum of its loads over the sum of its x0 values: reports are late, and over many of them the
// load since the report has grown as often as it has shrunk. Its standard error follows from how much blocks of reports
// differ (jackknife). Both are combined with the mean of the host's kind, weighted by their precision.
type CapacityEstimator struct {
	hosts map[string]*hostSamples
}

// hostSamples are the samples of one host: load[i] was held when x0[i] was reported.
type hostSamples struct {
	room, kind string
	load, x0   []float64
}

// NewCapacityEstimator returns an estimator without hosts.
func NewCapacityEstimator() *CapacityEstimator { return &CapacityEstimator{map[string]*hostSamples{}} }

// AddHost adds a host, or updates its room and kind.
func (e *CapacityEstimator) AddHost(id, room, kind string) {
	if e.hosts[id] == nil {
		e.hosts[id] = &hostSamples{}
	}
	e.hosts[id].room, e.hosts[id].kind = room, kind
}

// Parameters of the estimate. Errors and spreads are shares of a capacity.
const (
	jackknifeBlocks   = 8    // blocks of reports; with fewer reports their error cannot be estimated
	minOwnError       = 0.01 // least standard error of an estimate from a host's own reports
	minKindSpread     = 0.05 // least spread of the hosts of a kind
	singleHostSpread  = 0.2  // spread of a kind with one known host, assuming that two of a kind differ by a fifth
	unknownKindSpread = 0.4  // spread of hosts of an unknown kind
)

// defaultPrior applies where no capacity at all is known.
var defaultPrior = capacityPrior{1, 0.5}

// minX0 is the x0 up to which a report is ignored, as it is mostly noise.
const minX0 = 0.02

// AddSample adds the load that a warm host held when it reported an x0.
func (e *CapacityEstimator) AddSample(id string, load, x0 float64) {
	if h := e.hosts[id]; h != nil && x0 > minX0 && load > 0 && !math.IsInf(load+x0, 0) {
		h.load, h.x0 = append(h.load, load), append(h.x0, x0)
	}
}

// ownEstimate is the capacity that follows from a host's own reports, with its standard error; not ok with too few of
// them.
func (h *hostSamples) ownEstimate() (capacity, stdErr float64, ok bool) {
	if len(h.load) < jackknifeBlocks {
		return 0, 0, false
	}
	capacity = sum(h.load) / sum(h.x0)
	// Jackknife: leave out one block at a time. The spread of the resulting ratios gives the standard error.
	squares := 0.0
	for b := range jackknifeBlocks {
		from, to := b*len(h.load)/jackknifeBlocks, (b+1)*len(h.load)/jackknifeBlocks
		without := (sum(h.load) - sum(h.load[from:to])) / (sum(h.x0) - sum(h.x0[from:to]))
		squares += (without - capacity) * (without - capacity)
	}
	return capacity, max(math.Sqrt(squares*(jackknifeBlocks-1)/jackknifeBlocks), minOwnError*capacity), true
}

// capacityPrior is the mean capacity of a group of hosts and their standard deviation.
type capacityPrior struct{ mean, spread float64 }

// Hosts returns the hosts with their estimated capacities, in order of their ids.
func (e *CapacityEstimator) Hosts() (out []Host) {
	kinds, other := e.kindPriors()
	for _, id := range sortedKeys(e.hosts) {
		h := e.hosts[id]
		prior, known := kinds[h.kind]
		if !known {
			prior = other
		}
		capacity, stdErr := prior.mean, prior.spread
		if ownCapacity, ownErr, ok := h.ownEstimate(); ok {
			ownPrecision, kindPrecision := 1/(ownErr*ownErr), 1/(prior.spread*prior.spread)
			capacity = (ownPrecision*ownCapacity + kindPrecision*prior.mean) / (ownPrecision + kindPrecision)
			stdErr = math.Sqrt(1 / (ownPrecision + kindPrecision))
		}
		out = append(out, Host{ID: id, Room: h.room, Kind: h.kind, Capacity: capacity,
			CapacityError: min(stdErr/capacity, maxCapacityError)})
	}
	return out
}

// kindPriors returns the prior of each kind with at least one host whose own estimate is known, and the prior for hosts
// of other kinds.
func (e *CapacityEstimator) kindPriors() (kinds map[string]capacityPrior, other capacityPrior) {
	kinds, other = map[string]capacityPrior{}, defaultPrior
	var means []float64
	for kind, ids := range e.byKind() {
		if mean, spread, ok := e.kindPrior(ids); ok {
			kinds[kind] = capacityPrior{mean, spread}
			means = append(means, mean)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		n := float64(len(means))
		other = capacityPrior{sum(means) / n, unknownKindSpread * sum(means) / n}
	}
	return kinds, other
}

func (e *CapacityEstimator) byKind() map[string][]string {
	out := map[string][]string{}
	for _, id := range sortedKeys(e.hosts) {
		out[e.hosts[id].kind] = append(out[e.hosts[id].kind], id)
	}
	return out
}

// kindPrior is the mean capacity of hosts of one kind, and their spread beyond the errors of the estimates; the spread
// is at least a twentieth of the mean.
func (e *CapacityEstimator) kindPrior(ids []string) (mean, spread float64, ok bool) {
	var capacities, variances []float64
	for _, id := range ids {
		if x, ownErr, ok := e.hosts[id].ownEstimate(); ok {
			capacities, variances = append(capacities, x), append(variances, ownErr*ownErr)
		}
	}
	if len(capacities) == 0 {
		return 0, 0, false
	}
	mean = sum(capacities) / float64(len(capacities))
	squares := 0.0
	for _, x := range capacities {
		squares += (x - mean) * (x - mean)
	}
	if len(capacities) > 1 {
		squares = squares/float64(len(capacities)-1) - sum(variances)/float64(len(variances))
	} else {
		squares = singleHostSpread * singleHostSpread * mean * mean
	}
	return mean, math.Sqrt(max(squares, minKindSpread*minKindSpread*mean*mean)), true
}
