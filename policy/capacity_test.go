package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// reportLoads delivers a report of each server to all siblings, with a load that depends on its rank for a key.
func reportLoads(all []*sibling, key uint64, load func(rank int) float64) (ranked []string) {
	ranked = rankedIDs(all[0].Balancer, key)
	for _, b := range all {
		for i, id := range ranked {
			b.ProbeResult(t0, id, Report{Answered: true, Load: load(i + 1)})
		}
	}
	return ranked
}

// 42 balancers each have a client of one key, all new or all reconnecting. While the two top servers of the key have
// capacity all clients go there, else all go to the next two that have; a lower rank needs more spare capacity. With a
// random choice for each request a group would be spread over many servers, each of which pays a cost for it, and the
// fleet would create its own load.
func TestKeyGoesDownTheRankingOnlyPastFullServers(t *testing.T) {
	for _, c := range []struct {
		top, rest   float64 // loads of the two top servers and of all others
		first, last int     // ranks that the clients go to; 0 if none
	}{{0.6, 0, 1, 2}, {0.74, 0, 1, 2}, {0.8, 0.3, 3, 4}, {0.8, 0.65, 3, 4}, {0.8, 0.74, 0, 0}, {1.2, 1.2, 0, 0}} {
		for _, reconnecting := range []bool{false, true} {
			all := newProbingSiblings(80, fleet(10))[:42]
			ranked := reportLoads(all, 7, func(rank int) float64 {
				if rank <= 2 {
					return c.top
				}
				return c.rest
			})
			got := countPlacements(all, func(i int) Request {
				q := sameKey(i)
				q.Reconnecting = reconnecting
				return q
			})
			sent := 0
			for i, id := range ranked {
				if rank := i + 1; rank < c.first || rank > c.last {
					assert.Zero(t, got[id], "%+v, reconnecting %v: sent to rank %d", c, reconnecting, rank)
				}
				sent += got[id]
			}
			assert.Equal(t, c.first > 0, sent == 42, "%+v, reconnecting %v: %d sent", c, reconnecting, sent)
			assert.Zero(t, got["refused"], "%+v, reconnecting %v: refused while there is time", c, reconnecting)
		}
	}
}

// A server far down the ranking of a key takes it only if it is nearly empty.
func TestLowerRankNeedsMoreSpareCapacity(t *testing.T) {
	b := newProbingSiblings(80, fleet(30))[0]
	for rank, want := range map[int]bool{1: true, 2: true, 6: true, 8: false, 30: false} {
		r := &request{rank: rank, probeUntil: t0 + time.Second}
		s := b.list[0]
		s.load, s.reportedAt = 0.6, t0
		assert.Equal(t, want, !b.isFull(t0, r, s), "rank %d at a load of 0.6", rank)
	}
}

// A request that may send no further probe does not go to a server without a report while other servers have reported,
// as a server that nobody probes looks empty and would be filled by all balancers. If no server has reported there is
// no alternative.
func TestUnreportedServerIsUsedOnlyIfNoneHasReported(t *testing.T) {
	for _, reported := range []bool{true, false} {
		b := newProbingSiblings(80, fleet(10))[0]
		if ranked := rankedIDs(b.Balancer, 7); reported {
			b.ProbeResult(t0, ranked[9], Report{Answered: true, Load: 1})
		}
		b.Request(t0, newRequest("r", 7))
		r := b.requests["r"]
		r.probes = 2 * r.maxAttempts
		b.host.actions = nil
		b.Wake(r.probeUntil, timerWaiting)
		assert.Equal(t, !reported, len(b.host.take("send")) == 1, "one server has reported: %v", reported)
	}
}

// A balancer of a large fleet knows four failing servers and a healthy one, out of thirty. If these stood for the whole
// fleet it would refuse nearly all requests, though the reports of other servers show capacity.
func TestLargeFleetRefusesNobodyWhileReportsShowCapacity(t *testing.T) {
	all := newProbingSiblings(300, fleet(30))[:40]
	reportLoads(all, 7, func(int) float64 { return 0.2 })
	for _, b := range all {
		for _, s := range b.list[:29] {
			s.reportedAt = t0 - 4*time.Second
		}
		for _, s := range b.list[:4] {
			b.eject(t0, s)
		}
	}
	got := countPlacements(all, distinctKey)
	assert.Zero(t, got["refused"])
}

// A mid-flow connection arrives at a balancer of a large fleet that knows nothing of its key. It goes to one of the two
// top servers that has capacity, as any server may hold it. If a connection of the key is established here, it goes to
// the server of that one, full or not.
func TestMidFlowInALargeFleetGoesToSpareCapacity(t *testing.T) {
	all := newProbingSiblings(80, fleet(10))[:40]
	ranked := reportLoads(all, 7, func(rank int) float64 { return map[int]float64{1: 0.85, 2: 0.3, 3: 0.5}[rank] })
	midFlow := func(i int) Request {
		q := sameKey(i)
		q.MidFlow = true
		return q
	}
	got := countPlacements(all, midFlow)
	assert.Equal(t, 40, got[ranked[1]], "at the second server, which has more capacity left: %v", got)
	b := all[0]
	b.Inherit(t0, newRequest("old", 7), ranked[0])
	b.host.actions = nil
	b.Request(t0+100*ms, midFlow(99))
	if sends := b.host.take("send"); assert.Len(t, sends, 1) {
		assert.Equal(t, ranked[0], sends[0].server, "the server with our connection of the key")
	}
}

// A key that ranks a cold server far down does not go there, as the server would get a few connections of every key. A
// key that makes up most of the requests does not send the server more than its share.
func TestColdServerTakesKeysThatRankItHigh(t *testing.T) {
	servers := fleet(60)
	servers[0].Started = t0 - time.Second
	b := newSiblings(300, 3000, servers)[0]
	cold := b.servers[servers[0].ID]
	rankedIDs(b.Balancer, 1) // computes the total weight
	accepted := func(rank, timesSeen int) (yes int) {
		b.totalKeyCount = 100
		for i := range 2000 {
			r := &request{keyHash: uint32(i + 1), rank: rank}
			b.keyCounts[r.keyHash] = timesSeen
			if b.withinSlowStart(t0, r, cold) {
				yes++
			}
			delete(b.keyCounts, r.keyHash)
		}
		return yes
	}
	b.requestRate.Add(t0, b.settings.OverloadSpan)
	rare, popular := accepted(3, 1), accepted(3, 60)
	assert.Zero(t, accepted(9, 1), "beyond slowStartRanks")
	assert.Positive(t, rare)
	assert.Less(t, popular*2, rare, fmt.Sprint("a key of more than half of all requests: ", popular, " of ", rare))
}
