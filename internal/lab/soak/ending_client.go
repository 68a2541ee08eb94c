package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// runEndingClient connects, uses its connection, and ends its sending after a last line.
func (w *world) runEndingClient(index int, client EndingClient) {
	c, q := w.connectClient(client.Balancer, fmt.Sprintf("end%d", index), uint64(index), client.At)
	if c == nil {
		return
	}
	defer c.Close()
	q.sendingEndsAt = start + client.At + client.EndAfter
	w.sendRequest(c, q)
}

// timeToNextLine returns how long the client waits before its next line.
func (q *requestRecord) timeToNextLine(now time.Duration) time.Duration {
	if q.sendingEndsAt > 0 {
		return min(lineInterval, q.sendingEndsAt-now)
	}
	return lineInterval
}

// endsSending reports whether the next line is the client's last.
func (q *requestRecord) endsSending(now time.Duration) bool {
	return q.sendingEndsAt > 0 && now >= q.sendingEndsAt
}

// sendLastLine sends a last line, ends the client's sending, and judges what comes back: the answer to that line, or
// MOVE.
func (w *world) sendLastLine(c net.Conn, r *bufio.Reader, q *requestRecord, number int) {
	_, _ = fmt.Fprintf(c, "LINE %d\r\n", number) // if it fails, MOVE may have arrived
	if closer, ok := c.(*net.TCPConn); ok {
		_ = closer.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(maxSilence))
	line, err := r.ReadString('\n')
	switch {
	case err == nil && strings.HasPrefix(line, "OK "):
		w.mu.Lock()
		q.lines++
		w.mu.Unlock()
	case err == nil && strings.HasPrefix(line, "BYE"): // the host says so only after its answer
		w.connectionEnded(q, "", io.ErrUnexpectedEOF)
	default:
		w.connectionEnded(q, line, err)
	}
}
