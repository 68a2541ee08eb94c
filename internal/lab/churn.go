package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/policy"
)

// Churn plays comings and goings on the dealing alone: a part of the hosts is replaced by others, one at a time. It
// tells how many of those that stay changed their cell, how many had to by the quotas alone, and how many a plain
// rendezvous without quotas would have left uneven: the largest cell over the mean.
func Churn(exp *Experiment, seed uint64, part float64) (changes, moved, least int, plainWorst float64) {
	c := newChurn(exp, seed)
	for range int(part * float64(len(c.list))) {
		c.replaceOne()
	}
	return c.changes, c.moved, c.least, c.plainWorst()
}

// churn is a list of hosts that changes, and what its changes did to the cells.
type churn struct {
	plan                  *cells.Plan
	rng                   *rand.Rand
	list                  []policy.Server
	dealt                 map[string]string
	changes, moved, least int
}

func newChurn(exp *Experiment, seed uint64) *churn {
	c := &churn{plan: exp.Plan, rng: rand.New(rand.NewPCG(seed, 3))}
	v := &Virtual{exp: exp, machines: map[string]*virtualHost{}}
	for _, s := range exp.Fleet(seed) {
		v.machines[s.ID] = &virtualHost{Machine: NewMachine(s, time.Second)}
		c.list = append(c.list, v.server(s, policy.Ready))
	}
	c.dealt = c.plan.AssignHosts(c.list)
	return c
}

// replaceOne takes a host away, then adds another one, alike but for its name.
func (c *churn) replaceOne() {
	i := c.rng.IntN(len(c.list))
	c.list = slices.Delete(c.list, i, i+1)
	c.deal()
	fresh := c.list[c.rng.IntN(len(c.list))]
	fresh.ID = fmt.Sprintf("s-%08x", c.rng.Uint32())
	c.list = append(c.list, fresh)
	c.deal()
}

// deal deals the hosts anew, and counts who changed its cell.
func (c *churn) deal() {
	c.changes++
	after := c.plan.AssignHosts(c.list)
	kept := map[string]int{} // hosts that were in a cell and still exist
	for id, cell := range after {
		was, stayed := c.dealt[id]
		if !stayed {
			continue
		}
		kept[was]++
		if was != cell {
			c.moved++
		}
	}
	size := sizes(after)
	for cell, n := range kept {
		c.least += max(n-size[cell], 0)
	}
	c.dealt = after
}

// plainWorst is the largest cell over the mean, were the hosts dealt without quotas.
func (c *churn) plainWorst() float64 {
	count := map[string]int{}
	for _, s := range c.list {
		cheapest := slices.MinFunc(c.plan.Cells, func(a, b cells.Cell) int {
			return cmp.Compare(cells.AssignmentCost(s.ID, a), cells.AssignmentCost(s.ID, b))
		})
		count[cheapest.Name]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return float64(most) * float64(len(c.plan.Cells)) / float64(len(c.list))
}

func sizes(dealt map[string]string) map[string]int {
	out := map[string]int{}
	for _, cell := range dealt {
		out[cell]++
	}
	return out
}
