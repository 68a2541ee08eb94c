package placement

import (
	"encoding/json"
	"math"
	"testing"
)

func FuzzPlan(f *testing.F) {
	p, list := skewedPlan()
	f.Add(mustMarshal(json.Marshal(p)))
	f.Add([]byte(`{"version":1,"born":"2026-12-01T05:00:00Z","holds":"1h","fades":"1m","rooms":{"a":{}},"hosts":[],"demand":{"a":1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := ParsePlan(text)
		if err != nil {
			return
		}
		for _, w := range p.Weights(unixTime(0), "a", list) {
			if !(w > 0) || math.IsInf(w, 0) {
				t.Fatalf("weight %v", w)
			}
		}
	})
}

func FuzzFleet(f *testing.F) {
	fleet, _ := skewedFleet()
	f.Add(mustMarshal(json.Marshal(fleet)))
	f.Add([]byte(`{"hosts":[{"id":"h","room":"a","capacity":1e-9}],"flights":[{"id":1,"parts":[{"room":"b","load":1e9,"worth":0}]}],"prices":{"fill":1,"piece":3}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		fleet, err := ParseFleet(text)
		if err != nil || len(fleet.Hosts) > 50 || len(fleet.Flights) > 50 {
			return
		}
		a := Solve(fleet, SearchLimit{MaxSteps: 500})
		if math.IsNaN(a.Total) || a.Total > a.Bound*(1+1e-9)+1e-9 {
			t.Fatalf("worth %v, bound %v", a.Total, a.Bound)
		}
	})
}
