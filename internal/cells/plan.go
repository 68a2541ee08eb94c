// Package cells confines carriers and flights to parts of the fleet, so that one's trouble stays with the desk
// hosts of its own cell. It owns the plan that an operator wrote (Plan), the dealing of desk hosts to cells (Deal),
// the moment at which each flight crosses in a move (Move.Crossed), and the decision modules of the cells behind one
// face (Fleet).
//
// It promises: what follows from list, plan and clock alone is alike at every balancer; a desk host is in one cell
// at a time; without a plan a Fleet does what the one module does, action by action. It is pure: no input or output,
// no clock, no goroutine. Time comes in, actions go out.
package cells

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tealtiller/policy"
)

// Plan is what an operator wants of cells. A plan without cells switches them off.
type Plan struct {
	Default string // the cell of whoever is named in none
	// Slack is by how much a cell may be over its share of the hosts dealt out. With none, every cell has its share to
	// within one, and each host that comes or goes moves some others; with a tenth, hardly any.
	Slack float64
	// Keep is how long the place of a host that has left the list is kept for it. Danger: without, a crash in one cell
	// would draw hosts from all others, and its return would push them back.
	Keep  time.Duration
	Cells []Cell
	Moves []Move
	// Given, if set, is where a placement plan has a carrier's flight. What the file says of flights and moves goes before
	// it, what it says of carriers after. A cell that there is not counts as none.
	Given func(now time.Duration, carrier string, flight uint64) (cell string, ok bool)
}

// Len is how many cells a plan has; nil is one without.
func (p *Plan) Len() int {
	if p == nil {
		return 0
	}
	return len(p.Cells)
}

// Cell is one part of the fleet: who belongs in it, which desk hosts serve it, and how much it takes. Limits are
// the whole fleet's; each balancer keeps its part, one by the number of siblings. Zero means no limit.
type Cell struct {
	Name     string
	Carriers []string
	Flights  []Range
	// Desk hosts that one of these names are the cell's; the rest of the fleet is dealt out by share.
	Numbers []int
	Rooms   []string
	Kinds   []string
	IDs     []string
	Share   float64
	// Connections bounds what stands or is being set up, OpensPerSecond what comes new.
	Connections    int
	OpensPerSecond float64
	OverflowTo     string // when full, or with no desk host in service; empty refuses
	Guests         int    // the most connections that overflow from other cells into this one
}

// Range is the flight keys from Low to High, both included.
type Range struct{ Low, High uint64 }

// ParseRange reads a flight key, or two with a dash between, in hexadecimal.
func ParseRange(text string) (r Range, err error) {
	low, high, two := strings.Cut(text, "-")
	if r.Low, err = strconv.ParseUint(low, 16, 64); err != nil {
		return r, fmt.Errorf("flight %q: want a hexadecimal key, or LOW-HIGH", text)
	}
	if r.High = r.Low; two {
		if r.High, err = strconv.ParseUint(high, 16, 64); err != nil || r.High < r.Low {
			return r, fmt.Errorf("flight %q: want LOW-HIGH in hexadecimal, the lower first", text)
		}
	}
	return r, nil
}

// Move takes a carrier from one cell to another. Start and Back are Unix time. Flights cross one after the other,
// spread over the first three quarters of Span; their standing connections follow, at most Pace a second in the
// whole fleet (0: as they come). From Back on, if set, those that have crossed return, the last one first.
type Move struct {
	Carrier  string
	From, To string
	Start    time.Duration
	Span     time.Duration
	Pace     float64
	Back     time.Duration
}

// share of a span in which flights cross; what is left is for connections that are still to follow.
const crossing = 0.75

// Position is where a flight stands in the order in which flights cross, from 0 to under 1.
func Position(flight uint64) float64 {
	return float64(Mix(flight)>>11) / (1 << 53)
}

// Mix spreads a key over all bits (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Crossed tells whether a flight belongs in the cell To at a time, and since when it belongs where it does. It
// follows from move and clock alone, so balancers agree but for the difference of their clocks.
func (m *Move) Crossed(now time.Duration, flight uint64) (crossed bool, since time.Duration) {
	at := m.Start + time.Duration(Position(flight)*crossing*float64(m.Span))
	switch {
	case now < at || m.Back > 0 && m.Back <= at:
		return false, math.MinInt64
	case m.Back <= 0 || now < m.Back:
		return true, at
	}
	home := m.Back + min(m.Back, m.Start+time.Duration(crossing*float64(m.Span))) - at // what crossed last is back first
	if now >= home {
		return false, home
	}
	return true, at
}

