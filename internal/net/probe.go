package net

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/line"
	"tealtiller/policy"
)

// loadReport is what is known from the load reports of a desk host.
type loadReport struct {
	load            float64       // requested load relative to capacity
	utilisation     float64       // CPU utilisation, averaged with the report before if that differed
	lastUtilisation float64       // utilisation as last reported
	receivedAt      time.Duration // when the report was received; 0 before the first
	backlog         time.Duration // estimate of the work that has accumulated
	madeAt          time.Duration // estimate of when the desk host made the report
	droppedAt       time.Duration // when the desk host last dropped a connection
	connections     int           // established connections of this balancer at the host
	openedSince     int           // those of them established after madeAt
}

// reportLifetime is how long a report is used.
const reportLifetime = 2 * idleProbeInterval

// typicalReportAge is the age of the information in a report when it is used: hosts refresh it every 0.4 to 1.3 s, it
// arrives 0.1 to 0.5 s late, and probes are sent every 0.5 s.
const typicalReportAge = time.Second

// update takes in a report. Load above the capacity since the last report has accumulated as backlog, and spare
// capacity has reduced it. If the load has just exceeded the capacity, it did so before the report was made.
//
// Reports are late and miss backlog that builds up between them. But cores busier than the load explains are working
// off a backlog, and cores with time to spare have none. Averaged utilisation is no sign of spare time while more is
// requested than the host can serve.
func (r *loadReport) update(now time.Duration, load, utilisation float64) {
	if r.receivedAt > 0 {
		span := min(now-r.receivedAt, reportLifetime)
		if r.load < 1 && load > 1 {
			span = typicalReportAge
		}
		r.backlog = max(r.backlog+time.Duration((load-1)*float64(span)), 0)
	}
	if load != r.load {
		r.madeAt = now - typicalReportAge/2
		r.utilisation = utilisation
		if r.lastUtilisation > 0 {
			r.utilisation = (utilisation + r.lastUtilisation) / 2
		}
		r.lastUtilisation = utilisation
	}
	switch {
	case r.utilisation > 0 && r.utilisation < spareUtilisation && load < 1:
		r.backlog = 0
	case r.utilisation >= fullUtilisation:
		r.backlog = max(r.backlog, assumedBacklog)
	}
	r.load, r.receivedAt = load, now
}

// connectionDropped handles a connection dropped by the host, and reports whether that indicates overload. One may
// break for other reasons: if the last report shows spare capacity, it takes a second drop.
func (r *loadReport) connectionDropped(now time.Duration) bool {
	hasCapacity := r.receivedAt > 0 && now-r.receivedAt <= reportLifetime && r.load < crowdedLoad
	repeated := r.droppedAt > 0 && now-r.droppedAt <= typicalReportAge
	r.droppedAt = now
	if hasCapacity && !repeated {
		return false
	}
	r.load, r.receivedAt = max(r.load, 1), now
	r.backlog = max(r.backlog, droppedBacklog)
	return true
}

const (
	spareUtilisation = 0.9                    // below this, cores have time to spare; with a load below 1, the backlog is 0
	fullUtilisation  = 0.96                   // from this on, a backlog is assumed
	assumedBacklog   = 100 * time.Millisecond // minimum backlog from fullUtilisation on
	droppedBacklog   = 500 * time.Millisecond // minimum backlog of a host that drops connections
)

// isCrowded reports whether the last report is recent and shows the desk host near its capacity.
func (r *loadReport) isCrowded(now time.Duration) bool {
	return r.receivedAt > 0 && now-r.receivedAt <= reportLifetime && r.load >= crowdedLoad
}

// expectedDelay is the expected delay of a message according to the reports; 0 if they are too old.
func (r *loadReport) expectedDelay(now time.Duration) time.Duration {
	if r.receivedAt == 0 || now-r.receivedAt > reportLifetime {
		return 0
	}
	return r.backlog + time.Duration(float64(idleMessageDelay)/(1-min(r.currentLoad(), maxDelayLoad)))
}

// currentLoad extrapolates the reported load to the connections established since: other balancers are assumed to add
// about as many as this one.
func (r *loadReport) currentLoad() float64 {
	return r.load * float64(r.connections+1) / float64(r.connections-r.openedSince+1)
}

// nextProbeAfter is the time until the next probe. Hosts refresh their report about once a second. Probes cost them
// work, so hosts with spare capacity get fewer; but one that is filling up would be full before an idle probe.
func (r *loadReport) nextProbeAfter() time.Duration {
	switch {
	case r.currentLoad() >= crowdedLoad || r.backlog > 0:
		return probeInterval
	case r.currentLoad() >= fillingLoad:
		return 2 * probeInterval
	}
	return idleProbeInterval
}

