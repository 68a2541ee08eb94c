package placement

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A host without reports gets the capacity of its kind with a large error, records of several balancers add up, and an
// invalid line is skipped.
func TestFleetFromRecords(t *testing.T) {
	var text strings.Builder
	for i := range 20 {
		for b := range 2 {
			rec := Record{Version: 1, At: created.UnixMilli() + int64(i*1000+b), Balancer: fmt.Sprint("n", b), Room: []string{"a", "b"}[b],
				Hosts:       []RecordedHost{{ID: "h0", Room: "a", Kind: "k", X0: 0.5}, {ID: "h1", Room: "b", Kind: "k", Age: -1}},
				Connections: []FlightConnections{{Key: "f1", Carrier: "x", Host: "h0", OpenByClass: map[string]int{"lookup": 2, "seat-set": 1}}}}
			text.Write(mustMarshal(json.Marshal(rec)))
			text.WriteByte('\n')
		}
	}
	text.WriteString(`{"v":1,"at":17`)
	builder := NewFleetBuilder(DefaultClassLoads(), 3, time.Second)
	require.NoError(t, builder.Read(strings.NewReader(text.String())))
	assert.Equal(t, 1, builder.RejectedLines)
	f, err := builder.Fleet(DefaultPrices())
	require.NoError(t, err)
	require.Len(t, f.Hosts, 2)
	assert.InDelta(t, 26, f.Hosts[0].Capacity, 1e-6, "two balancers with 5 loads each, and the overhead of one flight, at an x0 of one half")
	assert.InDelta(t, 26, f.Hosts[1].Capacity, 1e-6)
	assert.Greater(t, f.Hosts[1].CapacityError, 2*f.Hosts[0].CapacityError)
	require.Len(t, f.Flights, 1)
	for i, room := range []string{"a", "b"} {
		part := f.Flights[0].Parts[i]
		assert.Equal(t, room, part.Room)
		assert.InDelta(t, 5, part.Load, 1e-9)
		assert.InDelta(t, 4, part.Worth, 1e-9)
	}
}
