package net

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// resumeHandshakes allows new connections again: a request arrived at the last moment and is being served.
func (n *Node) resumeHandshakes() {
	if n.closingSince > 0 {
		n.closingSince = 0
		n.allowHandshakes(true)
	}
}

// allowHandshakes turns new connections at our listener on or off. When they are off, a socket filter drops SYN
// packets; a client that repeats its SYN a second later finds no listener. Packets of handshakes in progress pass. If
// the system refuses the filter, the accept queue is still checked before the listener is closed.
func (n *Node) allowHandshakes(allow bool) {
	fd, err := n.engine.DupListener("tcp", n.cfg.ListenAddr)
	if err != nil {
		return
	}
	defer syscall.Close(fd)
	if allow {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		return
	}
	const (
		flags = 13 // offset of the flags byte in the TCP header
		syn   = 2
		ack   = 16
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: syn},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 18},
	}
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// closeListener closes the listener unless connections are waiting to be accepted, and reports whether it is closed.
// Closing resets connections in the accept queue, so nothing, not even our log output, may come between the check and
// the close.
func (n *Node) closeListener() bool {
	fd, err := n.engine.DupListener("tcp", n.cfg.ListenAddr)
	if err != nil {
		return !isLocalFailure(err) // for any other error it is closed already
	}
	defer syscall.Close(fd)
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && info.Unacked > 0 { // for a listener: the length of its accept queue
		return false
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	return true
}
