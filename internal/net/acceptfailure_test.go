package net

import (
	stdnet "net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// limitDescriptors sets the descriptor limit of this process. Open descriptors stay open.
func limitDescriptors(t *testing.T, limit uint64) {
	var limits unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limits))
	limits.Cur = limit
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limits))
}

// processorTime is the CPU time used by this process.
func processorTime(t *testing.T) time.Duration {
	var usage unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Accept fails for want of a descriptor (EMFILE) while a client waits. Open connections go on, the loop does not spin,
// and the client is served once descriptors are available again.
func TestAcceptRecoversFromDescriptorShortage(t *testing.T) {
	r := newRig(t)
	r.steps("a connect", "a send OPEN 1 a c=lookup,d=4000", "d accept", "d expect OPEN *", "d send UP r1", "a expect UP r1")
	var limits unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limits))
	t.Cleanup(func() { limitDescriptors(t, limits.Cur) })
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	file := os.NewFile(uintptr(client), "client")
	defer file.Close()
	address := netip.MustParseAddrPort(r.address)

	limitDescriptors(t, 1)
	before := processorTime(t)
	require.NoError(t, unix.Connect(client, &unix.SockaddrInet4{Addr: address.Addr().As4(), Port: int(address.Port())}))
	for begin := time.Now(); time.Since(begin) < 300*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		r.steps("a send hello", "d expect hello", "d send hello yourself", "a expect hello yourself")
	}
	assert.Less(t, processorTime(t)-before, 150*time.Millisecond, "CPU time used while accept fails: the loop spins")

	limitDescriptors(t, limits.Cur)
	c, err := stdnet.FileConn(file)
	require.NoError(t, err)
	b := &peer{}
	b.take(c)
	r.peers["b"] = b
	r.steps("b send PING", "b expect PONG", "b send OPEN 2 b c=lookup,d=4000", "e accept", "e expect OPEN *", "e send UP r2", "b expect UP r2",
		"a send still there", "d expect still there", "wait count client connections accepted 2")
}

// Before it ends, the node checks whether clients wait to be accepted. If it has no descriptor for the check, it must
// not count the listener as closed.
func TestCloseListenerWithoutDescriptor(t *testing.T) {
	r := newRig(t)
	r.start()
	var limits unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limits))
	t.Cleanup(func() { limitDescriptors(t, limits.Cur) })
	done := make(chan struct{})
	r.node.post(func(time.Duration) {
		defer close(done)
		limitDescriptors(t, 1)
		assert.False(t, r.node.closeListener())
		limitDescriptors(t, limits.Cur)
		assert.True(t, r.node.closeListener())
	})
	<-done
}
