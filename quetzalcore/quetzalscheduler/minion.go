package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// leaseTime is the lease of what runs on a minion. A shorter one frees the tasks of a
	// crashed minion sooner; a longer one outlasts the takeover of its pool.
	leaseTime = 4500 * time.Millisecond
	// listPeriod is the time between two reads of the list of minions; a draining minion is to
	// get no new work after two seconds.
	listPeriod = 450 * time.Millisecond
	// shortListPeriod is the same while a pool waits for hosts.
	shortListPeriod = 200 * time.Millisecond
	// idleListPeriod is the same at an entry that dispatches no pool.
	idleListPeriod = 2500 * time.Millisecond
	// rememberTime is how long a minion that left the list is remembered for a takeover: a
	// predecessor cannot keep work on it alive for longer.
	rememberTime = 16 * time.Second
	// holdWait is how long a minion may wait for an end before it answers.
	holdWait = 800 * time.Millisecond
	// holdPause is the least time between two holds of a minion. A large pool at its peak has an
	// end for every hold: holdRate bounds the holds a second that the processor of a whole core
	// is spent on, so that ends gather instead.
	holdPause = 15 * time.Millisecond
	holdRate  = 3000
	// notePause is the pause before the next hold while ends wait to be stored.
	notePause = 60 * time.Millisecond
	// missPause is the pause after a hold without an answer.
	missPause = 200 * time.Millisecond
	// lapseSlack is added to the end of a lease before its runs count as gone.
	lapseSlack = 150 * time.Millisecond
	// slowClock is how slow a minion's clock may be.
	slowClock = 0.98
	// strangeTime is how long work of a job that is not known is let run: an entry may be
	// about to tell of it.
	strangeTime = 4 * time.Second
)

// listMinions reads what changed in the list of minions.
func listMinions(w *quetzalwork.World) {
	if w.MinionList.Reading {
		return
	}
	w.MinionList.Reading = true
	w.Emit(quetzalwork.ListMinions{After: w.MinionList.Seen})
}

func hearMinionList(w *quetzalwork.World, in *quetzalwork.MinionsListed) {
	l := &w.MinionList
	l.Reading = false
	w.After(listPause(w), quetzalwork.MinionListDue{})
	if in.Result == quetzalwork.StoreCompacted {
		l.Seen = 0
	}
	if in.Result != quetzalwork.StoreDone {
		return
	}
	l.AnsweredAt = w.Now
	if l.WatchedSince == 0 {
		l.WatchedSince = w.Now
	}
	if in.Full {
		unlistMinions(w, in.Entries)
	}
	for i := range in.Entries {
		seeMinion(w, &in.Entries[i])
	}
	for _, id := range in.Removed {
		removeMinion(w, w.MinionByID.Get(id))
	}
	l.Seen = in.Seen
	for row, m := range w.Minions.All() {
		if p := w.Pools.At(m.PoolRow); !m.Listed && !p.Held && w.Now.Sub(m.RemovedAt) > rememberTime {
			forgetMinion(w, row)
		}
	}
}

// listPause is the time to the next read of the list. An entry without a pool keeps the list
// for a takeover: a minion that a predecessor uses may have left the list meanwhile.
func listPause(w *quetzalwork.World) time.Duration {
	pause := idleListPeriod
	for _, p := range w.Pools.All() {
		switch {
		case p.Held && p.Short:
			return shortListPeriod
		case p.Held:
			pause = listPeriod
		}
	}
	return pause
}

