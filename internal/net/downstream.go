package net

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/line"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// downstream is the client's side of a request.
type downstream struct {
	node *Node
	id   slot.ID
	inbound
	request  slot.ID
	opening  line.OpenRequest
	taken    bool // its OPEN came: lines that follow wait for UP
	upstream *upstream
	ending   bool // we have said our last; what still comes is thrown away
	linger   bool
	half     *half              // the client has ended its sending only
	since    time.Duration      // silent since: it came, was last answered, or we have said our last
	waited   time.Duration      // silent before it came to this process
	limit    *deadline.Deadline // of its silence
}

func newDownstream(n *Node) *downstream {
	d := &downstream{node: n}
	d.id = n.downstreams.Add(d)
	return d
}

func (d *downstream) opened(now time.Duration, c gnet.Conn) gnet.Action {
	d.node.count.Add("client connections accepted")
	d.conn = c
	_ = c.SetNoDelay(true) // danger: a last line that the system holds back goes with the connection
	if d.taken {           // it stands: the upstream follows
		return gnet.None
	}
	d.since = now - d.waited
	if !d.node.leading && d.passOn(now) {
		return gnet.Close
	}
	d.conn = nil // not to be dropped for its own sake
	enough := d.node.room(0)
	d.conn = c
	if !enough {
		d.node.count.Add("client connections refused: too many")
		d.node.trace("client-refused", "reason", noDescriptors, "back", shortage)
		d.say(d.node.busyLine(shortage))
		if d.finish(now); d.node.left() < -overdrawn {
			d.release()
		}
		return gnet.None
	}
	d.silent(now, d.node.patience-d.waited, noRequest)
	d.traffic(now)
	return gnet.None
}

// overdrawn is how many clients that were told BUSY for want of a descriptor may take one of our own needs until they
// have read so.
const overdrawn = 4

// atOnce is how many commands a client may send before it has read the answers.
const atOnce = 16

// traffic reads lines until the first that must wait.
func (d *downstream) traffic(now time.Duration) {
	commands := 0
	for d.conn != nil && d.buffered() > 0 {
		if d.ending {
			d.discard(-1)
			return
		}
		if d.taken {
			d.relay(now)
			return
		}
		buf := d.peek()
		text, err := line.Next(buf)
		if err != nil {
			d.malformed(now, err)
			return
		}
		if len(text) == 0 {
			return
		}
		if commands++; commands > atOnce {
			d.malformed(now, errors.New("too many commands at once"))
			return
		}
		d.first(now, text)
		if d.conn != nil {
			d.discard(len(text))
		}
	}
}

// first answers a line of a downstream socket that has not opened a connection yet.
func (d *downstream) first(now time.Duration, text []byte) {
	kind, _ := line.Parse(text)
	switch kind {
	case line.Ping, line.Stats:
		d.node.count.Add("probes answered")
		switch {
		case d.node.stopping, d.node.awaitsList(now):
			d.say("ERR\r\n")
		case kind == line.Ping:
			d.say("PONG\r\n")
		default:
			d.say(fmt.Sprintf("PONG inflight=%d\r\n", d.node.table.Len()))
		}
		d.silent(now, d.node.patience, noRequest)
	case line.Open:
		opening, err := line.ParseOpenRequest(text)
		if err == nil {
			err = d.node.refusal(opening)
		}
		if err != nil {
			d.malformed(now, err)
			return
		}
		d.open(now, opening)
	default:
		d.malformed(now, fmt.Errorf("want OPEN, PING or STATS"))
	}
}

// refusal tells what speaks against an opening that can be read.
func (n *Node) refusal(o line.OpenRequest) error {
	if _, known := n.cfg.Settings.Policy.Classes[o.Class]; !known {
		n.table.CountUnknownClass(o.Class)
		return fmt.Errorf("no class %q", o.Class)
	}
	if n.table.IsOpen(o.ID) {
		return fmt.Errorf("an operation of id %s is open", o.ID)
	}
	return nil
}

