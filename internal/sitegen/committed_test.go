package sitegen

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sites = "../../deploy/sites"

// Danger: a file edited by hand is no longer what its seed says, and cannot be had again.
func TestDrawnSitesAreWhatTheirSeedsDraw(t *testing.T) {
	found := 0
	for _, path := range siteFiles(t) {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		var seed uint64
		if _, err := fmt.Sscanf(string(text), "# Written by `bin/lab site --seed %d`", &seed); err != nil {
			continue // written by hand
		}
		found++
		site, err := Generate(seed)
		require.NoError(t, err)
		assert.Equal(t, string(site.TOML), string(text), path)
		assert.Equal(t, site.Name+".toml", filepath.Base(path))
	}
	assert.Equal(t, 4, found)
}

// surveyed is what the survey of all sites reads, those written by hand as well.
type surveyed struct {
	Net       struct{ Zones []string }
	Discovery struct{ Mode string }
	Allow     struct {
		Probes bool
		CPU    int `toml:"cpu_ms_per_s"`
		Most   int `toml:"max_attempts"`
	}
	Rules struct {
		DrainGrace int `toml:"drain_grace_ms"`
	}
	Tier []struct {
		Report struct{ Fields []string }
		Kind   []struct {
			WarmBy string `toml:"warm_by"`
		}
	}
	Fam struct {
		Mode, GoAway string
		GroupCost    float64 `toml:"group_cost"`
		GroupSize    *span   `toml:"group_size"`
		PerCore      span    `toml:"per_core"`
	}
}

// Danger: variants that resemble one another show the same faults.
func TestSitesSpreadOverTheAxes(t *testing.T) {
	axes := map[string]map[any]bool{}
	note := func(axis string, value any) {
		if axes[axis] == nil {
			axes[axis] = map[any]bool{}
		}
		axes[axis][value] = true
	}
	for _, path := range siteFiles(t) {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		var s surveyed
		require.NoError(t, toml.Unmarshal(text, &s), path)
		note("reports", strings.Join(s.Tier[0].Report.Fields, "/"))
		note("probes", s.Allow.Probes)
		note("mode", s.Fam.Mode)
		note("list", s.Discovery.Mode)
		note("zones", len(s.Net.Zones))
		note("group cost", s.Fam.GroupCost)
		note("large groups", s.Fam.GroupSize != nil)
		note("capacity", s.Fam.PerCore[0] >= 22)
		note("warm by", s.Tier[0].Kind[0].WarmBy)
		note("move", s.Fam.GoAway)
		note("attempts", s.Allow.Most)
		note("grace", s.Rules.DrainGrace)
		note("CPU", s.Allow.CPU)
	}
	least := map[string]int{"reports": 3, "zones": 4, "attempts": 5, "grace": 4, "CPU": 3}
	for axis, values := range axes {
		assert.GreaterOrEqual(t, len(values), max(least[axis], 2), "%s: %v", axis, values)
	}
	assert.Equal(t, map[any]bool{1: true, 2: true, 3: true, 4: true}, axes["zones"])
	assert.Equal(t, map[any]bool{0.0: true, 3.0: true}, axes["group cost"])
}

func siteFiles(t *testing.T) []string {
	paths, err := filepath.Glob(filepath.Join(sites, "*", "*.toml"))
	require.NoError(t, err)
	require.Len(t, paths, 6)
	for _, path := range paths {
		for _, name := range CompanionFiles {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), name))
			require.NoError(t, err, "beside the site file, or what it links to")
		}
	}
	return paths
}
