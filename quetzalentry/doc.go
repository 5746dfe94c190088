// Command quetzalentry is the server of one entry. It serves callers and operators
// over HTTP, dispatches requests to minions, and carries out the zone's duties
// (host moves and maintenance waves) while it holds the zone's duty lease.
//
// One actor owns the World. engine.go runs a tick for the inputs that have arrived,
// execute.go executes the commands that the tick returns, and serve.go opens the
// listeners and shuts them down in order.
package main
