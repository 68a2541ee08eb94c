package lab

import (
	"cmp"
	"container/heap"
	"fmt"
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
	gather    *placement.Gatherer       // of what balancers see, where the experiment records
	victims   map[string]bool           // carriers that a fault is aimed at, or whose cell is
	weight    map[string]float64
}

// Harm is how many connections an experiment harmed, of the carriers that the faults are aimed at, and of all others.
type Harm struct {
	Stricken, Others Tally
	Answers          int // final answers, of all tries
	Lost, Doubled    int // tries without a final answer, or with a second one
	Foreign          int // attempts at a host outside the client's cell
	Fallen           int // cold hosts pushed over
	Worth            Worth
	Decisions        int // requests and outcomes
	Busy             time.Duration
}

// Worth is the operators' way to count: a seat-set's second is worth two of a lookup's.
type Worth struct {
	Asked, Well     float64 // seconds asked for, and those in which messages came within the aim
	Placed, Crossed int     // connections, and those in another room than their client's
	Joined, HeldBy  int     // connections counted, and by how many hosts their flights were then held in all
	Moves           int
}

// Service is the share of what was asked for that was served well.
func (w Worth) Service() float64 { return w.Well / max(w.Asked, 1e-9) }

// Crossings is the share of connections that cross rooms.
func (w Worth) Crossings() float64 { return float64(w.Crossed) / max(float64(w.Placed), 1) }

// Split is on how many hosts a connection's flight stands.
func (w Worth) Split() float64 { return float64(w.HeldBy) / max(float64(w.Joined), 1) }

func worthOf(class string) float64 {
	if class == "seat-set" {
		return 2
	}
	return 1
}

// Tally counts connections and what harmed them; one may be harmed in several ways.
type Tally struct{ Connections, Harmed, Unserved, Broken, Late, Slow int }

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

type virtualHost struct {
	*Machine
	standing []*virtualClient
}

type virtualClient struct {
	arrival
	id       string
	try      int
	came     time.Duration // its first try
	tryAt    time.Duration
	home     *virtualBalancer
	host     *virtualHost
	index    int // among those that stand there
	upAt     time.Duration
	slowAt   time.Duration
	weight   float64
	finals   int
	returned bool
	harm     [4]bool // unserved, broken, late, slow
	again    bool    // its seconds are asked for already
}

type virtualBalancer struct {
	v       *Virtual
	index   int
	room    string
	weigher *placement.Weigher
	fleet   *cells.Fleet
	clients map[string]*virtualClient
}

const virtualStart = 1e6 * time.Second // of the clock: 0 would mean long ago

// NewVirtual makes a world; without cells, the plan of the experiment is left out.
func NewVirtual(exp *Experiment, seed uint64, withCells bool) *Virtual {
	v := &Virtual{exp: exp, rng: rand.New(rand.NewPCG(seed, 7)), now: virtualStart, machines: map[string]*virtualHost{},
		specs: exp.Fleet(seed), held: map[uint64]map[string]int{}, victims: map[string]bool{}, weight: map[string]float64{}}
	var list []policy.Server
	for _, s := range v.specs {
		v.machines[s.ID] = &virtualHost{Machine: NewMachine(s, 800*time.Millisecond)}
		list = append(list, v.server(s, policy.Ready))
	}
	if exp.Plan != nil {
		v.cellOf = exp.Plan.Deal(list) // faults strike the same hosts in both runs
		if withCells {
			v.plan = exp.Plan
		}
	}
	for i := range exp.Balancers {
		b := &virtualBalancer{v: v, index: i, room: exp.balancerRoom(i), clients: map[string]*virtualClient{}}
		b.weigher = placement.NewWeigher(exp.Placed, b.room)
		set := Settings(exp.Balancers)
		set.Zone = b.room
		b.fleet = cells.New(set, seed+uint64(i), b, v.plan)
		b.members(policy.Full, list)
		v.balancers = append(v.balancers, b)
	}
	for _, f := range exp.Faults {
		for i, c := range exp.carriers() {
			if c.Name == f.Carrier || f.Cell != "" && f.Kind != "heavy" && exp.Plan != nil && exp.Plan.Home(0, c.Name, uint64(i)) == f.Cell {
				v.victims[c.Name] = true
			}
		}
	}
	return v
}

