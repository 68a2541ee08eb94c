package lab

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/placement"
	"tealtiller/policy"
)

// Virtual plays an experiment in virtual time: the decision code of every balancer, the model of every desk host,
// and clients, in one thread and in the order of one queue.
type Virtual struct {
	exp       *Experiment
	plan      *cells.Plan
	rng       *rand.Rand
	now       time.Duration
	queue     events
	seq       uint64
	balancers []*virtualBalancer
	machines  map[string]*virtualHost
	specs     []Spec
	cellOf    map[string]string
	next      int
	Result    Harm
	held      map[uint64]map[string]int // connections of each flight, by host
	gather    *placement.FleetBuilder   // of what balancers see, where the experiment records
	victims   map[string]bool           // carriers that a fault is aimed at, or whose cell is
	weight    map[string]float64
}

const virtualStart = 1e6 * time.Second // of the clock: 0 would mean long ago

// NewVirtual makes a world; without cells, the plan of the experiment is left out.
func NewVirtual(exp *Experiment, seed uint64, withCells bool) *Virtual {
	v := &Virtual{
		exp: exp, rng: rand.New(rand.NewPCG(seed, 7)), now: virtualStart,
		machines: map[string]*virtualHost{}, specs: exp.Fleet(seed),
		held:    map[uint64]map[string]int{},
		victims: map[string]bool{}, weight: map[string]float64{},
	}
	list := v.addMachines()
	if exp.Plan != nil {
		v.cellOf = exp.Plan.AssignHosts(list) // faults strike the same hosts in both runs
		if withCells {
			v.plan = exp.Plan
		}
	}
	for i := range exp.Balancers {
		v.addBalancer(i, seed, list)
	}
	v.nameVictims()
	return v
}

// addMachines makes the desk hosts, and the list of them.
func (v *Virtual) addMachines() (list []policy.Server) {
	for _, s := range v.specs {
		v.machines[s.ID] = &virtualHost{Machine: NewMachine(s, 800*time.Millisecond)}
		list = append(list, v.server(s, policy.Ready))
	}
	return list
}

func (v *Virtual) addBalancer(i int, seed uint64, list []policy.Server) {
	b := &virtualBalancer{v: v, index: i, room: v.exp.balancerRoom(i), clients: map[string]*virtualClient{}}
	b.weigher = placement.NewWeightApplier(v.exp.Placed, b.room)
	set := Settings(v.exp.Balancers)
	set.Zone = b.room
	b.fleet = cells.New(set, seed+uint64(i), b, v.plan)
	b.members(policy.Full, list)
	v.balancers = append(v.balancers, b)
}

// nameVictims finds the carriers that the faults are aimed at.
func (v *Virtual) nameVictims() {
	for _, f := range v.exp.Faults {
		for i, c := range v.exp.carriers() {
			if c.Name == f.Carrier || v.strikesCellOf(f, c.Name, uint64(i)) {
				v.victims[c.Name] = true
			}
		}
	}
}

// strikesCellOf tells whether a fault strikes the cell that a carrier's group is at home in.
func (v *Virtual) strikesCellOf(f Fault, carrier string, group uint64) bool {
	if f.Cell == "" || f.Kind == "heavy" || v.exp.Plan == nil {
		return false
	}
	return v.exp.Plan.HomeCell(0, carrier, group) == f.Cell
}

// Settings are those that the operators' pages give.
func Settings(siblings int) policy.Settings {
	ms := time.Millisecond
	return policy.Settings{MaxAttempts: 6, Siblings: siblings, Tick: 4 * ms, MaxWatchInterval: 10 * time.Second, DrainGrace: 300 * ms,
		ColdCapacityShare: coldFrom, WarmAfter: warmAfter, OverloadFactor: fallMultiple, OverloadSpan: fallAfter, Classes: map[string]policy.Class{
			"lookup": {SetupTarget: 300 * ms, MessageTarget: 250 * ms}, "seat-set": {SetupTarget: 300 * ms, MessageTarget: 50 * ms}}}
}

func (v *Virtual) server(s Spec, state policy.State) policy.Server {
	return policy.Server{ID: s.ID, Zone: s.Room, Kind: s.Kind, Cell: s.Number, State: state, Weight: v.exp.size(s),
		Started: v.machines[s.ID].Started}
}

// grace is how long after the end of an experiment answers are still awaited.
const grace = 5 * time.Second

// Run plays it to its end.
func (v *Virtual) Run() Harm {
	began := time.Now() // only told, never decided on
	last := v.now + span(v.exp.Duration) + grace
	v.schedule()
	for len(v.queue) > 0 && v.queue[0].at <= last {
		e := heap.Pop(&v.queue).(event)
		v.now = e.at
		e.do()
	}
	v.settle()
	v.Result.Busy = time.Since(began)
	return v.Result
}

// schedule sets the first events: clients that come, faults, and what each balancer does again and again.
func (v *Virtual) schedule() {
	for i := range v.exp.carriers() {
		for _, a := range v.exp.arrivals(v.rng.Uint64(), i) {
			c := &virtualClient{arrival: a, came: virtualStart + a.at}
			v.at(c.came, func() { v.open(c) })
		}
	}
	for _, f := range v.exp.Faults {
		v.at(virtualStart+span(f.At), func() { v.fault(f) })
	}
	if v.exp.Record {
		v.gather = placement.NewFleetBuilder(placement.DefaultClassLoads(), placement.DefaultPrices().PerHostOverhead, time.Second)
	}
	for _, b := range v.balancers {
		v.at(v.now+time.Second, b.delays)
		if v.gather != nil {
			v.at(v.now+span(v.exp.Settle), b.record)
		}
	}
}

// settle closes the accounts of what still stands or waits at the end.
func (v *Virtual) settle() {
	for _, b := range v.balancers {
		for _, id := range slices.Sorted(maps.Keys(b.clients)) { // in order: sums of seconds depend on it
			c := b.clients[id]
			if c.finals == 0 {
				v.Result.Lost++
			}
			if c.host != nil {
				v.done(c)
			}
		}
	}
	for _, m := range v.machines {
		if m.Fallen {
			v.Result.Fallen++
		}
	}
}
