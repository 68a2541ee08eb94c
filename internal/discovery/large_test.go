package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mostHosts is how long lists may get on the operators' days.
const mostHosts = 1024

// segment is what one packet brings of an answer.
const segment = 1448

func longList(complete bool) string {
	members := make([]string, mostHosts)
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

func assertWhole(t *testing.T, got *List) {
	require.NotNil(t, got)
	require.Len(t, got.Members, mostHosts)
	seen := map[string]bool{}
	for i, m := range got.Members {
		seen[m.ID] = true
		assert.Equal(t, fmt.Sprintf("10.%d.%d.18:3000", i/256, i%256), m.Address.String())
		assert.Equal(t, i/8, m.Cell)
	}
	assert.Len(t, seen, mostHosts)
	assert.Len(t, got.Servers(), mostHosts)
}

// Danger: a cap under what a fleet has would cut its list, or refuse each answer and leave the balancer without any.
func TestListOf1024HostsIsParsedWhole(t *testing.T) {
	for name, text := range map[string]string{"compact": longList(true), "indented": indented(t, longList(true)),
		"a part": longList(false)} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse([]byte(text))
			require.NoError(t, err)
			assertWhole(t, got)
		})
	}
}

// The same in an answer that comes packet by packet, in each of the forms of HTTP.
func TestAnswerOf1024HostsIsTakenWhole(t *testing.T) {
	list := indented(t, longList(true))
	require.Less(t, 8*len(list), mostAnswer, "ample room below the bound of an answer")
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for rest := list; rest != ""; {
		n := min(segment, len(rest))
		chunked += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	for name, text := range map[string]string{"told length": answer("200 OK", list), "chunked": chunked + "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := newClient("h", None)
			for len(text) > segment {
				got, _, err := c.Feed([]byte(text[:segment]), false)
				require.NoError(t, err)
				require.Nil(t, got, "the rest is still to come")
				text = text[segment:]
			}
			got, keep, err := c.Feed([]byte(text), false)
			require.NoError(t, err)
			assert.True(t, keep)
			assertWhole(t, got)
		})
	}
}
