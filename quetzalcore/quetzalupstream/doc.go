// Package quetzalupstream sends attempts to minions over HTTP.
//
// The result says whether the request may have run. It is NotSent only when there was no
// connection to the minion, and Refused only when the minion replied that the request did not
// run. ConnectionFailed and TimedOut mean that the request may have run.
package quetzalupstream
