package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

const told = `{"tick":4000000,"siblings":2,"discovery":"subscribe","locality":"llandaff","unknown":[{"a":1}],"report":null,
 "allowed":{"tryLimit":6,"peers":false,"probing":true,"retryAfter":true,"connectTimeout":150000000},
 "familyInfo":{"groups":true,"mode":"pass","messageAim":[250000000,50000000]},
 "grades":[{"name":"lookup","aim":300000000,"deadline":1200000000,"effect":"safe","dedupScope":"all","repeatWindow":5000000000},
  {"name":"seat-set","aim":300000000,"deadline":900000000,"effect":"novel","dedupScope":"novel"}],
 "invariants":{"askWithin":10000000000,"coldFrom":0.15,"fall":1000000000,"overloadFactor":3.0,"stopSendingWithin":300000000,
  "warmAfter":22000000000,"spareAttempts":null}}`

func TestDecode(t *testing.T) {
	got, err := Decode([]byte(told))
	require.NoError(t, err)
	assert.Equal(t, Settings{ConnectTimeout: 150 * time.Millisecond, Groups: true, Probes: true, RetryAfter: true, PassThrough: true,
		Deadline: 1200 * time.Millisecond,
		Policy: policy.Settings{MaxAttempts: 6, Siblings: 2, Tick: 4 * time.Millisecond, MustAsk: true, Zone: "llandaff",
			AskWithin: 10 * time.Second, ColdFrom: 0.15, Fall: time.Second, OverloadFactor: 3,
			DrainGrace: 300 * time.Millisecond, WarmAfter: 22 * time.Second,
			Classes: map[string]policy.Class{
				"lookup": {Aim: 300 * time.Millisecond, MessageAim: 250 * time.Millisecond, Window: 5 * time.Second},
				"seat-set": {Aim: 300 * time.Millisecond, MessageAim: 50 * time.Millisecond,
					Effect: policy.Unsafe, Scope: policy.ScopeCell}, // the strictest, for words not known
			}}}, got)
}

func TestBadSettings(t *testing.T) {
	for _, text := range []string{``, `[]`, `{"tick":"x"}`, `{"grades":{}}`, `{} {}`, `{"invariants":{"ratioSpan":-1}}`,
		`{"invariants":{"ratioSpan":1}}`, `{"invariants":{"spareAttempts":1}}`,
		`{"invariants":{"spareAttempts":-1,"ratioSpan":1}}`} {
		_, err := Decode([]byte(text))
		assert.ErrorContains(t, err, "settings: ", text)
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"name":"n3","listen":"10.0.0.4:3000","discovery":"10.2.0.1:8500",
		"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1200},
		"known":{"revision":41,"members":[]},"settings":`+told+`}`), 0o600))
	env := map[string]string{"EDGE_CONFIG": path, "EDGE_LISTEN": "10.0.0.5:3000"}
	c, err := NewSource(func(name string) string { return env[name] }).Load()
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.5:3000", c.Listen, "the environment goes first")
	assert.Equal(t, "n3", c.Name)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, 1200, c.Sockets)
	assert.JSONEq(t, `{"revision":41,"members":[]}`, string(c.Known))
}

func TestLoadTellsWhatIsWrong(t *testing.T) {
	for text, want := range map[string]string{``: "configuration", `{"settings":{}}`: "without classes", `{"seed":"z"}`: "seed",
		`{"settings":{"tick":"x"}}`: "settings", `{"settings":` + told + `}`: "no address"} {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := NewSource(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] }).Load()
		assert.ErrorContains(t, err, want, text)
	}
	_, err := NewSource(func(string) string { return "" }).Load()
	assert.ErrorContains(t, err, "EDGE_CONFIG")
}

// At the start the environment tells where discovery is; what the file tells anew later goes before it. A file
// that makes no sense changes nothing.
func TestDiscoveryMoves(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"EDGE_CONFIG": path, "EDGE_LISTEN": "10.0.0.5:3000", "EDGE_DISCOVERY": "10.2.0.1:1"}
	s := NewSource(func(name string) string { return env[name] })
	for _, step := range []struct{ text, want string }{
		{`{"discovery":"10.2.0.9:9","settings":` + told + `}`, "10.2.0.1:1"},
		{`{"discovery":"10.2.0.9:9","settings":` + told + `}`, "10.2.0.1:1"},
		{`{"discovery":"10.2.0.2:2","settings":` + told + `}`, "10.2.0.2:2"},
		{`{"discovery":"10.2.0.3:3","settings":`, ""},
		{`{"discovery":"10.2.0.2:2","settings":` + told + `}`, "10.2.0.2:2"},
		{`{"discovery":"10.2.0.9:9","settings":` + told + `}`, "10.2.0.9:9"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(step.text), 0o600))
		c, err := s.Load()
		assert.Equal(t, step.want, c.Discovery, step.text)
		assert.Equal(t, step.want == "", err != nil, step.text)
	}
}

func FuzzDecodeConfig(f *testing.F) {
	f.Add([]byte(`{"name":"n3","seed":"7","settings":` + told + `}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := DecodeConfig(raw); err == nil {
			assert.NotEmpty(t, c.Settings.Policy.Classes)
		}
	})
}
