// Package quetzalstore is the client of the platform's HTTP API: the transactional table
// service, the object store, the list of hosts and reboots. Bodies are JSON.
//
// Every call ends with a StoreResult. After a network error or an unexpected status it is
// NoAnswer, because the call may have taken effect.
package quetzalstore
