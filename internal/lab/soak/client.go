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

// client plays one client of the script.
func (w *world) client(index int, script drainsearch.Request) {
	n := w.nodes[script.Balancer]
	if !n.takesClients() {
		return
	}
	c, err := net.DialTimeout("tcp", n.listen, script.TTL)
	if err != nil { // the front would not have chosen it
		return
	}
	defer c.Close()
	w.open(c, w.ask(n, fmt.Sprint(index), script))
}

// takesClients tells whether the front sends a balancer new connections.
func (n *node) takesClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serves
}

// restingClient connects, rests, and asks later, whatever has become of the balancer meanwhile.
func (w *world) restingClient(index int, rest Resting) {
	n := w.nodes[rest.Balancer]
	if !n.takesClients() {
		return
	}
	c, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	script := drainsearch.Request{At: rest.At + rest.Asks, Balancer: rest.Balancer, Key: uint64(index), TTL: w.script.Deadline, Class: "safe"}
	q := w.ask(n, fmt.Sprintf("rest%d", index), script)
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(rest.Asks))
	if _, err := r.Peek(1); !timedOut(err) { // it was told to go, or ended
		return
	}
	w.open(c, q)
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// lateAnswer is how much later than its time a request's answer may come; later it is lost.
const lateAnswer = 500 * time.Millisecond

// open sends a request and reads what comes of it.
func (w *world) open(c net.Conn, q *requestRecord) {
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
	q.asked = w.now()
	w.mu.Unlock()
	if q.script.Leaves > 0 {
		w.group.Go(func() { w.leave(c, q) })
	}
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(ttl + lateAnswer + time.Second))
	answer, err := r.ReadString('\n')
	w.mu.Lock()
	at := w.now()
	if err == nil {
		q.answered, q.answer = at, strings.TrimSpace(answer)
	} else {
		q.ended, q.excused = at, w.excuse(q, at)
	}
	w.mu.Unlock()
	switch {
	case err != nil:
	case strings.HasPrefix(answer, "UP "):
		w.stand(c, r, q)
	default:
		w.awaitSecond(c, r, q)
	}
}

// leave has a client go before its answer.
func (w *world) leave(c net.Conn, q *requestRecord) {
	if !w.sleep(q.script.Leaves) {
		return
	}
	w.mu.Lock()
	gone := q.answered == 0 && q.ended == 0
	if gone {
		q.left = w.now()
	}
	w.mu.Unlock()
	if gone {
		_ = c.Close()
	}
}

// awaitSecond reads whether a second answer follows a final one.
func (w *world) awaitSecond(c net.Conn, r *bufio.Reader, q *requestRecord) {
	_ = c.SetReadDeadline(time.Now().Add(lateAnswer))
	if more, err := r.ReadString('\n'); err == nil {
		w.mu.Lock()
		q.more = strings.TrimSpace(more)
		w.mu.Unlock()
	}
}

// Of standing connections: how often a client sends a line, and how soon one has to bring something back, be ended or moved.
const (
	linePause     = 400 * time.Millisecond
	heldBackAfter = time.Second
	silentAfter   = 7 * time.Second
)

// stand uses a connection until it ends, whatever becomes of the balancer.
func (w *world) stand(c net.Conn, r *bufio.Reader, q *requestRecord) {
	for i := 0; w.ctx.Err() == nil; i++ {
		_ = c.SetReadDeadline(time.Now().Add(linePause))
		line, err := r.ReadString('\n')
		if timedOut(err) {
			line, err = w.sendLine(c, r, q, i)
		}
		if err == nil && strings.HasPrefix(line, "OK ") {
			continue
		}
		w.standEnded(q, line, err)
		return
	}
}

// sendLine sends a line and waits for what comes back.
func (w *world) sendLine(c net.Conn, r *bufio.Reader, q *requestRecord, number int) (line string, err error) {
	if _, err := fmt.Fprintf(c, "LINE %d\r\n", number); err != nil {
		return "", err
	}
	sent := w.now()
	_ = c.SetReadDeadline(time.Now().Add(silentAfter))
	line, err = r.ReadString('\n')
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && strings.HasPrefix(line, "OK ") {
		q.lines++
		if took := w.now() - sent; took > heldBackAfter+w.jitter.about(w.now()) && !w.hostDisturbed(q) {
			w.broke(Break{Rule: "held", At: sent - start, Node: q.node.name, Request: q.id, What: fmt.Sprintf("a line came back after %v", took)})
		}
	}
	return line, err
}

// standEnded judges the end of a standing connection.
func (w *world) standEnded(q *requestRecord, line string, err error) {
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	w.mu.Lock()
	defer w.mu.Unlock()
	q.ended = w.now()
	switch {
	case w.ctx.Err() != nil, err == nil && (word == "MOVE" || word == "BYE"):
	case timedOut(err) && !w.hostDisturbed(q):
		w.broke(Break{Rule: "silent", At: q.ended - start, Node: q.node.name, Request: q.id, What: "nothing came back for 7 s"})
	case w.excuse(q, q.ended) != "" || w.hostDisturbed(q):
	case err == nil:
		w.broke(Break{Rule: "answers", At: q.ended - start, Node: q.node.name, Request: q.id, What: fmt.Sprintf("a standing connection got %q", line)})
	default:
		w.broke(Break{Rule: "lost", At: q.ended - start, Node: q.node.name, Request: q.id,
			What: fmt.Sprintf("a standing connection was cut off without MOVE: %v", err)})
	}
}

// crowd opens idle connections and keeps them.
func (w *world) crowd(crowd Crowd) {
	n := w.nodes[crowd.Balancer]
	n.note("a crowd of %d idle connections until %.3f", crowd.Connections, crowd.To.Seconds())
	var conns []net.Conn
	for range crowd.Connections {
		if c, err := net.DialTimeout("tcp", n.listen, time.Second); err == nil {
			conns = append(conns, c)
		}
	}
	w.sleepUntil(start + crowd.To)
	for _, c := range conns {
		_ = c.Close()
	}
}
