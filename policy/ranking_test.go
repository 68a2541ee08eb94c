package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Computed by hand from sections 3.1 and 3.2: 'a' is 97; "ab" is 97 + (97<<19) + 98; 1 + 0x62531965 rotated by 21.
func TestHashVectors(t *testing.T) {
	for text, want := range map[string]uint32{"": 0, "a": 97, "ab": 50856131} {
		if got := carpHash(text); got != want {
			t.Errorf("carpHash(%q) = %d, want %d", text, got, want)
		}
	}
	if got := carpMix(1); got != 0x2CCC4A63 {
		t.Errorf("carpMix(1) = %#x, want 0x2CCC4A63", got)
	}
}

// Computed by hand from section 3.3: for shares 1/4 and 3/4, X_1 = sqrt(1/2) and X_2 = (1/2)/X_1 + X_1 = sqrt(2).
func TestMultiplierVectors(t *testing.T) {
	for _, c := range []struct{ weights, want []float64 }{
		{[]float64{5}, []float64{1}},
		{[]float64{2, 2, 2}, []float64{1, 1, 1}},
		{[]float64{1, 3}, []float64{math.Sqrt(0.5), math.Sqrt2}},
	} {
		sum := 0.0
		for _, w := range c.weights {
			sum += w
		}
		for i, got := range multipliers(c.weights, sum) {
			if math.Abs(got-c.want[i]) > 1e-9 {
				t.Errorf("multipliers(%v)[%d] = %v, want %v", c.weights, i, got, c.want[i])
			}
		}
	}
}

func TestRealisedShares(t *testing.T) {
	servers := fleet(6)
	for i := range servers {
		servers[i].Weight = []float64{1, 2}[i%2]
	}
	b, _ := newBalancer(t, servers)
	counts := map[string]int{}
	const keys = 60000
	rng := rand.New(rand.NewPCG(5, 5))
	for range keys {
		counts[rankedIDs(b, rng.Uint64N(1<<53))[0]]++
	}
	for _, s := range servers {
		want := keys * s.Weight / 9
		if got := float64(counts[s.ID]); math.Abs(got-want) > 0.15*want {
			t.Errorf("%s of weight %v is top for %v keys, want about %v", s.ID, s.Weight, got, want)
		}
	}
}

// The pairs of top servers are evenly distributed too, as choosing the less occupied of the two distributes the load
// over them.
func TestRealisedPairs(t *testing.T) {
	b, _ := newBalancer(t, fleet(6))
	pairs := map[[2]string]int{}
	const keys = 60000
	rng := rand.New(rand.NewPCG(6, 6))
	for range keys {
		r := rankedIDs(b, rng.Uint64N(1<<53))
		pairs[[2]string{r[0], r[1]}]++
	}
	for pair, got := range pairs {
		if want := keys / 30.0; math.Abs(float64(got)-want) > 0.15*want {
			t.Errorf("%v are the top two of %d keys, want about %v", pair, got, want)
		}
	}
	if len(pairs) != 30 {
		t.Errorf("%d of 30 ordered pairs occur", len(pairs))
	}
}

func TestRankingDependsOnListAndKeyAlone(t *testing.T) {
	servers := fleet(9)
	servers[3].State = Draining
	a, h := newBalancer(t, servers)
	other := New(settings(), 99, &fakeHost{})
	backwards := slices.Clone(servers)
	slices.Reverse(backwards)
	other.Members(t0, Cached, backwards)
	for i := range 50 {
		sendRequest(t, a, h, t0, newRequest(fmt.Sprint("r", i), uint64(i)))
	}
	for key := range uint64(200) {
		if x, y := rankedIDs(a, key), rankedIDs(other, key); !slices.Equal(x, y) || len(x) != 9 {
			t.Fatalf("key %d ranks as %v and as %v", key, x, y)
		}
	}
}

func TestUnusableWeightsGiveFiniteMultipliers(t *testing.T) {
	servers := fleet(5)
	for i, w := range []float64{0, -3, math.NaN(), math.Inf(1), 2} {
		servers[i].Weight = w
	}
	b, _ := newBalancer(t, servers)
	b.updateMultipliers()
	for _, s := range b.list {
		if !(s.multiplier > 0) || math.IsInf(s.multiplier, 0) {
			t.Errorf("%s has multiplier %v", s.ID, s.multiplier)
		}
	}
}
