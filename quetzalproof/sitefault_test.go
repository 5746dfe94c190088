package quetzalproof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"quetzalstair/platform/quetzalplatformstandin"
	"quetzalstair/quetzalcore/quetzalunit"
)

// siteFault is a disturbance of a soak on a fleet of siteShape.
//
//sumtype:decl
type siteFault interface{ siteFault() }

// atSite is a siteFault among the faults of a day.
type atSite struct{ Fault siteFault }

func (atSite) soakFault() {}

// endKind is a way in which the rig takes an entry out of service.
type endKind int

const (
	stopped endKind = iota
	killed
	frozen
)

// linkKind is what the links of an entry lead to.
type linkKind int

const (
	toStore linkKind = iota
	toMinions
	toAll
)

// storeSide is where the store and the list of hosts are when zones are cut from the others.
type storeSide int

const (
	onBothSides storeSide = iota
	withZones
	withOthers
)

type (
	// dispatcherEnded takes the dispatcher of a pool out of service for Down.
	dispatcherEnded struct {
		Pool quetzalunit.PoolID
		Kind endKind
		Down time.Duration
	}
	// dispatcherCut disturbs the links of the dispatcher of a pool to the store, to the minions, or all of them.
	dispatcherCut struct {
		Pool  quetzalunit.PoolID
		Links linkKind
		Fault linkFault
	}
	// entriesEnded ends entries, one Gap after the other, and starts each again after Down. With PowerOff nobody learns of the end
	// of their connections.
	entriesEnded struct {
		Entries   []int
		Signal    syscall.Signal
		Gap, Down time.Duration
		PowerOff  bool
	}
	// zonesCut disturbs the links between some zones and the others. With OneWay only what the zones send is held back.
	zonesCut struct {
		Zones  []quetzalunit.ZoneID
		Store  storeSide
		OneWay bool
		Fault  linkFault
	}
	// poolLeaves lets a share of the minions of a pool drain and leave, or replaces them at once.
	poolLeaves struct {
		Pool     quetzalunit.PoolID
		Share    float64
		Replaced bool
		Seed     uint64
	}
	// poolCut disturbs the links between some entries and a share of the minions of a pool.
	poolCut struct {
		Pool    quetzalunit.PoolID
		Entries []int
		Share   float64
		Fault   linkFault
		Seed    uint64
	}
	// hostsCut disturbs the links between some entries and the list of hosts.
	hostsCut struct {
		Entries []int
		Fault   linkFault
	}
	// poolDisturbed injects a fault of a share of the minions of a pool.
	poolDisturbed struct {
		Pool  quetzalunit.PoolID
		Share float64
		Fault quetzalplatformstandin.MinionFault
		Seed  uint64
	}
	// poolRestarted ends the processes of a share of the minions of a pool.
	poolRestarted struct {
		Pool  quetzalunit.PoolID
		Share float64
		Down  quetzalplatformstandin.Delay
		Seed  uint64
	}
	// jobsCanceled cancels a share of the jobs that are not finished.
	jobsCanceled struct {
		Share float64
		Seed  uint64
	}
	// jobsBurst submits jobs of short tasks to the queue of a pool.
	jobsBurst struct {
		Pool              quetzalunit.PoolID
		Shortest, Longest time.Duration
		Seed              uint64
	}
	// minionsLeave lets minions drain and leave.
	minionsLeave struct{ Minions []int }
	// waveRequested requests the maintenance of the hosts of minions.
	waveRequested struct {
		Minions []int
		Limit   time.Duration
		AtOnce  int
	}
	// entryShort suspends each entry for a part of each period, at instants of its own.
	entryShort struct{ On, Off time.Duration }
)

func (dispatcherEnded) siteFault() {}
func (dispatcherCut) siteFault()   {}
func (entriesEnded) siteFault()    {}
func (zonesCut) siteFault()        {}
func (poolLeaves) siteFault()      {}
func (poolCut) siteFault()         {}
func (hostsCut) siteFault()        {}
func (poolDisturbed) siteFault()   {}
func (poolRestarted) siteFault()   {}
func (jobsCanceled) siteFault()    {}
func (jobsBurst) siteFault()       {}
func (minionsLeave) siteFault()    {}
func (waveRequested) siteFault()   {}
func (entryShort) siteFault()      {}

