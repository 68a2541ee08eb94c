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

const sitesDir = "../../deploy/sites"

// A committed file that was edited by hand no longer matches its seed, and cannot be reproduced.
func TestCommittedSitesMatchTheirSeeds(t *testing.T) {
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

// surveyedSite holds the settings that TestCommittedSitesCoverTheAxes reads from all sites, those written by hand
// included.
type surveyedSite struct {
	Net       struct{ Zones []string }
	Discovery struct{ Mode string }
	Allow     struct {
		Probes      bool
		CPU         int `toml:"cpu_ms_per_s"`
		MaxAttempts int `toml:"max_attempts"`
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
		GroupCost    float64     `toml:"group_cost"`
		GroupSize    *floatRange `toml:"group_size"`
		PerCore      floatRange  `toml:"per_core"`
	}
}

// Sites that resemble one another reveal only the same faults, so the committed ones must differ along every axis.
func TestCommittedSitesCoverTheAxes(t *testing.T) {
	axes := map[string]map[any]bool{}
	observe := func(axis string, value any) {
		if axes[axis] == nil {
			axes[axis] = map[any]bool{}
		}
		axes[axis][value] = true
	}
	for _, path := range siteFiles(t) {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		var s surveyedSite
		require.NoError(t, toml.Unmarshal(text, &s), path)
		observe("reports", strings.Join(s.Tier[0].Report.Fields, "/"))
		observe("probes", s.Allow.Probes)
		observe("mode", s.Fam.Mode)
		observe("list", s.Discovery.Mode)
		observe("zones", len(s.Net.Zones))
		observe("group cost", s.Fam.GroupCost)
		observe("large groups", s.Fam.GroupSize != nil)
		observe("capacity", s.Fam.PerCore[0] >= 22)
		observe("warm by", s.Tier[0].Kind[0].WarmBy)
		observe("move", s.Fam.GoAway)
		observe("attempts", s.Allow.MaxAttempts)
		observe("grace", s.Rules.DrainGrace)
		observe("CPU", s.Allow.CPU)
	}
	minValues := map[string]int{"reports": 3, "zones": 4, "attempts": 5, "grace": 4, "CPU": 3}
	for axis, values := range axes {
		assert.GreaterOrEqual(t, len(values), max(minValues[axis], 2), "%s: %v", axis, values)
	}
	assert.Equal(t, map[any]bool{1: true, 2: true, 3: true, 4: true}, axes["zones"])
	assert.Equal(t, map[any]bool{0.0: true, 3.0: true}, axes["group cost"])
}

func siteFiles(t *testing.T) []string {
	paths, err := filepath.Glob(filepath.Join(sitesDir, "*", "*.toml"))
	require.NoError(t, err)
	require.Len(t, paths, 6)
	for _, path := range paths {
		for _, name := range CompanionFiles {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), name))
			require.NoError(t, err, "companion file is missing beside the site file, or its link is broken")
		}
	}
	return paths
}
