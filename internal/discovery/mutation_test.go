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

func entry(id string, port int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"10.1.0.18:%d","locality":"a","cell":3,"phase":%q,"size":1.5,"up_since_ms":17}`, id, port, phase)
}

func body(revision int, complete bool, members string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, members)
}

// forms are the ways in which an answer may come: with its length, in chunks, without a length until the end, indented.
var forms = map[string]func(body string) (text string, ends bool){
	"length": func(b string) (string, bool) { return answer("200 OK", b), false },
	"chunked": func(b string) (string, bool) {
		half := len(b) / 2
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, b[:half], len(b)-half, b[half:]), false
	},
	"until its end": func(b string) (string, bool) { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b, true },
	"indented": func(b string) (string, bool) {
		out := ""
		for _, r := range b {
			if out += string(r); r == ',' || r == '{' || r == '[' {
				out += "\n\t  "
			}
		}
		return answer("200 OK", out), false
	},
}

// holder keeps the list as the module does, as far as these runs need it.
type holder struct {
	client *client
	phases map[string]policy.State
}

// take feeds an answer in pieces, as reads deliver it; ends tells that its connection ends then. It tells whether the
// call failed or is still waited for, and so is made again.
func (h *holder) take(t *testing.T, text string, ends bool, rng *rand.Rand) (again bool) {
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

// A short run of answers, each once in every form, with one change at a time: nothing crashes, no half list is taken, and
// with the next whole answer of a discovery that is well all is as it should be. What a part says is not undone by an
// older one that comes again or late.
func TestOneAnswerChanged(t *testing.T) {
	bodies := []string{body(41, true, entry("s-1", 1, "in_service")+","+entry("s-2", 2, "in_service")),
		body(42, false, entry("s-1", 1, "terminating")), body(44, false, entry("s-3", 3, "in_service")+","+entry("s-2", 2, "terminated"))}
	want := map[string]policy.State{"s-1": policy.Draining, "s-3": policy.Ready}
	truth := body(44, true, entry("s-1", 1, "terminating")+","+entry("s-3", 3, "in_service"))
	cases := 0
	for form, wrap := range forms {
		run, ends := []mutation.Message{}, false
		for _, b := range bodies {
			text := ""
			text, ends = wrap(b)
			run = append(run, mutation.Message{From: "discovery", To: "n1", Kind: form, Body: []byte(text)})
		}
		play := func(name string, run []mutation.Message) (h *holder) {
			h = &holder{client: newClient("h", None)}
			rng := rand.New(rand.NewPCG(1, 2))
			for _, m := range run {
				older := h.client.revision
				again := h.take(t, string(m.Body), ends, rng)
				if !again && older != None && h.client.revision < older {
					t.Fatalf("%s: revision %d taken after %d", name, h.client.revision, older)
				}
			}
			return h
		}
		require.Equal(t, want, play(form+" unchanged", run).phases)
		for c := range mutation.Cases(run, mutation.Options{MaxPositions: 60}) {
			cases++
			h := play(c.String(), c.Run)
			h.client = newClient("h", None) // as after a move, or a failure that left nothing to go by
			text, ends := wrap(truth)
			assert.False(t, h.take(t, text, ends, rand.New(rand.NewPCG(3, 4))), c.String())
			require.Equal(t, want, h.phases, c.String())
		}
	}
	assert.Greater(t, cases, 1500)
}
