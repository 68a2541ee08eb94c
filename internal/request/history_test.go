package request

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"tealtiller/policy"
)

// A history holds exactly the hashes that were added last, and hands over the newest.
func TestHistoryKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newIDHistory()
		total := rapid.IntRange(0, 3*maxHistory).Draw(t, "hashes")
		for i := range total {
			h.add(uint64(i))
			if i > 0 {
				h.add(uint64(i - 1)) // is known already
			}
		}
		oldest := max(total-maxHistory, 0)
		if assert.Len(t, h.known, total-oldest); oldest > 0 {
			assert.False(t, h.contains(uint64(oldest-1)))
		}
		n := rapid.IntRange(0, 2*maxHistory).Draw(t, "newest")
		newest := h.newest(n)
		assert.Len(t, newest, min(n, total-oldest))
		assert.True(t, slices.IsSorted(newest))
		for _, hash := range newest {
			assert.True(t, h.contains(hash))
		}
		if len(newest) > 0 {
			assert.EqualValues(t, total-1, newest[len(newest)-1])
		}
	})
}

// Which results of an attempt let its id be used again: only those after which it cannot have run.
func TestWhichRequestsMayHaveRun(t *testing.T) {
	for result, mayHaveRun := range map[policy.Result]bool{policy.Error: true, policy.Reset: true, policy.Timeout: true,
		policy.Cancelled: true, policy.Rejected: false, policy.ConnectFailed: false, policy.NotSent: false} {
		for _, written := range []bool{true, false} {
			h := newHarness("s")
			id := h.Submit(t0, 9, policy.Request{ID: "x", Class: "c", Key: 5, HasKey: true, TTL: time.Second})
			if written {
				_, ok := h.MayWrite(t0, id, t0+time.Second, func() bool { return false })
				assert.True(t, ok)
			}
			h.AttemptEnded(t0, id, result)
			h.ClientLeft(t0, id)
			assert.False(t, h.IsOpen("x"))
			assert.Equal(t, mayHaveRun && written, h.MayHaveRun("x"), "result %v, written %v", ResultNames[result], written)
		}
	}
}

// The process that takes over knows the ids of open requests and of those that have run, the newest if not all fit.
func TestUsedIDsAreHandedOver(t *testing.T) {
	old, successor := newHarness("s"), newHarness("s")
	open := old.Submit(t0, 1, policy.Request{ID: "open", Class: "c", Key: 5, HasKey: true, TTL: time.Second})
	served := old.Submit(t0, 2, policy.Request{ID: "served", Class: "c", Key: 6, HasKey: true, TTL: time.Second})
	old.Established(t0, served)
	old.AttemptEnded(t0, served, policy.OK)
	successor.AddUsedIDs(old.UsedIDs(10))
	for _, id := range []string{"open", "served"} {
		assert.True(t, successor.MayHaveRun(id), id)
	}
	assert.False(t, successor.MayHaveRun("other"))
	assert.Equal(t, []uint64{hashID("open")}, old.UsedIDs(1))
	old.ClientLeft(t0, open)
}
