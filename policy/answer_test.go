package policy

import (
	"testing"
	"time"
)

// refusalHint places a request and returns the retry hint of its refusal in the same event, or -1 if it was not
// refused.
func refusalHint(b *Balancer, h *fakeHost, now time.Duration, q Request) time.Duration {
	h.actions = nil
	b.Request(now, q)
	if got := h.take("refuse"); len(got) == 1 {
		return got[0].duration
	}
	return -1
}

func TestRequestsWithoutProspectAreRefusedAtOnce(t *testing.T) {
	aim := settings().Classes["safe"].SetupTarget
	servers := fleet(2)
	b, h := newBalancer(t, withState(Draining, servers))
	if hint := refusalHint(b, h, t0, newRequest("r", 1)); hint < 2*aim || hint > 4*aim {
		t.Errorf("all servers drain: hint %v", hint)
	}
	b, h = newBalancer(t, servers)
	sendRequest(t, b, h, t0, newRequest("r", 1))
	b.Outcome(t0, "r", Rejected, false)
	h.actions = nil
	b.Outcome(t0, "r", Rejected, false)
	if got := h.take("refuse"); len(got) != 1 {
		t.Errorf("every server rejected it: %v", got)
	}
	set := settings() // a list that is pushed names no server
	set.MustWatch = false
	b, h = newBalancerWith(t, set, nil)
	if hint := refusalHint(b, h, t0, newRequest("r", 1)); hint < 2*aim {
		t.Errorf("empty pushed list: hint %v", hint)
	}
}

// While a call for the list is under way, a request waits for its answer for up to half of its time.
func TestRequestWaitsForAListUnderWay(t *testing.T) {
	b, h := newBalancer(t, nil)
	if hint := refusalHint(b, h, t0, newRequest("r", 1)); hint >= 0 {
		t.Fatal("refused though a list may still arrive")
	}
	b.Members(t0+100*ms, Full, fleet(3))
	b.Wake(t0+200*ms, timerWaiting)
	if got := h.take("send"); len(got) != 1 {
		t.Errorf("not sent when the list arrived: %v", got)
	}
	b, h = newBalancer(t, nil)
	b.Request(t0, newRequest("r", 1))
	b.Wake(t0+1001*ms, timerWaiting)
	if got := h.take("refuse"); len(got) != 1 {
		t.Errorf("not refused though no list arrived for half of its time: %v", got)
	}
	b.Members(t0+2*time.Second, Full, nil)
	if hint := refusalHint(b, h, t0+2*time.Second, newRequest("s", 1)); hint < 0 {
		t.Error("held though the call was answered with an empty list")
	}
}

// All servers are cold and their budgets are spent: a request is held if the next budget is drawn in time, else it is
// refused with a hint.
func TestRequestsWaitForColdServersOnlyInTime(t *testing.T) {
	b, h := coldServersWithSpentBudgets(t)
	q := newRequest("short", 99)
	q.TTL = time.Second
	if hint := refusalHint(b, h, t0+2*ms, q); hint < 1490*ms || hint > 3*time.Second {
		t.Errorf("hint %v, want one to two overload spans", hint)
	}
	q = newRequest("long", 99)
	if hint := refusalHint(b, h, t0+2*ms, q); hint >= 0 {
		t.Error("refused though a server may be available in time")
	}
}

// When the retry budget is spent, the hint of a refusal says when it allows another attempt. The hints are randomised,
// so that clients refused together do not come back together.
func TestSpentBudgetHintSaysWhenToRetry(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range 20 {
		b, h := newBudgetBalancer(t, 1, 0)
		for range seed {
			b.rng.Uint64()
		}
		if !retriesAfterRejection(t, b, h, t0, "a") {
			t.Fatal("the retry that the budget allows was not made")
		}
		b.Request(t0+500*ms, newRequest("b", 3))
		h.actions = nil
		b.Outcome(t0+500*ms, "b", Rejected, false)
		got := h.take("refuse")
		if len(got) != 1 || got[0].duration < 1500*ms || got[0].duration > 3*time.Second+1 {
			t.Fatalf("refusals %v, want one with a hint of 1.5 to 3 s", got)
		}
		seen[got[0].duration] = true
	}
	if len(seen) < 15 {
		t.Errorf("only %d different hints of 20", len(seen))
	}
}

// While another attempt may follow, an attempt times out at the set-up target, as its packets may be lost. If most of
// the fleet fails it gets half of the remaining time, and all of it if no other attempt may follow.
func TestTimeoutLeavesTimeForAnotherAttempt(t *testing.T) {
	aim := settings().Classes["safe"].SetupTarget
	b, h := newBudgetBalancer(t, 1, 0)
	sent := func(id string) time.Duration {
		h.actions = nil
		b.Request(t0, newRequest(id, 3))
		if got := h.take("send"); len(got) == 1 {
			return got[0].duration
		}
		return 0
	}
	if d := sent("first"); d != aim {
		t.Errorf("time-out %v, want the set-up target", d)
	}
	b.retryTimes = []time.Duration{t0} // the retry that the budget allows has been made
	if d := sent("spent"); d != 2*time.Second {
		t.Errorf("time-out %v though no other attempt may follow", d)
	}
	b.retryTimes = nil
	for _, s := range b.list {
		b.eject(t0, s)
	}
	q := newRequest("full", 3)
	q.MidFlow = true // never shed
	b.Request(t0, q)
	if got := h.take("send"); len(got) == 0 || got[len(got)-1].duration != time.Second {
		t.Errorf("sends %v, want a time-out of half of the time", got)
	}
}

// A request whose client leaves while it is held is not sent when a server becomes available.
func TestHeldRequestOfAGoneClientIsNotSent(t *testing.T) {
	b, h := newBalancer(t, nil)
	b.Request(t0, newRequest("stays", 3))
	b.Request(t0, newRequest("leaves", 4))
	b.ClientGone(t0+ms, "leaves")
	b.Members(t0+2*ms, Full, fleet(2))
	h.actions = nil
	b.Wake(t0+200*ms, timerWaiting)
	if sent := h.take("send"); len(sent) != 1 || sent[0].request != "stays" {
		t.Errorf("sent %v", sent)
	}
}
