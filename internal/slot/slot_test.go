package slot

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStaleIDsFindNothing(t *testing.T) {
	var table Table[string]
	_, ok := table.Get(0)
	assert.False(t, ok, "zero names nothing")
	a, b := table.Add("a"), table.Add("b")
	table.Remove(a)
	table.Remove(a) // a second removal frees nothing
	c := table.Add("c")
	assert.Equal(t, a.index(), c.index(), "the slot is used again")
	_, ok = table.Get(a)
	assert.False(t, ok, "the number of a is stale")
	got, ok := table.Get(c)
	assert.True(t, ok)
	assert.Equal(t, "c", got)
	assert.Equal(t, 2, table.Len())
	var all []string
	for id, v := range table.All() {
		all = append(all, v)
		table.Remove(id)
	}
	assert.Equal(t, []string{"c", "b"}, all)
	assert.Zero(t, table.Len())
	_, ok = table.Get(b)
	assert.False(t, ok)
}
