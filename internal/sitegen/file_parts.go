package sitegen

// tierSection describes the desk hosts. A site of long-lived connections has one tier.
type tierSection struct {
	Name     string          `toml:"name"`
	CellSize intRange        `toml:"cell_size"`
	Weights  string          `toml:"weights"`
	Report   reportSection   `toml:"report"`
	Conn     tierConnections `toml:"conn"`
	Probe    probeSection    `toml:"probe"`
	Kinds    []hostKind      `toml:"kind"`
}

type reportSection struct {
	How    string     `toml:"how"`
	Fields []string   `toml:"fields"`
	Period floatRange `toml:"period_ms"`
	Delay  floatRange `toml:"delay_ms"`
	Noise  floatRange `toml:"noise"`
}

type tierConnections struct {
	Streams        int        `toml:"streams"`
	HandshakeRTTs  intRange   `toml:"handshake_rtts"`
	Handshake      floatRange `toml:"handshake_us"`
	Idle           int        `toml:"idle_s"`
	ConnectTimeout int        `toml:"connect_timeout_ms"`
	PerCore        intRange   `toml:"cap_per_core"`
	FullTax        floatRange `toml:"full_tax"`
}

type probeSection struct {
	Work    floatRange `toml:"work_us"`
	PerCore floatRange `toml:"cap_per_core"`
	Deep    bool       `toml:"deep"`
	Timeout int        `toml:"timeout_ms"`
}

// hostKind is a hardware kind of desk host.
type hostKind struct {
	Name         string     `toml:"name"`
	Share        floatRange `toml:"share"`
	Cores        int        `toml:"cores"`
	Speed        floatRange `toml:"speed"`
	SpeedCV      floatRange `toml:"speed_cv"`
	Slots        intRange   `toml:"slots_per_core"`
	Queue        intRange   `toml:"queue_per_core"`
	Thrash       int        `toml:"thrash"`
	ThrashAt     floatRange `toml:"thrash_at"`
	ColdFrom     floatRange `toml:"cold_from"`
	Cold         floatRange `toml:"cold_s"`
	WarmBy       string     `toml:"warm_by"`
	Pause        int        `toml:"pause_ms"`
	ErrorRate    floatRange `toml:"error_rate"`
	Cancel       []string   `toml:"cancel"`
	DropsExpired []bool     `toml:"drops_expired"`
}

type classSection struct {
	Name         string     `toml:"name"`
	Share        floatRange `toml:"share"`
	Work         floatRange `toml:"work_ms"`
	Dist         []string   `toml:"dist"`
	CV           floatRange `toml:"cv"`
	AttemptNoise floatRange `toml:"attempt_noise"`
	Aim          int        `toml:"aim_ms"`
	Deadline     int        `toml:"deadline_ms"`
	Worth        int        `toml:"worth"`
	LateWorth    int        `toml:"late_worth"`
	Effect       string     `toml:"effect"`
	Stream       bool       `toml:"stream"`
}

type tenantSection struct {
	Name  string     `toml:"name"`
	Share float64    `toml:"share"`
	Usage floatRange `toml:"usage"`
}

// troubleSection is a kind of fault that the bench injects at this site. Length is not a range from low to high: the
// bench uses the two values in the given order.
type troubleSection struct {
	Name   string      `toml:"name"`
	Length floatRange  `toml:"len_s"`
	Part   *floatRange `toml:"part,omitempty"`
	Size   *floatRange `toml:"size,omitempty"`
	Extra  *floatRange `toml:"extra,omitempty"`
}

// connectionsSection describes the long-lived connections.
type connectionsSection struct {
	Mode          string      `toml:"mode"`
	PerCore       floatRange  `toml:"per_core"`
	Cap           floatRange  `toml:"cap"`
	Life          floatRange  `toml:"life_s"`
	Sheds         string      `toml:"sheds"`
	Rejoin        floatRange  `toml:"rejoin_ms"`
	StoreHeadroom float64     `toml:"store_headroom"`
	GroupCost     float64     `toml:"group_cost"`
	GoAway        string      `toml:"goaway"`
	TellsLoad     bool        `toml:"tells_load"`
	GroupZipf     *floatRange `toml:"group_zipf,omitempty"`
	GroupSize     *floatRange `toml:"group_size,omitempty"`
	Classes       []classUse  `toml:"class"`
}

// classUse describes the connections of a class. The list is in the order of the classes.
type classUse struct {
	Load       floatRange `toml:"load"`
	Life       floatRange `toml:"life"`
	LoadSigma  floatRange `toml:"load_sigma"`
	SwingSigma floatRange `toml:"swing_sigma"`
	Change     floatRange `toml:"change_s"`
	Idle       floatRange `toml:"idle"`
	Message    int        `toml:"message_ms"`
}
