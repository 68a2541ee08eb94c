package sitegen

func drawTier(rng *sampler, a *Axes) tierSection {
	deepProbe := rng.randomBool()
	t := tierSection{
		Name:     pickOne(rng, siteSecondWords) + "-hosts",
		CellSize: pickOne(rng, []intRange{{4, 8}, {6, 10}}),
		Weights:  pickOne(rng, []string{"none", "rough", "nominal"}),
		Report:   drawReport(rng, a),
		Conn: tierConnections{
			Streams:        1,
			HandshakeRTTs:  intRange{2, 3},
			Handshake:      rng.subrange(floatRange{560, 2000}),
			Idle:           pickOne(rng, []int{5, 15}),
			ConnectTimeout: pickOne(rng, []int{60, 150, 200}),
			PerCore:        intRange{600, 900},
			FullTax:        rng.subrange(floatRange{0.039, 0.35}),
		},
		Probe: probeSection{
			Work:    rng.subrange(floatRange{24, 290}),
			PerCore: rng.subrange(floatRange{3.2, 10}),
			Timeout: pickOne(rng, []int{75, 200}),
		},
	}
	if deepProbe {
		t.Probe.Deep, t.Probe.Work, t.Probe.Timeout = true, rng.subrange(floatRange{640, 1300}), 250
	}
	for i, name := range sample(rng, kindWords, rng.countIn(intRange{1, 2})) {
		t.Kinds = append(t.Kinds, drawHostKind(rng, a, name, i))
	}
	if len(t.Kinds) == 1 {
		t.Kinds[0].Share = floatRange{1, 1}
	}
	return t
}

func drawReport(rng *sampler, a *Axes) reportSection {
	r := reportSection{How: "none", Fields: a.ReportFields, Period: rng.subrange(floatRange{350, 1300}),
		Delay: rng.subrange(floatRange{100, 490}), Noise: rng.subrange(floatRange{0.02, 0.08})}
	if len(a.ReportFields) == 0 {
		return r
	}
	r.How = "probe"
	if a.ReportFields[0] == "inflight" { // counts of connections are reported more often and less exactly
		r.Period, r.Delay = rng.subrange(floatRange{46, 250}), rng.subrange(floatRange{48, 130})
		r.Noise = rng.subrange(floatRange{0.024, 0.18})
	}
	return r
}

// speeds are the speed ranges of the first kind of desk host, and of the second, which is slower or faster.
var speeds = [][]floatRange{{{0.85, 1.1}}, {{0.51, 0.69}, {1.3, 1.7}}}

func drawHostKind(rng *sampler, a *Axes, name string, index int) hostKind {
	return hostKind{
		Name:         name,
		Share:        rng.subrange(floatRange{0.4, 0.61}),
		Cores:        rng.countIn(intRange{2, 4}),
		Speed:        rng.subrange(pickOne(rng, speeds[index])),
		SpeedCV:      rng.subrange(floatRange{0.04, 0.24}),
		Slots:        intRange{4, 12},
		Queue:        rng.countSubrange(intRange{220, 710}),
		ThrashAt:     rng.subrange(floatRange{4.2, 14}),
		ColdFrom:     rng.subrange(a.WarmUp.StartShare),
		Cold:         rng.subrange(a.WarmUp.Seconds),
		WarmBy:       a.WarmUp.Trigger,
		ErrorRate:    floatRange{0, rng.valueIn(floatRange{0.0005, 0.003})},
		Cancel:       pickOne(rng, [][]string{{"all"}, {"none", "queued"}}),
		DropsExpired: pickOne(rng, [][]bool{{false}, {false, true}}),
	}
}

// workDistribution is a set of distributions for the work of requests of a class, with the range of the coefficient of
// variation.
type workDistribution struct {
	distributions []string
	cv            floatRange
}

var workDistributions = []workDistribution{
	{[]string{"exp"}, floatRange{0.71, 1.5}},
	{[]string{"lognormal"}, floatRange{0.71, 2.8}},
	{[]string{"pareto"}, floatRange{2, 2.7}},
	{[]string{"exp", "lognormal"}, floatRange{0.71, 1.5}},
}

// latencyLimits are the latency target and the deadline of a class, in ms.
type latencyLimits struct{ target, deadline int }

var latencyLimitSets = []latencyLimits{{250, 900}, {300, 1200}, {500, 2000}, {500, 3000}, {800, 3200}, {800, 4800}}

