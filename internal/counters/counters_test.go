package counters

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCountersAreOrdered(t *testing.T) {
	s := Set{}
	s.Add("taken")
	s.Add("sent")
	s.Add("taken")
	var out strings.Builder
	n, err := s.WriteTo(&out)
	assert.NoError(t, err)
	assert.Equal(t, "count sent 1\ncount taken 2\n", out.String())
	assert.EqualValues(t, out.Len(), n)
}
