package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/failover"
)

const validFile = `cells {
  default = "a"
  cell "a" {
    share    = 0.5
    guests   = 3
    carriers = ["x"]
    flights  = ["5c0f", "100-1ff"]
  }
  cell "b" {
    share            = 0.5
    connections      = 10
    opens_per_second = 2.5
    overflow_to      = "a"
  }
  move "x" {
    from  = "a"
    to    = "b"
    start = "2026-12-01T15:00:00Z"
    span  = "10m"
    back  = "2026-12-01T15:05:00Z"
  }
}
`

func TestParseValidFile(t *testing.T) {
	f, err := Parse([]byte(validFile), "f.hcl")
	require.NoError(t, err)
	require.Len(t, f.Cells.Cells, 2)
	assert.Equal(t, uint64(0x1ff), f.Cells.Cells[0].Flights[1].High)
	assert.Equal(t, 2.5, f.Cells.Cells[1].MaxOpensPerSecond)
	assert.Equal(t, []time.Duration{time.Minute, 10 * time.Minute, 5 * time.Minute},
		[]time.Duration{f.Cells.AbsentRetention, f.Cells.Moves[0].Duration, f.Cells.Moves[0].ReturnStart - f.Cells.Moves[0].Start})
	f, err = Parse(nil, "empty.hcl")
	require.NoError(t, err)
	assert.Nil(t, f.Cells)
}

// All errors are reported, each with file, line, column and reason.
func TestErrorsAreReportedWithPosition(t *testing.T) {
	for _, mistake := range [][3]string{
		{`guests   = 3`, `guests   = "many"`, "f.hcl:5:"},
		{`carriers = ["x"]`, `cariers = ["x"]`, `f.hcl:6:5: Unsupported argument`},
		{`["5c0f", `, `["5c0g", `, `f.hcl:7:16: cell "a": flight "5c0g"`},
		{`share            = 0.5`, `share = 0.6`, `f.hcl:10:13: cell "b": the shares of all cells add up to 1.1, more than 1`},
		{`connections      = 10`, `connections = 0`, `f.hcl:11:19: cell "b": must be greater than 0; omit it for no limit`},
		{`overflow_to      = "a"`, `overflow_to = "c"`, `f.hcl:13:19: cell "b": unknown cell "c"`},
		{`default = "a"`, `default = "z"`, `f.hcl:2:13: unknown cell "z"`},
		{`"10m"`, `"soon"`, `f.hcl:19:13: move "x": must be a duration such as`},
		{`"2026-12-01T15:05:00Z"`, `"2026-12-01T14:05:00Z"`, `f.hcl:20:13: move "x": must be later than start`},
		{`cell "b" {`, `cell "a" {`, `f.hcl:9:3: cell "a": duplicate cell name`},
		{`move "x" {`, `move {`, `f.hcl:15:8: `},
		{"}\n}\n", "}\n", "f.hcl:"},
	} {
		text := strings.Replace(validFile, mistake[0], mistake[1], 1)
		require.NotEqual(t, validFile, text)
		_, err := Parse([]byte(text), "f.hcl")
		var all ErrorList
		require.ErrorAs(t, err, &all, mistake[1])
		assert.True(t, strings.HasPrefix(all[0], mistake[2]), "%s: %s", mistake[1], all[0])
	}
	_, err := Parse([]byte(strings.NewReplacer(`"10m"`, `"soon"`, `0.5`, `0.9`, `["x"]`, `["x", "x"]`).Replace(validFile)), "f.hcl")
	var all ErrorList
	require.ErrorAs(t, err, &all)
	assert.Len(t, all, 3)
	assert.ErrorContains(t, err, "2 more")
}

func TestLoadExample(t *testing.T) {
	f, err := Load("../../deploy/operator.hcl")
	require.NoError(t, err)
	assert.Equal(t, 3, f.Cells.CellCount())
	_, err = Load(filepath.Join(t.TempDir(), "none.hcl"))
	assert.ErrorContains(t, err, "no such file")
	large := filepath.Join(t.TempDir(), "large.hcl")
	require.NoError(t, os.WriteFile(large, make([]byte, maxFileBytes+1), 0o600))
	_, err = Load(large)
	assert.ErrorContains(t, err, "at most")
}

// Any text either is rejected with a position or gives a plan without errors.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`cells { default = "a"` + "\n" + `cell "a" { numbers = [1, 2] } }`))
	f.Add([]byte("cells {\n default = null\n}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text, "f.hcl")
		if err != nil {
			var all ErrorList
			require.ErrorAs(t, err, &all)
			for _, line := range all {
				assert.True(t, strings.HasPrefix(line, "f.hcl:"), line)
			}
			return
		}
		if file.Cells != nil {
			assert.Empty(t, file.Cells.Validate())
		}
	})
}

