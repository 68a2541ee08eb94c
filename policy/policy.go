// The decisions of the balancer; the types that they speak in (settings, events, actions) stand in api.go.
// A new connection goes to the less occupied, by this balancer's own open connections, of the two servers
// with the highest CARP scores for its key ("Cache Array Routing Protocol v1.0", 3.1 to 3.5). All else is a
// reason to pass over a server in the walk down that ranking, or a duty to clients, servers and their list.

package policy

import (
	"cmp"
	"container/heap"
	"iter"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"tealtiller/internal/scale"
)

// ---- The ranking (CARP 3.1 to 3.4). It depends on list and key alone. ----

// carpHash is the hash of 3.1.
func carpHash(text string) (h uint32) {
	for i := range len(text) {
		h += bits.RotateLeft32(h, 19) + uint32(text[i])
	}
	return h
}

// spread is the further step of 3.1 and 3.2.
func spread(h uint32) uint32 {
	h += h * 0x62531965
	return bits.RotateLeft32(h, 21)
}

// multipliers are those of 3.3 for weights sorted ascending; equal ones have the same.
func multipliers(weights []float64) []float64 {
	sum, product, before, x := 0.0, 1.0, 0.0, 0.0
	for _, w := range weights {
		sum += w
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		if left, p := float64(len(weights)-i), w/sum; p != before {
			x = math.Pow(left*(p-before)/product+math.Pow(x, left), 1/left)
			before = p
		}
		out[i], product = x, product*x
	}
	return out
}

// relist computes the multipliers, once for any number of changes.
func (b *Balancer) relist() {
	b.changed, b.size = false, 0
	ascending := slices.Clone(b.list)
	slices.SortFunc(ascending, func(a, c *server) int { return cmp.Compare(a.Weight, c.Weight) })
	weights := make([]float64, len(ascending))
	for i, s := range ascending {
		weights[i] = s.Weight
		b.size += s.Weight
	}
	for i, x := range multipliers(weights) {
		ascending[i].factor = x
	}
}

// rank yields the list by descending score for a key's hash, draining servers included; a heap finds the few
// ranks that are looked at. The draft takes the combining step once, which leaves the order to the 11 lowest
// bits of the hashes: shares are off by a seventh, pairs of top scores by two thirds. Twice, both are even.
func (b *Balancer) rank(key uint32) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		if b.changed {
			b.relist()
		}
		b.ranking = append(b.ranking[:0], b.list...)
		for _, s := range b.ranking {
			s.score = float64(spread(spread(key^s.hash))) * s.factor
		}
		left := b.ranking
		for heap.Init(&left); len(left) > 0 && yield(left[0]); heap.Pop(&left) {
		}
	}
}

type ranking []*server

func (r ranking) Len() int { return len(r) }
func (r ranking) Less(i, j int) bool {
	return r[i].score > r[j].score || r[i].score == r[j].score && r[i].ID < r[j].ID
}
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }
func (r *ranking) Push(any)     {} // nothing is ever added
func (r *ranking) Pop() any {
	*r = (*r)[:len(*r)-1]
	return nil
}

// ---- The walk: every departure is a reason to pass over a server. ----

type reason int

const never, doublings, inRow = time.Duration(math.MaxInt64), 3, 3 // of times; of a doubt; failed set-ups

const (
	eligible reason = iota
	draining        // danger: new work on a server that must empty would break a rule
	tried           // danger: the same answer again; the draft's next-best member (3.5), for refusals too
	foreign         // danger: a keyed request's effect twice, where its duplicates are not known
	crowded         // danger: what is late already, or was refused for most that fail, makes it later
	cold            // danger: a fresh server sent more than it can do falls over and stays down
	unlisted        // danger: the list may be right in calling it gone; from here on guesses
	doubted         // danger: one that never answers looks empty, and a few heavy connections fill one unseen
	akin            // danger: what fails together, by its link or make, costs a try on each
)

