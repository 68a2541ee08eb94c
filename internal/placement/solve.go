package placement

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"tealtiller/internal/cells"
)

// Method is how an answer was found, the best first.
type Method string

// The methods.
const (
	Exact    Method = "exact"    // no placement is worth more
	Search   Method = "search"   // the best that the search met before its end
	Repaired Method = "repaired" // the plan in force, what it no longer has a host for placed anew
	Overflow Method = "overflow" // as much as fits in its room, the rest where there is room
	Equal    Method = "equal"    // each flight by its key, all hosts alike
)

// Limit bounds a search. Steps count placements that were looked at and are the same on every machine; Stop, asked now
// and then, ends it early.
type Limit struct {
	Steps int                                   // 0: none
	Stop  func() bool                           // nil: never
	Tell  func(worth, bound float64, steps int) // told now and then, if set
	Seed  uint64
}

// Answer is where the pieces of each flight stand.
type Answer struct {
	Method Method
	Value
	Bound   float64 // no placement is worth more
	Gap     float64 // how much more the bound is, as a share of it
	Steps   int
	Flights []Placed
	Limits  []Binding // the rooms whose hosts are full, and what a further load there is worth
}

// Placed is a flight and where it stands. A flight in several places is told with all of them; one that is shed, with none.
type Placed struct {
	ID      uint64
	Carrier string
	At      []Share
}

// Share is what of a flight stands on a host: load that arrives in a room.
type Share struct {
	Host, Room string
	Load       float64
}

// Binding is a limit that keeps the answer from being worth more.
type Binding struct {
	Room  string
	Price float64 // worth a second that one more load served there brings, about
}

// Solve places a fleet's flights. The fleet must have passed Check.
func Solve(f *Fleet, limit Limit) *Answer {
	p := compile(f)
	s := &search{problem: p, limit: limit, rng: rand.New(rand.NewPCG(limit.Seed, 11))}
	method, best := s.fallback()
	s.best, s.total = best, p.value(best).Total
	free := &dual{problem: p, price: make([]float64, len(p.rooms))} // the bound at no price needs no search
	s.bound, s.prices = free.most(nil), free.price
	if !s.ended() {
		rounds := 60
		if len(p.pieces) > 2000 {
			rounds = 40
		}
		d := s.descend(rounds)
		for _, tight := range []bool{false, true} {
			if !s.ended() {
				if s.offer(s.greedy(d.price, tight, false)) {
					method = Search
				}
			}
		}
		if s.improve() {
			method = Search
		}
		if len(p.pieces) <= mostExact && !s.ended() && s.branch(d) {
			method = Exact
		}
	}
	if s.bound-s.total <= 1e-9*max(math.Abs(s.bound), p.worth) {
		method = Exact
	}
	return s.answer(method)
}

// Standing is the fleet as it is: flights on the hosts that the plan in force has them on, the rest by their keys.
func Standing(f *Fleet) *Answer {
	p := compile(f)
	s := &search{problem: p}
	s.best = s.equal()
	for i := range s.pieces {
		if was := s.pieces[i].was; was != none {
			s.best[i] = int32(was)
		}
	}
	s.total = p.value(s.best).Total
	return s.answer(Equal)
}

// Loads is what each host holds in an answer, with what it pays for flights.
func (a *Answer) Loads(f *Fleet) map[string]float64 {
	out, over := map[string]float64{}, map[string]float64{}
	for i := range f.Hosts {
		out[f.Hosts[i].ID], over[f.Hosts[i].ID] = 0, f.Prices.Piece*f.Hosts[i].spread()
	}
	for _, fl := range a.Flights {
		seen := map[string]bool{}
		for _, s := range fl.At {
			out[s.Host] += s.Load
			if !seen[s.Host] {
				seen[s.Host] = true
				out[s.Host] += over[s.Host]
			}
		}
	}
	return out
}

// search holds the best placement so far.
type search struct {
	*problem
	limit   Limit
	rng     *rand.Rand
	best    []int32
	total   float64
	bound   float64
	prices  []float64 // of the bound
	steps   int
	asked   int
	stopped bool
}

