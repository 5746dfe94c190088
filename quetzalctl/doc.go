// Command quetzalctl drives a fleet from the command line. It speaks the
// operators' API of any entry; a change is sent again, with the same ChangeId
// and to the next entry, until one says whether it took effect.
package main
