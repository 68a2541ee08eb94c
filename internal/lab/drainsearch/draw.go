package drainsearch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// drawnLength is the length of a drawn sequence.
const drawnLength = 30 * time.Second

const ms = time.Millisecond

// randomSource makes the random draws of a script.
type randomSource struct{ *rand.Rand }

func (rnd randomSource) between(lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(rnd.Int64N(int64(highest-lowest)+1))
}

func (rnd randomSource) withProbability(p float64) bool { return rnd.Float64() < p }

func pick[T any](rnd randomSource, options ...T) T { return options[rnd.IntN(len(options))] }

// Draw returns the sequence of a seed.
func Draw(seed uint64) *Script {
	rnd := randomSource{rand.New(rand.NewPCG(seed, 42))}
	s := &Script{
		Seed: seed, Length: drawnLength, Pushed: rnd.withProbability(0.4), Balancers: 1 + rnd.IntN(8), Hosts: 2 + rnd.IntN(6),
		Grace:     pick[time.Duration](rnd, 250, 300, 400, 500, 750, 1000) * ms,
		Aim:       pick[time.Duration](rnd, 100, 300, 1000, 2000) * ms,
		AskWithin: pick[time.Duration](rnd, 5, 10, 10, 20) * time.Second,
		Connect:   pick[time.Duration](rnd, 100, 150, 500, 1500) * ms,
		Latency:   rnd.between(0, 10*ms),
		KnownAge:  rnd.between(0, 15*time.Second),
	}
	rnd.addChanges(s)
	rnd.addFaults(s)
	for range rnd.IntN(3) {
		s.Reloads = append(s.Reloads, rnd.drawReload(s))
	}
	for range rnd.IntN(3) {
		s.Restarts = append(s.Restarts, Restart{At: rnd.between(0, drawnLength), Balancer: rnd.IntN(s.Balancers), Down: rnd.between(0, 2*time.Second),
			Startup: rnd.between(5*ms, 200*ms), KnownAge: rnd.between(0, 20*time.Second)})
	}
	for range rnd.IntN(40) {
		s.Holds = append(s.Holds, Hold{At: rnd.between(0, drawnLength), Balancer: rnd.IntN(s.Balancers), For: rnd.between(0, 150*ms)})
	}
	rnd.addRequests(s)
	return s
}

