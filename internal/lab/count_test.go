package lab

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Counts two balancers: one whose log collector puts seconds before each line and whose log contains a crash, and one
// that logs JSON in a folder of its own. The desk host is cold.
func TestFleetLogsAreCountedTogether(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "n0.log"), []byte(
		`0.001 time=2026-12-01T17:00:00.100Z level=INFO msg=ready balancer=n0 listen=a hosts=2 cells=0
0.002 time=2026-12-01T17:00:00.200Z level=DEBUG msg=listed balancer=n0 host=b state=1 started_ms=1796144395000
0.002 time=2026-12-01T17:00:00.200Z level=DEBUG msg=discovery-answer balancer=n0 revision=7 complete=true members=2
0.003 time=2026-12-01T17:00:00.300Z level=DEBUG msg=probe-sent balancer=n0 host=b kept=false
0.003 time=2026-12-01T17:00:00.310Z level=DEBUG msg=report balancer=n0 host=b x0=0.25 util=0.3 backlog=0s
0.003 time=2026-12-01T17:00:00.400Z level=DEBUG msg=attempt-sent balancer=n0 host=b id=1
0.004 time=2026-12-01T17:00:00.500Z level=DEBUG msg=attempt-up balancer=n0 host=b id=1 returned=true mid=false
0.004 time=2026-12-01T17:00:02.500Z level=DEBUG msg=attempt-ended balancer=n0 host=b id=1 stood=true result=reset after=2s
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
	assert.Equal(t, []int{0, 0, 0}, c.Fleet.Pieces, "a log without keys has no groups")
	assert.Equal(t, []int{1, 1, 0}, c.Fleet.Connections)
	assert.Equal(t, []int{2, 1, 3}, []int{c.Balancers, c.Unparsed, c.Seconds})
	assert.Equal(t, []int{1, 1, 0}, c.Events["discovery-answer"])
	assert.Equal(t, []int{0, 1, 0}, c.Events["refused returned"])
	assert.Equal(t, []int{0, 0, 1}, c.Events["attempt-ended reset, stood"])
	assert.Equal(t, map[string][]int{"questions": {1, 0, 0}, "steps": {1, 0, 0}, "cold steps": {1, 0, 0},
		"standing": {1, 1, 0}, "dropped": {0, 0, 1}, "load": {25, 150, -1}}, c.Hosts["b"])
	assert.Equal(t, 2, c.Revisions[7].Balancers)
	assert.InDelta(t, 1.5, c.Revisions[7].Last-c.Revisions[7].First, 0.001)
	assert.Equal(t, 1, c.PassedOver["b"].Balancers)
	var out bytes.Buffer
	require.NoError(t, c.Print(&out))
	assert.Contains(t, out.String(), "revision 7")

	_, err = CountLogs(t.TempDir(), time.Second)
	assert.Error(t, err, "a folder without logs")
}

// countText counts logs of one balancer each, whose lines begin with the seconds since noon.
func countText(t *testing.T, logs map[string]string) *Count {
	folder := t.TempDir()
	for balancer, text := range logs {
		var log strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
			seconds, event, _ := strings.Cut(strings.TrimSpace(line), " ")
			fmt.Fprintf(&log, "time=2026-12-01T12:00:0%sZ level=DEBUG balancer=%s msg=%s\n", seconds, balancer, event)
		}
		require.NoError(t, os.WriteFile(filepath.Join(folder, balancer+".log"), []byte(log.String()), 0o600))
	}
	c, err := CountLogs(folder, 22*time.Second)
	require.NoError(t, err)
	assert.Zero(t, c.Unparsed)
	return c
}

// In second 0, group 7 has two connections at a and one at b, and group 8 has one at b: four connections of two groups
// in three pieces. Hosts a, b and the empty c hold 2, 2 and 0, a variation of 0.943 / 1.333 = 0.71. In second 1, one of
// the two at a has ended, which leaves the piece; a, b, c hold 1, 2, 0: 0.816 / 1 = 0.82. In second 2 the other one has
// ended too and c has left the list; a and b hold 0 and 2: 1 / 1. In second 3 all have ended.
func TestGroupPiecesAreCounted(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.0 listed host=a state=1 started_ms=5000
		0.0 listed host=b state=1 started_ms=5000
		0.0 listed host=c state=1 started_ms=5000
		0.1 attempt-up host=a id=1 key=7
		0.2 attempt-up host=b id=2 key=7
		1.5 attempt-ended host=a id=1 stood=true result=ok
		2.1 listed host=c state=0 started_ms=5000
		3.1 attempt-ended host=b id=2 stood=true result=ok
		3.2 attempt-ended host=b id=9 stood=false result=busy`, "n1": `
		0.3 attempt-up host=a id=3 key=7
		0.4 attempt-up host=b id=4 key=8
		2.5 moved host=a id=3 key=7
		2.9 listed host=c state=1 started_ms=5000
		3.3 moved host=b id=4 key=8`})
	assert.Equal(t, FleetFigures{
		Connections: []int{4, 3, 2, 0},
		Groups:      []int{2, 2, 2, 0},
		Pieces:      []int{3, 3, 2, 0},
		Variation:   []int{71, 82, 100, -1},
		Herd:        []int{0, 0, 0, 0},
	}, c.Fleet)
	assert.Equal(t, []int{2, 1, 0, 0}, c.Hosts["a"]["standing"])
	assert.Equal(t, []int{2, 2, 2, 0}, c.Hosts["b"]["standing"])
}

