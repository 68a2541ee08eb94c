package deadline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDeadlinesRunInOrder(t *testing.T) {
	var q Queue
	var got []string
	set := func(at time.Duration, name string) *Deadline {
		return q.Set(at, func(time.Duration) { got = append(got, name) })
	}
	set(3, "c")
	set(1, "a")
	set(1, "b")
	stopped := set(2, "stopped")
	q.Stop(stopped)
	q.Stop(stopped)
	q.Stop(nil)
	q.Run(2)
	assert.Equal(t, []string{"a", "b"}, got)
	at, ok := q.Next()
	assert.True(t, ok)
	assert.EqualValues(t, 3, at)
	q.Run(3)
	assert.Equal(t, []string{"a", "b", "c"}, got)
	_, ok = q.Next()
	assert.False(t, ok)
}

// A callback that sets a new deadline for the current time does not keep Run from returning. A callback may stop
// another deadline that is due.
func TestRunTerminates(t *testing.T) {
	var q Queue
	runs := 0
	var again func(time.Duration)
	again = func(now time.Duration) { runs++; q.Set(now, again) }
	q.Set(1, again)
	var other *Deadline
	q.Set(1, func(time.Duration) { q.Stop(other) })
	other = q.Set(1, func(time.Duration) { t.Error("it was stopped") })
	q.Run(1)
	assert.Equal(t, 1, runs)
	q.Run(1)
	assert.Equal(t, 2, runs)
}

// A deadline set by a callback for the current time, and stopped by another callback, is not run by a later Run.
func TestStoppedWhilePostponed(t *testing.T) {
	var q Queue
	var postponed *Deadline
	q.Set(1, func(now time.Duration) {
		postponed = q.Set(now-1, func(time.Duration) { t.Error("it was stopped") })
	})
	q.Set(1, func(time.Duration) { q.Stop(postponed) })
	q.Run(1)
	q.Run(2)
	_, ok := q.Next()
	assert.False(t, ok)
}
