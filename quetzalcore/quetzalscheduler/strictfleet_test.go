package quetzalscheduler_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// strictness makes the simulated fleet as unkind as the platform may be. Each field is off by default. Its draws come
// from rng alone, so that none of them shifts the draws of the fleet.
type strictness struct {
	rng *rand.Rand
	// lateWrites is the share of the transactions that get no answer and are carried out up to maxStrictDelay later if
	// their condition still holds.
	lateWrites float64
	// slowAnswers is the share of the answers of the store and of the minions that arrive long after they were
	// composed, but before the caller gives up.
	slowAnswers float64
	// slowSends is the share of the commands that an entry sends up to maxSlowSend after it decided them.
	slowSends float64
	// latePeers is the share of the messages between entries that arrive late, and again.
	latePeers float64
	// resets is the share of the calls to minions whose connection is reset before or after they are carried out.
	resets float64
	// unhealthy is the share of the orders to start that minions refuse.
	unhealthy float64
	// refused are the entries that the store turns away, with what their calls get.
	refused map[quetzalunit.EntryID]quetzalwork.StoreResult
	// partDown, if not nil, tells which commands get no answer while the store serves the others.
	partDown func(quetzalwork.Command) bool
	// splitReads makes a read of the rows of members show the duties of a later moment than the members.
	splitReads bool
	// copiedPolls and copiedOrders are the shares of the calls to minions that are carried out again up to maxStrictDelay
	// later, by whatever process runs then.
	copiedPolls, copiedOrders float64
	// ackWaitingEnds makes minions apply the acknowledgement of a poll also to ends that come while the poll waits.
	ackWaitingEnds bool
	// busy is the longest time for which an entry is busy after a tick, since processor time is short.
	busy time.Duration
	// cutPeers are the pairs of entries between which nothing passes, in the order of their ids.
	cutPeers map[[2]quetzalunit.EntryID]bool
	// cutLinks are the pairs of an entry and a minion between which nothing passes, cutMinions the minions that do not
	// reach the store.
	cutLinks   map[link]bool
	cutMinions map[quetzalunit.MinionID]bool
	// slowClocks makes half of the minions' clocks 2 % slow.
	slowClocks bool
	// sameClocks makes the clock of a minion's next process go on from that of the former one.
	sameClocks bool
	// gangs makes the tasks of a gang work and end together.
	gangs   bool
	present map[gangRun]map[quetzalunit.TaskIndex]*gangMember
}

const (
	maxStrictDelay = 8 * time.Second
	maxSlowSend    = 1500 * time.Millisecond
	// minAnswerMargin is how long before the caller gives up a slow answer arrives at the latest.
	minAnswerMargin = 20 * time.Millisecond
	// gangPatience is how long the tasks of a gang wait for each other.
	gangPatience = 3 * time.Second
	gangPeriod   = 100 * time.Millisecond
)

// link is a pair of an entry and a minion.
type link struct {
	entry  quetzalunit.EntryID
	minion quetzalunit.MinionID
}

// gangRun names a run of a gang.
type gangRun struct {
	job        quetzalunit.JobID
	occurrence quetzalunit.Occurrence
	step       quetzalunit.StepIndex
	number     quetzalunit.RunNumber
}

// gangMember is a task of a run of a gang that its minion has started.
type gangMember struct {
	m    *minion
	task quetzalwork.TaskID
	run  *fakeRun
	// works tells that all tasks have been present.
	works bool
}

func (g *gangMember) active() bool {
	return g.m.up && g.m.runs[g.task] == g.run
}

// chance reports whether an event with a probability occurs. It draws nothing if the probability is zero.
func (st *strictness) chance(p float64) bool {
	return p > 0 && st.rng.Float64() < p
}

// upTo returns a random duration below d.
func (st *strictness) upTo(d time.Duration) time.Duration {
	return time.Duration(st.rng.Int64N(int64(max(d, 1))))
}

