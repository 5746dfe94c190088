// Command quetzalentry is the program that runs on every entry host. It serves callers
// and operators over HTTP, dispatches requests to minions and, while it holds the duty
// lease of its zone, carries out the zone's duties, such as host moves and maintenance
// waves.
//
// One actor owns the World. engine.go runs a tick for the inputs that have arrived,
// execute.go executes the commands that the tick returns, and serve.go opens the
// listeners and shuts them down in order.
package main
