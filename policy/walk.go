package policy

import (
	"math"
	"slices"
	"time"

	"tealtiller/internal/scale"
)

const never, doublings = time.Duration(math.MaxInt64), 3 // of times; of an ejection

const (
	eligible  = iota
	draining  // danger: new work on a server that must empty would break a rule
	tried     // danger: the same answer again; the draft's next-best member (3.5), for refusals too
	foreign   // danger: a keyed request's effect twice, where its duplicates are not known
	crowded   // danger: what is late already, or was refused for most that fail, makes it later
	warmingUp // danger: a fresh server sent more than it can do falls over and stays down
	unlisted  // danger: the list may be right in calling it gone; from here on guesses
	ejected   // danger: one that never answers looks empty, and a few heavy connections fill one unseen
	akin      // danger: what fails together, by its link or make, costs a try on each
)

func (b *Balancer) passOver(now time.Duration, r *request, s *server) (reason int) {
	switch {
	case b.leaving(s) && !b.inGrace(now, r, s):
		return draining
	case slices.Contains(r.tried, s):
		return tried
	case r.ranAt != nil && r.class.Effect == Keyed && !s.shares(r.class.DedupScope, r.ranAt.Server):
		return foreign
	case r.excess && b.capacityShare(now, s) >= 1, b.many() && !r.keeps() && b.full(now, r, s):
		return crowded
	case !b.withinSlowStart(now, r, s):
		return warmingUp
	case r.keeps(): // guesses aside
		return eligible
	case s.State == Gone && !b.listSuspect:
		return unlisted
	case b.fails(now, s):
		return ejected
	case b.alike(s):
		return akin
	}
	return eligible
}

// leaving tells whether a server drains or is gone. Where only draining binds, one that the list merely
// calls gone may run.
func (b *Balancer) leaving(s *server) bool {
	if s.State == Gone {
		return s.bound || !b.set.GoneServersUsable
	}
	return s.State == Draining
}

// inGrace tells whether a draining server may still be sent what arrives mid-flow, as it may well hold the
// connection.
func (b *Balancer) inGrace(now time.Duration, r *request, s *server) bool {
	return r.midFlow && s.State == Draining && now < s.told+b.set.DrainGrace-longestHold
}

// longestHold is how long a process may be held up between reading its clock and writing.
const longestHold = 150 * time.Millisecond

// full: of many, by its report a server has no room for a key's next one, the less the further down it ranks,
// as each that holds any of a group pays for it. Danger: where others are heard, an unasked one fills unseen.
func (b *Balancer) full(now time.Duration, r *request, s *server) bool {
	if now-s.heardAt >= 3*noteEvery && now-b.heardAt < 3*noteEvery && !b.mayAsk(now, r) {
		return true
	}
	crowded := now-s.heardAt < 3*noteEvery && s.load > mostLoad-rankStep*float64(max(r.rank-2, 0))
	return crowded || b.slow(now, s) && s.delay >= b.set.messageAim/2
}

func (r *request) chance(b *Balancer, s *server) float64 { // drawn once for a request and a server
	if r.luck == 0 {
		r.luck = b.rng.Float64()
	}
	return math.Mod(r.luck+float64(s.hash)/(1<<32), 1)
}

func (r *request) keeps() bool { return r.midFlow && r.attempts == 0 && !r.guess } // not reset yet

func (s Server) shares(scope Scope, other Server) bool { // whether they discard each other's duplicates
	return scope == ScopeAll || scope == ScopeZone && s.Zone == other.Zone ||
		scope == ScopeCell && s.Cell == other.Cell
}

