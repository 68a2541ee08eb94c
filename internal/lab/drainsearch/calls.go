package drainsearch

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/hostlist"
)

// link is one connection of a balancer to discovery.
type link struct {
	balancer  *balancer
	process   int // of the balancer, counted from its first one
	number    int
	connected bool
	closed    bool
}

// call is one call on a link.
type call struct {
	audited  *drainaudit.Call
	since    int // revision; -1 for the complete list
	answerAt time.Duration
	silent   bool
}

// activeFault returns the fault of a kind that affects a balancer now; nil if there is none.
func (s *service) activeFault(kind FaultKind, balancer int) *Fault {
	for i := range s.world.script.Faults {
		f := &s.world.script.Faults[i]
		applies := f.Balancer < 0 || f.Balancer == balancer
		if f.Kind == kind && applies && start+f.From <= s.world.now && s.world.now < start+f.To {
			return f
		}
	}
	return nil
}

// outageEnd reports whether discovery is down, and until when.
func (s *service) outageEnd() (until time.Duration, down bool) {
	f := s.activeFault(Outage, 0)
	if f == nil {
		return 0, false
	}
	return start + f.To, true
}

// applyFault applies the start of a fault to all connections that are open then.
func (s *service) applyFault(f Fault) {
	s.world.explain("fault of kind %d for balancer %d until %.3f, delay %v", f.Kind, f.Balancer, f.To.Seconds(), f.Delay)
	for _, b := range s.world.balancers {
		if f.Balancer >= 0 && f.Balancer != b.number {
			continue
		}
		for _, number := range slices.Sorted(maps.Keys(b.links)) {
			if l := b.links[number]; l.connected && !l.closed {
				s.applyFaultToLink(f, l)
			}
		}
	}
}

// applyFaultToLink applies the start of a fault to one connection.
func (s *service) applyFaultToLink(f Fault, l *link) {
	c := s.calls[l]
	switch {
	case f.Kind == Silent, f.Kind == Hung, f.Kind == Outage && s.world.script.Pushed:
		s.silence(c)
	case f.Kind == Reset, f.Kind == Outage:
		s.reset(l, c)
	}
}

// silence stops all data on a call from now on and leaves its connection open.
func (s *service) silence(c *call) {
	if c != nil && !c.silent {
		c.silent = true
		c.audited.Silent(s.world.now)
	}
}

// reset resets a connection.
func (s *service) reset(l *link, c *call) {
	if c != nil {
		c.audited.Refused(s.world.now)
	}
	delete(s.calls, l)
	s.close(l, s.world.script.Latency)
}

func (s *service) close(l *link, after time.Duration) {
	l.closed = true
	l.balancer.scheduleForLink(l, after, func(b *balancer, now time.Duration) { b.watcher.Closed(now, l.number) })
}

// connect handles a connection attempt of a balancer and schedules its outcome.
func (s *service) connect(l *link, limit time.Duration) {
	b := l.balancer
	_, down := s.outageEnd()
	switch {
	case s.activeFault(Blackhole, b.number) != nil:
		silent := s.world.audit.Called(b.number, s.world.now, 0)
		silent.Silent(s.world.now)
		l.balancer.scheduleForLink(l, limit, func(b *balancer, now time.Duration) {
			silent.Failed(now)
			b.watcher.Closed(now, l.number)
		})
	case down && !s.world.script.Pushed:
		refused := s.world.audit.Called(b.number, s.world.now, 0)
		refused.Refused(s.world.now)
		s.close(l, s.world.script.Latency)
	default:
		took := 2 * s.world.script.Latency
		if took > limit {
			took = limit
		}
		l.balancer.scheduleForLink(l, took, func(b *balancer, now time.Duration) {
			l.connected = true
			b.watcher.Connected(now, l.number)
		})
	}
}

