package net

import (
	"bytes"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client ended its sending while its desk host had not read all its lines yet: the rest of the lines was dropped, and the
// client cut off. The desk host gets all lines and then the end, and its answer reaches the client.
func TestClientEndsBehindBufferedOutput(t *testing.T) {
	r := newRig(t)
	r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN *", "d send UP r1", "a expect UP r1")
	line := append(bytes.Repeat([]byte("x"), 4000), "\r\n"...)
	written := 0
	r.onLoop(func(time.Duration) {
		for _, u := range r.node.upstreams.All() {
			for ; u.conn.OutboundBuffered() == 0; written += len(line) {
				r.node.write(u.conn, line)
			}
		}
	})
	r.steps("a half", "wait count clients that ended their sending 1")
	got, err := io.ReadAll(r.peers["d"].r)
	require.NoError(t, err)
	assert.Equal(t, written, len(got))
	r.steps("d send BYE", "d close", "a expect BYE", "a wait fin")
}

// withoutDup is a connection whose descriptor cannot be duplicated.
type withoutDup struct{ gnet.Conn }

func (withoutDup) Dup() (int, error) { return -1, syscall.EMFILE }

// A client ended its sending while no descriptor was left to keep its side open, and was cut off without MOVE.
func TestClientEndsWithoutDescriptor(t *testing.T) {
	r := newRig(t)
	r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN *", "d send UP r1", "a expect UP r1")
	r.onLoop(func(time.Duration) {
		for _, d := range r.node.downstreams.All() {
			d.conn = withoutDup{d.conn}
		}
	})
	r.steps("a half", "a expect MOVE", "a wait fin", "d wait fin")
}

// A desk host stopped reading while its client went on sending, and the client was cut off without MOVE.
func TestClientOfAHostThatDoesNotReadIsMoved(t *testing.T) {
	r := newRig(t)
	r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN *", "d send UP r1", "a expect UP r1")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		line := append(bytes.Repeat([]byte("x"), 4000), "\r\n"...)
		for _, err := r.peers["a"].Write(line); err == nil; {
			_, err = r.peers["a"].Write(line)
		}
	}()
	r.steps("a expect MOVE")
	require.NoError(t, r.peers["a"].CloseWrite())
	<-stopped
	r.steps("a wait fin", "wait count sockets ended: peer does not read 1")
}
