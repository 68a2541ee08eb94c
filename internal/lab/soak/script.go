// Package soak plays real balancer processes on loopback sockets under faults that are drawn from a seed. It stands in
// for discovery, the hosts, the front and the clients, sends the signals, and judges what it observed from the
// operators' pages alone. It imports nothing of the balancer but its lab.
package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// Script is one run: everything about it that is drawn at random. The embedded script of the search in virtual time has
// the changes of the host list and the faults of discovery; the rest needs real processes. Scripts are kept as JSON
// files and read back, so fields and enumerations keep their outer names and values.
type Script struct {
	drainsearch.Script
	Proxy        bool          // connections end at the balancer; otherwise packets pass through
	MaxAttempts  int           // maximum attempts of one request
	Deadline     time.Duration // deadline of all classes
	Sockets      int           // file descriptors of a balancer; 0 for no limit of its own
	Terminations []Termination
	HostFaults   []HostFault
	Floods       []ConnectionFlood `json:"Crowds"`
	IdleClients  []IdleClient      `json:"Resting"`
	Pauses       []Pause
	// EndingClients end their sending only; runs of endings alone have them.
	EndingClients []EndingClient `json:",omitempty"`
	// GoneStaysUp lets hosts that were removed from the list still accept connections, so that a request to one is
	// seen.
	GoneStaysUp bool
}

// Termination is a planned restart: SIGTERM, SIGKILL at the earliest moment that the pages allow, then a new process.
type Termination struct {
	At       time.Duration
	Balancer int
	KnownAge time.Duration // age of the list in the new process's configuration
}

// HostFaultKind is a kind of fault at a host.
type HostFaultKind int

// The kinds of faults at hosts.
const (
	HostHangs     HostFaultKind = iota // it accepts connections and lines, and answers nothing
	HostResets                         // it resets all its connections at the start of the fault
	HostDelays                         // each answer is late by hostDelay
	HostFragments                      // answers are written byte by byte
	hostFaultKindCount

	// HostNotAccepting makes the host accept no connections, so that one that is requested meanwhile comes up a second
	// later. Only runs of crossings have it.
	HostNotAccepting

	// Only runs of endings have these.
	HostEndlessAnswers // each answer, to an opening or to a line, is one that never ends
	HostLateLines      // each answer to a line is late by lineDelay
)

// HostFault is a fault at one host.
type HostFault struct {
	Kind     HostFaultKind
	Host     int
	From, To time.Duration
}

// ConnectionFlood is a number of idle connections to one balancer.
type ConnectionFlood struct {
	Balancer    int
	From, To    time.Duration
	Connections int
}

// IdleClient is a client that connects and sends its request later on that connection.
type IdleClient struct {
	Balancer     int
	At           time.Duration // when it connects
	RequestAfter time.Duration `json:"Asks"` // when it sends its request, counted from At
}

// EndingClient is a client that ends its sending after a last line, and waits for the answer to it.
type EndingClient struct {
	Balancer int
	At       time.Duration // when it connects
	EndAfter time.Duration // when it ends its sending, counted from At
}

// Pause stops a process and continues it (SIGSTOP, SIGCONT).
type Pause struct {
	At       time.Duration
	Balancer int
	For      time.Duration
	Twice    bool // the process is stopped again for the same time shortly after
}

// Options change how a run is played.
type Options struct {
	Binary string   // path of the balancer's program
	Env    []string // additions to the environment of its processes
	Folder string   // for configurations and logs
	// PlantedFault is a fault in the run's own configuration that the judge has to find.
	PlantedFault PlantedFault
}

// PlantedFault is a planted fault.
type PlantedFault int

// The planted faults. Each is a setting or a signal that differs from what the judge assumes.
const (
	NoPlantedFault PlantedFault = iota
	LongerGrace                 // the balancer's drain grace is 1 s longer
	LateCalls                   // its calls to discovery arrive 1 s late
	MoreAttempts                // it may make two more attempts
	LongerWindow                // its deduplication window is 3 s longer
	EarlyKill                   // it is killed 0.1 s after SIGTERM
	SafeClasses                 // it takes requests of all classes as repeatable
	plantCount
)

// plantNames are the names of the planted faults.
var plantNames = map[PlantedFault]string{LongerGrace: "longer_grace", LateCalls: "late_calls", MoreAttempts: "more_attempts",
	LongerWindow: "longer_window", EarlyKill: "early_kill", SafeClasses: "safe_classes"}

// String returns the name of a planted fault.
func (p PlantedFault) String() string { return plantNames[p] }

// PlantedFaults returns all planted faults.
func PlantedFaults() (all []PlantedFault) {
	for p := LongerGrace; p < plantCount; p++ {
		all = append(all, p)
	}
	return all
}

// Parse reads a script as json.Marshal writes it, and rejects one that cannot be played.
func Parse(text []byte) (*Script, error) {
	var s Script
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return &s, s.check()
}

// Bounds of a script, set by the resources of the machine.
const (
	maxBalancers = 30
	maxHosts     = 100
	maxLength    = 10 * time.Minute
)

// check returns an error for a value that is out of range.
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

// namedBalancers returns the balancers that events of the script refer to.
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
	for _, c := range s.EndingClients {
		all = append(all, c.Balancer)
	}
	for _, p := range s.Pauses {
		all = append(all, p.Balancer)
	}
	return all
}
