package policy

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// Request receives a client's request and places it.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.requestTimes = append(b.withinBudgetSpan(now+1, b.requestTimes), now)
	b.requestRate.Add(now, b.settings.OverloadSpan)
	b.place(now, b.register(now, q))
}

// Inherit registers a connection that was already established when this instance started.
func (b *Balancer) Inherit(now time.Duration, q Request, server string) {
	r := b.register(now, q)
	r.attempts, r.established = 1, true
	b.attach(now, r, b.server(server))
}

// register creates the state of a request.
func (b *Balancer) register(now time.Duration, q Request) *request {
	text := q.ID // a request without a key may go anywhere, as long as such requests are spread evenly
	if q.HasKey {
		text = strconv.FormatUint(q.Key, 10)
	}
	r := &request{id: q.ID, class: b.settings.Classes[q.Class], keyHash: carpHash(text), midFlow: q.MidFlow,
		deadline: now + q.TTL, holdUntil: now + q.TTL/2, attempts: q.PriorAttempts,
		probeUntil:  now + min(b.settings.longestSetupTarget*3/4, q.TTL/4),
		maxAttempts: b.settings.MaxAttempts}
	if q.Reconnecting {
		r.reconnects = 1
	}
	b.requests[q.ID] = r
	b.countKey(r.keyHash)
	return r
}

// place sends a request to a server, holds it while there is time, or answers it.
func (b *Balancer) place(now time.Duration, r *request) {
	last := r.deadline - 2*b.settings.Tick
	b.surveyHealth(now)
	overload := b.shedProbability()
	r.shed = b.mayShed(r) && b.rng.Float64() < overload
	if why, over := b.noMoreAttempts(now, r, last); over {
		b.giveUp(now, r, never, why)
		return
	}
	if until := b.budgetSpentUntil(now); until > now && r.attempts > 0 {
		b.giveUp(now, r, until, RetryBudgetSpent)
		return
	}
	if b.listExpired(now) {
		b.awaitList(now, r)
		return
	}
	s, ends := b.walk(now, r, overload)
	switch {
	case s == nil && (r.shed || ends >= last): // no server becomes eligible in time
		b.giveUp(now, r, ends, noServerReason(r))
	case s == nil:
		b.hold(now, r, ends)
	case b.awaitReports(now, r):
		b.hold(now, r, r.probeUntil)
	default:
		b.send(now, r, s, overload)
	}
}

// mayShed reports whether a request may be refused for overload: a new one, or any once too many set-ups have
// failed in a row. Mid-flow arrivals are never shed.
func (b *Balancer) mayShed(r *request) bool {
	return !r.midFlow && (r.attempts == 0 || b.setupFailures > b.toleratedFailures())
}

// hold keeps a request until the reason for holding it may have ended.
func (b *Balancer) hold(now time.Duration, r *request, ends time.Duration) {
	b.waiting = append(b.waiting, r)
	at := max(min(ends, now+b.settings.longestSetupTarget/4), now+b.settings.Tick)
	if b.wakeAt <= now || at < b.wakeAt {
		b.wakeAt = at
		b.host.Wake(at, timerWaiting)
	}
}

// send starts an attempt.
func (b *Balancer) send(now time.Duration, r *request, s *server, overload float64) {
	if s.slowStartBudget > 0 {
		s.slowStartBudget--
	} else if b.capacityShare(now, s) < 1 {
		b.beyondBudgetAt = now
	}
	r.attempts++
	if r.attempts > 1 {
		b.retryTimes = append(b.retryTimes, now)
	}
	r.sentAt = now
	r.tried = append(r.tried, s)
	b.attach(now, r, s)
	b.host.Send(r.id, s.ID, b.attemptTimeout(now, r, overload))
}

// attemptTimeout returns how long an attempt may take. In a large fleet whose set-ups fail it is long: a
// store that all servers share would still have to do the work of the attempts that many balancers give up.
// Otherwise it leaves time for another attempt, as there is no answer from a server that hangs, nor if a
// packet is lost.
func (b *Balancer) attemptTimeout(now time.Duration, r *request, overload float64) time.Duration {
	left := r.deadline - now
	if r.attempts >= r.maxAttempts || b.budgetSpentUntil(now) != 0 {
		return left
	}
	half := left / 2
	switch {
	case b.largeFleet() && b.setupFailures > 0:
		return half * 9 / 5 // nine tenths of the time left
	case !b.largeFleet() && overload == 0 && r.class.SetupTarget > 0:
		return min(half, r.class.SetupTarget)
	}
	return half
}