// End is when the last flight has crossed, or is back, and the time for connections to follow has passed.
func (m *Move) End() time.Duration {
	if m.Back > m.Start {
		return m.Back + min(m.Back-m.Start, m.Span)
	}
	return m.Start + m.Span
}

// Problem is what is wrong with a plan: the block and attribute at fault, as the operator's file names them.
type Problem struct {
	Block, Label string // "" for the plan itself
	Attribute    string // "" for the whole block
	Reason       string
}

func (p Problem) Error() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", p.Block, p.Label, p.Attribute)) + ": " + p.Reason
}

// Bounds of a plan: each cell has a decision module of its own, in each balancer's memory; each request is held
// against all ranges of flights.
const mostCells, mostFlights = 256, 1024

// Check tells everything that is wrong with a plan.
func (p *Plan) Check() (all []Problem) {
	if len(p.Cells) == 0 {
		if len(p.Moves) > 0 {
			all = append(all, Problem{"move", p.Moves[0].Carrier, "", "there are no cells"})
		}
		return all
	}
	c := &checker{names: map[string]*Cell{}, carriers: map[string]string{}, numbers: map[int]string{}, words: map[string]string{}}
	if len(p.Cells) > mostCells {
		c.say("", "", "", "%d cells; at most %d", len(p.Cells), mostCells)
	}
	for i := range p.Cells {
		c.cell(&p.Cells[i])
	}
	if len(c.flights) > mostFlights {
		c.say("", "", "", "%d keys or ranges of flights; at most %d", len(c.flights), mostFlights)
	}
	if p.Default == "" {
		c.say("", "", "default", "no default cell is named")
	} else if c.names[p.Default] == nil {
		c.say("", "", "default", "there is no cell %q", p.Default)
	}
	if !(p.Slack >= 0 && p.Slack <= 1) {
		c.say("", "", "slack", "want a figure from 0 to 1")
	}
	if p.Keep < 0 || p.Keep > 24*time.Hour {
		c.say("", "", "keep", "want a span of 0s to 24h")
	}
	if c.shares > 1+1e-9 {
		c.say("cell", p.Cells[len(p.Cells)-1].Name, "share", "the shares of all cells come to %.4g, over 1", c.shares)
	}
	for i := range p.Cells {
		c.overflow(&p.Cells[i])
	}
	c.moves(p)
	return c.all
}

type checker struct {
	all      []Problem
	names    map[string]*Cell
	carriers map[string]string
	numbers  map[int]string
	words    map[string]string // rooms, kinds and ids, each with a letter in front
	flights  []owned
	shares   float64
}

type owned struct {
	Range
	cell string
}

func (c *checker) say(block, label, attribute, format string, args ...any) {
	c.all = append(c.all, Problem{block, label, attribute, fmt.Sprintf(format, args...)})
}

func (c *checker) cell(cell *Cell) {
	say := func(attribute, format string, args ...any) { c.say("cell", cell.Name, attribute, format, args...) }
	if !plain(cell.Name) {
		say("", "want a name of 1 to 40 letters, digits, dashes and underscores")
	}
	if c.names[cell.Name] != nil {
		say("", "a second cell of this name")
	}
	c.names[cell.Name] = cell
	for _, carrier := range cell.Carriers {
		if other, taken := c.carriers[carrier]; taken {
			say("carriers", "carrier %q is in cell %q too", carrier, other)
		}
		c.carriers[carrier] = cell.Name
	}
	for _, r := range cell.Flights {
		for _, o := range c.flights {
			if r.Low <= o.High && o.Low <= r.High {
				say("flights", "flight %x is in cell %q too", max(r.Low, o.Low), o.cell)
			}
		}
		c.flights = append(c.flights, owned{r, cell.Name})
	}
	for _, n := range cell.Numbers {
		if other, taken := c.numbers[n]; taken {
			say("numbers", "number %d is in cell %q too", n, other)
		}
		c.numbers[n] = cell.Name
	}
	for attribute, words := range map[string][]string{"rooms": cell.Rooms, "kinds": cell.Kinds, "ids": cell.IDs} {
		for _, w := range words {
			if other, taken := c.words[attribute+w]; taken {
				say(attribute, "%q is in cell %q too", w, other)
			}
			c.words[attribute+w] = cell.Name
		}
	}
	if !cell.matches() && cell.Share == 0 {
		say("", "an empty cell: no share, numbers, rooms, kinds or ids")
	}
	if !(cell.Share >= 0 && cell.Share <= 1) {
		say("share", "want a figure from 0 to 1")
	} else {
		c.shares += cell.Share
	}
	if cell.Connections < 0 {
		say("connections", "want a figure above 0")
	}
	if !(cell.OpensPerSecond >= 0 && cell.OpensPerSecond < 1e9) {
		say("opens_per_second", "want a figure above 0")
	}
	if cell.Guests < 0 || cell.Connections > 0 && cell.Guests >= cell.Connections {
		say("guests", "want a figure from 0 to under the cell's connections, or its own room is gone")
	}
}

