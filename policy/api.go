// Package policy makes every decision of a balancer for long-lived connections. This file is its
// interface: the settings, the events and the actions. The decisions stand in the files that
// deploy/balancer.toml names: the walk down the CARP ranking, and the reasons to pass over a server in it.
package policy

import "time"

// Times are readings of one monotonic clock with an arbitrary origin; the caller passes them in.

// Effect says what a repeated request of a class may do.
type Effect int

// The three effects.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // a repeat is discarded by the servers that share the first one's group
	Unsafe               // may be repeated only while no attempt can have run
)

// Scope is the set of servers that discard a keyed request's duplicates.
type Scope int

// The three scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of requests.
type Class struct {
	SetupTarget   time.Duration // a set-up within this time counts in full
	MessageTarget time.Duration // a message on an open connection should take no longer; 0 where unknown
	Effect        Effect
	DedupScope    Scope         // for Keyed
	DedupWindow   time.Duration // for Keyed: how long duplicates are remembered
}

// Settings are what an instance is told at its start. Zero values mean "not told".
type Settings struct {
	Classes           map[string]Class
	MaxAttempts       int
	Siblings          int           // balancers that share the servers, this one included; none counts as one
	SiblingMessaging  bool          // siblings may talk to each other
	Probes            bool          // servers may be asked for a report; see Host.Ask
	QuotaConnections  float64       // open connections inside the tenants' shares, over all siblings; 0 where not told
	Tick              time.Duration // least spacing of events
	MustWatch         bool          // the list of servers comes only to those who watch it
	MaxWatchInterval  time.Duration // without a watch, ask at least this often
	DrainGrace        time.Duration // sends to a draining server must have ended by then
	ColdCapacityShare float64       // least share of its capacity that a fresh server has
	WarmAfter         time.Duration // by then it has all of it
	OverloadFactor    float64       // a cold server falls when sent this multiple of its capacity
	OverloadSpan      time.Duration // for this long
	// Attempts beyond each request's first are rationed: within any RetryBudgetSpan at most SpareAttempts plus
	// AttemptShare of the requests taken in it. Without a span there is no such budget.
	RetryBudgetSpan  time.Duration
	RetryBudgetBase  float64
	RetryBudgetRatio float64
	// GoneServersUsable: a server that the list calls gone, or leaves out, may still be sent to unless this
	// instance has seen it draining.
	GoneServersUsable bool
	Zone              string  // where this instance stands
	CrossZoneCost     float64 // price of each request that goes to another zone, as a share of all that is served

	patience   time.Duration // the longest set-up aim of any class
	messageAim time.Duration // the shortest message aim of any class
}

// State is what the list says of a server.
type State int

// The states of a listed server.
const (
	Gone State = iota
	Ready
	Draining
)

// Server is one entry of the list of servers.
type Server struct {
	ID, Zone string
	Kind     string // of machine
	Cell     int
	State    State
	Weight   float64       // relative size; the ranking sees equal sizes where no positive one is told
	Started  time.Duration // when it last started; 0 for long ago
	// NotifiedAt is since when its state may count as told to this instance, which may hear of it later; 0 for now.
	NotifiedAt time.Duration
}

// LongAgo is a time before any that matters.
const LongAgo time.Duration = 1

// MembersKind says how a Members event relates to the list before it.
type MembersKind int

// The kinds of Members events.
const (
	Delta       MembersKind = iota // changed entries only
	Full                           // the whole list
	Cached                         // the whole list as last held, perhaps out of date
	WatchFailed                    // a Watch failed; nothing is told
)

// Request is a client's request for a connection; the balancer owes it one final answer.
type Request struct {
	ID     string
	Class  string
	Key    uint64 // the connection's group where told, else its client
	HasKey bool
	TTL    time.Duration // the client gives up after this
	// MidFlow marks packets of an open connection that now arrive here.
	MidFlow bool
	// Reconnecting marks a client that is back after its connection broke or was moved.
	Reconnecting  bool
	Tenant        string // whom the client belongs to; it decides nothing here
	PriorAttempts int    // attempts that another instance has made already
}

// Result is how an attempt ended.
type Result int

// The results of attempts.
const (
	OK Result = iota
	Error
	Rejected // turned away unseen
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent // never sent
)

// MetricKind says what a note tells.
type MetricKind int

// The kinds of notes on an open connection.
const (
	MetricLoad  MetricKind = 1 // its load now, in microseconds of work a second
	MetricDelay MetricKind = 2 // milliseconds that a message takes at its server now
)

// Report is a server's answer to the question how it does.
type Report struct {
	Answered bool
	Load     float64       // over what it can do
	Delay    time.Duration // that it lets expect of a message; 0 where it tells no figures
}

// Reason is why a request is refused or given up, for the log.
type Reason int

// The reasons.
const (
	NoTimeLeft       Reason = iota // the client's time is over, or too short for another attempt
	Overload                       // shed, as the servers are overloaded
	AttemptsUsed                   // it has had all attempts that it may have
	NotRepeatable                  // an attempt may have run, and another would double its effect
	RetryBudgetSpent               // attempts beyond the first are rationed
	NoServer                       // no server may take it in its time
	CellLimit                      // its cell is full, or takes no more now
	ListExpired                    // the list of servers may be out of date
)

var reasons = map[Reason]string{NoTimeLeft: "no time left", Overload: "overload", AttemptsUsed: "attempts used", NotRepeatable: "not repeatable",
	RetryBudgetSpent: "retry budget spent", NoServer: "no server", CellLimit: "cell limit", ListExpired: "list expired"}

// String is the reason as the log tells it.
func (r Reason) String() string { return reasons[r] }

// Host carries out a Balancer's actions. Requests and servers are named by their ids, attempts by their
// number.
type Host interface {
	Send(request, server string, timeout time.Duration)
	Refuse(request string, retryAfter time.Duration, why Reason)
	Fail(request string)
	Move(request string)
	// NotifySiblings tells all siblings how long messages take at a server, named by the hash that all rank it by.
	NotifySiblings(server uint32, delay time.Duration)
	// Probe asks a server for a report; Reported tells of it, or that none came.
	Probe(server string)
	Wake(at time.Duration, name int64)
	Watch(on bool)
	Log(text string)
}
