// Package quetzalreserve decides which gap is kept for a large task that fits nowhere now, and
// until when. Small tasks would otherwise use each gap before it is wide enough.
//
// The decisions take plain values: what is free on a minion and when its runs are expected to end.
// They hold no state. A placement pass makes its reservations anew, so that one lapses with its
// task and needs no hand-over.
package quetzalreserve