// ended tells that the search is to end.
func (s *search) ended() bool {
	if s.stopped || s.limit.Steps > 0 && s.steps >= s.limit.Steps {
		return true
	}
	if s.steps >= s.asked {
		s.asked = s.steps + 200
		s.stopped = s.limit.Stop != nil && s.limit.Stop()
		if s.limit.Tell != nil {
			s.limit.Tell(s.total, s.bound, s.steps)
		}
	}
	return s.stopped
}

// offer takes a placement if it is worth more.
func (s *search) offer(at []int32) bool {
	if v := s.value(at).Total; v > s.total+tolerance*max(s.worth, 0) {
		s.best, s.total = slices.Clone(at), v
		return true
	}
	return false
}

func (s *search) answer(method Method) *Answer {
	a := &Answer{Method: method, Value: s.value(s.best), Bound: s.bound, Steps: s.steps}
	if a.Bound = max(a.Bound, a.Total); a.Bound > 0 {
		a.Gap = max(1-a.Total/a.Bound, 0)
	}
	for n, i := range s.flights {
		fl := &s.fleet.Flights[i]
		out := Placed{ID: fl.ID, Carrier: fl.Carrier}
		for k := s.from[n]; k < s.from[n+1]; k++ {
			if h := s.best[k]; h != none {
				c := &s.pieces[k]
				id, room := s.fleet.Hosts[s.hosts[h]].ID, s.rooms[c.room]
				j := slices.IndexFunc(out.At, func(x Share) bool { return x.Host == id && x.Room == room })
				if j < 0 {
					j = len(out.At)
					out.At = append(out.At, Share{Host: id, Room: room})
				}
				out.At[j].Load += c.load
			}
		}
		a.Flights = append(a.Flights, out)
	}
	for r, price := range s.prices {
		if price > 0 {
			a.Limits = append(a.Limits, Binding{s.rooms[r], price})
		}
	}
	return a
}

// ---- The bound ----

// dual prices what each room serves. For any prices from 0 on,
//
//	sum over rooms of price x what it serves  +  sum over flights of the most that the flight brings at these prices
//
// is at least what any placement is worth: a placement's value is at most what it would be if loads could be bought at
// the price, and what it buys is at most what the rooms serve. The most that a flight brings is found by trying every
// room for every piece where those are few; else each piece by itself, with its share of one host's price for the
// flight, which is at most what the flight pays.
type dual struct {
	*problem
	price []float64
}

const mostCombinations = 128

// flightMost is the most that a flight brings at the prices, and the load that it then buys in each room.
func (d *dual) flightMost(n int, buys []float64) float64 {
	pieces := d.pieces[d.from[n]:d.from[n+1]]
	rooms, combinations := len(d.rooms), 1
	for range pieces {
		if combinations *= rooms + 1; combinations > mostCombinations {
			return d.apart(n, pieces, buys)
		}
	}
	best, bestChoice := 0.0, 0
	for choice := 1; choice < combinations; choice++ {
		total, used := 0.0, uint64(0)
		for c, rest := 0, choice; c < len(pieces); c, rest = c+1, rest/(rooms+1) {
			if r := rest%(rooms+1) - 1; r >= 0 {
				if len(d.byRoom[r]) == 0 {
					total = math.Inf(-1)
					break
				}
				total += d.reduced(&pieces[c], r)
				if used&(1<<r) == 0 {
					used |= 1 << r
					total -= d.hold(r)
				}
			}
		}
		if total > best {
			best, bestChoice = total, choice
		}
	}
	if buys != nil {
		used := uint64(0)
		for c, rest := 0, bestChoice; c < len(pieces); c, rest = c+1, rest/(rooms+1) {
			if r := rest%(rooms+1) - 1; r >= 0 {
				buys[r] += pieces[c].load
				if used&(1<<r) == 0 {
					used |= 1 << r
					buys[r] += d.least[r]
				}
			}
		}
	}
	return best
}

func (d *dual) apart(n int, pieces []piece, buys []float64) float64 {
	sum := 0.0
	for c := range pieces {
		share := 1 / float64(len(pieces))
		if d.flight[n] > 0 {
			share = pieces[c].load / d.flight[n]
		}
		best, at := 0.0, none
		for r := range d.rooms {
			if len(d.byRoom[r]) > 0 {
				if g := d.reduced(&pieces[c], r) - share*d.hold(r); g > best {
					best, at = g, r
				}
			}
		}
		if sum += best; at != none && buys != nil {
			buys[at] += pieces[c].load + share*d.least[at]
		}
	}
	return sum
}