// passOver tells why a request must not go to a server now.
func (b *Balancer) passOver(now time.Duration, r *request, s *server) reason {
	switch {
	case s.State == Draining && !(r.midFlow && now < s.told+b.set.DrainGrace):
		return draining
	case slices.Contains(r.tried, s):
		return tried
	case r.ranAt != nil && r.class.Effect == Keyed && !s.shares(r.class.Scope, r.ranAt.Server):
		return foreign
	case r.excess && b.warmth(now, s) >= 1, b.many() && !r.keeps() && b.full(now, r, s):
		return crowded
	case !b.budgeted(now, r, s):
		return cold
	case r.keeps(): // guesses aside
		return eligible
	case s.State == Gone && !b.doubtList:
		return unlisted
	case b.fails(now, s):
		return doubted
	case b.alike(s):
		return akin
	}
	return eligible
}

// full: by its report a server is full; of many, for a new request by the room that it leaves, as each sends
// a key's one or two and all fill it. Who comes back may be one of all that stood at another: by chance.
func (b *Balancer) full(now time.Duration, r *request, s *server) bool {
	return b.slow(now, s) && s.delay >= b.set.messageAim/2 || now-s.heardAt < 3*noteEvery && (r.returned &&
		s.load+r.chance(b, s) > mostLoad || !r.returned && s.load > 0 && s.load > mostLoad*r.chance(b, s))
}

// chance is drawn once for a request and a server.
func (r *request) chance(b *Balancer, s *server) float64 {
	if r.luck == 0 {
		r.luck = b.rng.Float64()
	}
	_, u := math.Modf(r.luck + float64(s.hash)/(1<<32))
	return u
}

func (r *request) keeps() bool { return r.midFlow && r.attempts == 0 } // no attempt has reset it yet

// shares reports whether two servers discard duplicates of each other's requests in a scope.
func (s Server) shares(scope Scope, other Server) bool {
	return scope == ScopeAll || scope == ScopeZone && s.Zone == other.Zone ||
		scope == ScopeCell && s.Cell == other.Cell
}

// survey counts servers known to be well (by own connections; of many, few hold ours: by a fresh report) or
// to fail, by zone and kind; and if the list is wrong on what is gone: ours prove it, a third makes it so.
func (b *Balancer) survey(now time.Duration) {
	clear(b.tallies)
	gone, proof := 0, false
	for _, s := range b.list {
		if s.State == Gone {
			gone++
			proof = proof || s.standing > 0
		}
		var n tally
		switch {
		case b.fails(now, s):
			n.fail, n.bad = 1, 1
		case s.strikes > 0 && now < s.until+b.set.patience<<doublings:
			n.bad = 1
		case s.standing > 0, b.many() && s.heardAt > 0 && now-s.heardAt < 3*noteEvery:
			n.well = 1
		}
		for _, p := range [...]part{{}, {"zone", s.Zone}, {"kind", s.Kind}} {
			t := b.tallies[p]
			b.tallies[p] = tally{t.well + n.well, t.fail + n.fail, t.bad + n.bad}
		}
	}
	if wrong := proof || 3*gone > len(b.list); wrong != b.doubtList {
		b.doubtList = wrong
		b.logf("list of servers: taken to be wrong in what it calls gone: %v", wrong)
	}
}

// overloaded is the chance by which new requests are refused, once over a half fails of the servers we know
// and two taken to be well: what is sent then keeps the rest from being served. The refused ask again some
// three times, hence the cube. Beyond three set-ups failed in a row, what they share fails: each halves it.
func (b *Balancer) overloaded() (chance float64) {
	if t := b.tallies[part{}]; t.fail > t.well+2 {
		chance = 1 - math.Pow((t.well+2)/(t.fail+t.well+2), 3)
	}
	return max(chance, 1-math.Pow(2, -float64(min(max(b.failed-inRow, 0), 4))))
}