const (
	probeInterval     = 500 * time.Millisecond // of crowded hosts
	idleProbeInterval = 3 * time.Second        // of hosts with spare capacity
	fillingLoad       = 0.4                    // from this load on, a host is probed more often
	crowdedLoad       = 0.7                    // from this load on, a host counts as crowded
)

// Messages slow down as a desk host nears its capacity, before any backlog builds up: as in a queue, the delay is that
// of an idle host divided by the spare capacity. The load is capped at maxDelayLoad, because the formula is
// meaningless close to full load; the cap also keeps the delay below the shortest message target.
const (
	idleMessageDelay = 4 * time.Millisecond
	maxDelayLoad     = 0.9
)

// probe is a connection to a desk host on which load reports are requested, one at a time.
type probe struct {
	node        *Node
	server      string
	status      *hostStatus
	conn        gnet.Conn
	cancel      context.CancelFunc
	ended       bool
	answerLimit *deadline.Deadline
}

// defaultProbeTimeout is how long a desk host may take to accept the connection, and to answer a probe.
const defaultProbeTimeout = 200 * time.Millisecond

// probeHost requests a load report, on the existing probe connection or on a new one.
func (n *Node) probeHost(server string, status *hostStatus, now time.Duration) {
	address, ok := n.addresses[server]
	if !ok || status.probe.inProgress() {
		return
	}
	if status.probe == nil && n.descriptorsLimited() && n.descriptorsLeft() < 2 { // the module goes on without the report after a while
		n.counters.Add("probes not sent: no descriptors")
		return
	}
	n.counters.Add("probes sent")
	n.trace("probe-sent", "host", server, "kept", status.probe != nil)
	if status.probe != nil {
		status.probe.send(now)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.probeTimeout)
	status.probe = &probe{node: n, server: server, status: status, cancel: cancel}
	n.dial(ctx, status.probe, address.String())
}

func (p *probe) send(now time.Duration) {
	p.answerLimit = p.node.deadlines.Set(now+p.node.probeTimeout, func(now time.Duration) {
		p.unanswered(now)
		p.close()
	})
	p.node.write(p.conn, []byte("STATS\r\n"))
}

func (p *probe) opened(now time.Duration, c gnet.Conn) gnet.Action {
	p.cancel()
	if p.conn = c; p.ended {
		return gnet.Close
	}
	p.send(now)
	return gnet.None
}

func (p *probe) traffic(now time.Duration) {
	for p.conn != nil {
		buf, _ := p.conn.Peek(-1)
		text, err := line.Next(buf)
		if err != nil {
			p.close()
			return
		}
		if len(text) == 0 {
			return
		}
		p.node.deadlines.Stop(p.answerLimit)
		p.answerLimit, p.status.lastReadAt = nil, now
		kind, rest := line.Parse(text)
		answered := kind == line.Pong // a host that has just started has no figures yet, but is healthy
		if answered {
			if x0, ok := line.ReportField(rest, "x0"); ok {
				util, ok := line.ReportField(rest, "cpu")
				if !ok {
					util, _ = line.ReportField(rest, "util")
				}
				p.status.report.update(now, x0, util)
				p.node.trace("report", "host", p.server, "x0", x0, "util", util, "backlog", p.status.report.backlog)
			}
		}
		_, _ = p.conn.Discard(len(text))
		p.node.table.ProbeResult(now, p.server,
			policy.Report{Answered: answered, Load: p.status.report.currentLoad(), Delay: p.status.report.expectedDelay(now)})
		if p.node.delays.manyBalancers { // permanent probe connections would occupy as many slots of the host as clients do
			p.close()
			return
		}
	}
}

// inProgress reports whether an answer or connection is pending; closing it then would leave a request waiting in vain.
func (p *probe) inProgress() bool { return p != nil && (p.conn == nil || p.answerLimit != nil) }

// close ends the probe; the next one opens a new connection. A nil receiver is allowed.
func (p *probe) close() {
	if p == nil || p.ended {
		return
	}
	p.ended = true
	p.cancel()
	p.node.deadlines.Stop(p.answerLimit)
	if p.status.probe == p {
		p.status.probe = nil
	}
	p.node.closeConn(p.conn, false)
}

// unanswered reports a probe without an answer to the module.
func (p *probe) unanswered(now time.Duration) {
	p.status.probeMissedAt = now
	p.node.trace("probe-missed", "host", p.server)
	p.node.table.ProbeResult(now, p.server, policy.Report{})
}

func (p *probe) detach(bool) { p.conn = nil }

func (p *probe) closed(now time.Duration, _ bool) {
	if !p.ended {
		p.unanswered(now) // closed by the host, or the dial failed
	}
	p.close()
}
