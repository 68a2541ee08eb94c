package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// idCount is how many ids these tests use a second time.
const idCount = 50

// open sends a request on a connection of its own.
func (d *deployment) open(id string, key int) *testClient {
	d.t.Helper()
	c := d.dial()
	_, err := fmt.Fprint(c, openLine(id, key))
	require.NoError(d.t, err)
	return c
}

// awaitOpened waits until the host has the request of an id.
func (h *standInHost) awaitOpened(id string) {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return len(h.timesOpened(id)) > 0 }, 5*time.Second, time.Millisecond, "request %s", id)
}

// assertRanOnce sends each request again, until it is not refused for want of descriptors in the midst of a takeover, and
// checks that it is answered with an error and has reached the host once.
func (d *deployment) assertRanOnce(ids []string) {
	d.t.Helper()
	for i, id := range ids {
		answer := "BUSY"
		for end := time.Now().Add(5 * time.Second); strings.HasPrefix(answer, "BUSY") && time.Now().Before(end); {
			again := d.open(id, i)
			answer = again.readLine(5 * time.Second)
			require.NoError(d.t, again.Close())
		}
		assert.True(d.t, strings.HasPrefix(answer, "ERR"), "request %s got %q", id, answer)
		assert.Len(d.t, d.host.timesOpened(id), 1, "request %s", id)
	}
}

// Guards against an id that runs twice, as it comes again after its client has left: while it waited for its answer, or
// once it was served.
func TestIDRunsOnceThoughItsClientLeft(t *testing.T) {
	d := newDeployment(t, limits{MemoryMB: 64, Sockets: 1024}, "proxy", 4)
	d.start()
	var ids []string
	for i := range idCount {
		id := fmt.Sprintf("served-%d", i)
		c := d.open(id, i)
		require.Equal(t, "UP r-"+id, c.readLine(5*time.Second))
		require.NoError(t, c.Close())
		ids = append(ids, id)
	}
	d.host.setDelay(time.Hour)
	for i := range idCount {
		id := fmt.Sprintf("left-%d", i)
		c := d.open(id, i)
		d.host.awaitOpened(id)
		require.NoError(t, c.Close())
		ids = append(ids, id)
	}
	d.assertRanOnce(ids)
}

// Guards against an id that runs twice, as it comes again at the other process of an upgrade: while it is open at the
// old process, once it was served there, or after its client has left.
func TestIDRunsOnceAcrossAnUpgrade(t *testing.T) {
	d := newDeployment(t, limits{MemoryMB: 64, Sockets: 1024}, "proxy", 4)
	older := d.start()
	var ids []string
	for i := range idCount {
		id := fmt.Sprintf("served-%d", i)
		c := d.open(id, i)
		require.Equal(t, "UP r-"+id, c.readLine(5*time.Second))
		ids = append(ids, id)
		if i%2 == 0 {
			require.NoError(t, c.Close())
		}
	}
	d.host.setDelay(time.Hour)
	for i := range idCount {
		id := fmt.Sprintf("open-%d", i)
		c := d.open(id, i)
		d.host.awaitOpened(id)
		ids = append(ids, id)
		if i%2 == 0 {
			require.NoError(t, c.Close())
		}
	}
	d.start()
	require.NoError(t, older.cmd.Process.Signal(syscall.SIGTERM))
	d.assertRanOnce(ids)
}
