package policy

import (
	"math"
	"slices"
	"time"
)

// massHost is a desk host of a massRun: it has a capacity, warms up, and pays for each group of which it holds any.
type massHost struct {
	Server
	place     int
	capacity  float64 // when warm
	coldFrom  float64
	warmAfter time.Duration
	clients   []*massClient // who stands here
	groups    map[uint64]int
	own       float64       // their loads
	backlog   time.Duration // work that has piled up
	draining  bool
	down      bool            // it has ended, or fallen over
	sent      []time.Duration // while it was cold, within the last span of Fall
	shown     float64         // its load by the report that is out
	period    time.Duration   // from one report to the next
	late      time.Duration   // from a report to when it is out
}

// warmth is the share of its capacity that it has.
func (h *massHost) capacityShare(now time.Duration) float64 {
	if h.Started == 0 {
		return 1
	}
	return min(1, h.coldFrom+(1-h.coldFrom)*float64(now-h.Started)/float64(h.warmAfter))
}

// load is what is asked of it over what it can do now.
func (h *massHost) load(now time.Duration) float64 {
	return (h.own + groupCost*float64(len(h.groups))) / (h.capacity * h.capacityShare(now))
}

// message is how long a message takes there: as in a queue, and behind what has piled up.
func (h *massHost) message(now time.Duration) time.Duration {
	return h.backlog + time.Duration(4*float64(ms)/(1-min(h.load(now), 0.9)))
}

func (h *massHost) full() bool { return float64(len(h.clients)) >= capTimes*h.capacity }

func (h *massHost) add(c *massClient) {
	h.clients = append(h.clients, c)
	h.groups[c.group]++
	h.own += c.load
}

func (h *massHost) remove(c *massClient) {
	h.clients = slices.DeleteFunc(h.clients, func(o *massClient) bool { return o == c })
	if h.groups[c.group]--; h.groups[c.group] == 0 {
		delete(h.groups, c.group)
	}
	h.own -= c.load
}

// shedsAt is how much work piles up before a host drops connections.
const shedsAt = 500 * time.Millisecond

// work takes that a span has passed at the load of its end, and tells who is dropped, if any: the heaviest, one a span, while
// more has piled up than is borne and the load is still over what the host can do.
func (h *massHost) work(now, span time.Duration) (dropped *massClient) {
	load := h.load(now)
	h.backlog = max(0, h.backlog+time.Duration((load-1)*float64(span)))
	if load <= 1 || h.backlog < shedsAt || len(h.clients) == 0 {
		return nil
	}
	return slices.MaxFunc(h.clients, func(a, b *massClient) int {
		if a.load < b.load {
			return -1
		}
		return 1
	})
}

// receive counts a request, and tells how many of the last span of Fall it has had, over what it bears: that is N + 2 x root
// of N + 2 of them, N being what the settings let it be sent. A warm one bears any number. Over 1 a cold one falls.
func (h *massHost) receive(now time.Duration, set Settings, lasts time.Duration) float64 {
	age := now - h.Started
	if h.Started == 0 || age >= set.WarmAfter {
		return 0
	}
	h.sent = slices.DeleteFunc(append(h.sent, now), func(at time.Duration) bool { return at <= now-set.OverloadSpan })
	warmth := set.ColdCapacityShare + (1-set.ColdCapacityShare)*float64(age)/float64(set.WarmAfter)
	may := set.OverloadFactor * h.capacity * warmth * float64(set.OverloadSpan) / float64(lasts)
	return float64(len(h.sent)) / (may + 2*math.Sqrt(may) + 2)
}