// Settings are those that the operators' pages give.
func Settings(siblings int) policy.Settings {
	ms := time.Millisecond
	return policy.Settings{MaxAttempts: 6, Siblings: siblings, Tick: 4 * ms, AskWithin: 10 * time.Second, DrainGrace: 300 * ms,
		ColdFrom: coldFrom, WarmAfter: warmAfter, OverloadFactor: fallMultiple, Fall: fallAfter, Classes: map[string]policy.Class{
			"lookup": {Aim: 300 * ms, MessageAim: 250 * ms}, "seat-set": {Aim: 300 * ms, MessageAim: 50 * ms}}}
}

func (v *Virtual) server(s Spec, state policy.State) policy.Server {
	return policy.Server{ID: s.ID, Zone: s.Room, Kind: s.Kind, Cell: s.Number, State: state, Weight: v.exp.size(s),
		Started: v.machines[s.ID].Started}
}

func (v *Virtual) at(when time.Duration, do func()) {
	v.seq++
	heap.Push(&v.queue, event{max(when, v.now), v.seq, do})
}

// Run plays it to its end.
func (v *Virtual) Run() Harm {
	began := time.Now() // only told, never decided on
	end := v.now + span(v.exp.Duration)
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
		v.gather = placement.NewGatherer(placement.UsualClasses(), placement.Usual().Piece, time.Second)
	}
	for _, b := range v.balancers {
		v.at(v.now+time.Second, func() { b.delays() })
		if v.gather != nil {
			v.at(v.now+span(v.exp.Settle), func() { b.record() })
		}
	}
	for len(v.queue) > 0 && v.queue[0].at <= end+5*time.Second {
		e := heap.Pop(&v.queue).(event)
		v.now = e.at
		e.do()
	}
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
	v.Result.Busy = time.Since(began)
	return v.Result
}

// open is one try of a client, at a balancer of the front's choice.
func (v *Virtual) open(c *virtualClient) {
	b := v.balancers[v.rng.IntN(len(v.balancers))]
	if room := v.exp.room(&c.arrival); room != "" {
		for range v.balancers {
			if b.room == room {
				break
			}
			b = v.balancers[(b.index+1)%len(v.balancers)]
		}
	}
	if c.try == 0 && !c.again {
		v.Result.Worth.Asked += worthOf(c.class) * min(c.life, virtualStart+span(v.exp.Duration)-v.now).Seconds()
	}
	v.next++
	c.id, c.home, c.tryAt, c.finals = fmt.Sprintf("%x", v.next), b, v.now, 0
	b.clients[c.id] = c
	v.Result.Decisions++
	b.fleet.Request(v.now, policy.Request{ID: c.id, Class: c.class, Key: c.group, HasKey: true, TTL: 1200 * time.Millisecond,
		Returned: c.returned, Tenant: c.carrier})
}

// final notes a final answer.
func (v *Virtual) final(c *virtualClient) {
	v.Result.Answers++
	if c.finals++; c.finals > 1 {
		v.Result.Doubled++
	}
}

// again has a client that was refused or failed come again, twice at the most.
func (v *Virtual) again(c *virtualClient, after time.Duration) {
	delete(c.home.clients, c.id)
	if c.try++; c.try > 2 {
		c.harm[0] = true
		v.count(c)
		return
	}
	v.at(v.now+after+time.Duration(v.rng.Float64()*100)*time.Millisecond, func() { v.open(c) })
}

