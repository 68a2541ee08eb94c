package net

import (
	"maps"
	"slices"
	"time"

	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// delays measures how long a message takes at each desk host, from a client's line to the desk host's next,
// and tells the module once a second of those where it takes over a third of the shortest aim, and once more
// when it is back under.
type delays struct {
	third time.Duration
	lags  map[string]*lag
}

type lag struct {
	samples []time.Duration // of this second
	desk    slot.ID         // that was measured last
	slow    bool            // as last told
}

const noteEvery = time.Second

func newDelays(set policy.Settings) delays {
	d := delays{lags: map[string]*lag{}}
	for _, c := range set.Classes {
		if c.MessageAim > 0 && (d.third == 0 || c.MessageAim/3 < d.third) {
			d.third = c.MessageAim / 3
		}
	}
	return d
}

func (s *delays) start(n *Node, now time.Duration) {
	if s.third == 0 {
		return
	}
	n.deadlines.Set(now+noteEvery, func(now time.Duration) {
		s.tell(n, now)
		s.start(n, now)
	})
}

func (s *delays) measured(d *desk, took time.Duration) {
	l := s.lags[d.server]
	if l == nil {
		l = &lag{}
		s.lags[d.server] = l
	}
	l.samples = append(l.samples, took)
	l.desk = d.id
}

// tell tells the module of the second that has passed. What still waits for an answer counts by its age.
func (s *delays) tell(n *Node, now time.Duration) {
	for _, d := range n.desks.All() {
		if d.askedAt > 0 && now-d.askedAt > s.third {
			s.measured(d, now-d.askedAt)
		}
	}
	for _, server := range sortedKeys(s.lags) {
		l := s.lags[server]
		if len(l.samples) == 0 {
			continue
		}
		slices.Sort(l.samples)
		took := l.samples[len(l.samples)/2]
		l.samples = l.samples[:0]
		slow := took > s.third
		if d, ok := n.desks.Get(l.desk); ok && (slow || l.slow) {
			n.count.Add("delays told")
			n.table.Note(now, d.front.op, policy.NoteDelay, float64(took)/float64(time.Millisecond))
		}
		l.slow = slow
	}
}

func sortedKeys(lags map[string]*lag) []string { return slices.Sorted(maps.Keys(lags)) }
