package lab

import "time"

// Harm is how many connections an experiment harmed, of the carriers that the faults target and of all others. Its keys
// in JSON are the names of the fields, or their tags.
type Harm struct {
	Targeted         Tally `json:"Stricken"`
	Others           Tally
	Answers          int // final answers of all tries
	Lost, Doubled    int // tries without a final answer, or with a second one
	Foreign          int // attempts at a host outside the client's cell
	OverloadFailures int `json:"Fallen"` // cold hosts that failed from overload
	Worth            Worth
	Decisions        int           // requests and outcomes that the decision code handled
	WallTime         time.Duration `json:"Busy"` // real time that the run took
}

// Worth is the value of the service as the operators count it: a second of a seat-set connection is worth two of a
// lookup connection.
type Worth struct {
	Asked           float64 // seconds requested
	ServedWell      float64 `json:"Well"` // seconds in which messages met their target
	Placed, Crossed int     // connections, and those in another room than their client's
	FlightSamples   int     `json:"Joined"` // connections at whose start the hosts of their flight were counted
	FlightHosts     int     `json:"HeldBy"` // sum of these numbers of hosts
	Moves           int
}

// Service is the share of the requested worth that was served well.
func (w Worth) Service() float64 { return w.ServedWell / max(w.Asked, 1e-9) }

// Crossings is the share of connections that cross rooms.
func (w Worth) Crossings() float64 { return float64(w.Crossed) / max(float64(w.Placed), 1) }

// HostsPerFlight is the mean number of hosts that the flight of a new connection has connections to.
func (w Worth) HostsPerFlight() float64 {
	return float64(w.FlightHosts) / max(float64(w.FlightSamples), 1)
}

// classWorth is the worth of a second of a connection, by class.
func classWorth(class string) float64 {
	if class == "seat-set" {
		return 2
	}
	return 1
}

// Tally counts connections and the ways in which they were harmed; one connection may be harmed in several ways.
type Tally struct{ Connections, Harmed, Unserved, Broken, Late, Slow int }
