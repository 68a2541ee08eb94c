package net

import (
	"bytes"
	stdnet "net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tealtiller/internal/handover"
	"tealtiller/internal/line"
	"tealtiller/policy"
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

// parcel is a message with the descriptors that go along, which are ours until it is written.
type parcel struct {
	text  []byte
	files []int
}

// mostParcels is how many may wait to be written. What finds no place stays here and is tried again.
const mostParcels = 256

// rendezvous is where the two processes of a balancer meet; empty where they have no folder in common.
func (n *Node) rendezvous() string {
	if n.folder == "" {
		return ""
	}
	return filepath.Join(n.folder, "tealtiller-"+strings.ReplaceAll(n.cfg.Listen, "/", "_"))
}

// join joins the process that serves already. Without one, one that comes later may join us. It is called before
// the listener is up, so that no client reaches a process that does not know whether it leads.
func (n *Node) join() {
	path := n.rendezvous()
	if path == "" {
		return
	}
	c, err := stdnet.DialUnix("unixpacket", nil, &stdnet.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil { // nobody listens there: no file, or one that a killed process left
		n.await()
		return
	}
	n.log.Info("joined-running-process")
	n.leading = false
	n.share = apprentice
	n.linked(&link{node: n, conn: c})
}

// await has a new version meet us, one at a time.
func (n *Node) await() {
	path := n.rendezvous()
	_ = os.Remove(path)
	l, err := stdnet.ListenUnix("unixpacket", &stdnet.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		n.log.Error("takeover-impossible", "reason", err)
		return
	}
	l.SetUnlinkOnClose(false) // danger: by then the file may be the other process's
	n.awaiting = l
	go func() {
		<-n.booted
		for {
			c, err := l.AcceptUnix()
			if err != nil {
				return
			}
			n.post(func(time.Duration) {
				if n.link != nil || n.gone() {
					_ = c.Close()
					return
				}
				n.log.Info("new-process-joined")
				n.linked(&link{node: n, conn: c, elder: true})
				n.shareOut(apprentice)
				if n.stopping { // told before it came: what stands here goes on there
					n.stepBack()
				}
			})
		}
	}()
}

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
		if !broken {
			_, _, err := l.conn.WriteMsgUnix(p.text, unix.UnixRights(p.files...), nil)
			broken = err != nil
		}
		for _, fd := range p.files {
			_ = syscall.Close(fd)
		}
		if broken {
			_ = l.conn.Close() // told to read, which tells the loop
		}
	}
}

// send hands a message to the writer, with duplicates of the connections' descriptors; false if it cannot be sent.
func (l *link) send(m handover.Message, conns ...interface{ Dup() (int, error) }) bool {
	p := parcel{text: m.Append(nil)}
	for _, c := range conns {
		if fd, err := c.Dup(); err == nil {
			p.files = append(p.files, fd)
		}
	}
	if !l.ended && len(p.files) == len(conns) && len(p.text) <= handover.Most {
		select {
		case l.out <- p:
			return true
		default:
		}
	}
	for _, fd := range p.files {
		_ = syscall.Close(fd)
	}
	return false
}