// reduced is what serving a piece in a room brings at the prices.
func (d *dual) reduced(c *piece, r int) float64 {
	g := c.worth + c.refund - d.price[r]*c.load
	if r != c.room {
		g -= d.prices.Crossing * c.worth
	}
	if c.was != none && d.room[c.was] != r {
		g -= d.prices.Move * c.worth
	}
	return g
}

// hold is the least that holding a flight in a room costs at the prices.
func (d *dual) hold(r int) float64 { return d.least[r] * (d.waste + d.price[r]) }

// most is the bound at these prices; buys, if not nil, takes the load bought in each room.
func (d *dual) most(buys []float64) float64 {
	sum := 0.0
	for r, hosts := range d.byRoom {
		for _, h := range hosts {
			sum += d.price[r] * d.serves[h]
		}
	}
	for n := range d.flight {
		sum += d.flightMost(n, buys)
	}
	return sum
}

// descend looks for the prices with the lowest bound, by steps against the surplus of each room. The bound holds at
// every step, so it may end at any.
func (s *search) descend(rounds int) *dual {
	d := &dual{problem: s.problem, price: make([]float64, len(s.rooms))}
	room := make([]float64, len(s.rooms))
	for r, hosts := range s.byRoom {
		for _, h := range hosts {
			room[r] += s.serves[h]
		}
	}
	scale, since := 1.0, 0
	for range rounds {
		if s.ended() {
			break
		}
		s.steps += len(s.flight) / 8
		buys := make([]float64, len(s.rooms))
		b := d.most(buys)
		if b < s.bound-1e-12*math.Abs(s.bound) {
			s.bound, s.prices, since = b, slices.Clone(d.price), 0
		} else if since++; since > 3 {
			scale, since = scale/2, 0
			copy(d.price, s.prices)
		}
		square, moved := 0.0, false
		for r := range buys {
			if buys[r] -= room[r]; buys[r] < 0 && d.price[r] == 0 {
				buys[r] = 0
			}
			square += buys[r] * buys[r]
		}
		if square == 0 {
			break
		}
		step := scale * max(b-s.total, 1e-6*math.Abs(b)) / square
		for r := range buys {
			next := max(d.price[r]+step*buys[r], 0)
			moved = moved || next != d.price[r]
			d.price[r] = next
		}
		if !moved {
			break
		}
	}
	copy(d.price, s.prices)
	return d
}

// ---- Placements to start from ----

// roomiest is the hosts of a room, the one with the most left on top.
type roomiest struct {
	hosts []int
	left  []float64
}

func (r *roomiest) Len() int { return len(r.hosts) }
func (r *roomiest) Less(i, j int) bool {
	a, b := r.hosts[i], r.hosts[j]
	return r.left[a] > r.left[b] || r.left[a] == r.left[b] && a < b
}
func (r *roomiest) Swap(i, j int) { r.hosts[i], r.hosts[j] = r.hosts[j], r.hosts[i] }
func (r *roomiest) Push(any)      {}
func (r *roomiest) Pop() any      { return nil }

type packing struct {
	*problem
	price []float64
	left  []float64
	rooms []*roomiest
	at    []int32
}

func (p *problem) pack(price []float64) *packing {
	k := &packing{problem: p, price: price, left: slices.Clone(p.serves), at: make([]int32, len(p.pieces))}
	for _, hosts := range p.byRoom {
		r := &roomiest{slices.Clone(hosts), k.left}
		heap.Init(r)
		k.rooms = append(k.rooms, r)
	}
	for i := range k.at {
		k.at[i] = none
	}
	return k
}

// pick is the host of a room that is to take so much: the roomiest, or where tight the fullest that still can.
func (k *packing) pick(r int, load float64, tight bool) int {
	if len(k.rooms[r].hosts) == 0 {
		return none
	}
	best := k.rooms[r].hosts[0]
	if tight && len(k.rooms[r].hosts) <= 64 {
		for _, h := range k.rooms[r].hosts {
			if need := load + k.over[h]; k.left[h] >= need && (k.left[best] < need || k.left[h] < k.left[best]) {
				best = h
			}
		}
	}
	return best
}

