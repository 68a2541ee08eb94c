package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxHosts is the size of the longest host list that operators use.
const maxHosts = 1024

// segmentSize is the payload of one TCP segment of an answer.
const segmentSize = 1448

func largeListJSON(complete bool) string {
	members := make([]string, maxHosts)
	for i := range members {
		members[i] = fmt.Sprintf(`{"id":"s-%08x","host_port":"10.%d.%d.18:3000","locality":"zone-%d","flavor":"machine-%d",
			"cell":%d,"phase":"in_service","size":1.5,"up_since_ms":1700000000123}`, i, i/256, i%256, i%4, i%2, i/8)
	}
	return fmt.Sprintf(`{"revision":43,"complete":%t,"members":[%s]}`, complete, strings.Join(members, ","))
}

func indented(t *testing.T, list string) string {
	out, err := json.MarshalIndent(json.RawMessage(list), "", "        ")
	require.NoError(t, err)
	return string(out)
}

func assertComplete(t *testing.T, got *List) {
	require.NotNil(t, got)
	require.Len(t, got.Members, maxHosts)
	seen := map[string]bool{}
	for i, m := range got.Members {
		seen[m.ID] = true
		assert.Equal(t, fmt.Sprintf("10.%d.%d.18:3000", i/256, i%256), m.Address.String())
		assert.Equal(t, i/8, m.Cell)
	}
	assert.Len(t, seen, maxHosts)
	assert.Len(t, got.Servers(), maxHosts)
}

// A limit below the size of a fleet would truncate its list, or reject each answer and leave the balancer without a
// list.
func TestListOf1024HostsIsParsed(t *testing.T) {
	for name, text := range map[string]string{"compact": largeListJSON(true), "indented": indented(t, largeListJSON(true)),
		"partial": largeListJSON(false)} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse([]byte(text))
			require.NoError(t, err)
			assertComplete(t, got)
		})
	}
}

// The same for an answer that arrives packet by packet, with each of the HTTP transfer encodings.
func TestAnswerOf1024HostsInPackets(t *testing.T) {
	list := indented(t, largeListJSON(true))
	require.Less(t, 8*len(list), maxAnswerSize, "well below the limit of an answer")
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for rest := list; rest != ""; {
		n := min(segmentSize, len(rest))
		chunked += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	for name, text := range map[string]string{"content length": response("200 OK", list), "chunked": chunked + "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := newSessionClient("h", NoRevision)
			for len(text) > segmentSize {
				got, _, err := c.Feed([]byte(text[:segmentSize]), false)
				require.NoError(t, err)
				require.Nil(t, got, "the answer is not complete yet")
				text = text[segmentSize:]
			}
			got, keep, err := c.Feed([]byte(text), false)
			require.NoError(t, err)
			assert.True(t, keep)
			assertComplete(t, got)
		})
	}
}
