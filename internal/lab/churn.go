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

// Churn replaces a share of the hosts one at a time and assigns the hosts to cells after each change, without any
// traffic. It returns the number of changes, how many of the remaining hosts changed their cell, how many had to by the
// quotas alone, and the unevenness of a rendezvous hash without quotas: the largest cell over the mean.
func Churn(exp *Experiment, seed uint64, share float64) (changes, moved, required int, unevenness float64) {
	c := newChurn(exp, seed)
	for range int(share * float64(len(c.hosts))) {
		c.replaceOne()
	}
	return c.changes, c.moved, c.required, c.unevennessWithoutQuotas()
}

// churn is a changing list of hosts and the counts of what its changes did to the cells.
type churn struct {
	plan                     *cells.Plan
	rng                      *rand.Rand
	hosts                    []policy.Server
	assigned                 map[string]string
	changes, moved, required int
}

func newChurn(exp *Experiment, seed uint64) *churn {
	c := &churn{plan: exp.CellPlan, rng: rand.New(rand.NewPCG(seed, 3))}
	v := &VirtualLab{exp: exp, hosts: map[string]*virtualHost{}}
	for _, s := range exp.Fleet(seed) {
		v.hosts[s.ID] = &virtualHost{Machine: NewMachine(s, time.Second)}
		c.hosts = append(c.hosts, v.listedServer(s, policy.Ready))
	}
	c.assigned = c.plan.AssignHosts(c.hosts)
	return c
}

// replaceOne removes a random host, then adds a copy of another one under a new name.
func (c *churn) replaceOne() {
	i := c.rng.IntN(len(c.hosts))
	c.hosts = slices.Delete(c.hosts, i, i+1)
	c.assign()
	added := c.hosts[c.rng.IntN(len(c.hosts))]
	added.ID = fmt.Sprintf("s-%08x", c.rng.Uint32())
	c.hosts = append(c.hosts, added)
	c.assign()
}

// assign assigns the hosts anew and counts those that changed their cell.
func (c *churn) assign() {
	c.changes++
	after := c.plan.AssignHosts(c.hosts)
	staying := map[string]int{} // hosts that were in a cell and are still listed, by cell
	for id, cell := range after {
		was, stayed := c.assigned[id]
		if !stayed {
			continue
		}
		staying[was]++
		if was != cell {
			c.moved++
		}
	}
	size := cellSizes(after)
	for cell, n := range staying {
		c.required += max(n-size[cell], 0)
	}
	c.assigned = after
}

// unevennessWithoutQuotas is the size of the largest cell over the mean if each host went to the cell of its lowest
// cost.
func (c *churn) unevennessWithoutQuotas() float64 {
	count := map[string]int{}
	for _, s := range c.hosts {
		cheapest := slices.MinFunc(c.plan.Cells, func(a, b cells.Cell) int {
			return cmp.Compare(cells.AssignmentCost(s.ID, a), cells.AssignmentCost(s.ID, b))
		})
		count[cheapest.Name]++
	}
	largest := 0
	for _, n := range count {
		largest = max(largest, n)
	}
	return float64(largest) * float64(len(c.plan.Cells)) / float64(len(c.hosts))
}

func cellSizes(assigned map[string]string) map[string]int {
	out := map[string]int{}
	for _, cell := range assigned {
		out[cell]++
	}
	return out
}