// alike: all that we know of a server's zone or kind, two at least, failed lately or is slow, while most
// others, or all in our own zone, are well.
func (b *Balancer) alike(s *server) bool {
	all, home := b.tallies[part{}], b.tallies[part{"zone", b.set.Zone}]
	for _, p := range [...]part{{"zone", s.Zone}, {"kind", s.Kind}} {
		t := b.tallies[p]
		others := all.well > all.bad-t.bad || p.by == "zone" && home.well > 1 && home.bad == 0
		if others && t.bad > 1 && t.well == 0 {
			return true
		}
	}
	return false
}

// walk is the one way down the ranking: to the less occupied of the first two eligible servers, where ties go
// to the top. Where nobody is left it tells when a reason may end: guesses yield after half of the request's
// time, or at once where most are doubted; room at a cold server is drawn anew; the others last.
func (b *Balancer) walk(now time.Duration, r *request, overload float64) (top *server, ends time.Duration) {
	guessesYield := overload > 0 || now >= r.patient
	skip, best, most, ranked := b.popular(r), 0, 0, 0
	b.pair = [2]*server{}
	if ends = never; len(b.list) == 0 && b.asking && now < r.patient {
		ends = now + b.set.patience/4
	}
	for s := range b.rank(r.hash) {
		why := b.passOver(now, r, s)
		skip--
		switch {
		case why == cold && !b.many(): // whose one chance is drawn once
			ends = min(ends, s.drawn+b.set.Fall)
		case why > cold && !guessesYield:
			ends = min(ends, r.patient)
		case eligible < why && why <= cold:
		case r.keeps(): // any but its holder resets it
			h, came := b.holds(now, s, r.hash)
			ranked++
			fewer := ranked == 2 && came < most
			if h > 0 && top != nil {
				fewer = s.occupancy() < top.occupancy()
			}
			if top == nil || h > best || h == best && fewer {
				top, best, most = s, h, came
			}
		case skip >= 0: // popular
		case top == nil:
			top, b.pair[0] = s, s
		default:
			b.pair[1] = s
			if d := s.occupancy() - top.occupancy(); d < 0 || d == 0 && b.many() && b.rng.IntN(2) == 0 {
				top = s
			}
			return top, 0
		}
	}
	return top, ends
}

// many: where more balancers than servers share out connections, our counts tell next to nothing. Danger: for
// each of them a key's two top servers tie at nothing, and all together fill the first; so ties are drawn.
func (b *Balancer) many() bool { return scale.Many(b.set.Siblings, len(b.list)) }

// unheard asks the servers that a request may go to for reports, and tells whether to wait for them, for less
// than its aim. Danger: what fills a server comes by balancers of which we never hear; and if all ask
// all the time, that is a good part of what servers do. So no request asks more than it may try.
func (b *Balancer) unheard(now time.Duration, r *request) (waits bool) {
	for _, s := range b.pair {
		known := s == nil || !b.set.Asks || !b.many() || now >= r.curious || now-s.heardAt <= noteEvery
		if asked := !known && now-s.askedAt <= b.set.patience; !known && !asked && r.asks < r.most {
			r.asks, s.askedAt = r.asks+1, now
			b.host.Ask(s.ID)
		}
		waits = waits || !known && now-s.askedAt <= b.set.patience
	}
	return waits
}

// Reported takes what a server answered when asked.
func (b *Balancer) Reported(now time.Duration, server string, report Report) {
	s := b.server(server)
	if report.Answered {
		s.heardAt, s.load = now, report.Load
	} else if now-s.askedAt <= b.set.patience {
		b.strike(now, s)
	}
	if report.Answered && !b.slow(now, s) {
		s.delay, s.delayAt = report.Delay, now
	}
	b.Wake(now, timerHeld)
}

