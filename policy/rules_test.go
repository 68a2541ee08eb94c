package policy

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// runRandomEvents plays random events, checks the rules and that no state is left at the end.
func runRandomEvents(t *testing.T, seed uint64, set Settings) *ruleChecker {
	w := &ruleChecker{t: t, now: t0, settings: set, drainingProcesses: map[string]time.Duration{}, clients: map[string]*client{}, servers: map[string]Server{}, drainNotifiedAt: map[string]time.Duration{},
		rng: rand.New(rand.NewPCG(seed, 7))}
	w.balancer = New(set, seed, w)
	for _, s := range fleet(7) {
		w.servers[s.ID] = s
	}
	w.balancer.Members(t0, Cached, fleet(7))
	for range 3000 {
		w.step()
	}
	for len(w.clients) > 0 { // all counts return to zero
		for _, id := range w.clientIDs() {
			if c := w.clients[id]; c.server != "" {
				delete(w.clients, id)
				w.balancer.Outcome(w.now, id, OK, true)
			}
		}
		w.now += 5 * ms
		w.balancer.Wake(w.now, timerWaiting)
	}
	for _, s := range w.balancer.servers {
		if len(s.connections) != 0 {
			t.Fatalf("seed %d: %s still counts %d connections", seed, s.ID, len(s.connections))
		}
	}
	if len(w.balancer.requests) != 0 {
		t.Fatalf("seed %d: %d requests left", seed, len(w.balancer.requests))
	}
	return w
}

func TestRulesUnderRandomEvents(t *testing.T) {
	retries := 0
	for seed := range uint64(30) {
		if w := runRandomEvents(t, seed, settings()); w.requestCount < 500 {
			t.Fatalf("only %d requests", w.requestCount)
		}
		set := settings()
		set.GoneServersUsable, set.RetryBudgetSpan, set.RetryBudgetBase, set.RetryBudgetRatio = true, 2*time.Second, 2, 0.03
		retries += len(runRandomEvents(t, seed, set).retryTimes)
	}
	if retries < 50 {
		t.Errorf("only %d retries: the budget was hardly tested", retries)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := runRandomEvents(t, 4, settings()).trace, runRandomEvents(t, 4, settings()).trace; !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}
