package placement

import "slices"

// state is a placement that is being changed, with the value of each host in it.
type state struct {
	*problem
	hostOf      []int32
	piecesOn    [][]int32 // pieces on each host
	hostWorth   []float64
	freeLoad    []float64 // load that still fits on each host
	total       float64
	flightStamp []int32 // of each flight: the stamp of the count in which it was last seen
	stamp       int32
	sorted      []int32     // buffer of byGainPerLoad
	touched     []int       // hosts that the current attempt changes
	saved       []float64   // hostWorth and freeLoad of each touched host before the attempt
	moves       []pieceMove // buffer of flightMoves
}

// pieceMove takes a piece from one host to another; either of them may be none.
type pieceMove struct {
	piece    int32
	from, to int32
}

func (p *problem) newState(hostOf []int32) *state {
	s := &state{problem: p, hostOf: slices.Clone(hostOf), piecesOn: make([][]int32, len(p.hostIndexes)),
		hostWorth: make([]float64, len(p.hostIndexes)), freeLoad: slices.Clone(p.usable),
		flightStamp: make([]int32, len(p.flightLoad))}
	for i, h := range hostOf {
		if h != none {
			s.piecesOn[h] = append(s.piecesOn[h], int32(i))
		}
	}
	for h := range s.piecesOn {
		s.revalue(h)
		s.total += s.hostWorth[h]
	}
	return s
}

func (s *state) revalue(h int) {
	value, d := s.hostValue(h, s.piecesOn[h])
	s.hostWorth[h], s.freeLoad[h] = value, d.freeLoad
}

// move makes a move without updating any values.
func (s *state) move(m pieceMove) {
	if m.from != none {
		pieces := s.piecesOn[m.from]
		i := slices.Index(pieces, m.piece)
		pieces[i] = pieces[len(pieces)-1]
		s.piecesOn[m.from] = pieces[:len(pieces)-1]
	}
	if m.to != none {
		s.piecesOn[m.to] = append(s.piecesOn[m.to], m.piece)
	}
	s.hostOf[m.piece] = m.to
}

// tryMoves makes moves, and takes them back unless they raise the value.
func (s *state) tryMoves(moves ...pieceMove) bool {
	s.touched, s.saved = s.touched[:0], s.saved[:0]
	for _, m := range moves {
		s.save(m.from)
		s.save(m.to)
		s.move(m)
	}
	delta := 0.0
	for i, h := range s.touched {
		s.revalue(h)
		delta += s.hostWorth[h] - s.saved[2*i]
	}
	if delta > tolerance*s.totalWorth {
		s.total += delta
		return true
	}
	s.undo(moves)
	return false
}

// save keeps the value of a host before the moves that are tried.
func (s *state) save(h int32) {
	if h != none && !slices.Contains(s.touched, int(h)) {
		s.touched = append(s.touched, int(h))
		s.saved = append(s.saved, s.hostWorth[h], s.freeLoad[h])
	}
}

func (s *state) undo(moves []pieceMove) {
	for _, m := range slices.Backward(moves) {
		s.move(pieceMove{m.piece, m.to, m.from})
	}
	for i, h := range s.touched {
		s.hostWorth[h], s.freeLoad[h] = s.saved[2*i], s.saved[2*i+1]
	}
}

// flightMoves returns the moves that bring all pieces of a flight to a host. They are valid until the next call.
func (s *state) flightMoves(n int, h int32) []pieceMove {
	s.moves = s.moves[:0]
	for i := s.firstPiece[n]; i < s.firstPiece[n+1]; i++ {
		if s.hostOf[i] != h {
			s.moves = append(s.moves, pieceMove{int32(i), s.hostOf[i], h})
		}
	}
	return s.moves
}