// holds tells how likely a server holds a connection of a key that arrives mid-flow, and how many of the key
// came here that way. Siblings rank alike and meet the same trouble: most stand where those we placed do;
// without any, at the top or the runner-up, but hardly at one that is slow or started since. Danger: of a key
// of many clients dozens arrive at once; those sent elsewhere fill one server, so each that came counts off.
func (b *Balancer) holds(now time.Duration, s *server, key uint32) (ours, came int) {
	if s.Started > 0 && now-s.Started < lasting {
		return -2, 0
	}
	for _, c := range s.conns {
		switch {
		case c.hash != key:
		case c.midFlow:
			came++
		case c.began:
			ours++
		}
	}
	if ours == 0 && b.slow(now, s) {
		return -1, came
	}
	return min(ours, 1+max(ours-came, 0)), came
}

const lasting = 20 * time.Second // the least that a site's connections last on average

// popular draws how many of a key's top ranks a request passes over. Danger: a key of many clients fills its
// two servers. By its share of our requests it is spread, each server paying for it again, until each has two
// servers' mean of it. A return counts twice.
func (b *Balancer) popular(r *request) int {
	seen := popularShare*popularWeight + float64(max(b.keys[r.hash]-1, 0))
	if r.returned {
		seen++
	}
	ranks := seen / (popularWeight + float64(max(b.seen-1, 0))) * float64(len(b.list)) / 2
	return b.rng.IntN(max(int(math.Ceil(ranks))-1, 1))
}

// see counts a request for a key. Beyond eight a server all counts are halved, as what is asked for changes.
func (b *Balancer) see(key uint32) {
	b.keys[key]++
	if b.seen++; b.seen <= 8*max(len(b.list), popularWeight) {
		return
	}
	b.seen /= 2 // those of rare keys too, though their own counts go
	for k, n := range b.keys {
		if b.keys[k] = n / 2; n < 2 {
			delete(b.keys, k)
		}
	}
}

const popularShare, popularWeight = 0.05, 4 // an unseen key counts as one of twenty, on four's evidence

// occupancy is our open connections by listed size, with the one to be placed: bare counts, evened out
// between large and small servers, would overfill the small ones. Equal sizes are ordered as by the counts.
func (s *server) occupancy() float64 { return float64(len(s.conns)+1) / s.Weight }

// ---- Doubted: set-ups that fail, messages that take long ----

// strike passes over a server, doubled by repeats; by chance siblings that met it together return apart.
func (b *Balancer) strike(now time.Duration, s *server) {
	if now < s.until {
		return
	}
	span := max(b.set.patience, b.set.Fall) << min(s.strikes, doublings)
	s.until = now + time.Duration((0.75+b.rng.Float64()/2)*float64(span))
	if s.strikes++; s.State == Gone { // two witnesses
		s.strikes++
	}
	b.logf("passed over %s for %v: it fails or is slow", s.ID, s.until-now)
}

const noteEvery = time.Second // and once more when back under a third of the shortest aim

func (b *Balancer) shunned(now time.Duration, s *server) bool {
	return s.State == Draining || b.fails(now, s) || b.alike(s)
}

func (b *Balancer) fails(now time.Duration, s *server) bool { return now < s.until || b.slow(now, s) }

func (b *Balancer) slow(now time.Duration, s *server) bool {
	return s.delay > b.set.messageAim/3 && now-s.delayAt < 3*noteEvery
}

// Note tells of an open connection.
func (b *Balancer) Note(now time.Duration, id string, kind NoteKind, level float64) {
	if r := b.out(id); r != nil && kind == NoteDelay {
		b.delayed(now, r.at, time.Duration(level*float64(time.Millisecond)))
	}
}

// Delay tells how long a message takes now at a server, one that holds none of our connections included.
func (b *Balancer) Delay(now time.Duration, server string, delay time.Duration) {
	b.delayed(now, b.server(server), delay)
}

