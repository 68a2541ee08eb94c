package net

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// endRecorder records whether the end of its connection was reported as a reset.
type endRecorder struct {
	socket
	detached, closedByReset bool
}

func (e *endRecorder) detach(reset bool)                  { e.detached = reset }
func (e *endRecorder) closed(_ time.Duration, reset bool) { e.closedByReset = reset }

// contextConn is a connection of which only the context is used.
type contextConn struct {
	gnet.Conn
	context any
}

func (c contextConn) Context() any { return c.context }

// Any error of a connection counts as a reset; an orderly close by either side does not.
func TestBrokenConnectionIsReset(t *testing.T) {
	cases := map[error]bool{nil: false, io.EOF: false, os.NewSyscallError("read", io.EOF): false}
	for _, cause := range []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		cases[os.NewSyscallError("read", cause)] = true
		cases[os.NewSyscallError("write", cause)] = true
	}
	for cause, reset := range cases {
		e := &endRecorder{detached: !reset, closedByReset: !reset}
		(&Node{}).OnClose(contextConn{context: e}, cause)
		assert.Equal(t, [2]bool{reset, reset}, [2]bool{e.detached, e.closedByReset}, cause)
	}
}

// The machine of a desk host falls silent, and the kernel gives up the connection with ETIMEDOUT: the client's side is
// reset as well.
func TestEstablishedConnectionTimesOut(t *testing.T) {
	r := newRig(t)
	r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN *", "d send UP r1", "a expect UP r1")
	done := make(chan struct{})
	r.node.post(func(time.Duration) {
		defer close(done)
		for _, u := range r.node.upstreams.All() {
			assert.NoError(t, unix.SetsockoptInt(u.conn.Fd(), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 100))
		}
	})
	<-done
	dropIncoming(t, r.peers["d"])
	r.steps("a send hello", "a wait reset", "wait count standing connections ended by desk hosts 1", "wait count connections ended: reset 1")
}

// dropIncoming drops all packets that arrive for a peer's connection.
func dropIncoming(t *testing.T, p *peer) {
	raw, err := p.SyscallConn()
	require.NoError(t, err)
	nothing := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &nothing[0]})
	}))
	require.NoError(t, err)
}