// put places pieces of one flight on a host.
func (k *packing) put(h int, pieces ...int) {
	k.left[h] -= k.over[h]
	for _, i := range pieces {
		k.at[i] = int32(h)
		k.left[h] -= k.pieces[i].load
	}
	r := k.rooms[k.room[h]]
	if r.hosts[0] == h {
		heap.Fix(r, 0)
	} else {
		heap.Init(r)
	}
}

// brings is what pieces are worth on a host that has so much left, at the price of what they take.
func (k *packing) brings(h int, pieces ...int) float64 {
	load, sum := 0.0, 0.0
	for _, i := range pieces {
		load += k.pieces[i].load
		sum += k.gain(&k.pieces[i], h)
	}
	left := max(k.left[h]-k.over[h], 0)
	share := 1.0
	if load > left && load > 0 {
		share = left / load
	}
	return share*(sum-k.price[k.room[h]]*load) - k.over[h]*(k.waste+k.price[k.room[h]])
}

// best is the host where pieces bring the most, and how much; none where they bring nothing.
func (k *packing) best(tight bool, pieces ...int) (brings float64, at int) {
	load := 0.0
	for _, i := range pieces {
		load += k.pieces[i].load
	}
	at = none
	for r := range k.rooms {
		if h := k.pick(r, load, tight); h != none {
			if b := k.brings(h, pieces...); b > brings {
				brings, at = b, h
			}
		}
	}
	return brings, at
}

// greedy places the largest flights first, each as a whole in the room, or its parts in the rooms, where they bring
// the most at the prices of the bound.
//
// Where asked to keep, flights that the plan in force has on a host that is there stay on it.
func (s *search) greedy(price []float64, tight, keep bool) []int32 {
	k := s.pack(price)
	if keep {
		for n := range s.flight {
			if s.from[n] == s.from[n+1] || s.pieces[s.from[n]].was == none {
				continue
			}
			was := s.pieces[s.from[n]].was
			for i := s.from[n]; i < s.from[n+1]; i++ {
				k.at[i] = int32(was)
				k.left[was] -= s.pieces[i].load
			}
			k.left[was] -= s.over[was]
		}
		for _, r := range k.rooms {
			heap.Init(r)
		}
	}
	all := make([]int, 0, 8)
	for n := range s.flight {
		all = all[:0]
		for i := s.from[n]; i < s.from[n+1]; i++ {
			all = append(all, i)
		}
		s.steps++
		if len(all) == 0 || k.at[all[0]] != none {
			continue
		}
		whole, at := k.best(tight, all...)
		apart := 0.0
		for _, i := range all {
			if len(all) > 1 {
				b, _ := k.best(tight, i)
				apart += b
			}
		}
		switch {
		case len(all) > 1 && apart > whole || len(all) > len(s.rooms):
			for _, i := range all { // anew: what went before may have taken the room
				if _, at := k.best(tight, i); at != none {
					k.put(at, i)
				}
			}
		case at != none:
			k.put(at, all...)
		}
	}
	return k.at
}

// fallback is the best of three placements that need no search: the plan in force repaired, what fits in its room with
// the rest in others, and all hosts alike.
func (s *search) fallback() (Method, []int32) {
	best, method, free := s.equal(), Equal, make([]float64, len(s.rooms))
	total := s.value(best).Total
	for _, way := range []struct {
		method Method
		at     func() []int32
	}{{Overflow, func() []int32 { return s.greedy(free, false, false) }}, {Repaired, func() []int32 { return s.greedy(free, false, true) }}} {
		if way.method == Repaired && !slices.ContainsFunc(s.pieces, func(c piece) bool { return c.was != none }) {
			continue
		}
		at := way.at()
		if v := s.value(at).Total; v >= total {
			best, method, total = at, way.method, v
		}
	}
	return method, best
}

// equal deals flights out by their keys alone.
func (s *search) equal() []int32 {
	at := make([]int32, len(s.pieces))
	for n := range s.flight {
		best := none
		if len(s.hosts) > 0 {
			best = int(cells.Mix(s.fleet.Flights[s.flights[n]].ID) % uint64(len(s.hosts)))
		}
		for i := s.from[n]; i < s.from[n+1]; i++ {
			at[i] = int32(best)
		}
	}
	return at
}

// ---- Improving a placement ----

