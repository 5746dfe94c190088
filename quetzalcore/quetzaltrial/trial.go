package quetzaltrial

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
	// Hop is the time that a message takes between two processes of a zone.
	Hop = 250 * time.Microsecond
	// PlatformTime is the time that a call of the platform takes.
	PlatformTime = 5 * time.Millisecond
	// failTime is the time after which a call without an answer fails.
	failTime = time.Second
	// firstInstant is the start of a trial's clock.
	firstInstant = quetzalunit.Instant(1_000_000 * time.Second)
)

// Entry is one entry process of a trial.
type Entry struct {
	ID    quetzalunit.EntryID
	Zone  quetzalunit.ZoneID
	World *quetzalfleet.World
	// Dead entries neither tick nor answer.
	Dead bool
	// FrozenUntil holds back the entry's ticks and the sending of its commands.
	FrozenUntil quetzalunit.Instant
	// CutPlatform and CutPeers lose the entry's calls.
	CutPlatform, CutPeers bool
	inbox                 []quetzalfleet.Input
	wokenAt               quetzalunit.Instant
	// Finished tells that a planned stop has ended.
	Finished bool
}

// Minion is one host of a trial.
type Minion struct {
	ID      quetzalunit.HostID
	Running quetzalunit.Slots
	// BlackHole fails every run at once, Leaving refuses every run.
	BlackHole, Leaving, Down bool
	Boot                     quetzalunit.Boot
	Listed                   quetzalfleet.Listed
	rebooting                bool
}

// Run is one run on a minion.
type Run struct {
	Request    quetzalunit.RequestID
	Host       quetzalunit.HostID
	Pool       quetzalunit.PoolID
	Generation quetzalunit.Generation
	Entry      quetzaltable.Row
	Attempt    quetzalfleet.Row
	Start, End quetzalunit.Instant
	Completed  bool
}

// Answer is the outcome that a caller got.
type Answer struct {
	Request quetzalunit.RequestID
	// Process is the incarnation of the entry that answered.
	Process quetzalunit.Incarnation
	Outcome quetzalfleet.Outcome
	At      quetzalunit.Instant
}

// EntryDecision is a decision of an entry.
type EntryDecision struct {
	Entry quetzalunit.EntryID
	quetzalfleet.Decision
}

// Platform is the trial's platform.
type Platform struct {
	Tables quetzalmemory.Tables
	// Objects is the object store.
	Objects map[quetzalfleet.ObjectKey]*quetzalfleet.Payload
	// Outage fails every call; Lose loses the answers of as many transactions.
	Outage bool
	Lose   int
	// Calls counts the calls that reached the platform or found it out.
	Calls int64
}

// Trial holds the tables of a trial. Use New.
type Trial struct {
	Now      quetzalunit.Instant
	Seed     uint64
	Platform Platform
	Entries  quetzaltable.Table[Entry]
	Minions  quetzaltable.Table[Minion]
	Runs     quetzaltable.Table[Run]
	Answers  []Answer
	// Refusals counts the explicit not-run answers of minions.
	Refusals int
	// Decisions lists what the entries decided, in order.
	Decisions []EntryDecision
	// Submitted lists the requests in the order in which they were sent.
	Submitted []Submitted
	// Retention is given to entries that are added from now on.
	Retention time.Duration
	// OnTick is called after every tick, for checks of invariants; nil for none.
	OnTick func(*Entry)
	// OnCommit is called after every transaction that was committed; nil for none.
	OnCommit func()
	// RunTime returns the run time of a request.
	RunTime func(quetzalunit.RequestID) time.Duration

	minionByID  quetzaltable.Index[quetzalunit.HostID]
	entryByAddr quetzaltable.Index[quetzalunit.Address]
	events      quetzaltable.Timers[event]
	callers     quetzaltable.Table[caller]
	incarnation quetzalunit.Incarnation
	operator    map[quetzalunit.Caller]quetzalfleet.OperatorResult
}

// event is something that happens at an instant of a trial.
type event interface{ implementsEvent() }

