package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDrainingServerGetsOnlyMidFlowWithinTheGrace(t *testing.T) {
	servers := fleet(6)
	b, h := newBalancer(t, servers)
	top := rankedIDs(b, 3)
	i := slices.IndexFunc(servers, func(s Server) bool { return s.ID == top[0] })
	servers[i].State = Draining
	b.Members(t0, Delta, servers[i:i+1])
	if got := sendRequest(t, b, h, t0, newRequest("new", 3)); got != top[1] {
		t.Errorf("new connection went to %s, want %s", got, top[1])
	}
	mid := newRequest("mid", 3)
	mid.MidFlow = true
	within := b.settings.DrainGrace - maxProcessPause
	if got := sendRequest(t, b, h, t0+within-ms, mid); got != top[0] {
		t.Errorf("mid-flow within grace went to %s, want %s", got, top[0])
	}
	mid.ID = "held"
	if got := sendRequest(t, b, h, t0+within, mid); got == top[0] {
		t.Error("mid-flow went to the draining server though a paused process would write it after the grace")
	}
	mid.ID = "late"
	b.Members(t0+220*ms, Delta, servers[i:i+1]) // notified again: the grace counts from the first notification
	if got := sendRequest(t, b, h, t0+300*ms, mid); got == top[0] {
		t.Error("mid-flow after the grace still went to the draining server")
	}
}

func TestMidFlowGoesToItsHolderEvenIfCrowded(t *testing.T) {
	b, h := newBalancer(t, fleet(6))
	s := crowdTopServer(t, b, h, 3, 12)
	b.ConnectionMetric(t0, "c0", MetricDelay, 90)
	b.eject(t0, s)
	mid := newRequest("mid", 3)
	mid.MidFlow = true
	if got := sendRequest(t, b, h, t0+ms, mid); got != s.ID {
		t.Errorf("mid-flow went to %s and not to its holder %s", got, s.ID)
	}
}

// A mid-flow arrival was placed before a young server joined, so the top one of the other servers holds it, unless all
// are young.
func TestMidFlowPassesOverYoungServers(t *testing.T) {
	set := settings()
	set.WarmAfter = time.Second // so that no slow start budget interferes
	b, h := newBalancerWith(t, set, fleet(5))
	ranked := rankedIDs(b, 7)
	join := func(id string) {
		s := Server{ID: id, State: Ready, Weight: 1, Started: t0}
		b.Members(t0, Delta, []Server{s})
	}
	mid := func(id string, now time.Duration) string {
		q := newRequest(id, 7)
		q.MidFlow = true
		return sendRequest(t, b, h, now, q)
	}
	join(ranked[0])
	if got := mid("a", t0+5*time.Second); got != ranked[1] {
		t.Errorf("not sent to %s but to %s, the young top server", ranked[1], got)
	}
	if got := mid("b", t0+connectionLifetime); got != ranked[0] {
		t.Errorf("sent to %s and not to the top server, which is old by now", got)
	}
	for _, id := range ranked {
		join(id)
	}
	if got := mid("c", t0+5*time.Second); got != ranked[0] {
		t.Errorf("sent to %s and not to the top of the servers, which are all young", got)
	}
}

// Most connections of a key are at the server with most of this balancer's connections of it. If it has none, a
// mid-flow arrival does not go to a slow server.
func TestMidFlowGoesToTheServerWithMostOfItsKey(t *testing.T) {
	b, h := newBalancer(t, fleet(5))
	ranked := rankedIDs(b, 7)
	mid := func(id string, now time.Duration) string {
		q := newRequest(id, 7)
		q.MidFlow = true
		return sendRequest(t, b, h, now, q)
	}
	b.ServerDelay(t0, ranked[0], 80*ms)
	if got := mid("a", t0); got != ranked[1] {
		t.Errorf("sent to %s and not to the next one after the slow server", got)
	}
	later := t0 + 10*metricInterval
	if got := mid("b", later); got != ranked[0] {
		t.Errorf("sent to %s and not to the top server", got)
	}
	b.Inherit(later, newRequest("c", 7), ranked[2])
	b.Inherit(later, newRequest("other", 8), ranked[3])
	if got := mid("d", later); got != ranked[2] {
		t.Errorf("sent to %s and not to the server that holds one of the key", got)
	}
}

// When a sibling fails, all its clients of a key arrive at once. An arrival that is not sent to its holder is set up
// anew. The arrivals are therefore distributed as the holders' shares are likely to be, as all at one server would fill
// it.
func TestMidFlowBurstsAreDistributed(t *testing.T) {
	burst := func(b *Balancer, h *fakeHost, n int) map[string]int {
		got := map[string]int{}
		for i := range n {
			q := newRequest(fmt.Sprint("mid", i), 7)
			q.MidFlow = true
			got[sendRequest(t, b, h, t0+ms, q)]++
		}
		return got
	}
	b, h := newBalancer(t, fleet(5))
	ranked := rankedIDs(b, 7)
	if got := burst(b, h, 6); got[ranked[0]] != 3 || got[ranked[1]] != 3 {
		t.Errorf("without a connection of the key here: %v of %v", got, ranked)
	}
	b, h = newBalancer(t, fleet(5))
	for i, at := range []int{2, 2, 2, 2, 3, 3} {
		b.Inherit(t0, newRequest(fmt.Sprint("own", i), 7), ranked[at])
	}
	if got := burst(b, h, 6); got[ranked[2]] < 3 || got[ranked[3]] < 2 || len(got) != 2 {
		t.Errorf("with four connections at one server and two at the other: %v of %v", got, ranked)
	}
}
