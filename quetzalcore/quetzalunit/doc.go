// Package quetzalunit names the identifiers and units that the tables, systems
// and adapters share. A value that names something or measures something has a
// type here, so that a pool cannot be passed where a host is meant, nor slots
// where a percentage is meant. Spans of time are time.Duration.
package quetzalunit
