package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/policy"
)

const partialListJSON = `{"revision":43,"complete":false,"later":{"a":[1]},"members":[
  {"id":"s-5be2a07c","host_port":"10.1.0.18:3000","locality":"a","flavor":"m2","cell":3,"phase":"terminating","size":1.5,"up_since_ms":1700000000123}]}`

// sessionClient combines a session with the single exchange that most tests need.
type sessionClient struct {
	*Session
	Exchange
}

func newSessionClient(host string, revision int64) *sessionClient {
	return &sessionClient{Session: NewSession(host, revision)}
}

func (c *sessionClient) Call(wait time.Duration) []byte { return c.Exchange.Call(c.Session, wait) }

func (c *sessionClient) Feed(data []byte, ended bool) (*List, bool, error) {
	return c.Exchange.Feed(c.Session, data, ended)
}

func TestParse(t *testing.T) {
	got, err := Parse([]byte(partialListJSON))
	require.NoError(t, err)
	assert.EqualValues(t, 43, got.Revision)
	assert.False(t, got.Complete)
	assert.Equal(t, []policy.Server{{ID: "s-5be2a07c", Zone: "a", Kind: "m2", Cell: 3, State: policy.Draining,
		Weight: 1.5, Started: 1700000000123 * time.Millisecond}}, got.Servers())
	assert.Equal(t, "10.1.0.18:3000", got.Members[0].Address.String())
}

func TestInvalidListsAreRejected(t *testing.T) {
	for _, text := range []string{``, `[]`, `{}`, `{"revision":1}`, `{"members":[]}`, `{"revision":1,"members":[{"id":"a"}]}`,
		`{"revision":1,"members":[{"id":"a","phase":"odd","host_port":"1.2.3.4:5"}]}`,
		`{"revision":1,"members":[{"id":"a","phase":"in_service","host_port":"nowhere"}]}`,
		`{"revision":1,"members":[{"phase":"in_service","host_port":"1.2.3.4:5"}]}`, partialListJSON[:90], partialListJSON + "x",
		`{"revision":1,"members":[{"id":"a","phase":"terminating","host_port":"1.2.3.4:5"},{"id":"a","phase":"in_service","host_port":"1.2.3.4:5"}]}`} {
		_, err := Parse([]byte(text))
		assert.Error(t, err, text)
	}
}

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// An answer may arrive byte by byte; the next call requests the changes since its revision.
func TestAnswerInParts(t *testing.T) {
	c := newSessionClient("1.2.3.4:5", 41)
	assert.Equal(t, "GET /discovery/hosts?since=41&timeout_ms=8000 HTTP/1.1\r\nHost: 1.2.3.4:5\r\n\r\n", string(c.Call(8*time.Second)))
	text := response("200 OK", partialListJSON)
	for i := range len(text) - 1 {
		got, _, err := c.Feed([]byte{text[i]}, false)
		require.NoError(t, err)
		require.Nil(t, got)
	}
	got, keep, err := c.Feed([]byte{text[len(text)-1]}, false)
	require.NoError(t, err)
	assert.NotNil(t, got)
	assert.True(t, keep)
	assert.Contains(t, string(c.Call(time.Second)), "since=43&timeout_ms=1000 ")
}

func TestTransferEncodings(t *testing.T) {
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(partialListJSON), partialListJSON)
	got, keep, err := newSessionClient("h", 1).Feed([]byte(chunked), false)
	require.NoError(t, err)
	assert.True(t, got != nil && keep)
	closing := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + partialListJSON
	c := newSessionClient("h", 1)
	got, _, err = c.Feed([]byte(closing), false)
	require.NoError(t, err)
	require.Nil(t, got, "the answer ends with the connection")
	got, keep, err = c.Feed(nil, true)
	require.NoError(t, err)
	assert.True(t, got != nil && !keep)
}

// answerForms are answers with partialListJSON in the forms of HTTP/1.1 whose end is told by the answer itself.
var answerForms = map[string]string{
	"content length": response("200 OK", partialListJSON),
	"one chunk":      fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHeader, len(partialListJSON), partialListJSON),
	"two chunks":     fmt.Sprintf("%s%x\r\n%s\r\n%x;ext=1\r\n%s\r\n0\r\n\r\n", chunkedHeader, 30, partialListJSON[:30], len(partialListJSON)-30, partialListJSON[30:]),
	"trailer fields": fmt.Sprintf("%s%x\r\n%s\r\n0\r\nExpires: 0\r\nX-Sum: 1\r\n\r\n", chunkedHeader, len(partialListJSON), partialListJSON),
}

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against lists that are thrown away, and the drains in them, because an answer comes in pieces: in all forms,
// cut in two at each byte, the first piece is kept until the second one comes.
func TestAnswerInTwoPieces(t *testing.T) {
	for name, text := range answerForms {
		for cut := 1; cut < len(text); cut++ {
			c := newSessionClient("h", 41)
			_ = c.Call(time.Second)
			got, _, err := c.Feed([]byte(text[:cut]), false)
			require.NoError(t, err, "%s, cut at %d of %d", name, cut, len(text))
			require.Nil(t, got, "%s, cut at %d of %d", name, cut, len(text))
			got, keep, err := c.Feed([]byte(text[cut:]), false)
			require.NoError(t, err, "%s, cut at %d of %d", name, cut, len(text))
			require.True(t, got != nil && keep, "%s, cut at %d of %d", name, cut, len(text))
			require.Contains(t, string(c.Call(time.Second)), "since=43&")
		}
	}
}

