// Package admin parses HTTP/1.1 requests at the second address, the one for operators, and formats the responses and
// the metrics. It does not use sockets itself.
package admin

import (
	"bufio"
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/counters"
	"tealtiller/internal/placement"
)

// Paths of the requests.
const (
	HealthPath = "/admin/health"
	StatsPath  = "/admin/stats"
)

// maxHeadBytes limits the head of a request; one without an end would fill the memory.
const maxHeadBytes = 4 << 10

// ParseRequest parses the request at the start of buf. The status is 0 while its head is incomplete, 200 for a valid
// request, or else the error status. It does not wait for a body, since no request here has one.
func ParseRequest(buf []byte) (path string, status int) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	switch {
	case end > maxHeadBytes || end < 0 && len(buf) > maxHeadBytes:
		return "", http.StatusRequestHeaderFieldsTooLarge
	case end < 0:
		return "", 0
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:end+4])))
	switch {
	case err != nil || request.ProtoMajor != 1 || request.ProtoAtLeast(1, 1) && request.Host == "":
		return "", http.StatusBadRequest
	case request.URL.Path != HealthPath && request.URL.Path != StatsPath:
		return "", http.StatusNotFound
	case request.Method != http.MethodGet:
		return "", http.StatusMethodNotAllowed
	}
	return request.URL.Path, http.StatusOK
}

// Response formats a response, after which the connection is closed.
func Response(status int, body string) []byte {
	var allow string
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: GET\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s", status, http.StatusText(status), allow, len(body), body)
}

// Metrics are the values shown to operators. Classes that are no longer configured remain, because counters must not
// decrease.
type Metrics struct {
	Classes               map[string]counters.Outcomes
	Attempts              int64 // OPEN lines written to desk hosts
	Pending               int   // requests in progress and established connections
	Members, Unavailable  int
	Reloads, ReloadErrors int64 // configurations applied and refused
	HostList              HostListMetrics
	Cells                 []CellMetrics
	Plan                  *placement.PlanStatus // nil without a plan
}

// HostListMetrics are the metrics of the host list.
type HostListMetrics struct {
	Revision           int64
	SinceAnswer        time.Duration // since the last answer of discovery
	Calls, FailedCalls int64
	AttemptsNotWritten int64 // attempts refused just before their OPEN line was written
}

// CellMetrics are the metrics of one cell.
type CellMetrics cells.Stats

// Text formats the metrics, one a line, with classes ordered by name.
func (m Metrics) Text() string {
	var b strings.Builder
	for _, class := range slices.Sorted(maps.Keys(m.Classes)) {
		outcomes := m.Classes[class]
		fmt.Fprintf(&b, "svc.downstream_requests.%[1]s.completed:%[2]d|c\nsvc.downstream_requests.%[1]s.rejected:%[3]d|c\n"+
			"svc.downstream_requests.%[1]s.failed:%[4]d|c\n", class,
			outcomes.Completed, outcomes.Rejected, outcomes.Failed)
	}
	fmt.Fprintf(&b, "svc.upstream_requests:%d|c\nsvc.pending:%d|g\nsvc.members:%d|g\nsvc.members_unavailable:%d|g\n"+
		"svc.config_reloads:%d|c\nsvc.config_reload_errors:%d|c\n",
		m.Attempts, m.Pending, m.Members, m.Unavailable, m.Reloads, m.ReloadErrors)
	fmt.Fprintf(&b, "svc.list.revision:%d|g\nsvc.list.unheard_ms:%d|g\nsvc.list.calls:%d|c\nsvc.list.calls_failed:%d|c\n"+
		"svc.list.attempts_not_written:%d|c\n",
		m.HostList.Revision, m.HostList.SinceAnswer.Milliseconds(), m.HostList.Calls,
		m.HostList.FailedCalls, m.HostList.AttemptsNotWritten)
	for _, c := range m.Cells {
		fmt.Fprintf(&b, "svc.cells.%[1]s.connections:%[2]d|g\nsvc.cells.%[1]s.guests:%[3]d|g\nsvc.cells.%[1]s.members:%[4]d|g\n"+
			"svc.cells.%[1]s.members_usable:%[5]d|g\nsvc.cells.%[1]s.moves_left:%[6]d|g\nsvc.cells.%[1]s.moved:%[7]d|c\n"+
			"svc.cells.%[1]s.rejected_full:%[8]d|c\nsvc.cells.%[1]s.rejected_too_fast:%[9]d|c\nsvc.cells.%[1]s.rejected_no_member:%[10]d|c\n"+
			"svc.cells.%[1]s.rejected:%[11]d|c\nsvc.cells.%[1]s.overflowed:%[12]d|c\n",
			c.Name, c.Connections, c.Guests, c.Hosts, c.UsableHosts, c.PendingMoves, c.MovesSent,
			c.RefusedFull, c.RefusedTooFast, c.RefusedNoHost, c.Counts.RefusedByPolicy, c.Overflowed)
	}
	if p := m.Plan; p != nil {
		fmt.Fprintf(&b, "svc.plan.force_percent:%.0f|g\nsvc.plan.age_s:%.0f|g\nsvc.plan.members_known:%d|g\nsvc.plan.members_unknown:%d|g\n"+
			"svc.plan.members_missing:%d|g\n", 100*p.Force, p.Age.Seconds(), p.Known, p.Unknown, p.Missing)
	}
	return b.String()
}
