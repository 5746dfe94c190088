// Command quetzalstandin simulates, for tests and demonstrations, the systems
// that quetzalstair serves: the platform (transactional table service, list of
// hosts, reboots) and minions that run work in slots. Faults are switched on
// over an admin port. Minions log every run: their log is the ground truth.
package main