// lag returns how much later than usual an answer arrives for which its caller waits for at most left.
func (st *strictness) lag(left time.Duration) time.Duration {
	if !st.chance(st.slowAnswers) {
		return 0
	}
	return st.upTo(left - minAnswerMargin)
}

// once returns a function that posts an input the first time.
func once(post func(quetzalwork.Input)) func(quetzalwork.Input) {
	posted := false
	return func(in quetzalwork.Input) {
		if !posted {
			posted = true
			post(in)
		}
	}
}

// linked reports whether messages pass between an entry and a minion.
func (f *fleet) linked(e *entry, m *minion) bool {
	return f.reaches(e.zone, m.zone) && !f.strict.cutLinks[link{e.id, m.record.ID}]
}

// reachesStore reports whether a minion's records reach the store.
func (m *minion) reachesStore() bool {
	return !m.f.storeDown && m.f.reaches(m.zone, storeZone) && !m.f.strict.cutMinions[m.record.ID]
}

// cutFromStore keeps a minion from the store for a while. Its record leaves the list after three beats and is back soon
// after.
func (m *minion) cutFromStore(d time.Duration) {
	st := &m.f.strict
	if st.cutMinions == nil {
		st.cutMinions = make(map[quetzalunit.MinionID]bool)
	}
	st.cutMinions[m.record.ID] = true
	m.f.after(3*beat, func() {
		if st.cutMinions[m.record.ID] && !m.f.store.list[m.record.ID].removed {
			m.publish(true)
		}
	})
	m.f.after(d, func() {
		delete(st.cutMinions, m.record.ID)
		m.f.after(st.upTo(beat), func() {
			if m.up && m.reachesStore() && m.successor == nil {
				m.publish(false)
			}
		})
	})
}

// cutLink cuts an entry off from a minion for a while.
func (f *fleet) cutLink(e *entry, m *minion, d time.Duration) {
	if f.strict.cutLinks == nil {
		f.strict.cutLinks = make(map[link]bool)
	}
	l := link{e.id, m.record.ID}
	f.strict.cutLinks[l] = true
	f.after(d, func() { delete(f.strict.cutLinks, l) })
}

// peersLinked reports whether messages pass between two entries.
func (f *fleet) peersLinked(a, b *entry) bool {
	return f.reaches(a.zone, b.zone) && !f.strict.cutPeers[[2]quetzalunit.EntryID{min(a.id, b.id), max(a.id, b.id)}]
}

// cutPeers cuts two entries off from each other for a while.
func (f *fleet) cutPeers(a, b *entry, d time.Duration) {
	if f.strict.cutPeers == nil {
		f.strict.cutPeers = make(map[[2]quetzalunit.EntryID]bool)
	}
	pair := [2]quetzalunit.EntryID{min(a.id, b.id), max(a.id, b.id)}
	f.strict.cutPeers[pair] = true
	f.after(d, func() { delete(f.strict.cutPeers, pair) })
}

