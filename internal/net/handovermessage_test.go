package net

import (
	stdnet "net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"tealtiller/internal/handover"
)

// duplicable adds gnet's Dup to a connection.
type duplicable struct{ *stdnet.TCPConn }

func (d duplicable) Dup() (fd int, err error) {
	raw, err := d.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(of uintptr) { fd, err = syscall.Dup(int(of)) })
	if failed != nil {
		return 0, failed
	}
	return fd, err
}

// The other process is killed while clients are handed over to it, one of them with a request it has sent: each gets a
// last line and an orderly close.
func TestFallbackLinesWhenHandoverFails(t *testing.T) {
	r := newRig(t)
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	r.address = listener.Addr().String()
	r.started = true
	conn, other := r.linkTo()
	require.NoError(t, syscall.Shutdown(other, syscall.SHUT_RDWR)) // killed
	l := &processLink{conn: conn, outgoing: make(chan outgoingMessage, maxQueuedMessages), flushed: make(chan struct{})}
	handOver := func(client string, kind handover.Kind) {
		require.NoError(t, r.step(client+" connect"))
		accepted, err := listener.Accept()
		require.NoError(t, err)
		require.NoError(t, r.step(client+" send OPEN 1 a c=lookup,d=4000"))
		conns := []interface{ Dup() (int, error) }{duplicable{accepted.(*stdnet.TCPConn)}}
		if kind == handover.KindEstablished {
			conns = append(conns, conns[0])
		}
		require.True(t, l.send(handover.Message{Kind: kind}, conns...))
		require.NoError(t, accepted.Close())
	}
	handOver("opens", handover.KindIdleClient)
	handOver("stands", handover.KindEstablished)
	l.close()
	l.write()
	for _, step := range []string{"opens expect BUSY", "opens wait fin", "stands expect MOVE", "stands wait fin"} {
		require.NoError(t, r.step(step), step)
	}
}
