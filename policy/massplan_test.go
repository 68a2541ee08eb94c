package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simPlan is a deployment with a release, in the figures of a site of long-lived sessions: the means of the values that
// are drawn, and a seed. The unit of load is the mean load of a connection.
type simPlan struct {
	seed                      uint64
	balancers, hosts, groups  int
	connections               int           // wanted by clients at any time
	duration                  time.Duration // of the simulation
	releaseStart, releaseSpan time.Duration // when the replacement of hosts starts, and how long it takes
	releaseShare              float64       // share of the hosts that are replaced
	classes                   []simClass
	machineTypes              []simMachineType
	retries                   float64 // mean number after a refusal
}

// simClass is a class of clients.
type simClass struct {
	name           string
	share          float64 // of all new clients
	load, lifetime float64 // of a connection, relative to the other classes
	worth          float64
	ttl            time.Duration // how long a client waits for its connection
	setupTarget    time.Duration
	messageTarget  time.Duration
}

// simMachineType is a type of machine.
type simMachineType struct {
	name              string
	speed             float64 // nominal, which is its weight on the list
	speedSigma        float64 // spread of the true speed, lognormal
	coldCapacityShare float64
	warmAfter         time.Duration
}

// Constants that are the same in all runs.
const (
	groupCost          = 3.0 // load that a group adds to each host with a connection of it
	groupZipf          = 1.0 // exponent of the distribution of group sizes
	coresPerHost       = 2
	loadsPerCore       = 18.0 // load that fills a core of speed 1
	connectionsPerLoad = 2.6  // maximum of connections of a host, per unit of its capacity
	loadSigma          = 0.75 // of a connection's mean load, lognormal
	loadChangeSigma    = 0.5  // of its changes about that mean, lognormal
	loadChangeInterval = 12 * time.Second
	meanClientTime     = 38 * time.Second
	crossZoneTime      = 5 * time.Millisecond // round trip to another zone
	sameZoneTime       = 200 * time.Microsecond
)

// releaseDay returns a release in which hosts join, under a fleet of balancers, as on plan-norte.
func releaseDay(seed uint64, balancers int) simPlan {
	return simPlan{
		seed: seed, balancers: balancers, hosts: 83, groups: 58, connections: 1550,
		duration: 25 * time.Second, releaseStart: 4 * time.Second, releaseSpan: 7 * time.Second, releaseShare: 0.6,
		classes: []simClass{
			{"plan-diario", 0.32, 1, 1, 1, 4800 * ms, 800 * ms, 60 * ms},
			{"serie-hecha", 0.25, 0.35, 2, 1, 3000 * ms, 500 * ms, 100 * ms},
			{"ajuste-plan", 0.24, 0.35, 0.65, 2, 3200 * ms, 800 * ms, 250 * ms},
			{"informe-alta", 0.19, 0.35, 0.65, 2, 4800 * ms, 800 * ms, 60 * ms},
		},
		machineTypes: []simMachineType{
			{"nuevo", 1.5, 0.14, 0.23, 16 * time.Second},
			{"antiguo", 0.97, 0.14, 0.3, 17500 * ms},
		},
		retries: 0.75,
	}
}

// settings returns the settings of the balancers of a zone. Of the machine types they have the lowest cold capacity
// share and the longest warm-up.
func (p simPlan) settings(zone string) Settings {
	set := settings()
	set.MaxAttempts, set.Siblings, set.Probes, set.Tick = 5, p.balancers, true, 4*ms
	set.DrainGrace, set.OverloadFactor, set.OverloadSpan = 500*ms, 4, time.Second
	set.ColdCapacityShare, set.WarmAfter = 1, 0
	for _, k := range p.machineTypes {
		set.ColdCapacityShare, set.WarmAfter = min(set.ColdCapacityShare, k.coldCapacityShare), max(set.WarmAfter, k.warmAfter)
	}
	set.Zone, set.CrossZoneCost, set.Classes = zone, 0.1, map[string]Class{}
	for _, c := range p.classes {
		set.Classes[c.name] = Class{SetupTarget: c.setupTarget, MessageTarget: c.messageTarget}
	}
	return set
}

// meanLifetime returns how long a new client stays on average.
func (p simPlan) meanLifetime() time.Duration {
	sum := 0.0
	for _, c := range p.classes {
		sum += c.share * c.lifetime
	}
	return time.Duration(sum * float64(meanClientTime))
}

// meanLoad returns the mean of the classes' relative loads over all connections at a time.
func (p simPlan) meanLoad() float64 {
	load, connections := 0.0, 0.0
	for _, c := range p.classes {
		load, connections = load+c.share*c.lifetime*c.load, connections+c.share*c.lifetime
	}
	return load / connections
}

// drawClass draws the class of a new client, or of one of those connected at a time.
func (p simPlan) drawClass(rng *rand.Rand, established bool) simClass {
	weight := func(c simClass) float64 {
		if established {
			return c.share * c.lifetime
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

// drawGroup draws the group of a client. The share of the nth group is proportional to 1/n^groupZipf.
func (p simPlan) drawGroup(rng *rand.Rand) uint64 {
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

// simZones are the zones with their shares of the clients.
var simZones = []struct {
	name  string
	share float64
}{{"oviedo", 0.42}, {"santander", 0.33}, {"bilbao", 0.25}}

// drawZone draws the zone of a client or balancer.
func drawZone(rng *rand.Rand) string {
	left := rng.Float64()
	for _, z := range simZones {
		if left -= z.share; left < 0 {
			return z.name
		}
	}
	return simZones[0].name
}

// newHost returns the nth host started, with the machine type and zone of its position.
func (p simPlan) newHost(rng *rand.Rand, n, place int, started time.Duration) *simHost {
	kind, zone := p.machineTypes[place%len(p.machineTypes)], simZones[place%len(simZones)].name
	speed := kind.speed * math.Exp(kind.speedSigma*rng.NormFloat64())
	return &simHost{
		Server: Server{ID: fmt.Sprintf("s-%x", uint32(n+1)*2654435761), Zone: zone, Kind: kind.name, State: Ready,
			Weight: kind.speed, Started: started},
		capacity: loadsPerCore * coresPerHost * speed, coldCapacityShare: kind.coldCapacityShare, warmAfter: kind.warmAfter, position: place,
		groups:         map[uint64]int{},
		reportInterval: between(rng, 46*ms, 250*ms), reportDelay: between(rng, 48*ms, 130*ms),
	}
}

// between draws a time.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
