package net

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tealtiller/internal/line"
)

// settled is how long no OPEN must have come before a draining node stops; clients keep coming for up to
// 0.4 s after the signal.
const settled, drainCheck = 600 * time.Millisecond, 20 * time.Millisecond

// mostWait is the longest deadline that who stops us waits for, before it kills us 0.7 s later.
const mostWait = 3 * time.Second

// answerBy is how long after the longest deadline what is still owed has its answer. Clients come for up to 0.4 s and may all
// have their time; of the 0.7 s what is left is for the last looks and for a machine that holds us up by 0.15 s meanwhile.
const answerBy = 440 * time.Millisecond

// Drain ends the node in good order; it may be called from any goroutine.
func (n *Node) Drain() {
	<-n.booted
	n.post(func(now time.Duration) {
		if n.stopping {
			return
		}
		n.stopping, n.lastOpen = true, max(n.lastOpen, now)
		n.log.Info("draining", "operations", n.table.Len())
		n.stepBack()
		n.drained(now, n.latest(now))
	})
}

// latest is the moment up to which what was taken may be served.
func (n *Node) latest(now time.Duration) time.Duration {
	return now + min(n.cfg.Settings.MaxDeadline, mostWait) + answerBy
}

// drained ends the process once nothing is left to do here, and looks again until then.
func (n *Node) drained(now, latest time.Duration) {
	if n.finished(now, latest) {
		n.leave()
		return
	}
	n.deadlines.Set(now+drainCheck, func(now time.Duration) { n.drained(now, latest) })
}

// finished tells whether all taken is answered and clients have ceased to come. Where connections end here, those that stand
// are moved, also those that have come up since, and it is finished at a time at the latest.
//
// Danger: where packets pass through, our end is the end of what stands, and its clients would come again; as
// long as we run it is carried on. Whoever stops us for good lets its packets reach another balancer.
func (n *Node) finished(now, latest time.Duration) bool {
	if n.link != nil && !n.leading { // the other process goes on with all that stands
		return n.handOver(now)
	}
	if !n.cfg.Settings.PassThrough {
		for _, u := range n.upstreams.All() {
			if u.up {
				u.move(now)
			}
		}
	}
	if now >= latest && !(n.cfg.Settings.PassThrough && n.overdue) { // once where it goes on: see tooLate
		n.overdue = true
		n.answerOwed(now)
		if n.cfg.Settings.PassThrough {
			n.dismissResting(now)
		}
	}
	answered := n.table.Unanswered() == 0 && now-n.lastOpen >= settled && !n.midLine()
	if done := n.cfg.Settings.PassThrough && answered && n.table.Len() == 0 ||
		!n.cfg.Settings.PassThrough && (answered || now >= latest); !done {
		n.reopen()
		return false
	}
	return n.closeOut(now, latest)
}

// tooLate tells that a request is not begun any more. Danger: where packets pass through, a drain goes on after the latest
// moment, but may be killed in any one after it, and what it had taken would be lost. Open connections are carried on.
func (n *Node) tooLate(o line.OpenRequest) bool {
	return n.overdue && n.leading && n.cfg.Settings.PassThrough && !o.MidFlow && o.HostID == ""
}

// dismissResting tells clients that rest to go. Danger: where packets pass through, this process may be killed in any moment
// from now on, and a request that came just before would be lost.
func (n *Node) dismissResting(now time.Duration) {
	for _, d := range n.downstreams.All() {
		if d.conclude(now, n.busyLine(0)) {
			n.count.Add("resting clients told to go")
		}
	}
}

// midLine tells whether a client is in the midst of its first line: a request that comes in pieces is still coming.
func (n *Node) midLine() bool {
	for _, d := range n.downstreams.All() {
		if d.conn != nil && !d.taken && !d.ending && d.buffered() > 0 {
			return true
		}
	}
	return false
}

// lastGoodbye is how long those that are told to go have at the end, to read so and to close their side.
const lastGoodbye = 300 * time.Millisecond

// closeOut stops new handshakes, closes the side of each client that rests, and tells whether all have gone or had their time.
//
// Danger: the end of the process resets what is unread and what waits to be accepted. A request may come on a resting
// connection, or a client connect, in that very moment: so no new connection begins any more, those that have begun are
// accepted, and what lies unread is read, before the listener ends.
func (n *Node) closeOut(now, latest time.Duration) bool {
	if n.closingSince == 0 {
		n.closingSince, n.closeBy = now, now+lastGoodbye
		if !n.cfg.Settings.PassThrough { // who is killed soon after has no more time
			n.closeBy = min(n.closeBy, latest+3*drainCheck)
		}
		n.admitHandshakes(false)
	}
	for _, d := range n.downstreams.All() {
		d.conclude(now, n.busyLine(0))
	}
	if now >= n.closeBy {
		n.answerOwed(now) // danger: one that lay there was taken just now
		return true
	}
	if n.table.Unanswered() > 0 { // a request lay there
		return false
	}
	waits := now-n.closingSince < drainCheck || n.downstreams.Len() > 0
	return !waits && n.shut()
}

// reopen lets connections begin again: a request was read at the last moment, and what comes of it is carried on.
func (n *Node) reopen() {
	if n.closingSince > 0 {
		n.closingSince = 0
		n.admitHandshakes(true)
	}
}

// admitHandshakes lets connections begin at our listener, or none: a first packet that asks for one is then dropped, and its sender,
// who asks again after a second, finds nobody. Packets of those that have begun pass. Where the system refuses that, what
// remains is to look at the queue.
func (n *Node) admitHandshakes(open bool) {
	fd, err := n.engine.DupListener("tcp", n.cfg.ListenAddr)
	if err != nil {
		return
	}
	defer syscall.Close(fd)
	if open {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		return
	}
	const flags, syn, ack = 13, 2, 16 // the byte of a TCP header, and two of its bits
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

// gone tells that the process is ending.
func (n *Node) gone() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

// answerOwed gives up what is still owed its answer at the latest moment. Danger: who is killed next answers nobody.
func (n *Node) answerOwed(now time.Duration) {
	for _, d := range n.downstreams.All() {
		if d.conn != nil && d.taken && !d.ending && (d.upstream == nil || !d.upstream.up) {
			n.count.Add("operations answered: failed, at the end")
			d.answer(now, "ERR\r\n")
			n.table.ProtocolError(now, d.request)
		}
	}
}

// leave ends the process.
func (n *Node) leave() {
	for _, d := range n.downstreams.All() {
		d.release()
	}
	n.report()
	if n.last = n.link; n.last != nil {
		n.last.close()
	}
	n.watch.watcher.Watch(n.now(), false) // whose end is no failure
	close(n.stopped)
}
