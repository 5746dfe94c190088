package quetzaltable

import "iter"

const (
	chunkBits = 8
	chunkSize = 1 << chunkBits
	chunkMask = chunkSize - 1
	reuseBits = 32
	slotMask  = 1<<reuseBits - 1
)

// Row identifies an entity of a Table. The zero Row identifies none.
type Row uint64

type slot[E any] struct {
	entity E
	// reuse is odd while the slot is in use and grows with every insertion and deletion.
	reuse uint32
}

// Table is a dense table of entities.
type Table[E any] struct {
	// chunks never move, so that pointers to entities stay valid.
	chunks []*[chunkSize]slot[E]
	// free holds the numbers of slots that are not in use, below used.
	free []uint32
	// used is the number of slots that were ever in use.
	used uint32
	n    int
}

// Insert adds an entity and returns its row.
func (t *Table[E]) Insert(entity E) Row {
	i := t.takeSlot()
	s := t.slot(i)
	s.reuse++
	s.entity = entity
	t.n++
	return Row(uint64(s.reuse)<<reuseBits | uint64(i))
}

func (t *Table[E]) takeSlot() uint32 {
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

// At returns the entity of a row, or nil when it was deleted.
func (t *Table[E]) At(row Row) *E {
	i := uint32(row & slotMask)
	if row == 0 || i >= t.used {
		return nil
	}
	s := t.slot(i)
	if s.reuse != uint32(row>>reuseBits) {
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
	s.reuse++
	t.free = append(t.free, i)
	t.n--
}

// Len returns the number of entities.
func (t *Table[E]) Len() int {
	return t.n
}

// All yields every row with its entity, in the order of slots. The entity that
// is being visited may be deleted.
func (t *Table[E]) All() iter.Seq2[Row, *E] {
	return func(yield func(Row, *E) bool) {
		for i := range t.used {
			s := t.slot(i)
			if s.reuse&1 == 0 {
				continue
			}
			if !yield(Row(uint64(s.reuse)<<reuseBits|uint64(i)), &s.entity) {
				return
			}
		}
	}
}
