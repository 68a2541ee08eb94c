package net

import (
	"errors"
	stdnet "net"
	"syscall"
	"time"
)

// This file holds how a new process joins one that already serves at its address.

// errAnotherProcessWaits ends a process that finds two others at its address, neither of which ends.
var errAnotherProcessWaits = errors.New("another process already waits to take over at this address")

const (
	// defaultJoinWait is how long a process that was refused tries again. It covers a handover, which ends 0.5 s after the
	// longest deadline (3 s of it at the most).
	defaultJoinWait = 5 * time.Second
	// joinRetryInterval is the time between two tries.
	joinRetryInterval = 50 * time.Millisecond
	// leaderChangeTime is how long nobody may listen for new processes while the leading process changes.
	leaderChangeTime = 500 * time.Millisecond
	// joinReplyTime is how long the running process may take to accept or refuse a new one. Versions that do not limit
	// descriptors send nothing when they accept.
	joinReplyTime = time.Second
)

// joinRunningProcess connects to a process that already serves at this address. If there is none, a later process may
// join this one. A process that already has a successor refuses another one, which tries again until the handover is
// over. It is called before the listener is opened, so that no client reaches a process that does not know whether it
// leads.
func (n *Node) joinRunningProcess() error {
	path := n.rendezvousPath()
	if path == "" {
		return nil
	}
	start, refusedAt := time.Now(), time.Time{}
	for {
		c, err := stdnet.DialUnix("unixpacket", nil, &stdnet.UnixAddr{Name: path, Net: "unixpacket"})
		switch {
		case err != nil && time.Since(refusedAt) > leaderChangeTime: // no file, or one left by a killed process
			n.awaitSuccessor()
			return nil
		case err == nil && !refused(c):
			n.join(c)
			return nil
		case err == nil:
			_ = c.Close()
			if refusedAt.IsZero() {
				n.log.Warn("waits-for-handover")
			}
			refusedAt = time.Now()
		}
		if time.Since(start) > n.joinWait {
			return errAnotherProcessWaits
		}
		time.Sleep(joinRetryInterval)
	}
}

// join makes this process the successor of the one at the other end.
func (n *Node) join(c *stdnet.UnixConn) {
	n.log.Info("joined-running-process")
	n.leading = false
	n.descriptorShare = followerDescriptors
	n.attachLink(&processLink{node: n, conn: c})
}

// refused reports whether the running process has closed the connection instead of accepting this process with a
// message. The message is left to be read.
func refused(c *stdnet.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(joinReplyTime))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	ended := false
	_ = raw.Read(func(fd uintptr) bool {
		length, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		ended = err != nil || length == 0
		return true
	})
	return ended
}
