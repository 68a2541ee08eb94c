package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// parse reads a call.
func parse(request *http.Request) (since int, wait time.Duration) {
	query := request.URL.Query()
	revision, err := strconv.Atoi(query.Get("since"))
	if err != nil {
		return -1, 0
	}
	ms, _ := strconv.Atoi(query.Get("timeout_ms"))
	return max(revision-hostlist.FirstRevision, 0), time.Duration(ms) * time.Millisecond
}

// outcome is what becomes of a call.
type outcome int

const (
	answers outcome = iota
	refuses
	ends    // its connection is reset
	givenUp // the balancer ended it, or the run is over
)

// await holds a call until discovery answers it.
func (e *endpoint) await(d *discoveryConn, began time.Duration, since int, wait time.Duration, gone <-chan struct{}) outcome {
	w, n := e.node.world, e.node
	if w.fault(drainsearch.Hung, n.number) != nil || w.fault(drainsearch.Vanished, n.number) != nil ||
		w.script.Pushed && w.fault(drainsearch.Outage, n.number) != nil {
		d.silence(began)
		return d.until(never, gone, answers)
	}
	if f := w.fault(drainsearch.Refusing, n.number); f != nil {
		return d.until(f.Delay, gone, refuses)
	}
	if f := w.fault(drainsearch.Slow, n.number); f != nil {
		return d.until(f.Delay, gone, answers)
	}
	limit := time.After(wait)
	for {
		w.mu.Lock()
		revision, news := w.list.LatestRevision(), w.news
		w.mu.Unlock()
		if since < 0 || since < revision { // news from before a silence is written
			return answers
		}
		select {
		case <-d.silent:
			return d.until(never, gone, answers)
		default:
		}
		select {
		case <-news:
		case <-limit:
			return d.until(0, gone, answers)
		case <-d.silent:
		case <-gone:
			return d.closed()
		case <-w.ctx.Done():
			return givenUp
		}
	}
}

// until holds a call for a time and then does what is told, unless its connection falls silent or ends before.
func (d *discoveryConn) until(after time.Duration, gone <-chan struct{}, then outcome) outcome {
	select {
	case <-time.After(after):
		select {
		case <-d.silent: // for good
			return d.until(never, gone, then)
		default:
			return then
		}
	case <-gone:
		return d.closed()
	case <-d.endpoint.node.world.ctx.Done():
		return givenUp
	}
}

// closed tells which side ended a connection.
func (d *discoveryConn) closed() outcome {
	if _, err := d.Write(nil); errors.Is(err, net.ErrClosed) {
		return ends // by us
	}
	return givenUp
}

// write answers a call with what is new, or with what trouble makes of it; the lock of the run is held.
func (e *endpoint) write(d *discoveryConn, call *drainaudit.Call, since int) bool {
	w, n := e.node.world, e.node
	body, revision, good := e.body(since)
	closes := w.fault(drainsearch.Closing, n.number) != nil
	header := ""
	if closes {
		header = "Connection: close\r\n"
	}
	if good {
		n.heard, n.told = true, revision
		w.audit.Answered(n.number, call, w.now(), revision)
		w.note(Event{Node: n.name, What: fmt.Sprintf("is answered by discovery: revision %d", hostlist.FirstRevision+revision)})
	} else {
		call.Failed(w.now())
		w.note(Event{Node: n.name, What: "is answered by discovery what makes no sense"})
	}
	_, err := fmt.Fprintf(d, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return err == nil && !closes
}

// body is the text of an answer, the revision that it tells, and whether it can be read.
func (e *endpoint) body(since int) (body string, revision int, good bool) {
	w, n := e.node.world, e.node
	fault := func(kind drainsearch.FaultKind) bool { return w.fault(kind, n.number) != nil }
	revision = w.list.LatestRevision()
	body = w.list.FullList(revision)
	if since >= 0 && !fault(drainsearch.Whole) {
		body = w.list.Delta(since)
	}
	switch first := since < 0 && !n.heard; {
	case first && (w.script.Pushed || fault(drainsearch.Stale)):
		return body, revision, true
	case fault(drainsearch.Truncated):
		return body[:len(body)/2], revision, false
	case fault(drainsearch.Garbled):
		return strings.Replace(body, `"phase"`, `"phrase"`, 1) + "]", revision, false
	case fault(drainsearch.Duplicate) && revision > 0:
		return w.list.DuplicateHostAnswer(), revision, false
	case fault(drainsearch.Stale) && revision > 0:
		old := revision / 2
		return w.list.FullList(old), old, old >= n.told
	}
	return body, revision, true
}
