package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain runs the program itself if a test has started it as such.
func TestMain(m *testing.M) {
	if os.Getenv("TEST_AS_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	code := m.Run()
	_ = os.RemoveAll(buildFolder)
	os.Exit(code)
}

// configuration writes the configuration of a balancer whose discovery does not answer.
func configuration(t *testing.T) (path string) {
	t.Helper()
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = discovery.Close() })
	path = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"7",
		"limits":{"sockets":100},"known":{"revision":1,"complete":true,"members":[]},"settings":{"allowed":{"tryLimit":2},"discovery":"subscribe",
		"tick":4000000,"siblings":1,"familyInfo":{"mode":"pass"},
		"grades":[{"name":"lookup","aim":300000000,"deadline":1200000000,"effect":"safe","dedupScope":"all"}],
		"invariants":{"askWithin":10000000000,"fall":1000000000,"stopSendingWithin":300000000,"warmAfter":22000000000}}}`,
		discovery.Addr().String()), 0o600))
	return path
}

// program is a balancer process that is not started yet, run by the given command if there is one.
func program(t *testing.T, config string, wrapper ...string) *exec.Cmd {
	command := append(wrapper, os.Args[0])
	balancer := exec.Command(command[0], command[1:]...)
	balancer.Env = append(os.Environ(), "TEST_AS_PROGRAM=1", "EDGE_CONFIG="+config, "TMPDIR="+t.TempDir(), "EDGE_OPERATOR=")
	t.Cleanup(func() {
		if balancer.Process != nil {
			_ = balancer.Process.Kill()
		}
	})
	return balancer
}

// awaitReady reads a log until the balancer is ready.
func awaitReady(t *testing.T, log io.Reader) *bufio.Scanner {
	t.Helper()
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=ready") {
	}
	require.NoError(t, lines.Err())
	return lines
}

// start starts a balancer whose discovery does not answer, by the given command if there is one, and returns when it
// is ready.
func start(t *testing.T, wrapper ...string) (balancer *exec.Cmd, config string) {
	t.Helper()
	config = configuration(t)
	balancer = program(t, config, wrapper...)
	log, err := balancer.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, balancer.Start())
	lines := awaitReady(t, log)
	go func() { // further output must not fill the pipe
		for lines.Scan() {
		}
	}()
	return balancer, config
}

// SIGTERM ends the balancer gracefully while a reload blocks and other signals are queued behind it.
func TestStopDuringBlockedReload(t *testing.T) {
	balancer, config := start(t)
	require.NoError(t, os.Remove(config))
	require.NoError(t, syscall.Mkfifo(config, 0o600)) // a reader blocks until somebody writes
	require.NoError(t, balancer.Process.Signal(syscall.SIGHUP))
	for range 8 {
		require.NoError(t, balancer.Process.Signal(syscall.SIGUSR1))
		require.NoError(t, balancer.Process.Signal(syscall.SIGHUP))
	}
	require.NoError(t, balancer.Process.Signal(syscall.SIGTERM))
	require.NoError(t, balancer.Process.Signal(syscall.SIGTERM)) // a second signal changes nothing
	ended := make(chan error, 1)
	go func() { ended <- balancer.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("balancer still running 20 s after SIGTERM")
	}
}

// The balancer keeps running when nobody reads its log any more.
func TestServingWithoutLogReader(t *testing.T) {
	logReader, logWriter, err := os.Pipe()
	require.NoError(t, err)
	config := configuration(t)
	balancer := program(t, config)
	balancer.Stderr = logWriter
	require.NoError(t, balancer.Start())
	require.NoError(t, logWriter.Close())
	awaitReady(t, logReader)
	require.NoError(t, logReader.Close())
	require.NoError(t, balancer.Process.Signal(syscall.SIGUSR1)) // writes metrics to the log
	require.NoError(t, os.Remove(config))
	require.NoError(t, balancer.Process.Signal(syscall.SIGHUP)) // logs a refused configuration
	require.NoError(t, balancer.Process.Signal(syscall.SIGTERM))
	require.NoError(t, balancer.Wait())
}
