package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var messages = []Message{
	{Kind: KindDescriptorLimit, Number: 384, OpenLine: []byte{}, FromClient: []byte{}, FromHost: []byte{}},
	{Kind: KindActivate, OpenLine: []byte{}, FromHost: []byte{}, UsedIDs: []uint64{1, 1<<63 + 7}},
	{Kind: KindIdleClient, OpenLine: []byte{}, FromClient: []byte("OPEN 1"), FromHost: []byte{}},
	{Kind: KindEstablished, Server: "s-1 b", OpenLine: []byte("OPEN 1 a c=x,d=1\r\n"), FromClient: []byte("ha\n"), FromHost: []byte("l")},
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range messages {
		got, err := Parse(m.Append(nil))
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
	assert.Equal(t, 2, messages[3].Descriptors())
}

// The other process may run another version, or be something else: a malformed message is rejected.
func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, text := range []string{"", "room 1 0 0 0 ", "room 1 0 0 0\n", "room -1 0 0 0 \n", "room x 0 0 0 \n", "stop 0 0 0 0 \n",
		"front 0 0 5 0 \nabc", "front 0 0 -1 0 \nabc", "front 0 0 2 0 \nabc", "stand 0 9223372036854775807 9 9 s\n"} {
		_, err := Parse([]byte(text))
		assert.Error(t, err, text)
	}
}

// An older version sends no ids with its last message.
func TestActivateWithoutIDs(t *testing.T) {
	m, err := Parse([]byte("lead 0 0 0 0 \n"))
	require.NoError(t, err)
	assert.Empty(t, m.UsedIDs)
	_, err = Parse([]byte("lead 0 0 7 0 \n1234567"))
	assert.Error(t, err, "half a hash")
}

// As many ids as are sent fit a message.
func TestMaxUsedIDsFit(t *testing.T) {
	m := Message{Kind: KindActivate, UsedIDs: make([]uint64, MaxUsedIDs)}
	assert.LessOrEqual(t, len(m.Append(nil)), MaxMessageSize)
}

func FuzzParse(f *testing.F) {
	for _, m := range messages {
		f.Add(m.Append(nil))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, err := Parse(raw); err == nil {
			again, err := Parse(m.Append(nil))
			require.NoError(t, err)
			assert.Equal(t, m, again)
		}
	})
}
