// Package drainaudit judges whether a balancer kept the rule on drains: no first byte of a new request goes to a host later
// than the grace after the balancer was told that the host drains or is gone. It works from the operators' pages alone and
// shares no code with the balancer; docs/design/drain-search.md quotes the sentences behind each clock.
package drainaudit

import (
	"fmt"
	"time"
)

// Phase is what discovery says of a host.
type Phase int

// The phases.
const (
	InService Phase = iota
	Terminating
	Terminated
)

// Rules are the figures of a deployment that the rule depends on.
type Rules struct {
	Pushed    bool          // lists are pushed to an agent on the balancer's machine; else balancers ask discovery
	Grace     time.Duration // drain_grace_ms
	AskWithin time.Duration // how long a balancer without a watch may go without asking
	Exempt    Exemptions    // readings of the pages that are milder than their words; none for a strict judge
}

// The clocks of the pages.
const (
	slack         = 50 * time.Millisecond // by which each time limit grows on sockets
	toldAnyway    = 6 * time.Second       // after discovery had a change and could be reached, or a watch fell silent
	afterLongPoll = 2 * time.Second       // after the wait of a long poll that fell silent is over, if that is later
	afterReload   = 4 * time.Second       // after a SIGHUP that names another discovery
	watchGap      = 200 * time.Millisecond
	// silentGap is how long after a silent call to an agent the next one still belongs to the same silence: the gap of a
	// watch, and the time for which a balancer may be held up.
	silentGap    = watchGap + 200*time.Millisecond
	failedFactor = 4 // of AskWithin, after a failed call
	// promptCall is how soon the first call of a process has to come to count as made at its start.
	promptCall = time.Second
)

// Audit keeps what happened, in order of time. Times are readings of one clock.
type Audit struct {
	rules     Rules
	changes   []change
	outages   []span
	processes map[int]*process
}

// change is one change of the host list as discovery, or the agent, had it.
type change struct {
	at    time.Duration
	host  string
	phase Phase
}

type span struct{ from, to time.Duration }

// New makes an audit of a fleet.
func New(rules Rules) *Audit { return &Audit{rules: rules, processes: map[int]*process{}} }

// Changed takes a change of the list. Changes come in order of time; the revision of the list is their number.
func (a *Audit) Changed(at time.Duration, host string, phase Phase) {
	a.changes = append(a.changes, change{at, host, phase})
}

// Outage takes that discovery is down in a span of time; where lists are pushed, the agent is silent.
func (a *Audit) Outage(from, to time.Duration) { a.outages = append(a.outages, span{from, to}) }

// Break is a broken rule.
type Break struct {
	Process   int
	Host      string
	Sent      time.Duration // the first byte
	Told      time.Duration // of the drain
	Late      time.Duration // over grace and slack
	ToldBy    string        // the clock that told first
	Happened  time.Duration // when discovery had the change
	Restarted time.Duration // when this process started
	Excuses   Exemptions    // each of which alone would excuse it
	Together  bool          // only several readings together would
}

// Excused names the milder reading of the pages that would excuse a break; empty if none does.
func (b *Break) Excused() string {
	if b.Together {
		return "several readings together"
	}
	return b.Excuses.String()
}

// Since has all times count from a moment.
func (b *Break) Since(moment time.Duration) {
	for _, at := range []*time.Duration{&b.Sent, &b.Told, &b.Happened, &b.Restarted} {
		*at -= moment
	}
}

func (b *Break) Error() string {
	text := fmt.Sprintf("process %d (started %v) sent to %s at %v, %v too late: discovery had the drain at %v, told at %v (%s)",
		b.Process, b.Restarted, b.Host, b.Sent, b.Late, b.Happened, b.Told, b.ToldBy)
	if mild := b.Excused(); mild != "" {
		text += "; only a mild reading excuses it: " + mild
	}
	return text
}

// Sent judges the first byte of a new request to a host; nil where the rule holds.
func (a *Audit) Sent(number int, host string, at time.Duration) *Break {
	worst := a.judge(number, host, at)
	if worst == nil {
		return nil
	}
	strict := a.rules.Exempt
	for _, e := range Mild.Each() {
		a.rules.Exempt = strict | e
		if a.judge(number, host, at) == nil {
			worst.Excuses |= e
		}
	}
	a.rules.Exempt = Mild
	worst.Together = worst.Excuses == 0 && a.judge(number, host, at) == nil
	a.rules.Exempt = strict
	return worst
}

func (a *Audit) judge(number int, host string, at time.Duration) *Break {
	p := a.processes[number]
	allowed := at - a.rules.Grace - slack
	var worst *Break
	for i, c := range a.changes {
		if c.host != host || c.at > at {
			continue
		}
		told, by := a.told(p, i)
		switch {
		case c.phase == InService && told <= at:
			worst = nil
		case c.phase != InService && told < allowed && worst == nil:
			worst = &Break{Process: number, Host: host, Sent: at, Told: told, Late: allowed - told, ToldBy: by,
				Happened: c.at, Restarted: p.started}
		}
	}
	return worst
}
