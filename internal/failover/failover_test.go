package failover

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var zoneNames = []string{"lisboa", "porto", "coimbra", "faro"}

const start = 100 * time.Second // of the clock that comes in

// feed draws events, lists and outcomes some milliseconds apart, hands each to all modules and calls after at its time.
func feed(t *rapid.T, after func(now time.Duration), zs ...*Zones) time.Duration {
	now, zone := start, rapid.SampledFrom(zoneNames)
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

// The same inputs give the same states: what balancers derive from the list alike, they derive alike.
func TestSameInputsSameStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(DefaultSettings), New(DefaultSettings)
		feed(t, func(now time.Duration) {
			for _, name := range zoneNames {
				if sa, sb := a.Share(now, name), b.Share(now, name); sa != sb || a.State(now, name) != b.State(now, name) {
					t.Fatalf("%s at %v: %v %v against %v %v", name, now, sa, a.State(now, name), sb, b.State(now, name))
				}
			}
		}, a, b)
	})
}

// No share moves faster than the swing, once a zone is known: a flapping link does not swing the fleet, and a zone
// back from the dark is not sent all at once.
func TestNoSwingFasterThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New(DefaultSettings)
		last, lastAt := map[string]float64{}, map[string]time.Duration{}
		feed(t, func(now time.Duration) {
			for _, name := range z.Names() {
				s := z.Share(now, name)
				was, ok := last[name]
				if s < 0 || s > 1 || ok && math.Abs(s-was) > DefaultSettings.MaxChangePerSecond*(now-lastAt[name]).Seconds()+1e-9 {
					t.Fatalf("%s: %v to %v in %v", name, was, s, now-lastAt[name])
				}
				last[name], lastAt[name] = s, now
			}
		}, z)
	})
}

// Every zone that is up, warm and sound gets all of its traffic back, whatever came before.
func TestSoundZonesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New(DefaultSettings)
		now := feed(t, func(time.Duration) {}, z)
		var hosts []Host
		for _, name := range zoneNames {
			hosts = append(hosts, Host{Zone: name, InService: true, UpSince: now})
		}
		z.SetHosts(now, hosts)
		later := now + DefaultSettings.WarmUp + 10*DefaultSettings.DecayTime + time.Duration(float64(time.Second)/DefaultSettings.MaxChangePerSecond)
		for t0 := now; t0 < later; t0 += 500 * time.Millisecond {
			z.RecordOutcome(t0, rapid.SampledFrom(zoneNames).Draw(t, "sound"), true)
		}
		for _, name := range zoneNames {
			if s, st := z.Share(later, name), z.State(later, name); s != 1 || st != Near {
				t.Fatalf("%s after %v sound: share %v, %v", name, later-now, s, st)
			}
		}
	})
}

// A zone whose outcomes fail is shunned only once enough was seen, and stays so until they fade or mend.
func TestEvidenceCountsByWhatWasSeen(t *testing.T) {
	z := New(DefaultSettings)
	z.SetHosts(start, []Host{{Zone: "porto", InService: true}, {Zone: "faro", InService: true}})
	state := func(at time.Duration, share float64, want State) {
		t.Helper()
		if s, st := z.Share(at, "porto"), z.State(at, "porto"); s != share && share >= 0 || st != want {
			t.Fatalf("at %v: share %v, %v; want %v, %v", at-start, s, st, share, want)
		}
	}
	z.RecordOutcome(start, "porto", false)
	z.RecordOutcome(start, "porto", false)
	state(start, 1, Near) // two failures of one balancer do not move the zone
	for range 4 {
		z.RecordOutcome(start, "porto", false)
	}
	state(start+time.Second, 1-DefaultSettings.MaxChangePerSecond, Shared)
	at := start + time.Second
	for ; at < start+5*time.Second; at += 500 * time.Millisecond {
		z.RecordOutcome(at, "porto", false)
	}
	state(at, 0, Shunned)
	if z.Fallback(at) != "faro" {
		t.Fatalf("fallback %q", z.Fallback(at))
	}
	state(at+5*DefaultSettings.DecayTime, -1, Returning) // the evidence has faded
}