// injectAtSite injects a fault and returns when it is over.
func (s *soak) injectAtSite(f siteFault, length time.Duration) {
	switch f := f.(type) {
	case dispatcherEnded:
		s.endDispatcher(f)
	case dispatcherCut:
		s.cutDispatcher(f, length)
	case entriesEnded:
		s.endInTurn(f)
	case zonesCut:
		s.cutZones(f, length)
	case poolLeaves:
		ids, _ := s.fleet.MinionsOf(f.Pool)
		if ids = share(ids, f.Share, f.Seed); !f.Replaced {
			s.fleet.DrainMinions(ids)
			return
		}
		for _, id := range ids {
			s.fleet.ReplaceMinion(id)
		}
	case poolCut:
		_, addresses := s.fleet.MinionsOf(f.Pool)
		addresses = share(addresses, f.Share, f.Seed)
		s.disturbLinks(f.Entries, f.Fault, length, func(l *link) bool { return slices.Contains(addresses, l.target) })
	case hostsCut:
		s.disturbLinks(f.Entries, f.Fault, length, func(l *link) bool { return l.target == s.hosts })
	case poolDisturbed:
		ids, _ := s.fleet.MinionsOf(f.Pool)
		end := s.fleet.BeginMinionFault(f.Fault, share(ids, f.Share, f.Seed)...)
		time.Sleep(length)
		end()
	case poolRestarted:
		ids, _ := s.fleet.MinionsOf(f.Pool)
		s.fleet.RestartMinions(share(ids, f.Share, f.Seed), f.Down, quetzalplatformstandin.Delay{Most: 1500 * time.Millisecond})
	case jobsCanceled:
		s.cancelJobs(f, length)
	case jobsBurst:
		s.submitBurst(f, length)
	case minionsLeave:
		s.fleet.DrainMinions(s.minionIDs(f.Minions))
	case waveRequested:
		s.fleet.RequestWave(s.minionIDs(f.Minions), f.Limit, f.AtOnce)
	case entryShort:
		s.shortenEach(f, length)
	}
}

// share draws a share of a list, of one element at least.
func share[T any](list []T, part float64, seed uint64) []T {
	rng := rand.New(rand.NewPCG(seed, 0))
	list = slices.Clone(list)
	rng.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:min(len(list), 1+int(part*float64(len(list))))]
}

// disturbLinks injects a fault of the links of some entries.
func (s *soak) disturbLinks(entries []int, fault linkFault, length time.Duration, of func(*link) bool) {
	from := s.entryIDs(entries)
	var ends []func()
	for _, l := range s.links {
		if slices.Contains(from, l.from) && of(l) {
			ends = append(ends, l.begin(fault))
		}
	}
	time.Sleep(length)
	for _, end := range ends {
		end()
	}
}

// cutZones disturbs the links between some zones and the others. The minions beyond a cut do not reach the store.
func (s *soak) cutZones(f zonesCut, length time.Duration) {
	inside := func(zone quetzalunit.ZoneID) bool { return slices.Contains(f.Zones, zone) }
	var ends []func()
	for _, l := range s.links {
		from, to := inside(l.fromZone), inside(l.toZone)
		if l.toZone == "" {
			to = from && f.Store == onBothSides || f.Store == withZones
		}
		if from == to {
			continue
		}
		fault := f.Fault
		switch {
		case f.OneWay && from:
			fault = cutRequests{}
		case f.OneWay:
			fault = cutAnswers{}
		}
		ends = append(ends, l.begin(fault))
	}
	var beyond []int
	for n, m := range s.minions {
		if f.Store == withZones && !inside(m.zone) && !f.OneWay || f.Store == withOthers && inside(m.zone) {
			beyond = append(beyond, n)
		}
	}
	ends = append(ends, s.fleet.BeginMinionFault(quetzalplatformstandin.CutFromStore{}, s.minionIDs(beyond)...))
	time.Sleep(length)
	for _, end := range ends {
		end()
	}
}

