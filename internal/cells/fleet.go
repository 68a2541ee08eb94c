package cells

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"tealtiller/policy"
)

// Fleet is the decision modules of all cells behind one face, that of a single policy.Balancer. Each cell has a
// module of its own, told only of the cell's desk hosts: its ranking is the exact one of that list, and neither its
// doubts nor its refusals know of another cell's trouble. What belongs to a request or to a desk host does not
// multiply: a request is in one module at a time and takes its attempts along, a desk host is in one cell and loses
// its cold budget with a change, the ration of attempts is split, and one module alone watches discovery.
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
	left    map[string]absent // hosts that have left the list, while their place is kept
	dealAt  time.Duration     // when the first of them is given up
	owners  map[string]*cell  // of listed desk hosts
	entries map[string]*entry
	flights map[uint64]map[*cell]int // where a flight's connections stand
	movers  map[string][]*entry      // standing connections by carrier
	tickAt  time.Duration
	credit  map[string]float64 // of moves, by carrier
	paused  map[string]bool
	ticked  time.Duration
}

type cell struct {
	fleet  *Fleet
	name   string
	number int64
	limits Cell
	module *policy.Balancer
	hosts  int // listed and neither draining nor gone
	open   int // requests and connections, guests included
	stands int
	guests int
	due    time.Duration // when the next open fits OpensPerSecond
	count  Counts
}

// Counts are what a cell has done since the process started.
type Counts struct {
	Full, TooFast, NoHost int64 // refused by the cell's limits, or for want of a desk host in service
	Refused               int64 // refused by its module
	Overflowed            int64 // sent to another cell instead
	Moved                 int64 // clients told to move as their carrier leaves the cell
}

// Figures are what an operator reads of a cell.
type Figures struct {
	Name          string
	Open          int // connections that stand or are being set up
	Guests        int // of them those that overflowed from other cells
	Hosts, Usable int // in the list; of them those that the module does not avoid
	MovesLeft     int // connections standing here whose flight belongs, or will belong, in another cell by a move
	Counts
}

type absent struct {
	policy.Server
	until time.Duration
}

type entry struct {
	q        policy.Request
	cell     *cell
	from     *cell // the cell that it overflowed from
	deadline time.Duration
	attempts int
	server   string // of the last attempt
	out      bool   // an attempt, or the connection that it brought up
	stands   bool
	gone     bool
	astray   bool // mid-flow, tried first in a cell that is not its home
	told     bool // to move
	index    int  // in movers
}

// New makes a Fleet; plan may be nil.
func New(set policy.Settings, seed uint64, host policy.Host, plan *Plan) *Fleet {
	f := &Fleet{set: set, seed: seed, host: host, numbers: map[int64]*cell{}, listed: map[string]policy.Server{}, left: map[string]absent{},
		owners: map[string]*cell{}, entries: map[string]*entry{}, flights: map[uint64]map[*cell]int{},
		movers: map[string][]*entry{}, credit: map[string]float64{}, paused: map[string]bool{}}
	f.root = f.add("")
	f.cells = []*cell{f.root}
	if plan != nil && len(plan.Cells) > 0 {
		f.arrange(plan)
		f.adopt()
	}
	return f
}

func (f *Fleet) add(name string) *cell {
	c := &cell{fleet: f, name: name, number: f.next}
	f.next++
	f.numbers[c.number] = c
	seed := f.seed
	if c.number > 0 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		seed ^= Mix(h.Sum64())
	}
	c.module = policy.New(f.settings(c), seed, c)
	return c
}

// settings are a cell's: the ration of attempts is split, and one alone asks for the list.
func (f *Fleet) settings(c *cell) policy.Settings {
	set := f.set
	if n := len(f.cells); n > 1 {
		set.SpareAttempts /= float64(n)
	}
	if c != f.root && f.root != nil {
		set.MustAsk = false
	}
	return set
}

func (f *Fleet) adopt() {
	for _, c := range f.numbers {
		c.module.Adopt(f.settings(c))
	}
}

// Adopt takes other settings from now on.
func (f *Fleet) Adopt(set policy.Settings) {
	f.set = set
	f.adopt()
}

