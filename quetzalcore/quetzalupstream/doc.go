// Package quetzalupstream sends attempts to minions over HTTP.
//
// The result tells what the World may conclude: NotSent only when no connection
// was obtained, Refused only on the minion's explicit word, Broken or TimedOut
// when the request may have run.
package quetzalupstream
