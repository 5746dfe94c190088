// Package quetzaltable stores entities in dense tables.
//
// A Table keeps rows of one struct type and hands out a Row for each. A Row
// stays valid until its entity is deleted, and is then recognised as stale, so
// that an answer which arrives late finds nothing instead of another entity.
// Pointers from At stay valid as long as the row does. Index finds rows by key
// and Timers orders deadlines. The zero value of each type is ready for use.
// None of them is safe for concurrent use: one goroutine owns a World.
package quetzaltable
