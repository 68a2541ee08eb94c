package failover

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var zoneNames = []string{"lisboa", "porto", "coimbra", "faro"}

const startTime = 100 * time.Second

// feedEvents draws a sequence of list updates and outcomes, applies each to all of zs, and calls after with its time.
func feedEvents(t *rapid.T, after func(now time.Duration), zs ...*Zones) time.Duration {
	now, zone := startTime, rapid.SampledFrom(zoneNames)
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		var hosts []Host
		list, ok := rapid.Bool().Draw(t, "list"), rapid.Bool().Draw(t, "ok")
		for range rapid.IntRange(0, 8).Draw(t, "hosts") {
			up := now - time.Duration(rapid.IntRange(0, 10000).Draw(t, "up"))*time.Millisecond
			hosts = append(hosts, Host{Zone: zone.Draw(t, "in"), InService: rapid.Bool().Draw(t, "serves"), UpSince: up})
		}
		name := zone.Draw(t, "zone")
		for _, z := range zs {
			if list {
				z.SetHosts(now, hosts)
			} else {
				z.RecordOutcome(now, name, ok)
			}
		}
		after(now)
	}
	return now
}

// The same inputs give the same states, so that balancers with the same list agree.
func TestSameInputsGiveSameStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(DefaultSettings), New(DefaultSettings)
		feedEvents(t, func(now time.Duration) {
			for _, name := range zoneNames {
				if sa, sb := a.Share(now, name), b.Share(now, name); sa != sb || a.State(now, name) != b.State(now, name) {
					t.Fatalf("%s at %v: %v %v against %v %v", name, now, sa, a.State(now, name), sb, b.State(now, name))
				}
			}
		}, a, b)
	})
}

// Once a zone is known, its share changes by at most MaxChangePerSecond, so that a flapping link causes no load swings
// and a recovering zone does not get all of its traffic at once.
func TestShareChangeRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New(DefaultSettings)
		last, lastAt := map[string]float64{}, map[string]time.Duration{}
		feedEvents(t, func(now time.Duration) {
			for _, name := range z.Names() {
				s := z.Share(now, name)
				previous, ok := last[name]
				if s < 0 || s > 1 || ok && math.Abs(s-previous) > DefaultSettings.MaxChangePerSecond*(now-lastAt[name]).Seconds()+1e-9 {
					t.Fatalf("%s: %v to %v in %v", name, previous, s, now-lastAt[name])
				}
				last[name], lastAt[name] = s, now
			}
		}, z)
	})
}

// A zone whose hosts are in service and warm and whose outcomes succeed gets all of its traffic back after any sequence
// of events.
func TestHealthyZonesRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New(DefaultSettings)
		now := feedEvents(t, func(time.Duration) {}, z)
		var hosts []Host
		for _, name := range zoneNames {
			hosts = append(hosts, Host{Zone: name, InService: true, UpSince: now})
		}
		z.SetHosts(now, hosts)
		later := now + DefaultSettings.WarmUp + 10*DefaultSettings.DecayTime + time.Duration(float64(time.Second)/DefaultSettings.MaxChangePerSecond)
		for at := now; at < later; at += 500 * time.Millisecond {
			z.RecordOutcome(at, rapid.SampledFrom(zoneNames).Draw(t, "healthy zone"), true)
		}
		for _, name := range zoneNames {
			if s, st := z.Share(later, name), z.State(later, name); s != 1 || st != Near {
				t.Fatalf("%s after %v healthy: share %v, %v", name, later-now, s, st)
			}
		}
	})
}

// A zone with failing outcomes is shunned only once their weight reaches MinOutcomes, and returns when they have
// decayed.
func TestOutcomesCountByWeight(t *testing.T) {
	z := New(DefaultSettings)
	z.SetHosts(startTime, []Host{{Zone: "porto", InService: true}, {Zone: "faro", InService: true}})
	state := func(at time.Duration, share float64, want State) {
		t.Helper()
		if s, st := z.Share(at, "porto"), z.State(at, "porto"); s != share && share >= 0 || st != want {
			t.Fatalf("at %v: share %v, %v; want %v, %v", at-startTime, s, st, share, want)
		}
	}
	z.RecordOutcome(startTime, "porto", false)
	z.RecordOutcome(startTime, "porto", false)
	state(startTime, 1, Near) // two failures are fewer than MinOutcomes
	for range 4 {
		z.RecordOutcome(startTime, "porto", false)
	}
	state(startTime+time.Second, 1-DefaultSettings.MaxChangePerSecond, Shared)
	at := startTime + time.Second
	for ; at < startTime+5*time.Second; at += 500 * time.Millisecond {
		z.RecordOutcome(at, "porto", false)
	}
	state(at, 0, Shunned)
	if z.Fallback(at) != "faro" {
		t.Fatalf("fallback %q", z.Fallback(at))
	}
	state(at+5*DefaultSettings.DecayTime, -1, Returning) // the outcomes have decayed
}
