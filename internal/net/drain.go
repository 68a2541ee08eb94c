package net

import (
	"time"

	"tealtiller/internal/line"
	"tealtiller/policy"
)

// quietPeriod is how long no OPEN may have arrived before a draining node stops. Clients keep coming for up to 0.4 s
// after the signal.
const quietPeriod = 600 * time.Millisecond

// drainCheckInterval is how often a draining node checks whether it may stop.
const drainCheckInterval = 20 * time.Millisecond

// maxDrainWait is the longest request deadline that the supervisor waits for before it kills the process 0.7 s later.
const maxDrainWait = 3 * time.Second

// drainAnswerTime is how long after the longest request deadline all pending requests are answered. Clients come for
// up to 0.4 s and may use their full deadline; the rest of the 0.7 s before the kill is left for the final checks and
// for a machine that stalls the process by 0.15 s.
const drainAnswerTime = 440 * time.Millisecond

// Drain shuts the node down gracefully. It may be called from any goroutine.
func (n *Node) Drain() {
	<-n.booted
	n.post(func(now time.Duration) {
		if n.draining {
			return
		}
		n.log.Info("draining", "operations", n.table.Len())
		n.checkDrain(now, n.beginDrain(now))
	})
}

// beginDrain starts a drain, and returns its deadline.
func (n *Node) beginDrain(now time.Duration) (latest time.Duration) {
	latest = n.drainDeadline(now)
	n.draining, n.lastOpenAt, n.handoverDeadline = true, max(n.lastOpenAt, now), latest
	n.beginHandover(now)
	return latest
}

// drainDeadline is the time until which accepted requests may be served.
func (n *Node) drainDeadline(now time.Duration) time.Duration {
	return now + min(n.cfg.Settings.MaxDeadline, maxDrainWait) + drainAnswerTime
}

// checkDrain stops the process once the drain has finished, and checks again until then.
func (n *Node) checkDrain(now, latest time.Duration) {
	if n.drainFinished(now, latest) {
		n.stop()
		return
	}
	n.deadlines.Set(now+drainCheckInterval, func(now time.Duration) { n.checkDrain(now, latest) })
}

// drainFinished reports whether all requests are answered, all clients that ended their sending have their last lines,
// and no more clients come. Where connections end with the process, clients of established connections are moved,
// including those established during the drain, and the drain ends by the drain deadline.
//
// Where packets pass through, connections would break with this process and their clients would reconnect, so they are
// relayed as long as the process runs. Whoever stops the process for good first routes its packets to another
// balancer.
func (n *Node) drainFinished(now, latest time.Duration) bool {
	if n.link != nil && !n.leading || n.handoverDeadlinePassed { // the other process continues all connections
		return n.handOverAll(now)
	}
	if !n.cfg.Settings.PassThrough {
		n.moveEstablished(now, now >= latest)
	}
	if now >= latest && !(n.cfg.Settings.PassThrough && n.drainDeadlinePassed) { // only once with pass-through: see pastDrainDeadline
		n.drainDeadlinePassed = true
		n.failUnanswered(now)
		if n.cfg.Settings.PassThrough {
			n.dismissIdle(now)
		}
	}
	answered := n.table.Unanswered() == 0 && !n.awaitsLastLines() && now-n.lastOpenAt >= quietPeriod && !n.hasPartialCommand()
	if done := n.cfg.Settings.PassThrough && answered && n.table.Len() == 0 ||
		!n.cfg.Settings.PassThrough && (answered || now >= latest); !done {
		n.resumeHandshakes()
		return false
	}
	return n.closeRemaining(now, latest)
}

// moveEstablished moves the clients of all established connections. A client that has ended its sending is left to the
// last lines of its desk host, unless the drain deadline has passed.
func (n *Node) moveEstablished(now time.Duration, deadlinePassed bool) {
	for _, u := range n.upstreams.All() {
		if u.up && (deadlinePassed || !u.downstream.awaitsLastLines()) {
			u.moveClient(now, false, policy.Cancelled)
		}
	}
}

