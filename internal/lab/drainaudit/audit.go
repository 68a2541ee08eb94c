// Package drainaudit judges whether a balancer kept the drain rule: the first byte of a new request may go to a host no
// later than the grace after the balancer was notified that the host drains or is gone. It decides from the operators'
// pages alone and shares no code with the balancer; docs/design/drain-search.md quotes the sentences behind each time
// limit.
package drainaudit

import (
	"fmt"
	"time"
)

// Phase is the state of a host according to discovery.
type Phase int

// The phases of a host.
const (
	InService Phase = iota
	Terminating
	Terminated
)

// Rules are the settings of a deployment that the drain rule depends on.
type Rules struct {
	Pushed    bool          // lists are pushed to an agent on the balancer's machine; otherwise balancers poll discovery
	Grace     time.Duration // drain_grace_ms
	AskWithin time.Duration // longest time without a call for a balancer that has no watch
	Exempt    Exemptions    // lenient readings of the pages that the judge applies; none for a strict judge
}

// The time limits of the operators' pages.
const (
	slack          = 50 * time.Millisecond  // tolerance added to each time limit, as the run uses sockets
	notifiedWithin = 6 * time.Second        // after discovery had a change and could be reached, or after a watch fell silent
	longPollMargin = 2 * time.Second        // after the maximum wait of a long poll that fell silent, if that is later
	reloadLimit    = 4 * time.Second        // after a SIGHUP that names another discovery
	watchGap       = 200 * time.Millisecond // longest gap between two calls of a watch
	// silentGap is the longest gap after a silent call to an agent for which the next call still belongs to the same
	// silence: the gap between two calls of a watch plus the time for which a balancer may be held up.
	silentGap        = watchGap + 200*time.Millisecond
	failedCallFactor = 4 // factor on AskWithin after a failed call
	// promptCallLimit is the longest time from the start of a process to its first call for which the call counts as
	// made at the start.
	promptCallLimit = time.Second
)

// Audit records the events of a run in order of time. All times are readings of one clock.
type Audit struct {
	rules     Rules
	changes   []change
	outages   []span
	processes map[int]*process
}

// change is one change of the host list, at the time at which discovery or the agent had it.
type change struct {
	at    time.Duration
	host  string
	phase Phase
}

type span struct{ from, to time.Duration }

// New returns an audit without any event.
func New(rules Rules) *Audit { return &Audit{rules: rules, processes: map[int]*process{}} }

// Changed records a change of the host list. Changes have to be recorded in order of time; the revision of the list is
// their count.
func (a *Audit) Changed(at time.Duration, host string, phase Phase) {
	a.changes = append(a.changes, change{at, host, phase})
}

// Outage records a span of time in which discovery is down or, where lists are pushed, the agent is silent.
func (a *Audit) Outage(from, to time.Duration) { a.outages = append(a.outages, span{from, to}) }

// Violation is a first byte that broke the drain rule.
type Violation struct {
	Process      int
	Host         string
	Sent         time.Duration // when the first byte was sent
	Notified     time.Duration // when the drain counts as notified
	Late         time.Duration // beyond grace and slack
	Clock        string        // the time limit that expired first
	Published    time.Duration // when discovery had the change
	Started      time.Duration // when the process started
	Exemptions   Exemptions    // the lenient readings each of which alone would allow the byte
	OnlyCombined bool          // only several lenient readings combined would allow it
}

// Excuse names the lenient reading of the pages that would allow the byte; it is empty if none does.
func (v *Violation) Excuse() string {
	if v.OnlyCombined {
		return "several readings together"
	}
	return v.Exemptions.String()
}

// MakeRelativeTo makes all times of the violation relative to an origin.
func (v *Violation) MakeRelativeTo(origin time.Duration) {
	for _, at := range []*time.Duration{&v.Sent, &v.Notified, &v.Published, &v.Started} {
		*at -= origin
	}
}

func (v *Violation) Error() string {
	text := fmt.Sprintf("process %d (started %v) sent to %s at %v, %v too late: discovery had the drain at %v, notified at %v (%s)",
		v.Process, v.Started, v.Host, v.Sent, v.Late, v.Published, v.Notified, v.Clock)
	if excuse := v.Excuse(); excuse != "" {
		text += "; only a lenient reading excuses it: " + excuse
	}
	return text
}

// FirstByteSent judges the first byte of a new request to a host. It returns nil where the rule holds; otherwise the
// violation lists the lenient readings that would allow the byte.
func (a *Audit) FirstByteSent(number int, host string, at time.Duration) *Violation {
	violation := a.judge(number, host, at)
	if violation == nil {
		return nil
	}
	strict := a.rules.Exempt
	for _, exemption := range LenientReadings.Each() {
		a.rules.Exempt = strict | exemption
		if a.judge(number, host, at) == nil {
			violation.Exemptions |= exemption
		}
	}
	a.rules.Exempt = LenientReadings
	violation.OnlyCombined = violation.Exemptions == 0 && a.judge(number, host, at) == nil
	a.rules.Exempt = strict
	return violation
}

// judge applies the rule under the exemptions that are set.
func (a *Audit) judge(number int, host string, at time.Duration) *Violation {
	p := a.processes[number]
	allowed := at - a.rules.Grace - slack
	var violation *Violation
	for i, c := range a.changes {
		if c.host != host || c.at > at {
			continue
		}
		notified, clock := a.notifiedAt(p, i)
		switch {
		case c.phase == InService && notified <= at:
			violation = nil
		case c.phase != InService && notified < allowed && violation == nil:
			violation = &Violation{Process: number, Host: host, Sent: at, Notified: notified, Late: allowed - notified, Clock: clock,
				Published: c.at, Started: p.started}
		}
	}
	return violation
}
