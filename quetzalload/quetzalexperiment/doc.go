// Package quetzalexperiment compares policies with the real systems on a virtual
// clock: each variant of an experiment gets the same arrivals and faults from the
// same seed, and a line in a table.
package quetzalexperiment
