package net

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listSizes is how many hosts a node has from the list.
type listSizes struct{ listed, addresses int }

func (r *rig) listSizes() (out listSizes) {
	done := make(chan struct{})
	r.node.post(func(now time.Duration) {
		defer close(done)
		out.listed, _ = r.node.table.MemberCounts(now)
		out.addresses = len(r.node.addresses)
	})
	<-done
	return out
}

// One of 1,024 balancers starts with 1,024 desk hosts in its configuration; discovery then sends a complete list of as
// many, half of them new, and replaces all of them in one change. A table of limited size would drop hosts silently.
func TestListsOf1024Hosts(t *testing.T) {
	const hostCount = 1024
	r := newRig(t)
	r.settings["hosts"], r.settings["dead"], r.settings["siblings"] = "1", fmt.Sprint(hostCount-1), fmt.Sprint(hostCount)
	expectCall := func(first string) {
		for _, step := range []string{first, "pool expect Host: *", "pool expect "} {
			require.NoError(t, r.step(step))
		}
	}
	require.NoError(t, r.step("pool accept"))
	expectCall("pool expect GET /discovery/hosts HTTP/1.1")
	assert.Equal(t, listSizes{hostCount, hostCount}, r.listSizes(), "list of the configuration")

	require.NoError(t, r.peer("pool", "answer", listFrom(77, true, "in_service", hostCount/2, hostCount)))
	expectCall("pool expect GET /discovery/hosts?since=77&timeout_ms=* HTTP/1.1")
	assert.Equal(t, hostCount, r.listSizes().listed, "a complete list replaces the previous one")

	gone := listFrom(78, false, "terminated", hostCount/2, hostCount)
	require.NoError(t, r.peer("pool", "answer", gone))
	expectCall("pool expect GET /discovery/hosts?since=78&timeout_ms=* HTTP/1.1")
	assert.Zero(t, r.listSizes().listed)

	require.NoError(t, r.peer("pool", "answer", listFrom(79, false, "in_service", 4*hostCount, hostCount)))
	expectCall("pool expect GET /discovery/hosts?since=79&timeout_ms=* HTTP/1.1")
	assert.Equal(t, hostCount, r.listSizes().listed)
}

// listFrom is a list of count desk hosts, numbered from first, at addresses where nobody listens.
func listFrom(revision int, complete bool, phase string, first, count int) string {
	members := make([]string, count)
	for i := range members {
		members[i] = fmt.Sprintf(`{"id":"s-%d","host_port":"127.99.%d.%d:3000","locality":"a","flavor":"m","cell":1,
			"phase":%q,"size":1,"up_since_ms":0}`, first+i, i/256, i%256, phase)
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ",\n"))
}
