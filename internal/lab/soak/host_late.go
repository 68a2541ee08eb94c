package soak

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Of a host that takes no connections: how long its queue is when it does, how many connections of its own fill the queue, and how
// long one may take to find it full.
const (
	normalBacklog = 4096
	maxFillers    = 4
	fillerWait    = 30 * time.Millisecond
)

// stopAccepting has the host take no connections until a moment. Its queue is full meanwhile, so the system drops what asks for
// one, and it comes up when it is asked for again, a second later.
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
	// What came into the queue before it was full would be read only now, and is no attempt.
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

// fillBacklog makes connections until one finds the queue full.
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
