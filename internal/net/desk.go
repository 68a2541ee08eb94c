package net

import (
	"context"
	"errors"
	stdnet "net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/line"
	"tealtiller/internal/operation"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// desk is the socket of one route step, and of the connection that it brought up.
type desk struct {
	node   *Node
	id     slot.ID
	front  *front
	server string
	until  time.Duration
	cancel context.CancelFunc // of the dialling
	inbound
	sent    bool // the first line is written
	up      bool
	upAt    time.Duration
	over    bool          // its outcome is told
	last    policy.Result // what its end will mean
	askedAt time.Duration // when the client's first line that is still unanswered went on
	byteAt  time.Duration // when the last bytes came
	silent  *deadline.Deadline
}

const dialTimeout = 150 * time.Millisecond // where the settings tell none

// begin dials a desk host off the loop and sends it the client's first line.
func (n *Node) begin(f *front, server string, until time.Duration) error {
	address, ok := n.addresses[server]
	if !ok {
		return errors.New("no address of " + server)
	}
	d := &desk{node: n, front: f, server: server, until: until, last: policy.Reset}
	d.id = n.desks.Add(d)
	f.desk = d
	wait := n.cfg.Settings.ConnectTimeout
	if wait <= 0 {
		wait = dialTimeout
	}
	if f.opening.At != "" { // all come at once, and none has anywhere else to go
		wait = until - n.now()
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(wait, until-n.now()))
	d.cancel = cancel
	n.dial(ctx, d, address.String())
	return nil
}

// dial makes a connection off the loop; the socket is told of it by opened, or by closed that there is none.
func (n *Node) dial(ctx context.Context, s socket, address string) {
	n.dialling++
	go func() {
		dialer := stdnet.Dialer{KeepAlive: -1}
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			err = n.enroll(s, c)
		}
		if err != nil {
			n.lost(s)
		}
	}()
}

// lost tells a socket that was counted as dialling that it has no connection.
func (n *Node) lost(s socket) {
	n.post(func(now time.Duration) {
		n.dialling--
		s.closed(now, false)
	})
}

// enroll brings a connection to the loop, which tells the socket of it by opened. The loop gets a duplicate; ours is
// closed before the channel is. Danger: it is closed by a goroutine, which may lag behind when dozens come at once.
func (n *Node) enroll(s socket, c stdnet.Conn) error {
	done, err := n.loop.Enroll(gnet.NewContext(context.Background(), s), c)
	if err != nil {
		_ = c.Close()
		return err
	}
	for result := range done { // danger: what fails here, for want of a descriptor, is told nowhere else
		err = result.Err
	}
	if err == nil {
		n.post(func(time.Duration) { n.doubled-- })
	}
	return err
}

// opened sends the first line as it came, but for how long we wait.
func (d *desk) opened(now time.Duration, c gnet.Conn) gnet.Action {
	d.cancel()
	d.conn = c
	if d.over {
		return gnet.Close
	}
	if d.up { // it stood in another process
		d.traffic(now)
		d.front.traffic(now)
		return gnet.None
	}
	d.sent = true
	d.node.trace("step-sent", "host", d.server, "id", d.front.opening.ID)
	d.node.write(c, d.front.opening.Forward(d.until-now)) // whole: a line fits a new connection's buffer
	if d.conn != nil {
		d.node.count.Add("route steps written")
	}
	return gnet.None
}

// traffic reads what the desk host answers, and passes on whole lines once the connection stands.
func (d *desk) traffic(now time.Duration) {
	d.byteAt = now
	d.node.delays.of(d.server).heardAt = now
	for d.conn != nil && !d.over {
		buf := d.peek()
		text, err := line.Cut(buf)
		if err != nil {
			d.node.count.Add("desk hosts cut off: line too long")
			d.close(now, true, policy.Reset)
			return
		}
		if len(text) == 0 {
			return
		}
		if d.up {
			d.relay(now, buf)
			return
		}
		d.answered(now, text)
		if d.conn != nil {
			d.discard(len(text))
		}
	}
}

// answered takes the answer to the first line.
func (d *desk) answered(now time.Duration, text []byte) {
	kind, _ := line.Parse(text)
	switch kind {
	case line.Up:
		d.up, d.upAt = true, now
		d.node.delays.of(d.server).fresh = true
		d.node.count.Add("operations served")
		d.node.trace("step-up", "host", d.server, "id", d.front.opening.ID, "returned", d.front.opening.Returned, "mid", d.front.opening.MidFlow)
		d.node.zoneSaw(now, d.server, true)
		d.node.write(d.front.conn, text)
		d.node.table.Up(now, d.front.op)
		d.front.traffic(now)
	case line.Busy:
		d.close(now, false, policy.TurnedAway)
	case line.Move:
		d.close(now, false, policy.Cancelled)
	default:
		d.close(now, false, policy.Error)
	}
}

