package lab

import (
	"fmt"
	"time"

	"tealtiller/policy"
)

// virtualHost is a desk host and what stands there.
type virtualHost struct {
	*Machine
	standing []*virtualClient
}

// virtualClient is a client, from its first try to the end of its connection.
type virtualClient struct {
	arrival
	id       string
	try      int
	came     time.Duration // its first try
	tryAt    time.Duration
	home     *virtualBalancer
	host     *virtualHost
	index    int // among those that stand there
	upAt     time.Duration
	slowAt   time.Duration
	weight   float64
	finals   int
	returned bool
	harm     [harms]bool
	again    bool // its seconds are asked for already
}

// What may harm a connection.
const (
	harmUnserved = iota
	harmBroken
	harmLate
	harmSlow
	harms
)

// Of a client's ways, as the operators' pages tell them.
const (
	patience    = 1200 * time.Millisecond // how long it waits for an answer
	setupAim    = 300 * time.Millisecond
	mostRetries = 2
	longestBack = 600 * time.Millisecond // that it heeds of what a refusal tells
	retryJitter = 100
	leastGap    = 74 // ms until it comes again, and how much more it may be
	moreGap     = 1226
)

// open is one try of a client, at a balancer of the front's choice.
func (v *Virtual) open(c *virtualClient) {
	b := v.pick(c)
	if c.try == 0 && !c.again {
		left := virtualStart + span(v.exp.Duration) - v.now
		v.Result.Worth.Asked += worthOf(c.class) * min(c.life, left).Seconds()
	}
	v.next++
	c.id, c.home, c.tryAt, c.finals = fmt.Sprintf("%x", v.next), b, v.now, 0
	b.clients[c.id] = c
	v.Result.Decisions++
	b.fleet.Request(v.now, policy.Request{ID: c.id, Class: c.class, Key: c.group, HasKey: true, TTL: patience,
		Reconnecting: c.returned, Tenant: c.carrier})
}

// pick is the front's choice: any balancer, or the next one in the client's room.
func (v *Virtual) pick(c *virtualClient) *virtualBalancer {
	b := v.balancers[v.rng.IntN(len(v.balancers))]
	room := v.exp.room(&c.arrival)
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

// final notes a final answer.
func (v *Virtual) final(c *virtualClient) {
	v.Result.Answers++
	if c.finals++; c.finals > 1 {
		v.Result.Doubled++
	}
}

// again has a client that was refused or failed come again, twice at the most.
func (v *Virtual) again(c *virtualClient, after time.Duration) {
	delete(c.home.clients, c.id)
	if c.try++; c.try > mostRetries {
		c.harm[harmUnserved] = true
		v.count(c)
		return
	}
	jitter := time.Duration(v.rng.Float64()*retryJitter) * time.Millisecond
	v.at(v.now+after+jitter, func() { v.open(c) })
}

// stands notes that a client's connection has come up.
func (v *Virtual) stands(c *virtualClient, h *virtualHost) {
	w := &v.Result.Worth
	if w.Placed++; v.exp.Skew > 0 && h.Room != v.exp.room(&c.arrival) {
		w.Crossed++
	}
	if v.held[c.group] == nil {
		v.held[c.group] = map[string]int{}
	}
	v.held[c.group][h.ID]++
	if v.now >= virtualStart+span(v.exp.Settle) {
		w.Joined++
		w.HeldBy += len(v.held[c.group])
	}
	c.host, c.upAt, c.slowAt, c.index = h, v.now, h.Slow(), len(h.standing)
	h.standing = append(h.standing, c)
	if v.now-c.came > setupAim {
		c.harm[harmLate] = true
	}
}

// done ends a connection that stood; count closes a client's account.
func (v *Virtual) done(c *virtualClient) {
	h := c.host
	h.Close(v.now, c.weight, c.group)
	slow := h.Slow() - c.slowAt
	end := min(v.now, virtualStart+span(v.exp.Duration))
	v.Result.Worth.Well += worthOf(c.class) * max(end-c.upAt-slow, 0).Seconds()
	if slow > time.Second && slow*10 > v.now-c.upAt {
		c.harm[harmSlow] = true
	}
	v.letGo(c.group, h.ID)
	h.remove(c)
	c.host = nil
	delete(c.home.clients, c.id)
	v.count(c)
}

// letGo takes a connection of a flight off what a desk host holds of it.
func (v *Virtual) letGo(group uint64, host string) {
	held := v.held[group]
	if held[host] > 1 {
		held[host]--
		return
	}
	delete(held, host)
	if len(held) == 0 {
		delete(v.held, group)
	}
}

// remove takes a client out of those that stand here; the last one takes its place.
func (h *virtualHost) remove(c *virtualClient) {
	last := len(h.standing) - 1
	h.standing[c.index] = h.standing[last]
	h.standing[c.index].index = c.index
	h.standing[last] = nil
	h.standing = h.standing[:last]
}

func (v *Virtual) count(c *virtualClient) {
	if c.extra {
		return // the hot key's own
	}
	t := &v.Result.Others
	if v.victims[c.carrier] {
		t = &v.Result.Stricken
	}
	t.Connections++
	for harm, n := range [harms]*int{&t.Unserved, &t.Broken, &t.Late, &t.Slow} {
		if c.harm[harm] {
			*n++
		}
	}
	if c.harm != [harms]bool{} {
		t.Harmed++
	}
}

// broken takes that a connection that stood has ended before its time: the client comes again for the rest of it.
func (v *Virtual) broken(c *virtualClient) {
	rest := c.life - (v.now - c.upAt)
	c.harm[harmBroken] = true
	v.done(c)
	if rest <= 0 {
		return
	}
	next := &virtualClient{arrival: c.arrival, returned: true}
	next.life, next.extra, next.again = rest, true, true // its account is closed
	gap := time.Duration(leastGap+v.rng.IntN(moreGap)) * time.Millisecond
	v.at(v.now+gap, func() {
		next.came = v.now
		v.open(next)
	})
}
