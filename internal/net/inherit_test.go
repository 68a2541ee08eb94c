package net

import (
	stdnet "net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tealtiller/internal/handover"
)

// A client's socket comes from the other process with a request that was read there, but the client has disconnected
// meanwhile: no attempt is made, and a client that has only ended its sending gets an error line.
func TestClientLeavesDuringHandover(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.step("first connect"))
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	r.address = listener.Addr().String()
	for i, step := range []string{"gone close", "half half"} {
		client := step[:4]
		require.NoError(t, r.step(client+" connect"))
		conn, err := listener.Accept()
		require.NoError(t, err)
		require.NoError(t, r.step(step))
		var sockets []socket
		r.onLoop(func(now time.Duration) {
			opening := []byte("OPEN " + string(rune('1'+i)) + " a c=lookup,d=4000\r\n")
			sockets = r.node.inheritDownstream(now, handover.Message{Kind: handover.KindIdleClient, FromClient: opening})
			r.node.dialling++
		})
		require.NoError(t, r.node.enroll(sockets[0], conn))
	}
	for _, step := range []string{"half expect ERR *", "half wait fin", "wait count attempts not begun: client gone 2",
		"wait count clients gone before their answer 2", "wait count attempts written 0"} {
		require.NoError(t, r.step(step), step)
	}
}

// inheritConnection has the rig's node take over an established connection between the peers a and d, whose sockets are
// not on the loop yet.
func (r *rig) inheritConnection() (sockets []socket, conns []stdnet.Conn) {
	return r.inheritUnanswered(0)
}

// inheritUnanswered is inheritConnection where a line of the client has been unanswered for a time.
func (r *rig) inheritUnanswered(unansweredFor time.Duration) (sockets []socket, conns []stdnet.Conn) {
	r.t.Helper()
	r.steps("first connect")
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	defer listener.Close()
	r.address = listener.Addr().String()
	for _, step := range []string{"a connect", "d connect"} {
		r.steps(step)
		c, err := listener.Accept()
		require.NoError(r.t, err)
		conns = append(conns, c)
	}
	r.onLoop(func(now time.Duration) {
		m := handover.Message{Kind: handover.KindEstablished, Number: int(unansweredFor.Milliseconds()), Server: "s-0", OpenLine: []byte("OPEN 1 a c=lookup,d=4000\r\n")}
		sockets = r.node.inheritEstablished(now, m)
		r.node.dialling += len(sockets)
	})
	return sockets, conns
}

// A client was told to move before its socket, taken over from another process, was on the loop: the line was lost, and
// the client left connected to nothing.
func TestMoveBeforeInheritedSocketIsEnrolled(t *testing.T) {
	r := newRig(t)
	sockets, conns := r.inheritConnection()
	r.onLoop(func(time.Duration) { requestIO{r.node}.Move(sockets[0].(*downstream).id) })
	for i, s := range sockets {
		require.NoError(t, r.node.enroll(s, conns[i]))
	}
	r.steps("a expect MOVE", "a wait fin", "d wait fin")
}

// The socket to the desk host of a connection taken over from another process cannot be brought on the loop for want of a
// descriptor: the client was cut off without MOVE.
func TestInheritedHostSocketCannotBeEnrolled(t *testing.T) {
	r := newRig(t)
	sockets, conns := r.inheritConnection()
	require.NoError(t, r.node.enroll(sockets[0], conns[0]))
	require.NoError(t, conns[1].Close())
	r.node.dialFailed(sockets[1], syscall.EMFILE)
	r.steps("a expect MOVE", "a wait fin")
}

// viaMessage returns a connection as it comes out of a message of the other process.
func viaMessage(t *testing.T, c stdnet.Conn) stdnet.Conn {
	file, err := c.(*stdnet.TCPConn).File()
	require.NoError(t, err)
	defer file.Close()
	require.NoError(t, c.Close())
	received, err := stdnet.FileConn(file)
	require.NoError(t, err)
	return received
}

// Guards against a client that stays connected to nothing, or a desk host that keeps a connection for nobody, because the
// other side was reset on its way from the process before: that side's end is passed on.
func TestInheritedSocketWasReset(t *testing.T) {
	for name, c := range map[string]struct{ resetPeer, otherPeer, ended string }{
		"the desk host's": {"d reset", "a wait reset", "wait count standing connections ended by desk hosts 1"},
		"the client's":    {"a reset", "d wait reset", "wait count clients gone from standing connections 1"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			sockets, conns := r.inheritConnection()
			r.steps(c.resetPeer)
			for i, s := range sockets {
				conn := viaMessage(t, conns[i])
				if err := r.node.enrollInherited(s, conn); err != nil {
					r.node.dialFailed(s, err)
				}
			}
			r.steps(c.otherPeer, c.ended)
			r.onLoop(func(time.Duration) { require.Zero(t, r.node.dialling) })
		})
	}
}

// Guards against a last line that is lost, and a client that gets the bare end, as it ends its sending before the socket
// to its desk host has come from the process before.
func TestClientEndsItsSendingBeforeItsHostIsEnrolled(t *testing.T) {
	r := newRig(t)
	sockets, conns := r.inheritConnection()
	require.NoError(t, r.node.enrollInherited(sockets[0], conns[0]))
	r.steps("a send last", "a half", "wait count clients that ended their sending 1")
	require.NoError(t, r.node.enrollInherited(sockets[1], conns[1]))
	r.steps("d expect last", "d wait fin", "d send answer\\r\\nBYE", "d close", "a expect answer", "a expect BYE", "a wait fin")
}

// Guards against a client that waits too long at a desk host that hangs, because the new process counts its wait anew, or
// does not know of the line at all.
func TestWaitForAnAnswerGoesOnInATakeover(t *testing.T) {
	r := newRig(t)
	sockets, conns := r.inheritUnanswered(defaultLineTimeout - time.Second)
	begin := time.Now()
	for i, s := range sockets {
		require.NoError(t, r.node.enrollInherited(s, conns[i]))
	}
	r.steps("a expect MOVE", "a wait fin")
	require.Less(t, time.Since(begin), defaultLineTimeout)
}
