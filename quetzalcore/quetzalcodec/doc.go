// Package quetzalcodec converts between the types of the tables (quetzalfleet, quetzalwork) and the
// documents of quetzalwire: stored rows, messages between entries and replies to operators. It
// makes no decisions.
package quetzalcodec
