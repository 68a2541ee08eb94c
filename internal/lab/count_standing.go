package lab

import (
	"math"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat"

	"tealtiller/policy"
)

// standingConnections follows, over a whole fleet, which connections stand and where. A connection goes by its client's
// id: it may go on through another balancer, and only the newest word of it counts.
type standingConnections struct {
	byID   map[string]connection
	byHost map[string]int
	groups map[string]int // connections by group key
	pieces map[piece]int  // connections by group key and desk host
	listed map[string]listedHost
	joined map[string]bool // balancers with a process that starts beside one that serves
}

type connection struct{ balancer, host, key string }

// piece is a group's part at one desk host.
type piece struct{ key, host string }

type listedHost struct {
	started time.Time
	state   policy.State
}

func newStandingConnections() *standingConnections {
	return &standingConnections{
		byID:   map[string]connection{},
		byHost: map[string]int{},
		groups: map[string]int{},
		pieces: map[piece]int{},
		listed: map[string]listedHost{},
		joined: map[string]bool{},
	}
}

// take follows a line of the log; most tell of no connection.
func (s *standingConnections) take(l logLine) {
	switch l.event {
	case "attempt-up":
		s.stands(l.fields["id"], connection{balancer: l.balancer, host: l.fields["host"], key: l.fields["key"]})
	case "attempt-ended", "moved", "moved-silent":
		s.ended(l)
	case "listed":
		s.list(l)
	case "joined-running-process":
		s.joined[l.balancer] = true
	case "ready":
		s.ready(l.balancer)
	}
}

func (s *standingConnections) stands(id string, c connection) {
	s.remove(id)
	s.byID[id] = c
	s.byHost[c.host]++
	if c.key != "" { // danger: all connections of a log that tells no keys would look like one group
		s.groups[c.key]++
		s.pieces[piece{c.key, c.host}]++
	}
}

// ended takes the end of what a balancer held. Danger: a connection that has gone on through another one still stands, and
// one that was moved ends in a second line as well.
func (s *standingConnections) ended(l logLine) {
	id := l.fields["id"]
	if c := s.byID[id]; c.balancer == l.balancer && c.host == l.fields["host"] {
		s.remove(id)
	}
}

func (s *standingConnections) remove(id string) {
	c, ok := s.byID[id]
	if !ok {
		return
	}
	delete(s.byID, id)
	s.byHost[c.host]--
	if c.key != "" {
		decrement(s.groups, c.key)
		decrement(s.pieces, piece{c.key, c.host})
	}
}

// decrement takes one off a count, and leaves none that is 0.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] == 0 {
		delete(counts, key)
	}
}

// ready takes a balancer's start. A process that was killed told no ends of what it held; a process that joined another
// takes its connections over.
func (s *standingConnections) ready(balancer string) {
	if s.joined[balancer] {
		delete(s.joined, balancer)
		return
	}
	for id, c := range s.byID {
		if c.balancer == balancer {
			s.remove(id)
		}
	}
}

// list takes what a balancer heard of a desk host. Danger: balancers hear at different times, and one that starts knows an
// old list; from start to start a desk host only goes from ready over draining to gone.
func (s *standingConnections) list(l logLine) {
	number, err := strconv.Atoi(l.fields["state"])
	if err != nil {
		return
	}
	host, heard := l.fields["host"], listedHost{started: startOf(l), state: policy.State(number)}
	known, ok := s.listed[host]
	isNewer := heard.started.After(known.started)
	isLater := heard.started.Equal(known.started) && progress(heard.state) > progress(known.state)
	if !ok || isNewer || isLater || heard.state == policy.Gone && heard.started.IsZero() {
		s.listed[host] = heard
	}
}

// progress is how far a desk host is on its way out.
func progress(state policy.State) int {
	switch state {
	case policy.Draining:
		return 1
	case policy.Gone:
		return 2
	}
	return 0
}

// variation is the coefficient of variation of the connections over the desk hosts in service, in hundredths; -1 where
// none of them holds any.
func (s *standingConnections) variation() int {
	var connections []float64
	for host, h := range s.listed {
		if h.state == policy.Ready {
			connections = append(connections, float64(s.byHost[host]))
		}
	}
	if len(connections) == 0 {
		return -1
	}
	average, deviation := stat.PopMeanStdDev(connections, nil)
	if average == 0 {
		return -1
	}
	return hundredths(deviation / average)
}

// hundredths rounds a figure that is not negative to hundredths.
func hundredths(figure float64) int { return int(math.Floor(100*figure + 0.5)) }

func mean(all []float64) float64 { return stat.Mean(all, nil) }
