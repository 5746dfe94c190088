package quetzaltable

import "iter"

// A Row has the number of its slot in the lower 32 bits and the generation of the slot in the
// upper 32 bits. The lower 8 bits of a slot's number are its place within its chunk.
const (
	chunkBits = 8
	chunkSize = 1 << chunkBits
	chunkMask = chunkSize - 1
	slotBits  = 32
	slotMask  = 1<<slotBits - 1
)

// Row refers to an entity of a Table. The zero Row refers to none.
type Row uint64

type slot[E any] struct {
	entity E
	// generation is incremented by every insertion and deletion, so that it is odd while the slot
	// holds an entity.
	generation uint32
}

// Table is a dense table of entities.
type Table[E any] struct {
	// chunks are allocated once and never moved, so that pointers to entities stay valid.
	chunks []*[chunkSize]slot[E]
	// free lists the slots below used that hold no entity.
	free []uint32
	// used is the number of slots that have ever held an entity.
	used uint32
	// n is the number of entities.
	n int
}

// Insert adds an entity and returns its row.
func (t *Table[E]) Insert(entity E) Row {
	i := t.allocateSlot()
	s := t.slot(i)
	s.generation++
	s.entity = entity
	t.n++
	return Row(uint64(s.generation)<<slotBits | uint64(i))
}

func (t *Table[E]) allocateSlot() uint32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	if t.used&chunkMask == 0 {
		t.chunks = append(t.chunks, new([chunkSize]slot[E]))
	}
	t.used++
	return t.used - 1
}

func (t *Table[E]) slot(i uint32) *slot[E] {
	return &t.chunks[i>>chunkBits][i&chunkMask]
}

// At returns the entity of a row, or nil if there is none or if it was deleted.
func (t *Table[E]) At(row Row) *E {
	i := uint32(row & slotMask)
	if row == 0 || i >= t.used {
		return nil
	}
	s := t.slot(i)
	if s.generation != uint32(row>>slotBits) {
		return nil
	}
	return &s.entity
}

// Delete removes the entity of a row. A stale row is ignored.
func (t *Table[E]) Delete(row Row) {
	if t.At(row) == nil {
		return
	}
	i := uint32(row & slotMask)
	s := t.slot(i)
	var zero E
	s.entity = zero
	s.generation++
	t.free = append(t.free, i)
	t.n--
}

// Len returns the number of entities.
func (t *Table[E]) Len() int {
	return t.n
}

// All iterates over the rows and their entities in the order of slots, which is not that of
// insertion. The loop may delete the current entity.
func (t *Table[E]) All() iter.Seq2[Row, *E] {
	return func(yield func(Row, *E) bool) {
		for i := range t.used {
			s := t.slot(i)
			if s.generation&1 == 0 {
				continue
			}
			if !yield(Row(uint64(s.generation)<<slotBits|uint64(i)), &s.entity) {
				return
			}
		}
	}
}
