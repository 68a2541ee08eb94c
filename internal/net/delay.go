package net

import (
	"maps"
	"slices"
	"time"

	"tealtiller/internal/scale"
	"tealtiller/policy"
)

// delayMonitor tracks the message delay of each desk host. At most once a second it reports to the decision module the
// hosts whose delay is over the threshold, and once more when a host is back below it. The delay is the larger of the
// measured time from a client's line to the host's next line, and the delay expected from the host's load reports: a
// crowded host may answer at once and still have a backlog.
type delayMonitor struct {
	threshold     time.Duration // a third of the shortest message target; 0 turns monitoring off
	manyBalancers bool          // each of many balancers sees too little of a host: see scale.IsLargeFleet
	hosts         map[string]*hostStatus
}

// hostStatus is what is known of one desk host. It is kept while connections to the host are established or the host
// is known to be crowded.
type hostStatus struct {
	probe          *probe
	shortestEcho   time.Duration // shortest time from a client's line to the next line, since the last report to the module
	unansweredFor  time.Duration // age of the oldest unanswered line, while the host sends nothing on any connection
	lastReadAt     time.Duration // when data last arrived, on any connection
	probeMissedAt  time.Duration // when a probe last went unanswered
	inUse          bool          // has established connections, as of the current check
	newConnections bool          // connections were established or dropped since the last probe
	probedAt       time.Duration
	report         loadReport
	reportedSlow   bool // last reported to the module as slow
	reportedAt     time.Duration
}

// checkInterval is the time between two checks of all desk hosts, delayReportInterval the minimum time between two
// reports on a host to the module.
const (
	checkInterval       = 250 * time.Millisecond
	delayReportInterval = time.Second
)

func newDelayMonitor() delayMonitor { return delayMonitor{hosts: map[string]*hostStatus{}} }

// updateListSize takes in the number of listed hosts, and returns it.
func (m *delayMonitor) updateListSize(n *Node, now time.Duration) (listed int) {
	listed, _ = n.table.MemberCounts(now)
	m.manyBalancers = scale.IsLargeFleet(n.cfg.Settings.Policy.Siblings, listed)
	return listed
}

// setThreshold derives the threshold from the message targets of the settings.
func (m *delayMonitor) setThreshold(set policy.Settings) {
	m.threshold = 0
	for _, c := range set.Classes {
		if c.MessageTarget > 0 && (m.threshold == 0 || c.MessageTarget/3 < m.threshold) {
			m.threshold = c.MessageTarget / 3
		}
	}
}

func (m *delayMonitor) scheduleCheck(n *Node, now time.Duration) {
	n.deadlines.Set(now+checkInterval, func(now time.Duration) {
		n.checkWallClock(now)
		if m.threshold > 0 {
			m.check(n, now)
		}
		m.scheduleCheck(n, now)
	})
}

// host returns the status of a desk host, which is created if necessary.
func (m *delayMonitor) host(server string) *hostStatus {
	status := m.hosts[server]
	if status == nil {
		status = &hostStatus{}
		m.hosts[server] = status
	}
	return status
}

// addEcho records how long a desk host took to answer a line.
func (m *delayMonitor) addEcho(server string, took time.Duration) {
	if status := m.host(server); status.shortestEcho == 0 || took < status.shortestEcho {
		status.shortestEcho = took
	}
}

// check probes the desk hosts with established connections, where a probe is due, and drops the status of the others.
// A host that drops all connections has none of ours and would look empty again at each check; so a host known to be
// crowded is kept until it is no longer crowded or does not answer, and the module was notified of that.
func (m *delayMonitor) check(n *Node, now time.Duration) {
	for _, status := range m.hosts {
		status.inUse, status.unansweredFor, status.report.connections, status.report.openedSince = false, 0, 0, 0
	}
	for _, u := range n.upstreams.All() {
		if u.up {
			status := m.host(u.server)
			status.inUse = true
			if status.report.connections++; u.upAt > status.report.madeAt {
				status.report.openedSince++
			}
			if u.unansweredSince > status.lastReadAt {
				// Whether the host has answered others meanwhile is not known of the time in another process.
				status.unansweredFor = max(status.unansweredFor, now-max(u.unansweredSince, u.upAt))
			}
		}
	}
	established := 0
	for _, status := range m.hosts {
		established += status.report.connections
	}
	listed := m.updateListSize(n, now)
	factor := scale.IntervalFactor(n.cfg.Settings.Policy.Siblings, established, listed)
	for _, server := range slices.Sorted(maps.Keys(m.hosts)) {
		status := m.hosts[server]
		if !status.inUse && !status.report.isCrowded(now) && !status.reportedSlow && !status.probe.inProgress() {
			status.probe.close()
			delete(m.hosts, server)
			continue
		}
		interval := status.report.nextProbeAfter()
		if status.newConnections {
			interval = probeInterval
		}
		interval = time.Duration(float64(interval) * factor)
		if status.unansweredFor > 0 {
			interval = checkInterval
		}
		// Many balancers probe hosts without connections only when they place a request.
		if n.cfg.Settings.ProbesAllowed && now-status.probedAt >= interval && (status.inUse || !m.manyBalancers) {
			status.newConnections, status.probedAt = false, now
			n.probeHost(server, status, now)
		}
		m.reportDelay(n, now, server, status)
	}
}

// connectionDropped handles an established connection that a desk host has reset. A host does so when its backlog is
// too large, before any report shows it; its clients reconnect within a second, and the module must know by then.
func (m *delayMonitor) connectionDropped(n *Node, now time.Duration, server string) {
	status := m.host(server)
	status.newConnections = true // probes the host at the next check
	if status.report.connectionDropped(now) {
		m.reportDelay(n, now, server, status)
	}
}

// silentFor is how long the desk host has left a line unanswered. A single connection may stall while its host is
// healthy, and taking the host for slow would move all other clients there; so where probes are allowed, one must have
// gone unanswered too.
func (status *hostStatus) silentFor(n *Node, now time.Duration) time.Duration {
	if n.cfg.Settings.ProbesAllowed && status.probeMissedAt < now-status.unansweredFor {
		return 0
	}
	return status.unansweredFor
}

// reportDelay reports the delay of a desk host to the module, if that is due. An unanswered line counts with its age.
func (m *delayMonitor) reportDelay(n *Node, now time.Duration, server string, status *hostStatus) {
	if now-status.reportedAt < delayReportInterval {
		return
	}
	took := max(status.report.expectedDelay(now), status.shortestEcho, status.silentFor(n, now))
	echo := status.shortestEcho
	status.shortestEcho = 0
	slow := took > m.threshold
	if slow || status.reportedSlow {
		n.counters.Add("delays told")
		n.trace("delay-told", "host", server, "ms", took.Milliseconds(), "echo", echo, "x0", status.report.load)
		status.reportedAt = now
		n.table.ObserveDelay(now, server, took)
	}
	status.reportedSlow = slow
}