// done ends a connection that stood; count closes a client's account.
func (v *Virtual) done(c *virtualClient) {
	h := c.host
	h.Close(v.now, c.weight, c.group)
	end := min(v.now, virtualStart+span(v.exp.Duration))
	v.Result.Worth.Well += worthOf(c.class) * max(end-c.upAt-(h.Slow()-c.slowAt), 0).Seconds()
	if held := v.held[c.group]; held[h.ID] > 1 {
		held[h.ID]--
	} else if delete(held, h.ID); len(held) == 0 {
		delete(v.held, c.group)
	}
	if slow := h.Slow() - c.slowAt; slow > time.Second && slow*10 > v.now-c.upAt {
		c.harm[3] = true
	}
	last := len(h.standing) - 1
	h.standing[c.index] = h.standing[last]
	h.standing[c.index].index = c.index
	h.standing[last] = nil
	h.standing = h.standing[:last]
	c.host = nil
	delete(c.home.clients, c.id)
	v.count(c)
}

func (v *Virtual) count(c *virtualClient) {
	if c.extra {
		return // the hot key's own
	}
	t := &v.Result.Others
	if v.victims[c.carrier] {
		t = &v.Result.Stricken
	}
	t.Connections++
	for i, n := range []*int{&t.Unserved, &t.Broken, &t.Late, &t.Slow} {
		if c.harm[i] {
			*n++
		}
	}
	if c.harm != [4]bool{} {
		t.Harmed++
	}
}

// broken takes that a connection that stood has ended before its time: the client comes again for the rest of it.
func (v *Virtual) broken(c *virtualClient) {
	rest := c.life - (v.now - c.upAt)
	c.harm[1] = true
	v.done(c)
	if rest > 0 {
		next := &virtualClient{arrival: c.arrival, returned: true}
		next.life, next.extra, next.again = rest, true, true // its account is closed
		v.at(v.now+time.Duration(74+v.rng.IntN(1226))*time.Millisecond, func() { next.came = v.now; v.open(next) })
	}
}

// ---- policy.Host ----

const hop = time.Millisecond

func (b *virtualBalancer) Send(request, server string, timeout time.Duration) {
	v, c, m := b.v, b.clients[request], b.v.machines[server]
	if v.plan != nil && c != nil && v.cellOf[server] != v.plan.Home(v.now, c.carrier, c.group) {
		v.Result.Foreign++
	}
	outcome := func(after time.Duration, r policy.Result) {
		v.at(v.now+after, func() {
			v.Result.Decisions++
			b.fleet.Outcome(v.now, request, r, false)
		})
	}
	if c == nil || m == nil {
		outcome(0, policy.Moot)
		return
	}
	m.Advance(v.now)
	took := hop + m.Setup(v.now)
	switch {
	case !m.Up:
		outcome(hop, policy.ConnectFailed)
	case took > timeout:
		outcome(timeout, policy.Timeout)
	default:
		v.at(v.now+took, func() { b.arrive(c, m, outcome) })
	}
}

// arrive is the moment in which a desk host answers.
func (b *virtualBalancer) arrive(c *virtualClient, m *virtualHost, outcome func(time.Duration, policy.Result)) {
	v := b.v
	c.weight = c.load * max(v.weight[c.carrier], 1)
	switch m.Open(v.now, c.weight, c.group, v.rng.Float64()) {
	case Full:
		outcome(hop, policy.TurnedAway)
		return
	case Fails:
		outcome(hop, policy.Error)
		return
	}
	v.final(c)
	w := &v.Result.Worth
	if w.Placed++; v.exp.Skew > 0 && m.Room != v.exp.room(&c.arrival) {
		w.Crossed++
	}
	if v.held[c.group] == nil {
		v.held[c.group] = map[string]int{}
	}
	v.held[c.group][m.ID]++
	if v.now >= virtualStart+span(v.exp.Settle) {
		w.Joined++
		w.HeldBy += len(v.held[c.group])
	}
	c.host, c.upAt, c.slowAt, c.index = m, v.now, m.Slow(), len(m.standing)
	m.standing = append(m.standing, c)
	if v.now-c.came > 300*time.Millisecond {
		c.harm[2] = true
	}
	b.fleet.First(v.now, c.id)
	id := c.id
	v.at(v.now+c.life, func() {
		if c.id == id && c.host != nil {
			v.done(c)
			v.Result.Decisions++
			b.fleet.Outcome(v.now, id, policy.OK, true)
		}
	})
}

