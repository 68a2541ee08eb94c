package cells

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"tealtiller/policy"
)

// AssignHosts tells the cell of each endpoint, the same at every balancer: it depends on the plan and on the ids, rooms, kinds
// and numbers listed, and on nothing else. Endpoints that a cell names are its own, the earlier cell's first. The rest is
// assigned by share: of all pairs of endpoint and cell the one of least cost (weighted rendezvous) is taken first, and
// each cell takes up to its quota (largest remainder) and a little over (Slack), of each room and kind no more than its
// share of that, so that it is spread over both. An endpoint more or less displaces others only where a cell is full,
// and each only by a better pair, so that chains of displacement end soon. Without shares the rest is the default cell's.
func (p *Plan) AssignHosts(hosts []policy.Server) map[string]string {
	out := make(map[string]string, len(hosts))
	var rest []policy.Server
	for _, h := range hosts {
		if i := slices.IndexFunc(p.Cells, func(c Cell) bool { return c.names(h) }); i >= 0 {
			out[h.ID] = p.Cells[i].Name
		} else {
			rest = append(rest, h)
		}
	}
	slices.SortFunc(rest, byID)
	p.dealShares(rest, out)
	return out
}

// names tells whether a cell names an endpoint as its own.
func (cell *Cell) names(h policy.Server) bool {
	return slices.Contains(cell.IDs, h.ID) || slices.Contains(cell.Numbers, h.Cell) ||
		slices.Contains(cell.Rooms, h.Zone) || slices.Contains(cell.Kinds, h.Kind)
}

func byID(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) }

// dealShares assigns endpoints that are in order of their ids.
func (p *Plan) dealShares(hosts []policy.Server, out map[string]string) {
	sum := 0.0
	for _, c := range p.Cells {
		sum += c.Share
	}
	if sum == 0 {
		for _, h := range hosts {
			out[h.ID] = p.Default
		}
		return
	}
	d := p.dealing(hosts, sum)
	pairs := p.pairs(hosts)
	for _, strict := range []bool{true, false} { // where rooms and kinds leave no other way, quotas alone count
		for _, pr := range pairs {
			if d.left == 0 {
				return
			}
			if d.take(pr, strict) {
				out[hosts[pr.host].ID] = p.Cells[pr.cell].Name
			}
		}
	}
}

// pair is an endpoint and a cell, by their indexes, and what it costs to bring them together.
type pair struct {
	cost       float64
	host, cell int32
}

// pairs are all pairs of an endpoint and a cell with a share, the cheapest first.
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

// dealing is the state of an assignment: what is taken, and what each cell may still take.
type dealing struct {
	stratum []int // of each endpoint: its room and kind
	dealt   []bool
	left    int     // endpoints without a cell
	quota   []int   // of each cell
	most    [][]int // of each cell and stratum
}

// stratum is endpoints of one room and kind.
type stratum struct{ room, kind string }

func (p *Plan) dealing(hosts []policy.Server, sum float64) *dealing {
	d := &dealing{dealt: make([]bool, len(hosts)), left: len(hosts), stratum: make([]int, len(hosts))}
	numbers, size := map[stratum]int{}, []int{}
	for i, h := range hosts {
		s := stratum{h.Zone, h.Kind}
		number, known := numbers[s]
		if !known {
			number = len(numbers)
			numbers[s] = number
			size = append(size, 0)
		}
		d.stratum[i] = number
		size[number]++
	}
	d.quota, d.most = p.quotas(len(hosts), sum), make([][]int, len(p.Cells))
	for j := range p.Cells {
		d.quota[j] = max(d.quota[j], p.withSlack(j, len(hosts), sum)-1)
		for _, n := range size {
			d.most[j] = append(d.most[j], p.withSlack(j, n, sum))
		}
	}
	return d
}

// withSlack is a cell's part of n endpoints, and a little over, rounded up.
func (p *Plan) withSlack(cell, n int, sum float64) int {
	return int(math.Ceil(p.Cells[cell].Share/sum*float64(n)*(1+p.Slack) - shareTolerance))
}

// take brings a pair together where both are free; strictly, it keeps to the cell's part of each stratum too.
func (d *dealing) take(pr pair, strict bool) bool {
	s := d.stratum[pr.host]
	if d.dealt[pr.host] || d.quota[pr.cell] == 0 || strict && d.most[pr.cell][s] == 0 {
		return false
	}
	d.dealt[pr.host] = true
	d.most[pr.cell][s]--
	d.quota[pr.cell]--
	d.left--
	return true
}

// quotas are how many of n endpoints each cell gets, by largest remainder; of equal ones the earlier cell's first.
func (p *Plan) quotas(n int, sum float64) []int {
	out, order, left := make([]int, len(p.Cells)), make([]int, len(p.Cells)), n
	part := func(i int) float64 { return p.Cells[i].Share / sum * float64(n) }
	for i := range out {
		out[i], order[i] = int(part(i)+shareTolerance), i
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(part(b)-float64(out[b]), part(a)-float64(out[a]))
	})
	for i := 0; i < left; i++ {
		out[order[i%len(order)]]++
	}
	return out
}

// AssignmentCost is what it costs to assign an endpoint to a cell: the score of weighted rendezvous, the lower the better.
func AssignmentCost(host string, c Cell) float64 { return -math.Log(unit(host, c.Name)) / c.Share }

// unit is a number over 0 and under 1 for an endpoint and a cell.
func unit(host, cell string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(cell))
	return (float64(SplitMix64(h.Sum64())>>11) + 0.5) / (1 << 53)
}
