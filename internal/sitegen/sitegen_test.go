package sitegen

import (
	"bytes"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawn(t *rapid.T) (*Site, *file) {
	seed := rapid.Uint64().Draw(t, "seed")
	site, err := Generate(seed)
	require.NoError(t, err)
	again, err := Generate(seed)
	require.NoError(t, err)
	require.Equal(t, string(site.TOML), string(again.TOML), "the same bytes for the same seed")
	f := &file{}
	strict := toml.NewDecoder(bytes.NewReader(site.TOML)).DisallowUnknownFields()
	require.NoError(t, strict.Decode(f))
	return site, f
}

// Danger: a site outside of what the operators' pages name shows faults that no operator could meet, or is refused.
func TestAnySeedStaysWithinThePages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site, f := drawn(t)
		assert.Equal(t, site.Name, f.Name)
		assert.Equal(t, f.Allow.Probes, site.Axes.Probes)
		assert.Contains(t, []string{"pass", "proxy"}, f.Standing.Mode)
		assert.Contains(t, []string{"none", "at_once"}, f.Standing.GoAway)
		assert.Contains(t, []float64{0, 3}, f.Standing.GroupCost)
		assert.True(t, 2 <= f.Allow.MaxAttempts && f.Allow.MaxAttempts <= 6)
		assert.True(t, 250 <= f.Rules.DrainGrace && f.Rules.DrainGrace <= 1000)
		assert.True(t, 8 <= f.Allow.CPU && f.Allow.CPU <= 15)
		assert.True(t, 1 <= len(f.Net.Zones) && len(f.Net.Zones) <= 4)
		assertDifferent(t, f.Net.Zones)
		require.Len(t, f.Tiers, 1, "a site of connections has one tier")
		if len(f.Tiers[0].Report.Fields) > 0 {
			assert.Equal(t, "probe", f.Tiers[0].Report.How)
			assert.True(t, f.Allow.Probes, "a report comes as the answer to a probe")
		}
		assert.Equal(t, f.Discovery.Mode == "ask", f.Discovery.Capacity != nil, "an agent has no capacity")
	})
}

// Danger: the bench refuses keyed and unsafe classes in a site's file.
func TestClassesOfAnySeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, f := drawn(t)
		require.Len(t, f.Standing.Classes, len(f.Classes), "each class has its use, in order")
		assert.Equal(t, span{1, 1}, f.Standing.Classes[0].Load, "the first is the yardstick")
		var names []string
		for _, c := range f.Classes {
			assert.Equal(t, "safe", c.Effect)
			assert.True(t, c.Stream)
			assert.Less(t, c.Aim, c.Deadline)
			names = append(names, c.Name)
		}
		assertDifferent(t, names)
		names = nil
		share := 0.0
		for _, tenant := range f.Tenants {
			names, share = append(names, tenant.Name), share+tenant.Share
		}
		assertDifferent(t, names)
		if len(f.Tenants) > 0 {
			assert.InDelta(t, 1, share, 1e-9)
		}
	})
}

func TestDrawnRangesLieWithinTheirs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &dice{newRand(rapid.Uint64().Draw(t, "seed"))}
		low := rapid.Float64Range(0, 1000).Draw(t, "low")
		in := span{low, low + rapid.Float64Range(0, 1000).Draw(t, "width")}
		got := d.within(in)
		assert.True(t, in[0] <= got[0] && got[0] <= got[1] && got[1] <= in[1], "%v in %v", got, in)
		v := d.value(in)
		assert.True(t, in[0] <= v && v <= in[1], "%v in %v", v, in)
		whole := counts{int(in[0]), int(in[1])}
		some := d.countsWithin(whole)
		assert.True(t, whole[0] <= some[0] && some[0] <= some[1] && some[1] <= whole[1], "%v in %v", some, whole)
	})
}

func assertDifferent(t *rapid.T, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		assert.False(t, seen[name], "%s twice", name)
		seen[name] = true
	}
}
