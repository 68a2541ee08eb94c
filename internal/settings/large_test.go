package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The configuration of a large fleet is loaded completely. If it were refused or cut, the balancers could not start.
func TestLoadLargeFleet(t *testing.T) {
	const fleetSize = 1024
	members := make([]string, fleetSize)
	for i := range members {
		members[i] = fmt.Sprintf(`{"id":"s-%d","host_port":"10.1.%d.%d:3000","locality":"a","flavor":"m","cell":%d,
			"phase":"in_service","size":1.0,"up_since_ms":0}`, i, i/256, i%256, i/8)
	}
	set := strings.Replace(settingsJSON, `"siblings":2`, fmt.Sprintf(`"siblings":%d`, fleetSize), 1)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1023","listen":"10.0.0.4:3000","discovery":"10.2.0.1:8500","seed":"7",
		"known":{"revision":41,"complete":true,"members":[%s]},"settings":%s}`, strings.Join(members, ","), set)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	source := NewSource(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
	for range 2 { // at the start, and on a reload by SIGHUP
		c, err := source.Load()
		require.NoError(t, err)
		assert.Equal(t, fleetSize, c.Settings.Policy.Siblings)
		var known struct{ Members []struct{ ID string } }
		require.NoError(t, json.Unmarshal(c.KnownHosts, &known))
		assert.Len(t, known.Members, fleetSize)
		assert.Equal(t, "s-1023", known.Members[fleetSize-1].ID)
	}
}
