package net

import (
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/admin"
	"tealtiller/internal/deadline"
)

// adminConn is the socket of one request at the second address. It is served on the loop that owns the state, so its
// metrics are always current.
type adminConn struct {
	node     *Node
	conn     gnet.Conn // nil once closed
	answered bool
	timeout  *deadline.Deadline
}

// maxAdminConns limits the connections to the second address. Without it, connections that send no request would take
// descriptors away from clients or keep others from being served. Above the limit, the oldest connection that has not
// been answered is closed.
const maxAdminConns = 12

// adminConnTimeout is how long a connection may stay open. It exceeds the operators' own timeout of 4 s.
const adminConnTimeout = 5 * time.Second

func (c *adminConn) opened(now time.Duration, conn gnet.Conn) gnet.Action {
	n := c.node
	n.counters.Add("calls at the second address")
	c.conn = conn
	if len(n.adminConns) >= maxAdminConns {
		oldest := max(slices.IndexFunc(n.adminConns, func(other *adminConn) bool { return !other.answered }), 0)
		n.counters.Add("calls dropped: too many")
		n.closeConn(n.adminConns[oldest].conn, false)
	}
	n.adminConns = append(n.adminConns, c)
	c.timeout = n.deadlines.Set(now+adminConnTimeout, func(time.Duration) { n.closeConn(c.conn, false) })
	return gnet.None
}

func (c *adminConn) traffic(now time.Duration) {
	if c.conn == nil {
		return
	}
	if c.answered {
		_, _ = c.conn.Discard(-1)
		return
	}
	buf, _ := c.conn.Peek(-1)
	path, status := admin.ParseRequest(buf)
	if status == 0 {
		return
	}
	body := http.StatusText(status) + "\n"
	switch path {
	case admin.StatsPath:
		body = c.node.metrics(now).Text()
	case admin.HealthPath:
		if reason := c.node.notReadyReason(); reason != "" {
			status, body = http.StatusServiceUnavailable, reason+"\n"
		}
	}
	c.answered = true
	c.node.write(c.conn, admin.Response(status, body))
	if c.conn == nil {
		return
	}
	_, _ = c.conn.Discard(-1)
	// Closing at once, with unread input, would reset the connection and lose the answer.
	if c.conn.OutboundBuffered() == 0 && syscall.Shutdown(c.conn.Fd(), syscall.SHUT_WR) == nil {
		c.node.deadlines.Stop(c.timeout)
		c.timeout = c.node.deadlines.Set(now+lingerTimeout, func(time.Duration) { c.node.closeConn(c.conn, false) })
	}
}

func (c *adminConn) detach(bool) { c.conn = nil }

func (c *adminConn) closed(time.Duration, bool) {
	n := c.node
	n.deadlines.Stop(c.timeout)
	n.adminConns = slices.DeleteFunc(n.adminConns, func(other *adminConn) bool { return other == c })
}

// notReadyReason returns why this process is not ready to serve, or an empty string. An operator may stop the previous
// process once this one is ready, so discovery must have sent a list to this process. A pushed list is not waited for
// indefinitely, since its agent may be silent.
func (n *Node) notReadyReason() string {
	switch {
	case n.draining:
		return "draining"
	case n.counters["discovery answers"] == 0 && (n.cfg.Settings.Policy.MustWatch || n.now() < n.listWaitEnds):
		return "no list of desk hosts from discovery yet"
	}
	return ""
}

// metrics collects the current values.
func (n *Node) metrics(now time.Duration) admin.Metrics {
	outcomes := n.table.AnswerCounts()
	for class := range n.cfg.Settings.Policy.Classes {
		outcomes[class] = outcomes[class] // include classes without requests so far
	}
	m := admin.Metrics{Classes: outcomes, Attempts: n.counters["attempts written"], Pending: n.table.Len(),
		Reloads: n.counters["configurations taken in"], ReloadErrors: n.counters["configurations refused"]}
	m.Members, m.Unavailable = n.table.MemberCounts(now)
	m.HostList = admin.HostListMetrics{Revision: n.watch.status.revision, SinceAnswer: n.watch.sinceAnswer(now),
		Calls: n.counters["discovery calls"], FailedCalls: n.counters["discovery calls failed"],
		AttemptsNotWritten: n.counters["attempts not written: no longer allowed"]}
	m.Plan = n.weigher.Status(now)
	for _, c := range n.fleet.Stats(now) {
		m.Cells = append(m.Cells, admin.CellMetrics(c))
	}
	return m
}