// unlistMinions removes the minions that a whole list does not have.
func unlistMinions(w *quetzalwork.World, entries []quetzalwork.MinionEntry) {
	listed := make(map[quetzalunit.MinionID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for row, m := range w.Minions.All() {
		if !listed[m.ID] {
			removeMinion(w, row)
		}
	}
}

// removeMinion marks a minion that has left the list. It gets no new work.
func removeMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m == nil || !m.Listed {
		return
	}
	m.Listed, m.RemovedAt = false, w.Now
	if p := w.Pools.At(m.PoolRow); p.Held {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "The minion left the list.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.AnsweredAt)})
		planHold(w, row, 0)
	}
}

// seeMinion applies an entry of the list of minions.
func seeMinion(w *quetzalwork.World, e *quetzalwork.MinionEntry) {
	pool := poolRow(w, e.Pool)
	p := w.Pools.At(pool)
	row := w.MinionByID.Get(e.ID)
	if m := w.Minions.At(row); m != nil && m.PoolRow != pool {
		if e.Life <= m.Life {
			// Only a later life of the minion can belong to another pool.
			return
		}
		loseRuns(w, row, "Moved")
		forgetMinion(w, row)
		row = 0
	}
	if row == 0 {
		row = w.Minions.Insert(quetzalwork.Minion{MinionEntry: *e, PoolRow: pool, JoinedAt: w.Now, Listed: true, Slowness: 1})
		w.MinionByID.Put(e.ID, row)
		endEarlierMinions(w, e)
		p.Minions = append(p.Minions, row)
		if p.Held {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "A minion joined the pool.", Minion: e.ID, Pool: e.Pool, Host: e.Host, Version: int64(e.Life)})
			planHold(w, row, 0)
			// Its first task waits for a read of the duties.
			readMembersAgain(w)
		}
	}
	m := w.Minions.At(row)
	if m.Life != 0 && e.Life != 0 && e.Life > m.Life {
		renewLife(w, row, e.Life)
	}
	life := max(m.Life, e.Life)
	if e.Draining && !m.Draining {
		m.DrainUntil = w.Now.Add(e.Remaining)
	}
	if e.Draining && !m.Draining && p.Held {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "The minion drains.", Minion: e.ID, Pool: e.Pool, Age: e.Remaining})
	}
	m.MinionEntry = *e
	m.Life, m.Listed = life, true
	p.Dirty = true
}

// endEarlierMinions ends the runs of minions that were on a host before: one runs there at a time.
func endEarlierMinions(w *quetzalwork.World, e *quetzalwork.MinionEntry) {
	if e.Host == "" || e.Life == 0 {
		return
	}
	for row, m := range w.Minions.All() {
		if m.Host != e.Host || m.ID == e.ID || m.Over {
			continue
		}
		if m.Life > e.Life {
			w.Minions.At(w.MinionByID.Get(e.ID)).Over = true
			continue
		}
		m.Over, m.Ends = true, nil
		loseRuns(w, row, "Replaced")
	}
}

// renewLife forgets what an earlier life of a minion ran and knew.
func renewLife(w *quetzalwork.World, row quetzalwork.Row, life quetzalunit.Life) {
	m := w.Minions.At(row)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "The minion has started anew.", Minion: m.ID, Pool: m.Pool, Version: int64(life)})
	loseRuns(w, row, "Restarted")
	m.Life, m.Known, m.Noted, m.Ends, m.Taken = life, 0, 0, nil, false
	m.Clock, m.ClockAt, m.Lease, m.Heard = 0, 0, 0, false
	planHold(w, row, 0)
}

// loseRuns ends the runs of a minion that are certain to be over.
func loseRuns(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	m := w.Minions.At(row)
	for _, run := range slices.Clone(m.Runs) {
		endRun(w, run, quetzalwork.EndLapsed, "", reason)
	}
}

// forgetMinion removes a minion and the runs that are known of it.
func forgetMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	for _, run := range slices.Clone(m.Runs) {
		removeRun(w, run)
	}
	if p := w.Pools.At(m.PoolRow); p != nil {
		p.Minions = slices.DeleteFunc(p.Minions, func(r quetzalwork.Row) bool { return r == row })
	}
	w.MinionByID.Delete(m.ID)
	w.Minions.Delete(row)
}

// planHold sets the instant of a minion's next hold, or brings it forward.
func planHold(w *quetzalwork.World, row quetzalwork.Row, delay time.Duration) {
	m := w.Minions.At(row)
	at := max(w.Now.Add(delay), m.HeldAt.Add(holdSpacing(w, m)))
	if m.HoldAt != 0 && m.HoldAt <= at {
		return
	}
	m.HoldAt = at
	w.Timers.Push(at, quetzalwork.HoldDue{Minion: row})
}

