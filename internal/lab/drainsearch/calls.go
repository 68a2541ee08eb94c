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
	balancer *balancer
	process  int // of the balancer, in order
	number   int
	up       bool
	closed   bool
}

// call is one call on a link.
type call struct {
	seen     *drainaudit.Call
	since    int // revision; -1 for the whole list
	answerAt time.Duration
	silent   bool
}

// active is the trouble of a kind that a balancer has now.
func (s *service) active(kind FaultKind, balancer int) *Fault {
	for i := range s.world.script.Faults {
		f := &s.world.script.Faults[i]
		mine := f.Balancer < 0 || f.Balancer == balancer
		if f.Kind == kind && mine && start+f.From <= s.world.now && s.world.now < start+f.To {
			return f
		}
	}
	return nil
}

// downUntil tells whether discovery is down, and until when.
func (s *service) downUntil() (until time.Duration, down bool) {
	f := s.active(Outage, 0)
	if f == nil {
		return 0, false
	}
	return start + f.To, true
}

// strikes is the first moment of trouble: what is open then.
func (s *service) strikes(f Fault) {
	s.world.explain("trouble of kind %d for balancer %d until %.3f, delay %v", f.Kind, f.Balancer, f.To.Seconds(), f.Delay)
	for _, b := range s.world.balancers {
		if f.Balancer >= 0 && f.Balancer != b.number {
			continue
		}
		for _, number := range slices.Sorted(maps.Keys(b.links)) {
			if l := b.links[number]; l.up && !l.closed {
				s.strike(f, l)
			}
		}
	}
}

// strike is the first moment of trouble for one connection.
func (s *service) strike(f Fault, l *link) {
	c := s.calls[l]
	switch {
	case f.Kind == Silent, f.Kind == Hung, f.Kind == Outage && s.world.script.Pushed:
		s.silence(c)
	case f.Kind == Reset, f.Kind == Outage:
		s.end(l, c)
	}
}

// silence leaves a call without a word from now on.
func (s *service) silence(c *call) {
	if c != nil && !c.silent {
		c.silent = true
		c.seen.Silent(s.world.now)
	}
}

// end resets a connection.
func (s *service) end(l *link, c *call) {
	if c != nil {
		c.seen.Refused(s.world.now)
	}
	delete(s.calls, l)
	s.close(l, s.world.script.Latency)
}

func (s *service) close(l *link, after time.Duration) {
	l.closed = true
	l.balancer.hear(l, after, func(b *balancer, now time.Duration) { b.watcher.Closed(now, l.number) })
}

// connect takes a connection of a balancer; it tells what comes of it.
func (s *service) connect(l *link, limit time.Duration) {
	b := l.balancer
	_, down := s.downUntil()
	switch {
	case s.active(Vanished, b.number) != nil:
		silent := s.world.audit.Called(b.number, s.world.now, 0)
		silent.Silent(s.world.now)
		l.balancer.hear(l, limit, func(b *balancer, now time.Duration) {
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
		l.balancer.hear(l, took, func(b *balancer, now time.Duration) {
			l.up = true
			b.watcher.Connected(now, l.number)
		})
	}
}

// receive takes a call.
func (s *service) receive(l *link, request string) {
	w, b := s.world, l.balancer
	since, wait := parse(request)
	c := &call{since: since}
	c.seen = w.audit.Called(b.number, w.now, wait)
	s.calls[l] = c
	w.explain("balancer %d calls: since %d, wait %v", b.number, since, wait)
	_, down := s.downUntil()
	switch {
	case s.active(Hung, b.number) != nil, down && w.script.Pushed:
		s.silence(c)
	case down:
		s.end(l, c)
	default:
		if f := s.active(Refusing, b.number); f != nil {
			c.answerAt = w.now + f.Delay
			w.at(c.answerAt, func() { s.refuse(l, c) })
			return
		}
		if f := s.active(Slow, b.number); f != nil {
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

// parse reads a call.
func parse(request string) (since int, wait time.Duration) {
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

// refuse turns a call down, as discovery does with those that waited too long.
func (s *service) refuse(l *link, c *call) {
	if s.calls[l] != c || c.silent || l.closed {
		return
	}
	delete(s.calls, l)
	c.seen.Refused(s.world.now)
	s.world.explain("balancer %d is refused", l.balancer.number)
	s.write(l, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// answer answers a call with what is new, or with what trouble makes of it.
func (s *service) answer(l *link, c *call) {
	if s.calls[l] != c || c.silent || l.closed {
		return
	}
	delete(s.calls, l)
	b, closes := l.balancer, s.active(Closing, l.balancer.number) != nil
	body := s.history.FullList(s.history.LatestRevision())
	if c.since >= 0 && s.active(Whole, b.number) == nil {
		body = s.history.Delta(c.since)
	}
	good, revision := true, s.history.LatestRevision()
	switch {
	case c.since < 0 && !b.heard && (s.world.script.Pushed || s.active(Stale, b.number) != nil):
		// what an agent cannot tell a new process, and that the first list of a discovery is an old one, nobody can know
	case s.active(Truncated, b.number) != nil:
		body, good = body[:len(body)/2], false
	case s.active(Garbled, b.number) != nil:
		body, good = strings.Replace(body, `"phase"`, `"phrase"`, 1)+"]", false
	case s.active(Duplicate, b.number) != nil && s.history.LatestRevision() > 0:
		body, good = s.history.DuplicateHostAnswer(), false
	case s.active(Stale, b.number) != nil && s.history.LatestRevision() > 0:
		revision = s.history.LatestRevision() / 2
		body, good = s.history.FullList(revision), revision >= b.told // one that is no older than what was told before is just late
	}
	if good {
		b.heard, b.told = true, revision
		s.world.audit.Answered(b.number, c.seen, s.world.now, revision)
	} else {
		c.seen.Failed(s.world.now)
	}
	header := ""
	if closes {
		header = "Connection: close\r\n"
	}
	s.world.explain("balancer %d is answered: %s", b.number, body)
	s.write(l, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body))
	if closes {
		s.close(l, s.world.script.Latency+time.Millisecond)
	}
}

func (s *service) write(l *link, text string) {
	l.balancer.hear(l, s.world.script.Latency, func(b *balancer, now time.Duration) { b.watcher.Received(now, l.number, []byte(text)) })
}
