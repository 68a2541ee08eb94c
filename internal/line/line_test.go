package line

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const openLine = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,mid=1,again=1,r=1,new=x\r\n"

func TestForwardChangesOnlyTheTimeout(t *testing.T) {
	o, err := ParseOpenRequest([]byte(openLine))
	require.NoError(t, err)
	assert.Equal(t, "chat", o.Class)
	assert.Equal(t, uint64(0x7f3a9c21e0b4d655), o.Key)
	assert.Equal(t, uint64(0x5c0f6e1a2b3d4c59), o.Group)
	assert.True(t, o.HasGroup && o.MidFlow && o.Reconnecting)
	assert.Equal(t, 2*time.Second, o.Timeout)
	assert.Equal(t, strings.Replace(openLine, "d=2000", "d=150", 1), string(o.Forward(150*time.Millisecond)))
	assert.Equal(t, strings.Replace(openLine, "d=2000", "d=1", 1), string(o.Forward(-time.Second)))
}

func TestOpenOfEstablishedConnectionNeedsNoTimeout(t *testing.T) {
	o, err := ParseOpenRequest([]byte("OPEN 1 a c=chat,at=s-1\n"))
	require.NoError(t, err)
	assert.Equal(t, "s-1", o.HostID)
	assert.Equal(t, 40*time.Second, o.Timeout)
	assert.Equal(t, "OPEN 1 a c=chat,at=s-1\n", string(o.Forward(time.Second)))
}

func TestMalformedOpenRequests(t *testing.T) {
	for _, text := range []string{"OPEN", "OPEN 1 a", "OPEN  a c=x,d=1", "OPEN 1 z c=x,d=1", "OPEN 1 a c=x", "OPEN 1 a d=1",
		"OPEN 1 a c=x,d=-1", "OPEN 1 a c=x,d=1,d=2", "OPEN 1 a c=x,d=1,g=q", "OPEN 1 a c=x,d=1,", "OPEN 1 a c=x,d=1 more",
		"OPEN 1 a c=x,d=99999999999", "OPEN 1 a c=\x00,d=1", "OPEN 1 a c=x,d=4294967295",
		"OPEN ../x a c=x,d=1", "OPEN " + strings.Repeat("1", 65) + " a c=x,d=1", "OPEN 1 a c=x,c=y,d=1", "OPEN 1 a c=x,d=1,t=a,t=b",
		"OPEN 1 a c=x,d=soon", "OPEN 1 a c=x,d=1,h=NaN", "OPEN 1 a c=x,d=1,h=-1", "OPEN 1 a c=x,d=1,mid=yes", "OPEN 1 a c=x,d=1,r=2",
		"OPEN 1 a c=x,d=1,again=11", "OPEN 1 -a c=x,d=1", "OPEN 1 a c=x,d="} {
		_, err := ParseOpenRequest([]byte(text + "\r\n"))
		assert.Error(t, err, text)
	}
}

func TestNext(t *testing.T) {
	text, err := Next([]byte("a\r\nb"))
	assert.NoError(t, err)
	assert.Equal(t, "a\r\n", string(text))
	text, err = Next([]byte("b"))
	assert.NoError(t, err)
	assert.Empty(t, text)
	longest := append(bytes.Repeat([]byte("x"), MaxLength-1), '\n')
	text, err = Next(longest)
	assert.NoError(t, err)
	assert.Len(t, text, MaxLength)
	_, err = Next(append([]byte("x"), longest...))
	assert.ErrorIs(t, err, ErrTooLong)
	_, err = Next(bytes.Repeat([]byte("x"), MaxLength))
	assert.ErrorIs(t, err, ErrTooLong)
}

func TestReportFieldAndParse(t *testing.T) {
	x0, ok := ReportField([]byte("eps=0,util=0.61,x0=1.25"), "x0")
	assert.True(t, ok)
	assert.Equal(t, 1.25, x0)
	for _, text := range []string{"", "x0", "x0=", "x0=NaN", "x0=-1", "x0=1e99", "xx0=1"} {
		_, ok := ReportField([]byte(text), "x0")
		assert.False(t, ok, text)
	}
	kind, rest := Parse([]byte("LOAD 7.5\r\n"))
	assert.Equal(t, Load, kind)
	assert.Equal(t, "7.5", string(rest))
	kind, _ = Parse([]byte("LOADED\r\n"))
	assert.Equal(t, Other, kind)
}

// An accepted OPEN line is forwarded as a single line that parses to the same key and class.
func FuzzParseOpenRequest(f *testing.F) {
	f.Add([]byte(openLine))
	f.Add([]byte("OPEN 1 a d=1,c=x\n"))
	f.Add([]byte("OPEN 1 a c=x,at=s"))
	f.Add([]byte("OPEN 1 a c=x,d=99999999999999999999,h=1e999,d=-5"))
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41"))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ParseOpenRequest(text)
		if err != nil {
			return
		}
		out := o.Forward(o.Timeout)
		reparsed, err := ParseOpenRequest(out)
		require.NoError(t, err)
		assert.Equal(t, o.Key, reparsed.Key)
		assert.Equal(t, o.Class, reparsed.Class)
		if i := bytes.IndexByte(out, '\n'); i >= 0 {
			assert.Equal(t, len(out)-1, i)
		}
	})
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("UP r\r\nLOAD 3\r\n"))
	f.Add(bytes.Repeat([]byte("k"), 2*MaxLength))
	f.Add([]byte("LOAD NaN\r\nLOAD -1\r\nLOAD 1e999\r\n\r\n\n"))
	f.Fuzz(func(t *testing.T, buf []byte) {
		text, err := Next(buf)
		if err == nil && len(text) > 0 {
			assert.True(t, bytes.HasPrefix(buf, text) && len(text) <= MaxLength && bytes.IndexByte(text, '\n') == len(text)-1)
			_, rest := Parse(text)
			ReportField(rest, "x0")
		}
	})
}

// openWithFields returns an OPEN line with additional fields of different names.
func openWithFields(n int) []byte {
	text := "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000"
	for i := range n {
		text += fmt.Sprintf(",%02x=1", i+256)
	}
	return []byte(text + "\r\n")
}

// shortestParse returns the shortest time that parsing a line has taken.
func shortestParse(t *testing.T, text []byte) time.Duration {
	shortest := time.Hour
	for range 200 {
		begin := time.Now()
		_, err := ParseOpenRequest(text)
		shortest = min(shortest, time.Since(begin))
		require.NoError(t, err)
	}
	return shortest
}

// Guards against one client that keeps the balancer from serving others, by requests of very many short fields: ten
// times the fields take no more than about ten times as long.
func TestParseTimeGrowsWithTheNumberOfFields(t *testing.T) {
	few, many := openWithFields(60), openWithFields(600)
	require.Less(t, len(many), MaxLength)
	assert.Less(t, shortestParse(t, many), 30*shortestParse(t, few))
}

func BenchmarkParseOpenRequest(b *testing.B) {
	for _, fields := range []int{1, 600} {
		text := openWithFields(fields)
		b.Run(fmt.Sprint(fields), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = ParseOpenRequest(text)
			}
		})
	}
}
