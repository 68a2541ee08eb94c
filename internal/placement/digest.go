package placement

import (
	"cmp"
	"slices"
	"strconv"
)

// digest adds up records, one bucket of time after the other.
type digest struct {
	*FleetBuilder
	times     float64 // buckets in all
	estimator *Estimator
	flights   map[uint64]*recordedFlight
}

// recordedFlight is what is known of a flight: its carrier, and its mean demand by room.
type recordedFlight struct {
	carrier string
	parts   map[string]*Part
}

// moment is what the records of one bucket tell together.
type moment struct {
	when  int64 // of the last record
	hosts map[string]RecordedHost
	load  map[string]float64         // on each host
	held  map[string]map[string]bool // flights on each host
}

// bucket takes the records of a bucket, by balancer.
func (d *digest) bucket(records map[string]*Record) {
	m := &moment{hosts: map[string]RecordedHost{}, load: map[string]float64{}, held: map[string]map[string]bool{}}
	for _, balancer := range keys(records) {
		rec := records[balancer]
		m.when = max(m.when, rec.At)
		for _, h := range rec.Hosts {
			m.hear(h)
		}
		for _, s := range rec.Connections {
			d.count(m, rec.Room, s)
		}
	}
	d.estimate(m)
}

// hear takes what a balancer knows of a host, if it is newer than what others do.
func (m *moment) hear(h RecordedHost) {
	if old, known := m.hosts[h.ID]; !known || h.Age >= 0 && (old.Age < 0 || h.Age < old.Age) {
		m.hosts[h.ID] = h
	}
}

// count adds the connections of a flight on a host, which came in a room.
func (d *digest) count(m *moment, room string, s FlightConnections) {
	key, err := strconv.ParseUint(s.Key, 16, 64)
	if err != nil {
		d.RejectedLines++
		return
	}
	if m.held[s.Host] == nil {
		m.held[s.Host] = map[string]bool{}
	}
	m.held[s.Host][s.Key] = true
	part := d.part(key, s.Carrier, room)
	for _, class := range keys(s.OpenByClass) {
		c, known := d.classes[class]
		if !known {
			c = ClassLoad{1, 1}
		}
		n := float64(max(s.OpenByClass[class], 0))
		m.load[s.Host] += n * c.Load
		part.Load += n * c.Load / d.times
		part.Worth += n * c.Worth / d.times
	}
}

// part finds or makes a flight's part that arrives in a room.
func (d *digest) part(key uint64, carrier, room string) *Part {
	fl := d.flights[key]
	if fl == nil {
		fl = &recordedFlight{parts: map[string]*Part{}}
		d.flights[key] = fl
	}
	fl.carrier = cmp.Or(fl.carrier, carrier)
	if fl.parts[room] == nil {
		fl.parts[room] = &Part{Room: room}
	}
	return fl.parts[room]
}

// estimate learns from what warm hosts with a fresh report held.
func (d *digest) estimate(m *moment) {
	for _, id := range keys(m.hosts) {
		h := m.hosts[id]
		d.estimator.Know(h.ID, h.Room, h.Kind)
		warm := h.Started == 0 || m.when-h.Started >= warmAfter.Milliseconds()
		if warm && h.Age >= 0 && h.Age <= freshReport.Milliseconds() {
			d.estimator.Learn(h.ID, m.load[id]+d.piece*float64(len(m.held[id])), h.X0)
		}
	}
}

// all is the flights in order of their keys.
func (d *digest) all() (out []Flight) {
	for key, fl := range d.flights {
		flight := Flight{ID: key, Carrier: fl.carrier}
		for _, room := range keys(fl.parts) {
			flight.Parts = append(flight.Parts, *fl.parts[room])
		}
		out = append(out, flight)
	}
	slices.SortFunc(out, func(a, b Flight) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
