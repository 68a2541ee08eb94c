package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// runClient plays one client of the script.
func (w *world) runClient(index int, script drainsearch.Request) {
	n := w.nodes[script.Balancer]
	if !n.acceptsClients() {
		return
	}
	c, err := net.DialTimeout("tcp", n.listen, script.TTL)
	if err != nil { // the front would not have chosen this balancer
		return
	}
	defer c.Close()
	w.sendRequest(c, w.newRequest(n, fmt.Sprint(index), script))
}

// acceptsClients reports whether the front sends new connections to the balancer.
func (n *node) acceptsClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inRotation
}

// connectClient connects a client to a balancer, as the front does, and records its request, which it sends at a time of
// the script. The connection is nil if the front gives the balancer no clients, or if it fails.
func (w *world) connectClient(balancer int, id string, key uint64, requestAt time.Duration) (net.Conn, *requestRecord) {
	n := w.nodes[balancer]
	if !n.acceptsClients() {
		return nil, nil
	}
	c, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return nil, nil
	}
	script := drainsearch.Request{At: requestAt, Balancer: balancer, Key: key, TTL: w.script.Deadline, Class: "safe"}
	return c, w.newRequest(n, id, script)
}

// runIdleClient connects, waits, and sends its request later, whatever has happened to the balancer in between.
func (w *world) runIdleClient(index int, idle IdleClient) {
	c, q := w.connectClient(idle.Balancer, fmt.Sprintf("rest%d", index), uint64(index), idle.At+idle.RequestAfter)
	if c == nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(idle.RequestAfter))
	if _, err := r.Peek(1); !timedOut(err) { // the balancer sent a line or closed the connection
		return
	}
	w.sendRequest(c, q)
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// answerSlack is how much later than its deadline a request may be answered; an answer after that counts as lost.
const answerSlack = 500 * time.Millisecond

// sendRequest sends a request and follows it to the end of its connection.
func (w *world) sendRequest(c net.Conn, q *requestRecord) {
	mid := ""
	if q.script.MidFlow && !w.script.Proxy {
		mid = ",mid=1"
	}
	ttl := min(q.script.TTL, w.script.Deadline)
	text := fmt.Sprintf("OPEN %s %x c=%s,t=a,d=%d,g=%x%s\r\n", q.id, q.script.Key, q.script.Class, ttl.Milliseconds(), q.script.Key, mid)
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	w.mu.Lock()
	q.sentAt = w.now()
	w.mu.Unlock()
	if q.script.Leaves > 0 {
		w.group.Go(func() { w.leaveEarly(c, q) })
	}
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(ttl + answerSlack + time.Second))
	answer, err := r.ReadString('\n')
	w.mu.Lock()
	at := w.now()
	if err == nil {
		q.answeredAt, q.answer = at, strings.TrimSpace(answer)
	} else {
		q.endedAt, q.excuse = at, w.excuse(q, at)
	}
	w.mu.Unlock()
	switch {
	case err != nil:
	case strings.HasPrefix(answer, "UP "):
		w.useConnection(c, r, q)
	default:
		w.checkSecondAnswer(c, r, q)
	}
}

// leaveEarly closes the connection of a client that leaves before its answer.
func (w *world) leaveEarly(c net.Conn, q *requestRecord) {
	if !w.sleep(q.script.Leaves) {
		return
	}
	w.mu.Lock()
	leaves := q.answeredAt == 0 && q.endedAt == 0
	if leaves {
		q.leftAt = w.now()
	}
	w.mu.Unlock()
	if leaves {
		_ = c.Close()
	}
}

// checkSecondAnswer records a second answer that follows a final one.
func (w *world) checkSecondAnswer(c net.Conn, r *bufio.Reader, q *requestRecord) {
	_ = c.SetReadDeadline(time.Now().Add(answerSlack))
	if more, err := r.ReadString('\n'); err == nil {
		w.mu.Lock()
		q.secondAnswer = strings.TrimSpace(more)
		w.mu.Unlock()
	}
}

// The pace of established connections.
const (
	lineInterval = 400 * time.Millisecond // how often a client sends a line
	maxLineDelay = time.Second            // an answer to a line that takes longer counts as held back
	maxSilence   = 7 * time.Second        // without an answer, MOVE or end for this time a connection counts as silent
)

// useConnection sends lines on an established connection until it ends, whatever happens to the balancer.
func (w *world) useConnection(c net.Conn, r *bufio.Reader, q *requestRecord) {
	for i := 0; w.ctx.Err() == nil; i++ {
		_ = c.SetReadDeadline(time.Now().Add(q.timeToNextLine(w.now())))
		line, err := r.ReadString('\n')
		if timedOut(err) && q.endsSending(w.now()) {
			w.sendLastLine(c, r, q, i)
			return
		}
		if timedOut(err) {
			line, err = w.sendLine(c, r, q, i)
		}
		if err == nil && strings.HasPrefix(line, "OK ") {
			continue
		}
		w.connectionEnded(q, line, err)
		return
	}
}

// sendLine sends a line and waits for the line that comes back.
func (w *world) sendLine(c net.Conn, r *bufio.Reader, q *requestRecord, number int) (line string, err error) {
	if _, err := fmt.Fprintf(c, "LINE %d\r\n", number); err != nil {
		return "", err
	}
	sent := w.now()
	_ = c.SetReadDeadline(time.Now().Add(maxSilence))
	line, err = r.ReadString('\n')
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && strings.HasPrefix(line, "OK ") {
		q.lines++
		if took := w.now() - sent; took > maxLineDelay+w.jitter.around(w.now()) && !w.hostDisturbed(q) {
			w.recordViolation(Violation{Rule: "held", At: sent - start, Node: q.node.name, Request: q.id, What: fmt.Sprintf("a line came back after %v", took)})
		}
	}
	return line, err
}

// connectionEnded judges the end of an established connection.
func (w *world) connectionEnded(q *requestRecord, line string, err error) {
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	w.mu.Lock()
	defer w.mu.Unlock()
	q.endedAt = w.now()
	switch {
	case w.ctx.Err() != nil, err == nil && (word == "MOVE" || word == "BYE"):
	case timedOut(err) && !w.hostDisturbed(q):
		w.recordViolation(Violation{Rule: "silent", At: q.endedAt - start, Node: q.node.name, Request: q.id, What: "nothing came back for 7 s"})
	case w.excuse(q, q.endedAt) != "" || w.hostDisturbed(q):
	case err == nil:
		w.recordViolation(Violation{Rule: "answers", At: q.endedAt - start, Node: q.node.name, Request: q.id, What: fmt.Sprintf("an established connection received %q", line)})
	default:
		w.recordViolation(Violation{Rule: "lost", At: q.endedAt - start, Node: q.node.name, Request: q.id,
			What: fmt.Sprintf("an established connection was cut off without MOVE: %v", err)})
	}
}

// playFlood opens idle connections and keeps them open.
func (w *world) playFlood(flood ConnectionFlood) {
	n := w.nodes[flood.Balancer]
	n.recordEvent("a flood of %d idle connections until %.3f", flood.Connections, flood.To.Seconds())
	var conns []net.Conn
	for range flood.Connections {
		if c, err := net.DialTimeout("tcp", n.listen, time.Second); err == nil {
			conns = append(conns, c)
		}
	}
	w.sleepUntil(start + flood.To)
	for _, c := range conns {
		_ = c.Close()
	}
}
