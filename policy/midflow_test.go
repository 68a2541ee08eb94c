package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDrainingIsSkippedForNewAndKeptForMidFlowWithinGrace(t *testing.T) {
	servers := fleet(6)
	b, h := newBalancer(t, servers)
	top := ids(b, 3)
	i := slices.IndexFunc(servers, func(s Server) bool { return s.ID == top[0] })
	servers[i].State = Draining
	b.Members(t0, Delta, servers[i:i+1])
	if got := send(t, b, h, t0, req("new", 3)); got != top[1] {
		t.Errorf("new connection went to %s, want %s", got, top[1])
	}
	mid := req("mid", 3)
	mid.MidFlow = true
	within := b.settings.DrainGrace - maxProcessPause
	if got := send(t, b, h, t0+within-ms, mid); got != top[0] {
		t.Errorf("mid-flow within grace went to %s, want %s", got, top[0])
	}
	mid.ID = "held"
	if got := send(t, b, h, t0+within, mid); got == top[0] {
		t.Error("mid-flow went to the draining server though a held process would write it after the grace")
	}
	mid.ID = "late"
	b.Members(t0+220*ms, Delta, servers[i:i+1]) // told again: the grace counts from the first time
	if got := send(t, b, h, t0+300*ms, mid); got == top[0] {
		t.Error("mid-flow after the grace still went to the draining server")
	}
}

func TestMidFlowGoesToItsHolderThoughCrowded(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowd(t, b, h, 3, 12)
	b.ConnectionMetric(t0, "c0", MetricDelay, 90)
	b.eject(t0, s)
	mid := req("mid", 3)
	mid.MidFlow = true
	if got := send(t, b, h, t0+ms, mid); got != s.ID {
		t.Errorf("mid-flow went to %s; its holder %s would have gone on", got, s.ID)
	}
}

// What arrives mid-flow was placed before a young server joined: the top of the others holds it, unless all are young.
func TestMidFlowPassesOverYoungServers(t *testing.T) {
	set := settings()
	set.WarmAfter = time.Second // so that no budget of a cold one interferes
	b, h := newBalancerWith(t, set, fleet(5))
	ranked := ids(b, 7)
	join := func(id string) {
		s := Server{ID: id, State: Ready, Weight: 1, Started: t0}
		b.Members(t0, Delta, []Server{s})
	}
	mid := func(id string, now time.Duration) string {
		q := req(id, 7)
		q.MidFlow = true
		return send(t, b, h, now, q)
	}
	join(ranked[0])
	if got := mid("a", t0+5*time.Second); got != ranked[1] {
		t.Errorf("the young top got it, not %s: %s", ranked[1], got)
	}
	if got := mid("b", t0+connectionLifetime); got != ranked[0] {
		t.Errorf("%s got it, not the top, which is old by now", got)
	}
	for _, id := range ranked {
		join(id)
	}
	if got := mid("c", t0+5*time.Second); got != ranked[0] {
		t.Errorf("%s got it, not the top of servers that are all young", got)
	}
}

// Most of a key's connections stand where most of ours do; where none do, not at a server that is slow.
func TestMidFlowGoesWhereMostOfItsKeyStand(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	ranked := ids(b, 7)
	mid := func(id string, now time.Duration) string {
		q := req(id, 7)
		q.MidFlow = true
		return send(t, b, h, now, q)
	}
	b.ServerDelay(t0, ranked[0], 80*ms)
	if got := mid("a", t0); got != ranked[1] {
		t.Errorf("%s got it, not the next after the slow one", got)
	}
	later := t0 + 10*metricInterval
	if got := mid("b", later); got != ranked[0] {
		t.Errorf("%s got it, not the top", got)
	}
	b.Inherit(later, req("c", 7), ranked[2])
	b.Inherit(later, req("other", 8), ranked[3])
	if got := mid("d", later); got != ranked[2] {
		t.Errorf("%s got it, not the one that holds one of the key", got)
	}
}

// When a sibling dies, all its clients of a key arrive at once. What is sent elsewhere than to its holder is set up
// anew, so they are dealt out as the holders' parts are likely to be; all to one server would fill it.
func TestMidFlowBurstsAreDealtOut(t *testing.T) {
	burst := func(b *Balancer, h *fakeHost, n int) map[string]int {
		got := map[string]int{}
		for i := range n {
			q := req(fmt.Sprint("mid", i), 7)
			q.MidFlow = true
			got[send(t, b, h, t0+ms, q)]++
		}
		return got
	}
	b, h := newBalancer(t, fleet(5))
	ranked := ids(b, 7)
	if got := burst(b, h, 6); got[ranked[0]] != 3 || got[ranked[1]] != 3 {
		t.Errorf("with none of the key here: %v of %v", got, ranked)
	}
	b, h = newBalancer(t, fleet(5))
	for i, at := range []int{2, 2, 2, 2, 3, 3} {
		b.Inherit(t0, req(fmt.Sprint("own", i), 7), ranked[at])
	}
	if got := burst(b, h, 6); got[ranked[2]] < 3 || got[ranked[3]] < 2 || len(got) != 2 {
		t.Errorf("with four at one and two at the other: %v of %v", got, ranked)
	}
}
