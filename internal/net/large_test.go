package net

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// held is what a node holds of the list.
type held struct{ listed, addresses int }

func (r *rig) holds() (out held) {
	done := make(chan struct{})
	r.node.post(func(now time.Duration) {
		defer close(done)
		out.listed, _ = r.node.table.MemberCounts(now)
		out.addresses = len(r.node.addresses)
	})
	<-done
	return out
}

// One of 1,024 balancers starts with 1,024 desk hosts in its configuration; discovery then tells a whole list of as many,
// half of them new, and replaces all in one change. Danger: a table with a cap would forget hosts without a word.
func TestNodeTakesListsOf1024Hosts(t *testing.T) {
	const most = 1024
	r := newRig(t)
	r.set["hosts"], r.set["dead"], r.set["siblings"] = "1", fmt.Sprint(most-1), fmt.Sprint(most)
	asks := func(first string) {
		for _, step := range []string{first, "pool expect Host: *", "pool expect "} {
			require.NoError(t, r.step(step))
		}
	}
	require.NoError(t, r.step("pool accept"))
	asks("pool expect GET /discovery/hosts HTTP/1.1")
	assert.Equal(t, held{most, most}, r.holds(), "of the configuration")

	require.NoError(t, r.peer("pool", "answer", listFrom(77, true, "in_service", most/2, most)))
	asks("pool expect GET /discovery/hosts?since=77&timeout_ms=* HTTP/1.1")
	assert.Equal(t, most, r.holds().listed, "the whole list takes the place of the other")

	gone := listFrom(78, false, "terminated", most/2, most)
	require.NoError(t, r.peer("pool", "answer", gone))
	asks("pool expect GET /discovery/hosts?since=78&timeout_ms=* HTTP/1.1")
	assert.Zero(t, r.holds().listed)

	require.NoError(t, r.peer("pool", "answer", listFrom(79, false, "in_service", 4*most, most)))
	asks("pool expect GET /discovery/hosts?since=79&timeout_ms=* HTTP/1.1")
	assert.Equal(t, most, r.holds().listed)
}

// listFrom is a list of so many desk hosts, numbered from a first one, at addresses where nobody listens.
func listFrom(revision int, complete bool, phase string, first, count int) string {
	members := make([]string, count)
	for i := range members {
		members[i] = fmt.Sprintf(`{"id":"s-%d","host_port":"127.99.%d.%d:3000","locality":"a","flavor":"m","cell":1,
			"phase":%q,"size":1,"up_since_ms":0}`, first+i, i/256, i%256, phase)
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ",\n"))
}
