package lab

import (
	"math"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat"

	"tealtiller/policy"
)

// connectionTracker follows, over a whole fleet, which connections are established and where. A connection is
// identified by its client's id: it may continue through another balancer, and the newest log line about it counts.
type connectionTracker struct {
	byID   map[string]connection
	byHost map[string]int
	groups map[string]int // connections, by group key
	pieces map[piece]int  // connections, by group key and desk host
	listed map[string]listedHost
	joined map[string]bool // balancers whose new process joins a running one
}

type connection struct{ balancer, host, key string }

// piece is the part of a group that one desk host holds.
type piece struct{ key, host string }

type listedHost struct {
	started time.Time
	state   policy.State
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{
		byID:   map[string]connection{},
		byHost: map[string]int{},
		groups: map[string]int{},
		pieces: map[piece]int{},
		listed: map[string]listedHost{},
		joined: map[string]bool{},
	}
}

// addLine evaluates a log line; most lines are about no connection.
func (s *connectionTracker) addLine(l logLine) {
	switch l.event {
	case "attempt-up":
		s.established(l.fields["id"], connection{balancer: l.balancer, host: l.fields["host"], key: l.fields["key"]})
	case "attempt-ended", "moved", "moved-silent":
		s.ended(l)
	case "listed":
		s.hostListed(l)
	case "joined-running-process":
		s.joined[l.balancer] = true
	case "ready":
		s.balancerReady(l.balancer)
	}
}

func (s *connectionTracker) established(id string, c connection) {
	s.remove(id)
	s.byID[id] = c
	s.byHost[c.host]++
	if c.key != "" { // without this check, all connections of a log without keys would count as one group
		s.groups[c.key]++
		s.pieces[piece{c.key, c.host}]++
	}
}

// ended handles the end of a connection, if the balancer and the host that log it still hold it. Without this check, a
// connection that has continued through another balancer would be removed; a connection that was moved also logs its
// end twice.
func (s *connectionTracker) ended(l logLine) {
	id := l.fields["id"]
	if c := s.byID[id]; c.balancer == l.balancer && c.host == l.fields["host"] {
		s.remove(id)
	}
}

func (s *connectionTracker) remove(id string) {
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

// decrement lowers a count by one and deletes it at 0.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] == 0 {
		delete(counts, key)
	}
}

// balancerReady handles the start of a balancer. A process that was killed logged no ends of the connections that it
// held, so they are removed; a process that joined a running one takes its connections over.
func (s *connectionTracker) balancerReady(balancer string) {
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

// hostListed updates the state of a desk host from a balancer's log. Balancers receive lists at different times, and
// one that starts knows an old list, so an update that lags behind is ignored: between two starts a desk host only goes
// from ready over draining to gone.
func (s *connectionTracker) hostListed(l logLine) {
	number, err := strconv.Atoi(l.fields["state"])
	if err != nil {
		return
	}
	host, update := l.fields["host"], listedHost{started: listedStart(l), state: policy.State(number)}
	known, ok := s.listed[host]
	isNewer := update.started.After(known.started)
	isLater := update.started.Equal(known.started) && drainProgress(update.state) > drainProgress(known.state)
	if !ok || isNewer || isLater || update.state == policy.Gone && update.started.IsZero() {
		s.listed[host] = update
	}
}

// drainProgress orders the states of a desk host between two starts.
func drainProgress(state policy.State) int {
	switch state {
	case policy.Draining:
		return 1
	case policy.Gone:
		return 2
	}
	return 0
}

// variation is the coefficient of variation of the connections over the desk hosts in service, in hundredths; -1 if
// they hold no connections.
func (s *connectionTracker) variation() int {
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

// hundredths rounds a non-negative figure to hundredths.
func hundredths(figure float64) int { return int(math.Floor(100*figure + 0.5)) }

func mean(all []float64) float64 { return stat.Mean(all, nil) }
