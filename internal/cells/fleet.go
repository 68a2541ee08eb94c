package cells

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"tealtiller/policy"
)

// Fleet is the decision modules of all cells behind one interface, that of a single policy.Balancer. Each cell has a
// module of its own, told only of the cell's endpoints: its ranking is the exact one of that list, and neither its outlier
// detection nor its refusals know of another cell's trouble. What belongs to a request or to an endpoint does not
// multiply: a request is in one module at a time and takes its attempts along, an endpoint is in one cell and loses its
// slow-start budget with a change, the retry budget is split, and one module alone watches discovery.
type Fleet struct {
	set     policy.Settings
	seed    uint64
	host    policy.Host
	plan    *Plan
	root    *cell   // always there; it alone watches discovery, and without a plan it has all
	cells   []*cell // those of the plan in its order, the root among them where it has a name
	numbers map[int64]*cell
	next    int64
	listed  map[string]policy.Server
	left    map[string]absent // endpoints that have left the list, while their place is kept
	dealAt  time.Duration     // when the first of them is given up
	owners  map[string]*cell  // of listed endpoints
	entries map[string]*tracked
	flights map[uint64]map[*cell]int // where a flight's connections are established
	movers  map[string][]*tracked    // established connections by carrier
	tickAt  time.Duration
	credit  map[string]float64 // of moves, by carrier
	paused  map[string]bool
	ticked  time.Duration
	// until when the list may be used; 0 for ever
	leaseUntil time.Duration
}

type cell struct {
	fleet  *Fleet
	name   string
	number int64
	limits Cell
	module *policy.Balancer
	hosts  int // listed and neither draining nor gone
	open   int // requests and connections, guests included
	stands int // established connections
	guests int
	due    time.Duration // when the next open fits OpensPerSecond
	count  Counts
}

// absent is an endpoint that has left the list, and until when its place is kept.
type absent struct {
	policy.Server
	until time.Duration
}

// New makes a Fleet; plan may be nil.
func New(set policy.Settings, seed uint64, host policy.Host, plan *Plan) *Fleet {
	f := &Fleet{set: set, seed: seed, host: host, numbers: map[int64]*cell{}, listed: map[string]policy.Server{}, left: map[string]absent{},
		owners: map[string]*cell{}, entries: map[string]*tracked{}, flights: map[uint64]map[*cell]int{},
		movers: map[string][]*tracked{}, credit: map[string]float64{}, paused: map[string]bool{}}
	f.root = f.add("")
	f.cells = []*cell{f.root}
	if plan != nil && len(plan.Cells) > 0 {
		f.arrange(plan)
		f.adopt()
	}
	return f
}

// add makes a cell. The first one's module has the balancer's own seed, as it would have without cells.
func (f *Fleet) add(name string) *cell {
	c := &cell{fleet: f, name: name, number: f.next}
	f.next++
	f.numbers[c.number] = c
	seed := f.seed
	if c.number > 0 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		seed ^= SplitMix64(h.Sum64())
	}
	c.module = policy.New(f.settings(c), seed, c)
	c.module.Lease(0, f.leaseUntil)
	return c
}

// settings are a cell's: the retry budget is split, and one cell alone asks for the list.
func (f *Fleet) settings(c *cell) policy.Settings {
	set := f.set
	if n := len(f.cells); n > 1 {
		set.RetryBudgetBase /= float64(n)
	}
	if c != f.root && f.root != nil {
		set.MustWatch = false
	}
	return set
}

func (f *Fleet) adopt() {
	for _, c := range f.numbers {
		c.module.ApplySettings(f.settings(c))
	}
}

// ApplySettings takes other settings from now on.
func (f *Fleet) ApplySettings(set policy.Settings) {
	f.set = set
	f.adopt()
}

// named is the plan's cell of a name, else the root.
func (f *Fleet) named(name string) *cell {
	for _, c := range f.cells {
		if c.name == name {
			return c
		}
	}
	return f.root
}

// inOrder is all cells, those of earlier plans included, in an order that does not depend on chance.
func (f *Fleet) inOrder() []*cell {
	return slices.SortedFunc(maps.Values(f.numbers), func(a, b *cell) int { return cmp.Compare(a.number, b.number) })
}

// TakeOver tells that this process takes over from another one of its balancer.
func (f *Fleet) TakeOver(now time.Duration) {
	for _, c := range f.inOrder() {
		c.module.TakeOver(now)
	}
}

// siblings is how many balancers share the limits of the whole fleet, this one included.
func (f *Fleet) siblings() int { return max(f.set.Siblings, 1) }
