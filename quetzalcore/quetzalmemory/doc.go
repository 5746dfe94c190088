// Package quetzalmemory is an in-memory table service with transactions that
// are conditional on the revisions of rows. The stand-in platform serves it over
// HTTP; tests and simulations call it directly.
package quetzalmemory
