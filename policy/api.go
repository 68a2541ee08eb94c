// Package policy makes every decision of a balancer for long-lived connections. This file is its
// interface: the settings, the events and the actions. The files that deploy/balancer.toml names hold the
// decisions: the walk down the CARP ranking, and the reasons to pass over a server in it.
package policy

import "time"

// All times are readings of one monotonic clock with an arbitrary origin; the caller passes them in.

// Effect says whether a request of a class may be repeated.
type Effect int

const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // a repeat is discarded by the servers in the deduplication scope of the first attempt
	Unsafe               // may be repeated only while no attempt can have run
)

// Scope is the set of servers that discard duplicates of a keyed request.
type Scope int

const (
	ScopeAll  Scope = iota // all servers
	ScopeZone              // the servers of a zone
	ScopeCell              // the servers of a cell
)

// Class holds the latency targets and the repeat rules of a class of requests.
type Class struct {
	SetupTarget   time.Duration // a set-up that completes within this time has its full value
	MessageTarget time.Duration // longest desired delay of a message on an open connection; 0 if unknown
	Effect        Effect
	DedupScope    Scope         // for Keyed
	DedupWindow   time.Duration // for Keyed: how long servers remember a request to discard its duplicates
}

// Settings configure a Balancer. A zero value means that the setting is not given.
type Settings struct {
	Classes           map[string]Class
	MaxAttempts       int
	Siblings          int           // balancers that share the servers, including this one; 0 counts as 1
	SiblingMessaging  bool          // siblings may send each other messages
	Probes            bool          // servers may be probed for a report; see Host.Probe
	QuotaConnections  float64       // open connections within the tenants' quotas, over all siblings; 0 if not given
	Tick              time.Duration // minimum spacing of events
	MustWatch         bool          // the list of servers has to be watched, as it is not pushed
	MaxWatchInterval  time.Duration // longest time without a call for the list while no watch is open
	DrainGrace        time.Duration // sends to a draining server must end within this time of the notification
	ColdCapacityShare float64       // minimum share of its capacity that a server has when it starts
	WarmAfter         time.Duration // age at which a server has its full capacity
	OverloadFactor    float64       // a cold server fails when sent this multiple of its current capacity
	OverloadSpan      time.Duration // how long that multiple has to last
	// The retry budget limits the attempts beyond the first of each request. Within any RetryBudgetSpan they may
	// number RetryBudgetBase plus RetryBudgetRatio times the requests taken in it. Without a span there is no budget.
	RetryBudgetSpan  time.Duration
	RetryBudgetBase  float64
	RetryBudgetRatio float64
	// GoneServersUsable permits requests to a server that the list calls gone or leaves out, unless this
	// instance has seen it draining.
	GoneServersUsable bool
	Zone              string  // zone of this instance
	CrossZoneCost     float64 // cost of each request sent to another zone, as a share of everything served

	longestSetupTarget    time.Duration // over all classes
	shortestMessageTarget time.Duration // over all classes that have one
}

// State is the phase of a server according to the list.
type State int

const (
	Gone     State = iota // out of service
	Ready                 // takes requests
	Draining              // about to leave; must get no new requests
)

// Server is one entry of the list of servers.
type Server struct {
	ID, Zone string
	Kind     string // machine type
	Cell     int
	State    State
	Weight   float64       // relative size; 1 if it is not a positive number
	Started  time.Duration // when its process started; 0 for long ago
	// NotifiedAt is the earliest time from which this instance may count as notified of the state, which may be
	// before the entry arrives; 0 for the time of its arrival.
	NotifiedAt time.Duration
}

// LongAgo is a time before all relevant events that, unlike 0, is not read as unset.
const LongAgo time.Duration = 1

// MembersKind says how a Members event relates to the previous list.
type MembersKind int

const (
	Delta       MembersKind = iota // changed entries only
	Full                           // the whole list
	Cached                         // the whole list as last stored, perhaps out of date
	WatchFailed                    // a watch failed; the event has no entries
)

// Request is a client's request for a connection. The balancer gives it exactly one final answer.
type Request struct {
	ID     string
	Class  string
	Key    uint64 // the connection's group if known, else its client
	HasKey bool
	TTL    time.Duration // the client gives up after this time
	// MidFlow marks an open connection whose packets have begun to arrive at this instance.
	MidFlow bool
	// Reconnecting marks a client whose previous connection broke or was moved.
	Reconnecting  bool
	Tenant        string // owner of the client; not used by a Balancer
	PriorAttempts int    // attempts already made by another instance
}

// Result is the outcome of an attempt.
type Result int

const (
	OK            Result = iota // the connection ended normally
	Error                       // the server answered with an error
	Rejected                    // the server refused the request without looking at it
	Timeout                     // no answer within the time-out
	ConnectFailed               // no connection to the server
	Reset                       // the connection broke
	Cancelled                   // ended by a move, the client or the balancer
	NotSent                     // the attempt was never written
)

// MetricKind is the meaning of a measurement on an open connection.
type MetricKind int

const (
	MetricLoad  MetricKind = 1 // current load of the connection, in microseconds of work per second
	MetricDelay MetricKind = 2 // current delay of a message at the server, in milliseconds
)

// Report is the result of a probe.
type Report struct {
	Answered bool
	Load     float64       // as a fraction of the capacity of the server
	Delay    time.Duration // expected delay of a message; 0 if the report has no figures
}

// Reason is why a request is refused or given up, for the log.
type Reason int

const (
	NoTimeLeft       Reason = iota // the client's deadline has passed, or leaves no time for another attempt
	Overload                       // load shedding, as the servers are overloaded
	AttemptsUsed                   // the request has had its maximum number of attempts
	NotRepeatable                  // an attempt may have run, and another could repeat its effect
	RetryBudgetSpent               // the retry budget allows no further attempt
	NoServer                       // no server is eligible before the deadline
	CellLimit                      // the cell is full, or takes no further request now
	ListExpired                    // the lease on the list of servers has ended
)

var reasonTexts = map[Reason]string{NoTimeLeft: "no time left", Overload: "overload", AttemptsUsed: "attempts used",
	NotRepeatable: "not repeatable", RetryBudgetSpent: "retry budget spent", NoServer: "no server",
	CellLimit: "cell limit", ListExpired: "list expired"}

// String returns the text that the log uses.
func (r Reason) String() string { return reasonTexts[r] }

// Host carries out the actions of a Balancer. Requests and servers are identified by their ids; an attempt is
// identified by its request, which has at most one at a time.
type Host interface {
	// Send starts an attempt at a server. It ends with Balancer.Outcome, at the latest after the time-out unless
	// the connection has been established.
	Send(request, server string, timeout time.Duration)
	// Refuse gives the final answer that the client may retry after a time.
	Refuse(request string, retryAfter time.Duration, why Reason)
	// Fail gives the final answer that the request has failed.
	Fail(request string)
	// Move asks the client of an established connection to reconnect, and ends the connection.
	Move(request string)
	// NotifySiblings sends all siblings the message delay of a server, identified by its hash in the ranking.
	NotifySiblings(server uint32, delay time.Duration)
	// Probe asks a server for a report. Balancer.ProbeResult receives the report, or that there was none.
	Probe(server string)
	// Wake sets a timer, which calls Balancer.Wake with its name.
	Wake(at time.Duration, name int64)
	// Watch opens or closes the watch on the list of servers.
	Watch(on bool)
	// Log writes a line to the log.
	Log(text string)
}
