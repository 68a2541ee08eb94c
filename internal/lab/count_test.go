package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two balancers, one whose collector puts seconds before each line, one that logs JSON in a folder of its own; a crash
// in the midst, and a cold desk host.
func TestLogsOfAFleetAreCountedTogether(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "n0.log"), []byte(
		`0.001 time=2026-12-01T17:00:00.100Z level=INFO msg=ready balancer=n0 listen=a hosts=2 cells=0
0.002 time=2026-12-01T17:00:00.200Z level=DEBUG msg=listed balancer=n0 host=b state=1 started_ms=1796144395000
0.002 time=2026-12-01T17:00:00.200Z level=DEBUG msg=discovery-answer balancer=n0 revision=7 complete=true members=2
0.003 time=2026-12-01T17:00:00.300Z level=DEBUG msg=probe-sent balancer=n0 host=b kept=false
0.003 time=2026-12-01T17:00:00.310Z level=DEBUG msg=report balancer=n0 host=b x0=0.25 util=0.3 backlog=0s
0.003 time=2026-12-01T17:00:00.400Z level=DEBUG msg=step-sent balancer=n0 host=b id=1
0.004 time=2026-12-01T17:00:00.500Z level=DEBUG msg=step-up balancer=n0 host=b id=1 returned=true mid=false
0.004 time=2026-12-01T17:00:02.500Z level=DEBUG msg=step-ended balancer=n0 host=b id=1 stood=true result=reset after=2s
panic: something
`), 0o600))
	require.NoError(t, os.Mkdir(filepath.Join(folder, "n1"), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "n1", "log"), []byte(
		`{"time":"2026-12-01T17:00:01.7Z","level":"DEBUG","msg":"discovery-answer","balancer":"n1","revision":7}
{"time":"2026-12-01T17:00:01.8Z","level":"INFO","msg":"decision","balancer":"n1","text":"passed over b for 1s: it fails or is slow"}
{"time":"2026-12-01T17:00:01.9Z","level":"DEBUG","msg":"report","balancer":"n1","host":"b","x0":1.5}
{"time":"2026-12-01T17:00:01.9Z","level":"DEBUG","msg":"refused","balancer":"n1","id":"2","returned":true}
`), 0o600))
	c, err := CountLogs(folder, 22*time.Second)
	require.NoError(t, err)
	assert.Equal(t, []int{2, 1, 3}, []int{c.Balancers, c.Unread, c.Seconds})
	assert.Equal(t, []int{1, 1, 0}, c.Events["discovery-answer"])
	assert.Equal(t, []int{0, 1, 0}, c.Events["refused returned"])
	assert.Equal(t, []int{0, 0, 1}, c.Events["step-ended reset, stood"])
	assert.Equal(t, map[string][]int{"questions": {1, 0, 0}, "steps": {1, 0, 0}, "cold steps": {1, 0, 0},
		"standing": {1, 1, 0}, "dropped": {0, 0, 1}, "load": {25, 150, -1}}, c.Hosts["b"])
	assert.Equal(t, 2, c.Knew[7].Balancers)
	assert.InDelta(t, 1.5, c.Knew[7].Last-c.Knew[7].First, 0.001)
	assert.Equal(t, 1, c.PassedOver["b"].Balancers)
	var out bytes.Buffer
	require.NoError(t, c.Print(&out))
	assert.Contains(t, out.String(), "revision 7")

	_, err = CountLogs(t.TempDir(), time.Second)
	assert.Error(t, err, "a folder without logs")
}
