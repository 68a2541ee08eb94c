package policy

import (
	"fmt"
	"strings"
	"time"
)

// simSecond is what was measured in one second of a simulation, at its end unless noted otherwise.
type simSecond struct {
	Pieces      int // pairs of a group and a host with a connection of it
	Established int
	Wanted      int
	Requests    int     // in this second
	Refused     int     // requests refused in this second
	GaveUp      int     // clients that gave up in this second
	Shed        int     // connections dropped by overloaded hosts in this second
	Served      float64 // mean share of the worth wanted that is connected to hosts with a load of at most 1
	WarmLoad    float64 // mean of the warm hosts that do not drain
	ColdLoad    float64 // mean of the cold ones; 0 if there is none
	Warm        int     // number of warm hosts that do not drain
	Cold        int
	Crowded     int     // hosts with a load over 0.8 that do not drain
	ColdMax     int     // highest number of requests that a cold host was sent within an OverloadSpan
	ColdRatio   float64 // the same as a fraction of what it can take; see simHost.receive
}

// simResult is the result of a simulation.
type simResult struct {
	Seconds []simSecond
	// Served is the share of the worth wanted that was served over the whole run.
	Served         float64
	Attempts       int
	Moved          int // connections moved by their balancers
	FailedHosts    int // cold hosts
	SentAfterGrace int // attempts at a host after the drain grace, counted from the notification of its balancer
	Unanswered     int // requests without an answer before their deadline
	Unexpected     int // answers or attempts that were not expected

	servedSum, wantedSum float64
}

// sample measures the fleet, and completes the record of a second at its end.
func (f *simulation) sample() {
	served, wanted := 0.0, 0.0
	f.clients = stillWanting(f.clients, f.now)
	for _, c := range f.clients {
		wanted += c.worth
		if c.host != nil && c.host.load(f.now) <= 1 {
			served += c.worth
		}
	}
	f.result.servedSum, f.result.wantedSum = f.result.servedSum+served, f.result.wantedSum+wanted
	f.result.Served = f.result.servedSum / f.result.wantedSum
	f.second.Served += served / wanted * sampleInterval.Seconds()
	if (f.now-t0)%time.Second != 0 {
		return
	}
	f.second.Established, f.second.Wanted = len(f.established), len(f.clients)
	f.lookAtHosts(&f.second)
	f.result.Seconds = append(f.result.Seconds, f.second)
	f.second = simSecond{}
}

// stillWanting returns the clients whose time is not over.
func stillWanting(clients []*simClient, now time.Duration) (out []*simClient) {
	for _, c := range clients {
		if c.until > now {
			out = append(out, c)
		}
	}
	return out
}

// lookAtHosts measures the hosts.
func (f *simulation) lookAtHosts(s *simSecond) {
	warm, cold := 0.0, 0.0
	for _, h := range f.allHosts {
		s.Pieces += len(h.groups)
		if !h.draining && !h.stopped && h.load(f.now) > 0.8 {
			s.Crowded++
		}
		switch {
		case h.draining || h.stopped:
		case h.capacityShare(f.now) < 1:
			cold += h.load(f.now)
			s.Cold++
		default:
			warm += h.load(f.now)
			s.Warm++
		}
	}
	s.WarmLoad, s.ColdLoad = warm/float64(max(s.Warm, 1)), cold/float64(max(s.Cold, 1))
}

// String returns a table with one line per second.
func (r simResult) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "served %.3f of the worth wanted; %d attempts, %d moved, %d hosts failed, %d sent after the grace, %d unanswered, %d unexpected\n",
		r.Served, r.Attempts, r.Moved, r.FailedHosts, r.SentAfterGrace, r.Unanswered, r.Unexpected)
	fmt.Fprintln(&b, "second pieces     open wanted  asked refused   lost   shed served warm load cold load crowded cold-sent of-bearable")
	for i, s := range r.Seconds {
		fmt.Fprintf(&b, "%6d %6d %8d %6d %6d %7d %6d %6d  %.3f %4d %.2f %4d %.2f %7d %9d        %.2f\n", i+1, s.Pieces, s.Established, s.Wanted,
			s.Requests, s.Refused, s.GaveUp, s.Shed, s.Served, s.Warm, s.WarmLoad, s.Cold, s.ColdLoad, s.Crowded, s.ColdMax, s.ColdRatio)
	}
	return b.String()
}

// last returns the last second.
func (r simResult) last() simSecond { return r.Seconds[len(r.Seconds)-1] }

// refused returns the share of all requests that were refused.
func (r simResult) refused() float64 {
	asked, refused := 0, 0
	for _, s := range r.Seconds {
		asked, refused = asked+s.Requests, refused+s.Refused
	}
	return float64(refused) / float64(asked)
}
