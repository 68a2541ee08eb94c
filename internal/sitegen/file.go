package sitegen

// siteFile is a site file as the operators' bench reads it. The suffixes of the keys state the units.
type siteFile struct {
	Name        string             `toml:"name"`
	Family      string             `toml:"family"`
	Wire        string             `toml:"wire"`
	Stock       string             `toml:"stock"`
	Day         daySection         `toml:"day"`
	Scale       scaleSection       `toml:"scale"`
	Load        loadSection        `toml:"load"`
	Net         netSection         `toml:"net"`
	Front       frontSection       `toml:"front"`
	Clients     clientSection      `toml:"clients"`
	Discovery   discoverySection   `toml:"discovery"`
	Allow       allowSection       `toml:"allow"`
	Rules       ruleSection        `toml:"rules"`
	Goal        goalSection        `toml:"goal"`
	Prices      priceSection       `toml:"prices"`
	Tiers       []tierSection      `toml:"tier"`
	Classes     []classSection     `toml:"class"`
	Tenants     []tenantSection    `toml:"tenant,omitempty"`
	Troubles    []troubleSection   `toml:"trouble"`
	Connections connectionsSection `toml:"fam"`
}

type daySection struct {
	Length      floatRange `toml:"length_s"`
	Tick        int        `toml:"tick_ms"`
	MaxRequests int        `toml:"max_requests"`
	Troubles    floatRange `toml:"troubles"`
	InStep      []bool     `toml:"in_step"`
	StartSpread floatRange `toml:"start_spread_ms"`
}

type scaleSection struct {
	Servers       intRange `toml:"servers"`
	Balancers     intRange `toml:"balancers"`
	BigServers    intRange `toml:"big_servers"`
	BigBalancers  intRange `toml:"big_balancers"`
	TwinServers   int      `toml:"twin_servers"`
	TwinBalancers int      `toml:"twin_balancers"`
}

type loadSection struct {
	Quiet          floatRange  `toml:"quiet"`
	Trouble        floatRange  `toml:"trouble"`
	Overload       floatRange  `toml:"overload"`
	Big            floatRange  `toml:"big"`
	Shape          []string    `toml:"shape"`
	Swing          floatRange  `toml:"swing"`
	ZoneSkew       floatRange  `toml:"zone_skew"`
	Hints          string      `toml:"hints"`
	WorthBy        string      `toml:"worth_by"`
	OverShareWorth float64     `toml:"over_share_worth,omitempty"`
	Quota          *floatRange `toml:"quota_of_capacity,omitempty"`
}

type netSection struct {
	Zones      []string   `toml:"zones"`
	Same       floatRange `toml:"same_ms"`
	Cross      floatRange `toml:"cross_ms"`
	Client     floatRange `toml:"client_ms"`
	Jitter     floatRange `toml:"jitter"`
	ServerSkew floatRange `toml:"server_skew"`
}

type frontSection struct {
	Entry  string     `toml:"entry"`
	Notice floatRange `toml:"notice_s"`
}

type clientSection struct {
	Retries       floatRange `toml:"retries"`
	TryShare      float64    `toml:"try_share"`
	Backoff       []string   `toml:"backoff"`
	Honour        floatRange `toml:"honour"`
	BackoffMS     floatRange `toml:"backoff_ms"`
	MaxRetryAfter int        `toml:"max_retry_after_ms"`
	Impatient     floatRange `toml:"impatient"`
	MarksRetry    bool       `toml:"marks_retry"`
}

type discoverySection struct {
	Mode         string      `toml:"mode"`
	Notice       floatRange  `toml:"notice_s"`
	SilentNotice floatRange  `toml:"silent_notice_s"`
	Add          floatRange  `toml:"add_s"`
	Period       floatRange  `toml:"period_ms"`
	Spread       floatRange  `toml:"spread_ms"`
	Capacity     *floatRange `toml:"capacity,omitempty"` // this and the following only where balancers ask for the list
	CallLines    *floatRange `toml:"call_lines,omitempty"`
	Timeout      int         `toml:"timeout_ms,omitempty"`
}

type allowSection struct {
	Probes       bool `toml:"probes"`
	Peers        bool `toml:"peers"`
	Cancel       bool `toml:"cancel"`
	SecondCopies bool `toml:"second_copies"`
	RetryAfter   bool `toml:"retry_after"`
	MaxAttempts  int  `toml:"max_attempts"`
	CPU          int  `toml:"cpu_ms_per_s"`
}

type ruleSection struct {
	DrainGrace   int `toml:"drain_grace_ms"`
	FallMultiple int `toml:"fall_multiple"`
	Fall         int `toml:"fall_ms"`
}

type goalSection struct {
	Whole       float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant"`
}

type priceSection struct {
	CrossZone float64 `toml:"cross_zone"`
	Waste     float64 `toml:"waste"`
	Probe     float64 `toml:"probe"`
	Peer      float64 `toml:"peer"`
	LateFail  float64 `toml:"late_fail"`
	Moves     float64 `toml:"moves"`
}
