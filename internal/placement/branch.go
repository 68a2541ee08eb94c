package placement

import (
	"cmp"
	"slices"
)

// maxOptions is the number of ways to place one flight up to which branch and bound is used.
const maxOptions = 4096

// branchAndBound searches all placements except those that cannot be better than the best, flight by flight, the
// largest first. It reports whether the search is complete, so that the best placement is proved optimal.
//
// Placing a flight lowers the bound by the difference between its highest value at the dual prices and its value in the
// chosen place. Where a host is full, and the gain per load at which it stops serving is at least the price of its room,
// the bound falls further, to the exact value of the host: pieces that are added later bring no more there than at the
// price, because the highest value that a host can serve is concave in what is placed on it.
func (s *search) branchAndBound(d *dual) (complete bool) {
	b := s.newBrancher(d)
	b.visit(0, d.bound(nil))
	return b.complete
}

// brancher is the state of branch and bound.
type brancher struct {
	*search
	dual     *dual
	current  *state     // the partial placement
	loss     []float64  // of each host: how far its exact value is below the bound
	options  [][]option // of each flight
	complete bool       // the search has left out nothing because of a limit
}

// option is a host for each piece of a flight, and its loss of value compared with the flight's bound.
type option struct {
	hosts []int32
	loss  float64
}

func (s *search) newBrancher(d *dual) *brancher {
	b := &brancher{search: s, dual: d, current: s.newState(s.emptyPlacement()),
		loss: make([]float64, len(s.hostIndexes)), complete: true}
	for n := range s.flightLoad {
		b.options = append(b.options, b.listOptions(n))
	}
	return b
}

// listOptions returns the options of a flight, the least loss first, or nil if there are too many.
func (b *brancher) listOptions(n int) (all []option) {
	pieces := b.pieces[b.firstPiece[n]:b.firstPiece[n+1]]
	bound := b.dual.flightBound(n, nil)
	count := choiceCount(len(pieces), len(b.hostIndexes), maxOptions)
	if count > maxOptions {
		b.complete = false
		return nil
	}
	for choice := range count {
		all = append(all, b.newOption(pieces, choice, bound))
	}
	slices.SortStableFunc(all, func(x, y option) int { return cmp.Compare(x.loss, y.loss) })
	return all
}

// newOption decodes one choice of hosts for the pieces of a flight with the given bound.
func (b *brancher) newOption(pieces []piece, choice int, bound float64) option {
	o := option{hosts: make([]int32, len(pieces))}
	value := 0.0
	for c, h := 0, 0; c < len(pieces); c++ {
		h, choice = decodeChoice(choice, len(b.hostIndexes))
		if o.hosts[c] = int32(h); h == none {
			continue
		}
		price := b.dual.price[b.hostRoom[h]]
		value += max(b.gain(&pieces[c], h)-price*pieces[c].load, 0)
		if !slices.Contains(o.hosts[:c], int32(h)) {
			value -= b.overhead[h] * (b.wastePerLoad + price)
		}
	}
	o.loss = max(bound-value, 0)
	return o
}

// visit tries all options of a flight and, for each of them, those of the flights after it.
func (b *brancher) visit(n int, bound float64) {
	if n == len(b.flightLoad) {
		if total := sum(b.current.hostWorth); total > b.bestValue+tolerance*b.totalWorth {
			b.best, b.bestValue = slices.Clone(b.current.hostOf), total
		}
		return
	}
	for _, o := range b.options[n] {
		if b.aborted() {
			return
		}
		if bound-o.loss <= b.bestValue+tolerance*b.totalWorth {
			return // the options that follow lose at least as much
		}
		b.steps++
		if b.isSymmetric(o.hosts) {
			continue
		}
		next := bound - o.loss
		saved := b.applyOption(n, o, &next)
		if next > b.bestValue+tolerance*b.totalWorth {
			b.visit(n+1, next)
		}
		b.revertOption(n, o, saved)
	}
}

// savedHost is the worth and loss of a host before a change.
type savedHost struct {
	host        int32
	worth, loss float64
}

// applyOption places a flight by an option, lowers the bound by the additional losses of its hosts, and returns their
// state before.
func (b *brancher) applyOption(n int, o option, bound *float64) (saved []savedHost) {
	for c, h := range o.hosts {
		if h != none {
			b.current.move(pieceMove{int32(b.firstPiece[n] + c), none, h})
		}
	}
	for c, h := range o.hosts {
		if h == none || slices.Contains(o.hosts[:c], h) {
			continue
		}
		saved = append(saved, savedHost{h, b.current.hostWorth[h], b.loss[h]})
		*bound += b.loss[h] - b.settleLoss(int(h))
	}
	return saved
}

// revertOption takes back what applyOption did.
func (b *brancher) revertOption(n int, o option, saved []savedHost) {
	for c, h := range slices.Backward(o.hosts) {
		if h != none {
			pieces := b.current.piecesOn[h]
			b.current.piecesOn[h] = pieces[:len(pieces)-1]
			b.current.hostOf[b.firstPiece[n]+c] = none
		}
	}
	for _, v := range saved {
		b.current.hostWorth[v.host], b.loss[v.host] = v.worth, v.loss
	}
}

// aborted reports whether a limit has ended the search, or the options of a flight are too many to list.
func (b *brancher) aborted() bool {
	if b.search.finished() {
		b.complete = false
	}
	return !b.complete
}

// settleLoss computes the value of a host with its pieces, and returns how far it is below the bound's value for the
// host.
func (b *brancher) settleLoss(h int) float64 {
	total, d := b.current.hostValue(h, b.current.piecesOn[h])
	b.current.hostWorth[h], b.loss[h] = total, 0
	price := b.dual.price[b.hostRoom[h]]
	if d.full && d.marginalGain >= price {
		overhead := float64(d.flights) * b.overhead[h]
		// The waste is deducted in full, as the gains contain the credit for the first host.
		bound := price*(b.usable[h]-overhead) - overhead*b.wastePerLoad
		for _, i := range b.current.piecesOn[h] {
			bound += max(b.gain(&b.pieces[i], h)-price*b.pieces[i].load, 0)
		}
		b.loss[h] = max(bound-total, 0)
	}
	return b.loss[h]
}

// isSymmetric reports whether an option uses an empty host although an interchangeable one before it is empty too. Such
// options only repeat others.
func (b *brancher) isSymmetric(hosts []int32) bool {
	for c, h := range hosts {
		if h == none || len(b.current.piecesOn[h]) > 0 || b.isCurrentHost[h] {
			continue
		}
		for other := int32(0); other < h; other++ {
			if b.interchangeable(other, h) && !slices.Contains(hosts[:c], other) {
				return true
			}
		}
	}
	return false
}

// interchangeable reports whether another host is empty and equal to h.
func (b *brancher) interchangeable(other, h int32) bool {
	return len(b.current.piecesOn[other]) == 0 && b.usable[other] == b.usable[h] &&
		b.hostRoom[other] == b.hostRoom[h] && b.overhead[other] == b.overhead[h] && !b.isCurrentHost[other]
}

func sum(all []float64) (total float64) {
	for _, x := range all {
		total += x
	}
	return total
}
