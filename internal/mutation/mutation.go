// Package mutation plays a short correct run of messages again with exactly one of them changed. It is pure: what a message
// means, who takes it and what must hold afterwards is the caller's. Cases are the same at each run and named by an index.
package mutation

import (
	"fmt"
	"iter"
	"regexp"
	"slices"
)

// Message is one message of a run, in the order in which they were taken.
type Message struct {
	From, To string // whoever the caller names so
	Kind     string // of message
	Body     []byte
}

// Case is a run with one change.
type Case struct {
	Index   int
	Kind    string // of the message that was changed
	Change  string // what was done to it
	Message int    // which one, from 0
	Run     []Message
}

func (c Case) String() string {
	return fmt.Sprintf("case %d: %s %d %s", c.Index, c.Kind, c.Message, c.Change)
}

// Options is what a message may be changed to beside what holds for any bytes.
type Options struct {
	MaxPositions int // at most so many places of a message are cut or flipped, spread evenly; 0 for all
}

// edges are put in place of each whole number.
var edges = []string{"0", "-1", "1", "9223372036854775807", "9223372036854775808", "1e99"}

var number = regexp.MustCompile(`-?\b\d+\b`)

// Cases yields each run with one change: a message dropped, doubled, after its successor, after all others, cut at a byte,
// with a bit flipped, with a number at an edge, or taken by another of those that the run names.
func Cases(run []Message, t Options) iter.Seq[Case] {
	return func(yield func(Case) bool) {
		index := 0
		give := func(i int, change string, messages []Message) bool {
			index++
			return yield(Case{Index: index - 1, Kind: run[i].Kind, Change: change, Message: i, Run: messages})
		}
		for i := range run {
			for _, c := range orders(run, i) {
				if !give(i, c.change, c.run) {
					return
				}
			}
			for c := range bodies(run[i].Body, t) {
				changed := slices.Clone(run)
				changed[i].Body = c.body
				if !give(i, c.change, changed) {
					return
				}
			}
		}
	}
}

type order struct {
	change string
	run    []Message
}

// orders are the changes that leave each message as it is.
func orders(run []Message, i int) []order {
	without := slices.Delete(slices.Clone(run), i, i+1)
	out := []order{{"dropped", without}, {"doubled", slices.Insert(slices.Clone(run), i, run[i])}}
	if i+1 < len(run) {
		out = append(out, order{"after its successor", slices.Insert(slices.Clone(without), i+1, run[i])})
	}
	if i+2 < len(run) {
		out = append(out, order{"after all others", append(slices.Clone(without), run[i])})
	}
	seen := map[string]bool{run[i].To: true, run[i].From: true}
	for _, m := range run {
		for _, other := range []string{m.From, m.To} {
			if !seen[other] {
				seen[other] = true
				changed := slices.Clone(run)
				changed[i].To = other
				out = append(out, order{"taken by " + other, changed})
			}
		}
	}
	return out
}

type body struct {
	change string
	body   []byte
}

// bodies are the changes within a message.
func bodies(text []byte, t Options) iter.Seq[body] {
	return func(yield func(body) bool) {
		step := 1
		if t.MaxPositions > 0 {
			step = max(len(text)/t.MaxPositions, 1)
		}
		for at := 0; at < len(text); at += step {
			if !yield(body{fmt.Sprintf("cut at %d", at), text[:at]}) {
				return
			}
			flipped := slices.Clone(text)
			bit := at / step % 8
			flipped[at] ^= 1 << bit
			if !yield(body{fmt.Sprintf("bit %d of byte %d flipped", bit, at), flipped}) {
				return
			}
		}
		for _, place := range number.FindAllIndex(text, -1) {
			for _, edge := range edges {
				if edge == string(text[place[0]:place[1]]) {
					continue
				}
				changed := slices.Concat(text[:place[0]], []byte(edge), text[place[1]:])
				if !yield(body{fmt.Sprintf("number at %d is %s", place[0], edge), changed}) {
					return
				}
			}
		}
	}
}