// state is a placement under change, with what each host is worth in it.
type state struct {
	*problem
	at      []int32
	items   [][]int32
	worths  []float64
	free    []float64 // loads that could still come to each host
	total   float64
	mark    []int32
	stamp   int32
	order   []int32
	touched []int
	before  []float64
	changes []change
}

type change struct {
	piece    int32
	from, to int32
}

func (p *problem) state(at []int32) *state {
	s := &state{problem: p, at: slices.Clone(at), items: make([][]int32, len(p.hosts)), worths: make([]float64, len(p.hosts)),
		free: slices.Clone(p.serves), mark: make([]int32, len(p.flight))}
	for i, h := range at {
		if h != none {
			s.items[h] = append(s.items[h], int32(i))
		}
	}
	for h := range s.items {
		s.weigh(h)
		s.total += s.worths[h]
	}
	return s
}

func (s *state) weigh(h int) {
	worth, d := s.host(h, s.items[h])
	s.worths[h], s.free[h] = worth, d.free
}

func (s *state) shift(c change) {
	if c.from != none {
		list := s.items[c.from]
		i := slices.Index(list, c.piece)
		list[i] = list[len(list)-1]
		s.items[c.from] = list[:len(list)-1]
	}
	if c.to != none {
		s.items[c.to] = append(s.items[c.to], c.piece)
	}
	s.at[c.piece] = c.to
}

// try makes changes, and takes them back where they bring nothing.
func (s *state) try(changes ...change) bool {
	s.touched, s.before = s.touched[:0], s.before[:0]
	touch := func(h int32) {
		if h != none && !slices.Contains(s.touched, int(h)) {
			s.touched = append(s.touched, int(h))
			s.before = append(s.before, s.worths[h], s.free[h])
		}
	}
	for _, c := range changes {
		touch(c.from)
		touch(c.to)
		s.shift(c)
	}
	delta := 0.0
	for i, h := range s.touched {
		s.weigh(h)
		delta += s.worths[h] - s.before[2*i]
	}
	if delta > tolerance*s.worth {
		s.total += delta
		return true
	}
	for i := len(changes) - 1; i >= 0; i-- {
		s.shift(change{changes[i].piece, changes[i].to, changes[i].from})
	}
	for i, h := range s.touched {
		s.worths[h], s.free[h] = s.before[2*i], s.before[2*i+1]
	}
	return false
}

// flightTo makes the changes that bring all pieces of a flight to a host.
func (s *state) flightTo(n int, h int32) []change {
	s.changes = s.changes[:0]
	for i := s.from[n]; i < s.from[n+1]; i++ {
		if s.at[i] != h {
			s.changes = append(s.changes, change{int32(i), s.at[i], h})
		}
	}
	return s.changes
}

// mostExact is how many pieces are placed by branch and bound, fewAll up to how many hosts all are tried.
const mostExact, fewAll = 64, 24

// improve moves flights, parts of them, and pairs, as long as that brings something; then shakes a part and tries
// again, as long as the limit allows and the bound leaves anything to win.
func (s *search) improve() (better bool) {
	if len(s.pieces) == 0 || len(s.hosts) == 0 {
		return false
	}
	st := s.state(s.best)
	s.climb(st)
	better = s.offer(st.at)
	shakes := 200
	if len(s.pieces) > 2000 {
		shakes = 0 // one climb takes all the time there is
	}
	for range shakes {
		if s.ended() || s.limit.Steps > 0 && s.steps > s.limit.Steps*3/4 || s.bound-s.total <= 1e-9*math.Abs(s.bound) {
			break
		}
		st = s.state(s.best)
		for range 2 + s.rng.IntN(3) {
			n := s.rng.IntN(len(s.flight))
			for _, c := range slices.Clone(st.flightTo(n, int32(s.rng.IntN(len(s.hosts))))) {
				st.shift(c)
			}
		}
		st = s.state(st.at)
		s.climb(st)
		better = s.offer(st.at) || better
	}
	return better
}

func (s *search) climb(st *state) {
	patience := 1
	if len(s.hosts) > fewAll {
		patience = 4 // candidates are drawn anew each time
	}
	for idle := 0; idle < patience; {
		before, moved := st.total, false
		for n := range s.flight {
			if s.ended() {
				return
			}
			moved = s.relocate(st, n) || moved
		}
		if len(s.flight) <= 200 {
			moved = s.exchange(st) || moved
		}
		if idle++; moved && (len(s.hosts) <= fewAll || st.total > before+1e-6*s.worth) {
			idle = 0
		}
	}
}

