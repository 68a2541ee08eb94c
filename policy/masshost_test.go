package policy

import (
	"math"
	"slices"
	"time"
)

// simHost is a desk host of a simulation. It has a capacity, warms up, and pays a cost for each group of which it holds
// a connection.
type simHost struct {
	Server
	position          int
	capacity          float64 // when warm
	coldCapacityShare float64
	warmAfter         time.Duration
	clients           []*simClient // clients with a connection here
	groups            map[uint64]int
	clientLoad        float64       // sum of their loads
	backlog           time.Duration // time that the queued work takes
	draining          bool
	stopped           bool            // it has ended or failed
	sentWhileCold     []time.Duration // times of requests within the last OverloadSpan, while the host was cold
	publishedLoad     float64         // load by the latest published report
	reportInterval    time.Duration   // time between two reports
	reportDelay       time.Duration   // time from a report to its publication
}

// capacityShare returns the share of its capacity that the host has at its age.
func (h *simHost) capacityShare(now time.Duration) float64 {
	if h.Started == 0 {
		return 1
	}
	return min(1, h.coldCapacityShare+(1-h.coldCapacityShare)*float64(now-h.Started)/float64(h.warmAfter))
}

// load returns the demand on the host as a fraction of its current capacity.
func (h *simHost) load(now time.Duration) float64 {
	return (h.clientLoad + groupCost*float64(len(h.groups))) / (h.capacity * h.capacityShare(now))
}

// messageDelay returns how long a message takes: the time of a queue at this load, after the backlog.
func (h *simHost) messageDelay(now time.Duration) time.Duration {
	return h.backlog + time.Duration(4*float64(ms)/(1-min(h.load(now), 0.9)))
}

// isFull reports whether the host accepts no further connection.
func (h *simHost) isFull() bool { return float64(len(h.clients)) >= connectionsPerLoad*h.capacity }

func (h *simHost) add(c *simClient) {
	h.clients = append(h.clients, c)
	h.groups[c.group]++
	h.clientLoad += c.load
}

func (h *simHost) remove(c *simClient) {
	h.clients = slices.DeleteFunc(h.clients, func(o *simClient) bool { return o == c })
	if h.groups[c.group]--; h.groups[c.group] == 0 {
		delete(h.groups, c.group)
	}
	h.clientLoad -= c.load
}

// shedBacklog is the backlog at which a host drops connections.
const shedBacklog = 500 * time.Millisecond

// advance passes a span of time at the load of its end. It returns the client that is dropped, if any: while the
// backlog is too long and the load still exceeds the capacity, the one with the highest load, one per span.
func (h *simHost) advance(now, span time.Duration) (dropped *simClient) {
	load := h.load(now)
	h.backlog = max(0, h.backlog+time.Duration((load-1)*float64(span)))
	if load <= 1 || h.backlog < shedBacklog || len(h.clients) == 0 {
		return nil
	}
	return slices.MaxFunc(h.clients, func(a, b *simClient) int {
		if a.load < b.load {
			return -1
		}
		return 1
	})
}

// receive counts a request. It returns the number of requests within the last OverloadSpan as a fraction of what the
// host can take, which is N + 2*sqrt(N) + 2 with N as the settings allow. A warm host takes any number. A cold host
// fails if the result exceeds 1.
func (h *simHost) receive(now time.Duration, set Settings, lifetime time.Duration) float64 {
	age := now - h.Started
	if h.Started == 0 || age >= set.WarmAfter {
		return 0
	}
	h.sentWhileCold = slices.DeleteFunc(append(h.sentWhileCold, now), func(at time.Duration) bool { return at <= now-set.OverloadSpan })
	warmth := set.ColdCapacityShare + (1-set.ColdCapacityShare)*float64(age)/float64(set.WarmAfter)
	allowed := set.OverloadFactor * h.capacity * warmth * float64(set.OverloadSpan) / float64(lifetime)
	return float64(len(h.sentWhileCold)) / (allowed + 2*math.Sqrt(allowed) + 2)
}
