package operator

import (
	"time"

	"tealtiller/internal/failover"
)

// Bounds of the figures of zone shares.
const (
	leastFailoverSpan, mostFailoverSpan = 100 * time.Millisecond, 10 * time.Minute
	leastPart                           = 0.01 // of what must be above 0
	mostLeast                           = 1000
)

// failover reads the settings of the zone shares; what the file leaves out has its default.
func (r *reader) failover(b *failoverBlock) *failover.Settings {
	set := failover.DefaultSettings
	r.failoverSpan("warm", b.Warm, &set.WarmUp)
	r.failoverSpan("span", b.Span, &set.DecayTime)
	r.part("cold_from", b.ColdFrom, 0, &set.ColdCapacity)
	r.part("enter", b.Enter, leastPart, &set.ShunThreshold)
	r.part("leave", b.Leave, 0, &set.RecoverThreshold)
	r.part("swing", b.Swing, leastPart, &set.MaxChangePerSecond)
	if b.Least != nil {
		if set.MinOutcomes = *b.Least; *b.Least < 1 || *b.Least > mostLeast {
			r.fail("", "", "least", "want a figure from 1 to 1000")
		}
	}
	if set.RecoverThreshold >= set.ShunThreshold {
		r.fail("", "", "leave", "want less than enter (%g), or a zone would flap", set.ShunThreshold)
	}
	return &set
}

func (r *reader) failoverSpan(attribute, text string, into *time.Duration) {
	if text != "" {
		*into = r.span(attribute, text, leastFailoverSpan, mostFailoverSpan, "100ms to 10m")
	}
}

// part reads a figure of at most 1.
func (r *reader) part(attribute string, v *float64, low float64, into *float64) {
	if v == nil {
		return
	}
	if *into = *v; *v < low || *v > 1 {
		r.fail("", "", attribute, "want a figure from %g to 1", low)
	}
}