// A connection that a silent desk host loses is logged twice (moved-silent and attempt-ended), but must be removed only
// once: the other connection stays established.
func TestConnectionEndsOnce(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.1 attempt-up host=a id=1 key=7
		0.2 attempt-up host=a id=2 key=7
		1.1 moved-silent host=a id=1 key=7
		1.1 attempt-ended host=a id=1 key=7 stood=true result=reset`})
	assert.Equal(t, []int{2, 1}, c.Fleet.Connections)
	assert.Equal(t, []int{2, 1}, c.Hosts["a"]["standing"])
}

// Client 1 continues mid-flow through n1 when n0 is stopped, and n0 logs the end only later. n0 is killed and starts
// again without having logged the end of client 2. n2 hands over to a second process, which ends the connection that
// the first one established.
func TestConnectionsSurviveProcesses(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.1 attempt-up host=a id=1 key=7
		0.2 attempt-up host=a id=2 key=8
		1.2 attempt-ended host=a id=1 key=7 stood=true result=cancelled
		2.5 ready`, "n1": `
		1.1 attempt-up host=a id=1 key=7 mid=true`, "n2": `
		0.3 attempt-up host=b id=3 key=9
		1.1 joined-running-process
		1.3 ready
		3.1 attempt-ended host=b id=3 key=9 stood=true result=ok`})
	assert.Equal(t, []int{3, 3, 2, 1}, c.Fleet.Connections)
	assert.Equal(t, []int{3, 3, 2, 1}, c.Fleet.Pieces)
	assert.Equal(t, []int{2, 2, 1, 1}, c.Hosts["a"]["standing"])
}

// A desk host that drains or has gone is left out of the variation until it starts again, whatever a balancer with an
// outdated list logs: a and b hold 1 and 0 in second 0 (0.5 / 0.5); then a alone, as b drains and goes; then both
// again.
func TestOutdatedListsDoNotRestoreHosts(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.1 listed host=a state=1 started_ms=5000
		0.1 listed host=b state=1 started_ms=5000
		0.2 attempt-up host=a id=1 key=7
		1.1 listed host=b state=2 started_ms=5000
		2.1 listed host=b state=0 started_ms=0
		3.1 listed host=b state=1 started_ms=9000`, "n1": `
		1.2 listed host=b state=1 started_ms=5000
		2.2 listed host=b state=2 started_ms=5000`})
	assert.Equal(t, []int{100, 0, 0, 100}, c.Fleet.Variation)
}

// Two balancers choose a within 100 ms, one of them twice, and a third in the next 100 ms; in second 1 all three choose
// b.
func TestHerdCountsBalancersWithinWindow(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.00 attempt-sent host=a id=1 key=7
		0.05 attempt-sent host=a id=2 key=7
		1.31 attempt-sent host=b id=5 key=7`, "n1": `
		0.09 attempt-sent host=a id=3 key=7
		1.35 attempt-sent host=b id=6 key=7`, "n2": `
		0.10 attempt-sent host=a id=4 key=7
		1.39 attempt-sent host=b id=7 key=7
		1.40 attempt-sent host=a id=8 key=7
		2.00 report host=a x0=0.5`})
	assert.Equal(t, []int{2, 3, 0}, c.Fleet.Herd)
}

func TestRefusalsAreCountedByReason(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.1 refused id=1 reason="no descriptors" returned=true mid=false
		0.2 refused id=2 reason=decided returned=false mid=false
		0.3 refused id=3 reason=decided returned=false mid=false
		0.4 client-refused reason="no descriptors"`})
	assert.Equal(t, map[string][]int{"refused returned: no descriptors": {1}, "refused new: decided": {2},
		"client-refused: no descriptors": {1}}, c.Events)
}

// A 64-bit key has more digits than a float64 holds: two keys that differ in the last digit are two groups.
func TestKeysAreReadExactly(t *testing.T) {
	line, ok := readLine(`{"time":"2026-12-01T12:00:00Z","balancer":"n0","msg":"attempt-up","key":18446744073709551615}`)
	require.True(t, ok)
	assert.Equal(t, "18446744073709551615", line.fields["key"])
}

func TestFleetFiguresArePrinted(t *testing.T) {
	c := countText(t, map[string]string{"n0": `
		0.1 listed host=a state=1 started_ms=5000
		1.1 attempt-up host=a id=1 key=7`})
	var out bytes.Buffer
	require.NoError(t, c.Print(&out))
	for _, row := range []string{"connections 0 1", "groups 0 1", "pieces 0 1", "variation . 0", "herd 0 0"} {
		assert.Contains(t, strings.Join(strings.Fields(out.String()), " "), row)
	}
}
