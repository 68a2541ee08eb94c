package policy

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func runWorld(t *testing.T, seed uint64, set Settings) *world {
	w := &world{t: t, now: t0, set: set, bound: map[string]time.Duration{}, open: map[string]*client{}, state: map[string]Server{}, told: map[string]time.Duration{},
		rng: rand.New(rand.NewPCG(seed, 7))}
	w.b = New(set, seed, w)
	for _, s := range fleet(7) {
		w.state[s.ID] = s
	}
	w.b.Members(t0, Cached, fleet(7))
	for range 3000 {
		w.step()
	}
	for len(w.open) > 0 { // the counts return to zero
		for _, id := range w.names() {
			if c := w.open[id]; c.out != "" {
				delete(w.open, id)
				w.b.Outcome(w.now, id, OK, true)
			}
		}
		w.now += 5 * ms
		w.b.Wake(w.now, timerWaiting)
	}
	for _, s := range w.b.servers {
		if len(s.connections) != 0 {
			t.Fatalf("seed %d: %s still counts %d connections", seed, s.ID, len(s.connections))
		}
	}
	if len(w.b.requests) != 0 {
		t.Fatalf("seed %d: %d requests left", seed, len(w.b.requests))
	}
	return w
}

func TestRulesUnderRandomEvents(t *testing.T) {
	again := 0
	for seed := range uint64(30) {
		if w := runWorld(t, seed, settings()); w.serial < 500 {
			t.Fatalf("only %d requests", w.serial)
		}
		set := settings()
		set.GoneServersUsable, set.RetryBudgetSpan, set.RetryBudgetBase, set.RetryBudgetRatio = true, 2*time.Second, 2, 0.03
		again += len(runWorld(t, seed, set).again)
	}
	if again < 50 {
		t.Errorf("only %d further attempts: the budget was hardly tried", again)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := runWorld(t, 4, settings()).trace, runWorld(t, 4, settings()).trace; !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}
