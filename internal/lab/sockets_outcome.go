package lab

import (
	"encoding/json"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what the auditor and the clients observed. Its keys in JSON are the names of the fields, or their tags.
type Outcome struct {
	Opens, Served, Refused, Failed int
	Lost                           int // without a final answer in time
	Doubled                        int // with a second final answer
	TwoInFlight                    int
	MaxAttempts                    int `json:"MostAttempts"` // for one OPEN
	Foreign                        int // new attempts at a host outside the client's cell
	LateDrains                     int // new attempts more than 350 ms after the balancer was notified of the host's drain
	OverloadFailures               int `json:"Fallen"` // cold hosts that failed from overload
	Cut                            int // connections that ended without MOVE while their desk host still held them
	Moves                          int
	PlanMoves                      int             `json:"Followed"` // moves of clients in a cell that their flight had left
	MovedTwice                     int             // clients moved more than once for that reason
	Crashed                        int             // balancers that ended by themselves
	LostUps                        int             `json:"Unheard"` // connections established by a host cut off one way, whose UP was lost
	Reopened                       int             `json:"Again"`   // OPENs not answered by a balancer that was down or frozen, whose clients reconnected
	Near, Sent                     int             // new attempts at a host in the balancer's own room, and all new attempts, while no room was dark
	LastDarkAttempts               []time.Duration `json:"Quiet"` // by balancer: time of its last new attempt into a dark room, from when the room went dark
	Worth                          Worth           // counted in lines, not seconds
	Cells                          map[string]*Group
	Carriers                       map[string]*Group
}

// Group is the figures of the clients of a cell or carrier, without those of hot keys.
type Group struct {
	Opens, Served, Refused, Failed int
	setupTimes, lineTimes          *hdrhistogram.Histogram
}

func newGroup() *Group {
	return &Group{setupTimes: hdrhistogram.New(1, 60_000_000, 3), lineTimes: hdrhistogram.New(1, 60_000_000, 3)}
}

// MarshalJSON writes the percentiles in milliseconds.
func (g *Group) MarshalJSON() ([]byte, error) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return math.Round(float64(h.ValueAtQuantile(q))/10) / 100
	}
	return json.Marshal(map[string]any{"opens": g.Opens, "served": g.Served, "refused": g.Refused, "failed": g.Failed,
		"setup_p50_ms": ms(g.setupTimes, 50), "setup_p99_ms": ms(g.setupTimes, 99), "line_p50_ms": ms(g.lineTimes, 50),
		"line_p99_ms": ms(g.lineTimes, 99), "lines": g.lineTimes.TotalCount()})
}

// SetupQuantile is a percentile of the time to establish a connection.
func (g *Group) SetupQuantile(q float64) time.Duration {
	return time.Duration(g.setupTimes.ValueAtQuantile(q)) * time.Microsecond
}

// LineQuantile is a percentile of the time to answer a line.
func (g *Group) LineQuantile(q float64) time.Duration {
	return time.Duration(g.lineTimes.ValueAtQuantile(q)) * time.Microsecond
}