// arrange makes the cells of a plan, keeping those that have a name in it.
func (f *Fleet) arrange(plan *Plan) {
	f.plan = plan
	old := map[string]*cell{}
	for _, c := range f.cells {
		old[c.name] = c
	}
	f.cells = nil
	if plan == nil {
		f.root.name, f.root.limits = "", Cell{}
		f.cells = []*cell{f.root}
		return
	}
	wanted := func(name string) bool {
		return slices.ContainsFunc(plan.Cells, func(c Cell) bool { return c.Name == name })
	}
	if !wanted(f.root.name) {
		delete(old, f.root.name)
		f.root.name, f.root.limits = "", Cell{}
		if old[plan.Default] == nil {
			f.root.name = plan.Default
			old[plan.Default] = f.root
		}
	}
	for _, want := range plan.Cells {
		c := old[want.Name]
		if c == nil {
			c = f.add(want.Name)
		}
		c.limits = want
		f.cells = append(f.cells, c)
	}
}

// Replan takes another plan from now on; nil, or one without cells, is none. What stands goes on where it is, and
// ends with the module that placed it.
func (f *Fleet) Replan(now time.Duration, plan *Plan) {
	if plan != nil && len(plan.Cells) == 0 {
		plan = nil
	}
	if plan == nil && f.plan == nil {
		return
	}
	if f.plan == nil {
		for id := range f.listed {
			f.owners[id] = f.root
		}
	}
	f.arrange(plan)
	f.adopt()
	clear(f.left)
	f.credit, f.paused = map[string]float64{}, map[string]bool{}
	f.deal(now)
	f.tally()
	f.retire()
	if plan == nil {
		f.host.Log("cells: off")
		return
	}
	f.host.Log(fmt.Sprintf("cells: a plan of %d cells and %d moves is in force", len(plan.Cells), len(plan.Moves)))
	f.tickAt = 0
	f.tickBy(now, now)
}

// retire forgets cells that are in no plan once nothing of theirs is left.
func (f *Fleet) retire() {
	for number, c := range f.numbers {
		if c != f.root && c.open == 0 && !slices.Contains(f.cells, c) {
			delete(f.numbers, number)
		}
	}
}

func (f *Fleet) named(name string) *cell {
	for _, c := range f.cells {
		if c.name == name {
			return c
		}
	}
	return f.root
}

// ---- The list of desk hosts ----

// Members tells what is new of the list.
func (f *Fleet) Members(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	if kind == policy.Failed {
		f.root.module.Members(now, kind, nil)
		return
	}
	if f.plan == nil {
		f.root.module.Members(now, kind, entries)
		f.note(now, kind, entries)
		return
	}
	if f.redealt(kind, entries) {
		f.note(now, kind, entries)
		f.deal(now)
	} else {
		f.note(now, kind, entries)
	}
	f.tickBy(now, now)
	parts := map[*cell][]policy.Server{}
	if kind == policy.Delta {
		for _, e := range entries {
			if e.State == policy.Gone {
				for _, c := range f.numbers { // whoever knows it
					parts[c] = append(parts[c], e)
				}
				continue
			}
			parts[f.owners[e.ID]] = append(parts[f.owners[e.ID]], e)
		}
	} else {
		for _, e := range entries {
			if c := f.owners[e.ID]; c != nil {
				parts[c] = append(parts[c], e)
			}
		}
	}
	for _, c := range f.inOrder() {
		if part := parts[c]; len(part) > 0 || kind != policy.Delta || c == f.root {
			c.module.Members(now, kind, part)
		}
	}
	f.tally()
}

// redealt tells whether a list has a host come or go, or changes what dealing depends on.
func (f *Fleet) redealt(kind policy.MembersKind, entries []policy.Server) bool {
	for _, e := range entries {
		was, known := f.listed[e.ID]
		if e.State == policy.Gone != !known || known && (was.Cell != e.Cell || was.Zone != e.Zone || was.Kind != e.Kind) {
			return true
		}
	}
	return kind != policy.Delta && len(entries) != len(f.listed)
}

// inOrder is all cells, those of earlier plans included, in an order that does not depend on chance.
func (f *Fleet) inOrder() []*cell {
	out := make([]*cell, 0, len(f.numbers))
	for _, c := range f.numbers {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *cell) int { return cmp.Compare(a.number, b.number) })
	return out
}

// note keeps the list as told.
func (f *Fleet) note(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	before := f.listed
	if kind != policy.Delta {
		f.listed = make(map[string]policy.Server, len(entries))
	}
	for _, e := range entries {
		if e.State != policy.Gone {
			f.listed[e.ID] = e
			delete(f.left, e.ID)
		} else if s, ok := before[e.ID]; ok {
			f.leaves(now, s)
			delete(f.listed, e.ID)
		}
	}
	if kind == policy.Delta {
		return
	}
	for id, s := range before {
		if _, ok := f.listed[id]; !ok {
			f.leaves(now, s)
		}
	}
}

