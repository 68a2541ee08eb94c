package lab

import (
	"strconv"
	"strings"
	"time"
)

// tally goes through the lines of a fleet in the order of their time, and fills in a count.
type tally struct {
	*Count
	began     time.Time
	warmAfter time.Duration
	second    int // the first one whose end is not counted yet
	balancers map[string]bool
	started   map[string]time.Time // desk hosts
	loads     map[string][]float64 // what reports of this second told, by desk host
	known     map[knowledge]bool
	standing  *standingConnections
	herd      *herd
}

// knowledge is that a balancer has come to know of a revision of the list or doubts a desk host; one of the two is empty.
type knowledge struct{ balancer, revision, host string }

func newTally(c *Count, began time.Time, warmAfter time.Duration) *tally {
	return &tally{
		Count: c, began: began, warmAfter: warmAfter,
		balancers: map[string]bool{},
		started:   map[string]time.Time{},
		loads:     map[string][]float64{},
		known:     map[knowledge]bool{},
		standing:  newStandingConnections(),
		herd:      newHerd(c.Fleet.Herd),
	}
}

// since is how long after the first line another one was written.
func (t *tally) since(l logLine) time.Duration { return l.at.Sub(t.began) }

func (t *tally) secondOf(l logLine) int { return int(t.since(l).Seconds()) }

// take counts one line.
func (t *tally) take(l logLine) {
	second := t.secondOf(l)
	t.closeSecondsBefore(second)
	t.balancers[l.balancer] = true
	t.event(eventName(l))[second]++
	t.standing.take(l)
	if count := lineCounters[l.event]; count != nil {
		count(t, l)
	}
}

// lineCounters are what is counted of a kind of line, beside that it came.
var lineCounters = map[string]func(*tally, logLine){
	"probe-sent":       (*tally).probeSent,
	"attempt-sent":     (*tally).attemptSent,
	"attempt-ended":    (*tally).attemptEnded,
	"report":           (*tally).report,
	"listed":           (*tally).listed,
	"discovery-answer": (*tally).discoveryAnswer,
	"decision":         (*tally).decision,
}

// eventName is the row under which a line is counted.
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

// clientKind is where in its life a client was that a line tells of.
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

// hostPassedOver is the desk host that a decision tells to be doubted.
func hostPassedOver(l logLine) (host string, ok bool) {
	rest, ok := strings.CutPrefix(l.fields["text"], "passed over ")
	host, _, _ = strings.Cut(rest, " ")
	return host, ok
}

func (t *tally) probeSent(l logLine) { t.host(l.fields["host"], "questions")[t.secondOf(l)]++ }

func (t *tally) attemptSent(l logLine) {
	host := l.fields["host"]
	t.host(host, "steps")[t.secondOf(l)]++
	t.herd.take(t.since(l), host, l.balancer)
	if started, ok := t.started[host]; ok && l.at.Sub(started) < t.warmAfter {
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
	if started := startOf(l); !started.IsZero() {
		t.started[l.fields["host"]] = started
	}
}

// startOf is when a listed desk host started; zero where the list does not tell.
func startOf(l logLine) time.Time {
	ms, err := strconv.ParseInt(l.fields["started_ms"], 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func (t *tally) discoveryAnswer(l logLine) {
	text := l.fields["revision"]
	revision, err := strconv.ParseInt(text, 10, 64)
	if err == nil && t.isNews(knowledge{balancer: l.balancer, revision: text}) {
		t.Knew[revision] = t.Knew[revision].add(t.since(l).Seconds())
	}
}

func (t *tally) decision(l logLine) {
	host, ok := hostPassedOver(l)
	if ok && t.isNews(knowledge{balancer: l.balancer, host: host}) {
		t.PassedOver[host] = t.PassedOver[host].add(t.since(l).Seconds())
	}
}

// isNews tells whether a balancer comes to know something for the first time.
func (t *tally) isNews(k knowledge) bool {
	if t.known[k] {
		return false
	}
	t.known[k] = true
	return true
}

// closeSecondsBefore counts what is as of a second's end, for those that have ended.
func (t *tally) closeSecondsBefore(until int) {
	for ; t.second < until; t.second++ {
		t.closeSecond(t.second)
	}
}

func (t *tally) closeSecond(second int) {
	for host, connections := range t.standing.byHost {
		t.host(host, "standing")[second] = connections
	}
	for host, told := range t.loads {
		t.host(host, "load")[second] = hundredths(mean(told))
	}
	clear(t.loads)
	t.Fleet.Connections[second] = len(t.standing.byID)
	t.Fleet.Groups[second] = len(t.standing.groups)
	t.Fleet.Pieces[second] = len(t.standing.pieces)
	t.Fleet.Variation[second] = t.standing.variation()
}
