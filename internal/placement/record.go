package placement

import "strconv"

// RecordVersion is the one form that is written and read.
const RecordVersion = 1

// Record is what a balancer saw at a moment; a record file holds one a line, in JSON.
type Record struct {
	Version     int                 `json:"v"`
	At          int64               `json:"at"` // Unix time, ms
	Balancer    string              `json:"balancer"`
	Room        string              `json:"room"`
	Hosts       []RecordedHost      `json:"hosts"`
	Connections []FlightConnections `json:"stands"`

	at map[held]int // where in Stands
}

// held is a flight and a host that holds connections of it.
type held struct {
	key  uint64
	host string
}

// CountConnection counts an established connection of a flight on a host.
func (r *Record) CountConnection(key uint64, carrier, host, class string) {
	i, known := r.at[held{key, host}]
	if !known {
		if r.at == nil {
			r.at = map[held]int{}
		}
		i = len(r.Connections)
		r.at[held{key, host}] = i
		r.Connections = append(r.Connections, FlightConnections{Key: strconv.FormatUint(key, 16), Carrier: carrier, Host: host, OpenByClass: map[string]int{}})
	}
	r.Connections[i].OpenByClass[class]++
}

// RecordedHost is an endpoint as its last load report and the list tell of it.
type RecordedHost struct {
	ID      string  `json:"id"`
	Room    string  `json:"room"`
	Kind    string  `json:"kind"`
	Started int64   `json:"started"` // Unix time, ms; 0 for long ago
	X0      float64 `json:"x0"`      // load asked of it over what it can do
	Age     int64   `json:"age"`     // of the report, ms; below 0 where there is none
}

// FlightConnections is connections of a flight on a host, by class.
type FlightConnections struct {
	Key         string         `json:"key"`
	Carrier     string         `json:"carrier,omitempty"`
	Host        string         `json:"host"`
	OpenByClass map[string]int `json:"open"`
}