// awaitsLastLines reports whether any client has ended its sending and waits for its desk host's last lines. It may have
// no entry among the requests any more, if the module has moved it meanwhile.
func (n *Node) awaitsLastLines() bool {
	for _, u := range n.upstreams.All() {
		if u.up && u.downstream.awaitsLastLines() {
			return true
		}
	}
	return false
}

// pastDrainDeadline reports whether a request comes too late to be started. Where packets pass through, a drain
// continues after its deadline but may be killed at any moment, and requests accepted then would be lost. Requests of
// open connections are still relayed. A process that has handed over ends at once, and starts none.
func (n *Node) pastDrainDeadline(o line.OpenRequest) bool {
	return n.handoverDeadlinePassed ||
		n.drainDeadlinePassed && n.leading && n.cfg.Settings.PassThrough && !o.MidFlow && o.HostID == ""
}

// dismissIdle refuses idle clients. Where packets pass through, the process may be killed at any moment from now on,
// and a request that arrived just before would be lost.
func (n *Node) dismissIdle(now time.Duration) {
	for _, d := range n.downstreams.All() {
		if d.closeIdle(now, n.busyLine(0)) {
			n.counters.Add("resting clients told to go")
		}
	}
}

// hasPartialCommand reports whether a client has sent an incomplete first line: the rest of the request may follow.
func (n *Node) hasPartialCommand() bool {
	for _, d := range n.downstreams.All() {
		if d.conn != nil && !d.openReceived && !d.closing && d.buffered() > 0 {
			return true
		}
	}
	return false
}

// maxFinalClose is how long dismissed clients have at the end to read their last line and close their side.
const maxFinalClose = 300 * time.Millisecond

// closeRemaining blocks new handshakes, closes idle client connections, and reports whether all clients have left or
// their time is over.
//
// The end of the process resets connections with unread data and connections waiting to be accepted. A request or a
// connection may arrive at that very moment; so new handshakes are blocked, handshakes in progress are accepted, and
// unread data is read before the listener is closed.
func (n *Node) closeRemaining(now, latest time.Duration) bool {
	n.beginClosing(now, latest)
	for _, d := range n.downstreams.All() {
		d.closeIdle(now, n.busyLine(0))
	}
	if now >= n.closeDeadline {
		n.failUnanswered(now) // closeIdle may just have accepted an unread request
		return true
	}
	if n.table.Unanswered() > 0 { // closeIdle accepted an unread request
		return false
	}
	waiting := now-n.closingSince < drainCheckInterval || n.downstreams.Len() > 0
	return !waiting && n.closeListener()
}

// beginClosing blocks new handshakes, and sets the time by which the remaining clients have to leave.
func (n *Node) beginClosing(now, latest time.Duration) {
	if n.closingSince > 0 {
		return
	}
	n.closingSince, n.closeDeadline = now, now+maxFinalClose
	lastCheck := latest + 3*drainCheckInterval // the process is killed soon after the deadline
	switch {
	case !n.leading || n.handoverDeadlinePassed: // clients may still be handed over until then
		n.closeDeadline = lastCheck
	case !n.cfg.Settings.PassThrough:
		n.closeDeadline = min(n.closeDeadline, lastCheck)
	}
	n.allowHandshakes(false)
}

// stoppedServing reports whether the process is about to end.
func (n *Node) stoppedServing() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

// failUnanswered answers all pending requests with an error at the drain deadline, because after the kill nobody would
// answer them.
func (n *Node) failUnanswered(now time.Duration) {
	for _, d := range n.downstreams.All() {
		if d.conn != nil && d.openReceived && !d.closing && (d.upstream == nil || !d.upstream.up) {
			n.counters.Add("operations answered: failed, at the end")
			d.sendLastLine(now, "ERR\r\n")
			n.table.AnsweredFailed(now, d.request)
		}
	}
}

// stop ends serving; Run returns once the messages to another process are written.
func (n *Node) stop() {
	for _, d := range n.downstreams.All() {
		d.closeConn()
	}
	n.writeMetrics()
	if n.finalLink = n.link; n.finalLink != nil {
		n.finalLink.close()
	}
	n.watch.watcher.Watch(n.now(), false) // so that the closed watch does not count as a failure
	close(n.stopped)
}
