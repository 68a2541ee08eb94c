package net

import (
	"time"

	"tealtiller/internal/line"
	"tealtiller/policy"
)

// relay forwards complete lines from the desk host to the client, and notes load reports and the reason for the end of
// the connection.
func (u *upstream) relay(now time.Duration, buf []byte) {
	n, d := u.node, u.downstream
	end := 0
	for end < len(buf) {
		text, err := line.Next(buf[end:])
		if err != nil || len(text) == 0 {
			break // if too long, traffic cuts the desk host off after the lines before it are forwarded
		}
		end += len(text)
		n.counters.Add("lines from desk hosts")
		switch kind, rest := line.Parse(text); kind {
		case line.Load:
			if level, ok := line.ParseLoad(rest); ok {
				n.table.ConnectionMetric(now, d.request, policy.MetricLoad, level)
			}
		case line.Bye:
			u.endResult = policy.OK
			u.lineReceived(now)
		case line.Move:
			u.endResult = policy.Cancelled
			u.lineReceived(now)
		default:
			u.lineReceived(now)
		}
		if u.ended { // the module moved the client because of the load
			return
		}
	}
	d.forward(now, buf[:end])
	if !u.ended {
		u.discard(end)
	}
}

// defaultLineTimeout is how long a client's line may remain unanswered. A host whose machine vanished sends nothing at
// all; its clients must be moved within 7 s, and they send a line every 2 s.
const defaultLineTimeout = 3500 * time.Millisecond

// aloneLineTimeout replaces the line timeout if the desk host has sent data on other connections meanwhile: a healthy
// connection is answered at once.
const aloneLineTimeout = 1500 * time.Millisecond

// maxLineTimeout limits the wait for an answer that arrives in pieces, each of which restarts the timeout.
const maxLineTimeout = 6 * time.Second

// lineForwarded starts the line timeout when a client's line was forwarded to the desk host.
func (u *upstream) lineForwarded(now time.Duration) {
	if u.unansweredSince == 0 {
		u.unansweredSince = now
		u.answerCheck = u.node.deadlines.Set(now+min(aloneLineTimeout, u.node.lineTimeout), u.checkUnanswered)
	}
}

// unansweredFor is how long a client's line has been unanswered; 0 if none is.
func (u *upstream) unansweredFor(now time.Duration) time.Duration {
	if u.unansweredSince == 0 {
		return 0
	}
	return now - u.unansweredSince
}

// inheritUnanswered continues the line timeout of a connection from another process, where a line has been unanswered for
// a time. A check follows at the earliest after checkInterval, by when its sockets are here.
func (u *upstream) inheritUnanswered(now, unansweredFor time.Duration) {
	if unansweredFor <= 0 {
		return
	}
	u.unansweredSince = now - min(unansweredFor, maxLineTimeout)
	u.answerCheck = u.node.deadlines.Set(now+checkInterval, u.checkUnanswered)
}

// checkUnanswered moves the client if its line has been unanswered for too long, and checks again later otherwise.
func (u *upstream) checkUnanswered(now time.Duration) {
	since, timeout := max(u.unansweredSince, u.lastReadAt), u.node.lineTimeout
	if u.node.delays.host(u.server).lastReadAt > since {
		timeout = min(aloneLineTimeout, timeout)
	}
	if due := min(since+timeout, u.unansweredSince+maxLineTimeout); now < due {
		u.answerCheck = u.node.deadlines.Set(min(now+checkInterval, due), u.checkUnanswered)
		return
	}
	u.node.counters.Add("connections moved: silent desk host")
	u.traceAttempt("moved-silent")
	u.moveClient(now, false, policy.Reset)
}

// lineReceived ends the line timeout and records the delay.
func (u *upstream) lineReceived(now time.Duration) {
	if u.unansweredSince > 0 {
		u.node.deadlines.Stop(u.answerCheck)
		u.node.delays.addEcho(u.server, now-u.unansweredSince)
		u.unansweredSince = 0
	}
}
