package quetzalproof

import (
	"math/rand/v2"
	"syscall"
	"time"

	"quetzalstair/platform/quetzalplatformstandin"
	"quetzalstair/quetzalcore/quetzalunit"
)

// planLarge draws the faults of a day on a fleet of largeShape: series of each kind that overlap, and the loss of all entries
// beside them.
func planLarge(rng *rand.Rand, spec *rigSpec, day time.Duration) []plannedFault {
	const quietStart, longestPause, closing = 3 * time.Second, 4 * time.Second, 7 * time.Second
	s := &siteSource{faultSource: newFaultSource(rng, spec), day: day}
	for n := range 2 {
		s.addAtSite(time.Second+time.Duration(n)*day/2, 0, s.wave())
	}
	for _, pool := range spec.pools {
		for at := quietStart + s.upTo(longestPause); at < day; at += 3*time.Second + s.upTo(2*longestPause) {
			switch percent := rng.IntN(100); {
			case percent < 10:
				s.addRestarts(at, pool)
			case percent < 40:
				s.addWithdrawals(at, pool)
			default:
				s.addTakeovers(at, pool)
			}
		}
	}
	for at := quietStart + s.upTo(longestPause); at < day; at += longestPause + s.upTo(2*longestPause) {
		s.addZoneCut(at)
	}
	for at := quietStart + s.upTo(longestPause); at < day; at += longestPause + s.upTo(2*longestPause) {
		s.addStoreTrouble(at)
	}
	s.addPowerLoss(day - s.upTo(closing))
	if s.chance(40) {
		s.addPowerLoss(quietStart + s.upTo(day))
	}
	return s.withinDay()
}

// addZoneCut adds a cut of one zone or two from the others while many tasks are at work, with takeovers of some pools meanwhile.
func (s *siteSource) addZoneCut(at time.Duration) {
	f := zonesCut{OneWay: s.chance(30), Fault: s.brokenLink()}
	for _, zone := range s.rng.Perm(s.zones)[:1+s.rng.IntN(2)] {
		f.Zones = append(f.Zones, zoneName(zone))
	}
	if s.chance(50) {
		f.Fault = cut{}
	}
	if s.chance(40) {
		f.Store = withZones + storeSide(s.rng.IntN(2))
	}
	length := 2*time.Second + s.upTo(4*time.Second)
	s.addAtSite(at, length, f)
	for _, pool := range s.rng.Perm(len(s.pools))[:s.rng.IntN(3)] {
		s.addAtSite(at-time.Second, length, jobsBurst{Pool: s.pools[pool], Shortest: 200 * time.Millisecond, Longest: time.Second, Seed: s.rng.Uint64()})
		s.addTakeovers(at+s.upTo(length), s.pools[pool])
	}
	if s.chance(30) {
		s.addLateFeed(at + s.upTo(length))
	}
}

// addStoreTrouble adds faults of the store: it is slow, silent or refuses some entries, loses answers, or its feed falls behind until
// its history is discarded.
func (s *siteSource) addStoreTrouble(at time.Duration) {
	length := 2*time.Second + s.upTo(4*time.Second)
	if s.chance(50) {
		s.addLateFeed(at + s.upTo(length))
	}
	s.add(at, length, storeDisturbed{Fault: s.storeTrouble(), Entries: s.someEntries()})
	if s.chance(50) {
		s.add(at+s.upTo(length), length, storeDisturbed{Fault: s.slowStore()})
	}
}

// addLateFeed adds a feed that falls behind until the history is discarded, often while pools change hands: the successor of a
// dispatcher that stops takes its pool over at once.
func (s *siteSource) addLateFeed(at time.Duration) {
	length := 800*time.Millisecond + s.upTo(1200*time.Millisecond)
	if s.chance(25) {
		length += s.upTo(4 * time.Second)
	}
	s.add(at, length, storeDisturbed{Fault: quetzalplatformstandin.FeedBehind{}})
	s.add(at+length, 0, historyCompacted{})
	for _, pool := range s.rng.Perm(len(s.pools))[:s.rng.IntN(3)] {
		down := 300*time.Millisecond + s.upTo(2*time.Second)
		s.addAtSite(at+s.upTo(length), 0, dispatcherEnded{Pool: s.pools[pool], Kind: stopped, Down: down})
	}
}

// storeTrouble draws a fault of the store.
func (s *siteSource) storeTrouble() quetzalplatformstandin.StoreFault {
	switch s.rng.IntN(5) {
	case 0:
		return s.outage()
	case 1:
		return quetzalplatformstandin.LostAnswers{Share: 0.05 + 0.4*s.rng.Float64()}
	case 2:
		return quetzalplatformstandin.LateWrites{Share: 0.05 + 0.3*s.rng.Float64(), Delay: quetzalplatformstandin.Delay{Least: time.Second, Most: 6 * time.Second}}
	default:
		return s.slowStore()
	}
}

func (s *siteSource) slowStore() quetzalplatformstandin.StoreFault {
	least := s.upTo(200 * time.Millisecond)
	return quetzalplatformstandin.SlowStore{Delay: quetzalplatformstandin.Delay{Least: least, Most: least + 100*time.Millisecond + s.upTo(700*time.Millisecond)}}
}

// addWithdrawals adds minions of a pool that leave or are replaced while their ends are not acknowledged, since the store is slow,
// and takeovers of the pool.
func (s *siteSource) addWithdrawals(at time.Duration, pool quetzalunit.PoolID) {
	length := 3*time.Second + s.upTo(3*time.Second)
	s.add(at, length, storeDisturbed{Fault: s.slowStore()})
	s.addAtSite(at, length, s.shortJobs(pool))
	if s.chance(60) {
		s.addAtSite(at+s.upTo(time.Second), length, poolDisturbed{Pool: pool, Share: s.rng.Float64(), Fault: s.lateCalls(), Seed: s.rng.Uint64()})
	}
	for range 1 + s.rng.IntN(3) {
		s.addAtSite(at+s.upTo(length), 0, poolLeaves{Pool: pool, Share: 0.05 + 0.2*s.rng.Float64(), Replaced: s.chance(50), Seed: s.rng.Uint64()})
	}
	s.addTakeovers(at+s.upTo(length), pool)
}

// addPowerLoss adds the loss of all entries at once beside a fault of the store or a cut, while minions stay up.
func (s *siteSource) addPowerLoss(at time.Duration) {
	down := 300*time.Millisecond + s.upTo(2*time.Second)
	if s.chance(25) {
		down += s.upTo(8 * time.Second)
	}
	if s.chance(50) {
		s.addStoreTrouble(at - s.upTo(2*time.Second))
	} else {
		s.addZoneCut(at - s.upTo(2*time.Second))
	}
	s.addAtSite(at, 0, entriesEnded{Entries: s.rng.Perm(s.entries), Signal: syscall.SIGKILL, Down: down, PowerOff: s.chance(50)})
}
