// Package quetzalworkpeer carries messages about the work of pools between entries over net/rpc,
// and relays calls to the store for entries that cannot reach it.
//
// A Server posts each message to the World as an input and waits for the reply. A Client
// uses the connections of package quetzalpeer.
package quetzalworkpeer
