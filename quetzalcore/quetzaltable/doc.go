// Package quetzaltable stores entities in dense tables.
//
// A Table stores values of one struct type and returns a Row for each, a handle
// with a generation. The Row of a deleted entity is recognized as stale even if
// its slot is in use again, so that a late answer finds no entity rather than
// another one. A pointer returned by At is valid until the entity is deleted.
//
// Index maps keys to rows, Set collects rows and Timers orders deadlines. The
// zero value of each type is ready for use. None of them is safe for concurrent
// use: one goroutine owns a World and all of its tables.
package quetzaltable
