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

// logBuffer collects the log of a node.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logBuffer) Write(text []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(text)
}

// count is the number of lines with this message.
func (l *logBuffer) count(message string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Count(l.text.String(), "msg="+message+" ")
}

// readRecords reads the records of a file.
func readRecords(t *testing.T, path string) (builder *placement.FleetBuilder) {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	builder = placement.NewFleetBuilder(placement.DefaultClassLoads(), 0, time.Millisecond)
	require.NoError(t, builder.Read(f))
	return builder
}

// A kill or a full disk may leave an incomplete record at the end of the file, cut anywhere; no other record may be
// lost with it.
func TestPartialRecordLosesNoOther(t *testing.T) {
	const complete = `{"v":1,"at":1000,"balancer":"a","hosts":[{"id":"h0","x0":0.5,"age_ms":1}]}` + "\n"
	for cut := range len(complete) {
		p := operator.Placement{RecordPath: filepath.Join(t.TempDir(), "seen"), MaxRecordBytes: 1 << 20}
		require.NoError(t, os.WriteFile(p.RecordPath, []byte(complete+complete[:cut]), 0o600))
		require.NoError(t, appendRecord(p, []byte(complete)))
		text, err := os.ReadFile(p.RecordPath)
		require.NoError(t, err)
		require.True(t, bytes.HasSuffix(text, []byte("\n"+complete)), "%q", text)
		refused := 1
		if cut == 0 || cut == len(complete)-1 { // nothing is left of it, or only the line end is missing
			refused = 0
		}
		require.Equal(t, refused, readRecords(t, p.RecordPath).RejectedLines, "%q", text)
	}
}

// While records cannot be written, serving goes on and the log reports it once; later records are written again.
func TestRecordingRecoversFromWriteFailures(t *testing.T) {
	r := newRig(t)
	r.settings["cells"] = `placement {; record = "later/seen.jsonl"; record_every = "100ms"; }`
	for _, step := range []string{"a connect", "wait count records failed 3+",
		"a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 *", "d send UP r", "a expect UP r"} {
		require.NoError(t, r.step(step), step)
	}
	assert.Equal(t, 1, r.log.count("record-failed"))
	require.NoError(t, os.Mkdir(filepath.Join(r.folder, "later"), 0o700))
	require.Eventually(t, func() bool { return r.log.count("records-written-again") == 1 }, stepTimeout, time.Millisecond)
	assert.Zero(t, readRecords(t, filepath.Join(r.folder, "later", "seen.jsonl")).RejectedLines)
	assert.Equal(t, 1, r.log.count("record-failed"))
}

// A full disk is reported as such.
func TestFullDiskIsReported(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("/dev/full does not exist")
	}
	err := appendRecord(operator.Placement{RecordPath: "/dev/full", MaxRecordBytes: 1 << 20}, []byte("{}\n"))
	assert.ErrorContains(t, err, "no space left on device")
}

// A partly written plan or configuration is refused at a reload, with one line in the log; nothing changes.
func TestPartlyWrittenFileIsRefused(t *testing.T) {
	r := newRig(t)
	r.settings["cells"] = `placement {; plan = "plan.json"; }`
	r.settings["plan"] = `{"version":1,"born":"2026-12-01T00:00:00Z","holds":"8760h","fades":"0s","rooms":{"a":{"s-0":1}},` +
		`"hosts":[{"id":"s-0","room":"a","kind":"m","serves":9}],"demand":{"a":3}}`
	require.NoError(t, r.step("a connect"))
	plan := r.node.cfg.Placement.Plan
	require.NotNil(t, plan)
	r.settings["plan"] = r.settings["plan"][:100]
	require.NoError(t, r.step("reload same"))
	require.NoError(t, r.step("wait count configurations refused 1"))
	assert.Equal(t, 1, r.log.count("configuration-refused"))
	require.NoError(t, r.step("reload "+r.config()[:200]))
	require.NoError(t, r.step("wait count configurations refused 2"))
	assert.Equal(t, 2, r.log.count("configuration-refused"))
	r.onLoop(func(time.Duration) { assert.Same(t, plan, r.node.cfg.Placement.Plan) })
	for _, step := range []string{"a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 *", "d send UP r", "a expect UP r"} {
		require.NoError(t, r.step(step), step)
	}
}
