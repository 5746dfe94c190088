// Package quetzalfront implements the HTTP interfaces of an entry: CallerAPI serves
// the requests of callers, OperatorAPI the administration API.
//
// A handler validates the syntax of a request, posts it to the World as an input
// and writes the result. Decisions on queues, hosts and budgets are left to the
// World, so that another front end can use the same World.
package quetzalfront
