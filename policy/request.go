package policy

import (
	"slices"
	"strconv"
	"time"
)

func (b *Balancer) Request(now time.Duration, q Request) { // takes a client's request
	b.taken = append(b.within(now+1, b.taken), now)
	b.rush.Add(now, b.set.OverloadSpan)
	b.place(now, b.admit(now, q))
}

// Inherit counts a connection that stood when this instance started.
func (b *Balancer) Inherit(now time.Duration, q Request, server string) {
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
		deadline: now + q.TTL, patient: now + q.TTL/2, attempts: q.PriorAttempts,
		curious: now + min(b.set.patience*3/4, q.TTL/4), most: b.set.MaxAttempts}
	if q.Reconnecting {
		r.returns = 1
	}
	b.reqs[q.ID] = r
	b.see(r.hash)
	return r
}

// place sends a request to its server, or holds it while there is time, or answers it.
func (b *Balancer) place(now time.Duration, r *request) {
	last := r.deadline - 2*b.set.Tick
	b.survey(now)
	overload := b.overloaded()
	r.excess = b.mayShed(r) && b.rng.Float64() < overload
	if why, over := b.over(now, r, last); over {
		b.giveUp(now, r, never, why)
		return
	}
	if until := b.spentUntil(now); until > now && r.attempts > 0 {
		b.giveUp(now, r, until, RetryBudgetSpent)
		return
	}
	if b.listExpired(now) {
		b.awaitList(now, r)
		return
	}
	s, ends := b.walk(now, r, overload)
	switch {
	case s == nil && (r.excess || ends >= last): // nothing can come of it in time
		b.giveUp(now, r, ends, noServer(r))
	case s == nil:
		b.hold(now, r, ends)
	case b.unheard(now, r):
		b.hold(now, r, r.curious)
	default:
		b.send(now, r, s, overload)
	}
}

// mayShed tells whether a request may be turned away for overload: a new one, or one of too many that fail.
func (b *Balancer) mayShed(r *request) bool {
	return !r.midFlow && (r.attempts == 0 || b.failed > b.inRow())
}

// hold keeps a request until something may have changed.
func (b *Balancer) hold(now time.Duration, r *request, ends time.Duration) {
	b.held = append(b.held, r)
	at := max(min(ends, now+b.set.patience/4), now+b.set.Tick)
	if b.wakeAt <= now || at < b.wakeAt {
		b.wakeAt = at
		b.host.Wake(at, timerHeld)
	}
}

// send begins an attempt.
func (b *Balancer) send(now time.Duration, r *request, s *server, overload float64) {
	if s.slowStartLeft > 0 {
		s.slowStartLeft--
	} else if b.capacityShare(now, s) < 1 {
		b.roomAt = now
	}
	r.attempts++
	if r.attempts > 1 {
		b.again = append(b.again, now)
	}
	r.sentAt = now
	r.tried = append(r.tried, s)
	b.attach(now, r, s)
	b.host.Send(r.id, s.ID, b.timeout(now, r, overload))
}

// timeout is how long an attempt may take. Danger: what many give up, a store that all share has still to do;
// but a server that hangs never says so, nor does what was lost on the way.
func (b *Balancer) timeout(now time.Duration, r *request, overload float64) time.Duration {
	left := r.deadline - now
	if r.attempts >= r.most || b.spentUntil(now) != 0 {
		return left
	}
	half := left / 2
	switch {
	case b.many() && b.failed > 0:
		return half * 9 / 5 // nine tenths of what is left
	case !b.many() && overload == 0 && r.class.SetupTarget > 0:
		return min(half, r.class.SetupTarget)
	}
	return half
}

func (r *request) repeats(now time.Duration) bool { // whether one more attempt doubles no effect
	keyed := r.class.Effect == Keyed && now-r.ranSince < r.class.DedupWindow
	return keyed || r.ranAt == nil || r.class.Effect == Safe
}

// MayWrite: it may be written now. Danger: while it came up, a drain was told, the list or the window of
// repeats expired.
func (b *Balancer) MayWrite(now time.Duration, id string) bool {
	r := b.out(id)
	if r == nil || r.gone || b.listExpired(now) {
		return false
	}
	return r.repeats(now) && b.passOver(now, r, r.at) != draining
}

func (b *Balancer) attach(now time.Duration, r *request, s *server) {
	r.at = s
	s.conns = append(s.conns, r)
	if r.began {
		s.standing++
	}
}

func (b *Balancer) ConnectionEstablished(now time.Duration, id string) { // tells that a connection stands
	if r := b.out(id); r != nil && !r.began {
		if r.began, b.failed = true, b.failed/2; !b.many() {
			b.failed = 0
		}
		r.at.standing++
		r.at.ejections, r.at.until = r.at.ejections/2, now // one success does not clear what fails by turns
	}
}

// Outcome tells how an attempt ended; over: nothing more is owed.
func (b *Balancer) Outcome(now time.Duration, id string, result Result, over bool) {
	r := b.out(id)
	if r == nil {
		return
	}
	s := r.at
	s.conns = slices.DeleteFunc(s.conns, func(o *request) bool { return o == r })
	if r.at = nil; r.began {
		s.standing--
	}
	switch result {
	case NotSent:
		if i := slices.Index(b.again, r.sentAt); i >= 0 && r.attempts > 1 { // never sent: it does not count
			b.again = slices.Delete(b.again, i, i+1)
		}
	case Rejected, Reset, Timeout, ConnectFailed, Error:
		if !r.began { // servers that drop what stands are crowded, not silent
			b.failed++
			b.eject(now, s)
		}
	}
	if over || r.gone {
		delete(b.reqs, r.id)
		return
	}
	if ran := result != Rejected && result != ConnectFailed && result != NotSent; ran && r.ranAt == nil {
		r.ranAt, r.ranSince = s, r.sentAt
	}
	b.place(now, r)
}

func (b *Balancer) ClientGone(_ time.Duration, id string) { // the client left; what is out gets its outcome
	if r := b.reqs[id]; r != nil {
		if r.gone = true; r.at == nil {
			delete(b.reqs, r.id)
			b.held = slices.DeleteFunc(b.held, func(o *request) bool { return o == r })
		}
	}
}

func (b *Balancer) Wake(now time.Duration, name int64) { // does what has fallen due
	if name == timerAsk {
		b.host.Watch(true)
		return
	}
	held := b.held
	b.held = nil
	for _, r := range held {
		b.place(now, r)
	}
}

// derive fills in what follows from the rest; being extremes, they do not depend on the order of the map.
func (s *Settings) derive() {
	s.Siblings = max(s.Siblings, 1)
	for _, c := range s.Classes {
		s.patience = max(s.patience, c.SetupTarget)
		if c.MessageTarget > 0 && (s.messageAim == 0 || c.MessageTarget < s.messageAim) {
			s.messageAim = c.MessageTarget
		}
	}
}
