package net

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
)

// result is the result of a system call.
type result struct {
	n   int
	err error
}

// scriptedWrite is a write that returns the given results in turn, and keeps the data it accepted.
func scriptedWrite(taken *[]byte, results ...result) func([]byte) (int, error) {
	return func(data []byte) (int, error) {
		r := results[0]
		results = results[1:]
		if r.err == nil {
			*taken = append(*taken, data[:r.n]...)
		}
		return r.n, r.err
	}
}

func TestWriteAll(t *testing.T) {
	interrupted, full, broken := result{-1, syscall.EINTR}, result{-1, syscall.EAGAIN}, result{-1, syscall.ETIMEDOUT}
	cases := map[string]struct {
		results []result
		all     bool
		taken   string
	}{
		"complete":           {[]result{{5, nil}}, true, "hello"},
		"short":              {[]result{{2, nil}, {1, nil}, {2, nil}}, true, "hello"},
		"interrupted":        {[]result{interrupted, interrupted, {5, nil}}, true, "hello"},
		"short, interrupted": {[]result{{2, nil}, interrupted, {3, nil}}, true, "hello"},
		"short, then full":   {[]result{{2, nil}, full}, false, "he"},
		"broken":             {[]result{broken}, false, ""},
		"nothing taken":      {[]result{{0, nil}}, false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var taken []byte
			assert.Equal(t, c.all, writeAll([]byte("hello"), scriptedWrite(&taken, c.results...)))
			assert.Equal(t, c.taken, string(taken))
		})
	}
}

func TestRetryOnEINTR(t *testing.T) {
	calls := 0
	n, err := retryOnEINTR(func() (int, error) {
		if calls++; calls < 3 {
			return -1, syscall.EINTR
		}
		return 1, nil
	})
	assert.Equal(t, 1, n)
	assert.NoError(t, err)
	assert.Equal(t, 3, calls)
}
