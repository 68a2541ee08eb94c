package net

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client that reads late gets its last line too, even if more output precedes it than the kernel buffers.
func TestLastLineBehindBufferedOutput(t *testing.T) {
	r := newRig(t)
	for _, step := range []string{"a connect", "a send PING", "a expect PONG"} {
		require.NoError(t, r.step(step))
	}
	line := append(bytes.Repeat([]byte("x"), 4000), "\r\n"...)
	done, written := make(chan struct{}), 0
	r.node.post(func(now time.Duration) {
		defer close(done)
		for _, d := range r.node.downstreams.All() {
			for ; d.conn.OutboundBuffered() == 0; written += len(line) {
				r.node.write(d.conn, line)
			}
			d.sendLastLine(now, "MOVE\r\n")
		}
	})
	<-done
	got, err := io.ReadAll(r.peers["a"].r)
	require.NoError(t, err)
	assert.Equal(t, written+len("MOVE\r\n"), len(got))
	assert.Equal(t, "xx\r\nMOVE\r\n", string(got[max(len(got)-10, 0):]))
}
