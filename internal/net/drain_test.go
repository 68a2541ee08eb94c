package net

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxStall is how long the node may stall between reading its clock and writing.
const maxStall = 150 * time.Millisecond

// killTime is how soon after SIGTERM the node may be killed, given the longest request deadline.
func killTime(maxDeadline time.Duration) time.Duration {
	return min(maxDeadline, maxDrainWait) + 700*time.Millisecond
}

// drain runs a drain with checks at the usual times, and returns how long the node takes to stop.
func (r *rig) drain() (took time.Duration) {
	r.onLoop(func(now time.Duration) {
		n := r.node
		latest := n.beginDrain(now)
		for !n.drainFinished(now+took, latest) && took < 10*time.Second {
			took += drainCheckInterval
		}
		n.stop()
	})
	return took
}

// Whatever the longest deadline is, the node has stopped before it may be killed, even if it stalls at the end:
// pending requests are answered, clients of established connections moved, idle clients refused.
func TestDrainEndsBeforeKill(t *testing.T) {
	for _, longest := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			r := newRig(t)
			r.settings["mode"], r.settings["deadline"], r.settings["aim"] = "proxy", longest.String(), "9000000000"
			for _, step := range []string{
				"open connect", "open send OPEN 1 a c=lookup,d=9000", "d accept", "d expect OPEN *", "d send UP r1", "open expect UP r1",
				"pending connect", "pending send OPEN 2 a c=lookup,d=9000", "e accept", "e expect OPEN *",
				"idle connect", "idle send PING", "idle expect PONG",
				"half connect", "half send OPEN 3 a...", "wait count client connections accepted 4"} {
				require.NoError(t, r.step(step), step)
			}
			took := r.drain()
			assert.LessOrEqual(t, took, killTime(longest)-maxStall)
			for _, step := range []string{"open expect MOVE", "pending expect ERR", "idle expect BUSY", "half expect BUSY",
				"open wait fin", "pending wait fin", "idle wait fin", "half wait fin", "wait exit"} {
				assert.NoError(t, r.step(step), step)
			}
		})
	}
}

// Without pending requests the node stops once clients have ceased to come, however long the longest deadline is.
func TestDrainDoesNotWaitWithoutPendingRequests(t *testing.T) {
	r := newRig(t)
	r.settings["mode"], r.settings["deadline"] = "proxy", "10s"
	require.NoError(t, r.step("a connect"))
	require.NoError(t, r.step("wait count client connections accepted 1"))
	assert.LessOrEqual(t, r.drain(), quietPeriod+maxFinalClose+drainCheckInterval)
}

// A reload with shorter deadlines shortens the time after which the node may be killed.
func TestShorterDeadlinesShortenDrain(t *testing.T) {
	r := newRig(t)
	r.settings["deadline"] = "9s"
	require.NoError(t, r.step("a connect"))
	r.settings["deadline"] = "200ms"
	require.NoError(t, r.step("reload same"))
	require.NoError(t, r.step("wait count configurations taken in 1"))
	r.onLoop(func(now time.Duration) {
		assert.LessOrEqual(t, r.node.drainDeadline(now)-now, killTime(200*time.Millisecond)-maxStall)
	})
}

// Requests that keep arriving on idle connections until the end of a drain each get an answer.
func TestRequestsDuringDrainAreAnswered(t *testing.T) {
	r := newRig(t)
	r.settings["mode"], r.settings["deadline"], r.settings["aim"] = "proxy", "200ms", "9000000000"
	clients := []string{}
	for i := range 40 {
		client := fmt.Sprintf("c%d", i)
		clients = append(clients, client)
		require.NoError(t, r.step(client+" connect"))
	}
	require.NoError(t, r.step("wait count client connections accepted 40"))
	r.onLoop(func(now time.Duration) {
		n := r.node
		n.draining, n.lastOpenAt = true, now
		latest := n.drainDeadline(now)
		for i := 0; !n.drainFinished(now+time.Duration(i)*drainCheckInterval, latest); i++ {
			if i < len(clients) {
				assert.NoError(t, r.step(fmt.Sprintf("%s send OPEN %d a c=lookup,d=9000", clients[i], i+1)))
				for _, d := range n.downstreams.All() { // as the loop does before the next check
					if d.conn != nil && d.readAvailable() {
						d.traffic(now + time.Duration(i)*drainCheckInterval)
					}
				}
			}
		}
		n.stop()
	})
	for i, client := range clients {
		pattern := "ERR"
		if int64(i) >= r.node.counters["operations taken"] {
			pattern = "BUSY"
		}
		assert.NoError(t, r.step(client+" expect "+pattern), client)
		assert.NoError(t, r.step(client+" wait fin"), client)
	}
}
