package admin

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/counters"
)

var requests = map[string]int{
	"":                                      0,
	"GET /admin/health HTTP/1.1\r\nHost: a": 0,
	"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n":                              http.StatusOK,
	"GET /admin/stats?x=1 HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\nmore":               http.StatusOK,
	"GET /admin/stats HTTP/1.0\r\n\r\n":                                          http.StatusOK,
	"GET /admin/stats HTTP/1.1\r\n\r\n":                                          http.StatusBadRequest,
	"GET /admin/stats HTTP/2.0\r\nHost: a\r\n\r\n":                               http.StatusBadRequest,
	"OPEN 1 a c=lookup,d=4000\r\n\r\n":                                           http.StatusBadRequest,
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n":                                          http.StatusNotFound,
	"POST /admin/stats HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n":         http.StatusMethodNotAllowed,
	"GET /admin/stats HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes):       http.StatusRequestHeaderFieldsTooLarge,
	"GET /" + strings.Repeat("x", maxHeadBytes) + " HTTP/1.1\r\nHost: a\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
}

func TestParseRequest(t *testing.T) {
	for text, want := range requests {
		_, status := ParseRequest([]byte(text))
		assert.Equal(t, want, status, "%.60q", text)
	}
}

func TestResponse(t *testing.T) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(Response(http.StatusMethodNotAllowed, "no\n"))), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, "no\n", string(body))
	assert.True(t, resp.Close)
	assert.Equal(t, "GET", resp.Header.Get("Allow"))
}

func TestMetricsText(t *testing.T) {
	m := Metrics{Classes: map[string]counters.Outcomes{"b": {}, "a": {Completed: 812, Rejected: 2, Failed: 1}}, Attempts: 900, Pending: 14,
		Members: 5, Unavailable: 1, Reloads: 3, ReloadErrors: 4,
		HostList: HostListMetrics{Revision: 41, SinceAnswer: 1500 * time.Millisecond, Calls: 7, FailedCalls: 2, AttemptsNotWritten: 5}}
	assert.Equal(t, `svc.downstream_requests.a.completed:812|c
svc.downstream_requests.a.rejected:2|c
svc.downstream_requests.a.failed:1|c
svc.downstream_requests.b.completed:0|c
svc.downstream_requests.b.rejected:0|c
svc.downstream_requests.b.failed:0|c
svc.upstream_requests:900|c
svc.pending:14|g
svc.members:5|g
svc.members_unavailable:1|g
svc.config_reloads:3|c
svc.config_reload_errors:4|c
svc.list.revision:41|g
svc.list.unheard_ms:1500|g
svc.list.calls:7|c
svc.list.calls_failed:2|c
svc.list.attempts_not_written:5|c
`, m.Text())
}

func FuzzParse(f *testing.F) {
	for text := range requests {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		path, status := ParseRequest(raw)
		assert.Equal(t, status == http.StatusOK, path != "")
		if status == 0 { // an incomplete request must not grow without a limit
			assert.LessOrEqual(t, len(raw), maxHeadBytes)
		}
	})
}
