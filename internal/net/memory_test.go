package net

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRuntimeMemoryLimit(t *testing.T) {
	const mib = 1 << 20
	assert.EqualValues(t, 18*mib, runtimeMemoryLimit(32*mib, 12*mib), "the program file takes a large part")
	assert.EqualValues(t, 144*mib, runtimeMemoryLimit(192*mib, 12*mib))
	assert.EqualValues(t, 24*mib, runtimeMemoryLimit(32*mib, 0), "the figure is unknown")
	assert.LessOrEqual(t, runtimeMemoryLimit(0, 12*mib), int64(0), "no limit is configured")
}

func TestParseResidentFilePages(t *testing.T) {
	assert.EqualValues(t, 12288<<10, parseResidentFilePages([]byte("Name:\tx\nRssAnon:\t    3100 kB\nRssFile:\t   12288 kB\nRssShmem:\t0 kB\n")))
	for _, text := range []string{"", "RssFile:", "RssFile:\tmany kB\n", "VmRSS:\t1 kB\n"} {
		assert.Zero(t, parseResidentFilePages([]byte(text)), text)
	}
	assert.Positive(t, residentFilePages(), "of this test")
}
