package policy

import (
	"testing"
	"time"
)

// While the list may be out of date new requests are held, and placed in order of their coming when it is told anew; the
// client's time runs on.
func TestRequestsAreHeldWithoutALease(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	b.Lease(t0, t0)
	for _, id := range []string{"a", "b"} {
		b.Request(t0, Request{ID: id, Class: "safe", TTL: time.Second})
	}
	if sent := h.take("send"); len(sent) > 0 {
		t.Fatalf("sent by a list that may be out of date: %v", sent)
	}
	b.Lease(t0+300*ms, never)
	sent := h.take("send")
	if len(sent) != 2 || sent[0].request != "a" || sent[1].request != "b" {
		t.Fatalf("placed: %v", sent)
	}
	if most := 700 * ms; sent[0].d > most {
		t.Errorf("an attempt may take %v, longer than the client waits", sent[0].d)
	}
}

// Without a list a request is refused after half of its time, whatever its effect: it was never sent.
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

// A lease that ends takes effect by itself, also on attempts that are not written yet.
func TestLeaseEndsByItself(t *testing.T) {
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

// Who never hears of leases goes by the list for ever, as in the simulator.
func TestNoLeaseIsNoBound(t *testing.T) {
	b, h := newBalancer(t, fleet(10))
	b.Request(t0+time.Hour, Request{ID: "a", Class: "safe", TTL: time.Second})
	if len(h.take("send")) != 1 {
		t.Error("not sent")
	}
}
