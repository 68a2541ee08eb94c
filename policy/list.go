package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Members receives a change of the list of servers, or that a watch has failed. A full list removes the
// servers that it leaves out.
func (b *Balancer) Members(now time.Duration, kind MembersKind, entries []Server) {
	b.scheduleWatch(now, kind)
	if kind == WatchFailed {
		return
	}
	b.listsReceived++
	for _, e := range entries {
		if kind == Cached {
			e.NotifiedAt = LongAgo
		}
		b.updateServer(now, e)
	}
	for _, s := range b.list {
		if s.State != Gone &&
			(kind != Delta && s.listedIn != b.listsReceived || s.listedIn == explicitlyGone) {
			s.State, s.goneAt = Gone, now
		}
	}
	b.forgetGone(now)
}

// explicitlyGone is the value of server.listedIn if the latest entry calls the server gone.
const explicitlyGone = -1

// updateServer applies an entry to the list, which is kept in order of id. An entry without a usable weight
// counts as size 1.
func (b *Balancer) updateServer(now time.Duration, e Server) {
	s := b.server(e.ID)
	if e.State == Gone {
		s.listedIn = explicitlyGone
		return
	}
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1
	}
	s.listedIn = b.listsReceived
	if i, listed := slices.BinarySearchFunc(b.list, s, byID); !listed {
		b.list, b.multipliersStale = slices.Insert(b.list, i, s), true
	}
	if e.State == Draining && s.State != Draining && !s.seenDraining {
		s.drainNotifiedAt = e.drainNotice(now)
	}
	b.keepDraining(s, &e)
	if e.Started != s.Started { // another process under the same id: observations of the old one do not apply
		s.ejections, s.ejectedUntil, s.delay, s.slowStartBudget, s.slowStartAt = 0, 0, 0, 0, 0
	}
	b.multipliersStale = b.multipliersStale || e.Weight != s.Weight
	s.Server = e
}

// drainNotice returns the earliest time from which a draining entry may count as notified.
func (s Server) drainNotice(now time.Duration) time.Duration {
	if s.NotifiedAt > 0 {
		return min(s.NotifiedAt, now)
	}
	return now
}

// keepDraining makes sure, where gone servers are usable, that a server that was seen draining counts as
// draining until a younger process of it is listed, whatever older lists say.
func (b *Balancer) keepDraining(s *server, e *Server) {
	if !b.settings.GoneServersUsable {
		return
	}
	if e.State == Draining {
		s.seenDraining, s.drainingStarted = true, e.Started
	} else if s.seenDraining = s.seenDraining && e.Started <= s.drainingStarted; s.seenDraining {
		e.State = Draining
	}
	e.Started = max(e.Started, s.Started)
}

const (
	// goneMemory is how long a server that is gone is remembered, where gone servers are usable.
	goneMemory = 10 * time.Minute
	// goneMemoryHalving is how many known servers halve goneMemory once.
	goneMemoryHalving = 1024
)

// forgetGone drops servers that are gone: after a while where gone servers are usable, otherwise at once.
func (b *Balancer) forgetGone(now time.Duration) {
	keep := goneMemory >> (len(b.servers) / goneMemoryHalving)
	maps.DeleteFunc(b.servers, func(_ string, s *server) bool {
		return s.State == Gone && len(s.connections) == 0 &&
			(!b.settings.GoneServersUsable || now-s.goneAt > keep)
	})
	before := len(b.list)
	b.list = slices.DeleteFunc(b.list, func(s *server) bool {
		return s.State == Gone && (!b.settings.GoneServersUsable || s.seenDraining || b.servers[s.ID] != s)
	})
	b.multipliersStale = b.multipliersStale || len(b.list) != before
}

// forgetUnlisted drops a server that no list has named, only a request of a client, once it has no
// connections.
func (b *Balancer) forgetUnlisted(s *server) {
	if s.listedIn == 0 && s.State == Gone && len(s.connections) == 0 && b.servers[s.ID] == s {
		delete(b.servers, s.ID)
	}
}