// leaves keeps the place of a host that is gone.
func (f *Fleet) leaves(now time.Duration, s policy.Server) {
	delete(f.owners, s.ID)
	if f.plan != nil && f.plan.Keep > 0 {
		f.left[s.ID] = absent{s, now + f.plan.Keep}
	}
}

// deal gives each listed desk host to its cell. One that changes its cell is taken from the old one's module at
// once, so that never two send to it, and comes to the new one with its cold budget spent.
func (f *Fleet) deal(now time.Duration) {
	hosts := make([]policy.Server, 0, len(f.listed)+len(f.left))
	for _, s := range f.listed {
		hosts = append(hosts, s)
	}
	next := time.Duration(0)
	for id, a := range f.left {
		if a.until <= now {
			delete(f.left, id)
			continue
		}
		hosts = append(hosts, a.Server)
		if next == 0 || a.until < next {
			next = a.until
		}
	}
	if next > 0 && (f.dealAt == 0 || next < f.dealAt) {
		f.dealAt = next
		f.host.Wake(next, timerDeal)
	}
	slices.SortFunc(hosts, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	var dealt map[string]string
	if f.plan != nil {
		dealt = f.plan.Deal(hosts)
	}
	moved := 0
	for _, s := range hosts {
		if _, there := f.listed[s.ID]; !there {
			continue
		}
		to := f.root
		if f.plan != nil {
			to = f.named(dealt[s.ID])
		}
		from := f.owners[s.ID]
		f.owners[s.ID] = to
		if from == nil || from == to {
			continue
		}
		moved++
		from.module.Drop(s.ID)
		to.module.Join(now, s)
	}
	if moved > 0 {
		f.host.Log(fmt.Sprintf("cells: %d of %d desk hosts changed their cell", moved, len(f.listed)))
	}
}

// tally counts the desk hosts in service of each cell.
func (f *Fleet) tally() {
	for _, c := range f.numbers {
		c.hosts = 0
	}
	for id, c := range f.owners {
		if f.listed[id].State == policy.Ready {
			c.hosts++
		}
	}
}

// ---- Requests ----

// Request takes a client's request: it goes to its cell's module, or where that is full to the one that it
// overflows to, or is refused at once.
func (f *Fleet) Request(now time.Duration, q policy.Request) {
	c, from, astray := f.root, (*cell)(nil), false
	if f.plan != nil {
		home, other, since := f.plan.home(now, q.Tenant, q.Key)
		c = f.named(home)
		if q.MidFlow {
			c = f.holder(now, q.Key, c, other, since)
			astray = c.name != home
		} else if wait, why := f.refusal(now, c); wait > 0 {
			if from, c = c, f.overflow(now, c); c == nil {
				*why++
				f.host.Refuse(q.ID, wait+spread(q.ID, wait))
				return
			}
		}
	}
	f.enter(q, c, from, now).astray = astray
	c.module.Request(now, q)
}

// holder is the cell in which a flight's mid-flow arrivals are tried first: of those where it may stand, the one
// where most of its connections do that this balancer knows of; without any, the old cell until the connections had
// time to follow their flight.
func (f *Fleet) holder(now time.Duration, flight uint64, home *cell, other string, since time.Duration) *cell {
	best := home
	stand := f.flights[flight]
	if other != "" {
		o := f.named(other)
		recent := since > math.MinInt64 && now-since < f.follow(home.name, other)
		if n := stand[o]; n > stand[home] || n == 0 && stand[home] == 0 && recent {
			best = o
		}
	}
	if to := home.limits.OverflowTo; to != "" && stand[f.named(to)] > stand[best] {
		best = f.named(to)
	}
	return best
}

// follow is how long connections take to follow their flight, as planned.
func (f *Fleet) follow(a, b string) time.Duration {
	for _, m := range f.plan.Moves {
		if m.From == a && m.To == b || m.From == b && m.To == a {
			return time.Duration(float64(m.Span) * (1 - crossing))
		}
	}
	return 0
}

// refusal tells whether a cell takes nothing new now, for how long about (0 if it does), and what would count it.
func (f *Fleet) refusal(now time.Duration, c *cell) (wait time.Duration, why *int64) {
	switch {
	case c.hosts == 0 && !f.set.OnlyDrainingBinds: // else the module may know better than the list
		return f.away(), &c.count.NoHost
	case c.limits.Connections > 0 && c.open >= f.part(c.limits.Connections):
		return f.away(), &c.count.Full
	case c.limits.OpensPerSecond > 0:
		if wait := c.due - now; wait > 0 {
			return wait, &c.count.TooFast
		}
		each := time.Duration(float64(time.Second) * float64(max(f.set.Siblings, 1)) / c.limits.OpensPerSecond)
		c.due = max(c.due+each, now+2*each-max(time.Second, each)) // a second's worth may come at once
	}
	return 0, nil
}

// away is how long a client stays away where nothing tells when there is room.
func (f *Fleet) away() time.Duration {
	longest := 100 * time.Millisecond
	for _, c := range f.set.Classes {
		longest = max(longest, c.Aim)
	}
	return 2 * longest
}

// spread is a part of a span by chance, the same for the same request.
func spread(id string, span time.Duration) time.Duration {
	return time.Duration(unit(id, "") * float64(span))
}

// part is this balancer's part of a limit of the whole fleet; together they may be over it by one each.
func (f *Fleet) part(limit int) int {
	n := max(f.set.Siblings, 1)
	return (limit + n - 1) / n
}

// overflow is the cell that takes what its own cannot; nil if none does. Guests go no further.
func (f *Fleet) overflow(now time.Duration, from *cell) *cell {
	if from.limits.OverflowTo == "" {
		return nil
	}
	to := f.named(from.limits.OverflowTo)
	if to.guests >= f.part(to.limits.Guests) || to.limits.Guests == 0 {
		return nil
	}
	if wait, _ := f.refusal(now, to); wait > 0 {
		return nil
	}
	from.count.Overflowed++
	return to
}

func (f *Fleet) enter(q policy.Request, c, from *cell, now time.Duration) *entry {
	e := &entry{q: q, cell: c, from: from, deadline: now + q.TTL, attempts: q.Made}
	f.entries[q.ID] = e
	c.open++
	if from != nil {
		c.guests++
	}
	return e
}

func (f *Fleet) leave(id string) {
	e := f.entries[id]
	if e == nil {
		return
	}
	f.fall(e)
	delete(f.entries, id)
	e.cell.open--
	if e.from != nil {
		e.cell.guests--
	}
	if e.cell.open == 0 && !slices.Contains(f.cells, e.cell) {
		f.retire()
	}
}

// stand counts a connection that stands, fall one that does no longer.
func (f *Fleet) stand(e *entry) {
	if e.stands {
		return
	}
	e.stands = true
	e.cell.stands++
	at := f.flights[e.q.Key]
	if at == nil {
		at = map[*cell]int{}
		f.flights[e.q.Key] = at
	}
	at[e.cell]++
	e.index = len(f.movers[e.q.Tenant])
	f.movers[e.q.Tenant] = append(f.movers[e.q.Tenant], e)
}

func (f *Fleet) fall(e *entry) {
	if !e.stands {
		return
	}
	e.stands = false
	e.cell.stands--
	at := f.flights[e.q.Key]
	if at[e.cell]--; at[e.cell] == 0 {
		if delete(at, e.cell); len(at) == 0 {
			delete(f.flights, e.q.Key)
		}
	}
	all := f.movers[e.q.Tenant]
	last := all[len(all)-1]
	all[e.index], last.index = last, e.index
	all[len(all)-1] = nil
	if f.movers[e.q.Tenant] = all[:len(all)-1]; len(all) == 1 {
		delete(f.movers, e.q.Tenant)
	}
}

// Open counts a connection that stood at a desk host when this process started, or that another process brought up.
func (f *Fleet) Open(now time.Duration, q policy.Request, server string) {
	c := f.owners[server]
	if c == nil {
		c = f.root
	}
	e := f.enter(q, c, nil, now)
	e.attempts, e.out, e.server = 1, true, server
	f.stand(e)
	c.module.Open(now, q, server)
}

// First tells that a connection stands.
func (f *Fleet) First(now time.Duration, id string) {
	if e := f.entries[id]; e != nil && e.out {
		f.stand(e)
		e.cell.module.First(now, id)
	}
}

// Outcome tells how an attempt ended; over, that nothing more is owed. A mid-flow arrival that was not held where it
// was tried first goes on in its home cell, with the attempts that it has left; but where the attempt may have run
// and must not be repeated elsewhere, it has failed.
func (f *Fleet) Outcome(now time.Duration, id string, result policy.Result, over bool) {
	e := f.entries[id]
	if e == nil || !e.out {
		return
	}
	e.out = false
	f.fall(e)
	old := e.cell
	if !e.astray || over || e.gone {
		if over || e.gone {
			f.leave(id)
		}
		old.module.Outcome(now, id, result, over)
		return
	}
	q := e.q
	q.Made, q.TTL = e.attempts, e.deadline-now
	f.leave(id)
	old.module.Outcome(now, id, result, true)
	never := result == policy.TurnedAway || result == policy.ConnectFailed || result == policy.Moot
	if !never && f.set.Classes[q.Class].Effect != policy.Safe {
		f.host.Fail(id)
		return
	}
	home := f.root
	if f.plan != nil {
		home = f.named(f.plan.Home(now, q.Tenant, q.Key))
	}
	f.enter(q, home, nil, now)
	home.module.Request(now, q)
}

// Gone tells that the client left; an attempt that is out still gets its outcome.
func (f *Fleet) Gone(now time.Duration, id string) {
	e := f.entries[id]
	if e == nil {
		return
	}
	e.gone = true
	module := e.cell.module
	if !e.out {
		f.leave(id)
	}
	module.Gone(now, id)
}

// Note tells of an open connection.
func (f *Fleet) Note(now time.Duration, id string, kind policy.NoteKind, level float64) {
	if e := f.entries[id]; e != nil {
		e.cell.module.Note(now, id, kind, level)
	}
}

// Delay tells how long a message takes now at a desk host; whoever has connections there hears of it.
func (f *Fleet) Delay(now time.Duration, server string, delay time.Duration) {
	for _, c := range f.inOrder() {
		c.module.Delay(now, server, delay)
	}
}

// Reported tells of a desk host's report, or that it gave none; whoever may have asked for it hears of it.
func (f *Fleet) Reported(now time.Duration, server string, report policy.Report) {
	for _, c := range f.inOrder() {
		c.module.Reported(now, server, report)
	}
}

// Succeed tells that this process takes over from another one of its balancer.
func (f *Fleet) Succeed(now time.Duration) {
	for _, c := range f.inOrder() {
		c.module.Succeed(now)
	}
}

// Listed is how many desk hosts the list names, and how many of them are avoided now.
func (f *Fleet) Listed(now time.Duration) (listed, avoided int) {
	for _, c := range f.inOrder() {
		l, a := c.module.Listed(now)
		listed, avoided = listed+l, avoided+a
	}
	return listed, avoided
}

// Figures are those of the plan's cells in its order; without a plan there are none.
func (f *Fleet) Figures(now time.Duration) []Figures {
	if f.plan == nil {
		return nil
	}
	left := map[*cell]int{}
	for i := range f.plan.Moves {
		m := &f.plan.Moves[i]
		back, ends := f.named(m.From), f.named(m.To)
		if m.Back > 0 {
			back, ends = ends, back
		}
		for _, e := range f.movers[m.Carrier] {
			if f.where(e) == back && back != ends && !e.told && e.from == nil {
				left[back]++
			}
		}
	}
	out := make([]Figures, len(f.cells))
	for i, c := range f.cells {
		listed, avoided := c.module.Listed(now)
		out[i] = Figures{Name: c.name, Open: c.open, Guests: c.guests, Hosts: listed, Usable: listed - avoided,
			MovesLeft: left[c], Counts: c.count}
	}
	return out
}

// ---- Timers and moves ----

// slots is how many timer names a module has room for; the Fleet's own are under all of them.
const slots, timerMoves, timerDeal = 16, -1, -2

// Wake does what has fallen due.
func (f *Fleet) Wake(now time.Duration, name int64) {
	if name == timerMoves {
		if f.tickAt > 0 && now >= f.tickAt { // else of a plan that is no longer in force
			f.tickAt = 0
			f.move(now)
		}
		return
	}
	if name == timerDeal {
		if f.dealAt = 0; f.plan != nil {
			f.deal(now)
			f.tally()
		}
		return
	}
	if c := f.numbers[name/slots]; c != nil {
		c.module.Wake(now, name%slots)
	}
}

// moveEvery is how often connections are looked at that are to follow their flight. They follow only after clocks, the
// most by which balancers' clocks may differ. Danger: a client that was told by one balancer would come again to
// another one for which its flight has not crossed yet, and be told a second time.
const moveEvery, clocks = 100 * time.Millisecond, 500 * time.Millisecond

func (f *Fleet) tickBy(now, at time.Duration) {
	if f.plan == nil || len(f.plan.Moves) == 0 {
		return
	}
	starts := slices.MinFunc(f.plan.Moves, func(a, b Move) int { return cmp.Compare(a.Start, b.Start) }).Start
	if at = max(at, now+f.set.Tick, starts); f.tickAt == 0 || at < f.tickAt {
		f.tickAt = at
		f.host.Wake(at, timerMoves)
	}
}

// move sends away, at the pace of the plan, those that stand in a cell that their flight has left, whole flights one
// after the other. It waits while the cell that they are to reach has no desk host in service.
func (f *Fleet) move(now time.Duration) {
	if f.plan == nil {
		return
	}
	span := min(now-f.ticked, time.Second)
	f.ticked = now
	for i := range f.plan.Moves {
		m := &f.plan.Moves[i]
		from, to := f.named(m.From), f.named(m.To)
		var due []*entry
		for _, e := range f.movers[m.Carrier] {
			if e.told || e.from != nil {
				continue
			}
			// What stands where its flight is to come stays, also early; so does what the flight keys of a cell keep.
			at := f.where(e)
			home, _, since := f.plan.home(now, m.Carrier, e.q.Key)
			if now-since < clocks {
				continue
			}
			back := m.Back > 0 && now >= m.Back && at == to && home == m.From
			if at == from && home == m.To || back {
				due = append(due, e)
			}
		}
		if len(due) == 0 {
			continue
		}
		slices.SortFunc(due, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(Position(a.q.Key), Position(b.q.Key)), cmp.Compare(a.q.Key, b.q.Key), cmp.Compare(a.q.ID, b.q.ID))
		})
		if m.Back > 0 && now >= m.Back {
			slices.Reverse(due)
		}
		f.send(m, due, span)
	}
	f.tickBy(now, now+moveEvery)
}

