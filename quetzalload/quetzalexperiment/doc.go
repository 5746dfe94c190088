// Package quetzalexperiment compares policies in simulations that run the production
// systems on a virtual clock. Each variant of an experiment gets the same arrivals and
// faults, generated from the same seed, and becomes a row of a table.
package quetzalexperiment
