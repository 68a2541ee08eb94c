package policy

import (
	"fmt"
	"testing"
	"time"
)

// newZonedBalancer returns a balancer in zone z0 and four servers in each of four zones, of two alternating kinds. The
// balancer has a connection on the first two servers of each zone.
func newZonedBalancer(t *testing.T) (*Balancer, *fakeHost, []Server) {
	t.Helper()
	servers := fleet(16)
	for i := range servers {
		servers[i].Zone, servers[i].Kind = fmt.Sprint("z", i/4), fmt.Sprint("k", i%4/2)
	}
	b, h := newBalancer(t, servers)
	b.settings.Zone = "z0"
	for i, s := range servers {
		if i%4 < 2 {
			b.Inherit(t0, newRequest(fmt.Sprint("open", i), uint64(i)), s.ID)
		}
	}
	return b, h, servers
}

// passOverReasons returns the reason to pass over each server.
func passOverReasons(b *Balancer, now time.Duration, servers []Server) (out []int) {
	b.surveyHealth(now)
	for _, s := range servers {
		out = append(out, b.passOver(now, &request{}, b.servers[s.ID]))
	}
	return out
}

// Two servers behind a slow link fail and no server of their zone serves a connection. The two servers of the zone that
// were never tried are passed over at once too, until the ejections of the first two have faded. Other zones are not
// affected.
func TestServersOfAFailingZoneArePassedOver(t *testing.T) {
	b, _, servers := newZonedBalancer(t)
	for _, s := range servers[4:6] {
		b.SiblingDelay(t0, b.servers[s.ID].hash, 300*ms)
		b.eject(t0, b.servers[s.ID])
	}
	for i, reason := range passOverReasons(b, t0, servers) {
		want := eligible
		switch i {
		case 4, 5:
			want = ejected
		case 6, 7:
			want = domainFailing
		}
		if reason != want {
			t.Errorf("server %d in zone %s: reason %d, want %d", i, servers[i].Zone, reason, want)
		}
	}
	if reasons := passOverReasons(b, t0+time.Minute, servers); reasons[6] != eligible {
		t.Error("the zone is passed over for ever")
	}
	b.Inherit(t0, newRequest("proof", 99), servers[7].ID)
	if reasons := passOverReasons(b, t0, servers); reasons[6] != eligible {
		t.Error("passed over though a server of the zone has a connection of ours")
	}
}

// At the failing end of a link all other zones fail while the balancer's own zone is healthy.
func TestOwnZoneIsUsedWhenAllOthersFail(t *testing.T) {
	b, _, servers := newZonedBalancer(t)
	for i, s := range servers[4:] {
		if i%4 < 2 {
			b.eject(t0, b.servers[s.ID])
		}
	}
	for i, reason := range passOverReasons(b, t0, servers) {
		if (i < 4) != (reason == eligible) {
			t.Errorf("server %d in zone %s: reason %d", i, servers[i].Zone, reason)
		}
	}
}

// Servers of one kind fail one after the other. The servers of that kind that were not tried are passed over, those of
// the other kind are not.
func TestServersOfAFailingKindArePassedOver(t *testing.T) {
	b, _, servers := newZonedBalancer(t)
	b.eject(t0, b.servers[servers[2].ID])
	b.eject(t0, b.servers[servers[14].ID])
	for i, reason := range passOverReasons(b, t0, servers) {
		if kind := servers[i].Kind; (kind == "k0") != (reason == eligible) {
			t.Errorf("server %d of %s: reason %d", i, kind, reason)
		}
	}
}

// When the whole fleet fails, no zone is passed over for its failures, as the load would concentrate on the few servers
// left.
func TestNoZoneIsPassedOverWhenTheWholeFleetFails(t *testing.T) {
	b, _, servers := newZonedBalancer(t)
	for i, s := range servers {
		if i%4 < 2 && i != 13 && i != 9 {
			b.eject(t0, b.servers[s.ID])
		}
	}
	for i, reason := range passOverReasons(b, t0, servers) {
		if reason == domainFailing {
			t.Errorf("server %d in zone %s is passed over for the failures of its zone or kind", i, servers[i].Zone)
		}
	}
}

// Hundreds of balancers have a few connections each, and one zone is behind a slow link. Once each balancer knows of
// two slow servers there, all together hardly use the zone any more, and the load spreads evenly over all other zones.
func TestSiblingsLeaveASlowZoneWithoutOverloadingOthers(t *testing.T) {
	const n = 200
	servers := fleet(40)
	for i := range servers {
		servers[i].Zone, servers[i].Kind = fmt.Sprint("z", i%5), "k"
	}
	sent := map[string]int{}
	total := 0
	for _, b := range newSiblings(n, 6*n, servers) {
		b.settings.Zone = "z0"
		for _, s := range []*server{b.servers[servers[1].ID], b.servers[servers[6].ID]} {
			for _, r := range append([]*request(nil), s.connections...) {
				b.Outcome(t0, r.id, Reset, true)
			}
			b.eject(t0, s)
		}
		for _, s := range b.list {
			if s.Zone == "z1" && s.established > 0 {
				b.eject(t0, s)
			}
		}
		for i := range 10 {
			b.host.actions = nil
			b.Request(t0+ms, newRequest(fmt.Sprint("r", i), uint64(i)*7919+uint64(total)))
			for _, a := range b.host.take("send") {
				sent[a.server]++
				total++
			}
		}
	}
	sentToSlowZone, maxSent := 0, 0
	for _, s := range servers {
		if s.Zone == "z1" {
			sentToSlowZone += sent[s.ID]
		}
		maxSent = max(maxSent, sent[s.ID])
	}
	if total < 9*n || sentToSlowZone > total/50 {
		t.Errorf("%d of %d sent to the slow zone", sentToSlowZone, total)
	}
	if mean := total / 32; maxSent > 2*mean {
		t.Errorf("the busiest server got %d requests, the mean is %d", maxSent, mean)
	}
}
