package placement

import (
	"cmp"
	"slices"
	"strconv"
)

// aggregation sums up records, one time bucket after the other.
type aggregation struct {
	*FleetBuilder
	bucketCount float64
	estimator   *CapacityEstimator
	flights     map[uint64]*recordedFlight
}

// recordedFlight is what is known of a flight: its carrier, and its mean demand by room.
type recordedFlight struct {
	carrier string
	parts   map[string]*Part
}

// snapshot is the combined content of the records of one bucket.
type snapshot struct {
	newest    int64 // time of the newest record, Unix ms
	hosts     map[string]RecordedHost
	hostLoad  map[string]float64         // load of the connections on each host
	flightsOn map[string]map[string]bool // flights on each host
}

// addBucket adds the records of a bucket, keyed by balancer.
func (a *aggregation) addBucket(records map[string]*Record) {
	snap := &snapshot{hosts: map[string]RecordedHost{}, hostLoad: map[string]float64{}, flightsOn: map[string]map[string]bool{}}
	for _, balancer := range sortedKeys(records) {
		rec := records[balancer]
		snap.newest = max(snap.newest, rec.At)
		for _, h := range rec.Hosts {
			snap.addHost(h)
		}
		for _, connections := range rec.Connections {
			a.addConnections(snap, rec.Room, connections)
		}
	}
	a.addSamples(snap)
}

// addHost takes what a balancer knows of a host, if its report is newer than those of other balancers.
func (s *snapshot) addHost(h RecordedHost) {
	if old, known := s.hosts[h.ID]; !known || h.Age >= 0 && (old.Age < 0 || h.Age < old.Age) {
		s.hosts[h.ID] = h
	}
}

// addConnections adds the connections of a flight on a host that arrived in a room.
func (a *aggregation) addConnections(s *snapshot, room string, connections FlightConnections) {
	key, err := strconv.ParseUint(connections.Key, 16, 64)
	if err != nil {
		a.RejectedLines++
		return
	}
	if s.flightsOn[connections.Host] == nil {
		s.flightsOn[connections.Host] = map[string]bool{}
	}
	s.flightsOn[connections.Host][connections.Key] = true
	part := a.flightPart(key, connections.Carrier, room)
	for _, class := range sortedKeys(connections.OpenByClass) {
		c, known := a.classes[class]
		if !known {
			c = ClassLoad{1, 1}
		}
		n := float64(max(connections.OpenByClass[class], 0))
		s.hostLoad[connections.Host] += n * c.Load
		part.Load += n * c.Load / a.bucketCount
		part.Worth += n * c.Worth / a.bucketCount
	}
}

// flightPart finds or creates the part of a flight that arrives in a room.
func (a *aggregation) flightPart(key uint64, carrier, room string) *Part {
	fl := a.flights[key]
	if fl == nil {
		fl = &recordedFlight{parts: map[string]*Part{}}
		a.flights[key] = fl
	}
	fl.carrier = cmp.Or(fl.carrier, carrier)
	if fl.parts[room] == nil {
		fl.parts[room] = &Part{Room: room}
	}
	return fl.parts[room]
}

// addSamples passes the load of warm hosts with a fresh report to the estimator.
func (a *aggregation) addSamples(s *snapshot) {
	for _, id := range sortedKeys(s.hosts) {
		h := s.hosts[id]
		a.estimator.AddHost(h.ID, h.Room, h.Kind)
		warm := h.Started == 0 || s.newest-h.Started >= warmAfter.Milliseconds()
		if warm && h.Age >= 0 && h.Age <= maxReportAge.Milliseconds() {
			a.estimator.AddSample(h.ID, s.hostLoad[id]+a.perHostOverhead*float64(len(s.flightsOn[id])), h.X0)
		}
	}
}

// sortedFlights returns the flights in order of their keys.
func (a *aggregation) sortedFlights() (out []Flight) {
	for key, fl := range a.flights {
		flight := Flight{ID: key, Carrier: fl.carrier}
		for _, room := range sortedKeys(fl.parts) {
			flight.Parts = append(flight.Parts, *fl.parts[room])
		}
		out = append(out, flight)
	}
	slices.SortFunc(out, func(a, b Flight) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
