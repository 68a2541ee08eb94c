package net

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/line"
	"tealtiller/policy"
)

// report is what a desk host's load reports tell.
type report struct {
	x0        float64       // load asked of it over what it can do
	util      float64       // how busy its cores are; the mean with the report before, where that told another
	busy      float64       // util as last told
	at        time.Duration // when that came; 0 before the first
	backlog   time.Duration // work that must have piled up
	madeAt    time.Duration // when the desk host took the report, about
	droppedAt time.Duration // when it last dropped a connection
	open      int           // connections of ours that stand there
	since     int           // those of them that came up after the report was made
}

// staleAfter is for how long a report is believed.
const staleAfter = 2 * probeIdle

// reportAge is how old what a report tells is when we act on it: it is refreshed each 0.4 to 1.3 s, comes 0.1 to
// 0.5 s late, and we ask each 0.5 s.
const reportAge = time.Second

// learn takes a report. What was asked beyond what it can do since the last one has piled up; what it could
// have done beyond what was asked has been worked off. Where the load has just gone over, it did so before
// the report was made.
//
// Reports are late and miss what piled up between two of them. But cores that stay busy beyond the load asked
// are working something off, and cores with time to spare have nothing left; the mean of two reports tells of
// no time to spare while more is asked than they can do.
func (r *report) learn(now time.Duration, x0, util float64) {
	if r.at > 0 {
		span := min(now-r.at, staleAfter)
		if r.x0 < 1 && x0 > 1 {
			span = reportAge
		}
		r.backlog = max(r.backlog+time.Duration((x0-1)*float64(span)), 0)
	}
	if x0 != r.x0 {
		r.madeAt = now - reportAge/2
		r.util = util
		if r.busy > 0 {
			r.util = (util + r.busy) / 2
		}
		r.busy = util
	}
	switch {
	case r.util > 0 && r.util < notBusy && x0 < 1:
		r.backlog = 0
	case r.util >= fullyBusy:
		r.backlog = max(r.backlog, unseenBacklog)
	}
	r.x0, r.at = x0, now
}

// shed takes that a desk host has dropped a connection, and tells whether that was for want of room. One alone
// breaks for other reasons too: where the last report shows room, it takes a second one to belie it.
func (r *report) shed(now time.Duration) bool {
	room := r.at > 0 && now-r.at <= staleAfter && r.x0 < crowded
	again := r.droppedAt > 0 && now-r.droppedAt <= reportAge
	r.droppedAt = now
	if room && !again {
		return false
	}
	r.x0, r.at = max(r.x0, 1), now
	r.backlog = max(r.backlog, shedBacklog)
	return true
}

// shedBacklog is what has piled up at the least where a desk host drops connections.
const shedBacklog = 500 * time.Millisecond

const notBusy, fullyBusy, unseenBacklog = 0.9, 0.96, 100 * time.Millisecond

// crowded tells whether the last report, not too old, has the desk host near its capacity.
func (r *report) crowded(now time.Duration) bool {
	return r.at > 0 && now-r.at <= staleAfter && r.x0 >= crowded
}

// expected is how long a message takes there, by the reports.
func (r *report) expected(now time.Duration) time.Duration {
	if r.at == 0 || now-r.at > staleAfter {
		return 0
	}
	return r.backlog + time.Duration(float64(idleMessage)/(1-min(r.grown(), nearFull)))
}

// grown is the load by now: what has come up since the report counts as what stood, for the other balancers send
// there as we do.
func (r *report) grown() float64 { return r.x0 * float64(r.open+1) / float64(r.open-r.since+1) }

// next is when to ask for the next report. A desk host refreshes its own about once a second. One with room is
// asked less often, for it costs it work; but one that is filling is full before an idle one would be asked again.
func (r *report) next() time.Duration {
	switch {
	case r.grown() >= crowded || r.backlog > 0:
		return probeEvery
	case r.grown() >= filling:
		return 2 * probeEvery
	}
	return probeIdle
}

