package drainsearch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tealtiller/internal/lab/drainaudit"
)

// shortSearch is how many sequences CI plays; make prove-drain plays many more.
const shortSearch = 300

// The balancer's own code keeps the rule on the sequences of these seeds; each run plays the same ones. Where the pages leave
// room the readings of the design page hold; TestNoSequenceBreaksTheRuleReadStrictly has none of them.
func TestNoSequenceBreaksTheRule(t *testing.T) {
	tally := Search(1, shortSearch, 2, time.Time{}, Options{Exempt: drainaudit.LenientReadings})
	assert.Equal(t, shortSearch, tally.Sequences)
	assert.Greater(t, tally.Sent, 20*shortSearch, "first bytes judged")
	assert.Empty(t, tally.Excused)
	for _, f := range tally.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Break)
	}
}

// Read to the letter, the pages have more count as told than the balancer can have heard: to a process that has just started,
// while discovery refuses calls for being crowded, and while one call after the other falls silent.
func TestNoSequenceBreaksTheRuleReadStrictly(t *testing.T) {
	tally := Search(1, shortSearch, 2, time.Time{}, Options{})
	assert.Empty(t, tally.Found, "by any reading")
	assert.Empty(t, tally.Excused, "by a strict reading")
}

// Drawn sequences that broke the rule, read strictly, while a list was used whatever its age: by a process that had not heard
// its first list, and after one silent call had followed the other.
func TestNoRequestIsSentByAnExpiredList(t *testing.T) {
	for name, seeds := range map[string][]uint64{
		"the first call is slow or unreadable": {168960275, 168960521, 168960552},
		"an agent is silent from the start":    {168960358, 168960387, 168960706},
		"one silence follows the other":        {168960418, 168960441, 168960636, 168961143},
		"a slow start and a hold":              {12884977381},
	} {
		t.Run(name, func(t *testing.T) { assertKept(t, seeds) })
	}
}

// Drawn sequences that break the rule, read strictly: a process starts while discovery refuses its calls, for being crowded or
// down, and goes by the list of its configuration.
func TestRefusedFirstCallReadStrictly(t *testing.T) {
	assertKept(t, []uint64{168960931, 168960908, 168961383, 168960809, 168963483})
}

// assertKept plays the sequences of seeds, which have to keep the rule by a strict reading.
func assertKept(t *testing.T, seeds []uint64) {
	for _, seed := range seeds {
		broken, sent := Play(Draw(seed), Options{})
		assert.Nil(t, broken, "seed %d", seed)
		assert.NotZero(t, sent, "seed %d: first bytes judged", seed)
	}
}

// The search finds a fault that is planted in the code round the balancer's. Each is seen within the sequences of CI.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, planted := range map[string]Options{
		"the gate before the first byte is taken out":  {NoGate: true},
		"the grace is ignored":                         {IgnoresGrace: true},
		"each call to discovery is made a second late": {LateCalls: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NotEmpty(t, Search(1, shortSearch, 2, time.Time{}, planted).Found)
		})
	}
}

// A script that breaks the rule is cut down to what the break needs, and still breaks it.
func TestShrinkKeepsTheBreak(t *testing.T) {
	planted := Options{IgnoresGrace: true}
	found := Search(1, shortSearch, 2, time.Time{}, planted).Found
	if !assert.NotEmpty(t, found) {
		return
	}
	small := Shrink(found[0].Script, planted)
	broken, _ := Play(small, planted)
	assert.NotNil(t, broken)
	assert.Len(t, small.Requests, 1)
	assert.NotEmpty(t, small.Changes)
}

// The same script plays alike each time.
func TestPlaysAreRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		_, first := Play(Draw(seed), Options{})
		_, second := Play(Draw(seed), Options{})
		assert.Equal(t, first, second, "seed %d", seed)
	}
}
