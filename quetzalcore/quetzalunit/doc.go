// Package quetzalunit defines the types of the identifiers and units that the
// tables, systems and adapters share. Every identifier and every quantity has a
// type of its own, so that a pool cannot be passed in place of a host, nor a
// number of slots in place of a percentage. Durations are time.Duration.
package quetzalunit
