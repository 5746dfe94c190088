// Package quetzalfleet holds the entity tables of one entry and the World that
// owns them.
//
// A World changes only in a tick: the systems of package quetzalsystem apply the
// waiting Inputs to the tables and append Commands, which the entry program
// performs. Nothing here performs I/O, reads a clock or draws random numbers
// from outside: the same inputs, instants and seed give the same commands.
//
// What comes in (Input), what goes out (Command), what the table service stores
// (StoredRow) and what can be chosen in the settings (the policies) are sealed
// interfaces: a type switch names every case.
package quetzalfleet
