package deadline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDeadlinesFallDueInOrder(t *testing.T) {
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

// One that sets itself anew for now must not hold the loop; one that is due may stop another.
func TestRunEnds(t *testing.T) {
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

// What is set for now while others fall due, and stopped by one of them, is not called by a later Run.
func TestStoppedWhilePutOff(t *testing.T) {
	var q Queue
	var fresh *Deadline
	q.Set(1, func(now time.Duration) {
		fresh = q.Set(now-1, func(time.Duration) { t.Error("it was stopped") })
	})
	q.Set(1, func(time.Duration) { q.Stop(fresh) })
	q.Run(1)
	q.Run(2)
	_, ok := q.Next()
	assert.False(t, ok)
}
