// Package quetzallink carries messages about work between entries with net/rpc, and calls
// of the store for entries that do not reach it.
//
// A Server hands each message to the World as an input and waits for the reply. A Client
// shares the connections of package quetzalpeer.
package quetzallink
