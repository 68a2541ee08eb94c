package sitegen

import "fmt"

// drawSiteFile draws a site file. What the axes determine is set accordingly, the rest is random.
func drawSiteFile(rng *sampler, a *Axes) *siteFile {
	f := &siteFile{Name: rng.siteName(), Family: "conn", Wire: CompanionFiles[0], Stock: fmt.Sprintf("co%08x", rng.Uint32())}
	f.Day = drawDay(rng)
	f.Scale = drawScale(rng)
	f.Load = drawLoad(rng)
	f.Net = drawNet(rng, a)
	f.Front = frontSection{Entry: "front", Notice: rng.subrange(floatRange{1, 3.9})}
	f.Clients = drawClients(rng)
	f.Discovery = drawDiscovery(rng, a)
	f.Allow = allowSection{Probes: a.Probes, Cancel: true, RetryAfter: rng.randomBool(), MaxAttempts: a.MaxAttempts, CPU: a.CPUMillis}
	f.Rules = ruleSection{DrainGrace: a.DrainGraceMillis, FallMultiple: rng.countIn(intRange{3, 4}), Fall: 1000}
	f.Prices = drawPrices(rng, a)
	f.Tiers = []tierSection{drawTier(rng, a)}
	f.Classes = drawClasses(rng, rng.countIn(intRange{2, 4}))
	f.Tenants = drawTenants(rng)
	if len(f.Tenants) > 0 {
		f.Load.OverShareWorth, f.Load.Quota = 0.2, new(rng.subrange(floatRange{0.7, 0.95}))
	}
	f.Goal = drawGoal(rng, len(f.Tenants) > 0)
	f.Troubles = drawTroubles(rng, a)
	f.Connections = drawConnections(rng, a, len(f.Classes))
	return f
}

func drawDay(rng *sampler) daySection {
	return daySection{
		Length:      rng.subrange(floatRange{40, 60}),
		Tick:        pickOne(rng, []int{2, 4}),
		MaxRequests: pickOne(rng, []int{60_000, 180_000}),
		Troubles:    floatRange{1, 1.99},
		InStep:      pickOne(rng, [][]bool{{true}, {false, true}}),
		StartSpread: pickOne(rng, []floatRange{{0, 0}, {300, 1200}}),
	}
}

func drawScale(rng *sampler) scaleSection {
	s := scaleSection{
		Servers:      rng.countSubrange(intRange{8, 14}),
		Balancers:    rng.countSubrange(intRange{2, 4}),
		BigServers:   rng.countSubrange(intRange{10, 20}),
		BigBalancers: rng.countSubrange(intRange{2, 6}),
	}
	s.TwinServers, s.TwinBalancers = s.Servers[0], s.Balancers[0]
	return s
}

func drawLoad(rng *sampler) loadSection {
	return loadSection{
		Quiet:    rng.subrange(floatRange{0.16, 0.32}),
		Trouble:  rng.subrange(floatRange{0.26, 0.42}),
		Overload: rng.subrange(floatRange{0.59, 0.78}),
		Big:      rng.subrange(floatRange{0.28, 0.44}),
		Shape:    sample(rng, []string{"bursty", "steady", "wave"}, 2),
		Swing:    rng.subrange(floatRange{0.061, 0.38}),
		ZoneSkew: rng.subrange(floatRange{0.25, 0.79}),
		Hints:    "none",
		WorthBy:  "request",
	}
}

func drawNet(rng *sampler, a *Axes) netSection {
	crossZone := pickOne(rng, []floatRange{{1.6, 3}, {3.4, 6.2}, {10, 20}})
	return netSection{
		Zones:      sample(rng, zoneWords, a.Zones),
		Same:       rng.subrange(floatRange{0.089, 0.35}),
		Cross:      rng.subrange(crossZone),
		Client:     rng.subrange(floatRange{0.23, 1.2}),
		Jitter:     rng.subrange(floatRange{0.057, 0.35}),
		ServerSkew: rng.subrange(floatRange{0, 0.3}),
	}
}

func drawClients(rng *sampler) clientSection {
	return clientSection{
		Retries:       pickOne(rng, []floatRange{{0, 1.5}, {1, 2.99}}),
		TryShare:      1,
		Backoff:       pickOne(rng, [][]string{{"exp"}, {"fixed", "exp"}}),
		Honour:        rng.subrange(floatRange{0.54, 1}),
		BackoffMS:     rng.subrange(floatRange{13, 360}),
		MaxRetryAfter: pickOne(rng, []int{600, 2000}),
		Impatient:     rng.subrange(floatRange{0, 0.06}),
		MarksRetry:    rng.randomBool(),
	}
}

func drawDiscovery(rng *sampler, a *Axes) discoverySection {
	out := discoverySection{
		Mode:         choose(a.ListPushed, "push", "ask"),
		Notice:       rng.subrange(floatRange{0.56, 4.7}),
		SilentNotice: rng.subrange(floatRange{4.2, 14}),
		Add:          rng.subrange(floatRange{0.24, 2.3}),
		Period:       rng.subrange(floatRange{150, 1500}),
		Spread:       rng.subrange(floatRange{10, 120}),
	}
	if !a.ListPushed {
		out.Capacity = new(rng.subrange(floatRange{3.1, 5.8}))
		out.CallLines = new(rng.subrange(floatRange{16, 76}))
		out.Timeout = pickOne(rng, []int{1000, 3000})
	}
	return out
}

func drawPrices(rng *sampler, a *Axes) priceSection {
	p := priceSection{
		CrossZone: rng.valueIn(floatRange{0.02, 0.1}),
		Waste:     rng.valueIn(floatRange{0.016, 0.25}),
		LateFail:  rng.valueIn(floatRange{0.03, 0.08}),
		Moves:     rng.valueIn(floatRange{0.02, 0.031}),
	}
	if a.Probes {
		p.Probe = rng.valueIn(floatRange{0.0017, 0.002})
	}
	return p
}

func drawGoal(rng *sampler, tenants bool) goalSection {
	g := goalSection{
		Whole:       pickOne(rng, []float64{0.45, 0.55, 0.6}),
		WorstWindow: pickOne(rng, []float64{0.1, 0.25, 0.35}),
		WorstClass:  pickOne(rng, []float64{0.1, 0.2}),
	}
	if tenants {
		g.WorstTenant = 0.1
	}
	return g
}
