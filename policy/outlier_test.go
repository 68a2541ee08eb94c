package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestSilentServerIsEjectedAndReadmitted(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	top := rankedIDs(b, 3)
	sendRequest(t, b, h, t0, newRequest("r", 3))
	b.Outcome(t0+time.Second, "r", Timeout, false)
	now := t0 + time.Second
	if got := h.take("send"); len(got) != 1 || got[0].server == top[0] || got[0].duration > time.Second {
		t.Fatalf("after the time-out: %v", got)
	}
	b.ConnectionEstablished(now, "r")
	s := b.servers[top[0]]
	if b.passOver(now, &request{}, s) != ejected {
		t.Fatal("not ejected after a set-up without an answer")
	}
	if now = s.ejectedUntil; now < t0+time.Second+settings().Classes["safe"].SetupTarget/2 {
		t.Errorf("passed over for only %v", now-t0-time.Second)
	}
	if got := sendRequest(t, b, h, now, newRequest("test", 3)); got != top[0] {
		t.Fatalf("after the ejection a connection went to %s", got)
	}
	b.eject(now, s)
	b.ConnectionEstablished(now+ms, "test")
	if b.passOver(now+ms, &request{}, s) != eligible {
		t.Error("still passed over after a connection was established")
	}
}

func TestEjectionTimeGrowsWithRepeats(t *testing.T) {
	b, _ := newBalancer(t, fleet(3))
	s, last, now := b.list[0], time.Duration(0), t0
	for range 3 {
		b.eject(now, s)
		if span := s.ejectedUntil - now; span <= last {
			t.Fatalf("ejection of %v after one of %v", span, last)
		} else {
			last, now = span, s.ejectedUntil+ms
		}
	}
}

// placeMany places 4000 requests and returns the servers used and how many were refused.
func placeMany(b *Balancer, h *fakeHost) (seen map[string]bool, refused int) {
	seen = map[string]bool{}
	for i := range 4000 {
		h.actions = nil
		b.Request(t0+ms, newRequest(fmt.Sprint("r", i), uint64(i)))
		for _, a := range h.actions {
			switch a.name {
			case "send":
				seen[a.server] = true
			case "refuse":
				refused++
			}
		}
	}
	return seen, refused
}

// If most of the fleet fails, ejections are ignored, as the load must not concentrate on the few other servers, and a
// large part of the load is refused.
func TestEjectionsAreIgnoredWhenMostOfTheFleetFails(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	for _, s := range b.list[:4] {
		b.eject(t0, s)
	}
	seen, refused := placeMany(b, h)
	if len(seen) < 4 {
		t.Errorf("all load went to the rest: %v", seen)
	}
	if refused < 3800 || refused == 4000 { // all but the cube of a third
		t.Errorf("%d of 4000 refused", refused)
	}
	mid := newRequest("mid", 1)
	mid.MidFlow = true
	sendRequest(t, b, h, t0+ms, mid) // never refused, as its connection is established
}

// If the whole fleet is slow, requests are placed at once: a held request would miss its deadline and its client would
// come again.
func TestRequestsArePlacedAtOnceWhenTheFleetIsSlow(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	for i, s := range b.list {
		if i < 3 {
			b.SiblingDelay(t0, s.hash, 300*ms)
		} else {
			s.State = Draining
		}
	}
	// all but the cube of two fifths are refused
	if seen, refused := placeMany(b, h); len(seen) != 3 || refused < 3650 || refused == 4000 {
		t.Errorf("placed on %v, want the three that are slow and do not drain; %d of 4000 refused", seen, refused)
	}
	if b.surveyHealth(t0 + 3*time.Second); b.shedProbability() > 0 {
		t.Error("overloaded long after the last report of it")
	}
}

