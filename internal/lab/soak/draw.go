package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

const ms = time.Millisecond

// randomSource makes the random draws of a script.
type randomSource struct{ *rand.Rand }

func (rnd randomSource) between(lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(rnd.Int64N(int64(highest-lowest)+1))
}

func (rnd randomSource) withProbability(p float64) bool { return rnd.Float64() < p }

func pick[T any](rnd randomSource, options ...T) T { return options[rnd.IntN(len(options))] }

// stream separates these draws from others of the same seed.
const stream = 47

// Draw returns the run of a seed: a sequence of the search in virtual time, with events added that need real processes.
func Draw(seed uint64) *Script {
	rnd := randomSource{rand.New(rand.NewPCG(seed, stream))}
	s := &Script{Script: *drainsearch.Draw(seed), Proxy: rnd.withProbability(0.4), MaxAttempts: 1 + rnd.IntN(6),
		Deadline: pick[time.Duration](rnd, 300, 1200, 1200, 2500, 4000) * ms, GoneStaysUp: rnd.withProbability(0.7)}
	s.Aim = min(s.Aim, s.Deadline)
	rnd.addSignals(s)
	rnd.addHostFaults(s)
	rnd.addFlood(s)
	rnd.addIdleClients(s)
	rnd.addTraffic(s)
	return s
}

// addSignals draws planned restarts, consecutive reloads and pauses. A balancer that crashes has no planned restart, so
// that the losses of the two can be told apart.
func (rnd randomSource) addSignals(s *Script) {
	for _, h := range s.Holds {
		s.Pauses = append(s.Pauses, Pause{At: h.At, Balancer: h.Balancer, For: h.For})
	}
	s.Holds = nil
	if rnd.withProbability(0.4) { // several new configurations in quick succession, at one balancer after the other
		at := rnd.between(2*time.Second, s.Length-8*time.Second)
		for balancer := range s.Balancers {
			for _, gap := range []time.Duration{0, 300 * ms, 700 * ms, 1600 * ms} {
				s.Reloads = append(s.Reloads, drainsearch.Reload{At: at + time.Duration(balancer)*400*ms + gap, Balancer: balancer, Moves: true})
			}
		}
	}
	for range rnd.IntN(3) {
		balancer := rnd.IntN(s.Balancers)
		if slices.ContainsFunc(s.Restarts, func(r drainsearch.Restart) bool { return r.Balancer == balancer }) {
			continue
		}
		s.Terminations = append(s.Terminations, Termination{At: rnd.between(3*time.Second, s.Length-9*time.Second), Balancer: balancer,
			KnownAge: rnd.between(0, 20*time.Second)})
	}
}

func (rnd randomSource) addHostFaults(s *Script) {
	for range rnd.IntN(5) {
		from := rnd.between(0, s.Length)
		s.HostFaults = append(s.HostFaults, HostFault{Kind: HostFaultKind(rnd.IntN(int(hostFaultKindCount))), Host: rnd.IntN(s.Hosts),
			From: from, To: from + rnd.between(50*ms, 5*time.Second)})
	}
	if len(s.Terminations) > 0 && rnd.withProbability(0.5) { // a host that hangs during a shutdown
		at := s.Terminations[0].At
		s.HostFaults = append(s.HostFaults, HostFault{Kind: HostHangs, Host: rnd.IntN(s.Hosts), From: at - time.Second, To: at + 5*time.Second})
	}
}

// addFlood draws idle connections that use up the file descriptors of a balancer.
func (rnd randomSource) addFlood(s *Script) {
	if !rnd.withProbability(0.25) {
		return
	}
	s.Sockets = 100 + rnd.IntN(150)
	from := rnd.between(2*time.Second, s.Length-8*time.Second)
	balancer := rnd.IntN(s.Balancers)
	if len(s.Terminations) > 0 && rnd.withProbability(0.5) {
		from, balancer = s.Terminations[0].At-time.Second, s.Terminations[0].Balancer
	}
	s.Floods = append(s.Floods, ConnectionFlood{Balancer: balancer, From: from, To: from + rnd.between(2*time.Second, 6*time.Second),
		Connections: s.Sockets * 6 / 5})
}

// addIdleClients draws clients that send their requests late, many of them while their balancer shuts down.
func (rnd randomSource) addIdleClients(s *Script) {
	for range rnd.IntN(12) {
		r := IdleClient{Balancer: rnd.IntN(s.Balancers), At: rnd.between(time.Second, s.Length-4*time.Second), RequestAfter: rnd.between(0, 2*time.Second)}
		if n := len(s.Terminations); n > 0 && rnd.withProbability(0.7) {
			t := s.Terminations[rnd.IntN(n)]
			r.Balancer, r.At = t.Balancer, t.At-rnd.between(0, 900*ms)
			r.RequestAfter = t.At - r.At + rnd.between(0, min(s.Deadline, maxDeadline)+killMargin)
		}
		s.IdleClients = append(s.IdleClients, r)
	}
}

// addTraffic adds plain requests throughout the run, so that connections are in use at a shutdown.
func (rnd randomSource) addTraffic(s *Script) {
	for at := 500 * ms; at < s.Length-2*time.Second; at += rnd.between(100*ms, 400*ms) {
		s.Requests = append(s.Requests, drainsearch.Request{At: at, Balancer: rnd.IntN(s.Balancers), Key: rnd.Uint64N(40), TTL: s.Deadline,
			Class: pick(rnd, "safe", "keyed", "unsafe"), Answers: []drainsearch.Answer{drainsearch.AnswerUp}})
	}
	for _, c := range s.Changes { // clients that arrive as the grace of a drain ends
		if c.Phase == drainaudit.InService || c.At < 0 {
			continue
		}
		for range 4 * s.Balancers {
			s.Requests = append(s.Requests, drainsearch.Request{At: c.At + s.Grace + rnd.between(50*ms, 1500*ms), Balancer: rnd.IntN(s.Balancers),
				Key: rnd.Uint64N(1 << 20), TTL: s.Deadline, Class: "safe", MidFlow: rnd.withProbability(0.5), Answers: []drainsearch.Answer{drainsearch.AnswerUp}})
		}
	}
	for _, t := range s.Terminations { // clients that arrive as the balancer receives SIGTERM
		for range 10 {
			s.Requests = append(s.Requests, drainsearch.Request{At: t.At - 200*ms + rnd.between(0, 400*ms), Balancer: t.Balancer, Key: rnd.Uint64N(40),
				TTL: s.Deadline, Class: pick(rnd, "safe", "keyed", "unsafe"), Answers: []drainsearch.Answer{pick(rnd, drainsearch.AnswerUp, drainsearch.AnswerUp, drainsearch.AnswerNone)}})
		}
	}
}
