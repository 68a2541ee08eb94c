package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation plays hundreds of balancers with their hosts and clients in virtual time. Runs with the same seed are the
// same.
type simulation struct {
	plan             simPlan
	rng              *rand.Rand
	now              time.Duration
	events           simEvents
	eventCount       int // orders events of the same time
	requestCount     int
	balancers        []*simBalancer
	balancersByZone  map[string][]*simBalancer
	cumulativeShares []float64 // of the clients of a zone, by balancer
	hosts            map[string]*simHost
	allHosts         []*simHost // all that ever started, in order of their start
	clients          []*simClient
	established      map[string]*simClient // by request
	second           simSecond             // the second under way
	result           simResult
}

// simEvent is an action at a time. Events of the same time run in the order of their creation.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules an action after a span, or as the next one if the span is not positive.
func (f *simulation) after(span time.Duration, do func()) {
	f.eventCount++
	heap.Push(&f.events, simEvent{f.now + max(span, 0), f.eventCount, do})
}

// every runs an action after the time first, and then once per span.
func (f *simulation) every(span, first time.Duration, do func()) {
	f.after(first, func() {
		do()
		f.every(span, span, do)
	})
}

// runSimulation plays a plan to its end.
func runSimulation(plan simPlan) simResult {
	f := &simulation{plan: plan, now: t0, rng: rand.New(rand.NewPCG(plan.seed, 1)), hosts: map[string]*simHost{},
		balancersByZone: map[string][]*simBalancer{}, established: map[string]*simClient{}}
	var list []Server
	for i := range plan.hosts {
		list = append(list, f.startHost(i, 0).Server)
	}
	for i := range plan.balancers {
		f.addBalancer(i, list)
	}
	for i := range f.balancers {
		last := 0.0
		if i > 0 {
			last = f.cumulativeShares[i-1]
		}
		f.cumulativeShares = append(f.cumulativeShares, last+1/math.Sqrt(float64(i+1)))
	}
	f.placeInitialClients()
	f.scheduleArrivals()
	f.every(hostInterval, hostInterval, f.runHosts)
	f.every(sampleInterval, sampleInterval, f.sample)
	f.release()
	for end := t0 + plan.duration; f.now <= end; {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	return f.result
}

// addBalancer starts a balancer with a list.
func (f *simulation) addBalancer(i int, list []Server) {
	zone := simZones[i%len(simZones)].name
	n := &simBalancer{run: f, zone: zone, listDelay: between(f.rng, 300*ms, 2500*ms), drainNotifiedAt: map[string]time.Duration{},
		pending: map[string]*simClient{}, reports: map[string]*simReport{}}
	n.module = New(f.plan.settings(zone), f.plan.seed*7919+uint64(i), n)
	n.module.Members(t0, Full, list)
	f.balancers, f.balancersByZone[zone] = append(f.balancers, n), append(f.balancersByZone[zone], n)
	f.every(checkInterval, between(f.rng, 0, checkInterval), n.checkHosts)
}

// startHost starts a host, which reports its load from then on.
func (f *simulation) startHost(place int, started time.Duration) *simHost {
	h := f.plan.newHost(f.rng, len(f.allHosts), place, started)
	f.hosts[h.ID], f.allHosts = h, append(f.allHosts, h)
	f.every(h.reportInterval, between(f.rng, 0, h.reportInterval), func() {
		load := h.load(f.now)
		f.after(h.reportDelay, func() { h.publishedLoad = load })
	})
	return h
}

// capacity returns the summed capacity of all hosts.
func (f *simulation) capacity() (sum float64) {
	for _, h := range f.allHosts {
		sum += h.capacity
	}
	return sum
}

// scheduleArrivals makes new clients arrive at the rate at which clients leave.
func (f *simulation) scheduleArrivals() {
	mean := float64(f.plan.meanLifetime()) / float64(f.plan.connections)
	f.after(time.Duration(f.rng.ExpFloat64()*mean), func() {
		f.connect(f.newClient(false))
		f.scheduleArrivals()
	})
}

const (
	hostInterval   = 50 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
)

// runHosts passes a span of time at all hosts.
func (f *simulation) runHosts() {
	for _, h := range f.allHosts {
		if c := h.advance(f.now, hostInterval); c != nil {
			n := c.balancer
			f.second.Shed++
			f.breakOff(c, Reset)
			n.connectionDropped(h.ID)
		}
	}
}

// hostReceives counts a request at a host. A cold host may fail under it.
func (f *simulation) hostReceives(h *simHost) {
	ratio := h.receive(f.now, f.balancers[0].module.settings, f.plan.meanLifetime())
	f.second.ColdMax, f.second.ColdRatio = max(f.second.ColdMax, len(h.sentWhileCold)), max(f.second.ColdRatio, ratio)
	if ratio > 1 && !h.stopped {
		f.result.FailedHosts++
		h.stopped = true
		// later, as the module must not be called from within one of its calls
		f.after(0, func() { f.endConnections(h, Reset) })
	}
}

// endConnections ends all connections at a host.
func (f *simulation) endConnections(h *simHost, result Result) {
	for _, c := range slices.Clone(h.clients) {
		f.breakOff(c, result)
	}
}

// publish delivers a change of the list to all balancers, to each after its delay.
func (f *simulation) publish(s Server) {
	for _, n := range f.balancers {
		f.after(n.listDelay, func() {
			if _, before := n.drainNotifiedAt[s.ID]; s.State == Draining && !before {
				n.drainNotifiedAt[s.ID] = f.now
			}
			n.module.Members(f.now, Delta, []Server{s})
		})
	}
}

// release replaces a share of the hosts one after the other.
func (f *simulation) release() {
	places := f.rng.Perm(f.plan.hosts)[:int(f.plan.releaseShare*float64(f.plan.hosts))]
	for i, place := range places {
		at := f.plan.releaseStart + f.plan.releaseSpan*time.Duration(i)/time.Duration(len(places))
		f.after(at, func() { f.replaceHost(f.allHosts[place]) })
	}
}

// replaceHost makes a host drain, which ends its connections at once, and leave. Another one starts in its position.
func (f *simulation) replaceHost(h *simHost) {
	h.draining, h.State = true, Draining
	f.publish(h.Server)
	f.endConnections(h, Cancelled)
	f.after(4*time.Second, func() {
		h.stopped, h.State = true, Gone
		f.publish(h.Server)
	})
	f.after(between(f.rng, 520*ms, 2300*ms), func() { f.publish(f.startHost(h.position, f.now).Server) })
}
