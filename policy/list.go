package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Members tells what is new of the list of servers. A full list that leaves a server out has removed it.
func (b *Balancer) Members(now time.Duration, kind MembersKind, entries []Server) {
	b.watched(now, kind)
	if kind == WatchFailed {
		return
	}
	b.lists++
	for _, e := range entries {
		if kind == Cached {
			e.NotifiedAt = LongAgo
		}
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
	if i, listed := slices.BinarySearchFunc(b.list, s, byID); !listed {
		b.list, b.changed = slices.Insert(b.list, i, s), true
	}
	if e.State == Draining && s.State != Draining && !s.bound {
		s.told = e.drainTold(now)
	}
	b.bind(s, &e)
	if e.Started != s.Started { // another process, perhaps under the same id: what was learned is void
		s.ejections, s.until, s.delay, s.slowStartLeft, s.slowStartAt = 0, 0, 0, 0, 0
	}
	b.changed = b.changed || e.Weight != s.Weight
	s.Server = e
}

// drainTold is since when an entry that drains may count as told.
func (s Server) drainTold(now time.Duration) time.Duration {
	if s.NotifiedAt > 0 {
		return min(s.NotifiedAt, now)
	}
	return now
}

// bind: seen draining, a server drains till a younger process of it is ready, whatever older lists say.
func (b *Balancer) bind(s *server, e *Server) {
	if !b.set.GoneServersUsable {
		return
	}
	if e.State == Draining {
		s.bound, s.boundAt = true, e.Started
	} else if s.bound = s.bound && e.Started <= s.boundAt; s.bound {
		e.State = Draining
	}
	e.Started = max(e.Started, s.Started)
}

const remembered, rememberedMost = 10 * time.Minute, 1024 // of what is gone; each so many names halve it

func (b *Balancer) forget(now time.Duration) { // who is gone: at once where that binds
	keep := remembered >> (len(b.servers) / rememberedMost)
	maps.DeleteFunc(b.servers, func(_ string, s *server) bool {
		return s.State == Gone && len(s.conns) == 0 && (!b.set.GoneServersUsable || now-s.lost > keep)
	})
	before := len(b.list)
	b.list = slices.DeleteFunc(b.list, func(s *server) bool {
		return s.State == Gone && (!b.set.GoneServersUsable || s.bound || b.servers[s.ID] != s)
	})
	b.changed = b.changed || len(b.list) != before
}

// RemoveServer takes a server off the list, as another instance serves it from now on; what stands there goes on.
func (b *Balancer) RemoveServer(id string) {
	b.server(id).State, b.changed = Gone, true
	b.list = slices.DeleteFunc(b.list, func(s *server) bool { return s.ID == id })
}

// AddServer takes a server that another instance served until now, and may just have spent its cold budget.
func (b *Balancer) AddServer(now time.Duration, e Server) {
	b.learn(now, e)
	s := b.server(e.ID)
	s.slowStartLeft, s.slowStartAt, s.slowStartLuck = 0, now, 1
	s.told = LongAgo // told elsewhere
}

func byID(s, o *server) int { return cmp.Compare(s.ID, o.ID) }

// watched keeps the subscription. Danger: the list held at the start may hide what is about to count as told:
// the first call is soon. Calls that all siblings make at once fail at once: the next ones wait at random.
func (b *Balancer) watched(now time.Duration, kind MembersKind) {
	if b.asking = b.set.MustWatch && (kind == WatchFailed || kind == Cached); !b.asking {
		b.askFails = 0
		return
	}
	gap := b.set.MaxWatchInterval / 100 * time.Duration(b.set.Siblings) // sooner, many jam it
	least, span := time.Duration(0), min(firstCalls*time.Duration(b.set.Siblings), toldAfter/20)
	if kind == WatchFailed {
		b.askFails++
		b.logf("list of servers: call %d in a row failed", b.askFails)
		most := min(toldAfter*2/5, max(callsOfFew*time.Duration(b.set.Siblings), toldAfter/10))
		span = min(gap<<min(b.askFails, 5), max(most, min(gap, toldAfter*3/4)), b.set.MaxWatchInterval*7/10)
		least = span / 2 * time.Duration(min(b.askFails-1, 1)) // on the mean no sooner than from 0 to 7 s
	}
	b.host.Wake(now+least+time.Duration(b.rng.Int64N(int64(span-least)+1)), timerAsk)
}

// By how much each balancer of a small fleet spreads the first call of a process, and calls after failures.
const firstCalls, callsOfFew = 12 * time.Millisecond, 150 * time.Millisecond

const toldAfter = 6 * time.Second // by then what discovery has counts as told, whatever calls failed

// ServerCounts is how many servers the list names, and how many of them are avoided now.
func (b *Balancer) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range b.list {
		if s.State == Gone {
			continue
		}
		if listed++; s.State == Draining || b.fails(now, s) || b.alike(s) {
			avoided++
		}
	}
	return listed, avoided
}