// RemoveServer takes a server off the list, as another instance uses it from now on. Its established
// connections stay.
func (b *Balancer) RemoveServer(id string) {
	b.server(id).State, b.multipliersStale = Gone, true
	b.list = slices.DeleteFunc(b.list, func(s *server) bool { return s.ID == id })
}

// AddServer puts a server on the list that another instance used until now. That instance may just have spent
// the server's slow start budget, so it counts as spent.
func (b *Balancer) AddServer(now time.Duration, e Server) {
	b.updateServer(now, e)
	s := b.server(e.ID)
	s.slowStartBudget, s.slowStartAt, s.slowStartDraw = 0, now, 1
	s.drainNotifiedAt = LongAgo // the other instance may have been notified of a drain long before
}

func byID(s, o *server) int { return cmp.Compare(s.ID, o.ID) }

// scheduleWatch schedules the next call for the list after a start or a failed call. The first call is made
// soon, as the stored list may lack a change that is about to count as notified. Later ones wait for a random
// time, as calls that all siblings make at once would all fail at once.
func (b *Balancer) scheduleWatch(now time.Duration, kind MembersKind) {
	if b.watchPending = b.settings.MustWatch && (kind == WatchFailed || kind == Cached); !b.watchPending {
		b.watchFailures = 0
		return
	}
	// With a shorter one the calls of a large fleet would overload discovery.
	backoff := b.settings.MaxWatchInterval / 100 * time.Duration(b.settings.Siblings)
	minWait, maxWait := time.Duration(0),
		min(firstCallSpread*time.Duration(b.settings.Siblings), notifiedWithin/20)
	if kind == WatchFailed {
		b.watchFailures++
		b.logf("list of servers: call %d in a row failed", b.watchFailures)
		limit := min(notifiedWithin*2/5,
			max(retrySpread*time.Duration(b.settings.Siblings), notifiedWithin/10))
		maxWait = min(backoff<<min(b.watchFailures, 5), max(limit, min(backoff, notifiedWithin*3/4)),
			b.settings.MaxWatchInterval*7/10)
		maxWait = b.withinLease(now, maxWait)
		// From the second failure on the wait is at least half of maxWait, three quarters of it on average.
		// In a large fleet, where maxWait is 4.5 s, this is about the average of a draw from 0 to 7 s.
		minWait = maxWait / 2 * time.Duration(min(b.watchFailures-1, 1))
	}
	b.host.Wake(now+minWait+time.Duration(b.rng.Int64N(int64(maxWait-minWait)+1)), timerWatch)
}

// withinLease shortens a wait for the next call for the list so that the call is made while the list may
// still be used. A call that shows that discovery is down then keeps it in use.
func (b *Balancer) withinLease(now, wait time.Duration) time.Duration {
	if left := b.leaseUntil - now - callMargin; b.leaseUntil > 0 && left > 0 {
		return min(wait, left)
	}
	return wait
}

const (
	// callMargin is the time before the end of the lease at which the latest call for the list is made.
	callMargin = 300 * time.Millisecond
	// firstCallSpread is the time per balancer over which a small fleet spreads the first calls of its
	// processes.
	firstCallSpread = 12 * time.Millisecond
	// retrySpread is the time per balancer over which a small fleet spreads the calls after failures.
	retrySpread = 150 * time.Millisecond
	// notifiedWithin is the time after which a change that discovery has counts as notified, whatever calls
	// failed.
	notifiedWithin = 6 * time.Second
)

// ServerCounts returns how many servers the list names, and how many of these are avoided now.
func (b *Balancer) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range b.list {
		if s.State == Gone {
			continue
		}
		if listed++; s.State == Draining || b.isFailing(now, s) || b.domainFails(s) {
			avoided++
		}
	}
	return listed, avoided
}
