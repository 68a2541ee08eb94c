package policy

import (
	"fmt"
	"testing"
)

// A balancer without connections that meets two failing servers does not refuse requests: two of a hundred servers say
// nothing about the rest.
func TestTwoFailingServersAreNoOverload(t *testing.T) {
	b, h := newBalancer(t, fleet(100))
	b.eject(t0, b.list[3])
	b.eject(t0, b.list[40])
	if _, refused := placeMany(b, h); refused != 0 {
		t.Errorf("%d of 4000 refused", refused)
	}
}

// Each of hundreds of balancers knows only a few servers. If all of these are slow it refuses most new requests, though
// it knows nothing about the rest of the list. A single slow server among them says nothing about the fleet.
func TestSlowKnownServersIndicateOverload(t *testing.T) {
	for _, c := range []struct{ slow, low, high int }{{5, 3850, 3999}, {1, 0, 0}} {
		b, h := newBalancer(t, fleet(100))
		for i, s := range b.list[:5] {
			b.Inherit(t0, newRequest(fmt.Sprint("open", i), uint64(i)), s.ID)
			if i < c.slow {
				b.SiblingDelay(t0, s.hash, 300*ms)
			}
		}
		if _, refused := placeMany(b, h); refused < c.low || refused > c.high {
			t.Errorf("%d of 5 known servers slow: %d of 4000 refused", c.slow, refused)
		}
	}
}

// One of 300 balancers has a connection at one of 90 servers. Five servers are slow and twenty have lately reported to
// be healthy. A healthy report counts like an own connection, so there is no overload.
func TestHealthyReportsInALargeFleetPreventShedding(t *testing.T) {
	for _, c := range []struct{ siblings, low, high int }{{300, 0, 40}, {1, 3700, 3999}} {
		set := settings()
		set.Siblings = c.siblings
		b, h := newBalancerWith(t, set, fleet(90))
		b.Inherit(t0, newRequest("open", 1), b.list[0].ID)
		for i, s := range b.list[1:26] {
			if i < 5 {
				b.SiblingDelay(t0, s.hash, 300*ms)
			} else {
				b.ProbeResult(t0, s.ID, Report{Answered: true, Load: 0.3})
			}
		}
		if _, refused := placeMany(b, h); refused < c.low || refused > c.high {
			t.Errorf("%d balancers: %d of 4000 refused", c.siblings, refused)
		}
	}
}

// A store that every set-up calls is overloaded while all established connections are served well. Set-ups that fail in
// a row lead to the refusal of all requests but a sixteenth, and of further attempts too. A successful set-up ends
// that.
func TestFailingStoreShedsUntilASetupSucceeds(t *testing.T) {
	b, h := newBalancer(t, fleet(100))
	for i, s := range b.list[:40] {
		b.Inherit(t0, newRequest(fmt.Sprint("open", i), uint64(i)), s.ID)
	}
	now, sends := t0, 0
	fails := true
	step := func(i int) (sent int) {
		now += 100 * ms
		h.actions = nil
		b.Request(now, newRequest(fmt.Sprint("r", i), uint64(i)*31))
		for out := h.take("send"); len(out) > 0; out = h.take("send") {
			sent++
			if !fails {
				b.ConnectionEstablished(now, out[0].request)
				b.Outcome(now, out[0].request, OK, true)
				break
			}
			b.Outcome(now, out[0].request, Error, false)
		}
		return sent
	}
	for i := range 400 {
		sends += step(i)
	}
	if sends < 10 || sends > 100 {
		t.Errorf("%d attempts of 400 requests, want about a sixteenth and no retries", sends)
	}
	fails, sends = false, 0
	for i := range 400 {
		if sent := step(1000 + i); i >= 300 {
			sends += sent
		}
	}
	if sends < 95 {
		t.Errorf("only %d of 100 sent after the store has recovered", sends)
	}
}
