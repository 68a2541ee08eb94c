package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tealtiller/internal/scale"
)

// This file holds the state of an instance; the files that deploy/balancer.toml names hold the decisions.

// Balancer is one instance. Its methods are events that take the current time; it acts only through its Host.
type Balancer struct {
	settings         Settings
	host             Host
	rng              *rand.Rand
	servers          map[string]*server
	health           map[failureDomain]healthCounts // as of the last surveyHealth
	list             []*server                      // servers on the list, ordered by id
	requests         map[string]*request
	waiting          []*request // held until a server is eligible, a report arrives or the list may be used
	rankBuffer       []*server  // reused by rank
	listSuspect      bool       // servers that the list calls gone may well be running
	totalWeight      float64    // of all servers on the list
	multipliersStale bool       // the list has changed since the multipliers were computed
	listsReceived    int        // number of lists received so far
	candidates       [2]*server // servers that the last walk compared
	wakeAt           time.Duration
	setupFailures    int           // failed in a row; a success halves or clears the count
	watchFailures    int           // calls for the list that failed in a row
	watchPending     bool          // a call for the list is under way or scheduled
	leaseUntil       time.Duration // the list may be used until then; 0: for ever
	reportedAt       time.Duration // when any server last answered a probe
	// established connections of this balancer per unit of warm server weight, and when that was computed
	typicalOpen    float64
	typicalAt      time.Duration
	requestRate    scale.RateEstimator // of incoming requests
	beyondBudgetAt time.Duration       // when a cold server was last sent a request beyond its budget
	keyCounts      map[uint32]int      // requests by the hash of their key, halved from time to time
	totalKeyCount  int                 // sum over all keys, including those dropped from keyCounts
	// within the last span of the retry budget: the times of requests, and of attempts beyond the first
	requestTimes, retryTimes []time.Duration
}

// failureDomain is the set of servers of a zone or of a kind; the zero value is the set of all servers.
type failureDomain struct{ dimension, name string }

// healthCounts counts the servers that serve this balancer well, those that fail now, and those that fail now or
// did so lately.
type healthCounts struct{ healthy, failing, unhealthy float64 }

// server is the state that this balancer keeps of a server.
type server struct {
	Server
	hash            uint32
	listedIn        int           // number of the list that last named it, or explicitlyGone
	multiplier      float64       // load factor multiplier (CARP 3.3)
	score           float64       // for the key that was ranked last
	drainNotifiedAt time.Duration // when this instance first counted as notified that it drains
	seenDraining    bool          // the process that started at drainingStarted was listed as draining
	drainingStarted time.Duration
	goneAt          time.Duration // when the list called it gone or first left it out
	connections     []*request    // of this balancer, including set-ups under way
	established     int           // number of those that are set up
	// outlier detection
	ejections    int           // recent ones; a success halves the count
	ejectedUntil time.Duration // passed over until then
	// when it was last probed, and when it last answered with a report
	probedAt, reportedAt time.Duration
	load                 float64 // by that report, as a fraction of its capacity
	// message delay as last reported, and when that was
	delay, delayAt time.Duration
	// slow start: the requests left of this balancer's budget, the random draw that decides about requests beyond
	// it, and when both were drawn
	slowStartBudget int
	slowStartDraw   float64
	slowStartAt     time.Duration
}

// request is the state of a client's request and of the connection that results from it.
type request struct {
	id              string
	class           Class
	keyHash         uint32
	midFlow         bool
	reconnects      int // 1 if the previous connection of the client broke or was moved, else 0
	deadline        time.Duration
	holdUntil       time.Duration // until then it is held rather than sent to a crowded or suspect server
	probeUntil      time.Duration // until then it may wait for reports
	probes          int           // number of probes sent for it
	rank            int           // of the server under consideration, from 1 for the top
	holderUnknown   bool          // mid-flow, but no server is known to hold it: placed by reports like a new request
	shed            bool          // refused as most servers fail, unless a cold server has capacity
	slowStartDraw   float64       // drawn once, so that repeated walks do not raise the odds of a cold server
	attempts        int
	maxAttempts     int // as set when the request arrived
	tried           []*server
	server          *server // server of the attempt under way or of the connection, if any
	sentAt          time.Duration
	established     bool          // the connection is established
	clientGone      bool          // the client has left; only the outcome of the attempt is awaited
	moving          bool          // a move has been requested
	mayHaveRunOn    *server       // server of the first attempt that may have run
	mayHaveRunSince time.Duration // when that attempt was sent
}

// Names of timers, as passed to Host.Wake.
const timerWaiting, timerWatch = 0, 1

// New returns an instance whose random numbers derive from seed.
func New(set Settings, seed uint64, host Host) *Balancer {
	set.derive()
	return &Balancer{settings: set, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: map[string]*server{}, health: map[failureDomain]healthCounts{}, keyCounts: map[uint32]int{},
		requests: map[string]*request{}}
}

// ApplySettings replaces the settings. Requests keep the class and the maximum of attempts that they arrived with.
func (b *Balancer) ApplySettings(set Settings) {
	set.derive()
	b.settings = set
}

// server returns the state of a server and creates it if necessary.
func (b *Balancer) server(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{Server: Server{ID: id}, hash: carpMix(carpHash(id))}
		b.servers[id] = s
	}
	return s
}

// inFlight returns a request that has an attempt under way or a connection, else nil.
func (b *Balancer) inFlight(id string) *request {
	if r := b.requests[id]; r != nil && r.server != nil {
		return r
	}
	return nil
}

// logf writes a line to the log.
func (b *Balancer) logf(format string, args ...any) { b.host.Log(fmt.Sprintf(format, args...)) }