// Guards against a list that is thrown away because an interim response, which HTTP/1.1 allows before any answer, is
// taken for the answer.
func TestInterimResponses(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
	for name, text := range answerForms {
		for cut := 1; cut < len(interim)+40; cut++ {
			c := newSessionClient("h", 41)
			got, _, err := c.Feed([]byte((interim + text)[:cut]), false)
			require.NoError(t, err, "%s, cut at %d", name, cut)
			require.Nil(t, got, "%s, cut at %d", name, cut)
			got, keep, err := c.Feed([]byte((interim + text)[cut:]), false)
			require.NoError(t, err, "%s, cut at %d", name, cut)
			require.True(t, got != nil && keep, "%s, cut at %d", name, cut)
		}
	}
}

// An answer that is cut short by the end of its connection, or whose chunks are malformed, fails at once.
func TestIncompleteAnswers(t *testing.T) {
	for name, text := range answerForms {
		_, _, err := newSessionClient("h", 41).Feed([]byte(text[:len(text)-1]), true)
		if assert.Error(t, err, name); name != "content length" {
			assert.NotErrorIs(t, err, ErrUnreadable, name)
		}
	}
	for name, body := range map[string]string{"chunk size": "zz\r\n{}\r\n0\r\n\r\n", "chunk end": "2\r\n{}xx0\r\n\r\n", "trailer": "2\r\n{}\r\n0\r\n:\r\n\r\n"} {
		_, _, err := newSessionClient("h", 41).Feed([]byte(chunkedHeader+body), false)
		assert.Error(t, err, name)
	}
}

func TestFailedCalls(t *testing.T) {
	for name, text := range map[string]string{"503": response("503 Service Unavailable", "busy"), "no HTTP": "what\r\n\r\n",
		"bad list": response("200 OK", `{"revision":9}`)} {
		c := newSessionClient("h", 1)
		got, _, err := c.Feed([]byte(text), false)
		assert.Error(t, err, name)
		assert.Nil(t, got, name)
		assert.Contains(t, string(c.Call(0)), "since=1&", name)
	}
	_, _, err := newSessionClient("h", 1).Feed([]byte(response("200 OK", partialListJSON)[:60]), true)
	assert.Error(t, err, "truncated")
	_, _, err = newSessionClient("h", 1).Feed(make([]byte, maxAnswerSize+1), false)
	assert.Error(t, err, "too long")
}

// A session without a list requests the full list until it has received one.
func TestFirstCallRequestsTheFullList(t *testing.T) {
	c := newSessionClient("1.2.3.4:5", NoRevision)
	const fullListCall = "GET /discovery/hosts HTTP/1.1\r\nHost: 1.2.3.4:5\r\n\r\n"
	assert.Equal(t, fullListCall, string(c.Call(time.Second)))
	_, _, err := c.Feed([]byte(response("200 OK", partialListJSON)), false)
	assert.ErrorContains(t, err, "part of the list")
	assert.Equal(t, fullListCall, string(c.Call(time.Second)))
	_, _, err = c.Feed([]byte(response("200 OK", `{"revision":3,"complete":true,"members":[]}`)), false)
	require.NoError(t, err)
	assert.Contains(t, string(c.Call(time.Second)), "since=3&")
}

// A list older than one received before is rejected, whether full or partial; the next call requests the full list.
func TestOlderListsAreRejected(t *testing.T) {
	for name, complete := range map[string]bool{"full": true, "partial": false} {
		c := newSessionClient("h", 43)
		got, _, err := c.Feed([]byte(response("200 OK", listJSON(42, complete, memberJSON("s-1", 1, "in_service")))), false)
		assert.ErrorIs(t, err, ErrOlderRevision, name)
		assert.ErrorIs(t, err, ErrUnreadable, name)
		assert.Nil(t, got, name)
		assert.NotContains(t, string(c.Call(time.Second)), "since=", name)
		_, _, err = c.Feed([]byte(response("200 OK", listJSON(42, true, memberJSON("s-1", 1, "in_service")))), false)
		assert.ErrorIs(t, err, ErrOlderRevision, "%s: a full list, older again", name)
		_ = c.Call(0)
		_, _, err = c.Feed([]byte(response("200 OK", listJSON(43, true, memberJSON("s-1", 1, "terminating")))), false)
		assert.NoError(t, err, name)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(partialListJSON))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if got, err := Parse(raw); err == nil {
			for _, s := range got.Servers() {
				assert.NotEmpty(t, s.ID)
			}
		}
	})
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte(response("200 OK", partialListJSON)), true)
	f.Fuzz(func(t *testing.T, raw []byte, ended bool) {
		c := newSessionClient("h", 1)
		if got, _, err := c.Feed(raw, ended); err != nil {
			assert.Nil(t, got)
		}
	})
}
