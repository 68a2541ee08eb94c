package cells

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"tealtiller/policy"
)

// AssignHosts maps the id of each host to the name of its cell. The result is the same at every balancer: it depends
// only on the plan and on the ids, rooms, kinds and cell numbers in the list. A host that matches a cell's selectors
// belongs to it, to the earlier one if several match. All others are assigned by share: pairs of host and cell are
// taken in order of cost (weighted rendezvous hashing), and each cell takes up to its quota (largest remainder method)
// plus Slack. Of each combination of room and kind it takes no more than its share, so that a cell is spread over all
// rooms and kinds. A host that joins or leaves displaces others only where a cell is full, and each only by a cheaper
// pair, so chains of displacement stay short. If no cell has a share, the default cell gets the remaining hosts.
func (p *Plan) AssignHosts(hosts []policy.Server) map[string]string {
	cellByHost := make(map[string]string, len(hosts))
	var rest []policy.Server
	for _, h := range hosts {
		if i := slices.IndexFunc(p.Cells, func(c Cell) bool { return c.claimsHost(h) }); i >= 0 {
			cellByHost[h.ID] = p.Cells[i].Name
		} else {
			rest = append(rest, h)
		}
	}
	slices.SortFunc(rest, compareIDs)
	p.assignByShare(rest, cellByHost)
	return cellByHost
}

// claimsHost reports whether a host matches one of the cell's selectors.
func (cell *Cell) claimsHost(h policy.Server) bool {
	return slices.Contains(cell.IDs, h.ID) || slices.Contains(cell.Numbers, h.Cell) ||
		slices.Contains(cell.Rooms, h.Zone) || slices.Contains(cell.Kinds, h.Kind)
}

func compareIDs(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) }

// assignByShare assigns hosts to cells by share and adds the result to cellByHost. hosts must be sorted by id.
func (p *Plan) assignByShare(hosts []policy.Server, cellByHost map[string]string) {
	totalShare := 0.0
	for _, c := range p.Cells {
		totalShare += c.Share
	}
	if totalShare == 0 {
		for _, h := range hosts {
			cellByHost[h.ID] = p.Default
		}
		return
	}
	a := p.newAssignment(hosts, totalShare)
	pairs := p.pairs(hosts)
	// The second pass drops the quotas of rooms and kinds, for hosts that the first pass could not assign.
	for _, strict := range []bool{true, false} {
		for _, candidate := range pairs {
			if a.unassigned == 0 {
				return
			}
			if a.tryAssign(candidate, strict) {
				cellByHost[hosts[candidate.host].ID] = p.Cells[candidate.cell].Name
			}
		}
	}
}

// pair is a possible assignment: the indexes of a host and a cell, and its cost.
type pair struct {
	cost       float64
	host, cell int32
}

// pairs returns every combination of a host and a cell with a share, sorted by cost.
func (p *Plan) pairs(hosts []policy.Server) []pair {
	pairs := make([]pair, 0, len(hosts)*len(p.Cells))
	for j, c := range p.Cells {
		if !(c.Share > 0) {
			continue
		}
		for i, h := range hosts {
			pairs = append(pairs, pair{AssignmentCost(h.ID, c), int32(i), int32(j)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if a.cost != b.cost {
			return cmp.Compare(a.cost, b.cost)
		}
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.cell, b.cell))
	})
	return pairs
}

// assignment is the state of an assignment in progress: the assigned hosts, and the remaining quotas of each cell.
type assignment struct {
	stratumOf    []int // by host
	assigned     []bool
	unassigned   int     // number of hosts without a cell
	quota        []int   // by cell
	stratumQuota [][]int // by cell and stratum
}

// stratum groups the hosts of one room and kind.
type stratum struct{ room, kind string }

func (p *Plan) newAssignment(hosts []policy.Server, totalShare float64) *assignment {
	a := &assignment{assigned: make([]bool, len(hosts)), unassigned: len(hosts), stratumOf: make([]int, len(hosts))}
	indexes, sizes := map[stratum]int{}, []int{}
	for i, h := range hosts {
		s := stratum{h.Zone, h.Kind}
		index, known := indexes[s]
		if !known {
			index = len(indexes)
			indexes[s] = index
			sizes = append(sizes, 0)
		}
		a.stratumOf[i] = index
		sizes[index]++
	}
	a.quota, a.stratumQuota = p.quotas(len(hosts), totalShare), make([][]int, len(p.Cells))
	for j := range p.Cells {
		a.quota[j] = max(a.quota[j], p.quotaWithSlack(j, len(hosts), totalShare)-1)
		for _, n := range sizes {
			a.stratumQuota[j] = append(a.stratumQuota[j], p.quotaWithSlack(j, n, totalShare))
		}
	}
	return a
}

// quotaWithSlack returns a cell's share of n hosts, increased by Slack and rounded up.
func (p *Plan) quotaWithSlack(cell, n int, totalShare float64) int {
	return int(math.Ceil(p.Cells[cell].Share/totalShare*float64(n)*(1+p.Slack) - shareTolerance))
}

// tryAssign assigns a host to a cell if the host is unassigned and the cell has quota left. If strict, the cell must
// also have quota left for the host's stratum.
func (a *assignment) tryAssign(candidate pair, strict bool) bool {
	s := a.stratumOf[candidate.host]
	if a.assigned[candidate.host] || a.quota[candidate.cell] == 0 || strict && a.stratumQuota[candidate.cell][s] == 0 {
		return false
	}
	a.assigned[candidate.host] = true
	a.stratumQuota[candidate.cell][s]--
	a.quota[candidate.cell]--
	a.unassigned--
	return true
}

// quotas divides n hosts among the cells by the largest remainder method; ties go to the earlier cell.
func (p *Plan) quotas(n int, totalShare float64) []int {
	quotas, order, remaining := make([]int, len(p.Cells)), make([]int, len(p.Cells)), n
	exactQuota := func(i int) float64 { return p.Cells[i].Share / totalShare * float64(n) }
	for i := range quotas {
		quotas[i], order[i] = int(exactQuota(i)+shareTolerance), i
		remaining -= quotas[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exactQuota(b)-float64(quotas[b]), exactQuota(a)-float64(quotas[a]))
	})
	for i := 0; i < remaining; i++ {
		quotas[order[i%len(order)]]++
	}
	return quotas
}

// AssignmentCost returns the cost of assigning a host to a cell, its weighted rendezvous score; lower is better.
func AssignmentCost(host string, c Cell) float64 { return -math.Log(unitHash(host, c.Name)) / c.Share }

// unitHash maps a host and a cell to a pseudo-random number between 0 and 1, both exclusive.
func unitHash(host, cell string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(cell))
	return (float64(SplitMix64(h.Sum64())>>11) + 0.5) / (1 << 53)
}
