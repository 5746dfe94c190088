// Command quetzalstandin simulates, for tests and demonstrations, the systems around
// quetzalstair: the platform (transactional table service, object store, list of hosts,
// reboots) and the minions, which run work in slots. Faults are injected over an admin port.
// Minions record every run, and tests compare the answers to callers with these records.
package main