// A store that every set-up calls is overloaded: all attempts fail at once, whatever the server.
func TestSheddingProtectsAFailingStore(t *testing.T) {
	b, h := newBalancer(t, fleet(8))
	now, sends := t0, 0
	var out []action
	for i := range 400 {
		now += 10 * ms
		for _, a := range out {
			b.Outcome(now, a.request, Error, false)
		}
		b.Request(now, newRequest(fmt.Sprint("r", i), uint64(i)*31))
		b.Wake(now, timerWaiting)
		out = h.take("send")
		sends += len(out)
	}
	if sends > 1600/6 { // four attempts each would be 1600
		t.Errorf("%d attempts in 4 s into a fleet where all fail", sends)
	}
	served := 0
	for i := range 2000 { // the store recovers
		now += 10 * ms
		for _, a := range out {
			b.ConnectionEstablished(now, a.request)
		}
		b.Request(now, newRequest(fmt.Sprint("s", i), uint64(i)*31))
		b.Wake(now, timerWaiting)
		if out = h.take("send"); i >= 1900 {
			served += len(out)
		}
	}
	if served < 95 || len(b.waiting) != 0 {
		t.Errorf("%d of the last 100 sent, %d held though set-ups succeed again", served, len(b.waiting))
	}
}

// crowdTopServer establishes n connections of a key and returns its top server.
func crowdTopServer(t *testing.T, b *Balancer, h *fakeHost, key uint64, n int) *server {
	t.Helper()
	for i := range n {
		id := fmt.Sprint("c", i)
		sendRequest(t, b, h, t0, newRequest(id, key))
		b.ConnectionEstablished(t0, id)
	}
	return b.servers[rankedIDs(b, key)[0]]
}

func TestConnectionsAreMovedFromACrowdedServer(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowdTopServer(t, b, h, 3, 20)
	b.ConnectionMetric(t0, "c2", MetricLoad, 9000) // not used
	if len(h.take("move")) != 0 {
		t.Fatal("moved for a load metric")
	}
	b.ConnectionMetric(t0+ms, "c0", MetricDelay, 400)
	moves := h.take("move")
	if len(moves) == 0 || len(moves) > 5 {
		t.Fatalf("moves: %v, want a few", moves)
	}
	if got := sendRequest(t, b, h, t0+2*ms, newRequest("new", 3)); got == s.ID {
		t.Error("a crowded server got a new connection")
	}
	b.ConnectionMetric(t0+time.Second, "c0", MetricDelay, 20)
	if now := s.ejectedUntil; now > t0+2*time.Second || b.passOver(now, &request{}, s) != eligible {
		t.Error("passed over though its delay is short again and the ejection has ended")
	}
}

func TestNoMovesWhileTheBacklogShrinks(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	crowdTopServer(t, b, h, 3, 20)
	b.ConnectionMetric(t0, "c0", MetricDelay, 900)
	h.actions = nil
	b.ConnectionMetric(t0+time.Second, "c0", MetricDelay, 400)
	if moves := h.take("move"); len(moves) > 0 {
		t.Errorf("%d moves though the backlog shrinks", len(moves))
	}
}

func TestDelayThatGrowsAtTheRateOfTimeEjects(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowdTopServer(t, b, h, 3, 8)
	b.ConnectionMetric(t0, "c0", MetricDelay, 3000)
	b.ConnectionMetric(t0+time.Second, "c0", MetricDelay, 4000)
	if s.ejectedUntil <= t0+time.Second {
		t.Error("a server that processes nothing is not ejected")
	}
}

// A server that drops its newest connections is crowded, not silent, so resets of established connections alone do not
// eject it.
func TestResetOfAnEstablishedConnectionDoesNotEject(t *testing.T) {
	b, h := newBalancer(t, fleet(4))
	s := b.servers[sendRequest(t, b, h, t0, newRequest("r", 3))]
	b.ConnectionEstablished(t0, "r")
	b.Outcome(t0+ms, "r", Reset, true)
	if t0+ms < s.ejectedUntil {
		t.Error("ejected for a reset")
	}
}

// A server that drops all connections holds none of ours. A delay reported of it still keeps new connections away.
func TestDelayAtAServerWithoutConnections(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	top := sendRequest(t, b, h, t0, newRequest("a", 7))
	b.ConnectionEstablished(t0, "a")
	b.Outcome(t0, "a", Reset, true)
	b.ServerDelay(t0, top, time.Second)
	b.ServerDelay(t0, "unheard-of", time.Second)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		if got := sendRequest(t, b, h, t0+ms, newRequest(id, 7)); got == top {
			t.Errorf("%s went to %s", id, got)
		}
	}
}
