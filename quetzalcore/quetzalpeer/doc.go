// Package quetzalpeer carries gossip and joins between entries with net/rpc.
//
// A Server hands each call to the World as an input and waits for the answer. A
// Client keeps one connection to each peer and opens it again after a failure.
package quetzalpeer
