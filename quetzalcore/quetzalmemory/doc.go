// Package quetzalmemory is an in-memory table service with transactions that
// are conditional on the revisions of several rows. The stand-in of the platform
// serves it over HTTP; tests and experiments call it directly.
package quetzalmemory
