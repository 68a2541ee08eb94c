// Package drainsearch searches for sequences of events after which a balancer sends a new request to a host that drains
// or is gone. It runs the balancer's own decision code, request table, list watcher and last check before a write in
// virtual time against a simulated discovery and hosts, and has package drainaudit judge every first byte.
package drainsearch

import (
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// Script is one sequence of events: everything about a run that is drawn at random.
type Script struct {
	Seed      uint64 // seed of the balancers' own random numbers
	Length    time.Duration
	Pushed    bool
	Balancers int
	Hosts     int
	Grace     time.Duration
	Aim       time.Duration // set-up target of all classes
	AskWithin time.Duration
	Connect   time.Duration // connect timeout for hosts
	Latency   time.Duration // one-way latency to discovery
	KnownAge  time.Duration // age of the list in the configuration
	Changes   []Change
	Faults    []Fault
	Reloads   []Reload
	Restarts  []Restart
	Holds     []Hold
	Requests  []Request
}

// Change is one change of the host list, at the time at which discovery has it.
type Change struct {
	At    time.Duration
	Host  int
	Phase drainaudit.Phase
	Moves bool // the host returns at another address, as another process
}

// FaultKind is a kind of fault between discovery and a balancer.
type FaultKind int

// The kinds of faults.
const (
	Outage           FaultKind = iota // discovery is down: connections are refused and watches end; an agent is silent
	Hung                              // discovery accepts connections and calls, and never answers
	Silent                            // calls that are open at the start receive no answer
	Reset                             // connections that are open at the start are reset
	Refusing                          // calls are refused after Delay
	Slow                              // answers are late by Delay
	Blackhole                         // connections that are opened do not come up
	Truncated                         // answers break off halfway
	Garbled                           // answers are malformed
	DuplicateHost                     // answers list a host twice, the second time in service
	StaleList                         // answers are complete lists of an older revision
	FullList                          // a watch is answered with the complete list
	CloseAfterAnswer                  // the connection ends after each answer
	faultKindCount
)

// Fault is a fault between discovery and one balancer, or all of them.
type Fault struct {
	Kind     FaultKind
	Balancer int // -1 for all
	From, To time.Duration
	Delay    time.Duration
}

// Reload is a SIGHUP of one balancer.
type Reload struct {
	At       time.Duration
	Balancer int
	Moves    bool // to another discovery
}

// Restart kills a process and starts another one, whose configuration has an old list.
type Restart struct {
	At       time.Duration
	Balancer int
	Down     time.Duration
	Startup  time.Duration // from the start of the process until it serves
	KnownAge time.Duration
}

// Hold delays a balancer between reading its clock and acting on it.
type Hold struct {
	At       time.Duration
	Balancer int
	For      time.Duration
}

// Answer is how a host answers an attempt.
type Answer int

// The answers.
const (
	AnswerUp Answer = iota
	AnswerErr
	AnswerBusy
	AnswerReset
	AnswerNone
	answerCount
)

// Request is one client's request.
type Request struct {
	At       time.Duration
	Balancer int
	Key      uint64
	MidFlow  bool
	TTL      time.Duration
	Leaves   time.Duration // time from the arrival of the client until it leaves; 0 if it stays
	Class    string
	Connect  []time.Duration // connect time of each attempt in turn
	Answers  []Answer        // answer to each attempt in turn
}
