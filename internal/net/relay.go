package net

import (
	"errors"
	"time"

	"tealtiller/internal/line"
	"tealtiller/policy"
)

// relay forwards complete lines to the desk host once the connection is established.
func (d *downstream) relay(now time.Duration) {
	u := d.upstream
	if u != nil && u.up && u.conn == nil {
		return // the upstream socket is still being enrolled, or has been closed
	}
	buf := d.peek()
	if u == nil || !u.up {
		if err := checkEarlyInput(buf, d.node.maxBuffered()); err != nil {
			d.rejectMalformed(now, err)
			d.node.table.AnsweredFailed(now, d.request)
		}
		return
	}
	end := 0
	for end < len(buf) {
		text, err := line.Next(buf[end:])
		if err != nil {
			d.rejectMalformed(now, err)
			u.close(now, false, policy.Cancelled)
			return
		}
		if len(text) == 0 {
			break
		}
		end += len(text)
		d.node.counters.Add("lines from clients")
	}
	if end == 0 {
		return
	}
	u.lineForwarded(now)
	if d.node.overflows(u.conn, buf[:end]) {
		u.moveClient(now, true, policy.Reset)
	}
	if d.conn != nil {
		d.discard(end)
	}
}

// checkEarlyInput checks what a client sends before the answer to its OPEN. Lines wait up to maxBytes; commands are an
// error.
func checkEarlyInput(buf []byte, maxBytes int) error {
	text, err := line.Next(buf)
	if err != nil {
		return err
	}
	if kind, _ := line.Parse(text); kind.IsCommand() {
		return errors.New("a command before the answer to OPEN")
	}
	if len(buf) > maxBytes {
		return errors.New("too much before the answer to OPEN")
	}
	return nil
}

// forward writes lines of the desk host to the client.
func (d *downstream) forward(now time.Duration, lines []byte) {
	if d.halfClosed == nil {
		d.node.write(d.conn, lines)
	} else if !d.halfClosed.write(lines) {
		d.upstream.close(now, true, policy.Cancelled)
	}
}
