// Command quetzalctl is the command-line client of the operators' API, which every entry
// of a fleet serves. When the outcome of a change is unknown, it sends the change to the
// next entry with the same ChangeId, so that the change takes effect at most once.
package main