func (d *desk) relay(now time.Duration, buf []byte) {
	n, f := d.node, d.front
	end := 0
	for end < len(buf) {
		text, err := line.Cut(buf[end:])
		if err != nil || len(text) == 0 {
			break // too long: the next call finds it in front
		}
		end += len(text)
		n.count.Add("lines from desk hosts")
		switch kind, rest := line.Parse(text); kind {
		case line.Load:
			if level, ok := line.LoadOf(rest); ok {
				n.table.Note(now, f.op, policy.NoteLoad, level)
			}
		case line.Bye:
			d.last = policy.OK
			d.heard(now)
		case line.Move:
			d.last = policy.Cancelled
			d.heard(now)
		default:
			d.heard(now)
		}
		if d.over { // moved by what the note told
			return
		}
	}
	f.pass(now, buf[:end])
	if d.conn != nil {
		d.discard(end)
	}
}

// silence is how long a client's line may stay unanswered. Danger: a machine that vanished says nothing, and
// its clients must be let go within 7 s; they send a line every 2 s.
const silence = 3500 * time.Millisecond

// alone is the same where the desk host has answered others meanwhile: a sound connection answers at once.
// An answer may come in pieces, but not for ever.
const alone, longestSilence = 1500 * time.Millisecond, 6 * time.Second

// asked tells that a client's line has gone on to the desk host.
func (d *desk) asked(now time.Duration) {
	if d.askedAt == 0 {
		d.askedAt = now
		d.silent = d.node.deadlines.Set(now+min(alone, d.node.silence), d.unanswered)
	}
}

// unanswered takes that a client's line has had no answer for a while.
func (d *desk) unanswered(now time.Duration) {
	since, most := max(d.askedAt, d.byteAt), d.node.silence
	if d.node.delays.of(d.server).heardAt > since {
		most = min(alone, most)
	}
	if due := min(since+most, d.askedAt+longestSilence); now < due {
		d.silent = d.node.deadlines.Set(min(now+look, due), d.unanswered)
		return
	}
	d.node.count.Add("connections moved: silent desk host")
	d.node.trace("moved-silent", "host", d.server)
	d.front.move(now)
	d.close(now, false, policy.Reset)
}

// heard tells that a line has come from the desk host.
func (d *desk) heard(now time.Duration) {
	if d.askedAt > 0 {
		d.node.deadlines.Stop(d.silent)
		d.node.delays.measured(d.server, now-d.askedAt)
		d.askedAt = 0
	}
}

// move sends the client of a standing connection away.
func (d *desk) move(now time.Duration) {
	d.front.move(now)
	d.close(now, false, policy.Cancelled)
}

// move says MOVE to the client. Only whole lines are ever passed on, so it stands between two.
func (f *front) move(now time.Duration) {
	f.node.count.Add("clients moved")
	f.answer(now, "MOVE\r\n")
}

// drop ends the socket without telling any outcome.
func (d *desk) drop(reset bool) {
	d.over = true
	d.cancel()
	d.node.deadlines.Stop(d.silent)
	d.node.desks.Remove(d.id)
	if d.front.desk == d {
		d.front.desk = nil
		d.front.half.close(reset)
	}
	d.node.end(d.conn, reset)
}

// close ends the socket and tells the outcome.
func (d *desk) close(now time.Duration, reset bool, result policy.Result) {
	if !d.over {
		d.node.trace("step-ended", "host", d.server, "id", d.front.opening.ID, "stood", d.up, "result", operation.Results[result], "after", now-d.upAt)
		if !d.up && (result == policy.Timeout || result == policy.ConnectFailed || result == policy.Reset || result == policy.Error) {
			d.node.zoneSaw(now, d.server, false) // a full host that says BUSY is no sign of a broken zone
		}
		d.drop(reset)
		d.node.table.Ended(now, d.front.op, result)
	}
}

func (d *desk) detach(bool) { d.conn = nil }

// closed takes the end of the connection, or that it never came up.
func (d *desk) closed(now time.Duration, reset bool) {
	if d.over {
		return
	}
	result := d.last
	if !d.sent {
		result = policy.ConnectFailed
	}
	if d.up { // the client's side ends in the same way
		d.front.half.close(reset)
		d.node.count.Add("standing connections ended by desk hosts")
		if reset {
			d.front.ending = true
			d.node.end(d.front.conn, true)
		} else {
			d.front.finish(now)
		}
	}
	d.close(now, false, result)
	if d.up && reset {
		d.node.delays.shed(d.node, now, d.server)
	}
}
