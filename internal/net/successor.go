package net

import (
	"errors"
	stdnet "net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// rendezvousPath is the Unix socket at which the two processes of a balancer meet; empty without a shared directory.
func (n *Node) rendezvousPath() string {
	if n.sharedDir == "" {
		return ""
	}
	return filepath.Join(n.sharedDir, "tealtiller-"+strings.ReplaceAll(n.cfg.ListenAddr, "/", "_"))
}

// awaitSuccessor lets new processes connect, of which one at a time may take over. If the socket cannot be created
// now, it is tried again.
func (n *Node) awaitSuccessor() {
	path := n.rendezvousPath()
	_ = os.Remove(path)
	if err := n.listenForSuccessor(path); err != nil {
		n.log.Error("takeover-impossible", "reason", err)
		n.retryAwaitSuccessor(path)
	}
}

// listenRetryInterval is the time between two attempts to create the socket.
const listenRetryInterval = time.Second

// retryAwaitSuccessor repeats the attempt until the socket exists. If another process has created it meanwhile, that
// one keeps it.
func (n *Node) retryAwaitSuccessor(path string) {
	n.deadlines.Set(n.now()+listenRetryInterval, func(time.Duration) {
		if _, err := os.Lstat(path); err == nil || n.stoppedServing() {
			return
		}
		if n.listenForSuccessor(path) != nil {
			n.retryAwaitSuccessor(path)
			return
		}
		n.log.Info("takeover-possible")
	})
}

// listenForSuccessor creates the Unix socket and accepts connections there.
func (n *Node) listenForSuccessor(path string) error {
	l, err := stdnet.ListenUnix("unixpacket", &stdnet.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the file may belong to the other process
	n.successorListener = l
	go n.acceptSuccessors(l)
	return nil
}

// unixAcceptor is the listener for other processes; tests replace it.
type unixAcceptor interface {
	AcceptUnix() (*stdnet.UnixConn, error)
}

// acceptRetryInterval is the pause after a failed accept.
const acceptRetryInterval = 100 * time.Millisecond

// acceptSuccessors accepts new processes until the listener is closed. A failure for want of a descriptor is
// temporary; a process that connected meanwhile is waiting, possibly with clients that it has passed on, so accept is
// tried again.
func (n *Node) acceptSuccessors(l unixAcceptor) {
	<-n.booted
	for {
		c, err := l.AcceptUnix()
		switch {
		case errors.Is(err, stdnet.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
		default:
			n.post(func(now time.Duration) { n.successorConnected(now, c) })
		}
	}
}

// successorConnected links a new process, unless there is one already.
func (n *Node) successorConnected(now time.Duration, c *stdnet.UnixConn) {
	if n.link != nil || n.stoppedServing() {
		_ = c.Close()
		return
	}
	n.log.Info("new-process-joined")
	n.attachLink(&processLink{node: n, conn: c, older: true})
	n.grantDescriptors(followerDescriptors)
	if n.draining { // stopped before the successor connected: hand over at once
		n.beginHandover(now)
	}
}
