package lab

import (
	"strconv"
	"strings"
	"time"
)

// tally goes through the log lines of a fleet in the order of their time and fills in a Count.
type tally struct {
	*Count
	start       time.Time
	warmAfter   time.Duration
	second      int // the first second that is not closed yet
	balancers   map[string]bool
	hostStarts  map[string]time.Time // start times of desk hosts
	loads       map[string][]float64 // loads in the reports of this second, by desk host
	seen        map[observation]bool
	connections *connectionTracker
	herd        *herdDetector
}

// observation is that a balancer has received a revision of the host list, or has passed over a desk host; the other
// field is empty.
type observation struct{ balancer, revision, host string }

func newTally(c *Count, start time.Time, warmAfter time.Duration) *tally {
	return &tally{
		Count: c, start: start, warmAfter: warmAfter,
		balancers:   map[string]bool{},
		hostStarts:  map[string]time.Time{},
		loads:       map[string][]float64{},
		seen:        map[observation]bool{},
		connections: newConnectionTracker(),
		herd:        newHerdDetector(c.Fleet.Herd),
	}
}

// since is the time of a line since the first line.
func (t *tally) since(l logLine) time.Duration { return l.at.Sub(t.start) }

func (t *tally) secondOf(l logLine) int { return int(t.since(l).Seconds()) }

// addLine counts one line.
func (t *tally) addLine(l logLine) {
	second := t.secondOf(l)
	t.closeSecondsBefore(second)
	t.balancers[l.balancer] = true
	t.event(eventName(l))[second]++
	t.connections.addLine(l)
	if count := lineCounters[l.event]; count != nil {
		count(t, l)
	}
}

// lineCounters are the events of which more is counted than that they occurred.
var lineCounters = map[string]func(*tally, logLine){
	"probe-sent":       (*tally).probeSent,
	"attempt-sent":     (*tally).attemptSent,
	"attempt-ended":    (*tally).attemptEnded,
	"report":           (*tally).report,
	"listed":           (*tally).listed,
	"discovery-answer": (*tally).discoveryAnswer,
	"decision":         (*tally).decision,
}

// eventName is the name of the row in which a line is counted.
func eventName(l logLine) string {
	switch l.event {
	case "taken":
		return l.event + " " + clientKind(l)
	case "refused":
		return withReason(l.event+" "+clientKind(l), l)
	case "client-refused":
		return withReason(l.event, l)
	case "attempt-ended":
		name := l.event + " " + l.fields["result"]
		if l.isTrue("stood") {
			name += ", stood"
		}
		return name
	case "decision":
		if _, ok := hostPassedOver(l); ok {
			return "passed over"
		}
	}
	return l.event
}

// clientKind is the state of the client that a line is about.
func clientKind(l logLine) string {
	switch {
	case l.isTrue("mid"):
		return "mid-flow"
	case l.isTrue("returned"):
		return "returned"
	}
	return "new"
}

func withReason(name string, l logLine) string {
	if reason := l.fields["reason"]; reason != "" {
		return name + ": " + reason
	}
	return name
}

// hostPassedOver returns the desk host that a decision passes over.
func hostPassedOver(l logLine) (host string, ok bool) {
	rest, ok := strings.CutPrefix(l.fields["text"], "passed over ")
	host, _, _ = strings.Cut(rest, " ")
	return host, ok
}

func (t *tally) probeSent(l logLine) { t.host(l.fields["host"], "questions")[t.secondOf(l)]++ }

func (t *tally) attemptSent(l logLine) {
	host := l.fields["host"]
	t.host(host, "steps")[t.secondOf(l)]++
	t.herd.addAttempt(t.since(l), host, l.balancer)
	if started, ok := t.hostStarts[host]; ok && l.at.Sub(started) < t.warmAfter {
		t.host(host, "cold steps")[t.secondOf(l)]++
	}
}

func (t *tally) attemptEnded(l logLine) {
	if l.isTrue("stood") && l.fields["result"] == "reset" {
		t.host(l.fields["host"], "dropped")[t.secondOf(l)]++
	}
}

func (t *tally) report(l logLine) {
	host := l.fields["host"]
	if x0, err := strconv.ParseFloat(l.fields["x0"], 64); err == nil {
		t.loads[host] = append(t.loads[host], x0)
	}
}

func (t *tally) listed(l logLine) {
	if started := listedStart(l); !started.IsZero() {
		t.hostStarts[l.fields["host"]] = started
	}
}

// listedStart is when a listed desk host started; zero if the list has no start time.
func listedStart(l logLine) time.Time {
	ms, err := strconv.ParseInt(l.fields["started_ms"], 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func (t *tally) discoveryAnswer(l logLine) {
	text := l.fields["revision"]
	revision, err := strconv.ParseInt(text, 10, 64)
	if err == nil && t.isFirst(observation{balancer: l.balancer, revision: text}) {
		t.Revisions[revision] = t.Revisions[revision].add(t.since(l).Seconds())
	}
}

func (t *tally) decision(l logLine) {
	host, ok := hostPassedOver(l)
	if ok && t.isFirst(observation{balancer: l.balancer, host: host}) {
		t.PassedOver[host] = t.PassedOver[host].add(t.since(l).Seconds())
	}
}

// isFirst reports whether an observation is made for the first time.
func (t *tally) isFirst(k observation) bool {
	if t.seen[k] {
		return false
	}
	t.seen[k] = true
	return true
}

// closeSecondsBefore fills in the figures at the end of each second that has ended.
func (t *tally) closeSecondsBefore(until int) {
	for ; t.second < until; t.second++ {
		t.closeSecond(t.second)
	}
}

func (t *tally) closeSecond(second int) {
	for host, connections := range t.connections.byHost {
		t.host(host, "standing")[second] = connections
	}
	for host, reported := range t.loads {
		t.host(host, "load")[second] = hundredths(mean(reported))
	}
	clear(t.loads)
	t.Fleet.Connections[second] = len(t.connections.byID)
	t.Fleet.Groups[second] = len(t.connections.groups)
	t.Fleet.Pieces[second] = len(t.connections.pieces)
	t.Fleet.Variation[second] = t.connections.variation()
}