// holdSpacing is the least time between two holds of a minion.
func holdSpacing(w *quetzalwork.World, m *quetzalwork.Minion) time.Duration {
	minions := float64(len(w.Pools.At(m.PoolRow).Minions))
	return max(holdPause, time.Duration(minions/(coresOf(w.Self.Share)*holdRate)*float64(time.Second)))
}

// holdMinions holds the minions whose instant has come within this tick.
func holdMinions(w *quetzalwork.World) {
	for _, p := range w.Pools.All() {
		if !p.Held || !p.Loaded {
			continue
		}
		for _, row := range p.Minions {
			if m := w.Minions.At(row); m.HoldAt != 0 && m.HoldAt <= w.Now && !m.Holding {
				holdMinion(w, row)
			}
		}
	}
}

func targetOf(w *quetzalwork.World, m *quetzalwork.Minion) quetzalwork.MinionTarget {
	return quetzalwork.MinionTarget{Minion: m.ID, Address: m.Address, Token: w.Pools.At(m.PoolRow).Token}
}

func holdMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	m.Holding, m.HeldAt, m.HoldAt = true, w.Now, 0
	c := quetzalwork.HoldMinion{Minion: row, Target: targetOf(w, m), Noted: m.Noted, SentAt: w.Now}
	if m.Heard && m.Misses == 0 {
		if extends(w) {
			c.Lease = leaseFor(w, m)
		}
		if len(m.Ends) == 0 {
			c.Wait = holdWait
		}
	}
	w.Emit(c)
}

// leaseFor returns the end of a lease that begins now, and remembers it.
func leaseFor(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.MinionTime {
	lease := m.Clock.Add(w.Now.Sub(m.ClockAt) + min(leaseTime, longestLease(w)))
	m.Lease = max(m.Lease, lease)
	return lease
}

func longestLease(w *quetzalwork.World) time.Duration {
	if w.Bounds.LongestLease == 0 {
		return leaseTime
	}
	return w.Bounds.LongestLease
}

// lapsesAt is when whatever runs on a minion has lost its lease, unless it is renewed.
func lapsesAt(m *quetzalwork.Minion) quetzalunit.Instant {
	left := time.Duration(m.Lease-m.Clock) * time.Millisecond
	return m.ClockAt.Add(time.Duration(float64(left)/slowClock) + lapseSlack)
}

func hearMinion(w *quetzalwork.World, in *quetzalwork.MinionHeld) {
	m := w.Minions.At(in.Minion)
	if m == nil {
		return
	}
	p := w.Pools.At(m.PoolRow)
	if !p.Held || p.Token != in.Token {
		return
	}
	m.Holding = false
	switch r := in.Result.(type) {
	case quetzalwork.OrderTaken:
		hearLists(w, in, r.Clock)
	case quetzalwork.OrderFenced:
		dropPool(w, m.PoolRow, "Fenced")
		return
	case quetzalwork.OrderAstray:
		loseRuns(w, in.Minion, "Astray")
		m.Ends = nil
		missMinion(w, in.Minion, "Astray")
	default:
		missMinion(w, in.Minion, "Silent")
	}
	if m = w.Minions.At(in.Minion); m != nil {
		planNextHold(w, in.Minion)
	}
}

// missMinion counts a call without success.
func missMinion(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	m := w.Minions.At(row)
	m.Misses++
	if m.Misses == 1 {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "The minion does not answer.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.AnsweredAt), Reason: reason})
	}
}

// planNextHold plans the next hold of a minion that has work, or that has not answered yet.
func planNextHold(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	switch {
	case m.Over:
		// A later minion runs on the host.
	case m.Misses > 0 && !m.Listed && len(m.Runs) == 0 && (m.Heard || w.Now > w.Pools.At(m.PoolRow).PredecessorGone):
		forgetMinion(w, row)
	case m.Misses > 0:
		planHold(w, row, missPause*time.Duration(min(m.Misses, 4)))
	case len(m.Ends) > 0:
		planHold(w, row, notePause)
	case len(m.Runs) > 0:
		planHold(w, row, 0)
	case !m.Listed && w.Now.Sub(m.RemovedAt) > rememberTime:
		forgetMinion(w, row)
	}
}

// resetMinion forgets what a minion has told another holder of its pool's duty.
func resetMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	for _, run := range slices.Clone(m.Runs) {
		removeRun(w, run)
	}
	*m = quetzalwork.Minion{
		MinionEntry: m.MinionEntry, PoolRow: m.PoolRow, JoinedAt: m.JoinedAt, Listed: m.Listed, Over: m.Over, RemovedAt: m.RemovedAt, DrainUntil: m.DrainUntil, Slowness: 1,
	}
}

