package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// massPlan is a deployment and a release on it, in the figures of a site of long-lived sessions: the means of what it draws
// from, and a seed. Loads are counted in mean connection loads.
type massPlan struct {
	seed                     uint64
	balancers, hosts, groups int
	wanted                   int           // connections that clients want at any time
	plays                    time.Duration // from the start to the end
	joinAt, joinFor          time.Duration // from when, and over which time, hosts are replaced
	joinPart                 float64       // of all hosts
	classes                  []massClass
	kinds                    []massKind
	retries                  float64 // after a refusal, on the mean
}

// massClass is a class of clients.
type massClass struct {
	name       string
	share      float64 // of all new clients
	load, life float64 // of a connection, relative to the others
	worth      float64
	wait       time.Duration // a client waits so long for its connection
	aim        time.Duration
	messageAim time.Duration
}

// massKind is a kind of machine.
type massKind struct {
	name      string
	speed     float64 // nominal, which is its weight on the list
	spread    float64 // of the true speed about it
	coldFrom  float64
	warmAfter time.Duration
}

// What does not vary from one run to the next.
const (
	groupCost    = 3.0  // mean loads that a group costs each host that holds any of it
	groupZipf    = 1.0  // how unlike the sizes of groups are
	coresTimes   = 2    // cores of a host
	perCore      = 18.0 // mean loads that fill a core of speed 1
	capTimes     = 2.6  // a host holds so many connections for each mean load that it can do
	loadSigma    = 0.75 // of a connection's load, lognormal
	swingSigma   = 0.5  // by which it changes about its mean, lognormal
	swingEvery   = 12 * time.Second
	lifeMean     = 38 * time.Second
	crossingTime = 5 * time.Millisecond // there and back, to another zone
	nearTime     = 200 * time.Microsecond
)

// massDay is a join release under 300 balancers, as on plan-norte.
func massDay(seed uint64, balancers int) massPlan {
	return massPlan{
		seed: seed, balancers: balancers, hosts: 83, groups: 58, wanted: 1550,
		plays: 25 * time.Second, joinAt: 4 * time.Second, joinFor: 7 * time.Second, joinPart: 0.6,
		classes: []massClass{
			{"plan-diario", 0.32, 1, 1, 1, 4800 * ms, 800 * ms, 60 * ms},
			{"serie-hecha", 0.25, 0.35, 2, 1, 3000 * ms, 500 * ms, 100 * ms},
			{"ajuste-plan", 0.24, 0.35, 0.65, 2, 3200 * ms, 800 * ms, 250 * ms},
			{"informe-alta", 0.19, 0.35, 0.65, 2, 4800 * ms, 800 * ms, 60 * ms},
		},
		kinds: []massKind{
			{"nuevo", 1.5, 0.14, 0.23, 16 * time.Second},
			{"antiguo", 0.97, 0.14, 0.3, 17500 * ms},
		},
		retries: 0.75,
	}
}

// settings are what the balancer of a zone is told: of the kinds the coldest start and the longest way to warm.
func (p massPlan) settings(zone string) Settings {
	set := settings()
	set.MaxAttempts, set.Siblings, set.Probes, set.Tick = 5, p.balancers, true, 4*ms
	set.DrainGrace, set.OverloadFactor, set.OverloadSpan = 500*ms, 4, time.Second
	set.ColdCapacityShare, set.WarmAfter = 1, 0
	for _, k := range p.kinds {
		set.ColdCapacityShare, set.WarmAfter = min(set.ColdCapacityShare, k.coldFrom), max(set.WarmAfter, k.warmAfter)
	}
	set.Zone, set.CrossZoneCost, set.Classes = zone, 0.1, map[string]Class{}
	for _, c := range p.classes {
		set.Classes[c.name] = Class{SetupTarget: c.aim, MessageTarget: c.messageAim}
	}
	return set
}

// lasts is how long a new client stays on the mean.
func (p massPlan) lasts() time.Duration {
	sum := 0.0
	for _, c := range p.classes {
		sum += c.share * c.life
	}
	return time.Duration(sum * float64(lifeMean))
}

// unit is the mean of the classes' relative loads over all that stands at a time.
func (p massPlan) unit() float64 {
	load, standing := 0.0, 0.0
	for _, c := range p.classes {
		load, standing = load+c.share*c.life*c.load, standing+c.share*c.life
	}
	return load / standing
}

// class draws the class of a new client, or of one of those that stand at a time.
func (p massPlan) class(rng *rand.Rand, standing bool) massClass {
	weight := func(c massClass) float64 {
		if standing {
			return c.share * c.life
		}
		return c.share
	}
	sum := 0.0
	for _, c := range p.classes {
		sum += weight(c)
	}
	left := rng.Float64() * sum
	for _, c := range p.classes {
		if left -= weight(c); left < 0 {
			return c
		}
	}
	return p.classes[0]
}

// group draws the group of a client: the nth one has a share of 1/n^groupZipf.
func (p massPlan) group(rng *rand.Rand) uint64 {
	sum := 0.0
	for g := range p.groups {
		sum += math.Pow(float64(g+1), -groupZipf)
	}
	left := rng.Float64() * sum
	for g := range p.groups {
		if left -= math.Pow(float64(g+1), -groupZipf); left < 0 {
			return p.seed*1000003 + uint64(g)
		}
	}
	return p.seed * 1000003
}

// massZones are the zones, with the share of the clients in each.
var massZones = []struct {
	name  string
	share float64
}{{"oviedo", 0.42}, {"santander", 0.33}, {"bilbao", 0.25}}

func massZone(rng *rand.Rand) string {
	left := rng.Float64()
	for _, z := range massZones {
		if left -= z.share; left < 0 {
			return z.name
		}
	}
	return massZones[0].name
}

// newHost makes the nth host that ever started, of the kind and in the zone of its place among the others.
func (p massPlan) newHost(rng *rand.Rand, n, place int, started time.Duration) *massHost {
	kind, zone := p.kinds[place%len(p.kinds)], massZones[place%len(massZones)].name
	speed := kind.speed * math.Exp(kind.spread*rng.NormFloat64())
	return &massHost{
		Server: Server{ID: fmt.Sprintf("s-%x", uint32(n+1)*2654435761), Zone: zone, Kind: kind.name, State: Ready,
			Weight: kind.speed, Started: started},
		capacity: perCore * coresTimes * speed, coldFrom: kind.coldFrom, warmAfter: kind.warmAfter, place: place,
		groups: map[uint64]int{},
		period: between(rng, 46*ms, 250*ms), late: between(rng, 48*ms, 130*ms),
	}
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
