// Package soak plays real balancer processes on loopback sockets under faults that are drawn from a seed: it takes the
// place of discovery, of the hosts, of the front and of the clients, sends the signals, and judges what it saw from the
// operators' pages alone. It imports nothing of the balancer but its laboratory.
package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// Script is one run: all that chance decides about it. What happens to the host list and on the way to discovery is a
// script of the search in virtual time; the rest can be played on sockets alone.
type Script struct {
	drainsearch.Script
	Proxy        bool          // connections end at the balancer; else packets pass through
	MaxAttempts  int           // of one request
	Deadline     time.Duration // of all classes
	Sockets      int           // file descriptors of a balancer; 0: no limit of its own
	Terminations []Termination
	HostFaults   []HostFault
	Floods       []ConnectionFlood `json:"Crowds"`
	IdleClients  []IdleClient      `json:"Resting"`
	Pauses       []Pause
	// GoneStaysUp has hosts that have gone from the list still take connections, so that a request to one is seen.
	GoneStaysUp bool
}

// Termination is a planned restart: SIGTERM, SIGKILL at the earliest moment that the pages allow, then a new process.
type Termination struct {
	At       time.Duration
	Balancer int
	KnownAge time.Duration // how old the list in the new process's configuration is
}

// HostFaultKind is a kind of trouble at a host.
type HostFaultKind int

// The kinds of trouble at hosts.
const (
	HostHangs     HostFaultKind = iota // it takes connections and lines, and answers nothing
	HostResets                         // it resets all that it holds, at the start of the span
	HostDelays                         // each answer comes up to 300 ms late
	HostFragments                      // answers come in pieces of a byte
	hostFaultKindCount

	// HostNotAccepting has the host take no connections, so that one that is asked for meanwhile comes up a second after that. Only runs
	// of crossings have it.
	HostNotAccepting
)

// HostFault is trouble at one host.
type HostFault struct {
	Kind     HostFaultKind
	Host     int
	From, To time.Duration
}

// ConnectionFlood is idle connections to one balancer, which say nothing.
type ConnectionFlood struct {
	Balancer    int
	From, To    time.Duration
	Connections int
}

// IdleClient is a client that connects, says nothing, and sends its request later on that connection.
type IdleClient struct {
	Balancer     int
	At           time.Duration // it connects
	RequestAfter time.Duration `json:"Asks"` // it sends its request, so long after that
}

// Pause stops a process and lets it go on (SIGSTOP, SIGCONT).
type Pause struct {
	At       time.Duration
	Balancer int
	For      time.Duration
	Twice    bool // it is stopped again for as long soon after
}

// Options change how a run is played.
type Options struct {
	Binary string   // the balancer
	Env    []string // of its processes, beside what the run sets
	Folder string   // for configurations and logs
	// Plant is a fault in the run's own configuration that the judge has to find.
	Plant Plant
}

// Plant is a planted fault.
type Plant int

// The planted faults. Each is a setting or a signal that differs from what the judge goes by.
const (
	Nothing      Plant = iota
	LongerGrace        // the balancer takes the drain grace as 1 s longer
	LateCalls          // its calls to discovery arrive 1 s late
	MoreAttempts       // it may make two attempts more
	LongerWindow       // it takes the window of repeats as 3 s longer
	EarlyKill          // it is killed 0.1 s after SIGTERM
	SafeClasses        // it takes all classes for ones that may be repeated
	plantCount
)

// Names of the planted faults.
var plantNames = map[Plant]string{LongerGrace: "longer_grace", LateCalls: "late_calls", MoreAttempts: "more_attempts",
	LongerWindow: "longer_window", EarlyKill: "early_kill", SafeClasses: "safe_classes"}

// String is the name of a planted fault.
func (p Plant) String() string { return plantNames[p] }

// Plants are all planted faults.
func Plants() (all []Plant) {
	for p := LongerGrace; p < plantCount; p++ {
		all = append(all, p)
	}
	return all
}

// Parse reads a script as json.Marshal writes it, and refuses one that cannot be played.
func Parse(text []byte) (*Script, error) {
	var s Script
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return &s, s.check()
}

// Bounds of a script: the machine's.
const (
	maxBalancers = 30
	maxHosts     = 100
	maxLength    = 10 * time.Minute
)

// check tells what of a script is out of range.
func (s *Script) check() error {
	if s.Balancers < 1 || s.Balancers > maxBalancers || s.Hosts < 1 || s.Hosts > maxHosts || s.Length <= 0 || s.Length > maxLength ||
		s.MaxAttempts < 1 || s.Deadline <= 0 {
		return errors.New("script: balancers, hosts, length, attempts or deadline out of range")
	}
	for _, balancer := range s.namedBalancers() {
		if balancer < 0 || balancer >= s.Balancers {
			return fmt.Errorf("script: no balancer %d", balancer)
		}
	}
	for _, f := range s.HostFaults {
		if f.Host < 0 || f.Host >= s.Hosts {
			return fmt.Errorf("script: no host %d", f.Host)
		}
	}
	for _, c := range s.Changes {
		if c.Host < 0 || c.Host >= s.Hosts {
			return fmt.Errorf("script: no host %d", c.Host)
		}
	}
	return nil
}

// namedBalancers are the balancers that the events name.
func (s *Script) namedBalancers() (all []int) {
	for _, r := range s.Requests {
		all = append(all, r.Balancer)
	}
	for _, r := range s.Reloads {
		all = append(all, r.Balancer)
	}
	for _, r := range s.Restarts {
		all = append(all, r.Balancer)
	}
	for _, t := range s.Terminations {
		all = append(all, t.Balancer)
	}
	for _, c := range s.Floods {
		all = append(all, c.Balancer)
	}
	for _, r := range s.IdleClients {
		all = append(all, r.Balancer)
	}
	for _, p := range s.Pauses {
		all = append(all, p.Balancer)
	}
	return all
}
