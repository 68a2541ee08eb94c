package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a process that passes its memory limit and is killed: hundreds of clients and their hosts write lines
// slowly and never end them, as do clients that have not sent their request yet.
func TestUnfinishedLinesStayWithinTheMemoryLimit(t *testing.T) {
	const established, opening, hosts = 470, 50, 1024
	limit := limits{MemoryMB: 32, Sockets: 1024}
	d := newDeployment(t, limit, "proxy", hosts)
	d.host.dribble = true
	p := d.start()
	for i := range established {
		c := d.dial()
		_, err := fmt.Fprint(c, openLine(fmt.Sprintf("id-%d", i), i))
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(c.readLine(5*time.Second), "UP "), "client %d", i)
		go dribbleLine(c)
	}
	dribbled := make(chan struct{}, opening)
	for range opening {
		c := d.dial()
		go func() {
			dribbleLine(c)
			dribbled <- struct{}{}
		}()
	}
	for range opening {
		<-dribbled
	}
	t.Logf("at most %.1f MiB resident", p.memory("VmHWM"))
	assert.Less(t, p.memory("VmHWM"), float64(limit.MemoryMB))
	assert.True(t, p.running())
}
