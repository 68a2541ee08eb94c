package policy

import (
	"maps"
	"slices"
	"time"
)

// simBalancer is a balancer of a simulation: the module under test, and what its transport knows of the hosts.
type simBalancer struct {
	run             *simulation
	module          *Balancer
	zone            string
	listDelay       time.Duration            // time until a change of the list arrives
	drainNotifiedAt map[string]time.Duration // when a drain of a host was notified
	pending         map[string]*simClient    // clients by id of their unanswered request
	reports         map[string]*simReport
}

// simReport is what the transport of a balancer knows of a host from its reports.
type simReport struct {
	load            float64
	at              time.Duration
	backlog         time.Duration // estimated from the reports
	probedAt        time.Duration
	delayReportedAt time.Duration // when a message delay was last reported to the module
	droppedAt       time.Duration // when the host last dropped a connection of this balancer
	open            int           // connections of this balancer at the host
}

// Intervals and limits of a transport; see internal/net.
const (
	reportValidity = 6 * time.Second // how long a report may be used
	checkInterval  = 250 * time.Millisecond
	probeTimeout   = 75 * time.Millisecond
)

// report returns what is known of a server and creates it if necessary.
func (n *simBalancer) report(server string) *simReport {
	r := n.reports[server]
	if r == nil {
		r = &simReport{}
		n.reports[server] = r
	}
	return r
}

// add adds a report. The load beyond the capacity since the last report counts as backlog.
func (r *simReport) add(now time.Duration, load float64) {
	if r.at > 0 {
		span := min(now-r.at, reportValidity)
		if r.load < 1 && load > 1 {
			span = time.Second
		}
		r.backlog = max(0, r.backlog+time.Duration((load-1)*float64(span)))
	}
	r.load, r.at = load, now
}

// expected returns how long a message is expected to take at the host by its reports.
func (r *simReport) expected(now time.Duration) time.Duration {
	if r.at == 0 || now-r.at > reportValidity {
		return 0
	}
	return r.backlog + time.Duration(4*float64(ms)/(1-min(r.load, 0.9)))
}

// probeInterval returns how often the transport probes a host with connections.
func (r *simReport) probeInterval() time.Duration {
	switch {
	case r.load >= 0.7 || r.backlog > 0:
		return 500 * ms
	case r.load >= 0.4:
		return time.Second
	}
	return 3 * time.Second
}

// checkHosts probes the hosts with connections that are due, and reports to the module those where a message takes over
// a third of the shortest target.
func (n *simBalancer) checkHosts() {
	now, third := n.run.now, n.module.settings.shortestMessageTarget/3
	for _, id := range slices.Sorted(maps.Keys(n.reports)) {
		r, h := n.reports[id], n.run.hosts[id]
		if r.open > 0 && now-r.probedAt >= r.probeInterval() {
			n.Probe(id)
		}
		took := r.expected(now)
		if r.open > 0 && !h.stopped {
			took = max(took, h.messageDelay(now))
		}
		if took > third && now-r.delayReportedAt >= time.Second {
			r.delayReportedAt = now
			n.module.ServerDelay(now, id, took)
		}
	}
}

// connectionDropped is called when a host has dropped an established connection. If its report shows capacity left,
// only a second drop within a second outweighs the report.
func (n *simBalancer) connectionDropped(server string) {
	now, r := n.run.now, n.report(server)
	hasCapacity := r.at > 0 && now-r.at <= reportValidity && r.load < 0.7
	repeated := r.droppedAt > 0 && now-r.droppedAt <= time.Second
	if r.droppedAt = now; hasCapacity && !repeated {
		return
	}
	r.load, r.at, r.backlog = max(r.load, 1), now, max(r.backlog, shedBacklog)
	if now-r.delayReportedAt >= time.Second {
		r.delayReportedAt = now
		n.module.ServerDelay(now, server, r.expected(now))
	}
}

// Probe asks a host for its report, whose load is some time old.
func (n *simBalancer) Probe(server string) {
	h, r := n.run.hosts[server], n.report(server)
	r.probedAt = n.run.now
	if h.stopped {
		n.run.after(probeTimeout, func() { n.module.ProbeResult(n.run.now, server, Report{}) })
		return
	}
	n.run.after(2*n.roundTrip(h), func() {
		now := n.run.now
		r.add(now, h.publishedLoad)
		n.module.ProbeResult(now, server, Report{Answered: true, Load: r.load, Delay: r.expected(now)})
	})
}

// roundTrip returns the time to the host and back.
func (n *simBalancer) roundTrip(h *simHost) time.Duration {
	if h.Zone == n.zone {
		return sameZoneTime
	}
	return crossZoneTime
}

// Send makes an attempt, which ends at the host or at its time-out.
func (n *simBalancer) Send(request, server string, timeout time.Duration) {
	h, c, now := n.run.hosts[server], n.pending[request], n.run.now
	if notifiedAt, ok := n.drainNotifiedAt[server]; ok && now > notifiedAt+n.module.settings.DrainGrace {
		n.run.result.SentAfterGrace++
	}
	if c == nil || c.inFlight {
		n.run.result.Unexpected++
		return
	}
	c.inFlight = true
	n.run.result.Attempts++
	if !h.stopped && !h.draining {
		n.run.hostReceives(h)
	}
	end := func(after time.Duration, result Result) {
		n.run.after(min(after, timeout), func() {
			c.inFlight = false
			n.module.Outcome(n.run.now, request, result, false)
		})
	}
	takes := 3*n.roundTrip(h) + h.messageDelay(now)
	switch {
	case h.stopped:
		end(n.roundTrip(h), ConnectFailed)
	case h.draining, h.isFull():
		end(2*n.roundTrip(h), Rejected)
	case takes >= timeout:
		end(timeout, Timeout)
	default:
		n.run.after(takes, func() { n.completeSetup(c, h, request) })
	}
}

// completeSetup establishes a connection if its host still accepts any.
func (n *simBalancer) completeSetup(c *simClient, h *simHost, request string) {
	c.inFlight = false
	if h.draining || h.stopped {
		n.module.Outcome(n.run.now, request, Rejected, false)
		return
	}
	n.run.establish(c, n, h)
	n.module.ConnectionEstablished(n.run.now, request)
}

// answered removes the client of an answered request from those pending.
func (n *simBalancer) answered(request string) *simClient {
	c := n.pending[request]
	if c == nil || c.inFlight {
		n.run.result.Unexpected++
		return nil
	}
	delete(n.pending, request)
	return c
}

func (n *simBalancer) Refuse(request string, retryAfter time.Duration, _ Reason) {
	if c := n.answered(request); c != nil {
		n.run.refused(c, retryAfter)
	}
}

func (n *simBalancer) Fail(request string) { n.Refuse(request, 0, NoServer) }

// Move ends a client's connection, after the current call of the module has returned.
func (n *simBalancer) Move(request string) {
	n.run.after(0, func() {
		if c := n.run.established[request]; c != nil {
			n.run.result.Moved++
			n.run.breakOff(c, Cancelled)
		}
	})
}

func (n *simBalancer) Wake(at time.Duration, name int64) {
	if name == timerWaiting {
		n.run.after(at-n.run.now, func() { n.module.Wake(n.run.now, timerWaiting) })
	}
}

func (n *simBalancer) NotifySiblings(uint32, time.Duration) {}
func (n *simBalancer) Watch(bool)                           {}
func (n *simBalancer) Log(string)                           {}