func (b *virtualBalancer) Refuse(request string, after time.Duration) {
	if c := b.clients[request]; c != nil {
		b.v.final(c)
		b.v.again(c, min(after, 600*time.Millisecond))
	}
}

func (b *virtualBalancer) Fail(request string) { b.Refuse(request, 0) }

func (b *virtualBalancer) Move(request string) {
	b.v.at(b.v.now, func() {
		if c := b.clients[request]; c != nil && c.host != nil {
			b.v.Result.Worth.Moves++
			b.v.broken(c)
			b.fleet.Outcome(b.v.now, request, policy.Cancelled, true)
		}
	})
}

func (b *virtualBalancer) Wake(at time.Duration, name int64) {
	b.v.at(at, func() { b.fleet.Wake(b.v.now, name) })
}
func (b *virtualBalancer) Tell(uint32, time.Duration) {}
func (b *virtualBalancer) Ask(string)                 {}
func (b *virtualBalancer) Watch(bool)                 {}
func (b *virtualBalancer) Log(string)                 {}

// delays tells of desk hosts at which messages take over a third of the shortest aim, once a second.
func (b *virtualBalancer) delays() {
	v := b.v
	for _, s := range v.specs {
		m := v.machines[s.ID]
		if m.Advance(v.now); m.Up && m.conns > 0 {
			if took := m.Message(v.now); took > messageAim/3 {
				b.fleet.Delay(v.now, s.ID, took)
			}
		}
	}
	v.at(v.now+time.Second, b.delays)
}

// ---- Faults ----

// news tells all balancers of hosts, each a little later than the other.
func (v *Virtual) news(after time.Duration, list ...policy.Server) {
	for _, b := range v.balancers {
		v.at(v.now+after+time.Duration(v.rng.IntN(300))*time.Millisecond, func() { b.members(policy.Delta, list) })
	}
}

// members tells a balancer of the list, weighed by its plan.
func (b *virtualBalancer) members(kind policy.MembersKind, list []policy.Server) {
	b.fleet.Members(b.v.now, kind, b.weigher.Take(b.v.now, kind, list))
}

// record notes once a second what a balancer sees.
func (b *virtualBalancer) record() {
	v := b.v
	rec := &placement.Record{Version: 1, At: v.now.Milliseconds(), Balancer: fmt.Sprint("n", b.index), Room: b.room}
	for _, s := range v.specs {
		m := v.machines[s.ID]
		h := placement.RecordedHost{ID: s.ID, Room: s.Room, Kind: s.Kind, Started: m.Started.Milliseconds(), Age: -1}
		if m.Up {
			h.X0, h.Age = m.Report(v.now).X0, 0
		}
		rec.Hosts = append(rec.Hosts, h)
	}
	for _, id := range slices.Sorted(maps.Keys(b.clients)) {
		if c := b.clients[id]; c.host != nil {
			rec.Count(c.group, c.carrier, c.host.ID, c.class)
		}
	}
	v.gather.Add(rec)
	v.at(v.now+time.Second, b.record)
}

func (v *Virtual) stop(s Spec) {
	m := v.machines[s.ID]
	standing := slices.Clone(m.standing)
	for _, c := range standing {
		b, id := c.home, c.id
		v.broken(c)
		v.Result.Decisions++
		b.fleet.Outcome(v.now, id, policy.Reset, true)
	}
	m.Stop(v.now)
}

