package net

import (
	stdnet "net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"tealtiller/internal/handover"
)

// processLink connects the two processes of one balancer while a new version takes over. Both listen at the same
// address, and the kernel distributes clients between them. One process leads; the other passes on the clients that
// reach it. The older process leads until it is stopped, and it allots the descriptors.
//
// Messages are written by one goroutine and read by another, since both may block.
type processLink struct {
	node     *Node
	conn     *stdnet.UnixConn
	older    bool // this process is the older one
	outgoing chan outgoingMessage
	flushed  chan struct{} // closed when all outgoing messages are written or the link is broken
	readAll  chan struct{} // closed when all messages of the other process are read
	limitAt  time.Time     // when a link that is to end is given up
	closed   bool
}

// maxQueuedMessages limits the messages waiting to be written. A socket that does not fit stays in this process and is
// passed on later.
const maxQueuedMessages = 256

// attachLink starts the link to the other process.
func (n *Node) attachLink(l *processLink) {
	n.counters.Add("processes joined")
	n.link = l
	n.limitMemory()
	l.outgoing, l.flushed, l.readAll = make(chan outgoingMessage, maxQueuedMessages), make(chan struct{}), make(chan struct{})
	go l.write()
	go l.read()
}

// detachLink handles the end of the other process, or an unusable link. The remaining process leads, and waits for the
// next one.
func (n *Node) detachLink(l *processLink) {
	if n.link != l {
		return
	}
	l.close()
	n.link, n.descriptorShare = nil, 0
	n.limitMemory()
	n.log.Info("other-process-ended")
	if !n.leading {
		n.leading = true
	}
	if !l.older && !n.draining {
		n.awaitSuccessor()
	}
}

// close ends the link once the queued messages are written.
func (l *processLink) close() {
	if !l.closed {
		l.closed = true
		close(l.outgoing)
	}
}

// limitTo ends the link after a time. Messages that are not written by then fail; their clients get their last lines from
// this process. Without a limit, another process that hangs would keep this one, and its clients, until it is killed.
func (l *processLink) limitTo(remaining time.Duration) {
	l.limitAt = time.Now().Add(remaining)
	_ = l.conn.SetDeadline(l.limitAt) // fails only if the link is closed
}

// awaitEnd returns when both processes have read all messages of the other one, or the link is broken or over its limit.
func (l *processLink) awaitEnd() {
	<-l.flushed
	select {
	case <-l.readAll:
	case <-time.After(time.Until(l.limitAt)): // a message may have come too late for the event loop
	}
}

// write ends with the end of our messages only: those that the other process has sent meanwhile hold its clients.
func (l *processLink) write() {
	defer close(l.flushed)
	defer l.conn.CloseWrite()
	broken := false
	for m := range l.outgoing {
		if broken = broken || !m.writeTo(l); broken {
			m.answerFallback()
			_ = l.conn.Close() // makes read fail, which notifies the loop
		}
		m.close()
	}
}

// send queues a message together with duplicates of the connections' descriptors. It returns false if that is not
// possible.
func (l *processLink) send(m handover.Message, conns ...interface{ Dup() (int, error) }) bool {
	out := outgoingMessage{text: m.Append(nil), fallbackLine: fallbackLines[m.Kind]}
	for _, c := range conns {
		if fd, err := c.Dup(); err == nil {
			out.descriptors = append(out.descriptors, fd)
		}
	}
	if !l.closed && len(out.descriptors) == len(conns) && len(out.text) <= handover.MaxMessageSize {
		select {
		case l.outgoing <- out:
			return true
		default:
		}
	}
	out.close()
	return false
}

func (l *processLink) read() {
	defer close(l.readAll)
	<-l.node.booted
	buf, rights := make([]byte, handover.MaxMessageSize), make([]byte, unix.CmsgSpace(2*4))
	for {
		n, r, _, _, err := l.conn.ReadMsgUnix(buf, rights)
		if err != nil {
			break
		}
		conns := connsFromRights(rights[:r])
		m, err := handover.Parse(buf[:n])
		if err != nil || len(conns) != m.Descriptors() {
			for _, c := range conns {
				_ = c.Close()
			}
			l.node.log.Error("other-process-unreadable")
			break
		}
		l.handle(m, conns)
	}
	_ = l.conn.Close()
	l.node.post(func(time.Duration) { l.node.detachLink(l) })
}

// connsFromRights returns connections for the descriptors received with a message.
func connsFromRights(rights []byte) (conns []stdnet.Conn) {
	messages, _ := unix.ParseSocketControlMessage(rights)
	for _, m := range messages {
		files, _ := unix.ParseUnixRights(&m)
		for _, fd := range files {
			file := os.NewFile(uintptr(fd), "handed over")
			if c, err := stdnet.FileConn(file); err == nil {
				conns = append(conns, c)
			}
			_ = file.Close()
		}
	}
	return conns
}

// handle processes a received message. Sockets are enrolled one after the other, so that only a few additional
// descriptors are open at a time.
func (l *processLink) handle(m handover.Message, conns []stdnet.Conn) {
	n := l.node
	sockets := make(chan []socket, 1)
	n.post(func(now time.Duration) {
		s := l.receive(now, m)
		n.dialling += len(s)
		sockets <- s
	})
	var received []socket
	select {
	case received = <-sockets:
	case <-n.stopped: // the event loop ends with its listener
	}
	if len(received) < len(conns) {
		refuseInherited(m.Kind, conns)
		return
	}
	for i, s := range received {
		if err := n.enrollInherited(s, conns[i]); err != nil {
			n.dialFailed(s, err)
		}
	}
}

// receive processes a message on the loop, and returns the sockets for its connections. There are none if they cannot be
// taken over: the process has stopped, or the OPEN line could not be parsed.
func (l *processLink) receive(now time.Duration, m handover.Message) []socket {
	n := l.node
	if n.stoppedServing() {
		return nil
	}
	switch m.Kind {
	case handover.KindDescriptorLimit:
		n.descriptorShare = m.Number
	case handover.KindActivate:
		n.log.Info("takes-over")
		n.leading = true
		n.table.AddUsedIDs(m.UsedIDs)
		n.table.StartAsSuccessor(now)
	case handover.KindIdleClient:
		return n.inheritDownstream(now, m)
	case handover.KindEstablished:
		return n.inheritEstablished(now, m)
	}
	return nil
}

// refuseInherited tells the client of connections that cannot be taken over to come again, and closes them.
func refuseInherited(kind handover.Kind, conns []stdnet.Conn) {
	for i, c := range conns {
		if raw, err := c.(*stdnet.TCPConn).SyscallConn(); i == 0 && err == nil {
			_ = raw.Control(func(fd uintptr) { writeFallback(int(fd), fallbackLines[kind]) })
		}
		_ = c.Close()
	}
}
