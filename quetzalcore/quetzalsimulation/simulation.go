package quetzalsimulation

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalmemory"
	"quetzalstair/quetzalcore/quetzalsystem"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// MessageLatency is the latency of a message between two processes.
	MessageLatency = 250 * time.Microsecond
	// PlatformLatency is the round-trip time of a store call.
	PlatformLatency = 5 * time.Millisecond
	// peerCallTimeout is the timeout of calls between entries.
	peerCallTimeout = time.Second
	// clockSpacing is the difference between the clocks of two Worlds that are started one after the
	// other. The clock of the simulation is their wall clock.
	clockSpacing = time.Minute
	// startInstant is the time at which a simulation begins. It is far from zero, which stands for
	// a time that is not set.
	startInstant = quetzalunit.Instant(1_000_000 * time.Second)
)

// Entry is one entry process of a simulation.
type Entry struct {
	ID    quetzalunit.EntryID
	Zone  quetzalunit.ZoneID
	World *quetzalfleet.World
	// Dead is set once the entry was killed. It neither ticks nor answers any more.
	Dead bool
	// FrozenUntil is the end of a pause in which the entry neither ticks nor executes
	// commands, like a suspended process.
	FrozenUntil quetzalunit.Instant
	// PartitionedFromPlatform and PartitionedFromPeers partition the entry from the platform and
	// from its peers.
	PartitionedFromPlatform, PartitionedFromPeers bool
	// inbox holds the inputs for the next tick.
	inbox []quetzalfleet.Input
	// nextTickAt is the time of the last tick that was scheduled; it may be in the past.
	nextTickAt quetzalunit.Instant
	// Finished is set once a planned stop is complete.
	Finished bool
}

// Minion is a host of a simulation with the minion that runs on it.
type Minion struct {
	ID      quetzalunit.HostID
	Running quetzalunit.Slots
	// BlackHole makes every run fail at once, Leaving makes the minion refuse every run
	// and Down makes it unreachable.
	BlackHole, Leaving, Down bool
	Boot                     quetzalunit.Boot
	ListedState              quetzalfleet.ListedState
	rebooting                bool
}

// Run is one run of a request on a minion. End is zero while it runs.
type Run struct {
	Request    quetzalunit.RequestID
	Host       quetzalunit.HostID
	Pool       quetzalunit.PoolID
	Generation quetzalunit.Generation
	Entry      quetzaltable.Row
	Attempt    quetzalfleet.Row
	Start, End quetzalunit.Instant
	// Completed is set if the run ended with a successful answer.
	Completed bool
}

// Answer is an outcome that was returned to the script.
type Answer struct {
	Request quetzalunit.RequestID
	// Incarnation identifies the entry process that answered.
	Incarnation quetzalunit.Incarnation
	Outcome     quetzalfleet.Outcome
	At          quetzalunit.Instant
}

// EntryDecision is a decision of an entry.
type EntryDecision struct {
	Entry quetzalunit.EntryID
	quetzalfleet.Decision
}

// Platform is the fake of the platform.
type Platform struct {
	Tables quetzalmemory.Tables
	// Objects is the object store.
	Objects map[quetzalfleet.ObjectKey]*quetzalfleet.Payload
	// Outage makes every store call fail.
	Outage bool
	// AnswersToLose is the number of transactions, from now on, that take effect although their
	// answers are lost.
	AnswersToLose int
	// Calls counts the store calls, including those that failed.
	Calls int64
}

// Simulation is a simulated fleet and the record of what happened in it. Use New.
type Simulation struct {
	Now      quetzalunit.Instant
	Seed     uint64
	Platform Platform
	Entries  quetzaltable.Table[Entry]
	Minions  quetzaltable.Table[Minion]
	Runs     quetzaltable.Table[Run]
	Answers  []Answer
	// Refusals counts the attempts that minions refused.
	Refusals int
	// Decisions lists the decisions of all entries in order.
	Decisions []EntryDecision
	// Submissions lists the requests in the order of their submission.
	Submissions []Submission
	// Retention is the Identity.Retention of entries that are added from now on.
	Retention time.Duration
	// OnTick is called after every tick of an entry, to check invariants; nil for none.
	OnTick func(*Entry)
	// OnCommit is called after every transaction that was committed; nil for none.
	OnCommit func()
	// RunTime returns the run time of a request.
	RunTime func(quetzalunit.RequestID) time.Duration

	minionByID  quetzaltable.Index[quetzalunit.HostID]
	entryByAddr quetzaltable.Index[quetzalunit.Address]
	events      quetzaltable.Timers[event]
	callers     quetzaltable.Table[caller]
	// incarnation is that of the entry process started last.
	incarnation     quetzalunit.Incarnation
	operatorResults map[quetzalunit.CallerID]quetzalfleet.OperatorResult
}

// event is an event of the simulation, which occurs at a set time.
type event interface{ implementsEvent() }