// addChanges draws hosts that drain, are removed and return.
func (rnd randomSource) addChanges(s *Script) {
	for host := range s.Hosts - 1 { // one host stays in service, as otherwise nothing could be sent
		at := rnd.between(-20*time.Second, drawnLength)
		if rnd.withProbability(0.3) {
			continue
		}
		for range 1 + rnd.IntN(2) {
			if rnd.withProbability(0.8) {
				s.Changes = append(s.Changes, Change{At: at, Host: host, Phase: drainaudit.Terminating})
				at += rnd.between(20*ms, 4*time.Second)
			}
			if rnd.withProbability(0.7) {
				s.Changes = append(s.Changes, Change{At: at, Host: host, Phase: drainaudit.Terminated})
				at += rnd.between(200*ms, 6*time.Second)
			}
			if rnd.withProbability(0.5) {
				break
			}
			s.Changes = append(s.Changes, Change{At: at, Host: host, Phase: drainaudit.InService, Moves: rnd.withProbability(0.5)})
			at += rnd.between(200*ms, 8*time.Second)
		}
	}
	slices.SortStableFunc(s.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
}

// unreadableKinds are the faults whose answers cannot be used. While such a fault lasts no balancer can learn of a
// change. So a sequence has one of them at most, and an agent, which is on the balancer's own machine, sends one such
// answer.
var unreadableKinds = []FaultKind{Truncated, Garbled, DuplicateHost, StaleList}

// How long the answers of an agent, and of discovery, are unreadable. If they were unreadable until a change counts as
// notified, no balancer could keep the rule.
const (
	agentUnreadable = 20 * ms // short enough for one answer
	maxUnreadable   = 500 * ms
)

// addFaults draws faults of discovery; half of them start near a change of the list, where they matter.
func (rnd randomSource) addFaults(s *Script) {
	hasUnreadable := false
	for range rnd.IntN(6) {
		f := rnd.drawFault(s)
		unreadable := slices.Contains(unreadableKinds, f.Kind)
		if unreadable && hasUnreadable || s.Pushed && (f.Kind == Refusing || f.Kind == Slow || f.Kind == Blackhole) {
			continue
		}
		hasUnreadable = hasUnreadable || unreadable
		switch {
		case unreadable && s.Pushed:
			f.To = f.From + agentUnreadable
		case unreadable:
			f.To = min(f.To, f.From+maxUnreadable)
		}
		s.Faults = append(s.Faults, f)
	}
}

func (rnd randomSource) drawFault(s *Script) Fault {
	f := Fault{Kind: FaultKind(rnd.IntN(int(faultKindCount))), Balancer: -1, From: rnd.between(0, drawnLength)}
	if len(s.Changes) > 0 && rnd.withProbability(0.5) {
		f.From = max(s.Changes[rnd.IntN(len(s.Changes))].At+rnd.between(-3*time.Second, 500*ms), 0)
	}
	if rnd.withProbability(0.4) && f.Kind != Outage {
		f.Balancer = rnd.IntN(s.Balancers)
	}
	maxDuration := 3 * time.Second
	if f.Kind == Outage || f.Kind == Hung || f.Kind == Slow {
		maxDuration = 12 * time.Second
	}
	f.To = f.From + rnd.between(10*ms, maxDuration)
	switch f.Kind {
	case Refusing:
		f.Delay = rnd.between(0, maxCallWait)
	case Slow:
		f.Delay = rnd.between(0, maxCallWait)
	}
	return f
}

func (rnd randomSource) drawReload(s *Script) Reload {
	r := Reload{At: rnd.between(0, drawnLength), Balancer: rnd.IntN(s.Balancers), Moves: rnd.withProbability(0.8)}
	if n := len(s.Reloads); n > 0 && rnd.withProbability(0.5) { // in quick succession
		r.Balancer, r.At = s.Reloads[n-1].Balancer, s.Reloads[n-1].At+rnd.between(0, 2*time.Second)
	}
	return r
}

// maxCallWait is how long a call may wait at an overloaded discovery, which then refuses it.
const maxCallWait = 3 * time.Second

// addRequests draws clients; some of them arrive as a drain, or the end of its grace, is due.
func (rnd randomSource) addRequests(s *Script) {
	for range 20 + rnd.IntN(120) {
		r := Request{At: rnd.between(0, drawnLength), Balancer: rnd.IntN(s.Balancers), Key: rnd.Uint64N(12), MidFlow: rnd.withProbability(0.3),
			TTL: rnd.between(200*ms, 4*time.Second), Class: pick(rnd, "safe", "keyed", "unsafe")}
		if len(s.Changes) > 0 && rnd.withProbability(0.5) {
			c := s.Changes[rnd.IntN(len(s.Changes))]
			r.At = max(c.At+pick(rnd, 0, 0, 6*time.Second, s.AskWithin)+s.Grace+rnd.between(-time.Second, 2*time.Second), 0)
		}
		for range 6 {
			connect := rnd.between(0, 3*ms)
			if rnd.withProbability(0.25) {
				connect = rnd.between(0, s.Connect*6/5)
			}
			r.Connect = append(r.Connect, connect)
			r.Answers = append(r.Answers, pick(rnd, AnswerUp, AnswerUp, AnswerUp, Answer(rnd.IntN(int(answerCount)))))
		}
		if rnd.withProbability(0.05) {
			r.Leaves = rnd.between(ms, r.TTL)
		}
		s.Requests = append(s.Requests, r)
	}
}