func (cell *Cell) matches() bool {
	return len(cell.Numbers)+len(cell.Rooms)+len(cell.Kinds)+len(cell.IDs) > 0
}

func (c *checker) overflow(cell *Cell) {
	if cell.OverflowTo == "" {
		return
	}
	say := func(format string, args ...any) { c.say("cell", cell.Name, "overflow_to", format, args...) }
	to := c.names[cell.OverflowTo]
	switch {
	case to == nil:
		say("there is no cell %q", cell.OverflowTo)
		return
	case to.Guests == 0:
		say("cell %q takes no guests", to.Name)
	}
	for seen := 0; to != nil; to = c.names[to.OverflowTo] {
		if to == cell {
			say("an overflow circle")
			return
		}
		if seen++; seen > len(c.names) {
			return // a circle of others, told there
		}
	}
}

func (c *checker) moves(p *Plan) {
	moved := map[string]bool{}
	for i := range p.Moves {
		m := &p.Moves[i]
		say := func(attribute, format string, args ...any) { c.say("move", m.Carrier, attribute, format, args...) }
		if moved[m.Carrier] {
			say("", "a second move of this carrier")
		}
		moved[m.Carrier] = true
		home := cmp.Or(c.carriers[m.Carrier], p.Default)
		switch {
		case c.names[m.From] == nil:
			say("from", "there is no cell %q", m.From)
		case home != m.From:
			say("from", "carrier %q is in cell %q", m.Carrier, home)
		}
		if c.names[m.To] == nil {
			say("to", "there is no cell %q", m.To)
		} else if m.To == m.From {
			say("to", "from and to are the same cell")
		}
		if m.Span < time.Second || m.Span > 7*24*time.Hour {
			say("span", "want a span of 1 s to 168 h")
		}
		if !(m.Pace >= 0 && m.Pace < 1e9) {
			say("pace", "want a figure above 0")
		}
		if m.Back != 0 && m.Back <= m.Start {
			say("back", "it is not after the start")
		}
	}
}