// receive handles a call.
func (s *service) receive(l *link, request string) {
	w, b := s.world, l.balancer
	since, wait := parseCall(request)
	c := &call{since: since}
	c.audited = w.audit.Called(b.number, w.now, wait)
	s.calls[l] = c
	w.explain("balancer %d calls: since %d, wait %v", b.number, since, wait)
	_, down := s.outageEnd()
	switch {
	case s.activeFault(Hung, b.number) != nil, down && w.script.Pushed:
		s.silence(c)
	case down:
		s.reset(l, c)
	default:
		if f := s.activeFault(Refusing, b.number); f != nil {
			c.answerAt = w.now + f.Delay
			w.at(c.answerAt, func() { s.refuse(l, c) })
			return
		}
		if f := s.activeFault(Slow, b.number); f != nil {
			c.answerAt = w.now + f.Delay
			w.at(c.answerAt, func() { s.answer(l, c) })
			return
		}
		if since < 0 || since < s.history.LatestRevision() || wait == 0 {
			s.answer(l, c)
			return
		}
		w.at(w.now+wait, func() { s.answer(l, c) })
	}
}

// parseCall returns the revision and the maximum wait of a call.
func parseCall(request string) (since int, wait time.Duration) {
	target, _, _ := strings.Cut(request, " HTTP/1.1")
	_, query, has := strings.Cut(target, "?since=")
	if !has {
		return -1, 0
	}
	revision, timeout, _ := strings.Cut(query, "&timeout_ms=")
	since, _ = strconv.Atoi(revision)
	milliseconds, _ := strconv.Atoi(timeout)
	return max(since-hostlist.FirstRevision, 0), time.Duration(milliseconds) * time.Millisecond
}

// refuse answers a call with 503, as discovery does with calls that waited too long.
func (s *service) refuse(l *link, c *call) {
	if s.calls[l] != c || c.silent || l.closed {
		return
	}
	delete(s.calls, l)
	c.audited.Refused(s.world.now)
	s.world.explain("balancer %d is refused", l.balancer.number)
	s.write(l, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// answer answers a call with the changes since its revision, or with what an active fault makes of them.
func (s *service) answer(l *link, c *call) {
	if s.calls[l] != c || c.silent || l.closed {
		return
	}
	delete(s.calls, l)
	b, closes := l.balancer, s.activeFault(CloseAfterAnswer, l.balancer.number) != nil
	body := s.history.FullList(s.history.LatestRevision())
	if c.since >= 0 && s.activeFault(FullList, b.number) == nil {
		body = s.history.Delta(c.since)
	}
	readable, revision := true, s.history.LatestRevision()
	switch {
	case c.since < 0 && !b.answered && (s.world.script.Pushed || s.activeFault(StaleList, b.number) != nil):
		// The answer is left as it is. A new process could not know what an unreadable answer of its agent withheld, nor that
		// the first list from discovery is an old one.
	case s.activeFault(Truncated, b.number) != nil:
		body, readable = body[:len(body)/2], false
	case s.activeFault(Garbled, b.number) != nil:
		body, readable = strings.Replace(body, `"phase"`, `"phrase"`, 1)+"]", false
	case s.activeFault(DuplicateHost, b.number) != nil && s.history.LatestRevision() > 0:
		body, readable = s.history.DuplicateHostAnswer(), false
	case s.activeFault(StaleList, b.number) != nil && s.history.LatestRevision() > 0:
		revision = s.history.LatestRevision() / 2
		// A list no older than the last one received is merely late.
		body, readable = s.history.FullList(revision), revision >= b.answeredRevision
	}
	if readable {
		b.answered, b.answeredRevision = true, revision
		s.world.audit.Answered(b.number, c.audited, s.world.now, revision)
	} else {
		c.audited.Failed(s.world.now)
	}
	header := ""
	if closes {
		header = "Connection: close\r\n"
	}
	s.world.explain("balancer %d receives an answer: %s", b.number, body)
	s.write(l, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body))
	if closes {
		s.close(l, s.world.script.Latency+time.Millisecond)
	}
}

func (s *service) write(l *link, text string) {
	l.balancer.scheduleForLink(l, s.world.script.Latency, func(b *balancer, now time.Duration) { b.watcher.Received(now, l.number, []byte(text)) })
}
