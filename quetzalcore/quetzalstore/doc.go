// Package quetzalstore is the client of the platform: its transactional table
// service, its list of hosts and its reboots, over HTTP with JSON.
//
// Every call ends with a StoreResult. An error of the network or of the platform
// is NoAnswer, because the call may have taken effect all the same.
package quetzalstore
