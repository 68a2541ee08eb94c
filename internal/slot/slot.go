// Package slot stores values in numbered slots. An ID contains the generation of its slot, so a stale ID finds nothing.
package slot

import "iter"

// ID is a slot's index and generation. The zero ID is never in use.
type ID uint64

func (id ID) index() int { return int(uint32(id)) }

// Table is a table of slots. The zero value is an empty table.
type Table[T any] struct {
	rows []row[T]
	free []int
}

type row[T any] struct {
	generation uint32 // odd while the slot is in use
	value      T
}

// Add stores a value in a free slot.
func (t *Table[T]) Add(value T) ID {
	if len(t.free) == 0 {
		t.free = append(t.free, len(t.rows))
		t.rows = append(t.rows, row[T]{})
	}
	i := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	r := &t.rows[i]
	r.generation++
	r.value = value
	return ID(r.generation)<<32 | ID(i)
}

// Get returns the value of an ID; ok is false if the ID is stale.
func (t *Table[T]) Get(id ID) (value T, ok bool) {
	if i := id.index(); i < len(t.rows) && id>>32&1 == 1 && t.rows[i].generation == uint32(id>>32) {
		return t.rows[i].value, true
	}
	return value, false
}

// Remove frees the slot of an ID. A stale ID is ignored.
func (t *Table[T]) Remove(id ID) {
	if _, ok := t.Get(id); ok {
		r := &t.rows[id.index()]
		r.generation++
		r.value = *new(T)
		t.free = append(t.free, id.index())
	}
}

// Len returns the number of slots in use.
func (t *Table[T]) Len() int { return len(t.rows) - len(t.free) }

// All yields the values in the order of their slots. Values may be removed during the iteration.
func (t *Table[T]) All() iter.Seq2[ID, T] {
	return func(yield func(ID, T) bool) {
		for i := range t.rows {
			if r := t.rows[i]; r.generation&1 == 1 && !yield(ID(r.generation)<<32|ID(i), r.value) {
				return
			}
		}
	}
}
