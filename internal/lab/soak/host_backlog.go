package soak

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a host that accepts no connections.
const (
	normalBacklog = 4096                  // accept backlog while the host accepts connections
	maxFillers    = 4                     // connections opened to fill the backlog
	fillerWait    = 30 * time.Millisecond // without a connection after this time the backlog counts as full
)

// stopAccepting makes the host accept no connections until a time. Its accept queue is kept full, so the kernel drops
// incoming SYNs, and a connection comes up when its SYN is retransmitted, one second later.
func (h *host) stopAccepting(until time.Duration) {
	h.mu.Lock()
	l, acceptAgain := h.listener.(*net.TCPListener), make(chan struct{})
	h.acceptAgain = acceptAgain
	h.mu.Unlock()
	defer close(acceptAgain)
	_ = l.SetDeadline(time.Unix(1, 0)) // ends the waiting accept
	setBacklog(l, 0)
	fillers := fillBacklog(l.Addr().String())
	h.world.sleepUntil(until)
	setBacklog(l, normalBacklog)
	// A connection that entered the queue before it was full would be read only now; it is no attempt.
	_ = l.SetDeadline(time.Now().Add(time.Millisecond))
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		reset(c)
	}
	for _, c := range fillers {
		_ = c.Close()
	}
	_ = l.SetDeadline(time.Time{})
}

func setBacklog(l *net.TCPListener, backlog int) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
	}
}

// fillBacklog opens connections until one finds the queue full.
func fillBacklog(address string) (fillers []net.Conn) {
	for range maxFillers {
		c, err := net.DialTimeout("tcp", address, fillerWait)
		if err != nil {
			break
		}
		fillers = append(fillers, c)
	}
	return fillers
}
