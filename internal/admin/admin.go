// Package admin speaks with the operators at the second address: it reads one HTTP/1.1 call and writes its
// answer, and the figures. It holds no socket.
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

// The calls.
const (
	HealthPath = "/admin/health"
	StatsPath  = "/admin/stats"
)

// mostHead bounds the head of a call. Danger: one without an end would fill the memory.
const mostHead = 4 << 10

// ParseRequest reads a call. The status is 0 while its head is not whole, 200 for one of the calls, else what is wrong
// with it. A body is not waited for: no call here has one.
func ParseRequest(buf []byte) (path string, status int) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	switch {
	case end > mostHead || end < 0 && len(buf) > mostHead:
		return "", http.StatusRequestHeaderFieldsTooLarge
	case end < 0:
		return "", 0
	}
	call, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:end+4])))
	switch {
	case err != nil || call.ProtoMajor != 1 || call.ProtoAtLeast(1, 1) && call.Host == "":
		return "", http.StatusBadRequest
	case call.URL.Path != HealthPath && call.URL.Path != StatsPath:
		return "", http.StatusNotFound
	case call.Method != http.MethodGet:
		return "", http.StatusMethodNotAllowed
	}
	return call.URL.Path, http.StatusOK
}

// Response writes an answer, after which the connection ends.
func Response(status int, body string) []byte {
	var allow string
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: GET\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s", status, http.StatusText(status), allow, len(body), body)
}

// Metrics are what the operators read. Those of classes that are no longer in use stay: a count never goes back.
type Metrics struct {
	Classes               map[string]counters.Outcomes
	Attempts              int64 // written whole to desk hosts
	Pending               int
	Members, Unavailable  int
	Reloads, ReloadErrors int64 // configurations taken in and turned down
	HostList              HostListMetrics
	Cells                 []CellMetrics
	Plan                  *placement.PlanStatus // nil: no plan
}

// HostListMetrics is the figures of the host list.
type HostListMetrics struct {
	Revision           int64
	SinceAnswer        time.Duration // since discovery last answered
	Calls, FailedCalls int64
	AttemptsNotWritten int64 // attempts that the gate before the first byte held back
}

// CellMetrics is the figures of one cell.
type CellMetrics cells.Stats

// Text writes the figures, one a line, classes in order of their names.
func (f Metrics) Text() string {
	var b strings.Builder
	for _, class := range slices.Sorted(maps.Keys(f.Classes)) {
		e := f.Classes[class]
		fmt.Fprintf(&b, "svc.downstream_requests.%[1]s.completed:%[2]d|c\nsvc.downstream_requests.%[1]s.rejected:%[3]d|c\n"+
			"svc.downstream_requests.%[1]s.failed:%[4]d|c\n", class, e.Completed, e.Rejected, e.Failed)
	}
	fmt.Fprintf(&b, "svc.upstream_requests:%d|c\nsvc.pending:%d|g\nsvc.members:%d|g\nsvc.members_unavailable:%d|g\n"+
		"svc.config_reloads:%d|c\nsvc.config_reload_errors:%d|c\n",
		f.Attempts, f.Pending, f.Members, f.Unavailable, f.Reloads, f.ReloadErrors)
	fmt.Fprintf(&b, "svc.list.revision:%d|g\nsvc.list.unheard_ms:%d|g\nsvc.list.calls:%d|c\nsvc.list.calls_failed:%d|c\n"+
		"svc.list.attempts_not_written:%d|c\n",
		f.HostList.Revision, f.HostList.SinceAnswer.Milliseconds(), f.HostList.Calls, f.HostList.FailedCalls, f.HostList.AttemptsNotWritten)
	for _, c := range f.Cells {
		fmt.Fprintf(&b, "svc.cells.%[1]s.connections:%[2]d|g\nsvc.cells.%[1]s.guests:%[3]d|g\nsvc.cells.%[1]s.members:%[4]d|g\n"+
			"svc.cells.%[1]s.members_usable:%[5]d|g\nsvc.cells.%[1]s.moves_left:%[6]d|g\nsvc.cells.%[1]s.moved:%[7]d|c\n"+
			"svc.cells.%[1]s.rejected_full:%[8]d|c\nsvc.cells.%[1]s.rejected_too_fast:%[9]d|c\nsvc.cells.%[1]s.rejected_no_member:%[10]d|c\n"+
			"svc.cells.%[1]s.rejected:%[11]d|c\nsvc.cells.%[1]s.overflowed:%[12]d|c\n",
			c.Name, c.Connections, c.Guests, c.Hosts, c.UsableHosts, c.PendingMoves, c.MovesSent, c.RefusedFull, c.RefusedTooFast, c.RefusedNoHost, c.Counts.RefusedByPolicy, c.Overflowed)
	}
	if p := f.Plan; p != nil {
		fmt.Fprintf(&b, "svc.plan.force_percent:%.0f|g\nsvc.plan.age_s:%.0f|g\nsvc.plan.members_known:%d|g\nsvc.plan.members_unknown:%d|g\n"+
			"svc.plan.members_missing:%d|g\n", 100*p.Force, p.Age.Seconds(), p.Known, p.Unknown, p.Missing)
	}
	return b.String()
}
