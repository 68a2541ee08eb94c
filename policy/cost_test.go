package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOpen measures what one OPEN costs the module in the busiest second of the second site: 19 desk hosts and
// about 500 connections at this balancer; for each new connection that is placed and established, an old one ends. The
// budget is 15 ms a second.
func BenchmarkOpen(b *testing.B) {
	bal, h := newBalancer(b, fleet(19))
	const established = 500
	for i := range b.N + established {
		now, id := t0+time.Duration(i)*2*time.Millisecond, fmt.Sprint("r", i)
		h.actions = h.actions[:0]
		bal.Request(now, newRequest(id, uint64(i*7)))
		bal.ConnectionEstablished(now, id)
		if i >= established {
			bal.Outcome(now, fmt.Sprint("r", i-established), OK, true)
		} else if i == established-1 {
			b.ResetTimer()
		}
	}
}
