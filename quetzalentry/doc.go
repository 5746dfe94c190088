// Command quetzalentry is the program that runs on every entry host: the front
// of callers and operators, the dispatch of requests to minions, and the duties
// of its zone while it holds them.
//
// One actor owns the World. engine.go collects inputs and ticks it, perform.go
// performs the commands, serve.go opens the listeners and stops them in order.
package main
