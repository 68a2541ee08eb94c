package sitegen

import "fmt"

// draft fills the site file: what the axes fix as they say, the rest drawn.
func draft(d *dice, a *Axes) *file {
	f := &file{Name: d.siteName(), Family: "conn", Wire: CompanionFiles[0], Stock: fmt.Sprintf("co%08x", d.Uint32())}
	f.Day = draftDay(d)
	f.Scale = draftScale(d)
	f.Load = draftLoad(d)
	f.Net = draftNet(d, a)
	f.Front = frontSection{Entry: "front", Notice: d.within(span{1, 3.9})}
	f.Clients = draftClients(d)
	f.Discovery = draftDiscovery(d, a)
	f.Allow = allowSection{Probes: a.Probes, Cancel: true, RetryAfter: d.coin(), MaxAttempts: a.Attempts, CPU: a.CPU}
	f.Rules = ruleSection{DrainGrace: a.DrainGraceMS, FallMultiple: d.count(counts{3, 4}), Fall: 1000}
	f.Prices = draftPrices(d, a)
	f.Tiers = []tier{draftTier(d, a)}
	f.Classes = draftClasses(d, d.count(counts{2, 4}))
	f.Tenants = draftTenants(d)
	if len(f.Tenants) > 0 {
		f.Load.OverShareWorth, f.Load.Quota = 0.2, new(d.within(span{0.7, 0.95}))
	}
	f.Goal = draftGoal(d, len(f.Tenants) > 0)
	f.Troubles = draftTroubles(d, a)
	f.Standing = draftFamily(d, a, len(f.Classes))
	return f
}

func draftDay(d *dice) daySection {
	return daySection{
		Length:      d.within(span{40, 60}),
		Tick:        pick(d, []int{2, 4}),
		MaxRequests: pick(d, []int{60_000, 180_000}),
		Troubles:    span{1, 1.99},
		InStep:      pick(d, [][]bool{{true}, {false, true}}),
		StartSpread: pick(d, []span{{0, 0}, {300, 1200}}),
	}
}

func draftScale(d *dice) scaleSection {
	s := scaleSection{
		Servers:      d.countsWithin(counts{8, 14}),
		Balancers:    d.countsWithin(counts{2, 4}),
		BigServers:   d.countsWithin(counts{10, 20}),
		BigBalancers: d.countsWithin(counts{2, 6}),
	}
	s.TwinServers, s.TwinBalancers = s.Servers[0], s.Balancers[0]
	return s
}

func draftLoad(d *dice) loadSection {
	return loadSection{
		Quiet:    d.within(span{0.16, 0.32}),
		Trouble:  d.within(span{0.26, 0.42}),
		Overload: d.within(span{0.59, 0.78}),
		Big:      d.within(span{0.28, 0.44}),
		Shape:    some(d, []string{"bursty", "steady", "wave"}, 2),
		Swing:    d.within(span{0.061, 0.38}),
		ZoneSkew: d.within(span{0.25, 0.79}),
		Hints:    "none",
		WorthBy:  "request",
	}
}

func draftNet(d *dice, a *Axes) netSection {
	far := pick(d, []span{{1.6, 3}, {3.4, 6.2}, {10, 20}})
	return netSection{
		Zones:      some(d, zoneWords, a.Zones),
		Same:       d.within(span{0.089, 0.35}),
		Cross:      d.within(far),
		Client:     d.within(span{0.23, 1.2}),
		Jitter:     d.within(span{0.057, 0.35}),
		ServerSkew: d.within(span{0, 0.3}),
	}
}

func draftClients(d *dice) clientSection {
	return clientSection{
		Retries:       pick(d, []span{{0, 1.5}, {1, 2.99}}),
		TryShare:      1,
		Backoff:       pick(d, [][]string{{"exp"}, {"fixed", "exp"}}),
		Honour:        d.within(span{0.54, 1}),
		BackoffMS:     d.within(span{13, 360}),
		MaxRetryAfter: pick(d, []int{600, 2000}),
		Impatient:     d.within(span{0, 0.06}),
		MarksRetry:    d.coin(),
	}
}

func draftDiscovery(d *dice, a *Axes) discovery {
	out := discovery{
		Mode:         either(a.Pushed, "push", "ask"),
		Notice:       d.within(span{0.56, 4.7}),
		SilentNotice: d.within(span{4.2, 14}),
		Add:          d.within(span{0.24, 2.3}),
		Period:       d.within(span{150, 1500}),
		Spread:       d.within(span{10, 120}),
	}
	if !a.Pushed {
		out.Capacity = new(d.within(span{3.1, 5.8}))
		out.CallLines = new(d.within(span{16, 76}))
		out.Timeout = pick(d, []int{1000, 3000})
	}
	return out
}

func draftPrices(d *dice, a *Axes) priceSection {
	p := priceSection{
		CrossZone: d.value(span{0.02, 0.1}),
		Waste:     d.value(span{0.016, 0.25}),
		LateFail:  d.value(span{0.03, 0.08}),
		Moves:     d.value(span{0.02, 0.031}),
	}
	if a.Probes {
		p.Probe = d.value(span{0.0017, 0.002})
	}
	return p
}

func draftGoal(d *dice, tenants bool) goalSection {
	g := goalSection{
		Whole:       pick(d, []float64{0.45, 0.55, 0.6}),
		WorstWindow: pick(d, []float64{0.1, 0.25, 0.35}),
		WorstClass:  pick(d, []float64{0.1, 0.2}),
	}
	if tenants {
		g.WorstTenant = 0.1
	}
	return g
}
