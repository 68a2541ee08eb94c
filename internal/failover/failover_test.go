package failover

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var zoneNames = []string{"lisboa", "porto", "coimbra", "faro"}

// event is one input: a list, an outcome, or a question.
type event struct {
	after time.Duration
	kind  int // 0 list, 1 outcome, 2 question
	hosts []Host
	zone  string
	ok    bool
}

func events(t *rapid.T, now time.Duration) []event {
	n := rapid.IntRange(1, 60).Draw(t, "events")
	out := make([]event, 0, n)
	at := now
	for i := range n {
		e := event{after: time.Duration(rapid.IntRange(0, 3000).Draw(t, fmt.Sprint("ms", i))) * time.Millisecond}
		at += e.after
		e.kind = rapid.IntRange(0, 2).Draw(t, fmt.Sprint("kind", i))
		e.zone = rapid.SampledFrom(zoneNames).Draw(t, fmt.Sprint("zone", i))
		e.ok = rapid.Bool().Draw(t, fmt.Sprint("ok", i))
		if e.kind == 0 {
			for j := range rapid.IntRange(0, 8).Draw(t, fmt.Sprint("hosts", i)) {
				h := Host{Zone: rapid.SampledFrom(zoneNames).Draw(t, fmt.Sprint("hz", i, j)),
					InService: rapid.Bool().Draw(t, fmt.Sprint("in", i, j))}
				if rapid.Bool().Draw(t, fmt.Sprint("young", i, j)) {
					h.UpSince = at - time.Duration(rapid.IntRange(0, 10000).Draw(t, fmt.Sprint("up", i, j)))*time.Millisecond
				}
				e.hosts = append(e.hosts, h)
			}
		}
		out = append(out, e)
	}
	return out
}

func apply(z *Zones, now time.Duration, e event) {
	switch e.kind {
	case 0:
		z.Listed(now, e.hosts)
	case 1:
		z.Saw(now, e.zone, e.ok)
	}
}

// The same inputs give the same states: what balancers derive from the list alike, they derive alike.
func TestSameInputsSameStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := 100 * time.Second
		a, b := New(Defaults), New(Defaults)
		now := start
		for _, e := range events(t, start) {
			now += e.after
			apply(a, now, e)
			apply(b, now, e)
			for _, name := range zoneNames {
				if sa, sb := a.Share(now, name), b.Share(now, name); sa != sb || a.State(now, name) != b.State(now, name) {
					t.Fatalf("%s at %v: %v %v against %v %v", name, now, sa, a.State(now, name), sb, b.State(now, name))
				}
			}
		}
	})
}

// No share moves faster than the swing, once a zone is known: a flapping link does not swing the fleet, and a zone
// back from the dark is not sent all at once.
func TestNoSwingFasterThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New(Defaults)
		now := 100 * time.Second
		last, lastAt := map[string]float64{}, map[string]time.Duration{}
		for _, e := range events(t, now) {
			now += e.after
			apply(z, now, e)
			for _, name := range z.Names() {
				s := z.Share(now, name)
				if s < 0 || s > 1 {
					t.Fatalf("%s: share %v", name, s)
				}
				if was, ok := last[name]; ok {
					if bound := Defaults.Swing*(now-lastAt[name]).Seconds() + 1e-9; math.Abs(s-was) > bound {
						t.Fatalf("%s moved %v in %v (bound %v)", name, s-was, now-lastAt[name], bound)
					}
				}
				last[name], lastAt[name] = s, now
			}
		}
	})
}

// Every zone that is up, warm and sound gets all of its traffic back, whatever came before.
func TestSoundZonesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New(Defaults)
		now := 100 * time.Second
		for _, e := range events(t, now) {
			now += e.after
			apply(z, now, e)
		}
		var hosts []Host
		for _, name := range zoneNames {
			hosts = append(hosts, Host{Zone: name, InService: true, UpSince: now})
		}
		z.Listed(now, hosts)
		later := now + Defaults.Warm + 10*Defaults.Span + time.Duration(float64(time.Second)/Defaults.Swing)
		for t0 := now; t0 < later; t0 += 500 * time.Millisecond {
			z.Saw(t0, rapid.SampledFrom(zoneNames).Draw(t, "sound"), true)
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
	z := New(Defaults)
	now := 100 * time.Second
	z.Listed(now, []Host{{Zone: "porto", InService: true}, {Zone: "faro", InService: true}})
	z.Saw(now, "porto", false)
	z.Saw(now, "porto", false)
	if st := z.State(now, "porto"); st != Near {
		t.Fatalf("two failures of one balancer moved the zone: %v", st)
	}
	for range 4 {
		z.Saw(now, "porto", false)
	}
	if z.Share(now+100*time.Millisecond, "porto") >= 1 {
		t.Fatal("six failures in a row left the zone's share whole")
	}
	if s, st := z.Share(now+time.Second, "porto"), z.State(now+time.Second, "porto"); s != 1-Defaults.Swing || st != Shared {
		t.Fatalf("after 1 s: share %v, %v", s, st)
	}
	at := now + time.Second
	for ; at < now+5*time.Second; at += 500 * time.Millisecond {
		z.Saw(at, "porto", false)
	}
	if s, st := z.Share(at, "porto"), z.State(at, "porto"); s != 0 || st != Shunned {
		t.Fatalf("after 4 s: share %v, %v", s, st)
	}
	if z.Fallback(at) != "faro" {
		t.Fatalf("fallback %q", z.Fallback(at))
	}
	back := at + 5*Defaults.Span
	if st := z.State(back, "porto"); st != Returning {
		t.Fatalf("evidence faded: %v", st)
	}
}
