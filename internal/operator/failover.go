package operator

import (
	"time"

	"tealtiller/internal/failover"
)

// Bounds of the failover attributes.
const (
	minFailoverDuration, maxFailoverDuration = 100 * time.Millisecond, 10 * time.Minute
	minPositiveFraction                      = 0.01 // for fractions that must not be 0
	maxMinOutcomes                           = 1000
)

// readFailover converts the failover block; attributes that are omitted keep their defaults.
func (r *reader) readFailover(b *failoverBlock) *failover.Settings {
	settings := failover.DefaultSettings
	r.readFailoverDuration("warm", b.WarmUp, &settings.WarmUp)
	r.readFailoverDuration("span", b.DecayTime, &settings.DecayTime)
	r.readFraction("cold_from", b.ColdCapacity, 0, &settings.ColdCapacity)
	r.readFraction("enter", b.ShunThreshold, minPositiveFraction, &settings.ShunThreshold)
	r.readFraction("leave", b.RecoverThreshold, 0, &settings.RecoverThreshold)
	r.readFraction("swing", b.MaxChangePerSecond, minPositiveFraction, &settings.MaxChangePerSecond)
	if b.MinOutcomes != nil {
		if settings.MinOutcomes = *b.MinOutcomes; *b.MinOutcomes < 1 || *b.MinOutcomes > maxMinOutcomes {
			r.addError("", "", "least", "must be between 1 and %d", maxMinOutcomes)
		}
	}
	if settings.RecoverThreshold >= settings.ShunThreshold {
		r.addError("", "", "leave", "must be less than enter (%g), or the zone's state would flap", settings.ShunThreshold)
	}
	return &settings
}

// readFailoverDuration sets into to an optional duration; if text is empty, into keeps its default.
func (r *reader) readFailoverDuration(attribute, text string, into *time.Duration) {
	if text != "" {
		*into = r.parseDuration(attribute, text, minFailoverDuration, maxFailoverDuration, "100ms to 10m")
	}
}

// readFraction sets into to an optional value between low and 1; if v is nil, into keeps its default.
func (r *reader) readFraction(attribute string, v *float64, low float64, into *float64) {
	if v == nil {
		return
	}
	if *into = *v; *v < low || *v > 1 {
		r.addError("", "", attribute, "must be between %g and 1", low)
	}
}
