package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// massClient is a client of a massRun: it wants a connection until its time is over.
type massClient struct {
	massClass
	group    uint64
	zone     string
	usual    float64 // its load on the mean over its time
	load     float64 // now
	until    time.Duration
	returned bool
	left     int // retries that it has left
	tries    int // since it last stood
	// the request under way, or the connection
	id   string
	node *massNode
	host *massHost // where it stands
	out  bool      // an attempt is under way
}

// newClient draws a client; one that stands at the start has the rest of its time before it, which is as long as a new one's.
func (f *massRun) newClient(standing bool) *massClient {
	class := f.plan.class(f.rng, standing)
	c := &massClient{massClass: class, group: f.plan.group(f.rng), zone: massZone(f.rng)}
	c.usual = class.load / f.plan.unit() * f.lognormal(loadSigma)
	c.load = c.usual * f.lognormal(swingSigma)
	c.until = f.now + time.Duration(f.rng.ExpFloat64()*class.life*float64(lifeMean))
	c.left = f.drawRetries()
	f.clients = append(f.clients, c)
	f.after(time.Duration(f.rng.Float64()*float64(swingEvery)), func() { f.swing(c) })
	return c
}

// lognormal draws a factor of mean 1.
func (f *massRun) lognormal(sigma float64) float64 {
	return math.Exp(sigma*f.rng.NormFloat64() - sigma*sigma/2)
}

// swing changes a client's load now and then, as long as its time lasts.
func (f *massRun) swing(c *massClient) {
	if f.now >= c.until {
		return
	}
	before := c.load
	c.load = c.usual * f.lognormal(swingSigma)
	if c.host != nil {
		c.host.own += c.load - before
	}
	f.after(swingEvery, func() { f.swing(c) })
}

func (f *massRun) drawRetries() int {
	whole, part := math.Modf(f.plan.retries)
	if f.rng.Float64() < part {
		whole++
	}
	return int(whole)
}

// deal chooses one of the balancers of a zone, some of which get many times what others do.
func (f *massRun) deal(zone string) *massNode {
	nodes := f.nodes[zone]
	parts := f.parts[len(nodes)-1]
	i, _ := slices.BinarySearch(f.parts, f.rng.Float64()*parts)
	return nodes[min(i, len(nodes)-1)]
}

func (f *massRun) request(c *massClient) Request {
	f.serial++
	c.id, c.node = fmt.Sprint("r", f.serial), f.deal(c.zone)
	return Request{ID: c.id, Class: c.name, Key: c.group, HasKey: true, TTL: c.wait, Reconnecting: c.returned}
}

// come has a client ask a balancer for a connection.
func (f *massRun) come(c *massClient) {
	if f.now >= c.until {
		return
	}
	q := f.request(c)
	c.node.asked[q.ID] = c
	f.after(c.wait+2*c.node.module.settings.Tick, func() {
		if c.node.asked[q.ID] != nil {
			f.result.Unanswered++
		}
	})
	f.second.Asked++
	c.node.module.Request(f.now, q)
}

// refused has a client come again or give up. Most wait for as long as they are told, two seconds at the most.
func (f *massRun) refused(c *massClient, retryAfter time.Duration) {
	f.second.Refused++
	if c.left == 0 {
		f.second.Lost++
		return
	}
	c.left--
	wait := between(f.rng, 45*ms, 360*ms)
	if f.rng.Float64() < 0.9 {
		wait = max(wait, min(retryAfter, 2*time.Second))
	}
	f.after(wait, func() { f.come(c) })
}

// stand has a connection stand until its client's time is over or something befalls it.
func (f *massRun) stand(c *massClient, n *massNode, h *massHost) {
	delete(n.asked, c.id)
	c.host, f.standing[c.id] = h, c
	h.add(c)
	n.of(h.ID).open++
	id := c.id
	f.after(c.until-f.now, func() {
		if f.standing[id] == c {
			f.end(c, OK)
		}
	})
}

// end takes away a connection that stands.
func (f *massRun) end(c *massClient, result Result) {
	delete(f.standing, c.id)
	c.host.remove(c)
	c.node.of(c.host.ID).open--
	c.host = nil
	c.node.module.Outcome(f.now, c.id, result, true)
}

// fall ends a connection before its client's time, who comes again soon, through any balancer.
func (f *massRun) fall(c *massClient, result Result) {
	f.end(c, result)
	c.returned, c.left = true, f.drawRetries()
	f.after(between(f.rng, 71*ms, 1200*ms), func() { f.come(c) })
}

// settle has the clients of the start stand, each group on the first hosts of its ranking that have room: what is spread
// later is the balancers' own doing.
func (f *massRun) settle() {
	for range f.plan.wanted {
		f.newClient(true)
	}
	byGroup := slices.Clone(f.clients)
	slices.SortStableFunc(byGroup, func(a, b *massClient) int { return cmp.Compare(a.group, b.group) })
	loads := 0.0
	for _, c := range byGroup {
		loads += c.load
	}
	bound := 1.25 * loads / f.capacity()
	for _, c := range byGroup {
		q := f.request(c)
		h := f.roomiest(c, bound)
		f.stand(c, c.node, h)
		c.node.module.Inherit(f.now, q, h.ID)
	}
}

// roomiest is the first host of a group's ranking that stays under a bound with one more client, or else the emptiest.
func (f *massRun) roomiest(c *massClient, bound float64) *massHost {
	ranked := ids(f.all[0].module, c.group)
	for _, id := range ranked {
		h := f.hosts[id]
		extra := c.load
		if h.groups[c.group] == 0 {
			extra += groupCost
		}
		if h.load(f.now)+extra/h.capacity <= bound {
			return h
		}
	}
	emptiest := slices.MinFunc(ranked, func(a, b string) int { return cmp.Compare(f.hosts[a].load(f.now), f.hosts[b].load(f.now)) })
	return f.hosts[emptiest]
}
