package net

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
)

// logged is what a node has written to its log.
type logged struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logged) Write(text []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(text)
}

// times is how many lines have told of something.
func (l *logged) times(message string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Count(l.text.String(), "msg="+message+" ")
}

// read gathers the records of a file.
func read(t *testing.T, path string) (g *placement.FleetBuilder) {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	g = placement.NewFleetBuilder(placement.DefaultClassLoads(), 0, time.Millisecond)
	require.NoError(t, g.Read(f))
	return g
}

// A kill or a full disk may leave half a record at the end of the file, cut anywhere: it costs no other.
func TestHalfARecordCostsNoOther(t *testing.T) {
	const whole = `{"v":1,"at":1000,"balancer":"a","hosts":[{"id":"h0","x0":0.5,"age_ms":1}]}` + "\n"
	for cut := range len(whole) {
		p := operator.Placement{RecordPath: filepath.Join(t.TempDir(), "seen"), MaxRecordBytes: 1 << 20}
		require.NoError(t, os.WriteFile(p.RecordPath, []byte(whole+whole[:cut]), 0o600))
		require.NoError(t, add(p, []byte(whole)))
		text, err := os.ReadFile(p.RecordPath)
		require.NoError(t, err)
		require.True(t, bytes.HasSuffix(text, []byte("\n"+whole)), "%q", text)
		refused := 1
		if cut == 0 || cut == len(whole)-1 { // nothing is left of it, or all but its end
			refused = 0
		}
		require.Equal(t, refused, read(t, p.RecordPath).RejectedLines, "%q", text)
	}
}

// Where records cannot be written for a while, all else goes on, the log tells so once, and they are written again after it.
func TestRecordsThatCannotBeWritten(t *testing.T) {
	r := newRig(t)
	r.set["cells"] = `placement {; record = "later/seen.jsonl"; record_every = "100ms"; }`
	for _, step := range []string{"a connect", "wait count records failed 3+",
		"a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 *", "d send UP r", "a expect UP r"} {
		require.NoError(t, r.step(step), step)
	}
	assert.Equal(t, 1, r.log.times("record-failed"))
	require.NoError(t, os.Mkdir(filepath.Join(r.folder, "later"), 0o700))
	require.Eventually(t, func() bool { return r.log.times("records-written-again") == 1 }, limit, time.Millisecond)
	assert.Zero(t, read(t, filepath.Join(r.folder, "later", "seen.jsonl")).RejectedLines)
	assert.Equal(t, 1, r.log.times("record-failed"))
}

// A disk that is full is told as what it is.
func TestAFullDisk(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("no such device here")
	}
	err := add(operator.Placement{RecordPath: "/dev/full", MaxRecordBytes: 1 << 20}, []byte("{}\n"))
	assert.ErrorContains(t, err, "no space left on device")
}

// A plan or a configuration that a write has left half done is refused at a reload: one line in the log, nothing changes.
func TestATornFileIsOneLineInTheLog(t *testing.T) {
	r := newRig(t)
	r.set["cells"] = `placement {; plan = "plan.json"; }`
	r.set["plan"] = `{"version":1,"born":"2026-12-01T00:00:00Z","holds":"8760h","fades":"0s","rooms":{"a":{"s-0":1}},` +
		`"hosts":[{"id":"s-0","room":"a","kind":"m","serves":9}],"demand":{"a":3}}`
	require.NoError(t, r.step("a connect"))
	plan := r.node.cfg.Placement.Plan
	require.NotNil(t, plan)
	r.set["plan"] = r.set["plan"][:100]
	require.NoError(t, r.step("reload same"))
	require.NoError(t, r.step("wait count configurations refused 1"))
	assert.Equal(t, 1, r.log.times("configuration-refused"))
	require.NoError(t, r.step("reload "+r.config()[:200]))
	require.NoError(t, r.step("wait count configurations refused 2"))
	assert.Equal(t, 2, r.log.times("configuration-refused"))
	r.onLoop(func(time.Duration) { assert.Same(t, plan, r.node.cfg.Placement.Plan) })
	for _, step := range []string{"a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 *", "d send UP r", "a expect UP r"} {
		require.NoError(t, r.step(step), step)
	}
}