// delayed cuts what a crowded server holds of ours. A delay is work piled up: its growth is excess load, and
// both must go by the next note. Danger: over a half, cut by all siblings at once, is a storm elsewhere.
func (b *Balancer) delayed(now time.Duration, s *server, delay time.Duration) {
	growth := 0.0
	if b.slow(now, s) {
		growth = (delay - s.delay).Seconds() / max(now-s.delayAt, noteEvery).Seconds()
	}
	s.delay, s.delayAt = delay, now
	excess, load := growth+delay.Seconds(), 1+growth
	if delay < b.set.messageAim || excess <= 0 {
		return
	}
	b.strike(now, s)
	// Danger: who is moved reaches siblings that know nothing of it. Of the holders about one tells all.
	if holders := float64(b.set.Siblings) * b.usual(now); b.set.Peers && b.rng.Float64()*holders < 1 {
		b.host.Tell(s.hash, delay)
	}
	cut := min(excess/max(load, excess), 0.5)
	moves := int(float64(len(s.conns))*cut + b.rng.Float64())
	for _, r := range s.conns {
		if moves > 0 && r.began && !r.moving {
			moves--
			r.moving = true
			b.host.Move(r.id)
		}
	}
}

// Heard takes what a sibling tells.
func (b *Balancer) Heard(now time.Duration, server uint32, delay time.Duration) {
	for _, s := range b.list {
		if s.hash == server {
			s.delay, s.delayAt = delay, now
		}
	}
}

// ---- Cold servers ----

// headroom is how many times its usual load a server bears: a fleet must outlive the loss of half of itself.
const headroom, mostLoad = 2, 0.8 // times; of what a server can do: near the full

// warmth is the least share of its capacity that a server has now.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	age := max(now-s.Started, 0)
	if s.Started <= 0 || age >= b.set.WarmAfter {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*float64(age)/float64(b.set.WarmAfter)
}

// budgeted tells whether a cold server may be sent one more. Once in each span of Fall we draw our part of
// its budget, by what we hold, so that the siblings' parts sum up; it lapses, as hundreds that keep one spend
// them in one burst. Hardly any client meets what few may give: so a key that is new to us has room, once a
// span, by half of its warmth as chance, a quarter for returns. Of many, each request has a chance, our part
// over what we take in a span; those that return may be a rush of all that stood at two servers.
func (b *Balancer) budgeted(now time.Duration, r *request, s *server) bool {
	w := b.warmth(now, s)
	if w >= 1 {
		return true
	}
	share := b.set.OverloadFactor * w * float64(b.set.Fall) / float64(b.set.WarmAfter)
	if b.many() { // what a server bears when all is well, our part of it; and what we take
		bears := max(b.set.Shared/b.size/float64(b.set.Siblings), b.usual(now)) * s.Weight
		taken := b.rush.Rate(now, b.set.Fall)
		if r.returned {
			taken = max(taken, 2*bears)
		}
		return r.chance(b, s) < bears*share/taken
	}
	part := headroom * b.usual(now) * s.Weight * share
	if now-s.drawn >= b.set.Fall {
		s.budget, s.drawn, s.luck = int(part+b.rng.Float64()), now, b.rng.Float64()
	}
	if w /= 2; r.returned {
		w /= 2
	}
	return s.budget > 0 || b.keys[r.hash] <= 1 && s.luck < w && r.attempts == 0 && now-b.roomAt >= b.set.Fall
}

// Succeed takes over from another process of this balancer, which may just have spent the cold budgets.
func (b *Balancer) Succeed(now time.Duration) {
	b.roomAt = now
	for _, s := range b.list {
		s.budget, s.drawn = 0, now
	}
}

// Drop takes a server off the list, as another instance serves it from now on; what stands there goes on.
func (b *Balancer) Drop(id string) {
	if s := b.servers[id]; s != nil {
		s.State = Gone
		b.list = slices.DeleteFunc(b.list, func(o *server) bool { return o == s })
		b.changed = true
	}
}

// Join takes a server that another instance served until now, and may just have spent its cold budget.
func (b *Balancer) Join(now time.Duration, e Server) {
	b.learn(now, e)
	s := b.server(e.ID)
	s.budget, s.drawn, s.luck, s.told = 0, now, 1, now-b.set.DrainGrace // told elsewhere, perhaps long ago
}

