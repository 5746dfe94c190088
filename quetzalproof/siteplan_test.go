package quetzalproof

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"quetzalstair/platform/quetzalplatformstandin"
	"quetzalstair/quetzalcore/quetzalunit"
)

// siteSource draws the faults of a day on a fleet of siteShape: series around takeovers of one pool, and single faults
// beside them.
type siteSource struct {
	*faultSource
	list []plannedFault
	day  time.Duration
}

// planSite draws the faults of a day: a series after the other for each pool, and single faults.
func planSite(rng *rand.Rand, spec *rigSpec, day time.Duration) []plannedFault {
	const quietStart, longestPause = 3 * time.Second, 3 * time.Second
	s := &siteSource{faultSource: newFaultSource(rng, spec), day: day}
	s.meanPause += longestPause / 2
	s.addAtSite(time.Second, 0, s.wave())
	if rng.IntN(2) == 0 {
		s.addAtSite(quietStart, day, entryShort{On: time.Duration(8+rng.IntN(12)) * time.Millisecond, Off: time.Duration(8+rng.IntN(20)) * time.Millisecond})
	}
	s.addRestarts(quietStart, spec.pools[rng.IntN(len(spec.pools))])
	for _, pool := range spec.pools {
		for at := quietStart + s.upTo(longestPause); at < day; at += 2500*time.Millisecond + s.upTo(2*longestPause) {
			if s.chance(20) {
				s.addRestarts(at, pool)
			} else {
				s.addTakeovers(at, pool)
			}
		}
	}
	s.addBlackout(quietStart + s.upTo(day))
	s.list = append(s.list, s.plan(day)...)
	return s.withinDay()
}

// withinDay returns the faults of the day in the order of their times.
func (s *siteSource) withinDay() []plannedFault {
	for i := range s.list {
		s.list[i].Length = min(s.list[i].Length, max(0, s.day-s.list[i].At))
	}
	s.list = slices.DeleteFunc(s.list, func(p plannedFault) bool { return p.At >= s.day })
	slices.SortStableFunc(s.list, func(a, b plannedFault) int { return int(a.At - b.At) })
	return s.list
}

func (s *siteSource) add(at, length time.Duration, f soakFault) {
	s.list = append(s.list, plannedFault{At: max(0, at), Length: length, Fault: f})
}

func (s *siteSource) addAtSite(at, length time.Duration, f siteFault) { s.add(at, length, atSite{f}) }

func (s *siteSource) chance(percent int) bool { return s.rng.IntN(100) < percent }

// upTo draws a time.
func (s *siteSource) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}

// wave draws a wave over about half of the hosts.
func (s *siteSource) wave() siteFault {
	return waveRequested{Minions: s.rng.Perm(s.minions)[:s.minions/2], Limit: 27 * time.Second, AtOnce: 2 + s.rng.IntN(5)}
}

// addBlackout adds the loss of all entries at once. They come back about when the store does, or while the records of many
// minions have lapsed, so that their first list of minions has only some of those that are up.
func (s *siteSource) addBlackout(at time.Duration) {
	length := 4500*time.Millisecond + s.upTo(4*time.Second)
	if s.chance(50) {
		s.add(at, length, storeDisturbed{Fault: s.outage()})
	} else {
		for _, pool := range s.pools {
			cutFromStore := poolDisturbed{Pool: pool, Share: s.rng.Float64(), Fault: quetzalplatformstandin.CutFromStore{}, Seed: s.rng.Uint64()}
			s.addAtSite(at-s.upTo(time.Second), length+s.upTo(3*time.Second), cutFromStore)
		}
	}
	down := s.upTo(1500 * time.Millisecond)
	s.addAtSite(at+length-s.upTo(2*time.Second), 0, entriesEnded{Entries: s.rng.Perm(s.entries), Signal: syscall.SIGKILL, Down: down})
}

// addRestarts adds restarts of half the minions of a pool that polls reach late, as in issue 64.
func (s *siteSource) addRestarts(at time.Duration, pool quetzalunit.PoolID) {
	const restarts, period = 4, 2 * time.Second
	polls := quetzalplatformstandin.LatePolls{Share: 1, Delay: quetzalplatformstandin.Delay{Most: 400*time.Millisecond + s.upTo(300*time.Millisecond)}}
	s.addAtSite(at, restarts*period, s.shortJobs(pool))
	s.addAtSite(at, restarts*period, poolDisturbed{Pool: pool, Share: 1, Fault: polls, Seed: s.rng.Uint64()})
	for n := range restarts {
		down := quetzalplatformstandin.Delay{Least: 20 * time.Millisecond, Most: 200 * time.Millisecond}
		s.addAtSite(at+time.Duration(n)*period+s.upTo(period), 0, poolRestarted{Pool: pool, Share: 0.5, Down: down, Seed: s.rng.Uint64()})
	}
}

// shortJobs returns jobs of tasks that end soon.
func (s *siteSource) shortJobs(pool quetzalunit.PoolID) siteFault {
	return jobsBurst{Pool: pool, Shortest: 20 * time.Millisecond, Longest: 100 * time.Millisecond, Seed: s.rng.Uint64()}
}

