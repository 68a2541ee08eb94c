package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// massRun plays hundreds of balancers, their hosts and clients on one clock. One seed gives one run.
type massRun struct {
	plan     massPlan
	rng      *rand.Rand
	now      time.Duration
	events   massEvents
	order    int // of events
	serial   int // of requests
	all      []*massNode
	nodes    map[string][]*massNode // by zone
	parts    []float64              // of what comes to a zone, summed up
	hosts    map[string]*massHost
	started  []*massHost // all, in order of their start
	clients  []*massClient
	standing map[string]*massClient // by request
	second   massSecond             // the one that is under way
	result   massResult
}

// massEvent is what happens at a time; those of one time follow each other as they were made.
type massEvent struct {
	at    time.Duration
	order int
	do    func()
}

type massEvents []massEvent

func (e massEvents) Len() int { return len(e) }
func (e massEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e massEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *massEvents) Push(x any)   { *e = append(*e, x.(massEvent)) }
func (e *massEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after has something done after a span, or next where that is over.
func (f *massRun) after(span time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, massEvent{f.now + max(span, 0), f.order, do})
}

// each has something done once in each span.
func (f *massRun) each(span, first time.Duration, do func()) {
	f.after(first, func() {
		do()
		f.each(span, span, do)
	})
}

// playMass plays a plan to its end.
func playMass(plan massPlan) massResult {
	f := &massRun{plan: plan, now: t0, rng: rand.New(rand.NewPCG(plan.seed, 1)), hosts: map[string]*massHost{},
		nodes: map[string][]*massNode{}, standing: map[string]*massClient{}}
	var list []Server
	for i := range plan.hosts {
		list = append(list, f.start(i, 0).Server)
	}
	for i := range plan.balancers {
		f.addNode(i, list)
	}
	for i := range f.all {
		last := 0.0
		if i > 0 {
			last = f.parts[i-1]
		}
		f.parts = append(f.parts, last+1/math.Sqrt(float64(i+1)))
	}
	f.settle()
	f.arrive()
	f.each(hostTick, hostTick, f.work)
	f.each(sampleEvery, sampleEvery, f.sample)
	f.release()
	for end := t0 + plan.plays; f.now <= end; {
		e := heap.Pop(&f.events).(massEvent)
		f.now = e.at
		e.do()
	}
	return f.result
}

func (f *massRun) addNode(i int, list []Server) {
	zone := massZones[i%len(massZones)].name
	n := &massNode{run: f, zone: zone, lag: between(f.rng, 300*ms, 2500*ms), told: map[string]time.Duration{},
		asked: map[string]*massClient{}, known: map[string]*massReport{}}
	n.module = New(f.plan.settings(zone), f.plan.seed*7919+uint64(i), n)
	n.module.Members(t0, Full, list)
	f.all, f.nodes[zone] = append(f.all, n), append(f.nodes[zone], n)
	f.each(lookEvery, between(f.rng, 0, lookEvery), n.look)
}

// start has a host start, which reports from then on.
func (f *massRun) start(place int, started time.Duration) *massHost {
	h := f.plan.newHost(f.rng, len(f.started), place, started)
	f.hosts[h.ID], f.started = h, append(f.started, h)
	f.each(h.period, between(f.rng, 0, h.period), func() {
		load := h.load(f.now)
		f.after(h.late, func() { h.shown = load })
	})
	return h
}

func (f *massRun) capacity() (sum float64) {
	for _, h := range f.started {
		sum += h.capacity
	}
	return sum
}

// arrive has new clients come, as many as leave.
func (f *massRun) arrive() {
	mean := float64(f.plan.lasts()) / float64(f.plan.wanted)
	f.after(time.Duration(f.rng.ExpFloat64()*mean), func() {
		f.come(f.newClient(false))
		f.arrive()
	})
}

const (
	hostTick    = 50 * time.Millisecond
	sampleEvery = 100 * time.Millisecond
)

// work has a span pass at all hosts.
func (f *massRun) work() {
	for _, h := range f.started {
		if c := h.work(f.now, hostTick); c != nil {
			n := c.node
			f.second.Shed++
			f.fall(c, Reset)
			n.shed(h.ID)
		}
	}
}

// received has a host get a request, under which a cold one may fall.
func (f *massRun) received(h *massHost) {
	over := h.receive(f.now, f.all[0].module.settings, f.plan.lasts())
	f.second.ColdMost, f.second.ColdSent = max(f.second.ColdMost, len(h.sent)), max(f.second.ColdSent, over)
	if over > 1 && !h.down {
		f.result.Felled++
		h.down = true
		f.after(0, func() { f.sendAway(h, Reset) }) // danger: now would enter a module that is at work
	}
}

// sendAway ends all connections that stand at a host.
func (f *massRun) sendAway(h *massHost, result Result) {
	for _, c := range slices.Clone(h.clients) {
		f.fall(c, result)
	}
}

// tell has all balancers hear of a change of the list, each after its own time.
func (f *massRun) tell(s Server) {
	for _, n := range f.all {
		f.after(n.lag, func() {
			if _, before := n.told[s.ID]; s.State == Draining && !before {
				n.told[s.ID] = f.now
			}
			n.module.Members(f.now, Delta, []Server{s})
		})
	}
}

// release replaces a part of the hosts, one after the other.
func (f *massRun) release() {
	places := f.rng.Perm(f.plan.hosts)[:int(f.plan.joinPart*float64(f.plan.hosts))]
	for i, place := range places {
		at := f.plan.joinAt + f.plan.joinFor*time.Duration(i)/time.Duration(len(places))
		f.after(at, func() { f.replace(f.started[place]) })
	}
}

// replace has a host drain, which sends its clients away at once, and leave; another starts in its place.
func (f *massRun) replace(h *massHost) {
	h.draining, h.State = true, Draining
	f.tell(h.Server)
	f.sendAway(h, Cancelled)
	f.after(4*time.Second, func() {
		h.down, h.State = true, Gone
		f.tell(h.Server)
	})
	f.after(between(f.rng, 520*ms, 2300*ms), func() { f.tell(f.start(h.place, f.now).Server) })
}
