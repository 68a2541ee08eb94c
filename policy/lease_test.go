package policy

import (
	"testing"
	"time"
)

// Without a lease on the list new requests are held. They are placed in order of arrival once the lease is renewed, and
// their deadlines do not change.
func TestRequestsAreHeldWithoutALease(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	b.Lease(t0, t0)
	for _, id := range []string{"a", "b"} {
		b.Request(t0, Request{ID: id, Class: "safe", TTL: time.Second})
	}
	if sent := h.take("send"); len(sent) > 0 {
		t.Fatalf("sent without a lease: %v", sent)
	}
	b.Lease(t0+300*ms, never)
	sent := h.take("send")
	if len(sent) != 2 || sent[0].request != "a" || sent[1].request != "b" {
		t.Fatalf("placed: %v", sent)
	}
	if limit := 700 * ms; sent[0].duration > limit {
		t.Errorf("an attempt may take %v, longer than the client waits", sent[0].duration)
	}
}

// Without a lease a request is refused after half of its time whatever its effect, as it was never sent.
func TestRequestsAreRefusedWithoutALease(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		b, h := newBalancer(t, fleet(10))
		b.Lease(t0, t0)
		b.Request(t0, Request{ID: "a", Class: class, TTL: time.Second})
		b.Wake(t0+499*ms, timerWaiting)
		if len(h.take("refuse")) > 0 {
			t.Fatalf("%s: refused before half of its time", class)
		}
		b.Wake(t0+500*ms, timerWaiting)
		if len(h.take("refuse")) != 1 {
			t.Errorf("%s: not refused", class)
		}
	}
}

// The end of a lease takes effect without an event, also for attempts that are not written yet.
func TestLeaseEndsWithoutAnEvent(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	b.Lease(t0, t0+time.Second)
	b.Request(t0, Request{ID: "a", Class: "safe", TTL: 4 * time.Second})
	if len(h.take("send")) != 1 {
		t.Fatal("not sent under a lease")
	}
	if !b.MayWrite(t0+999*ms, "a") || b.MayWrite(t0+1000*ms, "a") {
		t.Error("the attempt may be written up to the end of the lease, and not after it")
	}
	b.Request(t0+time.Second, Request{ID: "b", Class: "safe", TTL: 4 * time.Second})
	if len(h.take("send")) > 0 {
		t.Error("sent after the lease has ended")
	}
}

// Without any lease the list may be used for ever, as in the simulator.
func TestListWithoutALeaseDoesNotExpire(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	b.Request(t0+time.Hour, Request{ID: "a", Class: "safe", TTL: time.Second})
	if len(h.take("send")) != 1 {
		t.Error("not sent")
	}
}
