// Command quetzalstandin simulates, for tests and demonstrations, the systems around
// quetzalstair: the platform (transactional table service, object store, list of hosts,
// reboots) and the minions, which run work in slots. Faults are injected over an admin port.
// Minions record every run; tests compare what callers were answered with these records.
package main
