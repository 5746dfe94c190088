package quetzaltable

// Index maps keys to rows.
type Index[K comparable] struct {
	rows map[K]Row
}

// Put sets the row of a key.
func (x *Index[K]) Put(key K, row Row) {
	if x.rows == nil {
		x.rows = make(map[K]Row)
	}
	x.rows[key] = row
}

// Get returns the row of a key, or the zero Row.
func (x *Index[K]) Get(key K) Row {
	return x.rows[key]
}

// Delete removes a key.
func (x *Index[K]) Delete(key K) {
	delete(x.rows, key)
}

// Len returns the number of keys.
func (x *Index[K]) Len() int {
	return len(x.rows)
}

// Set is a set of rows that keeps the order of insertion.
type Set struct {
	members map[Row]struct{}
	order   []Row
}

// Add adds a row; adding it again has no effect.
func (s *Set) Add(row Row) {
	if _, ok := s.members[row]; ok {
		return
	}
	if s.members == nil {
		s.members = make(map[Row]struct{})
	}
	s.members[row] = struct{}{}
	s.order = append(s.order, row)
}

// Take empties the set and returns its rows in the order of insertion.
func (s *Set) Take() []Row {
	rows := s.order
	clear(s.members)
	s.order = nil
	return rows
}

// Len returns the number of rows.
func (s *Set) Len() int {
	return len(s.order)
}
