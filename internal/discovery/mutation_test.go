package discovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/mutation"
	"tealtiller/policy"
)

func memberJSON(id string, port int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"10.1.0.18:%d","locality":"a","cell":3,"phase":%q,"size":1.5,"up_since_ms":17}`, id, port, phase)
}

func listJSON(revision int, complete bool, members string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, members)
}

// encodings are the ways to send an answer: with its length, in chunks, delimited by the close, indented.
var encodings = map[string]func(body string) (text string, ends bool){
	"length": func(b string) (string, bool) { return response("200 OK", b), false },
	"chunked": func(b string) (string, bool) {
		half := len(b) / 2
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, b[:half], len(b)-half, b[half:]), false
	},
	"close-delimited": func(b string) (string, bool) { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b, true },
	"indented": func(b string) (string, bool) {
		out := ""
		for _, r := range b {
			if out += string(r); r == ',' || r == '{' || r == '[' {
				out += "\n\t  "
			}
		}
		return response("200 OK", out), false
	},
}

// moduleList maintains the host list as the policy module does, as far as these tests need it.
type moduleList struct {
	client *sessionClient
	phases map[string]policy.State
}

// feed passes an answer on in pieces, as reads deliver it; ends means that the connection closes after it. It reports
// whether the call must be repeated, because it failed or is still open.
func (h *moduleList) feed(t *testing.T, text string, ends bool, rng *rand.Rand) (repeat bool) {
	_ = h.client.Call(time.Second)
	for {
		n := min(1+rng.IntN(200), len(text))
		list, keep, err := h.client.Feed([]byte(text[:n]), ends && n == len(text))
		text = text[n:]
		if err != nil {
			require.Nil(t, list)
			return true
		}
		if list != nil {
			if list.Complete {
				h.phases = map[string]policy.State{}
			}
			for _, m := range list.Members {
				require.NotEmpty(t, m.ID)
				require.True(t, m.State == policy.Gone || m.Address.IsValid(), "a desk host without an address")
				if h.phases[m.ID] = m.State; m.State == policy.Gone {
					delete(h.phases, m.ID)
				}
			}
			return !keep && !ends
		}
		if len(text) == 0 {
			return true
		}
	}
}

// A short sequence of answers, in every encoding, with one mutation at a time: nothing crashes, no incomplete list is
// accepted, and the next full list of a sound discovery restores the correct state. A partial list is not undone by an
// older one that is repeated or arrives late.
func TestMutatedAnswers(t *testing.T) {
	bodies := []string{listJSON(41, true, memberJSON("s-1", 1, "in_service")+","+memberJSON("s-2", 2, "in_service")),
		listJSON(42, false, memberJSON("s-1", 1, "terminating")), listJSON(44, false, memberJSON("s-3", 3, "in_service")+","+memberJSON("s-2", 2, "terminated"))}
	want := map[string]policy.State{"s-1": policy.Draining, "s-3": policy.Ready}
	finalList := listJSON(44, true, memberJSON("s-1", 1, "terminating")+","+memberJSON("s-3", 3, "in_service"))
	cases := 0
	for form, wrap := range encodings {
		run, ends := []mutation.Message{}, false
		for _, b := range bodies {
			text := ""
			text, ends = wrap(b)
			run = append(run, mutation.Message{From: "discovery", To: "n1", Kind: form, Body: []byte(text)})
		}
		feedAll := func(name string, run []mutation.Message) (h *moduleList) {
			h = &moduleList{client: newSessionClient("h", NoRevision)}
			rng := rand.New(rand.NewPCG(1, 2))
			for _, m := range run {
				previous := h.client.revision
				repeat := h.feed(t, string(m.Body), ends, rng)
				if !repeat && previous != NoRevision && h.client.revision < previous {
					t.Fatalf("%s: revision %d taken after %d", name, h.client.revision, previous)
				}
			}
			return h
		}
		require.Equal(t, want, feedAll(form+" unchanged", run).phases)
		for c := range mutation.Cases(run, mutation.Options{MaxPositions: 60}) {
			cases++
			h := feedAll(c.String(), c.Run)
			h.client = newSessionClient("h", NoRevision) // as after a move or a failure without a usable revision
			text, ends := wrap(finalList)
			assert.False(t, h.feed(t, text, ends, rand.New(rand.NewPCG(3, 4))), c.String())
			require.Equal(t, want, h.phases, c.String())
		}
	}
	assert.Greater(t, cases, 1500)
}