// endDispatcher takes the dispatcher of a pool out of service, once there is one.
func (s *soak) endDispatcher(f dispatcherEnded) {
	const patience, period = 2 * time.Second, 20 * time.Millisecond
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(period) {
		n := s.dispatcher(f.Pool)
		if n < 0 || !s.busy[n].TryLock() {
			continue
		}
		defer s.busy[n].Unlock()
		s.notef("%s of %s, the dispatcher of %s", [...]string{stopped: "stop", killed: "kill", frozen: "freeze"}[f.Kind], s.entries[n].Entry, f.Pool)
		switch e := s.entries[n]; f.Kind {
		case stopped:
			s.restart(e, syscall.SIGTERM, f.Down)
		case killed:
			s.restart(e, syscall.SIGKILL, f.Down)
		case frozen:
			_ = e.cmd.Process.Signal(syscall.SIGSTOP) // a process that has ended is not suspended
			time.Sleep(f.Down)
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
		}
		return
	}
}

// cancelJobs cancels a share of the jobs that are not finished, and of those that are submitted meanwhile.
func (s *soak) cancelJobs(f jobsCanceled, length time.Duration) {
	const period = 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(f.Seed, 0))
	seen := make(map[quetzalunit.JobID]bool)
	var calls sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(period) {
		for _, j := range s.fleet.Open() {
			if seen[j.ID] {
				continue
			}
			seen[j.ID] = true
			if rng.Float64() >= f.Share {
				continue
			}
			front, pause := s.entries[rng.IntN(len(s.entries))].Front, time.Duration(rng.Int64N(int64(max(0, time.Until(until))+period)))
			calls.Go(func() {
				time.Sleep(pause)
				s.caller.Cancel(front, &j)
			})
		}
	}
	calls.Wait()
}

// submitBurst submits jobs of short tasks.
func (s *soak) submitBurst(f jobsBurst, length time.Duration) {
	const period, tasks, cores = 70 * time.Millisecond, 8, 500
	source := jobSource{rng: rand.New(rand.NewPCG(f.Seed, 0))}
	all := callers{soak: s}
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(period) {
		all.begin(source.rng.Uint64(), &quetzalplatformstandin.JobSpec{
			ID: source.id(), Queue: quetzalunit.QueueID(f.Pool), Shortest: f.Shortest, Longest: f.Longest,
			Steps: []quetzalplatformstandin.StepSpec{{Count: tasks, Cores: cores, MaxPerMinion: 1}},
		})
	}
	all.open.Wait()
}

// cutDispatcher disturbs the links of the dispatcher of a pool.
func (s *soak) cutDispatcher(f dispatcherCut, length time.Duration) {
	n := s.dispatcher(f.Pool)
	if n < 0 {
		return
	}
	e := s.entries[n]
	s.notef("%T of links of kind %d of %s, the dispatcher of %s", f.Fault, f.Links, e.Entry, f.Pool)
	s.disturbLinks([]int{n}, f.Fault, length, func(l *link) bool {
		return f.Links == toAll || l.toStore == (f.Links == toStore)
	})
}

// dispatcher returns the index of the dispatcher of a pool, or -1. Between a release and the next takeover there is none.
func (s *soak) dispatcher(pool quetzalunit.PoolID) int {
	holder := s.fleet.Dispatcher(pool)
	return slices.IndexFunc(s.entries, func(e *rigEntry) bool { return e.Entry == holder })
}

// endInTurn ends entries and starts them again.
func (s *soak) endInTurn(f entriesEnded) {
	var restarts sync.WaitGroup
	for _, n := range f.Entries {
		restarts.Go(func() {
			s.whileRunning(n, func(e *rigEntry) {
				if f.PowerOff {
					for _, l := range e.gate.links {
						l.silence()
					}
				}
				s.restart(e, f.Signal, f.Down)
			})
		})
		time.Sleep(f.Gap)
	}
	restarts.Wait()
}

// shortenEach suspends each entry for a part of each period, while no other fault holds it.
func (s *soak) shortenEach(f entryShort, length time.Duration) {
	until := time.Now().Add(length)
	var all sync.WaitGroup
	for n := range s.entries {
		all.Go(func() {
			for time.Now().Before(until) {
				s.whileRunning(n, func(e *rigEntry) {
					_ = e.cmd.Process.Signal(syscall.SIGSTOP) // a process that has ended needs none
					time.Sleep(f.Off)
					_ = e.cmd.Process.Signal(syscall.SIGCONT)
				})
				time.Sleep(f.On + s.randomUpTo(f.On))
			}
		})
	}
	all.Wait()
}

// notef adds a line to the record of what faults have hit.
func (s *soak) notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf("%s %s", s.fleet.Now(), fmt.Sprintf(format, args...)))
}
