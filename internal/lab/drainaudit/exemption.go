package drainaudit

import "strings"

// Exemptions are readings of the pages that are milder than their words. A strict judge has none.
type Exemptions uint

// The readings.
const (
	// RefusedCalls: a call that discovery refuses tells that it could not be reached until then, though it may refuse for
	// being crowded.
	RefusedCalls Exemptions = 1 << iota
	// FirstCalls: the first call of a process, answered late, under way or failed, moves on what counts as told at its start.
	FirstCalls
	// FurtherSilence: each further call in a row that falls silent moves the moment on as the first one does.
	FurtherSilence
	// AgentFirstCalls: the same as FirstCalls where lists are pushed.
	AgentFirstCalls
	allExemptions = iota
)

// Mild are all readings.
const Mild = Exemptions(1<<allExemptions - 1)

var exemptionNames = [allExemptions]string{"refused calls", "first calls", "further silence", "first calls to an agent"}

// Each are the readings, one by one.
func (e Exemptions) Each() (all []Exemptions) {
	for i := range allExemptions {
		if one := Exemptions(1 << i); e&one != 0 {
			all = append(all, one)
		}
	}
	return all
}

// String names the readings.
func (e Exemptions) String() string {
	var names []string
	for i := range allExemptions {
		if e&(1<<i) != 0 {
			names = append(names, exemptionNames[i])
		}
	}
	return strings.Join(names, ", ")
}

func (a *Audit) exempts(e Exemptions) bool { return a.rules.Exempt&e != 0 }
