package quetzalproof

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/platform/quetzalplatformstandin"
	"quetzalstair/quetzalcore/quetzalunit"
)

// rigEntry is an entry of a rig and its process.
type rigEntry struct {
	*process
	quetzalplatformstandin.EntrySpec
	settings string
	gate     *gate
	// ending reports whether the rig ends the process. The rig's lock guards it.
	ending bool
}

// rig has entries of the platform's program as processes, beside the platform and minions in this process.
type rig struct {
	t       testing.TB
	dir     string
	fleet   *quetzalplatformstandin.Fleet
	caller  quetzalplatformstandin.Caller
	entries []*rigEntry
	// hosts is where the list of hosts is served.
	hosts quetzalunit.Address
	links []*link
	// origins has the entry of each open connection of a link by its connKey.
	origins sync.Map
	// minions has the address and the zone of each minion.
	minions []rigMinion
	// direct is that of the rigSpec.
	direct bool

	// mu guards rng, which draws the delays of the links, and the end of an entry.
	mu  sync.Mutex
	rng *rand.Rand
	// unexpected has the entries that have ended by themselves.
	unexpected []quetzalunit.EntryID
}

// rigMinion is where a minion listens.
type rigMinion struct {
	address quetzalunit.Address
	zone    quetzalunit.ZoneID
}

// rigSpec is the size of a rig.
type rigSpec struct {
	quetzalplatformstandin.Options
	shape fleetShape
	// dir is where settings and logs are written.
	dir                     string
	zones, entries, minions int
	// pools are the pools with a queue each. hosts, if not empty, has the number of the hosts of each of them and then of the spare
	// pool; otherwise minions take turns in the pools.
	pools []quetzalunit.PoolID
	hosts []int
	// zoneSizes, if not empty, has the number of the entries of each zone; otherwise entries take turns in the zones.
	zoneSizes []int
	// cores is the capacity of each minion.
	cores quetzalunit.MilliCores
	// direct reports whether entries call minions without links between them.
	direct bool
	// cpuShare is the part of a core that entries are told to have; 0 stands for the default of the stand-in. The first
	// strongEntries of each zone are told to have strongShare.
	cpuShare      float64
	strongEntries int
	// jobPause is the mean time between two jobs of a soak.
	jobPause time.Duration
}

// strongShare is the part of a core that strong entries are told to have.
const strongShare = 0.8

// hostsPerRack is the number of hosts in a rack.
const hostsPerRack = 4

// poolOf returns the pool of a minion.
func (s *rigSpec) poolOf(minion int) quetzalunit.PoolID {
	for i, n := range s.hosts {
		if minion < n {
			return append(slices.Clone(s.pools), s.Spare)[i]
		}
		minion -= n
	}
	return s.pools[minion%len(s.pools)]
}

// placeOf returns the zone of an entry and its index within it.
func (s *rigSpec) placeOf(entry int) (zone, index int) {
	for i, n := range s.zoneSizes {
		if entry < n {
			return i, entry
		}
		entry -= n
	}
	return entry % s.zones, entry / s.zones
}

func zoneName(i int) quetzalunit.ZoneID {
	return quetzalunit.ZoneID("zone-" + string(rune('a'+i)))
}

// newRig starts a rig and waits until its entries are ready. Minions take turns in the zones.
func newRig(t testing.TB, s *rigSpec) *rig {
	t.Helper()
	r := &rig{t: t, dir: s.dir, direct: s.direct, rng: rand.New(rand.NewPCG(s.Seed, 1))}
	s.Origin = func(remote string, listens quetzalunit.Address) quetzalunit.EntryID {
		from, _ := r.origins.Load(connKey{remote, listens})
		entry, _ := from.(quetzalunit.EntryID) // a connection that has ended has none
		return entry
	}
	fleet, cleanup := quetzalplatformstandin.New(s.Options)
	t.Cleanup(cleanup)
	r.fleet, r.caller.Fleet = fleet, fleet
	for i := range s.minions {
		zone := zoneName(i % s.zones)
		listens, err := fleet.AddMinion(quetzalplatformstandin.MinionSpec{
			Minion: quetzalunit.MinionID(fmt.Sprintf("minion-%02d", i)), Host: quetzalunit.HostID(fmt.Sprintf("host-%02d", i)),
			Pool: s.poolOf(i), Zone: zone, Rack: quetzalunit.RackID(fmt.Sprint("rack-", i%s.zones, "-", i/(s.zones*hostsPerRack))), Cores: s.cores,
		})
		require.NoError(t, err)
		r.minions = append(r.minions, rigMinion{listens, zone})
	}
	r.configure(s.pools)
	for i := range s.entries {
		zone, index := s.placeOf(i)
		r.addEntry(quetzalunit.EntryID(fmt.Sprint("entry-", i)), zoneName(zone))
		r.entries[i].CPUShare = s.cpuShare
		if index < s.strongEntries {
			r.entries[i].CPUShare = strongShare
		}
	}
	r.connect()
	for _, e := range r.entries {
		r.start(e)
	}
	for _, e := range r.entries {
		require.Eventually(t, func() bool { return r.caller.Ready(e.Ready) }, 20*time.Second, 50*time.Millisecond, "%s is not ready", e.Entry)
	}
	return r
}

