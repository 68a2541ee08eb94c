package policy

import (
	"fmt"
	"testing"
	"time"
)

// zoned makes four servers in each of four zones, of two kinds in turn, and a balancer in zone z0 with a
// connection on the first two of each zone.
func zoned(t *testing.T) (*Balancer, *fakeHost, []Server) {
	t.Helper()
	servers := fleet(16)
	for i := range servers {
		servers[i].Zone, servers[i].Kind = fmt.Sprint("z", i/4), fmt.Sprint("k", i%4/2)
	}
	b, h := newBalancer(t, servers)
	b.settings.Zone = "z0"
	for i, s := range servers {
		if i%4 < 2 {
			b.Inherit(t0, req(fmt.Sprint("open", i), uint64(i)), s.ID)
		}
	}
	return b, h, servers
}

// whys tells why each server is passed over.
func whys(b *Balancer, now time.Duration, servers []Server) (out []int) {
	b.surveyHealth(now)
	for _, s := range servers {
		out = append(out, b.passOver(now, &request{}, b.servers[s.ID]))
	}
	return out
}

// Two servers behind a slow link fail and nothing there serves: the two that were never tried are passed over
// too, at once and for as long as the doubt of the first is remembered; other zones are not.
func TestServersBehindOneLinkAreBlamedTogether(t *testing.T) {
	b, _, servers := zoned(t)
	for _, s := range servers[4:6] {
		b.SiblingDelay(t0, b.servers[s.ID].hash, 300*ms)
		b.eject(t0, b.servers[s.ID])
	}
	for i, why := range whys(b, t0, servers) {
		want := eligible
		switch i {
		case 4, 5:
			want = ejected
		case 6, 7:
			want = domainFailing
		}
		if why != want {
			t.Errorf("server %d in zone %s: int %d, want %d", i, servers[i].Zone, why, want)
		}
	}
	if why := whys(b, t0+time.Minute, servers); why[6] != eligible {
		t.Error("blamed for ever")
	}
	b.Inherit(t0, req("proof", 99), servers[7].ID)
	if why := whys(b, t0, servers); why[6] != eligible {
		t.Error("blamed though one of its zone serves us")
	}
}

// Behind the bad end of the link all other zones fail and our own is well.
func TestOwnZoneIsKeptWhenAllOthersFail(t *testing.T) {
	b, _, servers := zoned(t)
	for i, s := range servers[4:] {
		if i%4 < 2 {
			b.eject(t0, b.servers[s.ID])
		}
	}
	for i, why := range whys(b, t0, servers) {
		if (i < 4) != (why == eligible) {
			t.Errorf("server %d in zone %s: int %d", i, servers[i].Zone, why)
		}
	}
}

// Servers of one kind fail by turns: those of it that were not tried are passed over, those of the other are not.
func TestServersOfOneKindAreBlamedTogether(t *testing.T) {
	b, _, servers := zoned(t)
	b.eject(t0, b.servers[servers[2].ID])
	b.eject(t0, b.servers[servers[14].ID])
	for i, why := range whys(b, t0, servers) {
		if kind := servers[i].Kind; (kind == "k0") != (why == eligible) {
			t.Errorf("server %d of %s: int %d", i, kind, why)
		}
	}
}

// In a fleet that fails as a whole nothing is blamed on a zone: load must not herd onto what is left.
func TestFailuresEverywhereBlameNoZone(t *testing.T) {
	b, _, servers := zoned(t)
	for i, s := range servers {
		if i%4 < 2 && i != 13 && i != 9 {
			b.eject(t0, b.servers[s.ID])
		}
	}
	for i, why := range whys(b, t0, servers) {
		if why == domainFailing {
			t.Errorf("server %d in zone %s is blamed for its like", i, servers[i].Zone)
		}
	}
}

// Hundreds of balancers with a few connections each, one zone behind a slow link: once each knows of two there,
// the siblings together hardly send there any more, and spread the rest over all others.
func TestSiblingsLeaveASlowZoneWithoutHerding(t *testing.T) {
	const n = 200
	servers := fleet(40)
	for i := range servers {
		servers[i].Zone, servers[i].Kind = fmt.Sprint("z", i%5), "k"
	}
	sent := map[string]int{}
	total := 0
	for _, b := range siblings(n, 6*n, servers) {
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
			b.Request(t0+ms, req(fmt.Sprint("r", i), uint64(i)*7919+uint64(total)))
			for _, a := range b.host.take("send") {
				sent[a.server]++
				total++
			}
		}
	}
	slow, most := 0, 0
	for _, s := range servers {
		if s.Zone == "z1" {
			slow += sent[s.ID]
		}
		most = max(most, sent[s.ID])
	}
	if total < 9*n || slow > total/50 {
		t.Errorf("%d of %d sent to the slow zone", slow, total)
	}
	if mean := total / 32; most > 2*mean {
		t.Errorf("the busiest server got %d, the mean is %d", most, mean)
	}
}
