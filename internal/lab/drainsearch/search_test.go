package drainsearch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tealtiller/internal/lab/drainaudit"
)

// shortSearch is how many sequences CI plays; make prove-drain plays many more.
const shortSearch = 300

// The balancer's own code keeps the rule on the sequences of these seeds, which are the same in each run. Where the
// pages leave room this test applies the lenient readings of the design page; TestNoSequenceBreaksTheRuleReadStrictly
// has none.
func TestNoSequenceBreaksTheRule(t *testing.T) {
	result := Search(1, shortSearch, 2, time.Time{}, Options{Exempt: drainaudit.LenientReadings})
	assert.Equal(t, shortSearch, result.Sequences)
	assert.Greater(t, result.Sent, 20*shortSearch, "first bytes judged")
	assert.Empty(t, result.Excused)
	for _, f := range result.FailingScripts {
		t.Errorf("seed %d: %v", f.Seed, f.Violation)
	}
}

// Read to the letter, the pages have more changes count as notified than the balancer can have received: while a
// process starts, while discovery refuses calls because it is overloaded, and while one call after the other falls
// silent.
func TestNoSequenceBreaksTheRuleReadStrictly(t *testing.T) {
	result := Search(1, shortSearch, 2, time.Time{}, Options{})
	assert.Empty(t, result.FailingScripts, "under any reading")
	assert.Empty(t, result.Excused, "under a strict reading")
}

// Drawn sequences that broke the rule, read strictly, because a list was used whatever its age: by a process that had
// not received its first list, and after one silent call had followed the other.
func TestNoRequestIsSentByAnExpiredList(t *testing.T) {
	for name, seeds := range map[string][]uint64{
		"the first call is slow or unreadable": {168960275, 168960521, 168960552},
		"an agent is silent from the start":    {168960358, 168960387, 168960706},
		"one silent call follows the other":    {168960418, 168960441, 168960636, 168961143},
		"a slow start and a hold":              {12884977381},
	} {
		t.Run(name, func(t *testing.T) { assertNoViolation(t, seeds) })
	}
}

// Drawn sequences that break the rule, read strictly: a process starts while discovery refuses its calls, because it is
// overloaded or down, and uses the list of its configuration.
func TestRefusedFirstCallReadStrictly(t *testing.T) {
	assertNoViolation(t, []uint64{168960931, 168960908, 168961383, 168960809, 168963483})
}

// assertNoViolation plays the sequences of seeds, which have to keep the rule under a strict reading.
func assertNoViolation(t *testing.T, seeds []uint64) {
	for _, seed := range seeds {
		violation, sent := Play(Draw(seed), Options{})
		assert.Nil(t, violation, "seed %d", seed)
		assert.NotZero(t, sent, "seed %d: first bytes judged", seed)
	}
}

// The search finds faults that are injected into the code around the balancer's, each within the sequences that CI
// plays.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, injected := range map[string]Options{
		"the last check before the first byte is left out": {SkipLastCheck: true},
		"the grace is ignored":                             {IgnoresGrace: true},
		"each call to discovery is made a second late":     {LateCalls: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NotEmpty(t, Search(1, shortSearch, 2, time.Time{}, injected).FailingScripts)
		})
	}
}

// Shrink reduces a script that breaks the rule to the events that the violation needs.
func TestShrinkKeepsTheViolation(t *testing.T) {
	injected := Options{IgnoresGrace: true}
	found := Search(1, shortSearch, 2, time.Time{}, injected).FailingScripts
	if !assert.NotEmpty(t, found) {
		return
	}
	small := Shrink(found[0].Script, injected)
	violation, _ := Play(small, injected)
	assert.NotNil(t, violation)
	assert.Len(t, small.Requests, 1)
	assert.NotEmpty(t, small.Changes)
}

// A script plays the same way each time.
func TestPlayIsRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		_, first := Play(Draw(seed), Options{})
		_, second := Play(Draw(seed), Options{})
		assert.Equal(t, first, second, "seed %d", seed)
	}
}
