package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestColdBudget(t *testing.T) {
	servers := fleet(6)
	b, h := newBalancer(t, servers)
	for i := range 60 {
		id := fmt.Sprint("w", i)
		send(t, b, h, t0, req(id, uint64(i)*977))
		b.ConnectionEstablished(t0, id)
	}
	servers[2].Started = t0 // restarted under one id
	b.Members(t0, Delta, servers[2:3])
	n := 0
	for i := range 300 { // a storm of returning clients within the fall window
		if send(t, b, h, t0+time.Duration(i)*5*ms, req(fmt.Sprint("s", i), uint64(i)*31)) == servers[2].ID {
			n++
		}
	}
	usual := 10.0 // connections that stand on a warm server here, whatever the storm adds
	if most := headroom*3*0.3*usual/20*1.5 + 1; float64(n) > most {
		t.Errorf("%d sends to a server that just started, budget %v", n, most)
	}
	later := t0 + 30*time.Second
	if b.capacityShare(later, b.servers[servers[2].ID]) != 1 {
		t.Error("still cold after warmAfter")
	}
}

func TestAllColdAndSpentHoldsAndAnswers(t *testing.T) {
	b, h := allColdAndSpent(t)
	if got := len(h.take("send")); got > 3 {
		t.Errorf("%d sends to three servers that just started", got)
	}
	b.Wake(t0+1995*ms, timerWaiting)
	if got := len(h.take("refuse")); got < 40 {
		t.Errorf("only %d of the held requests were answered", got)
	}
}

// What the process before us sent to a cold server in this span is not known here: nothing more goes there in it.
func TestSucceedingSpendsTheColdBudget(t *testing.T) {
	servers := fleet(1)
	servers[0].Started = t0
	b, h := newBalancer(t, servers)
	now := t0 + b.settings.WarmAfter/2
	b.TakeOver(now)
	h.actions = nil
	b.Request(now+ms, req("early", 1))
	if sent := h.take("send"); len(sent) > 0 {
		t.Errorf("sent %v", sent)
	}
	if at := send(t, b, h, now+b.settings.OverloadSpan+ms, req("later", 2)); at != servers[0].ID {
		t.Errorf("sent to %q", at)
	}
}
