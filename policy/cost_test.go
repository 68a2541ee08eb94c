package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOpen is what one OPEN costs the module at the busiest second of the second site: 19 desk hosts, about 500
// connections standing at this balancer, each new one placed, come up, and an old one ended (budget: 15 ms a second).
func BenchmarkOpen(b *testing.B) {
	bal, h := newBalancer(b, fleet(19))
	const standing = 500
	for i := range b.N + standing {
		now, id := t0+time.Duration(i)*2*time.Millisecond, fmt.Sprint("r", i)
		h.actions = h.actions[:0]
		bal.Request(now, req(id, uint64(i*7)))
		bal.ConnectionEstablished(now, id)
		if i >= standing {
			bal.Outcome(now, fmt.Sprint("r", i-standing), OK, true)
		} else if i == standing-1 {
			b.ResetTimer()
		}
	}
}