// configure writes a configuration with a queue for each pool.
func (r *rig) configure(pools []quetzalunit.PoolID) {
	var queues []quetzalplatformstandin.QueueSpec
	for _, p := range pools {
		queues = append(queues, quetzalplatformstandin.QueueSpec{Queue: quetzalunit.QueueID(p), Pool: p, Target: 600 * time.Millisecond})
	}
	r.fleet.Configure(queues...)
}

// addEntry adds an entry without a process.
func (r *rig) addEntry(id quetzalunit.EntryID, zone quetzalunit.ZoneID) {
	port := reservePorts(r.t, 4)
	r.entries = append(r.entries, &rigEntry{settings: filepath.Join(r.dir, string(id)+".json"), EntrySpec: quetzalplatformstandin.EntrySpec{
		Entry: id, Zone: zone, Front: quetzalunit.Address(address(port)), Ready: quetzalunit.Address(address(port + 1)), FirstPort: port + 2,
	}})
}

// connect starts the links of all entries and writes their settings.
func (r *rig) connect() {
	hosts, err := r.fleet.ServeHosts()
	require.NoError(r.t, err)
	r.hosts = hosts
	for _, e := range r.entries {
		e.gate = r.openGate()
		store, err := r.fleet.ServeStore(e.Entry)
		require.NoError(r.t, err)
		e.Store, e.Hosts = r.addLink(e, store, ""), r.addLink(e, hosts, "")
		r.links[len(r.links)-2].toStore = true
		for _, m := range r.minions {
			if !r.direct {
				r.fleet.View(e.Entry, m.address, r.addLink(e, m.address, m.zone))
			}
		}
		for _, peer := range r.entries {
			if listens := quetzalunit.Address(address(peer.FirstPort)); peer != e {
				r.fleet.View(e.Entry, listens, r.addLink(e, listens, peer.Zone))
			}
		}
		go e.gate.serve()
		require.NoError(r.t, quetzalplatformstandin.WriteSettings(e.settings, &e.EntrySpec))
	}
}

// start starts the process of an entry, or starts it again, and records whether it ends by itself.
func (r *rig) start(e *rigEntry) {
	started := startProcess(r.t, filepath.Join(r.dir, string(e.Entry)+".log"), "platform", "run", "--settings", e.settings)
	r.mu.Lock()
	e.process, e.ending = started, false
	r.mu.Unlock()
	go func() {
		<-started.exited
		r.mu.Lock()
		defer r.mu.Unlock()
		if !e.ending && e.process == started {
			r.unexpected = append(r.unexpected, e.Entry)
		}
	}()
}

// end sends a signal that ends the process of an entry and waits for its end.
func (r *rig) end(e *rigEntry, s syscall.Signal) {
	const grace = 7 * time.Second
	r.mu.Lock()
	e.ending = true
	r.mu.Unlock()
	_ = e.cmd.Process.Signal(s) // a process that has ended needs none
	select {
	case <-e.exited:
	case <-time.After(grace):
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}

// endAll ends all entries in order, so that their logs are complete.
func (r *rig) endAll() {
	var ended sync.WaitGroup
	for _, e := range r.entries {
		ended.Go(func() { r.end(e, syscall.SIGTERM) })
	}
	ended.Wait()
}

// randomUpTo draws a delay of a link.
func (r *rig) randomUpTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(most)))
}

// jobSource draws the ids of jobs.
type jobSource struct {
	rng  *rand.Rand
	next int
}

// id returns a new id of a job.
func (s *jobSource) id() quetzalunit.JobID {
	s.next++
	return quetzalunit.JobID(fmt.Sprintf("%08x%08x", s.rng.Uint32(), s.next))
}

// submitUntilAccepted submits a job at entries drawn by the given numbers until one accepts it.
func (r *rig) submitUntilAccepted(j *quetzalplatformstandin.JobSpec, attempts []int) bool {
	for _, n := range attempts {
		if r.caller.Submit(r.entries[n%len(r.entries)].Front, j) == quetzalplatformstandin.Accepted {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// contactTime is the time after a fault until its effects are over for the rules of operation.
const contactTime = 3 * time.Second

// finish waits until the accepted jobs are shown as finished, and reports those that are not within the limit.
func (r *rig) finish(limit time.Duration) {
	const pollPeriod = 200 * time.Millisecond
	deadline := time.Now().Add(limit)
	time.Sleep(contactTime)
	for i := 0; time.Now().Before(deadline); i++ {
		open := r.fleet.Open()
		if len(open) == 0 {
			return
		}
		for n := range open {
			e := r.entries[(i+n)%len(r.entries)]
			if _, outcome := r.caller.State(e.Front, e.Entry, &open[n]); outcome == quetzalplatformstandin.Unknown {
				r.fleet.ReportLost(&open[n], "unknown at "+string(e.Entry))
			}
		}
		time.Sleep(pollPeriod)
	}
	for _, j := range r.fleet.Open() {
		r.fleet.ReportLost(&j, fmt.Sprintf("not finished %s after the end of the faults", limit))
	}
}
