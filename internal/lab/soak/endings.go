package soak

import (
	"math/rand/v2"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// endingsStream separates these draws from others of the same seed.
const endingsStream = 49

const endingsLength = 20 * time.Second

// DrawEndings returns the run of a seed in which established connections end in many ways: clients end their sending
// after a last line and wait for its answer, many of them as their balancer is shut down, and hosts spoil answers.
func DrawEndings(seed uint64) *Script {
	rnd := randomSource{rand.New(rand.NewPCG(seed, endingsStream))}
	s := &Script{Script: drainsearch.Script{Seed: seed, Length: endingsLength, Pushed: rnd.withProbability(0.4), Balancers: 1 + rnd.IntN(3), Hosts: 4 + rnd.IntN(3),
		Grace: 300 * ms, Aim: 300 * ms, AskWithin: 10 * time.Second, Connect: 150 * ms},
		Proxy: rnd.withProbability(0.6), MaxAttempts: 1 + rnd.IntN(4), Deadline: pick[time.Duration](rnd, 1200, 2500, 4000) * ms, GoneStaysUp: true}
	rnd.addShutdowns(s)
	rnd.addEndlessAnswers(s)
	rnd.addEndingClients(s)
	rnd.addTraffic(s)
	return s
}

// How long before and after SIGTERM the answers to lines are late, so that clients wait for them at that moment.
const (
	lateLinesBefore = time.Second
	lateLinesAfter  = 2 * time.Second
)

// addShutdowns draws a planned restart of each balancer.
func (rnd randomSource) addShutdowns(s *Script) {
	for balancer := range s.Balancers {
		at := rnd.between(4*time.Second, s.Length-9*time.Second)
		s.Terminations = append(s.Terminations, Termination{At: at, Balancer: balancer})
		for host := range s.Hosts {
			s.HostFaults = append(s.HostFaults, HostFault{Kind: HostLateLines, Host: host, From: at - lateLinesBefore, To: at + lateLinesAfter})
		}
	}
}

// addEndlessAnswers draws hosts that spoil all their answers for a while.
func (rnd randomSource) addEndlessAnswers(s *Script) {
	for range 1 + rnd.IntN(3) {
		from := rnd.between(2*time.Second, s.Length-10*time.Second)
		s.HostFaults = append(s.HostFaults, HostFault{Kind: HostEndlessAnswers, Host: rnd.IntN(s.Hosts), From: from, To: from + rnd.between(200*ms, 1500*ms)})
	}
}

// clientsPerShutdown is how many clients end their sending around each SIGTERM.
const clientsPerShutdown = 30

// addEndingClients draws clients that end their sending, throughout the run and around each shutdown.
func (rnd randomSource) addEndingClients(s *Script) {
	for at := time.Second; at < s.Length-5*time.Second; at += rnd.between(50*ms, 150*ms) {
		s.EndingClients = append(s.EndingClients, EndingClient{At: at, Balancer: rnd.IntN(s.Balancers), EndAfter: rnd.between(0, 3*time.Second)})
	}
	for _, t := range s.Terminations {
		for range clientsPerShutdown {
			at := t.At - rnd.between(500*ms, 2*time.Second)
			end := t.At + rnd.between(-lineDelay, 50*ms)
			s.EndingClients = append(s.EndingClients, EndingClient{At: at, Balancer: t.Balancer, EndAfter: end - at})
		}
	}
}