type (
	// inputArrives delivers an input to an entry.
	inputArrives struct {
		entry quetzaltable.Row
		in    quetzalfleet.Input
	}
	// tickDue ticks an entry.
	tickDue struct{ entry quetzaltable.Row }
	// commandLeaves performs a command of an entry.
	commandLeaves struct {
		entry   quetzaltable.Row
		command quetzalfleet.Command
	}
	// platformHears performs a call of the platform.
	platformHears struct {
		entry   quetzaltable.Row
		call    quetzalfleet.Row
		command quetzalfleet.Command
	}
	// runEnds ends a run.
	runEnds struct{ run quetzaltable.Row }
	// rebootEnds brings a host back.
	rebootEnds struct{ minion quetzaltable.Row }
	// scripted runs a step of the script.
	scripted struct{ do func() }
)

func (inputArrives) implementsEvent()  {}
func (tickDue) implementsEvent()       {}
func (commandLeaves) implementsEvent() {}
func (platformHears) implementsEvent() {}
func (runEnds) implementsEvent()       {}
func (rebootEnds) implementsEvent()    {}
func (scripted) implementsEvent()      {}

// caller is who waits for an answer of an entry.
type caller interface{ implementsCaller() }

type (
	// userCaller is a caller of the trial's script.
	userCaller struct{ id quetzalunit.RequestID }
	// peerJoin is an entry that joined a request.
	peerJoin struct{ entry, request quetzaltable.Row }
	// peerForward is an entry that handed over a request.
	peerForward struct {
		entry   quetzaltable.Row
		attempt quetzalfleet.Row
	}
	// peerGossip is an entry that waits for a reply to gossip.
	peerGossip struct {
		entry quetzaltable.Row
		peer  quetzalunit.EntryID
	}
)

func (userCaller) implementsCaller()  {}
func (peerJoin) implementsCaller()    {}
func (peerForward) implementsCaller() {}
func (peerGossip) implementsCaller()  {}

// New returns an empty trial.
func New(seed uint64) *Trial {
	return &Trial{
		Now: firstInstant, Seed: seed,
		RunTime:  func(quetzalunit.RequestID) time.Duration { return 10 * time.Millisecond },
		operator: make(map[quetzalunit.Caller]quetzalfleet.OperatorResult),
		Platform: Platform{Objects: make(map[quetzalfleet.ObjectKey]*quetzalfleet.Payload)},
	}
}

// AddEntry starts an entry process, or starts it anew after its death.
func (t *Trial) AddEntry(id quetzalunit.EntryID, zone quetzalunit.ZoneID) quetzaltable.Row {
	t.incarnation++
	address := quetzalunit.Address(id)
	w := &quetzalfleet.World{Self: quetzalfleet.Identity{
		Entry: id, Zone: zone, Incarnation: t.incarnation, PeerAddress: address,
		Lease: 5 * time.Second, Poll: 1500 * time.Millisecond, Gossip: time.Second,
		Seed: t.Seed*1000 + uint64(t.incarnation), Seeds: t.zonePeers(id, zone),
		Retention: t.Retention,
	}}
	row := t.Entries.Insert(Entry{ID: id, Zone: zone, World: w})
	t.entryByAddr.Put(address, row)
	quetzalsystem.Start(w, t.Now)
	t.tick(row)
	return row
}

// zonePeers lists the addresses of the other entries of a zone.
func (t *Trial) zonePeers(id quetzalunit.EntryID, zone quetzalunit.ZoneID) []quetzalunit.Address {
	var list []quetzalunit.Address
	for _, e := range t.Entries.All() {
		if e.Zone == zone && e.ID != id && !slices.Contains(list, quetzalunit.Address(e.ID)) {
			list = append(list, quetzalunit.Address(e.ID))
		}
	}
	return list
}

// AddMinion adds a host to the platform's list.
func (t *Trial) AddMinion(id quetzalunit.HostID) quetzaltable.Row {
	row := t.Minions.Insert(Minion{ID: id, Boot: 1})
	t.minionByID.Put(id, row)
	return row
}

// Minion returns a host.
func (t *Trial) Minion(id quetzalunit.HostID) *Minion {
	return t.Minions.At(t.minionByID.Get(id))
}

// Entry returns the present process of an entry, or nil when there was none.
func (t *Trial) Entry(id quetzalunit.EntryID) *Entry {
	return t.Entries.At(t.entryByAddr.Get(quetzalunit.Address(id)))
}

// After runs a step of the script after a span of time.
func (t *Trial) After(d time.Duration, do func()) {
	t.events.Push(t.Now.Add(d), scripted{do: do})
}