const probeEvery, probeIdle = 500 * time.Millisecond, 3 * time.Second

const filling, crowded = 0.4, 0.7

// Messages slow down as a desk host nears its capacity, before any work piles up: as in a queue, by one over
// what is left of it. Near the full that tells nothing more, and stays under the shortest aim here.
const idleMessage, nearFull = 4 * time.Millisecond, 0.9

// probe is a connection to a desk host on which it is asked for its load report, one question at a time.
type probe struct {
	node   *Node
	server string
	lag    *lag
	conn   gnet.Conn
	cancel context.CancelFunc
	over   bool
	limit  *deadline.Deadline
}

const probeTimeout = 200 * time.Millisecond

// ask asks a desk host for its report, on the connection that is there or on a new one.
func (n *Node) ask(server string, l *lag, now time.Duration) {
	address, ok := n.addresses[server]
	if !ok || l.probe.asking() {
		return
	}
	if l.probe == nil && n.limited() && n.left() < 2 { // who waits for the report goes on without it after a while
		n.count.Add("probes not sent: no descriptors")
		return
	}
	n.count.Add("probes sent")
	n.trace("probe-sent", "host", server, "kept", l.probe != nil)
	if l.probe != nil {
		l.probe.send(now)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.probeWait)
	l.probe = &probe{node: n, server: server, lag: l, cancel: cancel}
	n.dial(ctx, l.probe, address.String())
}

func (p *probe) send(now time.Duration) {
	p.limit = p.node.deadlines.Set(now+p.node.probeWait, func(now time.Duration) {
		p.missed(now)
		p.close()
	})
	p.node.write(p.conn, []byte("STATS\r\n"))
}

func (p *probe) opened(now time.Duration, c gnet.Conn) gnet.Action {
	p.cancel()
	if p.conn = c; p.over {
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
		p.node.deadlines.Stop(p.limit)
		p.limit, p.lag.heardAt = nil, now
		kind, rest := line.Parse(text)
		answered := kind == line.Pong // danger: one that has just started has no figures yet, and is no less well
		if answered {
			if x0, ok := line.ReportField(rest, "x0"); ok {
				util, ok := line.ReportField(rest, "cpu")
				if !ok {
					util, _ = line.ReportField(rest, "util")
				}
				p.lag.report.learn(now, x0, util)
				p.node.trace("report", "host", p.server, "x0", x0, "util", util, "backlog", p.lag.report.backlog)
			}
		}
		_, _ = p.conn.Discard(len(text))
		p.node.table.Reported(now, p.server, policy.Report{Answered: answered, Load: p.lag.report.grown(), Delay: p.lag.report.expected(now)})
		if p.node.delays.many { // danger: kept by each of many, they hold as many places as clients do
			p.close()
			return
		}
	}
}

// asking tells whether a question is under way, or its connection. Danger: to drop it then would leave a request that
// waits for its answer to wait for nothing.
func (p *probe) asking() bool { return p != nil && (p.conn == nil || p.limit != nil) }

// close ends the probe; the next one makes a new connection. A nil one has ended.
func (p *probe) close() {
	if p == nil || p.over {
		return
	}
	p.over = true
	p.cancel()
	p.node.deadlines.Stop(p.limit)
	if p.lag.probe == p {
		p.lag.probe = nil
	}
	p.node.end(p.conn, false)
}

// missed takes that a question had no answer.
func (p *probe) missed(now time.Duration) {
	p.lag.missedAt = now
	p.node.trace("probe-missed", "host", p.server)
	p.node.table.Reported(now, p.server, policy.Report{})
}

func (p *probe) detach(bool) { p.conn = nil }

func (p *probe) closed(now time.Duration, _ bool) {
	if !p.over {
		p.missed(now) // by its own doing, or it never came up
	}
	p.close()
}
