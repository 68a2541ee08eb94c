package net

import (
	stdnet "net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A shared directory in which the socket cannot be created at the start does not prevent serving, and a takeover is
// possible once it can.
func TestSharedDirCreatedAfterStart(t *testing.T) {
	r := newRig(t)
	r.settings["tmp"] = "later"
	for _, step := range []string{"a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN 1 *", "d send UP r",
		"a expect UP r"} {
		require.NoError(t, r.step(step), step)
	}
	assert.Equal(t, 1, r.log.count("takeover-impossible"))
	require.NoError(t, os.Mkdir(filepath.Join(r.folder, "later"), 0o700))
	require.Eventually(t, func() bool { return r.log.count("takeover-possible") == 1 }, stepTimeout, time.Millisecond)
	for _, step := range []string{"beside", "wait count processes joined 1", "before stop", "before wait exit", "a send hello",
		"d expect hello"} {
		require.NoError(t, r.step(step), step)
	}
}

// A socket that another process has created meanwhile is left alone.
func TestSocketOfAnotherProcessIsKept(t *testing.T) {
	r := newRig(t)
	r.settings["tmp"] = "later"
	require.NoError(t, r.step("a connect"))
	require.NoError(t, os.Mkdir(filepath.Join(r.folder, "later"), 0o700))
	other, err := stdnet.ListenUnix("unixpacket", &stdnet.UnixAddr{Name: r.node.rendezvousPath(), Net: "unixpacket"})
	require.NoError(t, err)
	defer other.Close()
	r.onLoop(func(now time.Duration) { r.node.deadlines.Run(now + listenRetryInterval) })
	c, err := stdnet.DialUnix("unixpacket", nil, &stdnet.UnixAddr{Name: r.node.rendezvousPath(), Net: "unixpacket"})
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, other.SetDeadline(time.Now().Add(stepTimeout)))
	met, err := other.AcceptUnix()
	require.NoError(t, err, "the socket must still belong to the other process")
	_ = met.Close()
	assert.Zero(t, r.log.count("takeover-possible"))
}

// scriptedListener returns the given errors and connections until it is closed.
type scriptedListener struct {
	errors chan error
	conns  chan *stdnet.UnixConn
}

func (s scriptedListener) AcceptUnix() (*stdnet.UnixConn, error) {
	if err := <-s.errors; err != nil {
		return nil, err
	}
	return <-s.conns, nil
}

// A process that connects while there is no descriptor to accept it is accepted afterwards.
func TestSuccessorAcceptedAfterDescriptorShortage(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.step("a connect"))
	c, _ := r.linkTo()
	l := scriptedListener{make(chan error, 3), make(chan *stdnet.UnixConn, 1)}
	l.errors <- syscall.EMFILE
	l.errors <- nil
	l.errors <- stdnet.ErrClosed
	l.conns <- c
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.node.acceptSuccessors(l)
	}()
	require.NoError(t, r.withTimeout(func() error { <-ended; return nil }))
	require.NoError(t, r.step("wait count processes joined 1"))
}