func (v *Virtual) fault(f Fault) {
	hit, until := f.hit(v.rng, v.specs, v.cellOf), span(f.For)
	switch f.Kind {
	case "crash":
		for _, s := range hit {
			v.stop(s)
			v.news(2*time.Second, v.server(s, policy.Gone))
			v.at(v.now+until, func() { v.back(s) })
		}
	case "deploy":
		for i, s := range hit {
			batch := time.Duration(i/max(len(hit)/5, 1)) * until / 5
			v.at(v.now+batch, func() { v.news(0, v.server(s, policy.Draining)) })
			v.at(v.now+batch+4*time.Second, func() { v.stop(s) })
			v.at(v.now+batch+5*time.Second, func() { v.back(s) })
		}
	case "drain":
		for _, s := range hit {
			v.news(0, v.server(s, policy.Draining))
			v.at(v.now+until, func() {
				v.stop(s)
				v.news(0, v.server(s, policy.Gone))
				if f.Size > 0 {
					v.at(v.now+time.Second, func() { v.back(s) })
				}
			})
		}
	case "errors":
		for _, s := range hit {
			v.machines[s.ID].ErrorRate = f.Size
			v.at(v.now+until, func() { v.machines[s.ID].ErrorRate = 0 })
		}
	case "heavy":
		v.weight[f.Carrier] = f.Size
		v.at(v.now+until, func() { v.weight[f.Carrier] = 1 })
	case "drop":
		var all []*virtualClient
		for _, s := range v.specs {
			all = append(all, v.machines[s.ID].standing...)
		}
		for _, c := range all {
			if (f.Carrier == "" || c.carrier == f.Carrier) && v.rng.Float64() < f.Part {
				b, id := c.home, c.id
				v.broken(c)
				b.fleet.Outcome(v.now, id, policy.Cancelled, true)
			}
		}
	}
}

func (v *Virtual) back(s Spec) {
	v.machines[s.ID].Start(v.now)
	v.news(time.Second, v.server(s, policy.Ready))
}

// Churn plays comings and goings on the dealing alone: a part of the hosts is replaced by others, one at a time. It
// tells how many of those that stay changed their cell, how many had to by the quotas alone, and how many a plain
// rendezvous without quotas would have left uneven: the largest cell over the mean.
func Churn(exp *Experiment, seed uint64, part float64) (changes, moved, least int, plainWorst float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	v := &Virtual{exp: exp, machines: map[string]*virtualHost{}}
	var list []policy.Server
	for _, s := range exp.Fleet(seed) {
		v.machines[s.ID] = &virtualHost{Machine: NewMachine(s, time.Second)}
		list = append(list, v.server(s, policy.Ready))
	}
	before := exp.Plan.Deal(list)
	for range int(part * float64(len(list))) {
		for step := range 2 {
			i := rng.IntN(len(list))
			if step == 0 {
				list = slices.Delete(list, i, i+1)
			} else {
				fresh := list[i]
				fresh.ID = fmt.Sprintf("s-%08x", rng.Uint32())
				list = append(list, fresh)
			}
			changes++
			after := exp.Plan.Deal(list)
			now, kept := sizes(after), map[string]int{}
			for id, c := range after {
				if was, stayed := before[id]; stayed {
					kept[was]++
					if was != c {
						moved++
					}
				}
			}
			for c, n := range kept {
				least += max(n-now[c], 0)
			}
			before = after
		}
	}
	count := map[string]int{}
	for _, s := range list {
		best := slices.MinFunc(exp.Plan.Cells, func(a, b cells.Cell) int { return cmp.Compare(cells.Cost(s.ID, a), cells.Cost(s.ID, b)) })
		count[best.Name]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return changes, moved, least, float64(most) * float64(len(exp.Plan.Cells)) / float64(len(list))
}

func sizes(dealt map[string]string) map[string]int {
	out := map[string]int{}
	for _, c := range dealt {
		out[c]++
	}
	return out
}
