package drainaudit

import "strings"

// Exemptions is a set of readings of the operators' pages that are more lenient than their wording. A strict judge has
// none.
type Exemptions uint

// The lenient readings.
const (
	// RefusedCalls: a refused call shows that discovery could not be reached until then, though discovery may also
	// refuse because it is overloaded.
	RefusedCalls Exemptions = 1 << iota
	// FirstCalls: the first call of a process postpones the changes that otherwise count as notified at its start: to
	// the answer, to 6 s after the start if the call fails, for as long as it is open, and by its silence.
	FirstCalls
	// FurtherSilence: each further consecutive call that falls silent postpones the notification as the first one does.
	FurtherSilence
	// AgentFirstCalls is FirstCalls for lists that are pushed.
	AgentFirstCalls
	exemptionCount = iota
)

// LenientReadings is the set of all lenient readings.
const LenientReadings = Exemptions(1<<exemptionCount - 1)

var exemptionNames = [exemptionCount]string{"refused calls", "first calls", "further silence", "first calls to an agent"}

// Each returns the readings of the set one by one.
func (e Exemptions) Each() (all []Exemptions) {
	for i := range exemptionCount {
		if one := Exemptions(1 << i); e&one != 0 {
			all = append(all, one)
		}
	}
	return all
}

// String returns the names of the readings, separated by commas.
func (e Exemptions) String() string {
	var names []string
	for i := range exemptionCount {
		if e&(1<<i) != 0 {
			names = append(names, exemptionNames[i])
		}
	}
	return strings.Join(names, ", ")
}

func (a *Audit) exempts(e Exemptions) bool { return a.rules.Exempt&e != 0 }