// addTakeovers adds a series of faults around takeovers of a pool.
func (s *siteSource) addTakeovers(at time.Duration, pool quetzalunit.PoolID) {
	if s.chance(15) {
		length := 4*time.Second + s.upTo(5*time.Second)
		s.add(at, length, storeDisturbed{Fault: s.outage(), Entries: s.someEntries()})
		at += length - s.upTo(time.Second)
	}
	switch percent := s.rng.IntN(100); {
	case percent < 15:
		entries := s.rng.Perm(s.entries)[:1+s.rng.IntN(s.entries/2)]
		s.addAtSite(at-s.upTo(2*time.Second), 0, entriesEnded{Entries: entries, Signal: syscall.SIGTERM, Gap: time.Second, Down: s.upTo(1500 * time.Millisecond)})
	case percent < 17:
		s.addAtSite(at, 0, entriesEnded{Entries: s.rng.Perm(s.entries), Signal: syscall.SIGKILL, Down: s.upTo(1500 * time.Millisecond)})
	}
	if s.chance(30) {
		// The records of the minions lapse about when the pool changes hands.
		before := 4*time.Second + s.upTo(3*time.Second)
		s.addAtSite(at-before, before+s.upTo(4*time.Second), poolDisturbed{Pool: pool, Share: s.rng.Float64(), Fault: quetzalplatformstandin.CutFromStore{}, Seed: s.rng.Uint64()})
	}
	if s.chance(15) {
		s.addAtSite(at-s.upTo(2*time.Second), 2*time.Second+s.upTo(5*time.Second), jobsCanceled{Share: 0.2 + 0.3*s.rng.Float64(), Seed: s.rng.Uint64()})
	}
	for range 1 + s.rng.IntN(3) {
		length := 1500*time.Millisecond + s.upTo(4*time.Second)
		down := 300*time.Millisecond + s.upTo(3*time.Second)
		if s.chance(30) {
			s.addAtSite(at, length, dispatcherCut{Pool: pool, Links: linkKind(s.rng.IntN(3)), Fault: s.brokenLink()})
		} else {
			s.addAtSite(at, length, dispatcherEnded{Pool: pool, Kind: []endKind{stopped, stopped, killed, frozen}[s.rng.IntN(4)], Down: down})
		}
		for range s.rng.IntN(3) {
			s.add(at-time.Second+s.upTo(2*time.Second), length, s.besideTakeover(pool))
		}
		at += 700*time.Millisecond + s.upTo(2500*time.Millisecond)
	}
}

// outage draws a fault of the store that is down.
func (s *siteSource) outage() quetzalplatformstandin.StoreFault {
	switch s.rng.IntN(3) {
	case 0:
		return quetzalplatformstandin.StoreSilent{}
	case 1:
		return quetzalplatformstandin.StoreUnavailable{}
	default:
		return quetzalplatformstandin.StoreResets{}
	}
}

// besideTakeover draws a fault of the minions of a pool, its links or the hosts beside a takeover.
func (s *siteSource) besideTakeover(pool quetzalunit.PoolID) soakFault {
	share, seed := s.rng.Float64(), s.rng.Uint64()
	entries := s.rng.Perm(s.entries)[:1+s.rng.IntN(s.entries-1)]
	switch s.rng.IntN(11) {
	case 0, 1:
		return atSite{poolRestarted{Pool: pool, Share: share, Down: s.down(), Seed: seed}}
	case 2, 3:
		return atSite{poolCut{Pool: pool, Entries: entries, Share: share, Fault: s.brokenLink(), Seed: seed}}
	case 4:
		return atSite{poolDisturbed{Pool: pool, Share: share, Fault: quetzalplatformstandin.Unanswering{}, Seed: seed}}
	case 5:
		return atSite{poolDisturbed{Pool: pool, Share: share, Fault: s.lateCalls(), Seed: seed}}
	case 6:
		return atSite{poolDisturbed{Pool: pool, Share: share, Fault: s.unsoundMinion(), Seed: seed}}
	case 7:
		return atSite{hostsCut{Entries: entries, Fault: s.brokenLink()}}
	case 8:
		return atSite{minionsLeave{Minions: s.rng.Perm(s.minions)[:1+s.rng.IntN(s.minions/8)]}}
	case 9:
		from, to := zoneName(s.rng.IntN(s.zones)), zoneName(s.rng.IntN(s.zones))
		return linksDisturbed{Share: 1, From: from, To: to, Fault: s.brokenLink(), Seed: seed}
	default:
		return storeDisturbed{Fault: s.storeFault(), Entries: entries}
	}
}

// unsoundMinion draws a fault of minions that do not answer as they should.
func (s *siteSource) unsoundMinion() quetzalplatformstandin.MinionFault {
	switch s.rng.IntN(4) {
	case 0:
		return quetzalplatformstandin.Unanswering{}
	case 1:
		return quetzalplatformstandin.Frozen{}
	default:
		return quetzalplatformstandin.Unhealthy{Status: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}[s.rng.IntN(2)]}
	}
}

// brokenLink draws a fault of links.
func (s *siteSource) brokenLink() linkFault {
	switch s.rng.IntN(6) {
	case 0:
		return cut{}
	case 1:
		return cutRequests{}
	case 2:
		return cutAnswers{}
	case 3:
		return refusing{}
	case 4:
		return lossy{Share: 0.05 + 0.3*s.rng.Float64()}
	default:
		return delayed{Most: s.upTo(1500 * time.Millisecond)}
	}
}
