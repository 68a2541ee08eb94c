package policy

import (
	"testing"
	"time"
)

// answered takes one request and tells the retry hint of the refusal in the same event, or -1 if there was none.
func answered(b *Balancer, h *fakeHost, now time.Duration, q Request) time.Duration {
	h.actions = nil
	b.Request(now, q)
	if got := h.take("refuse"); len(got) == 1 {
		return got[0].d
	}
	return -1
}

func TestNothingToWaitForIsAnsweredAtOnce(t *testing.T) {
	aim := settings().Classes["safe"].SetupTarget
	servers := fleet(2)
	b, h := newBalancer(t, called(Draining, servers))
	if hint := answered(b, h, t0, req("r", 1)); hint < 2*aim || hint > 4*aim {
		t.Errorf("all servers drain: hint %v", hint)
	}
	b, h = newBalancer(t, servers)
	send(t, b, h, t0, req("r", 1))
	b.Outcome(t0, "r", Rejected, false)
	h.actions = nil
	b.Outcome(t0, "r", Rejected, false)
	if got := h.take("refuse"); len(got) != 1 {
		t.Errorf("every server turned it away: %v", got)
	}
	set := settings() // a list that comes by itself names nobody
	set.MustWatch = false
	b, h = newBalancerWith(t, set, nil)
	if hint := answered(b, h, t0, req("r", 1)); hint < 2*aim {
		t.Errorf("empty list: hint %v", hint)
	}
}

// A call for the list is under way: the request waits for it for half of its time.
func TestEmptyListWaitsForTheCallUnderWay(t *testing.T) {
	b, h := newBalancer(t, nil)
	if hint := answered(b, h, t0, req("r", 1)); hint >= 0 {
		t.Fatal("refused though a list may come")
	}
	b.Members(t0+100*ms, Full, fleet(3))
	b.Wake(t0+200*ms, timerWaiting)
	if got := h.take("send"); len(got) != 1 {
		t.Errorf("not sent when the list came: %v", got)
	}
	b, h = newBalancer(t, nil)
	b.Request(t0, req("r", 1))
	b.Wake(t0+1001*ms, timerWaiting)
	if got := h.take("refuse"); len(got) != 1 {
		t.Errorf("no list came for half of its time: %v", got)
	}
	b.Members(t0+2*time.Second, Full, nil)
	if hint := answered(b, h, t0+2*time.Second, req("s", 1)); hint < 0 {
		t.Error("held though the call has been answered with nobody")
	}
}

// All servers are cold and spent: the request waits if the next draw comes in time, else it is told when.
func TestColdServersAreWaitedForOnlyInTime(t *testing.T) {
	b, h := allColdAndSpent(t)
	q := req("short", 99)
	q.TTL = time.Second
	if hint := answered(b, h, t0+2*ms, q); hint < 1490*ms || hint > 3*time.Second {
		t.Errorf("hint %v, want one to two spans of Fall", hint)
	}
	q = req("long", 99)
	if hint := answered(b, h, t0+2*ms, q); hint >= 0 {
		t.Error("refused though there may be room in time")
	}
}

// A spent budget says when it has an attempt again; clients that leave together do not return together.
func TestSpentBudgetTellsWhenToComeBack(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range 20 {
		b, h := rationed(t, 1, 0)
		for range seed {
			b.rng.Uint64()
		}
		if !failing(t, b, h, t0, "a") {
			t.Fatal("the spare attempt was not made")
		}
		b.Request(t0+500*ms, req("b", 3))
		h.actions = nil
		b.Outcome(t0+500*ms, "b", Rejected, false)
		got := h.take("refuse")
		if len(got) != 1 || got[0].d < 1500*ms || got[0].d > 3*time.Second+1 {
			t.Fatalf("refusals %v, want one with a hint of 1.5 to 3 s", got)
		}
		seen[got[0].d] = true
	}
	if len(seen) < 15 {
		t.Errorf("only %d different hints of 20", len(seen))
	}
}

// What was lost on the way is not waited for longer than the aim while another attempt may follow; where most of
// the fleet fails an attempt has half of the time, and where none may follow all of it.
func TestTimeoutLeavesTimeForAnotherAttempt(t *testing.T) {
	aim := settings().Classes["safe"].SetupTarget
	b, h := rationed(t, 1, 0)
	sent := func(id string) time.Duration {
		h.actions = nil
		b.Request(t0, req(id, 3))
		if got := h.take("send"); len(got) == 1 {
			return got[0].d
		}
		return 0
	}
	if d := sent("first"); d != aim {
		t.Errorf("time-out %v, want the aim", d)
	}
	b.retryTimes = []time.Duration{t0} // the spare attempt has been made
	if d := sent("spent"); d != 2*time.Second {
		t.Errorf("time-out %v though no other may follow", d)
	}
	b.retryTimes = nil
	for _, s := range b.list {
		b.eject(t0, s)
	}
	q := req("full", 3)
	q.MidFlow = true // never refused
	b.Request(t0, q)
	if got := h.take("send"); len(got) == 0 || got[len(got)-1].d != time.Second {
		t.Errorf("sends %v, want half of the time", got)
	}
}

// Who leaves while its request is held is not sent for when a server comes.
func TestNothingIsSentForAHeldRequestOfOneWhoLeft(t *testing.T) {
	b, h := newBalancer(t, nil)
	b.Request(t0, req("stays", 3))
	b.Request(t0, req("leaves", 4))
	b.ClientGone(t0+ms, "leaves")
	b.Members(t0+2*ms, Full, fleet(2))
	h.actions = nil
	b.Wake(t0+200*ms, timerWaiting)
	if sent := h.take("send"); len(sent) != 1 || sent[0].request != "stays" {
		t.Errorf("sent %v", sent)
	}
}
