package net

import (
	stdnet "net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"tealtiller/internal/handover"
)

// link joins the two processes of one balancer while a new version takes over. They listen at the same address,
// and the kernel deals out the clients to both; one of them leads, and the other passes on the clients that
// reach it. The older one leads until it is told to stop; it shares out the descriptors.
//
// What is written is written by a goroutine, what is read is read by another: only they may wait.
type link struct {
	node    *Node
	conn    *stdnet.UnixConn
	elder   bool // we are the older one
	out     chan parcel
	flushed chan struct{} // closed when all of out is written, or the link is broken
	ended   bool
}

// mostParcels is how many may wait to be written. What finds no place stays here and is tried again.
const mostParcels = 256

func (n *Node) linked(l *link) {
	n.count.Add("processes joined")
	n.link = l
	n.limitMemory()
	l.out, l.flushed = make(chan parcel, mostParcels), make(chan struct{})
	go l.write()
	go l.read()
}

// unlinked takes that the other process has ended, or is no use. Whoever is left leads, and awaits the next one.
func (n *Node) unlinked(l *link) {
	if n.link != l {
		return
	}
	l.close()
	n.link, n.share = nil, 0
	n.limitMemory()
	n.log.Info("other-process-ended")
	if !n.leading {
		n.leading = true
	}
	if !l.elder && !n.stopping {
		n.await()
	}
}

// close ends the link once what waits is written.
func (l *link) close() {
	if !l.ended {
		l.ended = true
		close(l.out)
	}
}

func (l *link) write() {
	defer close(l.flushed)
	defer l.conn.Close()
	broken := false
	for p := range l.out {
		if broken = broken || !p.write(l); broken {
			p.returned()
			_ = l.conn.Close() // told to read, which tells the loop
		}
		p.close()
	}
}

// send hands a message to the writer, with duplicates of the connections' descriptors; false if it cannot be sent.
func (l *link) send(m handover.Message, conns ...interface{ Dup() (int, error) }) bool {
	p := parcel{text: m.Append(nil), last: lastLines[m.Kind]}
	for _, c := range conns {
		if fd, err := c.Dup(); err == nil {
			p.files = append(p.files, fd)
		}
	}
	if !l.ended && len(p.files) == len(conns) && len(p.text) <= handover.MaxMessageSize {
		select {
		case l.out <- p:
			return true
		default:
		}
	}
	p.close()
	return false
}

func (l *link) read() {
	<-l.node.booted
	buf, rights := make([]byte, handover.MaxMessageSize), make([]byte, unix.CmsgSpace(2*4))
	for {
		n, r, _, _, err := l.conn.ReadMsgUnix(buf, rights)
		if err != nil {
			break
		}
		conns := received(rights[:r])
		m, err := handover.Parse(buf[:n])
		if err != nil || len(conns) != m.Descriptors() {
			for _, c := range conns {
				_ = c.Close()
			}
			l.node.log.Error("other-process-unreadable")
			break
		}
		l.take(m, conns)
	}
	_ = l.conn.Close()
	l.node.post(func(time.Duration) { l.node.unlinked(l) })
}

// received makes connections of the descriptors that came along.
func received(rights []byte) (conns []stdnet.Conn) {
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

// take takes a message. Sockets are enrolled one after the other: a few descriptors more at a time, no more.
func (l *link) take(m handover.Message, conns []stdnet.Conn) {
	n := l.node
	sockets := make(chan []socket, 1)
	n.post(func(now time.Duration) {
		var s []socket
		switch m.Kind {
		case handover.KindDescriptorLimit:
			n.share = m.Number
		case handover.KindActivate:
			n.log.Info("takes-over")
			n.leading = true
			n.table.StartAsSuccessor(now)
		case handover.KindIdleClient:
			s = n.inheritDownstream(now, m)
		case handover.KindEstablished:
			s = n.inheritStanding(now, m)
		}
		n.dialling += len(s)
		sockets <- s
	})
	for i, s := range <-sockets {
		if err := n.enroll(s, conns[i]); err != nil {
			n.lost(s, err)
		}
	}
	if m.Kind == handover.KindEstablished { // one that could not be read: both ends close
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