// where is the cell in which a connection stands: its desk host's, which may have changed since it was placed.
func (f *Fleet) where(e *entry) *cell {
	if c := f.owners[e.server]; c != nil {
		return c
	}
	return e.cell
}

func (f *Fleet) send(m *Move, due []*entry, span time.Duration) {
	target := f.named(m.To)
	if f.where(due[0]) == target {
		target = f.named(m.From)
	}
	if none := target.hosts == 0; none != f.paused[m.Carrier] {
		f.paused[m.Carrier] = none
		f.host.Log(fmt.Sprintf("cells: move of %s waits for a desk host in cell %s: %v", m.Carrier, target.name, none))
	}
	if f.paused[m.Carrier] {
		return
	}
	allowed := len(due)
	if m.Pace > 0 {
		pace := m.Pace / float64(max(f.set.Siblings, 1))
		credit := min(f.credit[m.Carrier]+pace*span.Seconds(), max(pace*moveEvery.Seconds()*2, 1))
		allowed = min(allowed, int(credit))
		f.credit[m.Carrier] = credit - float64(allowed)
	}
	for _, e := range due[:allowed] {
		e.told = true
		e.cell.count.Moved++
		f.host.Move(e.q.ID)
	}
}

// ---- What the modules ask for ----

// Send starts an attempt.
func (c *cell) Send(request, server string, timeout time.Duration) {
	if e := c.fleet.entries[request]; e != nil {
		e.out, e.server = true, server
		e.attempts++
	}
	c.fleet.host.Send(request, server, timeout)
}

