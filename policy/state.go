package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tealtiller/internal/scale"
)

// This file holds what an instance remembers; the decisions stand in the files that deploy/balancer.toml names.

// Balancer is one instance. Its methods take the time; it acts through its Host only.
type Balancer struct {
	set         Settings
	host        Host
	rng         *rand.Rand
	servers     map[string]*server
	tallies     map[part]tally // as last surveyed
	list        []*server      // what the list names, in order of id
	reqs        map[string]*request
	held        []*request // nobody was eligible for these yet
	ranking     []*server  // reused by rank
	listSuspect bool       // what it calls gone may well run
	size        float64    // of all that it names
	changed     bool       // what the ranking caches of the list is out of date
	lists       int        // told so far
	pair        [2]*server // that the last walk compared
	wakeAt      time.Duration
	failed      int           // set-ups that failed since the last one stood
	askFails    int           // calls that failed in a row
	asking      bool          // a call for the list is under way or planned
	leaseUntil  time.Duration // the list may be used until then; 0 for ever
	heardAt     time.Duration // when a server last gave a report
	// how many of our connections a warm server holds, and as of when
	usualOpen float64
	usualAt   time.Duration
	rush      scale.RateEstimator // of requests taken
	roomAt    time.Duration       // when a cold server was last sent one beyond its budget
	keys      map[uint32]int      // requests by the hash of their key
	seen      int                 // all of them
	// the last span of the budget of attempts: when requests were taken, when further attempts were made
	taken, again []time.Duration
}

// part is the servers of a zone or of a kind, or, where empty, all.
type part struct{ by, name string }

// tally counts servers that serve us well, that fail now, and that did so lately, now included.
type tally struct{ well, fail, bad float64 }

// server is what this balancer knows of one server.
type server struct {
	Server
	hash     uint32
	seen     int           // the list that named it last
	factor   float64       // load factor multiplier
	score    float64       // for the key ranked last
	told     time.Duration // when it was first said to be draining
	bound    bool          // seen draining, the process that started at boundAt
	boundAt  time.Duration
	lost     time.Duration // when the list called it gone or left it out
	conns    []*request    // ours, set-ups under way included
	standing int           // those that are set up
	// outlier detection: set-ups that fail
	ejections int
	until     time.Duration // passed over till then
	// when it was asked for a report, and when it last gave one
	askedAt, heardAt time.Duration
	load             float64 // by that report, over what it can do
	// messages that take long
	delay, delayAt time.Duration // as last told
	// slow start: what is left of our part, in connections, and when that was drawn
	slowStartLeft int
	slowStartLuck float64 // drawn with it
	slowStartAt   time.Duration
}

// request is a client's request and the connection that comes of it.
type request struct {
	id       string
	class    Class
	hash     uint32
	midFlow  bool
	returns  int // 1 where its connection broke or was moved before, else 0
	deadline time.Duration
	patient  time.Duration // until then it is held rather than sent to a crowded server
	curious  time.Duration // until then it waits for reports
	asks     int           // made for it
	rank     int           // of the server looked at, from 1 for the top
	guess    bool          // mid-flow, with nothing to tell who holds it: placed by reports, like a new one
	excess   bool          // refused, as most servers fail, but by cold ones that have room
	luck     float64       // drawn once, so that it has one chance at a cold server however often it is looked at
	attempts int
	most     int // attempts, as allowed when it came
	tried    []*server
	at       *server // where the attempt under way or the connection is
	sentAt   time.Duration
	began    bool // the connection stands
	gone     bool // the client left; only the outcome is awaited
	moving   bool
	ranAt    *server // where the first attempt that may have run went
	ranSince time.Duration
}

const timerHeld, timerAsk = 0, 1 // names of timers

// New makes an instance from its settings and the seed of its random numbers.
func New(set Settings, seed uint64, host Host) *Balancer {
	set.derive()
	return &Balancer{set: set, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: map[string]*server{}, tallies: map[part]tally{}, keys: map[uint32]int{}, reqs: map[string]*request{}}
}

// ApplySettings takes other settings from now on; requests keep class and attempts as they were when they came.
func (b *Balancer) ApplySettings(set Settings) {
	set.derive()
	b.set = set
}

// server finds or makes what is known of a server.
func (b *Balancer) server(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{Server: Server{ID: id}, hash: spread(carpHash(id))}
		b.servers[id] = s
	}
	return s
}

// out finds the request of an attempt or connection that is out.
func (b *Balancer) out(id string) *request {
	if r := b.reqs[id]; r != nil && r.at != nil {
		return r
	}
	return nil
}

// logf adds a line to the report.
func (b *Balancer) logf(format string, args ...any) { b.host.Log(fmt.Sprintf(format, args...)) }