// usual is how many of our connections a server of size 1 bears when warm; at least our part of one.
func (b *Balancer) usual(now time.Duration) float64 {
	if now-b.usualAt >= b.set.Fall {
		open, size := 0.0, 0.0
		for _, s := range b.list {
			open, size = open+float64(s.standing), size+s.Weight*b.warmth(now, s)
		}
		b.usualAt, b.usualOpen = now, max(open/size, 1/float64(b.set.Siblings))
	}
	return b.usualOpen
}

// ---- Requests: each gets one final answer before its deadline ----

// Request takes a client's request and places it, or holds it.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.taken = append(b.within(now+1, b.taken), now)
	b.rush.Take(now, b.set.Fall)
	b.place(now, b.admit(now, q))
}

// Open counts a connection that stood when this instance started.
func (b *Balancer) Open(now time.Duration, q Request, server string) {
	r := b.admit(now, q)
	r.attempts, r.began = 1, true
	b.attach(now, r, b.server(server))
}

func (b *Balancer) admit(now time.Duration, q Request) *request {
	text := q.ID // without a key any even spread will do
	if q.HasKey {
		text = strconv.FormatUint(q.Key, 10)
	}
	r := &request{id: q.ID, class: b.set.Classes[q.Class], hash: carpHash(text), midFlow: q.MidFlow,
		returned: q.Returned, deadline: now + q.TTL, patient: now + q.TTL/2, attempts: q.Made,
		curious: now + min(b.set.patience*3/4, q.TTL/4), most: b.set.MaxAttempts}
	b.reqs[q.ID] = r
	b.see(r.hash)
	return r
}

// place sends a request to its server, or holds it while there is time, or answers it.
func (b *Balancer) place(now time.Duration, r *request) {
	last := r.deadline - 2*b.set.Tick
	b.survey(now)
	overload := b.overloaded()
	r.excess = (r.attempts == 0 || b.failed > inRow) && !r.midFlow && b.rng.Float64() < overload
	if now >= last || r.excess && !b.many() || !b.maySendAgain(now, r) {
		b.giveUp(now, r, never)
		return
	}
	if until := b.spentUntil(now); until > now && r.attempts > 0 {
		b.giveUp(now, r, until)
		return
	}
	s, ends := b.walk(now, r, overload)
	if s == nil && (r.excess || ends >= last) { // nothing can come of it in time
		b.giveUp(now, r, ends)
		return
	}
	if s != nil && overload == 0 && b.unheard(now, r) {
		s, ends = nil, r.curious
	}
	if s == nil {
		b.held = append(b.held, r)
		b.wakeBy(now, min(ends, now+b.set.patience/4))
		return
	}
	if s.budget > 0 {
		s.budget--
	} else if b.warmth(now, s) < 1 {
		b.roomAt = now
	}
	if r.attempts++; r.attempts > 1 {
		b.again = append(b.again, now)
	}
	r.sentAt = now
	r.tried = append(r.tried, s)
	b.attach(now, r, s)
	timeout := r.deadline - now
	if r.attempts < r.most && b.spentUntil(now) == 0 {
		timeout /= 2 // danger: a server that hangs never says so, nor does what was lost on the way
		if overload == 0 && r.class.Aim > 0 {
			timeout = min(timeout, r.class.Aim)
		}
	}
	b.host.Send(r.id, s.ID, timeout)
}

func (b *Balancer) maySendAgain(now time.Duration, r *request) bool {
	keyed := r.class.Effect == Keyed && now-r.ranSince < r.class.Window
	return r.attempts < r.most && (r.ranAt == nil || r.class.Effect == Safe || keyed)
}

// within keeps those of ascending times that no full BudgetSpan has passed since at a moment.
func (b *Balancer) within(moment time.Duration, times []time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, moment-b.set.BudgetSpan)
	return times[i:]
}

