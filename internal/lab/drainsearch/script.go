// Package drainsearch looks for sequences of events after which a balancer sends a new request to a host that drains or is
// gone. It plays the balancer's own decision code, request table, list watcher and last gate in virtual time against a
// stand-in discovery and hosts, and has every first byte judged by package drainaudit.
package drainsearch

import (
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// Script is one sequence of events: all that chance decides about a run.
type Script struct {
	Seed      uint64 // of the balancers' own random numbers
	Length    time.Duration
	Pushed    bool
	Balancers int
	Hosts     int
	Grace     time.Duration
	Aim       time.Duration // of all classes: how soon a set-up is wanted
	AskWithin time.Duration
	Connect   time.Duration // how long a connection to a host may take to come up
	Latency   time.Duration // of discovery, each way
	KnownAge  time.Duration // how old the list in the configuration is
	Changes   []Change
	Faults    []Fault
	Reloads   []Reload
	Restarts  []Restart
	Holds     []Hold
	Requests  []Request
}

// Change is one change of the host list, at the moment in which discovery has it.
type Change struct {
	At    time.Duration
	Host  int
	Phase drainaudit.Phase
	Moves bool // it comes back at another address, as another process
}

// FaultKind is a kind of trouble on the way to discovery.
type FaultKind int

// The kinds of trouble.
const (
	Outage    FaultKind = iota // discovery is down: connections are refused and watches end; an agent is silent
	Hung                       // discovery takes connections and calls, and leaves them without a word
	Silent                     // calls that are open at the start get no answer any more
	Reset                      // connections that are open at the start are reset
	Refusing                   // calls are turned down after Delay
	Slow                       // answers come Delay late
	Vanished                   // connections that are made do not come up
	Truncated                  // answers break off in their midst
	Garbled                    // answers make no sense
	Duplicate                  // answers name a host twice, in service last
	Stale                      // answers are whole lists of an older revision
	Whole                      // a watch is answered with the whole list
	Closing                    // the connection ends after each answer
	faultKinds
)

// Fault is trouble between discovery and one balancer, or all.
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
	Moves    bool // discovery is elsewhere
}

// Restart ends a process and starts another, with a list that is old.
type Restart struct {
	At       time.Duration
	Balancer int
	Down     time.Duration
	Startup  time.Duration // from the process's first moment until it serves
	KnownAge time.Duration
}

// Hold is a pause of a balancer between reading its clock and what it does then.
type Hold struct {
	At       time.Duration
	Balancer int
	For      time.Duration
}

// Answer is what a host says to an attempt.
type Answer int

// The answers.
const (
	Up Answer = iota
	Errs
	Busy
	Resets
	Nothing
	answers
)

// Request is one client's request.
type Request struct {
	At       time.Duration
	Balancer int
	Key      uint64
	MidFlow  bool
	TTL      time.Duration
	Leaves   time.Duration // after its coming; 0: it stays
	Class    string
	Connect  []time.Duration // what the connections of its attempts take, in turn
	Answers  []Answer        // what hosts say to them, in turn
}