// performStrictly is perform with a store as unkind as the fleet's strictness says.
func (s *store) performStrictly(e *entry, c quetzalwork.Command, timeout time.Duration, post func(quetzalwork.Input)) {
	f, st := e.f, &e.f.strict
	deadline, answered := f.now.Add(timeout), false
	answer := func(in quetzalwork.Input) {
		if !answered {
			answered = true
			post(in)
		}
	}
	f.after(timeout, func() { answer(failedInput(c, quetzalwork.StoreUnanswered)) })
	reply := func(in quetzalwork.Input) {
		f.after(f.delay()+st.lag(deadline.Sub(f.now)), func() {
			if f.reaches(e.zone, storeZone) {
				answer(in)
			}
		})
	}
	if isWrite(c) && st.chance(st.lateWrites) {
		if f.reaches(e.zone, storeZone) && st.refused[e.id] == quetzalwork.StoreDone {
			f.after(st.upTo(maxStrictDelay), func() {
				if !f.storeDown {
					s.serve(e, c)
				}
			})
		}
		return
	}
	f.after(f.delay()+s.enqueue(f.now, c), func() {
		_, list := c.(quetzalwork.ListMinions)
		_, renewal := c.(quetzalwork.RenewMember)
		_, lease := c.(quetzalwork.RenewHostLease)
		d, duty := c.(quetzalwork.WriteDuty)
		switch result := st.refused[e.id]; {
		case !f.reaches(e.zone, storeZone), f.storeDown, list && s.listDown, (renewal || lease) && s.renewalsLost[e.id],
			duty && !d.Release && s.takeoversLost[e.id], st.partDown != nil && st.partDown(c), s.holds(c):
			return
		case result == quetzalwork.StoreRefused:
			reply(failedInput(c, result))
			return
		case result != quetzalwork.StoreDone:
			return
		}
		in := s.serve(e, c)
		if members, ok := in.(quetzalwork.MembersRead); ok && st.splitReads && members.Full {
			f.after(st.upTo(200*time.Millisecond), func() {
				later := s.serve(e, c).(quetzalwork.MembersRead)
				members.Duties, members.Settled, members.HostLease = later.Duties, later.Settled, later.HostLease
				reply(members)
			})
			return
		}
		if f.loseAnswers > 0 && st.chance(f.loseAnswers) {
			return
		}
		reply(in)
	})
}

// isWrite reports whether a command is a transaction.
func isWrite(c quetzalwork.Command) bool {
	switch c.(type) {
	case quetzalwork.StoreJobs, quetzalwork.StoreProgress, quetzalwork.StoreCancel, quetzalwork.StoreEarlyCancel, quetzalwork.StoreCancelledJob, quetzalwork.RemoveEarlyCancel, quetzalwork.RenewMember, quetzalwork.WriteDuty,
		quetzalwork.SettleDuty, quetzalwork.RenewHostLease, quetzalwork.StoreDivision:
		return true
	default:
		return false
	}
}

// callMinionStrictly is callMinion with links of their own and slow answers.
func (e *entry) callMinionStrictly(m *minion, c *minionCall) {
	f, st := e.f, &e.f.strict
	deadline, answered := f.now.Add(c.timeout), false
	var waited time.Duration
	var arrive func()
	arrive = func() {
		switch {
		case answered:
			return
		case !m.up && m.successor == nil:
			waited += reconnectDelay
			f.after(reconnectDelay, arrive)
			return
		case !f.linked(e, m):
			return
		}
		reset := st.chance(st.resets)
		if reset && st.rng.IntN(2) == 0 {
			answered = true
			c.answer(quetzalwork.OrderUnanswered{})
			return
		}
		present := m.record.Incarnation
		var reply func()
		switch {
		case m.successor != nil:
			reply = func() { c.answer(quetzalwork.OrderMisdirected{}) }
		case c.target.Incarnation != 0 && c.target.Incarnation != present && !f.connsOutlive:
			reply = func() { c.answer(quetzalwork.OrderWrongIncarnation{Incarnation: present}) }
		default:
			reply = c.serve(waited)
			if st.chance(c.copied) {
				f.after(st.upTo(maxStrictDelay), func() {
					if m.up {
						c.serveLate()
					}
				})
			}
		}
		if reset {
			answered = true
			c.answer(quetzalwork.OrderUnanswered{})
			return
		}
		f.after(f.delay()+st.lag(deadline.Sub(f.now)), func() {
			if f.linked(e, m) && !answered {
				answered = true
				reply()
			}
		})
	}
	f.after(f.delay(), arrive)
	f.after(c.timeout, func() {
		if !answered {
			answered = true
			c.answer(quetzalwork.OrderUnanswered{})
		}
	})
}