// spentUntil tells when the budget has a further attempt again, 0 while it has one. Danger: retries multiply
// what a failing fleet is sent. At the far end of the span an attempt still counts, a request no longer does.
func (b *Balancer) spentUntil(now time.Duration) time.Duration {
	b.again, b.taken = b.within(now, b.again), b.within(now+1, b.taken)
	most := b.set.SpareAttempts + b.set.AttemptShare*float64(len(b.taken))
	if b.set.BudgetSpan <= 0 || float64(len(b.again)+1) <= most {
		return 0
	}
	return append(b.again, now)[0] + b.set.BudgetSpan + 1
}

// neverRan: the result proves that the attempt had no effect.
func (r Result) neverRan() bool { return r == TurnedAway || r == ConnectFailed || r == Moot }

// giveUp is the final answer, at once; refused only where a repeat does no harm. The client is told to come
// back when the cause ends, or else after twice the longest aim; by chance up to twice as late.
func (b *Balancer) giveUp(now time.Duration, r *request, ends time.Duration) {
	away := 2 * b.set.patience
	if now < ends && ends < never {
		away = ends - now
	}
	if r.ranAt == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		b.host.Refuse(r.id, away+time.Duration(b.rng.Float64()*float64(away)))
	} else {
		b.host.Fail(r.id)
	}
	delete(b.reqs, r.id)
}

func (b *Balancer) attach(now time.Duration, r *request, s *server) {
	r.at = s
	s.conns = append(s.conns, r)
	if r.began {
		s.standing++
	}
}

func (b *Balancer) detach(r *request) {
	s := r.at
	s.conns = slices.DeleteFunc(s.conns, func(o *request) bool { return o == r })
	if r.at = nil; r.began {
		s.standing--
	}
}

// First tells that a connection stands.
func (b *Balancer) First(now time.Duration, id string) {
	r := b.out(id)
	if r == nil || r.began {
		return
	}
	r.began, b.failed = true, 0
	r.at.standing++
	r.at.strikes, r.at.until = r.at.strikes/2, now // one success does not clear what fails by turns
}

// Outcome tells how an attempt ended; over, that nothing more is owed.
func (b *Balancer) Outcome(now time.Duration, id string, result Result, over bool) {
	r := b.out(id)
	if r == nil {
		return
	}
	s := r.at
	b.detach(r)
	switch result {
	case Moot:
		if i := slices.Index(b.again, r.sentAt); i >= 0 && r.attempts > 1 { // never sent: it does not count
			b.again = slices.Delete(b.again, i, i+1)
		}
	case TurnedAway, Reset, Timeout, ConnectFailed, Error:
		if !r.began { // servers that drop what stands are crowded, not silent
			b.failed++
			b.strike(now, s)
		}
	}
	if over || r.gone {
		delete(b.reqs, r.id)
		return
	}
	if !result.neverRan() && r.ranAt == nil {
		r.ranAt, r.ranSince = s, r.sentAt
	}
	b.place(now, r)
}

// Gone tells that the client left; an attempt that is out still gets its outcome.
func (b *Balancer) Gone(_ time.Duration, id string) {
	if r := b.reqs[id]; r != nil {
		if r.gone = true; r.at == nil {
			delete(b.reqs, r.id)
		}
	}
}

func (b *Balancer) wakeBy(now, at time.Duration) {
	at = max(at, now+b.set.Tick)
	if b.wakeAt <= now || at < b.wakeAt {
		b.wakeAt = at
		b.host.Wake(at, timerHeld)
	}
}

const timerHeld, timerAsk = 0, 1 // names of timers

// Wake does what has fallen due.
func (b *Balancer) Wake(now time.Duration, name int64) {
	if name == timerAsk {
		b.host.Watch(true)
		return
	}
	held := b.held
	b.held = nil
	for _, r := range held {
		if !r.gone {
			b.place(now, r)
		}
	}
}

// ---- The list of servers ----

