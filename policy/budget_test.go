package policy

import (
	"fmt"
	"testing"
	"time"
)

// rationed makes a balancer whose further attempts are rationed.
func rationed(t *testing.T, spare, share float64) (*Balancer, *fakeHost) {
	t.Helper()
	set := settings()
	set.RetryBudgetSpan, set.RetryBudgetBase, set.RetryBudgetRatio, set.MaxAttempts = 2*time.Second, spare, share, 9
	return newBalancerWith(t, set, fleet(12))
}

// failing takes a request whose first attempt is turned away, and tells whether it was sent again.
func failing(t *testing.T, b *Balancer, h *fakeHost, now time.Duration, id string) bool {
	t.Helper()
	h.actions = nil
	q := req(id, 3)
	q.TTL = 20 * time.Second
	b.Request(now, q)
	h.actions = nil
	b.Outcome(now, id, Rejected, false)
	again := h.take("send")
	if len(again) > 0 {
		b.ConnectionEstablished(now, id)
	}
	return len(again) > 0
}

func TestBudgetOfAttempts(t *testing.T) {
	for _, c := range []struct {
		spare, share float64
		sent         int // of six that fail at once
	}{{2, 0, 2}, {0, 0, 0}, {0, 0.5, 3}, {1, 0.34, 3}, {9, 0, 6}} {
		b, h := rationed(t, c.spare, c.share)
		sent := 0
		for i := range 6 {
			if failing(t, b, h, t0, fmt.Sprint("r", i)) {
				sent++
			}
			for _, s := range b.list { // the doubt is not what is tested here
				s.ejectedUntil = 0
			}
		}
		if sent != c.sent {
			t.Errorf("spare %v, share %v: %d further attempts, want %d", c.spare, c.share, sent, c.sent)
		}
	}
}

// The request that finds the budget spent has its answer in the same event.
func TestSpentBudgetAnswersAtOnce(t *testing.T) {
	b, h := rationed(t, 1, 0)
	b.Request(t0, req("r", 3))
	b.Outcome(t0, "r", Rejected, false) // the one spare attempt
	h.actions = nil
	b.Outcome(t0+ms, "r", Rejected, false)
	if got := h.take("refuse"); len(got) != 1 {
		t.Fatalf("%d refusals in the event that ended the last attempt", len(got))
	}
}

func TestBudgetSlides(t *testing.T) {
	span := 2 * time.Second
	b, h := rationed(t, 1, 0)
	if !failing(t, b, h, t0, "a") || failing(t, b, h, t0+span, "b") || !failing(t, b, h, t0+span+1, "c") {
		t.Error("a further attempt must count for the whole span, its far end included, and no longer")
	}
	b, h = rationed(t, 0, 0.5)
	b.Request(t0, req("early", 3))
	if !failing(t, b, h, t0+span-1, "a") {
		t.Error("a request taken within the span does not count")
	}
	b, h = rationed(t, 0, 0.5)
	b.Request(t0, req("early", 3))
	if failing(t, b, h, t0+span, "a") {
		t.Error("a request counts though the span has passed since")
	}
}

func TestRefusedRequestsCountAsTakenAndSkippedAttemptsDoNot(t *testing.T) {
	b, h := rationed(t, 0, 0.5)
	q := req("refused", 3)
	q.TTL = 0
	b.Request(t0, q)
	if len(h.take("refuse")) != 1 {
		t.Fatal("a request without time was not refused")
	}
	if !failing(t, b, h, t0, "a") {
		t.Error("a refused request does not count as taken")
	}
	b, h = rationed(t, 1, 0)
	b.Request(t0, req("r", 3))
	b.Outcome(t0, "r", Rejected, false)
	h.actions = nil
	b.Outcome(t0, "r", NotSent, false)
	if len(h.take("send")) != 1 {
		t.Error("a skipped attempt counts")
	}
}

func TestNoBudgetWhereNoneIsTold(t *testing.T) {
	b, h := newBalancer(t, fleet(12))
	for i := range 8 {
		if !failing(t, b, h, t0+time.Duration(i), fmt.Sprint("r", i)) {
			t.Fatalf("request %d was not tried again", i)
		}
	}
}