// mayRepeat reports whether another attempt cannot repeat the effect of an earlier one.
func (r *request) mayRepeat(now time.Duration) bool {
	keyed := r.class.Effect == Keyed && now-r.mayHaveRunSince < r.class.DedupWindow
	return keyed || r.mayHaveRunOn == nil || r.class.Effect == Safe
}

// MayWrite reports whether the attempt of a request may be written now. While its connection was being set
// up, the server may have begun to drain, or the lease on the list or the deduplication window may have
// ended.
func (b *Balancer) MayWrite(now time.Duration, id string) bool {
	r := b.inFlight(id)
	if r == nil || r.clientGone || b.listExpired(now) {
		return false
	}
	return r.mayRepeat(now) && b.passOver(now, r, r.server) != draining
}

// attach counts a request at its server.
func (b *Balancer) attach(now time.Duration, r *request, s *server) {
	r.server = s
	s.connections = append(s.connections, r)
	if r.established {
		s.established++
	}
}

// ConnectionEstablished is called when the attempt of a request has become an established connection.
func (b *Balancer) ConnectionEstablished(now time.Duration, id string) {
	if r := b.inFlight(id); r != nil && !r.established {
		if r.established, b.setupFailures = true, b.setupFailures/2; !b.largeFleet() {
			b.setupFailures = 0
		}
		r.server.established++
		// halved only, as one success does not clear a server that fails intermittently
		r.server.ejections, r.server.ejectedUntil = r.server.ejections/2, now
	}
}

// Outcome is called when an attempt or its connection has ended. If over is set, the client needs no further
// answer.
func (b *Balancer) Outcome(now time.Duration, id string, result Result, over bool) {
	r := b.inFlight(id)
	if r == nil {
		return
	}
	s := r.server
	s.connections = slices.DeleteFunc(s.connections, func(o *request) bool { return o == r })
	if r.server = nil; r.established {
		s.established--
	}
	b.forgetUnlisted(s)
	switch result {
	case NotSent:
		// an attempt that was never sent does not count
		if i := slices.Index(b.retryTimes, r.sentAt); i >= 0 && r.attempts > 1 {
			b.retryTimes = slices.Delete(b.retryTimes, i, i+1)
		}
	case Rejected, Reset, Timeout, ConnectFailed, Error:
		if !r.established { // a server that drops established connections is crowded, not silent
			b.setupFailures++
			b.eject(now, s)
		}
	}
	if over || r.clientGone {
		delete(b.requests, r.id)
		return
	}
	if ran := result != Rejected && result != ConnectFailed && result != NotSent; ran &&
		r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = s, r.sentAt
	}
	b.place(now, r)
}

// ClientGone is called when the client of a request has left. An attempt under way still gets its Outcome.
func (b *Balancer) ClientGone(_ time.Duration, id string) {
	if r := b.requests[id]; r != nil {
		if r.clientGone = true; r.server == nil {
			delete(b.requests, r.id)
			b.waiting = slices.DeleteFunc(b.waiting, func(o *request) bool { return o == r })
		}
	}
}

// Wake is called when a timer set with Host.Wake has expired.
func (b *Balancer) Wake(now time.Duration, name int64) {
	if name == timerWatch {
		b.host.Watch(true)
		return
	}
	waiting := b.waiting
	b.waiting = nil
	for _, r := range waiting {
		b.place(now, r)
	}
}

// derive computes the fields that follow from the others. These are extremes, so the order of the map does
// not matter.
func (s *Settings) derive() {
	s.Siblings = max(s.Siblings, 1)
	for _, c := range s.Classes {
		s.longestSetupTarget = max(s.longestSetupTarget, c.SetupTarget)
		if c.MessageTarget > 0 &&
			(s.shortestMessageTarget == 0 || c.MessageTarget < s.shortestMessageTarget) {
			s.shortestMessageTarget = c.MessageTarget
		}
	}
}