// Submit sends a caller's request to an entry.
func (t *Trial) Submit(id quetzalunit.EntryID, in quetzalfleet.RequestArrived) {
	in.Caller = quetzalunit.Caller(t.callers.Insert(userCaller{id: in.ID}))
	if in.Work == nil {
		in.Work = &quetzalfleet.Payload{}
	}
	s := Submitted{ID: in.ID, Entry: id, Idempotent: in.Idempotent, Queue: in.Queue, At: t.Now, Deadline: t.Now.Add(in.Timeout)}
	if e := t.Entry(id); e != nil && !e.Dead && !e.Finished {
		s.Process = e.World.Self.Incarnation
	}
	t.Submitted = append(t.Submitted, s)
	t.deliver(t.entryByAddr.Get(quetzalunit.Address(id)), in)
}

// AskResult asks an entry for the outcome of a request.
func (t *Trial) AskResult(entry quetzalunit.EntryID, id quetzalunit.RequestID) {
	c := quetzalunit.Caller(t.callers.Insert(userCaller{id: id}))
	t.deliver(t.entryByAddr.Get(quetzalunit.Address(entry)), quetzalfleet.ResultAsked{Caller: c, ID: id})
}

// Ask sends an operator's action to an entry; Result has its result later.
func (t *Trial) Ask(id quetzalunit.EntryID, a quetzalfleet.OperatorAction) quetzalunit.Caller {
	c := quetzalunit.Caller(t.callers.Insert(userCaller{}))
	t.deliver(t.entryByAddr.Get(quetzalunit.Address(id)), quetzalfleet.OperatorAsked{Caller: c, Action: a})
	return c
}

// Result returns the result of an operator's action, nil before it has one.
func (t *Trial) Result(c quetzalunit.Caller) quetzalfleet.OperatorResult {
	return t.operator[c]
}

// Stop begins the planned stop of an entry.
func (t *Trial) Stop(id quetzalunit.EntryID) {
	t.deliver(t.entryByAddr.Get(quetzalunit.Address(id)), quetzalfleet.StopAsked{})
}

// Kill ends an entry at once. Its connections close, and minions stop its work.
func (t *Trial) Kill(id quetzalunit.EntryID) {
	row := t.entryByAddr.Get(quetzalunit.Address(id))
	e := t.Entries.At(row)
	e.Dead = true
	for runRow, run := range t.Runs.All() {
		if run.Entry == row && run.End == 0 {
			t.endRun(runRow, false)
		}
	}
}

// Run lets the trial go on for a span of time.
func (t *Trial) Run(d time.Duration) {
	end := t.Now.Add(d)
	for {
		at, ok := t.events.Next()
		if !ok || at > end {
			break
		}
		t.Now = max(t.Now, at)
		e, _ := t.events.PopDue(t.Now)
		t.happen(e)
	}
	t.Now = end
}

func (t *Trial) happen(e event) {
	switch e := e.(type) {
	case inputArrives:
		t.deliver(e.entry, e.in)
	case tickDue:
		t.tick(e.entry)
	case commandLeaves:
		t.perform(e.entry, e.command)
	case platformHears:
		t.platformHears(e)
	case runEnds:
		t.finishRun(e.run)
	case rebootEnds:
		t.finishReboot(e.minion)
	case scripted:
		e.do()
	}
}

// deliver gives an input to an entry, which ticks at once unless it is frozen.
func (t *Trial) deliver(row quetzaltable.Row, in quetzalfleet.Input) {
	e := t.Entries.At(row)
	if e == nil || e.Dead || e.Finished {
		return
	}
	e.inbox = append(e.inbox, in)
	t.tick(row)
}

func (t *Trial) tick(row quetzaltable.Row) {
	e := t.Entries.At(row)
	if e.Dead || e.Finished {
		return
	}
	if t.Now < e.FrozenUntil {
		t.events.Push(e.FrozenUntil, tickDue{entry: row})
		return
	}
	inputs := e.inbox
	e.inbox = nil
	for _, c := range quetzalsystem.Tick(e.World, t.Now, inputs) {
		t.perform(row, c)
	}
	if t.OnTick != nil {
		t.OnTick(e)
	}
	if at, ok := quetzalsystem.NextTick(e.World); ok && (at < e.wokenAt || e.wokenAt <= t.Now) {
		e.wokenAt = max(at, t.Now)
		t.events.Push(e.wokenAt, tickDue{entry: row})
	}
}