// walk goes down the ranking to the less occupied of the first two eligible; else it tells when that may end.
func (b *Balancer) walk(now time.Duration, r *request, overload float64) (top *server, ends time.Duration) {
	guessesYield := overload > 0 || now >= r.patient
	skip, best, most, ranked := b.popular(r), 0, 0, 0
	b.pair, r.rank = [2]*server{}, 0
	r.guess = r.midFlow && b.informed() && !slices.ContainsFunc(b.list, func(s *server) bool {
		ours, _ := b.holds(now, s, r.hash)
		return ours > 0
	})
	if ends = never; len(b.list) == 0 && b.asking && now < r.patient {
		ends = now + b.set.patience/4
	}
	for s := range b.rank(r.hash) {
		skip--
		r.rank++
		switch why := b.passOver(now, r, s); {
		case why == warmingUp && !b.many(): // whose one chance is drawn once
			ends = min(ends, s.slowStartAt+b.set.OverloadSpan)
		case why == crowded && b.set.Probes && now < r.patient, why > warmingUp && !guessesYield:
			ends = min(ends, r.patient)
		case eligible < why && why <= warmingUp:
		case r.keeps(): // any but its holder resets it
			h, came := b.holds(now, s, r.hash)
			ranked++
			fewer := ranked == 2 && came < most
			if h > 0 && top != nil {
				fewer = b.felt(s) < b.felt(top)
			}
			if top == nil || h > best || h == best && fewer {
				top, best, most = s, h, came
			}
		case skip >= 0 && !b.informed(): // popular
		case top == nil:
			top, b.pair[0] = s, s
		default:
			b.pair[1] = s
			if d := b.felt(s) - b.felt(top); d < 0 || d == 0 && b.many() && b.rng.IntN(2) == 0 {
				top = s
			}
			return top, 0
		}
	}
	return top, ends
}

// many: more balancers than servers. Own counts tell nothing, top servers tie, all fill the first: drawn.
func (b *Balancer) many() bool { return scale.IsLargeFleet(b.set.Siblings, len(b.list)) }

func (b *Balancer) informed() bool { return b.many() && b.set.Probes } // by the reports that it asks for

func (b *Balancer) mayAsk(now time.Duration, r *request) bool {
	return now < r.curious && r.asks < 2*r.most
}

// unheard asks those that a request may go to for reports, and tells whether to wait.
func (b *Balancer) unheard(now time.Duration, r *request) (waits bool) {
	for _, s := range b.pair {
		known := s == nil || !b.informed() || now >= r.curious || now-s.heardAt <= noteEvery
		if !known && now-s.askedAt > b.set.patience && b.mayAsk(now, r) {
			r.asks, s.askedAt = r.asks+1, now
			b.host.Probe(s.ID)
		}
		waits = waits || !known && now-s.askedAt <= b.set.patience
	}
	return waits
}

// ProbeResult takes what a server answered when asked.
func (b *Balancer) ProbeResult(now time.Duration, server string, report Report) {
	s := b.server(server)
	if report.Answered {
		b.heardAt, s.heardAt = now, now
		if s.load = report.Load; !b.slow(now, s) {
			s.delay, s.delayAt = report.Delay, now
		}
	} else if now-s.askedAt <= b.set.patience {
		b.eject(now, s)
	}
	b.Wake(now, timerHeld)
}

// holds tells how likely a server holds what arrives mid-flow, and how many of its key came here so: most are
// where ours are, hardly at one slow or started since. Danger: dozens of a key fill one: who came counts off.
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

// popular draws how many top ranks to pass over. Danger: a key of many clients fills its two unseen.
func (b *Balancer) popular(r *request) int {
	return b.rng.IntN(max(int(math.Ceil(b.share(r)*float64(len(b.list))/2))-1, 1))
}

func (b *Balancer) share(r *request) float64 { // of a key in all requests; a return counts twice
	seen := popularShare*popularWeight + float64(max(b.keys[r.hash]-1, 0)+r.returns)
	return seen / (popularWeight + float64(max(b.seen-1, 0)))
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

// felt is how occupied a server is: by our connections over size; of many by report, zone and price of it.
func (b *Balancer) felt(s *server) (load float64) {
	if !b.many() {
		return float64(len(s.conns)+1) / s.Weight
	}
	if load = s.load; s.Zone != b.set.Zone {
		load += 2 * b.set.CrossZoneCost
	}
	return load
}
