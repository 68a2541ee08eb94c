package cells

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"tealtiller/policy"
)

// Fleet puts the balancers of all cells behind the interface of a single policy.Balancer. Each cell has a
// policy.Balancer of its own that knows only the cell's hosts: it ranks exactly those, and neither its outlier
// detection nor its refusals are affected by the failures of another cell. Budgets do not multiply with the number of
// cells: a request is in one balancer at a time and keeps its attempt count when it changes cells, a host is in one
// cell and loses its slow-start budget when reassigned, the retry budget is divided, and only one balancer watches
// discovery.
type Fleet struct {
	settings           policy.Settings
	seed               uint64
	host               policy.Host
	plan               *Plan
	root               *cell   // always exists; the only one to watch discovery; without a plan it has all hosts
	cells              []*cell // the plan's cells in their order, including root if it has a name
	cellsByNumber      map[int64]*cell
	nextNumber         int64
	listedHosts        map[string]policy.Server
	absentHosts        map[string]absentHost // hosts that left the list within AbsentRetention
	reassignAt         time.Duration         // when the first of absentHosts expires; 0: no timer is set
	cellOfHost         map[string]*cell      // by id, for listed hosts
	requests           map[string]*trackedRequest
	flightConnections  map[uint64]map[*cell]int     // number of established connections by flight and cell
	carrierConnections map[string][]*trackedRequest // established connections by carrier
	moveTickAt         time.Duration                // when runMoves is due; 0: no timer is set
	moveCredit         map[string]float64           // MOVE lines that the pace allows, by carrier
	movePaused         map[string]bool              // by carrier: the target cell has no host in service
	lastMoveTick       time.Duration
	leaseUntil         time.Duration // when the lease of the host list ends; 0: it does not expire
}

// cell is the runtime state of one cell.
type cell struct {
	fleet          *Fleet
	name           string
	number         int64
	limits         Cell
	balancer       *policy.Balancer
	hostsInService int // listed and neither draining nor gone
	open           int // pending requests and established connections, including guests
	established    int
	guests         int           // requests and connections that overflowed from other cells
	nextOpenAt     time.Duration // when MaxOpensPerSecond next allows a new connection
	counts         Counts
}

// absentHost is a host that has left the list but counts in the assignment until the given time.
type absentHost struct {
	policy.Server
	until time.Duration
}

// New returns a Fleet; a nil plan means no cells.
func New(settings policy.Settings, seed uint64, host policy.Host, plan *Plan) *Fleet {
	f := &Fleet{settings: settings, seed: seed, host: host, cellsByNumber: map[int64]*cell{},
		listedHosts: map[string]policy.Server{}, absentHosts: map[string]absentHost{},
		cellOfHost: map[string]*cell{}, requests: map[string]*trackedRequest{}, flightConnections: map[uint64]map[*cell]int{},
		carrierConnections: map[string][]*trackedRequest{}, moveCredit: map[string]float64{}, movePaused: map[string]bool{}}
	f.root = f.addCell("")
	f.cells = []*cell{f.root}
	if plan != nil && len(plan.Cells) > 0 {
		f.applyPlan(plan)
		f.applySettings()
	}
	return f
}

// addCell adds a cell. The first one uses the seed unchanged, so that a Fleet without a plan decides as a single
// policy.Balancer would.
func (f *Fleet) addCell(name string) *cell {
	c := &cell{fleet: f, name: name, number: f.nextNumber}
	f.nextNumber++
	f.cellsByNumber[c.number] = c
	seed := f.seed
	if c.number > 0 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		seed ^= SplitMix64(h.Sum64())
	}
	c.balancer = policy.New(f.cellSettings(c), seed, c)
	c.balancer.Lease(0, f.leaseUntil)
	return c
}

// cellSettings returns the settings of one cell: the retry budget is divided, and only the root watches discovery.
func (f *Fleet) cellSettings(c *cell) policy.Settings {
	settings := f.settings
	if n := len(f.cells); n > 1 {
		settings.RetryBudgetBase /= float64(n)
	}
	if c != f.root && f.root != nil {
		settings.MustWatch = false
	}
	return settings
}

func (f *Fleet) applySettings() {
	for _, c := range f.cellsByNumber {
		c.balancer.ApplySettings(f.cellSettings(c))
	}
}

// ApplySettings replaces the settings of all cells.
func (f *Fleet) ApplySettings(settings policy.Settings) {
	f.settings = settings
	f.applySettings()
}

// cellNamed returns the plan's cell of the given name, or the root if there is none.
func (f *Fleet) cellNamed(name string) *cell {
	for _, c := range f.cells {
		if c.name == name {
			return c
		}
	}
	return f.root
}

// sortedCells returns all cells, including those of earlier plans, in a deterministic order.
func (f *Fleet) sortedCells() []*cell {
	return slices.SortedFunc(maps.Values(f.cellsByNumber), func(a, b *cell) int { return cmp.Compare(a.number, b.number) })
}

// TakeOver is called when this process takes over from another process of the same balancer.
func (f *Fleet) TakeOver(now time.Duration) {
	for _, c := range f.sortedCells() {
		c.balancer.TakeOver(now)
	}
}

// siblings returns the number of balancers that share the fleet-wide limits, including this one.
func (f *Fleet) siblings() int { return max(f.settings.Siblings, 1) }
