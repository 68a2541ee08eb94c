package net

import (
	"time"

	"tealtiller/internal/line"
	"tealtiller/policy"
)

func (u *upstream) relay(now time.Duration, buf []byte) {
	n, d := u.node, u.downstream
	end := 0
	for end < len(buf) {
		text, err := line.Next(buf[end:])
		if err != nil || len(text) == 0 {
			break // too long: the next call finds it in front
		}
		end += len(text)
		n.count.Add("lines from desk hosts")
		switch kind, rest := line.Parse(text); kind {
		case line.Load:
			if level, ok := line.ParseLoad(rest); ok {
				n.table.Note(now, d.request, policy.MetricLoad, level)
			}
		case line.Bye:
			u.last = policy.OK
			u.heard(now)
		case line.Move:
			u.last = policy.Cancelled
			u.heard(now)
		default:
			u.heard(now)
		}
		if u.over { // moved by what the note told
			return
		}
	}
	d.pass(now, buf[:end])
	if !u.over {
		u.discard(end)
	}
}

// silence is how long a client's line may stay unanswered. Danger: a machine that vanished says nothing, and
// its clients must be let go within 7 s; they send a line every 2 s.
const silence = 3500 * time.Millisecond

// alone is the same where the desk host has answered others meanwhile: a sound connection answers at once.
// An answer may come in pieces, but not for ever.
const alone, longestSilence = 1500 * time.Millisecond, 6 * time.Second

// asked tells that a client's line has gone on to the desk host.
func (u *upstream) asked(now time.Duration) {
	if u.askedAt == 0 {
		u.askedAt = now
		u.silent = u.node.deadlines.Set(now+min(alone, u.node.silence), u.unanswered)
	}
}

// unanswered takes that a client's line has had no answer for a while.
func (u *upstream) unanswered(now time.Duration) {
	since, most := max(u.askedAt, u.byteAt), u.node.silence
	if u.node.delays.of(u.server).heardAt > since {
		most = min(alone, most)
	}
	if due := min(since+most, u.askedAt+longestSilence); now < due {
		u.silent = u.node.deadlines.Set(min(now+look, due), u.unanswered)
		return
	}
	u.node.count.Add("connections moved: silent desk host")
	u.traceAttempt("moved-silent")
	u.downstream.move(now)
	u.close(now, false, policy.Reset)
}

// heard tells that a line has come from the desk host.
func (u *upstream) heard(now time.Duration) {
	if u.askedAt > 0 {
		u.node.deadlines.Stop(u.silent)
		u.node.delays.measured(u.server, now-u.askedAt)
		u.askedAt = 0
	}
}
