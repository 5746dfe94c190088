// Package quetzalpeer carries gossip, forwarded requests and joins between entries over
// net/rpc. A join waits for the outcome of a request that another entry has claimed.
//
// A Server posts each call to the World as an input and waits for the answer. A Client keeps
// one connection to each peer and reconnects after a failure. Package quetzalworkpeer uses the
// same client and server for messages about the work of pools.
package quetzalpeer
