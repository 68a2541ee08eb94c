package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOpen is what one OPEN costs the module at the busiest second of the second site: 19 desk hosts, about 500
// connections standing at this balancer, each new one placed, come up, and an old one ended. Its budget there is 15 ms
// of CPU a second for all decisions.
func BenchmarkOpen(b *testing.B) {
	set := settings()
	set.MustAsk = false
	h := &fakeHost{}
	bal := New(set, 1, h)
	bal.Members(t0, Cached, fleet(19))
	const standing = 500
	now := t0
	for i := range b.N + standing {
		now += 2 * time.Millisecond
		id := fmt.Sprint("r", i)
		h.actions = h.actions[:0]
		bal.Request(now, req(id, uint64(i*7)))
		bal.First(now, id)
		if i >= standing {
			bal.Outcome(now, fmt.Sprint("r", i-standing), OK, true)
		}
		if i == standing {
			b.ResetTimer()
		}
	}
}