// hearLists applies what a minion lists.
func hearLists(w *quetzalwork.World, in *quetzalwork.MinionHeld, clock quetzalunit.MinionTime) {
	m := w.Minions.At(in.Minion)
	p := w.Pools.At(m.PoolRow)
	if in.Life != 0 && m.Life != 0 && in.Life > m.Life {
		renewLife(w, in.Minion, in.Life)
	}
	m.Life = max(m.Life, in.Life)
	if m.Misses > 0 {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "The minion answers again.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.AnsweredAt)})
	}
	if !m.Heard || m.Misses > 0 {
		p.Dirty = true
	}
	if !m.Heard {
		m.HeardAt = w.Now
	}
	m.Heard, m.Misses = true, 0
	m.Clock, m.ClockAt, m.AnsweredAt = clock, w.Now, w.Now
	m.Lease = max(m.Lease, clock)
	strange := false
	for i := range in.Ends {
		if in.Ends[i].Number <= m.Known {
			continue
		}
		if !hearEnd(w, in.Minion, &in.Ends[i]) {
			strange = true
			break
		}
	}
	listed := make(map[quetzalwork.Row]bool, len(in.Running))
	for i := range in.Running {
		run, known := seeRun(w, in.Minion, &in.Running[i])
		strange = strange || !known
		listed[run] = true
	}
	dropAbsentRuns(w, in, listed)
	noteStrange(w, in.Minion, strange)
	noteEnds(w, p)
}

// noteStrange remembers since when a minion lists work of jobs that are not known, and reads
// the pool's rows for them.
func noteStrange(w *quetzalwork.World, row quetzalwork.Row, strange bool) {
	m := w.Minions.At(row)
	if !strange {
		m.StrangeSince = 0
		return
	}
	if m.StrangeSince == 0 {
		m.StrangeSince = w.Now
	}
	readPool(w, m.PoolRow, w.Pools.At(m.PoolRow).Token)
}

// isStrangeForLong tells whether work of unknown jobs has waited long enough to be given up.
func isStrangeForLong(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	return m.StrangeSince != 0 && w.Now.Sub(m.StrangeSince) > strangeTime
}

// dropAbsentRuns ends the runs that a minion would list if they ran.
func dropAbsentRuns(w *quetzalwork.World, in *quetzalwork.MinionHeld, listed map[quetzalwork.Row]bool) {
	m := w.Minions.At(in.Minion)
	for _, row := range slices.Clone(m.Runs) {
		r := w.Runs.At(row)
		if listed[row] {
			continue
		}
		switch r.State {
		case quetzalwork.RunWorking:
			if r.AnsweredAt < in.SentAt {
				endRun(w, row, quetzalwork.EndLapsed, "", "Absent")
			}
		case quetzalwork.RunUnknown:
			closed := r.StopAnsweredAt != 0 && r.StopAnsweredAt < in.SentAt
			if closed || m.Clock > r.StartDeadline.Add(lapseSlack) {
				endRun(w, row, quetzalwork.EndStopped, "", "NeverStarted")
			}
		case quetzalwork.RunStarting:
			// The answer to the start is under way.
		}
	}
}