// candidates are the hosts that a flight is tried on: all, where they are few, else some by chance, and in each room
// the roomiest of some.
func (s *search) candidates(st *state, yield func(int32)) {
	if len(s.hosts) <= fewAll {
		for h := range s.hosts {
			yield(int32(h))
		}
		return
	}
	for range 3 {
		yield(int32(s.rng.IntN(len(s.hosts))))
	}
	for _, hosts := range s.byRoom {
		if len(hosts) == 0 {
			continue
		}
		best := hosts[s.rng.IntN(len(hosts))]
		for range 15 {
			if h := hosts[s.rng.IntN(len(hosts))]; st.free[h] > st.free[best] {
				best = h
			}
		}
		yield(int32(best))
	}
}

func (s *search) relocate(st *state, n int) (moved bool) {
	// Large fleets: only what is not well where it is, or all moves that bring nothing take the time of those that do.
	if len(s.hosts) > fewAll && s.well(st, n) {
		return false
	}
	several := s.from[n+1]-s.from[n] > 1
	one := func(h int32) {
		s.steps++
		if c := st.flightTo(n, h); len(c) > 0 && st.try(c...) {
			moved = true
		}
		for i := s.from[n]; several && i < s.from[n+1]; i++ {
			if st.at[i] != h {
				s.steps++
				moved = st.try(change{int32(i), st.at[i], h}) || moved
			}
		}
	}
	s.candidates(st, one)
	one(none)
	for i := s.from[n]; several && i < s.from[n+1]; i++ { // to its fellows
		if h := st.at[i]; h != none {
			one(h)
		}
	}
	return moved
}

// well tells that a flight stands in one place, in the room of all its clients, on a host that is not full.
func (s *search) well(st *state, n int) bool {
	h := st.at[s.from[n]:s.from[n+1]]
	for i := range h {
		if h[i] == none || h[i] != h[0] || s.room[h[i]] != s.pieces[s.from[n]+i].room {
			return false
		}
	}
	if len(h) == 0 {
		return true
	}
	return st.free[h[0]] >= -tolerance*s.serves[h[0]]
}

// exchange swaps two pieces, or two flights, that stand on different hosts.
func (s *search) exchange(st *state) (moved bool) {
	for a := range s.pieces {
		for b := a + 1; b < len(s.pieces); b++ {
			if s.ended() {
				return moved
			}
			if st.at[a] == st.at[b] {
				continue
			}
			s.steps++
			moved = st.try(change{int32(a), st.at[a], st.at[b]}, change{int32(b), st.at[b], st.at[a]}) || moved
		}
	}
	for a := range s.flight {
		for b := a + 1; b < len(s.flight); b++ {
			if s.from[a+1]-s.from[a] < 2 && s.from[b+1]-s.from[b] < 2 || s.from[a] == s.from[a+1] || s.from[b] == s.from[b+1] {
				continue // told above
			}
			x, y := st.at[s.from[a]], st.at[s.from[b]]
			if x == y || s.ended() {
				continue
			}
			s.steps++
			all := slices.Clone(st.flightTo(a, y))
			moved = st.try(append(all, st.flightTo(b, x)...)...) || moved
		}
	}
	return moved
}

// ---- Branch and bound ----

// branch looks through all placements but those that cannot be worth more than the best, flight by flight, the largest
// first; false if the limit ended it.
//
// What a flight brings at the prices of the bound, in the best place less in the one chosen, is lost for good; so the
// bound falls by it. Where a host is full and gives up what is worth more a load than the room's price, its value is
// known but for what the price would have bought: whatever comes on top brings no more there than at the price, as the
// most a host serves is concave in what stands there.
func (s *search) branch(d *dual) (whole bool) {
	b := s.brancher(d)
	b.visit(0, d.most(nil))
	return b.whole
}

func (s *search) brancher(d *dual) *brancher {
	nowhere := make([]int32, len(s.pieces))
	for i := range nowhere {
		nowhere[i] = none
	}
	b := &brancher{search: s, dual: d, st: s.state(nowhere), loss: make([]float64, len(s.hosts)), whole: true}
	for n := range s.flight {
		b.fill(n)
	}
	return b
}

