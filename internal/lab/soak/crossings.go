package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

// crossingsStream separates these draws from others of the same seed.
const crossingsStream = 48

// The length of a run of crossings and the settings of its requests. They are long enough that a connection that comes
// up a second late is still waited for, and that a request is still owed its answer when its balancer is killed.
const (
	crossingsLength   = 20 * time.Second
	crossingsDeadline = 4 * time.Second
	crossingsAim      = 2 * time.Second
	crossingsConnect  = 1500 * ms
)

// DrawCrossings returns the run of a seed in which events coincide that seldom do so in a run of Draw: connections to
// hosts come up as the hosts drain, clients leave in a burst while their balancer is stopped, and all hosts hang during
// a shutdown.
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

// Connections that come up late. The kernel retransmits a SYN after synRetryDelay. So a connection that is requested less
// than synRetryDelay minus the grace before a drain comes up after the grace of the drain is over.
const (
	synRetryDelay = time.Second
	lateRequests  = 30        // for each drain
	drainInterval = 2500 * ms // between two drains
)

// addLateConnections draws hosts that drain while connections to them are being established.
func (rnd randomSource) addLateConnections(s *Script) {
	at := rnd.between(2*time.Second, 3*time.Second)
	for host := range s.Hosts - 2 { // some hosts stay in service
		from := at - synRetryDelay + s.Grace + slack
		s.Changes = append(s.Changes, drainsearch.Change{At: at, Host: host, Phase: drainaudit.Terminating})
		s.HostFaults = append(s.HostFaults, HostFault{Kind: HostNotAccepting, Host: host, From: from - 100*ms, To: at - 10*ms})
		for range lateRequests {
			s.Requests = append(s.Requests, rnd.drawRequest(s, rnd.between(from, at-20*ms), rnd.IntN(s.Balancers)))
		}
		at += drainInterval
	}
}

// Clients that leave in a burst. A stop between the last check of a client and the first byte is shorter than the time
// for which an attempt may follow the end of its client. A first byte that is written after the second stop either
// follows a further check or was written without any check.
const (
	burstClients       = 250
	burstMaxPauseDelay = 25 * ms // latest stop of the balancer after the requests
	burstLeaveDelay    = 35 * ms // time from the requests until the clients leave
	burstPause         = 95 * ms // length of a stop
)

// addLeavingBursts draws many requests at once, whose clients leave while their balancer is stopped in the middle of
// them.
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

// addHangingShutdown draws a planned restart during all of which every host hangs, with requests that are open at that
// time. With a single allowed attempt such a request is still owed its answer when the process is killed.
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

// drawRequest draws a plain request that a host answers with UP.
func (rnd randomSource) drawRequest(s *Script, at time.Duration, balancer int) drainsearch.Request {
	return drainsearch.Request{At: at, Balancer: balancer, Key: rnd.Uint64N(1 << 20), TTL: s.Deadline,
		Class: pick(rnd, "safe", "keyed", "unsafe"), Answers: []drainsearch.Answer{drainsearch.AnswerUp}}
}
