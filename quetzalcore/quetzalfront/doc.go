// Package quetzalfront is the HTTP front of an entry: Callers serves the
// requests of callers, Operators the administration API.
//
// A handler checks the form of a request, hands it to the World as an input and
// writes the answer that comes back. It decides nothing about queues, hosts or
// budgets, so that another front can use the same World.
package quetzalfront
