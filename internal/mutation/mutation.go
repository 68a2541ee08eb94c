// Package mutation repeats a short correct sequence of messages with exactly one of them changed. It is pure: the
// caller defines what a message means, who receives it and what must hold afterwards. The cases are the same on each
// run, and each is identified by its index.
package mutation

import (
	"fmt"
	"iter"
	"regexp"
	"slices"
)

// Message is one message of a run. A run lists messages in the order in which they were received.
type Message struct {
	From, To string // names chosen by the caller
	Kind     string // chosen by the caller, to group cases
	Body     []byte
}

// Case is a run with one change.
type Case struct {
	Index   int
	Kind    string // kind of the changed message
	Change  string // what was changed
	Message int    // index of the changed message in the original run
	Run     []Message
}

// String identifies the case in the output of tests.
func (c Case) String() string {
	return fmt.Sprintf("case %d: %s %d %s", c.Index, c.Kind, c.Message, c.Change)
}

// Options limits the number of cases.
type Options struct {
	MaxPositions int // about how many positions of a message are cut or flipped, spread evenly; 0 for all
}

// boundaryNumbers replace each integer in a message.
var boundaryNumbers = []string{"0", "-1", "1", "9223372036854775807", "9223372036854775808", "1e99"}

var numberPattern = regexp.MustCompile(`-?\b\d+\b`)

// Cases yields each run with one change: a message dropped, doubled, moved after its successor or after all others, cut
// at a byte, with a bit flipped, with a number replaced by a boundary value, or delivered to another of the recipients
// and senders in the run.
func Cases(run []Message, options Options) iter.Seq[Case] {
	return func(yield func(Case) bool) {
		index := 0
		emit := func(i int, description string, messages []Message) bool {
			index++
			return yield(Case{Index: index - 1, Kind: run[i].Kind, Change: description, Message: i, Run: messages})
		}
		for i := range run {
			for _, c := range sequenceChanges(run, i) {
				if !emit(i, c.description, c.run) {
					return
				}
			}
			for c := range bodyChanges(run[i].Body, options) {
				changed := slices.Clone(run)
				changed[i].Body = c.body
				if !emit(i, c.description, changed) {
					return
				}
			}
		}
	}
}

// sequenceChange is a run in which the messages themselves are unchanged.
type sequenceChange struct {
	description string
	run         []Message
}

// sequenceChanges are the changes of message i that leave all bodies unchanged.
func sequenceChanges(run []Message, i int) []sequenceChange {
	without := slices.Delete(slices.Clone(run), i, i+1)
	out := []sequenceChange{{"dropped", without}, {"doubled", slices.Insert(slices.Clone(run), i, run[i])}}
	if i+1 < len(run) {
		out = append(out, sequenceChange{"after its successor", slices.Insert(slices.Clone(without), i+1, run[i])})
	}
	if i+2 < len(run) {
		out = append(out, sequenceChange{"after all others", append(slices.Clone(without), run[i])})
	}
	tried := map[string]bool{run[i].To: true, run[i].From: true}
	for _, m := range run {
		for _, other := range []string{m.From, m.To} {
			if !tried[other] {
				tried[other] = true
				changed := slices.Clone(run)
				changed[i].To = other
				out = append(out, sequenceChange{"delivered to " + other, changed})
			}
		}
	}
	return out
}

// bodyChange is a changed body.
type bodyChange struct {
	description string
	body        []byte
}

// bodyChanges yields the changes within a body.
func bodyChanges(content []byte, options Options) iter.Seq[bodyChange] {
	return func(yield func(bodyChange) bool) {
		step := 1
		if options.MaxPositions > 0 {
			step = max(len(content)/options.MaxPositions, 1)
		}
		for offset := 0; offset < len(content); offset += step {
			if !yield(bodyChange{fmt.Sprintf("cut at %d", offset), content[:offset]}) {
				return
			}
			flipped := slices.Clone(content)
			bit := offset / step % 8
			flipped[offset] ^= 1 << bit
			if !yield(bodyChange{fmt.Sprintf("bit %d of byte %d flipped", bit, offset), flipped}) {
				return
			}
		}
		for _, match := range numberPattern.FindAllIndex(content, -1) {
			for _, number := range boundaryNumbers {
				if number == string(content[match[0]:match[1]]) {
					continue
				}
				changed := slices.Concat(content[:match[0]], []byte(number), content[match[1]:])
				if !yield(bodyChange{fmt.Sprintf("number at %d is %s", match[0], number), changed}) {
					return
				}
			}
		}
	}
}
