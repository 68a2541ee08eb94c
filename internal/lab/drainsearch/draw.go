package drainsearch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// drawnLength is how long a drawn sequence lasts.
const drawnLength = 30 * time.Second

const ms = time.Millisecond

// dice draws what chance decides.
type dice struct{ *rand.Rand }

func (d dice) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.Int64N(int64(most-least)+1))
}

func (d dice) chance(p float64) bool { return d.Float64() < p }

func pick[T any](d dice, of ...T) T { return of[d.IntN(len(of))] }

// Draw makes the sequence of a seed.
func Draw(seed uint64) *Script {
	d := dice{rand.New(rand.NewPCG(seed, 42))}
	s := &Script{
		Seed: seed, Length: drawnLength, Pushed: d.chance(0.4), Balancers: 1 + d.IntN(8), Hosts: 2 + d.IntN(6),
		Grace:     pick[time.Duration](d, 250, 300, 400, 500, 750, 1000) * ms,
		Aim:       pick[time.Duration](d, 100, 300, 1000, 2000) * ms,
		AskWithin: pick[time.Duration](d, 5, 10, 10, 20) * time.Second,
		Connect:   pick[time.Duration](d, 100, 150, 500, 1500) * ms,
		Latency:   d.between(0, 10*ms),
		KnownAge:  d.between(0, 15*time.Second),
	}
	d.changes(s)
	d.faults(s)
	for range d.IntN(3) {
		s.Reloads = append(s.Reloads, d.reload(s))
	}
	for range d.IntN(3) {
		s.Restarts = append(s.Restarts, Restart{At: d.between(0, drawnLength), Balancer: d.IntN(s.Balancers), Down: d.between(0, 2*time.Second),
			Startup: d.between(5*ms, 200*ms), KnownAge: d.between(0, 20*time.Second)})
	}
	for range d.IntN(40) {
		s.Holds = append(s.Holds, Hold{At: d.between(0, drawnLength), Balancer: d.IntN(s.Balancers), For: d.between(0, 150*ms)})
	}
	d.requests(s)
	return s
}

// changes draws hosts that drain, go, and come back.
func (d dice) changes(s *Script) {
	for host := range s.Hosts - 1 { // one stays, or nothing could be sent
		at := d.between(-20*time.Second, drawnLength)
		if d.chance(0.3) {
			continue
		}
		for range 1 + d.IntN(2) {
			if d.chance(0.8) {
				s.Changes = append(s.Changes, Change{At: at, Host: host, Phase: drainaudit.Terminating})
				at += d.between(20*ms, 4*time.Second)
			}
			if d.chance(0.7) {
				s.Changes = append(s.Changes, Change{At: at, Host: host, Phase: drainaudit.Terminated})
				at += d.between(200*ms, 6*time.Second)
			}
			if d.chance(0.5) {
				break
			}
			s.Changes = append(s.Changes, Change{At: at, Host: host, Phase: drainaudit.InService, Moves: d.chance(0.5)})
			at += d.between(200*ms, 8*time.Second)
		}
	}
	slices.SortStableFunc(s.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
}

// unreadable are the kinds of trouble after which an answer is of no use. While they last nobody can hear of a change, so
// there is one of them in a sequence at most, and an agent on the own machine sends one answer of the kind.
var unreadable = []FaultKind{Truncated, Garbled, Duplicate, Stale}

// How long the answers of an agent, and of discovery, are unreadable. Danger: until the moment in which a change counts as
// told nobody could keep the rule.
const (
	withinOneAnswer   = 20 * ms
	longestUnreadable = 500 * ms
)

// faults draws trouble on the way to discovery; half of it about the time of a change, where it matters.
func (d dice) faults(s *Script) {
	spoilt := false
	for range d.IntN(6) {
		f := d.fault(s)
		bad := slices.Contains(unreadable, f.Kind)
		if bad && spoilt || s.Pushed && (f.Kind == Refusing || f.Kind == Slow || f.Kind == Vanished) {
			continue
		}
		spoilt = spoilt || bad
		switch {
		case bad && s.Pushed:
			f.To = f.From + withinOneAnswer
		case bad:
			f.To = min(f.To, f.From+longestUnreadable)
		}
		s.Faults = append(s.Faults, f)
	}
}

func (d dice) fault(s *Script) Fault {
	f := Fault{Kind: FaultKind(d.IntN(int(faultKinds))), Balancer: -1, From: d.between(0, drawnLength)}
	if len(s.Changes) > 0 && d.chance(0.5) {
		f.From = max(s.Changes[d.IntN(len(s.Changes))].At+d.between(-3*time.Second, 500*ms), 0)
	}
	if d.chance(0.4) && f.Kind != Outage {
		f.Balancer = d.IntN(s.Balancers)
	}
	longest := 3 * time.Second
	if f.Kind == Outage || f.Kind == Hung || f.Kind == Slow {
		longest = 12 * time.Second
	}
	f.To = f.From + d.between(10*ms, longest)
	switch f.Kind {
	case Refusing:
		f.Delay = d.between(0, longestWait)
	case Slow:
		f.Delay = d.between(0, longestWait)
	}
	return f
}

func (d dice) reload(s *Script) Reload {
	r := Reload{At: d.between(0, drawnLength), Balancer: d.IntN(s.Balancers), Moves: d.chance(0.8)}
	if n := len(s.Reloads); n > 0 && d.chance(0.5) { // in quick succession
		r.Balancer, r.At = s.Reloads[n-1].Balancer, s.Reloads[n-1].At+d.between(0, 2*time.Second)
	}
	return r
}

// longestWait is how long a call may wait at a busy discovery, which then refuses it.
const longestWait = 3 * time.Second

// requests draws clients; some of them come just as a drain, or the end of its grace, is due.
func (d dice) requests(s *Script) {
	for range 20 + d.IntN(120) {
		r := Request{At: d.between(0, drawnLength), Balancer: d.IntN(s.Balancers), Key: d.Uint64N(12), MidFlow: d.chance(0.3),
			TTL: d.between(200*ms, 4*time.Second), Class: pick(d, "safe", "keyed", "unsafe")}
		if len(s.Changes) > 0 && d.chance(0.5) {
			c := s.Changes[d.IntN(len(s.Changes))]
			r.At = max(c.At+pick(d, 0, 0, 6*time.Second, s.AskWithin)+s.Grace+d.between(-time.Second, 2*time.Second), 0)
		}
		for range 6 {
			connect := d.between(0, 3*ms)
			if d.chance(0.25) {
				connect = d.between(0, s.Connect*6/5)
			}
			r.Connect = append(r.Connect, connect)
			r.Answers = append(r.Answers, pick(d, Up, Up, Up, Answer(d.IntN(int(answers)))))
		}
		if d.chance(0.05) {
			r.Leaves = d.between(ms, r.TTL)
		}
		s.Requests = append(s.Requests, r)
	}
}
