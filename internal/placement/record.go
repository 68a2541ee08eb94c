package placement

import "strconv"

// RecordVersion is the only version of the record format that is written and read.
const RecordVersion = 1

// Record is what a balancer saw at one time. A record file holds one record per line, in JSON.
type Record struct {
	Version     int                 `json:"v"`
	At          int64               `json:"at"` // Unix time, ms
	Balancer    string              `json:"balancer"`
	Room        string              `json:"room"`
	Hosts       []RecordedHost      `json:"hosts"`
	Connections []FlightConnections `json:"stands"`

	index map[flightOnHost]int // index in Connections
}

// flightOnHost is a flight and a host that holds connections of it.
type flightOnHost struct {
	key  uint64
	host string
}

// CountConnection counts one established connection of a flight on a host.
func (r *Record) CountConnection(key uint64, carrier, host, class string) {
	i, known := r.index[flightOnHost{key, host}]
	if !known {
		if r.index == nil {
			r.index = map[flightOnHost]int{}
		}
		i = len(r.Connections)
		r.index[flightOnHost{key, host}] = i
		r.Connections = append(r.Connections,
			FlightConnections{Key: strconv.FormatUint(key, 16), Carrier: carrier, Host: host, OpenByClass: map[string]int{}})
	}
	r.Connections[i].OpenByClass[class]++
}

// RecordedHost is a host as its last load report and the host list describe it.
type RecordedHost struct {
	ID      string  `json:"id"`
	Room    string  `json:"room"`
	Kind    string  `json:"kind"`
	Started int64   `json:"started"` // Unix time, ms; 0 if long ago
	X0      float64 `json:"x0"`      // load asked of it, divided by its capacity
	Age     int64   `json:"age"`     // of the report, in ms; negative without a report
}

// FlightConnections are the established connections of a flight on a host, counted by class.
type FlightConnections struct {
	Key         string         `json:"key"`
	Carrier     string         `json:"carrier,omitempty"`
	Host        string         `json:"host"`
	OpenByClass map[string]int `json:"open"`
}
