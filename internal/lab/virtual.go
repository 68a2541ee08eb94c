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

// VirtualLab plays an experiment in virtual time: the decision code of every balancer, the model of every desk host,
// and the clients, in one goroutine and in the order of one event queue.
type VirtualLab struct {
	exp               *Experiment
	plan              *cells.Plan
	rng               *rand.Rand
	now               time.Duration
	queue             eventQueue
	eventCount        uint64
	balancers         []*virtualBalancer
	hosts             map[string]*virtualHost
	specs             []Spec
	cellOf            map[string]string
	requestCount      int
	Result            Harm
	flightConnections map[uint64]map[string]int // number of connections, by flight and host
	records           *placement.FleetBuilder   // from the balancers' records, if the experiment has them record
	targetedCarriers  map[string]bool           // carriers that a fault targets, directly or by their cell
	loadFactors       map[string]float64
}

const virtualStart = 1e6 * time.Second // start of the virtual clock; a time of 0 would mean long ago

// NewVirtualLab prepares an experiment. Without cells, the balancers do not get the experiment's cell plan.
func NewVirtualLab(exp *Experiment, seed uint64, withCells bool) *VirtualLab {
	v := &VirtualLab{
		exp: exp, rng: rand.New(rand.NewPCG(seed, 7)), now: virtualStart,
		hosts: map[string]*virtualHost{}, specs: exp.Fleet(seed),
		flightConnections: map[uint64]map[string]int{},
		targetedCarriers:  map[string]bool{}, loadFactors: map[string]float64{},
	}
	list := v.addHosts()
	if exp.CellPlan != nil {
		v.cellOf = exp.CellPlan.AssignHosts(list) // faults affect the same hosts with cells and without
		if withCells {
			v.plan = exp.CellPlan
		}
	}
	for i := range exp.Balancers {
		v.addBalancer(i, seed, list)
	}
	v.findTargetedCarriers()
	return v
}

// addHosts makes the desk hosts and the list of them.
func (v *VirtualLab) addHosts() (list []policy.Server) {
	for _, s := range v.specs {
		v.hosts[s.ID] = &virtualHost{Machine: NewMachine(s, 800*time.Millisecond)}
		list = append(list, v.listedServer(s, policy.Ready))
	}
	return list
}

func (v *VirtualLab) addBalancer(i int, seed uint64, list []policy.Server) {
	b := &virtualBalancer{lab: v, index: i, room: v.exp.balancerRoom(i), clients: map[string]*virtualClient{}}
	b.weightApplier = placement.NewWeightApplier(v.exp.PlacementPlan, b.room)
	set := PolicySettings(v.exp.Balancers)
	set.Zone = b.room
	b.fleet = cells.New(set, seed+uint64(i), b, v.plan)
	b.updateMembers(policy.Full, list)
	v.balancers = append(v.balancers, b)
}

// findTargetedCarriers finds the carriers that the faults target, directly or by their cell.
func (v *VirtualLab) findTargetedCarriers() {
	for _, f := range v.exp.Faults {
		for i, c := range v.exp.carriers() {
			if c.Name == f.Carrier || v.hitsCellOf(f, c.Name, uint64(i)) {
				v.targetedCarriers[c.Name] = true
			}
		}
	}
}

// hitsCellOf reports whether a fault affects the home cell of a carrier's group.
func (v *VirtualLab) hitsCellOf(f Fault, carrier string, group uint64) bool {
	if f.Cell == "" || f.Kind == "heavy" || v.exp.CellPlan == nil {
		return false
	}
	return v.exp.CellPlan.HomeCell(0, carrier, group) == f.Cell
}

// PolicySettings are the settings that the operators' documentation gives.
func PolicySettings(siblings int) policy.Settings {
	ms := time.Millisecond
	return policy.Settings{MaxAttempts: 6, Siblings: siblings, Tick: 4 * ms, MaxWatchInterval: 10 * time.Second, DrainGrace: 300 * ms,
		ColdCapacityShare: coldCapacityShare, WarmAfter: warmAfter, OverloadFactor: overloadFactor, OverloadSpan: overloadSpan, Classes: map[string]policy.Class{
			"lookup": {SetupTarget: 300 * ms, MessageTarget: 250 * ms}, "seat-set": {SetupTarget: 300 * ms, MessageTarget: 50 * ms}}}
}

func (v *VirtualLab) listedServer(s Spec, state policy.State) policy.Server {
	return policy.Server{ID: s.ID, Zone: s.Room, Kind: s.Kind, Cell: s.CellNumber, State: state, Weight: v.exp.listedSize(s),
		Started: v.hosts[s.ID].Started}
}

// answerGrace is how long after the end of an experiment outstanding answers are still awaited.
const answerGrace = 5 * time.Second

// Run plays the experiment to its end.
func (v *VirtualLab) Run() Harm {
	began := time.Now() // only reported, never used in a decision
	last := v.now + parsedDuration(v.exp.Duration) + answerGrace
	v.scheduleInitialEvents()
	for len(v.queue) > 0 && v.queue[0].at <= last {
		e := heap.Pop(&v.queue).(event)
		v.now = e.at
		e.do()
	}
	v.countRemaining()
	v.Result.WallTime = time.Since(began)
	return v.Result
}

// scheduleInitialEvents schedules the arrivals, the faults, and the periodic work of the balancers.
func (v *VirtualLab) scheduleInitialEvents() {
	for i := range v.exp.carriers() {
		for _, a := range v.exp.arrivals(v.rng.Uint64(), i) {
			c := &virtualClient{arrival: a, firstTryAt: virtualStart + a.at}
			v.scheduleAt(c.firstTryAt, func() { v.open(c) })
		}
	}
	for _, f := range v.exp.Faults {
		v.scheduleAt(virtualStart+parsedDuration(f.At), func() { v.playFault(f) })
	}
	if v.exp.Record {
		v.records = placement.NewFleetBuilder(placement.DefaultClassLoads(), placement.DefaultPrices().PerHostOverhead, time.Second)
	}
	for _, b := range v.balancers {
		v.scheduleAt(v.now+time.Second, b.reportDelays)
		if v.records != nil {
			v.scheduleAt(v.now+parsedDuration(v.exp.Settle), b.recordState)
		}
	}
}

// countRemaining counts the connections that are still established, and the tries still unanswered, at the end.
func (v *VirtualLab) countRemaining() {
	for _, b := range v.balancers {
		for _, id := range slices.Sorted(maps.Keys(b.clients)) { // sorted, as the rounding of sums depends on the order
			c := b.clients[id]
			if c.finalAnswers == 0 {
				v.Result.Lost++
			}
			if c.host != nil {
				v.endConnection(c)
			}
		}
	}
	for _, m := range v.hosts {
		if m.OverloadFailed {
			v.Result.OverloadFailures++
		}
	}
}
