package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// simClient is a client of a simulation. It wants a connection until its time is over.
type simClient struct {
	simClass
	group        uint64
	zone         string
	meanLoad     float64 // mean load of its connection
	load         float64 // current load of its connection
	until        time.Duration
	reconnecting bool
	retriesLeft  int // until the client gives up
	tries        int // requests since its last connection
	// the request under way or the connection
	requestID string
	balancer  *simBalancer
	host      *simHost // host of the connection, if it is established
	inFlight  bool     // an attempt is under way
}

// newClient draws a client. As the times are exponentially distributed, the remaining time of an initial client has the
// same distribution as the time of a new one.
func (f *simulation) newClient(initial bool) *simClient {
	class := f.plan.drawClass(f.rng, initial)
	c := &simClient{simClass: class, group: f.plan.drawGroup(f.rng), zone: drawZone(f.rng)}
	c.meanLoad = class.load / f.plan.meanLoad() * f.lognormal(loadSigma)
	c.load = c.meanLoad * f.lognormal(loadChangeSigma)
	c.until = f.now + time.Duration(f.rng.ExpFloat64()*class.lifetime*float64(meanClientTime))
	c.retriesLeft = f.drawRetries()
	f.clients = append(f.clients, c)
	f.after(time.Duration(f.rng.Float64()*float64(loadChangeInterval)), func() { f.changeLoad(c) })
	return c
}

// lognormal draws a factor of mean 1.
func (f *simulation) lognormal(sigma float64) float64 {
	return math.Exp(sigma*f.rng.NormFloat64() - sigma*sigma/2)
}

// changeLoad changes a client's load from time to time until its time is over.
func (f *simulation) changeLoad(c *simClient) {
	if f.now >= c.until {
		return
	}
	before := c.load
	c.load = c.meanLoad * f.lognormal(loadChangeSigma)
	if c.host != nil {
		c.host.clientLoad += c.load - before
	}
	f.after(loadChangeInterval, func() { f.changeLoad(c) })
}

// drawRetries draws how often a client retries before it gives up.
func (f *simulation) drawRetries() int {
	count, part := math.Modf(f.plan.retries)
	if f.rng.Float64() < part {
		count++
	}
	return int(count)
}

// drawBalancer draws one of the balancers of a zone. Their shares are very unequal.
func (f *simulation) drawBalancer(zone string) *simBalancer {
	balancers := f.balancersByZone[zone]
	totalShare := f.cumulativeShares[len(balancers)-1]
	i, _ := slices.BinarySearch(f.cumulativeShares, f.rng.Float64()*totalShare)
	return balancers[min(i, len(balancers)-1)]
}

// request creates a client's next request, at a balancer that it draws.
func (f *simulation) request(c *simClient) Request {
	f.requestCount++
	c.requestID, c.balancer = fmt.Sprint("r", f.requestCount), f.drawBalancer(c.zone)
	return Request{ID: c.requestID, Class: c.name, Key: c.group, HasKey: true, TTL: c.ttl, Reconnecting: c.reconnecting}
}

// connect sends a client's request to a balancer.
func (f *simulation) connect(c *simClient) {
	if f.now >= c.until {
		return
	}
	q := f.request(c)
	c.balancer.pending[q.ID] = c
	f.after(c.ttl+2*c.balancer.module.settings.Tick, func() {
		if c.balancer.pending[q.ID] != nil {
			f.result.Unanswered++
		}
	})
	f.second.Requests++
	c.balancer.module.Request(f.now, q)
}

// refused makes a client retry or give up. Most clients honour the retry hint, up to two seconds.
func (f *simulation) refused(c *simClient, retryAfter time.Duration) {
	f.second.Refused++
	if c.retriesLeft == 0 {
		f.second.GaveUp++
		return
	}
	c.retriesLeft--
	wait := between(f.rng, 45*ms, 360*ms)
	if f.rng.Float64() < 0.9 {
		wait = max(wait, min(retryAfter, 2*time.Second))
	}
	f.after(wait, func() { f.connect(c) })
}

// establish adds a connection, which lasts until its client's time is over or it is broken off.
func (f *simulation) establish(c *simClient, n *simBalancer, h *simHost) {
	delete(n.pending, c.requestID)
	c.host, f.established[c.requestID] = h, c
	h.add(c)
	n.report(h.ID).open++
	id := c.requestID
	f.after(c.until-f.now, func() {
		if f.established[id] == c {
			f.end(c, OK)
		}
	})
}

// end removes an established connection.
func (f *simulation) end(c *simClient, result Result) {
	delete(f.established, c.requestID)
	c.host.remove(c)
	c.balancer.report(c.host.ID).open--
	c.host = nil
	c.balancer.module.Outcome(f.now, c.requestID, result, true)
}

// breakOff ends a connection early. Its client reconnects soon, through any balancer.
func (f *simulation) breakOff(c *simClient, result Result) {
	f.end(c, result)
	c.reconnecting, c.retriesLeft = true, f.drawRetries()
	f.after(between(f.rng, 71*ms, 1200*ms), func() { f.connect(c) })
}

// placeInitialClients places the clients of the start, each group on the first hosts of its ranking that have capacity
// left, so that any later spread of groups is caused by the balancers.
func (f *simulation) placeInitialClients() {
	for range f.plan.connections {
		f.newClient(true)
	}
	byGroup := slices.Clone(f.clients)
	slices.SortStableFunc(byGroup, func(a, b *simClient) int { return cmp.Compare(a.group, b.group) })
	loads := 0.0
	for _, c := range byGroup {
		loads += c.load
	}
	loadLimit := 1.25 * loads / f.capacity()
	for _, c := range byGroup {
		q := f.request(c)
		h := f.hostWithRoom(c, loadLimit)
		f.establish(c, c.balancer, h)
		c.balancer.module.Inherit(f.now, q, h.ID)
	}
}

// hostWithRoom returns the first host in the ranking of the client's group whose load stays within the limit with this
// client, or else the least loaded host.
func (f *simulation) hostWithRoom(c *simClient, loadLimit float64) *simHost {
	ranked := rankedIDs(f.balancers[0].module, c.group)
	for _, id := range ranked {
		h := f.hosts[id]
		extra := c.load
		if h.groups[c.group] == 0 {
			extra += groupCost
		}
		if h.load(f.now)+extra/h.capacity <= loadLimit {
			return h
		}
	}
	emptiest := slices.MinFunc(ranked, func(a, b string) int { return cmp.Compare(f.hosts[a].load(f.now), f.hosts[b].load(f.now)) })
	return f.hosts[emptiest]
}