// shortage is when a client may come back that found no descriptor left: by then those who say nothing are gone.
const shortage = 500 * time.Millisecond

// busyLine refuses; where the settings allow it, it tells when to come back.
func (n *Node) busyLine(retryAfter time.Duration) string {
	if retryAfter <= 0 || !n.cfg.Settings.SendRetryAfter {
		return "BUSY\r\n"
	}
	return fmt.Sprintf("BUSY %d\r\n", (retryAfter+time.Millisecond-1)/time.Millisecond)
}

func (d *downstream) busy(now, retryAfter time.Duration) { d.answer(now, d.node.busyLine(retryAfter)) }

// margin is taken off a client's time, for the way of our answer.
const margin = 20 * time.Millisecond

func (d *downstream) open(now time.Duration, o line.OpenRequest) {
	n := d.node
	d.opening, d.taken = o, true
	n.lastOpen = now
	if n.tooLate(o) {
		n.count.Add("operations refused: after the latest moment")
		n.table.CountRejected(o.Class)
		d.busy(now, 0)
		return
	}
	if !n.room(2) { // danger: a dial without a descriptor would look like an ill host
		n.count.Add("operations refused: no descriptors")
		n.table.CountRejected(o.Class)
		d.traceRefusal(noDescriptors, shortage)
		d.busy(now, shortage)
		return
	}
	n.deadlines.Stop(d.limit)
	n.count.Add("operations taken")
	n.trace("taken", "id", o.ID, "key", n.groupKey(o), "group", o.Group, "class", o.Class, "wait", o.Timeout, "returned", o.Returned,
		"mid", o.MidFlow, "at", o.HostID)
	q := n.request(o)
	// The number of a request is known only when it has been taken, yet its first attempt or answer
	// comes before that; it finds this downstream by its own number.
	if o.HostID != "" {
		n.count.Add("operations handed over")
		d.request = n.table.SubmitMidFlow(now, d.id, q, o.HostID)
		return
	}
	if o.MidFlow {
		n.count.Add("operations mid-flow")
	}
	d.request = n.table.Submit(now, d.id, q)
}

// request is an opening as the module takes it.
func (n *Node) request(o line.OpenRequest) policy.Request {
	return policy.Request{ID: o.ID, Class: o.Class, Key: n.groupKey(o), HasKey: true, TTL: max(o.Timeout-margin, 0),
		MidFlow: o.MidFlow, Reconnecting: o.Returned, Tenant: o.Carrier}
}

// groupKey is what an opening is placed by: its group's key where groups are on, else its own.
func (n *Node) groupKey(o line.OpenRequest) uint64 {
	if n.cfg.Settings.KeyByGroup && o.HasGroup {
		return o.Group
	}
	return o.Key
}

func (d *downstream) detach(reset bool) {
	switch stands := d.upstream != nil && d.upstream.up; {
	case reset || d.ending:
	case stands:
		d.half = newHalf(d.node, d.conn)
	case d.taken:
		d.say(cancelled)
	}
	d.conn = nil
}

func (d *downstream) closed(now time.Duration, reset bool) {
	defer d.node.downstreams.Remove(d.id) // last: its attempt is found by its number
	d.node.deadlines.Stop(d.limit)
	if !d.taken || d.ending {
		d.half.close(reset)
		return
	}
	d.ending = true
	if u := d.upstream; d.half != nil && u != nil && u.conn != nil && u.conn.OutboundBuffered() == 0 &&
		syscall.Shutdown(u.conn.Fd(), syscall.SHUT_WR) == nil {
		d.node.count.Add("clients that ended their sending")
		d.node.deadlines.Stop(u.silent)
		d.node.deadlines.Set(now+lingering, func(now time.Duration) { u.close(now, false, policy.Cancelled) })
		return
	}
	d.half.close(reset)
	if u := d.upstream; u != nil && u.up {
		d.node.count.Add("clients gone from standing connections")
		u.close(now, reset, policy.Cancelled)
		return
	}
	d.node.count.Add("clients gone before their answer")
	d.node.table.ClientLeft(now, d.request)
}
