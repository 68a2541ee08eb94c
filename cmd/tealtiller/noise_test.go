package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against memory that grows without end, and answers that come late, while one client sends requests that name
// ever new hosts, as fast as it gets its answers.
func TestEverNewHostNamesDoNotGrowMemory(t *testing.T) {
	const requests, nameLength = 8000, 3900
	limit := limits{MemoryMB: 32, Sockets: 256}
	d := newDeployment(t, limit, "proxy", 4)
	p := d.start()
	for i := range requests {
		c := d.dial()
		name := fmt.Sprintf("%d-%s", i, strings.Repeat("n", nameLength))
		_, err := io.WriteString(c, fmt.Sprintf("OPEN noise-%d 1 c=lookup,d=1200,at=%s\r\n", i, name))
		require.NoError(t, err)
		require.Equal(t, "ERR", c.readLine(5*time.Second), "request %d", i)
		require.NoError(t, c.Close())
		if i%400 == 0 {
			other := d.dial()
			_, err := io.WriteString(other, openLine(fmt.Sprintf("other-%d", i), i))
			require.NoError(t, err)
			require.Equal(t, fmt.Sprintf("UP r-other-%d", i), other.readLine(time.Second))
			require.NoError(t, other.Close())
		}
	}
	t.Logf("at most %.1f MiB resident", p.memory("VmHWM"))
	assert.Less(t, p.memory("VmHWM"), float64(limit.MemoryMB))
	assert.True(t, p.running())
}
