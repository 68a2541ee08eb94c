package net

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heldUp is how long the node may be held up between reading its clock and writing.
const heldUp = 150 * time.Millisecond

// killed is how soon after SIGTERM the node may be killed where this is the longest deadline.
func killed(longest time.Duration) time.Duration {
	return min(longest, mostWait) + 700*time.Millisecond
}

// drain has a node drain, by looks at the times at which it would look, and tells how long it takes to leave.
func (r *rig) drain() (took time.Duration) {
	r.onLoop(func(now time.Duration) {
		n := r.node
		n.stopping, n.lastOpen = true, now
		latest := n.latest(now)
		for !n.finished(now+took, latest) && took < 10*time.Second {
			took += drainCheck
		}
		n.leave()
	})
	return took
}

// Short or long, by the time at which the node may be killed all is answered, who stands is moved, who rests is told, and the
// node has gone, though it be held up at the last.
func TestGoneBeforeItIsKilled(t *testing.T) {
	for _, longest := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			r := newRig(t)
			r.set["mode"], r.set["deadline"], r.set["aim"] = "proxy", longest.String(), "9000000000"
			for _, step := range []string{
				"stands connect", "stands send OPEN 1 a c=lookup,d=9000", "d accept", "d expect OPEN *", "d send UP r1", "stands expect UP r1",
				"owed connect", "owed send OPEN 2 a c=lookup,d=9000", "e accept", "e expect OPEN *",
				"rests connect", "rests send PING", "rests expect PONG",
				"half connect", "half send OPEN 3 a...", "wait count client connections accepted 4"} {
				require.NoError(t, r.step(step), step)
			}
			took := r.drain()
			assert.LessOrEqual(t, took, killed(longest)-heldUp)
			for _, step := range []string{"stands expect MOVE", "owed expect ERR", "rests expect BUSY", "half expect BUSY",
				"stands wait fin", "owed wait fin", "rests wait fin", "half wait fin", "wait exit"} {
				assert.NoError(t, r.step(step), step)
			}
		})
	}
}

// With nothing owed it leaves when clients have ceased to come, however long the longest deadline is.
func TestNothingOwedIsNotWaitedFor(t *testing.T) {
	r := newRig(t)
	r.set["mode"], r.set["deadline"] = "proxy", "10s"
	require.NoError(t, r.step("a connect"))
	require.NoError(t, r.step("wait count client connections accepted 1"))
	assert.LessOrEqual(t, r.drain(), settled+lastGoodbye+drainCheck)
}

// A configuration with shorter deadlines shortens the time after which the node may be killed.
func TestShorterDeadlinesEndItSooner(t *testing.T) {
	r := newRig(t)
	r.set["deadline"] = "9s"
	require.NoError(t, r.step("a connect"))
	r.set["deadline"] = "200ms"
	require.NoError(t, r.step("reload same"))
	require.NoError(t, r.step("wait count configurations taken in 1"))
	r.onLoop(func(now time.Duration) {
		assert.LessOrEqual(t, r.node.latest(now)-now, killed(200*time.Millisecond)-heldUp)
	})
}

// Requests that come one after the other on an open connection, up to the end, each have an answer.
func TestWhoSendsOnHasAnAnswerToTheEnd(t *testing.T) {
	r := newRig(t)
	r.set["mode"], r.set["deadline"], r.set["aim"] = "proxy", "200ms", "9000000000"
	clients := []string{}
	for i := range 40 {
		client := fmt.Sprintf("c%d", i)
		clients = append(clients, client)
		require.NoError(t, r.step(client+" connect"))
	}
	require.NoError(t, r.step("wait count client connections accepted 40"))
	r.onLoop(func(now time.Duration) {
		n := r.node
		n.stopping, n.lastOpen = true, now
		latest := n.latest(now)
		for i := 0; !n.finished(now+time.Duration(i)*drainCheck, latest); i++ {
			if i < len(clients) {
				assert.NoError(t, r.step(fmt.Sprintf("%s send OPEN %d a c=lookup,d=9000", clients[i], i+1)))
				for _, d := range n.downstreams.All() { // as the loop does before it looks again
					if d.conn != nil && d.pull() {
						d.traffic(now + time.Duration(i)*drainCheck)
					}
				}
			}
		}
		n.leave()
	})
	for i, client := range clients {
		pattern := "ERR"
		if int64(i) >= r.node.count["operations taken"] {
			pattern = "BUSY"
		}
		assert.NoError(t, r.step(client+" expect "+pattern), client)
		assert.NoError(t, r.step(client+" wait fin"), client)
	}
}
