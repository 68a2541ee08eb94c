package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowStartBudget(t *testing.T) {
	servers := fleet(6)
	b, h := newBalancer(t, servers)
	for i := range 60 {
		id := fmt.Sprint("w", i)
		sendRequest(t, b, h, t0, newRequest(id, uint64(i)*977))
		b.ConnectionEstablished(t0, id)
	}
	servers[2].Started = t0 // restarted under the same id
	b.Members(t0, Delta, servers[2:3])
	n := 0
	for i := range 300 { // many clients reconnect within an OverloadSpan
		if sendRequest(t, b, h, t0+time.Duration(i)*5*ms, newRequest(fmt.Sprint("s", i), uint64(i)*31)) == servers[2].ID {
			n++
		}
	}
	typical := 10.0 // connections of a warm server here before those clients
	if limit := headroom*3*0.3*typical/20*1.5 + 1; float64(n) > limit {
		t.Errorf("%d sends to a server that just started, budget %v", n, limit)
	}
	later := t0 + 30*time.Second
	if b.capacityShare(later, b.servers[servers[2].ID]) != 1 {
		t.Error("still cold after WarmAfter")
	}
}

func TestRequestsWithoutSlowStartBudgetAreHeldAndAnswered(t *testing.T) {
	b, h := coldServersWithSpentBudgets(t)
	if got := len(h.take("send")); got > 3 {
		t.Errorf("%d sends to three servers that just started", got)
	}
	b.Wake(t0+1995*ms, timerWaiting)
	if got := len(h.take("refuse")); got < 40 {
		t.Errorf("only %d of the held requests were answered", got)
	}
}

// A new process does not know what its predecessor sent to a cold server in this OverloadSpan, so it sends nothing more
// there within it.
func TestTakeOverSpendsTheSlowStartBudget(t *testing.T) {
	servers := fleet(1)
	servers[0].Started = t0
	b, h := newBalancer(t, servers)
	now := t0 + b.settings.WarmAfter/2
	b.TakeOver(now)
	h.actions = nil
	b.Request(now+ms, newRequest("early", 1))
	if sent := h.take("send"); len(sent) > 0 {
		t.Errorf("sent %v", sent)
	}
	if at := sendRequest(t, b, h, now+b.settings.OverloadSpan+ms, newRequest("later", 2)); at != servers[0].ID {
		t.Errorf("sent to %q", at)
	}
}