// send performs a command some time after it was decided, unless the process has ended by then. A process that is
// suspended goes on with it afterwards.
func (e *entry) send(c quetzalwork.Command) {
	f, boot := e.f, e.boot
	switch c.(type) {
	case quetzalwork.AnswerCaller, quetzalwork.ReplyToPeer, quetzalwork.LogDecision, quetzalwork.SetRelays, quetzalwork.ObserveJob, quetzalwork.ObserveRefusal,
		quetzalwork.ObserveWait:
		e.perform(c)
		return
	}
	wait := f.strict.upTo(time.Millisecond)
	if f.strict.chance(f.strict.slowSends) {
		wait = f.strict.upTo(maxSlowSend)
	}
	var attempt func()
	attempt = func() {
		switch {
		case !e.up || e.boot != boot:
			return
		case f.now < e.pausedUntil:
			f.after(e.pausedUntil.Sub(f.now)+f.strict.upTo(time.Millisecond), attempt)
			return
		}
		if start, ok := c.(quetzalwork.StartRun); ok && f.now >= start.ValidUntil {
			e.post(boot, quetzalwork.StartAnswered{Run: start.Run, Token: start.Target.Token, Result: quetzalwork.OrderNotSent{}})
			return
		}
		e.perform(c)
	}
	f.after(wait, attempt)
}

// receive handles a message of another entry, which may arrive late and twice.
func (e *entry) receive(deliver func()) {
	f := e.f
	if !f.strict.chance(f.strict.latePeers) {
		deliver()
		return
	}
	for range 1 + f.strict.rng.IntN(2) {
		f.after(f.strict.upTo(maxStrictDelay), func() {
			if e.up {
				deliver()
			}
		})
	}
}

// joinGang adds a task to the run of its gang. The run works from the moment at which all tasks are present. A task for
// which that does not come ends by itself.
func (st *strictness) joinGang(m *minion, task quetzalwork.TaskID, run *fakeRun, spec *quetzalwork.StepSpec) {
	key := gangRun{task.Job, task.Occurrence, task.Step, run.number}
	if st.present == nil {
		st.present = make(map[gangRun]map[quetzalunit.TaskIndex]*gangMember)
	}
	members := st.present[key]
	if members == nil {
		members = make(map[quetzalunit.TaskIndex]*gangMember)
		st.present[key] = members
		st.watchGang(m.f, members)
	}
	joined := &gangMember{m: m, task: task, run: run}
	members[task.Task] = joined
	if complete(members, spec.TaskCount) {
		for _, g := range members {
			g.works = true
		}
		m.f.after(time.Duration(float64(spec.Estimate)*(0.5+st.rng.Float64())), func() {
			if complete(members, spec.TaskCount) {
				endGang(members, quetzalwork.OutcomeDone)
			}
		})
	}
	m.f.after(gangPatience, func() {
		if !joined.works && joined.active() {
			m.end(task, quetzalwork.OutcomeGangTimeout)
		}
	})
}

// complete reports whether all tasks of a gang are present.
func complete(members map[quetzalunit.TaskIndex]*gangMember, count quetzalunit.Tasks) bool {
	for _, g := range members {
		if !g.active() {
			return false
		}
	}
	return len(members) == int(count)
}

// watchGang ends the tasks of a gang's run soon after one of them has ended otherwise.
func (st *strictness) watchGang(f *fleet, members map[quetzalunit.TaskIndex]*gangMember) {
	f.after(gangPeriod, func() {
		active, ended := 0, 0
		for _, g := range members {
			if g.active() {
				active++
			} else {
				ended++
			}
		}
		switch {
		case ended > 0:
			endGang(members, quetzalwork.OutcomeGangBroken)
		case active > 0:
			st.watchGang(f, members)
		}
	})
}

// endGang ends the tasks of a gang's run that are active, in the order of their numbers.
func endGang(members map[quetzalunit.TaskIndex]*gangMember, outcome quetzalwork.RunOutcome) {
	var order []quetzalunit.TaskIndex
	for i := range members {
		order = append(order, i)
	}
	slices.Sort(order)
	for _, i := range order {
		if g := members[i]; g.active() {
			g.m.end(g.task, outcome)
		}
	}
}