type brancher struct {
	*search
	dual    *dual
	st      *state
	loss    []float64 // of each host, known by what stands there
	options [][]option
	whole   bool
}

// option is a place for each piece of a flight, and what it loses against the best.
type option struct {
	at   []int32
	loss float64
}

const mostOptions = 4096

func (b *brancher) fill(n int) {
	pieces := b.pieces[b.from[n]:b.from[n+1]]
	most := b.dual.flightMost(n, nil)
	count := 1
	for range pieces {
		if count *= len(b.hosts) + 1; count > mostOptions {
			b.whole = false
			count = 0
			break
		}
	}
	var all []option
	for choice := range count {
		o := option{at: make([]int32, len(pieces))}
		value := 0.0
		for c, rest := 0, choice; c < len(pieces); c, rest = c+1, rest/(len(b.hosts)+1) {
			h := rest%(len(b.hosts)+1) - 1
			if o.at[c] = int32(h); h == none {
				continue
			}
			price := b.dual.price[b.room[h]]
			value += max(b.gain(&pieces[c], h)-price*pieces[c].load, 0)
			if !slices.Contains(o.at[:c], int32(h)) {
				value -= b.over[h] * (b.waste + price)
			}
		}
		o.loss = max(most-value, 0)
		all = append(all, o)
	}
	slices.SortStableFunc(all, func(x, y option) int { return cmp.Compare(x.loss, y.loss) })
	b.options = append(b.options, all)
}

func (b *brancher) visit(n int, bound float64) {
	if n == len(b.flight) {
		if total := sum(b.st.worths); total > b.total+tolerance*b.worth {
			b.best, b.total = slices.Clone(b.st.at), total
		}
		return
	}
	for _, o := range b.options[n] {
		if b.cut() {
			return
		}
		if bound-o.loss <= b.total+1e-9*b.worth {
			return // and so are all that follow
		}
		b.steps++
		if b.twin(o.at) {
			continue
		}
		next, before := bound-o.loss, [][3]float64{}
		for c, h := range o.at {
			if h == none {
				continue
			}
			b.st.shift(change{int32(b.from[n] + c), none, h})
		}
		for c, h := range o.at {
			if h == none || slices.Contains(o.at[:c], h) {
				continue
			}
			before = append(before, [3]float64{float64(h), b.st.worths[h], b.loss[h]})
			next += b.loss[h] - b.settle(int(h))
		}
		if next > b.total+1e-9*b.worth {
			b.visit(n+1, next)
		}
		for c := len(o.at) - 1; c >= 0; c-- {
			if h := o.at[c]; h != none {
				list := b.st.items[h]
				b.st.items[h] = list[:len(list)-1]
				b.st.at[b.from[n]+c] = none
			}
		}
		for _, x := range before {
			b.st.worths[int(x[0])], b.loss[int(x[0])] = x[1], x[2]
		}
	}
}

func (b *brancher) cut() bool {
	if b.search.ended() {
		b.whole = false
	}
	return !b.whole
}

// settle works out what a host is worth with what stands there, and what that is under the bound's word for it.
func (b *brancher) settle(h int) float64 {
	total, d := b.st.host(h, b.st.items[h])
	b.st.worths[h], b.loss[h] = total, 0
	price := b.dual.price[b.room[h]]
	if d.full && d.margin >= price {
		over := float64(d.pieces) * b.over[h]
		word := price*(b.serves[h]-over) - over*b.waste // all of it: gains hold what is given back
		for _, i := range b.st.items[h] {
			word += max(b.gain(&b.pieces[i], h)-price*b.pieces[i].load, 0)
		}
		b.loss[h] = max(word-total, 0)
	}
	return b.loss[h]
}

// twin tells that an empty host is chosen where one before it is empty and the same.
func (b *brancher) twin(at []int32) bool {
	for c, h := range at {
		if h == none || len(b.st.items[h]) > 0 || b.home[h] {
			continue
		}
		for o := int32(0); o < h; o++ {
			if len(b.st.items[o]) == 0 && b.serves[o] == b.serves[h] && b.room[o] == b.room[h] && b.over[o] == b.over[h] &&
				!b.home[o] && !slices.Contains(at[:c], o) {
				return true
			}
		}
	}
	return false
}

func sum(all []float64) (total float64) {
	for _, x := range all {
		total += x
	}
	return total
}