// Refuse is a final answer.
func (c *cell) Refuse(request string, retryAfter time.Duration) {
	c.count.Refused++
	c.fleet.leave(request)
	c.fleet.host.Refuse(request, retryAfter)
}

// Fail is a final answer.
func (c *cell) Fail(request string) {
	c.fleet.leave(request)
	c.fleet.host.Fail(request)
}

// Move sends a client away.
func (c *cell) Move(request string) {
	if e := c.fleet.entries[request]; e != nil {
		e.told = true
	}
	c.fleet.host.Move(request)
}

// Tell tells all siblings of a slow desk host.
func (c *cell) Tell(server uint32, delay time.Duration) { c.fleet.host.Tell(server, delay) }

// Ask asks a desk host for a report.
func (c *cell) Ask(server string) { c.fleet.host.Ask(server) }

// Wake asks to be woken, under a name of this cell's own.
func (c *cell) Wake(at time.Duration, name int64) { c.fleet.host.Wake(at, c.number*slots+name) }

// Watch asks for the list; only the root does.
func (c *cell) Watch(on bool) { c.fleet.host.Watch(on) }

// Log adds a line to the report.
func (c *cell) Log(text string) {
	if c.name != "" {
		text = "cell " + c.name + ": " + text
	}
	c.fleet.host.Log(text)
}
