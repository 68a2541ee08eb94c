package lab

import (
	"fmt"
	"time"

	"tealtiller/policy"
)

// virtualHost is a desk host and the clients connected to it.
type virtualHost struct {
	*Machine
	clients []*virtualClient
}

// virtualClient is a client from its first try to the end of its connection.
type virtualClient struct {
	arrival
	id             string
	tries          int
	firstTryAt     time.Duration
	tryAt          time.Duration
	balancer       *virtualBalancer
	host           *virtualHost
	index          int // among the host's clients
	upAt           time.Duration
	slowTimeAtUp   time.Duration
	effectiveLoad  float64
	finalAnswers   int
	returned       bool
	harm           [harmKinds]bool
	alreadyCounted bool // its requested seconds are already counted
}

// Ways in which a connection may be harmed.
const (
	harmUnserved = iota
	harmBroken
	harmLate
	harmSlow
	harmKinds
)

// Behaviour of a client, as the operators' documentation gives it.
const (
	answerTimeout     = 1200 * time.Millisecond // how long a client waits for an answer
	setupTarget       = 300 * time.Millisecond
	maxRetries        = 2
	maxRetryAfter     = 600 * time.Millisecond // longest pause from a refusal that a client respects
	retryJitterMS     = 100
	minRetryPauseMS   = 74 // shortest pause before a client reconnects; up to retryPauseRangeMS more is added at random
	retryPauseRangeMS = 1226
)

// open plays one try of a client, at a balancer that the front chooses.
func (v *VirtualLab) open(c *virtualClient) {
	b := v.pickBalancer(c)
	if c.tries == 0 && !c.alreadyCounted {
		remaining := virtualStart + parsedDuration(v.exp.Duration) - v.now
		v.Result.Worth.Asked += classWorth(c.class) * min(c.life, remaining).Seconds()
	}
	v.requestCount++
	c.id, c.balancer, c.tryAt, c.finalAnswers = fmt.Sprintf("%x", v.requestCount), b, v.now, 0
	b.clients[c.id] = c
	v.Result.Decisions++
	b.fleet.Request(v.now, policy.Request{ID: c.id, Class: c.class, Key: c.group, HasKey: true, TTL: answerTimeout,
		Reconnecting: c.returned, Tenant: c.carrier})
}

// pickBalancer plays the front, which chooses any balancer, or the next one in the client's room.
func (v *VirtualLab) pickBalancer(c *virtualClient) *virtualBalancer {
	b := v.balancers[v.rng.IntN(len(v.balancers))]
	room := v.exp.clientRoom(&c.arrival)
	if room == "" {
		return b
	}
	for range v.balancers {
		if b.room == room {
			break
		}
		b = v.balancers[(b.index+1)%len(v.balancers)]
	}
	return b
}

// finalAnswer records a final answer.
func (v *VirtualLab) finalAnswer(c *virtualClient) {
	v.Result.Answers++
	if c.finalAnswers++; c.finalAnswers > 1 {
		v.Result.Doubled++
	}
}

// retry lets a client that was refused or failed try again, at most twice.
func (v *VirtualLab) retry(c *virtualClient, after time.Duration) {
	delete(c.balancer.clients, c.id)
	if c.tries++; c.tries > maxRetries {
		c.harm[harmUnserved] = true
		v.countClient(c)
		return
	}
	jitter := time.Duration(v.rng.Float64()*retryJitterMS) * time.Millisecond
	v.scheduleAt(v.now+after+jitter, func() { v.open(c) })
}

// connectionUp records that a client's connection is established.
func (v *VirtualLab) connectionUp(c *virtualClient, h *virtualHost) {
	w := &v.Result.Worth
	if w.Placed++; v.exp.Skew > 0 && h.Room != v.exp.clientRoom(&c.arrival) {
		w.Crossed++
	}
	if v.flightConnections[c.group] == nil {
		v.flightConnections[c.group] = map[string]int{}
	}
	v.flightConnections[c.group][h.ID]++
	if v.now >= virtualStart+parsedDuration(v.exp.Settle) {
		w.FlightSamples++
		w.FlightHosts += len(v.flightConnections[c.group])
	}
	c.host, c.upAt, c.slowTimeAtUp, c.index = h, v.now, h.SlowTime(), len(h.clients)
	h.clients = append(h.clients, c)
	if v.now-c.firstTryAt > setupTarget {
		c.harm[harmLate] = true
	}
}

// endConnection ends an established connection and counts its client.
func (v *VirtualLab) endConnection(c *virtualClient) {
	h := c.host
	h.Close(v.now, c.effectiveLoad, c.group)
	slow := h.SlowTime() - c.slowTimeAtUp
	end := min(v.now, virtualStart+parsedDuration(v.exp.Duration))
	v.Result.Worth.ServedWell += classWorth(c.class) * max(end-c.upAt-slow, 0).Seconds()
	if slow > time.Second && slow*10 > v.now-c.upAt {
		c.harm[harmSlow] = true
	}
	v.removeFlightConnection(c.group, h.ID)
	h.remove(c)
	c.host = nil
	delete(c.balancer.clients, c.id)
	v.countClient(c)
}

// removeFlightConnection removes a connection from the counts of its flight.
func (v *VirtualLab) removeFlightConnection(group uint64, host string) {
	held := v.flightConnections[group]
	if held[host] > 1 {
		held[host]--
		return
	}
	delete(held, host)
	if len(held) == 0 {
		delete(v.flightConnections, group)
	}
}

// remove removes a client from the host's clients; the last one takes its index.
func (h *virtualHost) remove(c *virtualClient) {
	last := len(h.clients) - 1
	h.clients[c.index] = h.clients[last]
	h.clients[c.index].index = c.index
	h.clients[last] = nil
	h.clients = h.clients[:last]
}

// countClient counts a client and what harmed its connection.
func (v *VirtualLab) countClient(c *virtualClient) {
	if c.uncounted {
		return // a client of a hot key, or the rest of a connection that is already counted
	}
	t := &v.Result.Others
	if v.targetedCarriers[c.carrier] {
		t = &v.Result.Targeted
	}
	t.Connections++
	for harm, n := range [harmKinds]*int{&t.Unserved, &t.Broken, &t.Late, &t.Slow} {
		if c.harm[harm] {
			*n++
		}
	}
	if c.harm != [harmKinds]bool{} {
		t.Harmed++
	}
}

// connectionBroken ends an established connection before its time; the client reconnects for the rest of its lifetime.
func (v *VirtualLab) connectionBroken(c *virtualClient) {
	remaining := c.life - (v.now - c.upAt)
	c.harm[harmBroken] = true
	v.endConnection(c)
	if remaining <= 0 {
		return
	}
	next := &virtualClient{arrival: c.arrival, returned: true}
	next.life, next.uncounted, next.alreadyCounted = remaining, true, true // the client itself is already counted
	gap := time.Duration(minRetryPauseMS+v.rng.IntN(retryPauseRangeMS)) * time.Millisecond
	v.scheduleAt(v.now+gap, func() {
		next.firstTryAt = v.now
		v.open(next)
	})
}