type (
	// inputDelivery delivers an input to an entry.
	inputDelivery struct {
		entry quetzaltable.Row
		in    quetzalfleet.Input
	}
	// tickDue ticks an entry.
	tickDue struct{ entry quetzaltable.Row }
	// commandExecution executes a postponed command of an entry.
	commandExecution struct {
		entry   quetzaltable.Row
		command quetzalfleet.Command
	}
	// storeCallArrival executes a store call at the platform.
	storeCallArrival struct {
		entry   quetzaltable.Row
		call    quetzalfleet.Row
		command quetzalfleet.Command
	}
	// runEnd ends a run.
	runEnd struct{ run quetzaltable.Row }
	// rebootEnd completes the reboot of a host.
	rebootEnd struct{ minion quetzaltable.Row }
	// scriptStep runs a function of the script.
	scriptStep struct{ do func() }
)

func (inputDelivery) implementsEvent()    {}
func (tickDue) implementsEvent()          {}
func (commandExecution) implementsEvent() {}
func (storeCallArrival) implementsEvent() {}
func (runEnd) implementsEvent()           {}
func (rebootEnd) implementsEvent()        {}
func (scriptStep) implementsEvent()       {}

// caller is someone who waits for an answer of an entry. Its row in the table of
// callers identifies it to the entry.
type caller interface{ implementsCaller() }

type (
	// scriptCaller is a caller or operator in the script.
	scriptCaller struct{ id quetzalunit.RequestID }
	// joiningPeer is an entry that waits for the outcome of a request claimed elsewhere.
	joiningPeer struct{ entry, request quetzaltable.Row }
	// forwardingPeer is an entry that forwarded a request.
	forwardingPeer struct {
		entry   quetzaltable.Row
		attempt quetzalfleet.Row
	}
	// gossipingPeer is an entry that waits for a reply to gossip.
	gossipingPeer struct {
		entry quetzaltable.Row
		peer  quetzalunit.EntryID
	}
)

func (scriptCaller) implementsCaller()   {}
func (joiningPeer) implementsCaller()    {}
func (forwardingPeer) implementsCaller() {}
func (gossipingPeer) implementsCaller()  {}

// New returns an empty simulation, in which every request runs for 10 ms.
func New(seed uint64) *Simulation {
	return &Simulation{
		Now: startInstant, Seed: seed,
		RunTime:         func(quetzalunit.RequestID) time.Duration { return 10 * time.Millisecond },
		operatorResults: make(map[quetzalunit.CallerID]quetzalfleet.OperatorResult),
		Platform:        Platform{Objects: make(map[quetzalfleet.ObjectKey]*quetzalfleet.Payload)},
	}
}

// AddEntry starts an entry process. For the name of an entry that was killed or has
// stopped it starts a new incarnation.
func (sim *Simulation) AddEntry(id quetzalunit.EntryID, zone quetzalunit.ZoneID) quetzaltable.Row {
	sim.incarnation++
	address := quetzalunit.Address(id)
	w := &quetzalfleet.World{Self: quetzalfleet.Identity{
		Entry: id, Zone: zone, Incarnation: sim.incarnation, PeerAddress: address,
		LeaseDuration: 5 * time.Second, PollPeriod: 1500 * time.Millisecond, GossipPeriod: time.Second,
		Seed: sim.Seed*1000 + uint64(sim.incarnation), SeedAddresses: sim.zonePeers(id, zone),
		Retention: sim.Retention,
	}}
	w.WallClockOffset = time.Duration(sim.incarnation) * clockSpacing
	row := sim.Entries.Insert(Entry{ID: id, Zone: zone, World: w})
	sim.entryByAddr.Put(address, row)
	quetzalsystem.Start(w, sim.Now.Add(-w.WallClockOffset))
	sim.tick(row)
	return row
}

// zonePeers returns the addresses of the other entries of a zone.
func (sim *Simulation) zonePeers(id quetzalunit.EntryID, zone quetzalunit.ZoneID) []quetzalunit.Address {
	var list []quetzalunit.Address
	for _, e := range sim.Entries.All() {
		if e.Zone == zone && e.ID != id && !slices.Contains(list, quetzalunit.Address(e.ID)) {
			list = append(list, quetzalunit.Address(e.ID))
		}
	}
	return list
}

// AddMinion adds a host with its minion. The platform's host list contains it from then
// on.
func (sim *Simulation) AddMinion(id quetzalunit.HostID) quetzaltable.Row {
	row := sim.Minions.Insert(Minion{ID: id, Boot: 1})
	sim.minionByID.Put(id, row)
	return row
}

// Minion returns the minion of a host, or nil if there is none.
func (sim *Simulation) Minion(id quetzalunit.HostID) *Minion {
	return sim.Minions.At(sim.minionByID.Get(id))
}

// Entry returns the latest process of an entry, or nil if there was none.
func (sim *Simulation) Entry(id quetzalunit.EntryID) *Entry {
	return sim.Entries.At(sim.entryByAddr.Get(quetzalunit.Address(id)))
}

// After schedules a function of the script to run d from now.
func (sim *Simulation) After(d time.Duration, do func()) {
	sim.events.Push(sim.Now.Add(d), scriptStep{do: do})
}

