package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

// crossingsStream keeps these draws apart from others of the same seed.
const crossingsStream = 48

// Of a run of crossings: how long it lasts, and what its requests have, so that a connection that comes up a second late is still
// waited for, and a request is still owed its answer as its balancer is killed.
const (
	crossingsLength   = 20 * time.Second
	crossingsDeadline = 4 * time.Second
	crossingsAim      = 2 * time.Second
	crossingsConnect  = 1500 * ms
)

// DrawCrossings makes the run of a seed in which events meet that Draw seldom has meet: connections to hosts come up as these
// drain, clients leave in a burst while their balancer is stopped, and all hosts hang through a shutdown.
func DrawCrossings(seed uint64) *Script {
	rnd := randomSource{rand.New(rand.NewPCG(seed, crossingsStream))}
	s := &Script{Script: drainsearch.Script{Seed: seed, Length: crossingsLength, Pushed: rnd.withProbability(0.4), Balancers: 1 + rnd.IntN(3), Hosts: 4 + rnd.IntN(3),
		Grace: pick[time.Duration](rnd, 250, 300, 400) * ms, Aim: crossingsAim, AskWithin: 10 * time.Second, Connect: crossingsConnect},
		Proxy: rnd.withProbability(0.4), MaxAttempts: pick(rnd, 1, 1, 2, 6), Deadline: crossingsDeadline, GoneStaysUp: true}
	rnd.addLateConnections(s)
	rnd.addLeavingBursts(s)
	rnd.addHangingShutdown(s)
	rnd.addTraffic(s)
	slices.SortStableFunc(s.Changes, func(a, b drainsearch.Change) int { return int(a.At - b.At) })
	return s
}

// Of connections that come up late: the system asks again for one after lateBy, so those that are asked for within that time,
// less the grace, before a drain come up once its grace is over.
const (
	synRetryDelay = time.Second
	lateRequests  = 30
	drainInterval = 2500 * ms
)

// addLateConnections draws hosts that drain while connections to them are under way.
func (rnd randomSource) addLateConnections(s *Script) {
	at := rnd.between(2*time.Second, 3*time.Second)
	for host := range s.Hosts - 2 { // some stay
		from := at - synRetryDelay + s.Grace + slack
		s.Changes = append(s.Changes, drainsearch.Change{At: at, Host: host, Phase: drainaudit.Terminating})
		s.HostFaults = append(s.HostFaults, HostFault{Kind: HostNotAccepting, Host: host, From: from - 100*ms, To: at - 10*ms})
		for range lateRequests {
			s.Requests = append(s.Requests, rnd.drawRequest(s, rnd.between(from, at-20*ms), rnd.IntN(s.Balancers)))
		}
		at += drainInterval
	}
}

// Of clients that leave in a burst: how many there are, how long after they ask their balancer is stopped, and how long after
// they ask they leave. A stop in the moment between the last look at a client and the first byte is shorter than the time in
// which an attempt may follow its client; what is written after the second one had another look, or is written without any.
const (
	burstClients       = 250
	burstMaxPauseDelay = 25 * ms
	burstLeaveDelay    = 35 * ms
	burstPause         = 95 * ms
)

// addLeavingBursts draws many requests at once, whose clients leave while their balancer is stopped in the midst of them.
func (rnd randomSource) addLeavingBursts(s *Script) {
	for range 4 {
		at, balancer := rnd.between(2*time.Second, s.Length-3*time.Second), rnd.IntN(s.Balancers)
		s.Pauses = append(s.Pauses, Pause{At: at + rnd.between(0, burstMaxPauseDelay), Balancer: balancer, For: burstPause, Twice: true})
		for range burstClients {
			r := rnd.drawRequest(s, at, balancer)
			r.Leaves = burstLeaveDelay
			s.Requests = append(s.Requests, r)
		}
	}
}

// addHangingShutdown draws a planned restart through the whole of which all hosts hang, with requests that are open then. Where one
// may be attempted once only it is still owed its answer as the process is killed.
func (rnd randomSource) addHangingShutdown(s *Script) {
	at, balancer := rnd.between(8*time.Second, s.Length-7*time.Second), rnd.IntN(s.Balancers)
	s.Terminations = append(s.Terminations, Termination{At: at, Balancer: balancer})
	for host := range s.Hosts {
		s.HostFaults = append(s.HostFaults, HostFault{Kind: HostHangs, Host: host, From: at - time.Second, To: at + 5*time.Second})
	}
	for range 20 {
		s.Requests = append(s.Requests, rnd.drawRequest(s, at+rnd.between(-300*ms, 250*ms), balancer))
	}
}

// drawRequest draws a plain drawRequest that a host answers as it comes.
func (rnd randomSource) drawRequest(s *Script, at time.Duration, balancer int) drainsearch.Request {
	return drainsearch.Request{At: at, Balancer: balancer, Key: rnd.Uint64N(1 << 20), TTL: s.Deadline,
		Class: pick(rnd, "safe", "keyed", "unsafe"), Answers: []drainsearch.Answer{drainsearch.Up}}
}
