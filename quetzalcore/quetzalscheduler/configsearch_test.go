package quetzalscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// contactTime is how long nothing may have kept an entry from the store for the bound on its configuration to hold.
	contactTime = 4 * time.Second
	// readableTime is how long the configuration can have been read for an entry that must not refuse calls for its age.
	readableTime = 2 * time.Second
)

// configSearch runs a fleet whose configuration grows while random entries fail to read it.
type configSearch struct {
	f *fleet
	// written is when the last queue was added, queue its prefix.
	written quetzalunit.Instant
	queue   string
	version quetzalunit.Version
	// troubledAt is when each entry was last kept from the store, unreadableAt when it last could not read the configuration.
	troubledAt, unreadableAt map[quetzalunit.EntryID]quetzalunit.Instant
}

// addQueue puts a configuration with one queue more into the store.
func (s *configSearch) addQueue() {
	s.version++
	cfg := testConfig()
	cfg.Version = s.version
	s.queue, s.written = fmt.Sprintf("/new%d/", s.version), s.f.now
	q := cfg.Queues[0]
	q.ID, q.PathPrefix = quetzalunit.QueueID(s.queue), s.queue
	cfg.Queues = append(cfg.Queues, q)
	s.f.store.revision++
	s.f.store.config, s.f.store.configRevision = &cfg, s.f.store.revision
}

// note notes which entries are kept from the store or from the configuration now.
func (s *configSearch) note() {
	for _, e := range s.f.entries {
		if !e.up || s.f.storeDown || !s.f.reaches(e.zone, storeZone) {
			s.troubledAt[e.id] = s.f.now
		}
		if e.watchFails || s.troubledAt[e.id] == s.f.now {
			s.unreadableAt[e.id] = s.f.now
		}
	}
}

// check asks an entry for the newest queue and judges the answer.
func (s *configSearch) check(t *rapid.T, e *entry) {
	if !e.up {
		return
	}
	sent := s.f.now
	late := sent.Sub(s.written) > configBound && sent.Sub(s.troubledAt[e.id]) > contactTime
	readable := sent.Sub(s.unreadableAt[e.id]) > readableTime
	answer := s.f.query(e, s.queue)
	if _, missing := answer.(quetzalwork.NoSuchQueue); missing && late {
		t.Fatalf("%v: %s knows no queue that was added %v before", sent, e.id, sent.Sub(s.written))
	}
	if readable && (isTooOld(answer) || !quetzalscheduler.Ready(e.world)) {
		t.Fatalf("%v: %s refuses calls though it could read the configuration for %v", sent, e.id, sent.Sub(s.unreadableAt[e.id]))
	}
}

// Guards against calls that are handled by an old configuration, and entries that refuse calls without need, under outages, cuts,
// restarts and reads of the configuration that fail, in series and overlapping.
func TestConfigurationsAreInForceInTimeUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newConfigFleet(rapid.IntRange(3, 18).Draw(t, "entries"))
		s := &configSearch{f: f, version: 1, troubledAt: make(map[quetzalunit.EntryID]quetzalunit.Instant), unreadableAt: make(map[quetzalunit.EntryID]quetzalunit.Instant)}
		s.addQueue()
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1:
				e.watchFails = !e.watchFails
			case 2:
				s.addQueue()
			case 3:
				f.storeDown = !f.storeDown
			case 4:
				f.partitionedZones[e.zone] = !f.partitionedZones[e.zone]
			case 5:
				e.kill()
				e.start()
				e.world.Bounds.ConfigApply = configBound
				s.troubledAt[e.id] = f.now
			default:
				f.storeDown = false
				clear(f.partitionedZones)
			}
			for range rapid.IntRange(1, 6).Draw(t, "checks") {
				s.note()
				s.check(t, f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "asked")])
			}
		}
	})
}
