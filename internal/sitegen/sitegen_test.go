package sitegen

import (
	"bytes"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func generate(t *rapid.T) (*Site, *siteFile) {
	seed := rapid.Uint64().Draw(t, "seed")
	site, err := Generate(seed)
	require.NoError(t, err)
	again, err := Generate(seed)
	require.NoError(t, err)
	require.Equal(t, string(site.TOML), string(again.TOML), "the same bytes for the same seed")
	f := &siteFile{}
	strict := toml.NewDecoder(bytes.NewReader(site.TOML)).DisallowUnknownFields()
	require.NoError(t, strict.Decode(f))
	return site, f
}

// A site outside the ranges in the operators' documentation would show faults that no operator can meet, or be refused
// by the bench.
func TestGeneratedSitesStayWithinDocumentedRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site, f := generate(t)
		assert.Equal(t, site.Name, f.Name)
		assert.Equal(t, f.Allow.Probes, site.Axes.Probes)
		assert.Contains(t, []string{"pass", "proxy"}, f.Connections.Mode)
		assert.Contains(t, []string{"none", "at_once"}, f.Connections.GoAway)
		assert.Contains(t, []float64{0, 3}, f.Connections.GroupCost)
		assert.True(t, 2 <= f.Allow.MaxAttempts && f.Allow.MaxAttempts <= 6)
		assert.True(t, 250 <= f.Rules.DrainGrace && f.Rules.DrainGrace <= 1000)
		assert.True(t, 8 <= f.Allow.CPU && f.Allow.CPU <= 15)
		assert.True(t, 1 <= len(f.Net.Zones) && len(f.Net.Zones) <= 4)
		assertDistinct(t, f.Net.Zones)
		require.Len(t, f.Tiers, 1, "a site of connections has one tier")
		if len(f.Tiers[0].Report.Fields) > 0 {
			assert.Equal(t, "probe", f.Tiers[0].Report.How)
			assert.True(t, f.Allow.Probes, "reports are sent as answers to probes")
		}
		assert.Equal(t, f.Discovery.Mode == "ask", f.Discovery.Capacity != nil, "only a discovery service that is asked has a capacity")
	})
}

// The bench refuses a site file with keyed or unsafe classes.
func TestGeneratedClassesAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, f := generate(t)
		require.Len(t, f.Connections.Classes, len(f.Classes), "one entry for each class, in order")
		assert.Equal(t, floatRange{1, 1}, f.Connections.Classes[0].Load, "the first class is the reference")
		var names []string
		for _, c := range f.Classes {
			assert.Equal(t, "safe", c.Effect)
			assert.True(t, c.Stream)
			assert.Less(t, c.Aim, c.Deadline)
			names = append(names, c.Name)
		}
		assertDistinct(t, names)
		names = nil
		share := 0.0
		for _, tenant := range f.Tenants {
			names, share = append(names, tenant.Name), share+tenant.Share
		}
		assertDistinct(t, names)
		if len(f.Tenants) > 0 {
			assert.InDelta(t, 1, share, 1e-9)
		}
	})
}

func TestSubrangesLieWithinTheirRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := &sampler{newRand(rapid.Uint64().Draw(t, "seed"))}
		low := rapid.Float64Range(0, 1000).Draw(t, "low")
		from := floatRange{low, low + rapid.Float64Range(0, 1000).Draw(t, "width")}
		got := rng.subrange(from)
		assert.True(t, from[0] <= got[0] && got[0] <= got[1] && got[1] <= from[1], "%v in %v", got, from)
		v := rng.valueIn(from)
		assert.True(t, from[0] <= v && v <= from[1], "%v in %v", v, from)
		countRange := intRange{int(from[0]), int(from[1])}
		subrange := rng.countSubrange(countRange)
		assert.True(t, countRange[0] <= subrange[0] && subrange[0] <= subrange[1] && subrange[1] <= countRange[1], "%v in %v", subrange, countRange)
	})
}

func assertDistinct(t *rapid.T, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		assert.False(t, seen[name], "%s twice", name)
		seen[name] = true
	}
}
