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

// caller is the socket of one call at the second address. It is served on the loop that owns what it asks about,
// so its figures have no age.
type caller struct {
	node     *Node
	conn     gnet.Conn // nil once closed
	answered bool
	limit    *deadline.Deadline
}

// mostCallers is how many calls have a descriptor at a time. Danger: those that connect and ask nothing would take
// the descriptors of clients, or keep others from asking; of too many the oldest goes that has not been answered.
// An operator's patience for a call is 4 s, so callPatience is longer.
const mostCallers, callPatience = 12, 5 * time.Second

func (c *caller) opened(now time.Duration, conn gnet.Conn) gnet.Action {
	n := c.node
	n.count.Add("calls at the second address")
	c.conn = conn
	if len(n.callers) >= mostCallers {
		oldest := max(slices.IndexFunc(n.callers, func(o *caller) bool { return !o.answered }), 0)
		n.count.Add("calls dropped: too many")
		n.end(n.callers[oldest].conn, false)
	}
	n.callers = append(n.callers, c)
	c.limit = n.deadlines.Set(now+callPatience, func(time.Duration) { n.end(c.conn, false) })
	return gnet.None
}

func (c *caller) traffic(now time.Duration) {
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
		body = c.node.figures(now).Text()
	case admin.HealthPath:
		if reason := c.node.unready(); reason != "" {
			status, body = http.StatusServiceUnavailable, reason+"\n"
		}
	}
	c.answered = true
	c.node.write(c.conn, admin.Response(status, body))
	if c.conn == nil {
		return
	}
	_, _ = c.conn.Discard(-1)
	// Danger: closing at once, with bytes of the caller's unread, would reset the connection and lose the answer.
	if c.conn.OutboundBuffered() == 0 && syscall.Shutdown(c.conn.Fd(), syscall.SHUT_WR) == nil {
		c.node.deadlines.Stop(c.limit)
		c.limit = c.node.deadlines.Set(now+lingering, func(time.Duration) { c.node.end(c.conn, false) })
	}
}

func (c *caller) detach(bool) { c.conn = nil }

func (c *caller) closed(time.Duration, bool) {
	n := c.node
	n.deadlines.Stop(c.limit)
	n.callers = slices.DeleteFunc(n.callers, func(o *caller) bool { return o == c })
}

// unready tells why this process is not ready to serve; empty if it is. Danger: whoever hears yes may stop the
// process that served before, so the list must be one that discovery has told this process; an agent that is silent is not
// waited for.
func (n *Node) unready() string {
	switch {
	case n.stopping:
		return "draining"
	case n.count["discovery answers"] == 0 && (n.cfg.Settings.Policy.MustWatch || n.now() < n.listDue):
		return "no list of desk hosts from discovery yet"
	}
	return ""
}

// figures are made at each call.
func (n *Node) figures(now time.Duration) admin.Metrics {
	ends := n.table.AnswerCounts()
	for class := range n.cfg.Settings.Policy.Classes {
		ends[class] = ends[class] // also those that nobody has asked for yet
	}
	f := admin.Metrics{Classes: ends, Attempts: n.count["attempts written"], Pending: n.table.Len(),
		Reloads: n.count["configurations taken in"], ReloadErrors: n.count["configurations refused"]}
	f.Members, f.Unavailable = n.table.MemberCounts(now)
	f.HostList = admin.HostListMetrics{Revision: n.watch.status.revision, SinceAnswer: n.watch.unheard(now), Calls: n.count["discovery calls"],
		FailedCalls: n.count["discovery calls failed"], AttemptsNotWritten: n.count["attempts not written: no longer allowed"]}
	f.Plan = n.weigher.Status(now)
	for _, c := range n.fleet.Stats(now) {
		f.Cells = append(f.Cells, admin.CellMetrics(c))
	}
	return f
}