// Submit submits a request to an entry on behalf of a caller.
func (sim *Simulation) Submit(id quetzalunit.EntryID, in quetzalfleet.RequestArrived) {
	in.Caller = quetzalunit.CallerID(sim.callers.Insert(scriptCaller{id: in.ID}))
	if in.Work == nil {
		in.Work = &quetzalfleet.Payload{}
	}
	s := Submission{ID: in.ID, Entry: id, Idempotent: in.Idempotent, Queue: in.Queue, At: sim.Now, Deadline: sim.Now.Add(in.Timeout)}
	if e := sim.Entry(id); e != nil && !e.Dead && !e.Finished {
		s.Incarnation = e.World.Self.Incarnation
	}
	sim.Submissions = append(sim.Submissions, s)
	sim.deliver(sim.entryByAddr.Get(quetzalunit.Address(id)), in)
}

// RequestOutcome requests the outcome of a request from an entry. It is added to Answers.
func (sim *Simulation) RequestOutcome(entry quetzalunit.EntryID, id quetzalunit.RequestID) {
	c := quetzalunit.CallerID(sim.callers.Insert(scriptCaller{id: id}))
	sim.deliver(sim.entryByAddr.Get(quetzalunit.Address(entry)), quetzalfleet.OutcomeRequested{Caller: c, ID: id})
}

// SendOperatorAction sends an operator's action to an entry. The caller that it returns identifies
// the result.
func (sim *Simulation) SendOperatorAction(id quetzalunit.EntryID, a quetzalfleet.OperatorAction) quetzalunit.CallerID {
	c := quetzalunit.CallerID(sim.callers.Insert(scriptCaller{}))
	sim.deliver(sim.entryByAddr.Get(quetzalunit.Address(id)), quetzalfleet.OperatorRequested{Caller: c, Action: a})
	return c
}

// OperatorResult returns the result of an operator's action, or nil before there is one.
func (sim *Simulation) OperatorResult(c quetzalunit.CallerID) quetzalfleet.OperatorResult {
	return sim.operatorResults[c]
}

// Stop requests a planned stop of an entry.
func (sim *Simulation) Stop(id quetzalunit.EntryID) {
	sim.deliver(sim.entryByAddr.Get(quetzalunit.Address(id)), quetzalfleet.StopRequested{})
}

// Kill terminates an entry process at once. Its connections close, so that minions stop
// its runs.
func (sim *Simulation) Kill(id quetzalunit.EntryID) {
	row := sim.entryByAddr.Get(quetzalunit.Address(id))
	e := sim.Entries.At(row)
	e.Dead = true
	for runRow, run := range sim.Runs.All() {
		if run.Entry == row && run.End == 0 {
			sim.endRun(runRow, false)
		}
	}
}

// Advance advances the simulation by d.
func (sim *Simulation) Advance(d time.Duration) {
	end := sim.Now.Add(d)
	for {
		at, ok := sim.events.Next()
		if !ok || at > end {
			break
		}
		sim.Now = max(sim.Now, at)
		e, _ := sim.events.PopDue(sim.Now)
		sim.handleEvent(e)
	}
	sim.Now = end
}

func (sim *Simulation) handleEvent(e event) {
	switch e := e.(type) {
	case inputDelivery:
		sim.deliver(e.entry, e.in)
	case tickDue:
		sim.tick(e.entry)
	case commandExecution:
		sim.executeCommand(e.entry, e.command)
	case storeCallArrival:
		sim.serveStoreCall(e)
	case runEnd:
		sim.finishRun(e.run)
	case rebootEnd:
		sim.finishReboot(e.minion)
	case scriptStep:
		e.do()
	}
}

// deliver passes an input to an entry, which ticks at once unless it is frozen.
func (sim *Simulation) deliver(row quetzaltable.Row, in quetzalfleet.Input) {
	e := sim.Entries.At(row)
	if e == nil || e.Dead || e.Finished {
		return
	}
	e.inbox = append(e.inbox, in)
	sim.tick(row)
}

// tick runs a tick of an entry, executes its commands and schedules its next tick.
func (sim *Simulation) tick(row quetzaltable.Row) {
	e := sim.Entries.At(row)
	if e.Dead || e.Finished {
		return
	}
	if sim.Now < e.FrozenUntil {
		sim.events.Push(e.FrozenUntil, tickDue{entry: row})
		return
	}
	inputs := e.inbox
	e.inbox = nil
	for _, c := range quetzalsystem.Tick(e.World, sim.Now.Add(-e.World.WallClockOffset), inputs) {
		sim.executeCommand(row, c)
	}
	if sim.OnTick != nil {
		sim.OnTick(e)
	}
	at, ok := quetzalsystem.NextTick(e.World)
	at = at.Add(e.World.WallClockOffset)
	if ok && (at < e.nextTickAt || e.nextTickAt <= sim.Now) {
		e.nextTickAt = max(at, sim.Now)
		sim.events.Push(e.nextTickAt, tickDue{entry: row})
	}
}