// Members tells what is new of the list of servers. A full list that leaves a server out has removed it.
func (b *Balancer) Members(now time.Duration, kind MembersKind, entries []Server) {
	b.watched(now, kind)
	if kind == Failed {
		return
	}
	b.lists++
	for _, e := range entries {
		b.learn(now, e)
	}
	for _, s := range b.list {
		if s.State != Gone && (kind != Delta && s.seen != b.lists || s.seen == calledGone) {
			s.State, s.lost = Gone, now
		}
	}
	b.forget(now)
}

const calledGone = -1 // in place of the list that named it last

// learn takes an entry of the list, which stays in order of id. Without a usable weight it counts as size 1.
func (b *Balancer) learn(now time.Duration, e Server) {
	s := b.server(e.ID)
	if e.State == Gone {
		s.seen = calledGone
		return
	}
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1
	}
	s.seen = b.lists
	i, listed := slices.BinarySearchFunc(b.list, s, byID)
	if !listed {
		b.list = slices.Insert(b.list, i, s)
		b.changed = true
	}
	if e.State == Draining && s.State != Draining && !s.bound {
		s.told = now
	}
	b.bind(s, &e)
	if e.Started != s.Started { // another process, perhaps under the same id: what was learned is void
		s.strikes, s.until, s.delay, s.budget, s.drawn = 0, 0, 0, 0, 0
	}
	b.changed = b.changed || e.Weight != s.Weight
	s.Server = e
}

// bind keeps what an older list that comes again would undo where only draining binds: a server seen
// draining drains until another process of it is ready, and no process is younger than the youngest seen.
func (b *Balancer) bind(s *server, e *Server) {
	if !b.set.OnlyDrainingBinds {
		return
	}
	if e.State == Draining {
		s.bound, s.boundAt = true, e.Started
	} else if s.bound = s.bound && e.Started <= s.boundAt; s.bound {
		e.State = Draining
	}
	e.Started = max(e.Started, s.Started)
}

// What is gone is remembered so long where that does not bind; each rememberedMost names, ever new, halve it.
const remembered, rememberedMost = 10 * time.Minute, 1024

// forget drops servers that are gone: at once where that binds, else when their memory has ended.
func (b *Balancer) forget(now time.Duration) {
	gone := func(s *server) bool { return s.State == Gone }
	if len(b.servers) == len(b.list) && !slices.ContainsFunc(b.list, gone) {
		return // each that we know is listed
	}
	keep := remembered >> (len(b.servers) / rememberedMost)
	for id, s := range b.servers {
		if s.State == Gone && len(s.conns) == 0 && (!b.set.OnlyDrainingBinds || now-s.lost > keep) {
			delete(b.servers, id)
		}
	}
	before := len(b.list)
	b.list = slices.DeleteFunc(b.list, func(s *server) bool {
		return s.State == Gone && (!b.set.OnlyDrainingBinds || s.bound || b.servers[s.ID] != s)
	})
	b.changed = b.changed || len(b.list) != before
}

func byID(s, o *server) int { return cmp.Compare(s.ID, o.ID) }

// watched keeps the subscription. Danger: calls that all siblings make at once fail at once. So each waits at
// random within a span that grows with their number and doubles with each failure, yet asks within AskWithin.
func (b *Balancer) watched(now time.Duration, kind MembersKind) {
	if b.asking = b.set.MustAsk && (kind == Failed || kind == Cached); !b.asking {
		b.askFails = 0
		return
	}
	limit := b.set.AskWithin * 4 / 5
	if kind == Failed {
		b.askFails++
		b.logf("list of servers: call %d in a row failed", b.askFails)
		limit = b.set.AskWithin * 7 / 10 // danger: what a call of seconds ago missed counts as told
	}
	span := min(b.set.AskWithin/100*time.Duration(b.set.Siblings)<<min(b.askFails, 5), limit)
	b.host.Wake(now+time.Duration(b.rng.Int64N(int64(span)+1)), timerAsk)
}
