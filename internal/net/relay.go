package net

import (
	"errors"
	"time"

	"tealtiller/internal/line"
	"tealtiller/policy"
)

// relay passes whole lines on to the desk host once the connection stands.
func (d *downstream) relay(now time.Duration) {
	u := d.upstream
	if u != nil && u.up && u.conn == nil {
		return // its socket is on its way here, or has ended
	}
	buf := d.peek()
	if u == nil || !u.up {
		if err := early(buf, d.node.buffered()); err != nil {
			d.malformed(now, err)
			d.node.table.ProtocolError(now, d.request)
		}
		return
	}
	end := 0
	for end < len(buf) {
		text, err := line.Next(buf[end:])
		if err != nil {
			d.malformed(now, err)
			u.close(now, false, policy.Cancelled)
			return
		}
		if len(text) == 0 {
			break
		}
		end += len(text)
		d.node.count.Add("lines from clients")
	}
	if end == 0 {
		return
	}
	u.asked(now)
	d.node.write(u.conn, buf[:end])
	if d.conn != nil {
		d.discard(end)
	}
}

// early tells what is wrong with what a client sends before it has its answer. Most wait; a command cannot.
func early(buf []byte, most int) error {
	text, err := line.Next(buf)
	if err != nil {
		return err
	}
	if kind, _ := line.Parse(text); kind.IsCommand() {
		return errors.New("a command before the answer to OPEN")
	}
	if len(buf) > most {
		return errors.New("too much before the answer to OPEN")
	}
	return nil
}

// pass hands lines of the desk host to the client.
func (d *downstream) pass(now time.Duration, lines []byte) {
	if d.half == nil {
		d.node.write(d.conn, lines)
	} else if !d.half.write(lines) {
		d.upstream.close(now, true, policy.Cancelled)
	}
}
