package sitegen

import (
	"fmt"
	"strings"
)

// Axes are the properties of deployments that affect a balancer's decisions.
type Axes struct {
	ReportFields     []string // fields of the load reports of desk hosts; empty if they send none
	Probes           bool     // desk hosts may be probed
	PassThrough      bool     // packets pass through; otherwise the balancer is a proxy and moves connections before a restart
	ListPushed       bool     // an agent beside the balancer receives the host list; otherwise the balancer asks for it
	Zones            int
	GroupCost        float64 // in mean loads, paid by a host for each group of which it holds connections
	LargeGroups      bool
	LoadPerCore      floatRange // mean loads that one core can serve
	WarmUp           warmUp
	MoveAtOnce       bool // a draining host sends MOVE to its clients at once
	MaxAttempts      int
	DrainGraceMillis int
	CPUMillis        int // CPU time that a balancer's decisions may take, in ms per second
}

// warmUp is how a newly started desk host reaches its full capacity.
type warmUp struct {
	StartShare, Seconds floatRange // share of the capacity at the start, and duration
	Trigger             string     // "time" or "requests"
}

// The values from which the axes are drawn.
var (
	reportFieldSets   = [][]string{{"eps", "util", "x0"}, {"inflight", "queue", "x0"}, {}}
	groupCosts        = []float64{0, 3}
	loadsPerCore      = []floatRange{{8.9, 20}, {13, 23}, {22, 45}}
	drainGracesMillis = []int{250, 300, 400, 500, 750, 1000}
	cpuBudgetsMillis  = []int{8, 10, 12, 15}
	warmUps           = []warmUp{
		{StartShare: floatRange{0.15, 0.36}, Seconds: floatRange{11, 22}, Trigger: "time"},
		{StartShare: floatRange{0.39, 0.56}, Seconds: floatRange{3.3, 8.5}, Trigger: "requests"},
	}
)

// Limits of the axes that are drawn from a range.
const (
	maxZones    = 4
	minAttempts = 2
	maxAttempts = 6
)

func drawAxes(rng *sampler) Axes {
	a := Axes{
		ReportFields:     pickOne(rng, reportFieldSets),
		PassThrough:      rng.randomBool(),
		ListPushed:       rng.randomBool(),
		Zones:            1 + rng.IntN(maxZones),
		GroupCost:        pickOne(rng, groupCosts),
		LargeGroups:      rng.randomBool(),
		LoadPerCore:      pickOne(rng, loadsPerCore),
		WarmUp:           pickOne(rng, warmUps),
		MoveAtOnce:       rng.randomBool(),
		MaxAttempts:      minAttempts + rng.IntN(maxAttempts-minAttempts+1),
		DrainGraceMillis: pickOne(rng, drainGracesMillis),
		CPUMillis:        pickOne(rng, cpuBudgetsMillis),
	}
	a.Probes = len(a.ReportFields) > 0 || rng.randomBool() // reports are sent as answers to probes
	return a
}

// String describes the axes in words, for the header of the site file.
func (a *Axes) String() string {
	report := "no reports of load"
	if len(a.ReportFields) > 0 {
		report = "reports of " + strings.Join(a.ReportFields, "/")
	}
	parts := []string{
		report,
		choose(a.Probes, "probes", "no probes"),
		choose(a.PassThrough, "packets pass through", "connections are moved (proxy)"),
		choose(a.ListPushed, "the list is pushed", "the list is asked for"),
		fmt.Sprintf("%d %s", a.Zones, choose(a.Zones == 1, "zone", "zones")),
		fmt.Sprintf("%s groups at a cost of %g", choose(a.LargeGroups, "large", "small"), a.GroupCost),
		fmt.Sprintf("%g to %g loads a core", a.LoadPerCore[0], a.LoadPerCore[1]),
		fmt.Sprintf("cold from %g to %g for %g to %g s, warm by %s", a.WarmUp.StartShare[0], a.WarmUp.StartShare[1], a.WarmUp.Seconds[0],
			a.WarmUp.Seconds[1], a.WarmUp.Trigger),
		choose(a.MoveAtOnce, "a draining host sends MOVE at once", "a draining host sends no MOVE"),
		fmt.Sprintf("%d attempts", a.MaxAttempts),
		fmt.Sprintf("%d ms of drain grace", a.DrainGraceMillis),
		fmt.Sprintf("%d ms of CPU a second", a.CPUMillis),
	}
	return strings.Join(parts, ", ")
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