func plain(name string) bool {
	for _, c := range []byte(name) {
		if c != '-' && c != '_' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(name) > 0 && len(name) <= 40
}

// home is where a plan has a carrier's flight at a time. In a move, other is the move's other cell, in which
// connections of the flight may still stand.
func (p *Plan) home(now time.Duration, carrier string, flight uint64) (home, other string, since time.Duration) {
	for i := range p.Cells {
		for _, r := range p.Cells[i].Flights {
			if r.Low <= flight && flight <= r.High {
				return p.Cells[i].Name, "", 0
			}
		}
	}
	for i := range p.Moves {
		if m := &p.Moves[i]; m.Carrier == carrier {
			crossed, since := m.Crossed(now, flight)
			if crossed {
				return m.To, m.From, since
			}
			return m.From, m.To, since
		}
	}
	if p.Given != nil {
		if cell, ok := p.Given(now, carrier, flight); ok && slices.ContainsFunc(p.Cells, func(c Cell) bool { return c.Name == cell }) {
			return cell, "", 0
		}
	}
	for i := range p.Cells {
		if slices.Contains(p.Cells[i].Carriers, carrier) {
			return p.Cells[i].Name, "", 0
		}
	}
	return p.Default, "", 0
}

// Home tells in which cell a carrier's flight belongs at a time.
func (p *Plan) Home(now time.Duration, carrier string, flight uint64) string {
	home, _, _ := p.home(now, carrier, flight)
	return home
}

// Deal tells the cell of each desk host, alike at every balancer: it depends on the plan and on the ids, rooms, kinds
// and numbers listed, and on nothing else. Hosts that a cell names are its own, the earlier cell's first. The rest is
// dealt by share: of all pairs of host and cell the one of least cost (weighted rendezvous) is taken first, and each
// cell takes up to its quota (largest remainder) and a little over (Slack), of each room and kind no more than its
// share of that, so that it is spread over both. A host more or less displaces others only where a cell is full, and
// each only by a better pair, so that chains of displacement end soon. Without shares the rest is the default cell's.
func (p *Plan) Deal(hosts []policy.Server) map[string]string {
	out := make(map[string]string, len(hosts))
	var rest []policy.Server
	for _, h := range hosts {
		i := slices.IndexFunc(p.Cells, func(c Cell) bool {
			return slices.Contains(c.IDs, h.ID) || slices.Contains(c.Numbers, h.Cell) ||
				slices.Contains(c.Rooms, h.Zone) || slices.Contains(c.Kinds, h.Kind)
		})
		if i >= 0 {
			out[h.ID] = p.Cells[i].Name
		} else {
			rest = append(rest, h)
		}
	}
	slices.SortFunc(rest, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	p.dealShares(rest, out)
	return out
}

type pair struct {
	cost       float64
	host, cell int32
}

// dealShares deals out hosts that are in order of their ids.
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
	type stratum struct{ room, kind string }
	strata, size := map[stratum]int{}, []int{}
	of := make([]int, len(hosts))
	for i, h := range hosts {
		s, known := strata[stratum{h.Zone, h.Kind}]
		if !known {
			s = len(strata)
			strata[stratum{h.Zone, h.Kind}] = s
			size = append(size, 0)
		}
		of[i] = s
		size[s]++
	}
	over := func(j, n int) int { // a cell's part of n hosts, and a little over, rounded up
		return int(math.Ceil(p.Cells[j].Share/sum*float64(n)*(1+p.Slack) - 1e-9))
	}
	quota, most := p.quotas(len(hosts), sum), make([][]int, len(p.Cells))
	pairs := make([]pair, 0, len(hosts)*len(p.Cells))
	for j, c := range p.Cells {
		quota[j] = max(quota[j], over(j, len(hosts))-1)
		for _, n := range size {
			most[j] = append(most[j], over(j, n))
		}
		for i, h := range hosts {
			if c.Share > 0 {
				pairs = append(pairs, pair{Cost(h.ID, c), int32(i), int32(j)})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if a.cost != b.cost {
			return cmp.Compare(a.cost, b.cost)
		}
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.cell, b.cell))
	})
	dealt, left := make([]bool, len(hosts)), len(hosts)
	for _, strict := range []bool{true, false} { // where rooms and kinds leave no other way, quotas alone count
		for _, pr := range pairs {
			if left == 0 {
				return
			}
			if dealt[pr.host] || quota[pr.cell] == 0 || strict && most[pr.cell][of[pr.host]] == 0 {
				continue
			}
			dealt[pr.host] = true
			out[hosts[pr.host].ID] = p.Cells[pr.cell].Name
			most[pr.cell][of[pr.host]]--
			quota[pr.cell]--
			left--
		}
	}
}

// quotas are how many of n hosts each cell gets, by largest remainder; of equal ones the earlier cell's first.
func (p *Plan) quotas(n int, sum float64) []int {
	out, order, left := make([]int, len(p.Cells)), make([]int, len(p.Cells)), n
	part := func(i int) float64 { return p.Cells[i].Share / sum * float64(n) }
	for i := range out {
		out[i], order[i] = int(part(i)+1e-9), i
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

// Cost is what it costs to deal a host to a cell: the score of weighted rendezvous, the lower the better.
func Cost(host string, c Cell) float64 { return -math.Log(unit(host, c.Name)) / c.Share }

// unit is a number over 0 and under 1 for a host and a cell.
func unit(host, cell string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(cell))
	return (float64(Mix(h.Sum64())>>11) + 0.5) / (1 << 53)
}
