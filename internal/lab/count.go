package lab

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Count holds figures from the logs of all balancers of a fleet taken together, by second from the first line. What
// each balancer does may look right by itself; only the sum shows what all of them do to a desk host or to discovery.
type Count struct {
	Balancers int              `json:"balancers"`
	Lines     int              `json:"lines"`
	Unparsed  int              `json:"unread"` // lines that are not log lines, such as a crash's stack trace
	Seconds   int              `json:"seconds"`
	Events    map[string][]int `json:"events"`
	Fleet     FleetFigures     `json:"fleet"`

	// By host and figure: probes ("questions"), attempts written ("steps"), those written while the host was cold
	// ("cold steps"), established connections at the end of the second ("standing"), connections that the host dropped
	// ("dropped"), and the mean load in its reports in hundredths of its capacity ("load"; -1 without a report).
	Hosts map[string]map[string][]int `json:"hosts"`

	Revisions  map[int64]Spread  `json:"knew"`        // when balancers first received a revision of the host list
	PassedOver map[string]Spread `json:"passed_over"` // when balancers first passed over a desk host
}

// FleetFigures are figures by second that only the whole fleet shows. All but Herd are values at the end of the second.
type FleetFigures struct {
	Connections []int `json:"connections"` // established
	Groups      []int `json:"groups"`      // groups with an established connection
	Pieces      []int `json:"pieces"`      // pairs of a group and a desk host with an established connection
	Variation   []int `json:"variation"`   // coefficient of variation of connections over desk hosts, in hundredths (-1 without connections)
	Herd        []int `json:"herd"`        // largest number of balancers that wrote an attempt to one host within one herdWindow
}

// Spread is when the first and the last of the balancers learned of something, in seconds from the first line, and how
// many did.
type Spread struct {
	First     float64 `json:"first"`
	Last      float64 `json:"last"`
	Balancers int     `json:"balancers"`
}

// add counts one more balancer, which learned of it at the given time.
func (s Spread) add(at float64) Spread {
	if s.Balancers == 0 {
		s.First = at
	}
	s.Last = at
	s.Balancers++
	return s
}

// hostFigures are the names of the figures by desk host, in the order in which they are printed.
var hostFigures = []string{"questions", "steps", "cold steps", "standing", "dropped", "load"}

// CountLogs counts the logs of a folder, which were written at the debug level: one file NAME.log for each balancer, or
// one file named log in a folder for each balancer. A desk host counts as cold until warmAfter has passed since its
// start.
func CountLogs(folder string, warmAfter time.Duration) (*Count, error) {
	logs, err := readLogs(folder)
	if err != nil {
		return nil, err
	}
	if len(logs.lines) == 0 {
		return nil, fmt.Errorf("%s: no log lines", folder)
	}
	c := newCount(logs)
	t := newTally(c, logs.lines[0].at, warmAfter)
	for _, l := range logs.lines {
		t.addLine(l)
	}
	t.closeSecondsBefore(c.Seconds)
	c.Balancers = len(t.balancers)
	return c, nil
}

// newCount makes a count in which only the log lines are counted yet.
func newCount(logs *fleetLogs) *Count {
	first, last := logs.lines[0].at, logs.lines[len(logs.lines)-1].at
	seconds := int(last.Sub(first).Seconds()) + 1
	return &Count{
		Lines: logs.lineCount, Unparsed: logs.unparsed, Seconds: seconds,
		Events:    map[string][]int{},
		Hosts:     map[string]map[string][]int{},
		Revisions: map[int64]Spread{}, PassedOver: map[string]Spread{},
		Fleet: FleetFigures{
			Connections: make([]int, seconds),
			Groups:      make([]int, seconds),
			Pieces:      make([]int, seconds),
			Variation:   make([]int, seconds),
			Herd:        make([]int, seconds),
		},
	}
}

// event finds or makes the row of an event.
func (c *Count) event(name string) []int {
	if c.Events[name] == nil {
		c.Events[name] = make([]int, c.Seconds)
	}
	return c.Events[name]
}

// host finds or makes a row of a desk host.
func (c *Count) host(host, figure string) []int {
	rows := c.Hosts[host]
	if rows == nil {
		rows = map[string][]int{}
		for _, name := range hostFigures {
			rows[name] = make([]int, c.Seconds)
		}
		for i := range rows["load"] {
			rows["load"][i] = -1
		}
		c.Hosts[host] = rows
	}
	return rows[figure]
}

// hostNames are the names of the desk hosts that have figures, sorted.
func (c *Count) hostNames() []string { return slices.Sorted(maps.Keys(c.Hosts)) }
