package policy

import (
	"fmt"
	"testing"
	"time"
)

// newBudgetBalancer returns a balancer with a retry budget.
func newBudgetBalancer(t *testing.T, spare, share float64) (*Balancer, *fakeHost) {
	t.Helper()
	set := settings()
	set.RetryBudgetSpan, set.RetryBudgetBase, set.RetryBudgetRatio, set.MaxAttempts = 2*time.Second, spare, share, 9
	return newBalancerWith(t, set, fleet(12))
}

// retriesAfterRejection places a request whose first attempt is rejected, and reports whether it was sent again.
func retriesAfterRejection(t *testing.T, b *Balancer, h *fakeHost, now time.Duration, id string) bool {
	t.Helper()
	h.actions = nil
	q := newRequest(id, 3)
	q.TTL = 20 * time.Second
	b.Request(now, q)
	h.actions = nil
	b.Outcome(now, id, Rejected, false)
	retries := h.take("send")
	if len(retries) > 0 {
		b.ConnectionEstablished(now, id)
	}
	return len(retries) > 0
}

func TestRetryBudget(t *testing.T) {
	for _, c := range []struct {
		spare, share float64
		sent         int // of six requests whose first attempts are rejected at once
	}{{2, 0, 2}, {0, 0, 0}, {0, 0.5, 3}, {1, 0.34, 3}, {9, 0, 6}} {
		b, h := newBudgetBalancer(t, c.spare, c.share)
		sent := 0
		for i := range 6 {
			if retriesAfterRejection(t, b, h, t0, fmt.Sprint("r", i)) {
				sent++
			}
			for _, s := range b.list { // ejections are not under test here
				s.ejectedUntil = 0
			}
		}
		if sent != c.sent {
			t.Errorf("spare %v, share %v: %d retries, want %d", c.spare, c.share, sent, c.sent)
		}
	}
}

// A request that finds the budget spent is answered in the same event.
func TestSpentBudgetAnswersAtOnce(t *testing.T) {
	b, h := newBudgetBalancer(t, 1, 0)
	b.Request(t0, newRequest("r", 3))
	b.Outcome(t0, "r", Rejected, false) // uses the one retry of the budget
	h.actions = nil
	b.Outcome(t0+ms, "r", Rejected, false)
	if got := h.take("refuse"); len(got) != 1 {
		t.Fatalf("%d refusals in the event that ended the last attempt", len(got))
	}
}

func TestRetryBudgetSlides(t *testing.T) {
	span := 2 * time.Second
	b, h := newBudgetBalancer(t, 1, 0)
	if !retriesAfterRejection(t, b, h, t0, "a") || retriesAfterRejection(t, b, h, t0+span, "b") || !retriesAfterRejection(t, b, h, t0+span+1, "c") {
		t.Error("a retry must count for the full span including its far end, and no longer")
	}
	b, h = newBudgetBalancer(t, 0, 0.5)
	b.Request(t0, newRequest("early", 3))
	if !retriesAfterRejection(t, b, h, t0+span-1, "a") {
		t.Error("a request taken within the span does not count")
	}
	b, h = newBudgetBalancer(t, 0, 0.5)
	b.Request(t0, newRequest("early", 3))
	if retriesAfterRejection(t, b, h, t0+span, "a") {
		t.Error("a request counts though the span has passed since")
	}
}

func TestRefusedRequestsCountForTheBudgetAndUnsentAttemptsDoNot(t *testing.T) {
	b, h := newBudgetBalancer(t, 0, 0.5)
	q := newRequest("refused", 3)
	q.TTL = 0
	b.Request(t0, q)
	if len(h.take("refuse")) != 1 {
		t.Fatal("a request without time was not refused")
	}
	if !retriesAfterRejection(t, b, h, t0, "a") {
		t.Error("a refused request does not count for the budget")
	}
	b, h = newBudgetBalancer(t, 1, 0)
	b.Request(t0, newRequest("r", 3))
	b.Outcome(t0, "r", Rejected, false)
	h.actions = nil
	b.Outcome(t0, "r", NotSent, false)
	if len(h.take("send")) != 1 {
		t.Error("an attempt that was not sent counts as a retry")
	}
}

func TestNoRetryBudgetWithoutSettings(t *testing.T) {
	b, h := newBalancer(t, fleet(12))
	for i := range 8 {
		if !retriesAfterRejection(t, b, h, t0+time.Duration(i), fmt.Sprint("r", i)) {
			t.Fatalf("request %d was not retried", i)
		}
	}
}