func drawClasses(rng *sampler, n int) []classSection {
	out := make([]classSection, n)
	for i, name := range rng.classNames(n) {
		work, limits := pickOne(rng, workDistributions), pickOne(rng, latencyLimitSets)
		mean := 1 / float64(n)
		out[i] = classSection{
			Name:         name,
			Share:        rng.subrange(floatRange{0.75 * mean, 1.25 * mean}),
			Work:         rng.subrange(floatRange{2.1, 18}),
			Dist:         work.distributions,
			CV:           rng.subrange(work.cv),
			AttemptNoise: rng.subrange(floatRange{0.051, 0.6}),
			Aim:          limits.target,
			Deadline:     limits.deadline,
			Worth:        rng.countIn(intRange{1, 3}),
			Effect:       "safe",
			Stream:       true,
		}
	}
	return out
}

// tenantShares are the shares of the tenants of a site. Each list sums to 1.
var tenantShares = [][]float64{{}, {0.5, 0.3, 0.2}, {0.53, 0.23, 0.15, 0.09}, {0.3, 0.25, 0.2, 0.15, 0.1}}

func drawTenants(rng *sampler) []tenantSection {
	shares := pickOne(rng, tenantShares)
	names := sample(rng, tenantWords, len(shares))
	out := make([]tenantSection, len(shares))
	for i, share := range shares {
		out[i] = tenantSection{Name: names[i] + "-co", Share: share, Usage: rng.subrange(floatRange{0.5, 1.4})}
	}
	return out
}

func drawTroubles(rng *sampler, a *Axes) []troubleSection {
	all := []troubleSection{
		{Name: "crash", Length: floatRange{9.4, 22}, Part: new(rng.subrange(floatRange{0.056, 0.25}))},
		{Name: "fast_errors", Length: floatRange{9.8, 25}, Part: new(rng.subrange(floatRange{0.064, 0.2})),
			Size: new(rng.subrange(floatRange{0.4, 0.91}))},
		{Name: "hot_key", Length: floatRange{5.2, 25}, Size: new(rng.subrange(floatRange{0.045, 0.23}))},
		{Name: "deploy", Length: floatRange{39, 23}, Part: new(rng.subrange(floatRange{0.47, 0.99})),
			Size: new(rng.subrange(floatRange{0.052, 0.2})), Extra: new(rng.subrange(floatRange{2.4, 5.8}))},
		{Name: "reconnect", Length: floatRange{2.4, 0.29}, Size: new(rng.subrange(floatRange{0.16, 0.57}))},
	}
	if !a.ListPushed {
		all = append(all, troubleSection{Name: "discovery_down", Length: floatRange{6.8, 22}})
	}
	return sample(rng, all, rng.countIn(intRange{1, 3}))
}

func drawConnections(rng *sampler, a *Axes, classes int) connectionsSection {
	f := connectionsSection{
		Mode:          choose(a.PassThrough, "pass", "proxy"),
		PerCore:       rng.subrange(a.LoadPerCore),
		Cap:           rng.subrange(floatRange{1.6, 3.7}),
		Life:          rng.subrange(pickOne(rng, []floatRange{{20, 60}, {28, 220}})),
		Sheds:         pickOne(rng, []string{"newest", "heaviest"}),
		Rejoin:        rng.subrange(floatRange{71, 1800}),
		StoreHeadroom: pickOne(rng, []float64{0, 5, 20}),
		GroupCost:     a.GroupCost,
		GoAway:        choose(a.MoveAtOnce, "at_once", "none"),
		TellsLoad:     true,
	}
	if a.LargeGroups { // without these settings, the bench makes groups of about five connections
		f.GroupZipf, f.GroupSize = new(rng.subrange(floatRange{0.9, 1.1})), new(rng.subrange(floatRange{31, 61}))
	}
	for i := range classes {
		f.Classes = append(f.Classes, drawClassUse(rng, i == 0))
	}
	return f
}

func drawClassUse(rng *sampler, first bool) classUse {
	u := classUse{
		Load:       pickOne(rng, []floatRange{{0.2, 0.5}, {2, 4}, {4, 8}}),
		Life:       pickOne(rng, []floatRange{{0.3, 1}, {1, 1}, {1, 3}}),
		LoadSigma:  rng.subrange(floatRange{0.5, 1.4}),
		SwingSigma: rng.subrange(floatRange{0.2, 0.9}),
		Change:     rng.subrange(floatRange{4, 20}),
		Idle:       rng.subrange(floatRange{0.01, 0.5}),
		Message:    pickOne(rng, []int{50, 60, 100, 150, 250}),
	}
	if first { // the reference class, relative to which the others are given
		u.Load, u.Life = floatRange{1, 1}, floatRange{1, 1}
	}
	return u
}