func (l *link) read() {
	<-l.node.booted
	buf, rights := make([]byte, handover.Most), make([]byte, unix.CmsgSpace(2*4))
	for {
		n, r, _, _, err := l.conn.ReadMsgUnix(buf, rights)
		if err != nil {
			break
		}
		conns := received(rights[:r])
		m, err := handover.Parse(buf[:n])
		if err != nil || len(conns) != m.Files() {
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
		case handover.Room:
			n.share = m.Number
		case handover.Lead:
			n.log.Info("takes-over")
			n.leading = true
			n.table.Succeed(now)
		case handover.Front:
			s = n.inheritFront(now, m)
		case handover.Stand:
			s = n.inheritStanding(now, m)
		}
		n.dialling += len(s)
		sockets <- s
	})
	for i, s := range <-sockets {
		if err := n.enroll(s, conns[i]); err != nil {
			n.lost(s)
		}
	}
	if m.Kind == handover.Stand { // one that could not be read: both ends close
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

func (n *Node) inheritFront(now time.Duration, m handover.Message) []socket {
	f := newFront(n)
	f.kept = m.FromClient
	f.waited = min(time.Duration(m.Number)*time.Millisecond, n.patience)
	return []socket{f}
}

// inheritStanding goes on with a connection that stands.
func (n *Node) inheritStanding(now time.Duration, m handover.Message) []socket {
	o, err := line.ParseOpening(m.Opening)
	if err != nil {
		return nil
	}
	n.count.Add("operations taken over")
	f := newFront(n)
	f.opening, f.taken, f.kept = o, true, m.FromClient
	d := &desk{node: n, front: f, server: m.Server, last: policy.Reset, cancel: func() {}, sent: true, up: true, upAt: now}
	d.kept = m.FromDesk
	d.id = n.desks.Add(d)
	f.desk = d
	n.delays.of(d.server).fresh = true
	f.op = n.table.Inherit(now, f.id, n.request(o), d.server)
	return []socket{f, d}
}

// pass passes a client's socket on to the process that leads, with the desk host's if a connection stands. What is
// owed an answer, or has bytes that could not be written yet, stays for now; the other's end is told nobody here.
func (f *front) passOn(now time.Duration) bool {
	n, d := f.node, f.desk
	if n.link == nil || f.conn == nil || f.ending || f.conn.OutboundBuffered() > 0 {
		return false
	}
	kept := bytes.Clone(f.peek())
	switch {
	case !f.taken:
		silent := (now - f.since).Milliseconds()
		if !n.link.send(handover.Message{Kind: handover.Front, Number: int(silent), FromClient: kept}, f.conn) {
			return false
		}
		n.count.Add("front sockets passed on")
	case d != nil && d.up && d.conn != nil && d.conn.OutboundBuffered() == 0:
		m := handover.Message{Kind: handover.Stand, Server: d.server, Opening: f.opening.Text(), FromClient: kept,
			FromDesk: bytes.Clone(d.peek())}
		if !n.link.send(m, f.conn, d.conn) {
			return false
		}
		n.count.Add("operations handed to the new process")
		f.ending = true
		d.drop(false)
		n.table.Release(now, f.op)
	default:
		return false
	}
	f.ending = true
	return true
}

// apprentice is how many descriptors the younger process has before it leads: its own needs, discovery, probes, a
// few clients on their way.
const apprentice = own + mostCallers + 12

// shareOut tells the younger process how many descriptors it may have; the rest is for us.
func (n *Node) shareOut(most int) {
	if n.cfg.Sockets > 0 && n.link.send(handover.Message{Kind: handover.Room, Number: most}) {
		n.share = n.cfg.Sockets - most
	}
}

// stepBack has the younger process lead, and hands over to it.
func (n *Node) stepBack() {
	if n.link == nil || !n.leading || !n.link.send(handover.Message{Kind: handover.Lead}) {
		return
	}
	n.log.Info("hands-over")
	n.leading = false
}

// handOver passes on what can be, and tells whether all is; then the listener has ended too.
func (n *Node) handOver(now time.Duration) bool {
	for _, f := range n.fronts.All() {
		if f.passOn(now) {
			n.end(f.conn, false)
		}
	}
	if n.link != nil && n.link.elder {
		if needs := n.share - n.left() + apprentice; needs < n.share { // what has gone makes room there
			n.shareOut(n.cfg.Sockets - needs)
		}
	}
	return n.fronts.Len() == 0 && n.table.Len() == 0 && n.shut()
}

// shut ends the listener if nobody waits there. Danger: ending it resets those that do, so nothing may come between
// the question and the end, not even our report.
func (n *Node) shut() bool {
	fd, err := n.engine.DupListener("tcp", n.cfg.Listen)
	if err != nil {
		return true
	}
	defer syscall.Close(fd)
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && info.Unacked > 0 { // of a listener: the length of its queue
		return false
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	return true
}
