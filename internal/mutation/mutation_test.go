package mutation

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Each case must change exactly one message, have its own index, and differ from the original run.
func TestEachCaseChangesOneMessage(t *testing.T) {
	run := []Message{{"a", "b", "hello", []byte("hello 12")}, {"b", "c", "list", []byte(`{"revision":7}`)}, {"c", "a", "bye", []byte("x")}}
	changes, cases := map[string]int{}, 0
	for c := range Cases(run, Options{}) {
		unchanged := 0
		for _, m := range run {
			if slices.ContainsFunc(c.Run, func(o Message) bool { return o.From == m.From && o.To == m.To && string(o.Body) == string(m.Body) }) {
				unchanged++
			}
		}
		assert.GreaterOrEqual(t, unchanged, len(run)-1, c.String())
		sequence := ""
		for _, m := range c.Run {
			sequence += m.From + m.To + string(m.Body) + "|"
		}
		assert.NotEqual(t, "abhello 12|bc{\"revision\":7}|cax|", sequence, c.String())
		changes[c.Change[:3]]++
		assert.Equal(t, cases, c.Index)
		cases++
	}
	for _, change := range []string{"dro", "dou", "aft", "del", "cut", "bit", "num"} {
		assert.Positive(t, changes[change], change)
	}
}
