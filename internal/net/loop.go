package net

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	stdnet "net"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// socket handles the events of one gnet connection. It is attached to the connection as its context.
type socket interface {
	opened(now time.Duration, c gnet.Conn) gnet.Action
	traffic(now time.Duration)
	detach(reset bool) // the connection must not be used after this call
	closed(now time.Duration, reset bool)
}

// unreadKeeper is implemented by sockets that keep data which has to wait, outside gnet's buffers.
type unreadKeeper interface{ keepUnread() }

// gnetLog passes gnet's errors to the node's log, until the node stops: then gnet reports the closed listener as an
// error.
type gnetLog struct {
	log     *slog.Logger
	stopped <-chan struct{}
}

func (l gnetLog) Debugf(string, ...any) {}

func (l gnetLog) Infof(string, ...any) {}

func (l gnetLog) Warnf(string, ...any) {} // about connections that are closed already

func (l gnetLog) Errorf(format string, args ...any) {
	select {
	case <-l.stopped:
	default:
		l.log.Error("event-loop", "reason", fmt.Sprintf(format, args...))
	}
}

func (l gnetLog) Fatalf(format string, args ...any) { l.Errorf(format, args...) }

// OnBoot stores the engine.
func (n *Node) OnBoot(e gnet.Engine) gnet.Action {
	n.engine = e
	return gnet.None
}

// OnTick is called outside the loop, first when the loop has started. gnet gives access to a loop only through its
// connections, so a connection is opened for the sole purpose of starting the node on the loop.
func (n *Node) OnTick() (time.Duration, gnet.Action) {
	select {
	case <-n.booted: // by the first client
		return 24 * time.Hour, gnet.None
	default:
	}
	err := n.openStartSocket()
	if err == nil {
		return 24 * time.Hour, gnet.None
	}
	if !n.startFailureLogged { // log once: it is tried again every second, and the first client starts the node too
		n.log.Warn("start-waits", "reason", err)
	}
	n.startFailureLogged = true
	return time.Second, gnet.None
}

// startSocket marks the connection opened by OnTick.
type startSocket struct{ socket }

func (n *Node) openStartSocket() error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	defer syscall.Close(pair[1])
	file := os.NewFile(uintptr(pair[0]), "bell")
	defer file.Close()
	c, err := stdnet.FileConn(file)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	_, err = n.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), startSocket{}), c))
	return err
}

// now is the Unix time of the process start, advanced by the monotonic clock. Steps of the wall clock do not move
// deadlines, and with that origin a desk host that started shortly before this process counts as cold.
func (n *Node) now() time.Duration {
	return time.Duration(n.origin.UnixNano()) + time.Since(n.origin)
}

// post runs an event on the loop. It may be called from any goroutine.
func (n *Node) post(event func(now time.Duration)) {
	_ = n.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		n.runEvent(event)
		return nil
	}))
}

// runEvent runs an event on the loop, followed by all deadlines that are due. A failed write closes its connection
// immediately, in the middle of another event; the events that this causes are queued until the current one is over.
func (n *Node) runEvent(event func(now time.Duration)) {
	n.pendingEvents = append(n.pendingEvents, event)
	if n.runningEvents {
		return
	}
	n.runningEvents = true
	for {
		for len(n.pendingEvents) > 0 {
			next := n.pendingEvents[0]
			n.pendingEvents = n.pendingEvents[1:]
			next(n.now())
		}
		now := n.now()
		if at, ok := n.deadlines.Next(); !ok || at > now {
			break
		}
		n.deadlines.Run(now)
	}
	n.runningEvents = false
	n.resetTimer()
}

// resetTimer wakes the loop at the earliest deadline.
func (n *Node) resetTimer() {
	at, ok := n.deadlines.Next()
	if !ok || at == n.timerAt {
		return
	}
	n.timerAt = at
	wait := max(at-n.now(), 0)
	if n.timer == nil {
		n.timer = time.AfterFunc(wait, func() { n.post(func(time.Duration) { n.timerAt = 0 }) })
		return
	}
	n.timer.Reset(wait)
}

// OnOpen is called for accepted, dialled and enrolled connections.
func (n *Node) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if n.loop == nil {
		n.boot(c.EventLoop())
	}
	if _, ok := c.Context().(startSocket); ok {
		return nil, gnet.Close
	}
	s, ok := c.Context().(socket)
	switch {
	case ok:
		n.connections++
		n.dialling--
		n.duplicates++
	case n.adminAddress != "" && c.LocalAddr().String() == n.adminAddress:
		s = &adminConn{node: n}
	default:
		n.connections++
		s = newDownstream(n)
	}
	c.SetContext(s)
	action := gnet.None
	n.runEvent(func(now time.Duration) { action = s.opened(now, c) })
	return nil, action
}

// OnTraffic is called when data has arrived.
func (n *Node) OnTraffic(c gnet.Conn) gnet.Action {
	if s, ok := c.Context().(socket); ok {
		n.runEvent(s.traffic)
	}
	if k, ok := c.Context().(unreadKeeper); ok {
		k.keepUnread()
	}
	return gnet.None
}

// OnClose is called when a connection has ended, also when this process closed it.
func (n *Node) OnClose(c gnet.Conn, err error) gnet.Action {
	s, ok := c.Context().(socket)
	if _, isStart := c.Context().(startSocket); !ok || isStart {
		return gnet.None
	}
	if _, isAdmin := s.(*adminConn); !isAdmin {
		n.connections--
	}
	reset := err != nil && !errors.Is(err, io.EOF)
	s.detach(reset)
	n.runEvent(func(now time.Duration) { s.closed(now, reset) })
	return gnet.None
}
