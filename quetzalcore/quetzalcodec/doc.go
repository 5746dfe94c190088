// Package quetzalcodec translates between the types that systems decide on and
// the documents that cross a process boundary: rows of the table service,
// gossip and operators' views. It decides nothing.
package quetzalcodec
