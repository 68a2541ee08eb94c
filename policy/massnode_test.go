package policy

import (
	"maps"
	"slices"
	"time"
)

// massNode is a balancer of a massRun: the module under test, and what its carrier knows of the hosts.
type massNode struct {
	run    *massRun
	module *Balancer
	zone   string
	lag    time.Duration            // a change of the list reaches it so late
	told   map[string]time.Duration // when it was told that a host drains
	asked  map[string]*massClient   // whose request it has not answered yet, by id
	known  map[string]*massReport
}

// massReport is what a balancer knows of a host by its reports, as the carrier works it out.
type massReport struct {
	load    float64
	at      time.Duration
	backlog time.Duration // that must have piled up
	askedAt time.Duration
	slowAt  time.Duration // when the module was last told of the time of a message
	dropped time.Duration // when the host last dropped a connection of ours
	open    int           // our connections there
}

// How a carrier learns of hosts; see internal/net.
const (
	believed   = 6 * time.Second // a report
	lookEvery  = 250 * time.Millisecond
	probeLimit = 75 * time.Millisecond
)

func (n *massNode) of(server string) *massReport {
	r := n.known[server]
	if r == nil {
		r = &massReport{}
		n.known[server] = r
	}
	return r
}

// learn takes a report: what was asked beyond what the host can do since the last one has piled up.
func (r *massReport) learn(now time.Duration, load float64) {
	if r.at > 0 {
		span := min(now-r.at, believed)
		if r.load < 1 && load > 1 {
			span = time.Second
		}
		r.backlog = max(0, r.backlog+time.Duration((load-1)*float64(span)))
	}
	r.load, r.at = load, now
}

// expected is how long a message takes there, by the reports.
func (r *massReport) expected(now time.Duration) time.Duration {
	if r.at == 0 || now-r.at > believed {
		return 0
	}
	return r.backlog + time.Duration(4*float64(ms)/(1-min(r.load, 0.9)))
}

// every is how often the carrier asks a host at which its connections stand.
func (r *massReport) every() time.Duration {
	switch {
	case r.load >= 0.7 || r.backlog > 0:
		return 500 * ms
	case r.load >= 0.4:
		return time.Second
	}
	return 3 * time.Second
}

// look asks the hosts at which its connections stand, where that is due, and tells the module of those where a message takes
// over a third of the shortest aim.
func (n *massNode) look() {
	now, third := n.run.now, n.module.settings.shortestMessageTarget/3
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		r, h := n.known[id], n.run.hosts[id]
		if r.open > 0 && now-r.askedAt >= r.every() {
			n.Probe(id)
		}
		took := r.expected(now)
		if r.open > 0 && !h.down {
			took = max(took, h.message(now))
		}
		if took > third && now-r.slowAt >= time.Second {
			r.slowAt = now
			n.module.ServerDelay(now, id, took)
		}
	}
}

// shed takes that a host has dropped a connection that stood. Where its report shows room it takes a second one to belie it.
func (n *massNode) shed(server string) {
	now, r := n.run.now, n.of(server)
	room := r.at > 0 && now-r.at <= believed && r.load < 0.7
	again := r.dropped > 0 && now-r.dropped <= time.Second
	if r.dropped = now; room && !again {
		return
	}
	r.load, r.at, r.backlog = max(r.load, 1), now, max(r.backlog, shedsAt)
	if now-r.slowAt >= time.Second {
		r.slowAt = now
		n.module.ServerDelay(now, server, r.expected(now))
	}
}

// Probe has a host asked for its report, which tells how it was some time ago.
func (n *massNode) Probe(server string) {
	h, r := n.run.hosts[server], n.of(server)
	r.askedAt = n.run.now
	if h.down {
		n.run.after(probeLimit, func() { n.module.ProbeResult(n.run.now, server, Report{}) })
		return
	}
	n.run.after(2*n.away(h), func() {
		now := n.run.now
		r.learn(now, h.shown)
		n.module.ProbeResult(now, server, Report{Answered: true, Load: r.load, Delay: r.expected(now)})
	})
}

// away is how long it takes to the host and back.
func (n *massNode) away(h *massHost) time.Duration {
	if h.Zone == n.zone {
		return nearTime
	}
	return crossingTime
}

// Send has an attempt made; it ends at the host, or when its time is up.
func (n *massNode) Send(request, server string, timeout time.Duration) {
	h, c, now := n.run.hosts[server], n.asked[request], n.run.now
	if told, ok := n.told[server]; ok && now > told+n.module.settings.DrainGrace {
		n.run.result.Late++
	}
	if c == nil || c.out {
		n.run.result.Unowed++
		return
	}
	c.out = true
	n.run.result.Attempts++
	if !h.down && !h.draining {
		n.run.received(h)
	}
	end := func(after time.Duration, result Result) {
		n.run.after(min(after, timeout), func() {
			c.out = false
			n.module.Outcome(n.run.now, request, result, false)
		})
	}
	takes := 3*n.away(h) + h.message(now)
	switch {
	case h.down:
		end(n.away(h), ConnectFailed)
	case h.draining, h.full():
		end(2*n.away(h), Rejected)
	case takes >= timeout:
		end(timeout, Timeout)
	default:
		n.run.after(takes, func() { n.up(c, h, request) })
	}
}

// up has a connection stand, if its host still takes any.
func (n *massNode) up(c *massClient, h *massHost, request string) {
	c.out = false
	if h.draining || h.down {
		n.module.Outcome(n.run.now, request, Rejected, false)
		return
	}
	n.run.stand(c, n, h)
	n.module.ConnectionEstablished(n.run.now, request)
}

// answered takes the client off the list of those who wait.
func (n *massNode) answered(request string) *massClient {
	c := n.asked[request]
	if c == nil || c.out {
		n.run.result.Unowed++
		return nil
	}
	delete(n.asked, request)
	return c
}

func (n *massNode) Refuse(request string, retryAfter time.Duration, _ Reason) {
	if c := n.answered(request); c != nil {
		n.run.refused(c, retryAfter)
	}
}

func (n *massNode) Fail(request string) { n.Refuse(request, 0, NoServer) }

// Move sends a client away, which is told to the module once it has ended what it does now.
func (n *massNode) Move(request string) {
	n.run.after(0, func() {
		if c := n.run.standing[request]; c != nil {
			n.run.result.Moved++
			n.run.fall(c, Cancelled)
		}
	})
}

func (n *massNode) Wake(at time.Duration, name int64) {
	if name == timerWaiting {
		n.run.after(at-n.run.now, func() { n.module.Wake(n.run.now, timerWaiting) })
	}
}

func (n *massNode) NotifySiblings(uint32, time.Duration) {}
func (n *massNode) Watch(bool)                           {}
func (n *massNode) Log(string)                           {}
