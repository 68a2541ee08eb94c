package net

import (
	"math"
	"runtime/debug"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"tealtiller/internal/line"
)

// limitMemory leaves a quarter for what the Go runtime does not count. Two processes have half each.
func (n *Node) limitMemory() {
	limit := n.cfg.MemoryLimitMB << 20 * 3 / 4
	if n.link != nil {
		limit /= 2
	}
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// end closes a connection, by a reset where the other side ended so.
func (n *Node) end(c gnet.Conn, reset bool) {
	if c == nil {
		return
	}
	if reset {
		_ = c.SetLinger(0)
	}
	_ = n.loop.Close(c)
}

// own is how many descriptors are neither a downstream's nor an upstream's: the standard streams, pollers,
// the listeners, discovery, a configuration that is being read. Callers have theirs besides.
const own = 24

// room sees to it that so many more descriptors may be opened. Where they are short, downstream sockets without a whole
// request go, before any client with one is refused: first those that have had their last line, then of those that are
// not in the midst of a line, and then of the others, the one that has been silent for longest.
//
// Danger: a listener that finds no descriptor ends the whole event loop, and so it would if another goroutine
// accepted hundreds before the loop had a chance to count them.
func (n *Node) room(more int) bool {
	return n.clear(more, func(d *downstream) bool { return !d.taken && !d.ending || d.linger })
}

// spare is room while the module is at work. Danger: what lies unread on a downstream socket may be a request, which must not
// be taken then; so only those go on which nothing does.
func (n *Node) spare(more int) bool {
	return n.clear(more, func(d *downstream) bool { return d.linger || !d.taken && !d.ending && !d.unread() })
}

// clear closes downstream sockets that may go, in the order of room.
func (n *Node) clear(more int, may func(*downstream) bool) bool {
	for n.limited() && n.left() < more {
		var silent *downstream
		for _, d := range n.downstreams.All() {
			if d.conn != nil && may(d) && (silent == nil || d.idler(silent)) {
				silent = d
			}
		}
		if silent == nil {
			return false
		}
		if silent.linger || silent.conclude(n.now(), noRequest) { // else a request lay unread there
			n.count.Add("client connections closed: silent, descriptors short")
			silent.release()
		}
	}
	return true
}

// allowed is how many descriptors the system lets this process open; 0 where it does not tell. Danger: the configuration may
// name more, or no limit at all, and then accept, socket and dup fail before any client is asked to make room.
func allowed() int {
	var limits unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limits); err != nil {
		return 0
	}
	return int(min(limits.Cur, math.MaxInt32))
}

// limited tells whether there is a limit of descriptors, of the configuration or of the system.
func (n *Node) limited() bool { return n.cfg.MaxSockets > 0 || n.allowed > 0 }

// left is how many descriptors may still be opened.
func (n *Node) left() int {
	most := n.cfg.MaxSockets
	if n.link != nil {
		most = n.share
	}
	if n.cfg.MaxSockets <= 0 || n.allowed > 0 && n.allowed < most {
		most = n.allowed
	}
	if n.admin != "" {
		most -= mostCallers
	}
	return most - own - n.connections - 2*n.dialling - n.doubled - n.halves
}

// buffered is how much may wait for one peer that does not read, or from one that must wait: of a quarter of
// the memory its part, but two lines at the least.
func (n *Node) buffered() int {
	if n.cfg.MemoryLimitMB <= 0 || n.cfg.MaxSockets <= 0 {
		return mostBuffered
	}
	return min(max(int(n.cfg.MemoryLimitMB<<20)/4/n.cfg.MaxSockets, 2*line.MaxLength), mostBuffered)
}

const mostBuffered = 256 << 10

// write sends bytes on a connection; one that fails or whose peer does not read is ended.
func (n *Node) write(c gnet.Conn, data []byte) {
	if c == nil {
		return
	}
	if _, err := c.Write(data); err != nil {
		return // closed by gnet, and told to OnClose
	}
	if c.OutboundBuffered() > n.buffered() {
		n.count.Add("sockets ended: peer does not read")
		n.end(c, true)
	}
}