func TestPlacement(t *testing.T) {
	folder := t.TempDir()
	plan := `{"version":1,"born":"2026-12-01T05:00:00Z","holds":"1h","fades":"1h","flights":{"1f":"north"}}`
	require.NoError(t, os.WriteFile(filepath.Join(folder, "p.json"), []byte(plan), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "bad.json"), []byte("{\n \"version\": 7}"), 0o600))
	parse := func(text string) (*File, error) { return Parse([]byte(text), filepath.Join(folder, "o.hcl")) }
	f, err := parse("placement {\n plan = \"p.json\"\n record = \"r\"\n}\ncells {\n default = \"north\"\n cell \"north\" {\n share = 1\n}\n}\n")
	require.NoError(t, err)
	assert.Equal(t, Placement{Plan: f.Placement.Plan, PlanPath: filepath.Join(folder, "p.json"), RecordPath: filepath.Join(folder, "r"), RecordInterval: 5 * time.Second,
		MaxRecordBytes: 64 << 20}, f.Placement)
	cell, ok := f.Cells.PlacementCell(time.Duration(f.Placement.Plan.Created.UnixNano()), "x", 0x1f)
	assert.True(t, ok)
	assert.Equal(t, "north", cell)
	for text, want := range map[string]string{
		"placement {\n plan = \"bad.json\"\n}":                 "o.hcl:2:9: bad.json: 2:2: a plan of version 7",
		"placement {\n plan = \"none.json\"\n}":                "o.hcl:2:9: none.json: open",
		"placement {\n record_every = \"1ms\"\n}":              "o.hcl:2:17: must be a duration from 100ms to 1h",
		"placement {\n\n record_largest_mb = 0\n}":             "o.hcl:3:22: must be between 1 and",
		"placement {\n record_every = \"often\"\n plan = 3\n}": "o.hcl:2:",
	} {
		_, err := parse(text)
		assert.ErrorContains(t, err, want)
	}
}

// Without a failover block, zone shares are off. With one, omitted attributes have their defaults, and invalid ones are
// reported with their position.
func TestFailover(t *testing.T) {
	file, err := Parse([]byte("failover {\n  swing = 0.1\n  span  = \"5s\"\n}\n"), "f.hcl")
	require.NoError(t, err)
	want := failover.DefaultSettings
	want.MaxChangePerSecond, want.DecayTime = 0.1, 5*time.Second
	assert.Equal(t, &want, file.Failover)
	file, err = Parse([]byte("placement {}\n"), "f.hcl")
	require.NoError(t, err)
	assert.Nil(t, file.Failover)
	for text, at := range map[string]string{"swing = 0": "2:11: must be between 0.01 and 1",
		`span = "soon"`: "2:10: must be a duration from 100ms to 10m", "\n  enter = 0.3\n  leave = 0.5": "4:11: must be less than enter (0.3)",
		"least = 0": "2:11: must be between 1 and 1000", "cold_from = 2": "2:15: must be between 0 and 1"} {
		_, err := Parse([]byte("failover {\n  "+text+"\n}\n"), "f.hcl")
		var all ErrorList
		require.ErrorAs(t, err, &all, text)
		assert.True(t, strings.HasPrefix(all[0], "f.hcl:"+at), "%q: %s", text, all[0])
	}
}

// A file of 0 bytes, as left by a write that failed at its start, is rejected instead of turning everything off.
func TestEmptyFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.hcl")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err := Load(path)
	require.ErrorIs(t, err, errEmptyFile)
	require.NoError(t, os.WriteFile(path, []byte("# nothing\n"), 0o600))
	f, err := Load(path)
	require.NoError(t, err)
	assert.Nil(t, f.Cells)
	_, err = Load(os.DevNull)
	require.NoError(t, err, "the null device stands for no file")
}

// An operator's file whose plan is truncated at any point is rejected.
func TestTruncatedPlanIsRejected(t *testing.T) {
	const plan = `{"version":1,"born":"2026-12-01T00:00:00Z","holds":"1h","fades":"1h","rooms":{"a":{"s-0":1}},` +
		`"hosts":[{"id":"s-0","room":"a","kind":"m","serves":9}],"demand":{"a":3}}`
	folder := t.TempDir()
	path := filepath.Join(folder, "operator.hcl")
	require.NoError(t, os.WriteFile(path, []byte("placement {\n plan = \"plan.json\"\n}\n"), 0o600))
	for cut := range len(plan) + 1 {
		require.NoError(t, os.WriteFile(filepath.Join(folder, "plan.json"), []byte(plan[:cut]), 0o600))
		_, err := Load(path)
		require.Equal(t, cut == len(plan), err == nil, "%q: %v", plan[:cut], err)
	}
}
