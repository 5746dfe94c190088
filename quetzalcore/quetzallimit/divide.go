package quetzallimit

import (
	"slices"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file keeps the parts of the caps with the pools that need them, for demand that moves from one pool
// to the next within a second or two.

const (
	// urgentInterval is the least time between two proposals while tasks wait for a larger part.
	urgentInterval = 50 * time.Millisecond
	// reviewInterval is the time between two reviews of the parts otherwise.
	reviewInterval = 250 * time.Millisecond
	// retryInterval is the delay after a call that had no answer or was refused.
	retryInterval = 150 * time.Millisecond
	// callTimeout is the timeout of a transaction or read.
	callTimeout = 1200 * time.Millisecond
	// turnTime is how long a pool may have the first turn without using it.
	turnTime = time.Second
)

// Divide proposes a new division of the caps if the parts of this entry's pools do not follow the demand.
func Divide(w *quetzalwork.World) {
	s := &w.Accounts.Division
	if !w.Accounts.InUse && w.Accounts.Holdings.Len() == 0 || s.InFlight || w.Now < s.NextAt {
		return
	}
	var pools []*quetzalwork.Pool
	for _, p := range w.Pools.All() {
		if p.Held && p.JobsLoaded {
			pools = append(pools, p)
		}
	}
	if len(pools) == 0 {
		return
	}
	urgent := false
	for _, h := range w.Accounts.Holdings.All() {
		urgent = urgent || h.Refused
	}
	if !urgent && s.Known.Revision > 0 && w.Now.Sub(s.KnownAt) < reviewInterval && !needsClaim(s, pools) {
		schedule(w, s.KnownAt.Add(reviewInterval))
		return
	}
	next, changed := withoutAbandoned(w, s.Known)
	changed = changed || s.Unanswered
	for _, p := range pools {
		measure(w, p)
		parts, partsChanged := proposeParts(w, p, &next)
		if partsChanged {
			next, changed = next.With(parts), true
		}
	}
	if !changed {
		review(w, pools)
		return
	}
	propose(w, next)
}

// withoutAbandoned returns the division without the pools that nobody dispatches and whose runs have ended, and
// whether there are any. A dispatcher that this process does not know yet has claimed the parts with a later token.
func withoutAbandoned(w *quetzalwork.World, d quetzalaccount.Division) (quetzalaccount.Division, bool) {
	released := func(parts quetzalaccount.PoolParts) bool {
		p := w.Pools.At(w.PoolByID.Get(parts.Pool))
		return p != nil && p.Abandoned.RunsEnd != 0 && w.Now > p.Abandoned.RunsEnd && quetzalunit.Revision(parts.Token) <= p.Abandoned.Duty
	}
	if !slices.ContainsFunc(d.Pools, released) {
		return d, false
	}
	for i := range d.Pools {
		if p := &d.Pools[i]; released(*p) {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartLimit, Message: "The parts of a pool that nobody dispatches are released.", Pool: p.Pool, Version: int64(p.Token)})
		}
	}
	d.Pools = slices.DeleteFunc(slices.Clone(d.Pools), released)
	return d, true
}

// needsClaim reports whether a pool's parts were written last by an earlier dispatcher.
func needsClaim(s *quetzalaccount.DivisionState, pools []*quetzalwork.Pool) bool {
	return slices.ContainsFunc(pools, func(p *quetzalwork.Pool) bool {
		parts, _ := s.Known.Parts(p.ID)
		return parts.Token < p.Token
	})
}

// review reads the division if pools of this entry have a part of it or want one: others may want it.
func review(w *quetzalwork.World, pools []*quetzalwork.Pool) {
	s := &w.Accounts.Division
	if next := s.KnownAt.Add(reviewInterval); w.Now < next {
		s.NextAt = w.Now.Add(urgentInterval)
		schedule(w, min(s.NextAt, next))
		return
	}
	for _, p := range pools {
		if parts, _ := s.Known.Parts(p.ID); len(parts.Accounts) > 0 {
			s.InFlight, s.Reading = true, true
			w.Emit(quetzalwork.ReadDivision{Timeout: callTimeout})
			return
		}
	}
	s.KnownAt = w.Now
	schedule(w, w.Now.Add(reviewInterval))
}

// schedule sets the timer for the next review unless it is set for an earlier instant.
func schedule(w *quetzalwork.World, at quetzalunit.Instant) {
	s := &w.Accounts.Division
	if s.TimerAt <= w.Now || at < s.TimerAt {
		s.TimerAt = at
		w.Timers.Push(at, quetzalwork.LimitsDue{})
	}
}

// measure sums up, for each account, the tasks of a pool that wait for a start and have room there soon.
func measure(w *quetzalwork.World, p *quetzalwork.Pool) {
	for _, h := range w.Accounts.Holdings.All() {
		if h.Pool == p.ID {
			h.Waiting, h.Ending, h.Refused = quetzalunit.Resources{}, quetzalunit.Resources{}, false
			h.FirmUsed, h.FirmWaiting, h.FirmLargest = quetzalunit.Resources{}, quetzalunit.Resources{}, quetzalunit.Resources{}
			if p.PredecessorWorkKnown {
				h.Inherited = quetzalunit.Resources{}
			}
		}
	}
	m := measurement{w: w, room: roomOf(w, p), holdings: make(map[*quetzalaccount.Holding]*waiting)}
	for _, row := range p.ReadySteps {
		m.add(row)
	}
	for _, late := range p.LateSteps {
		if s := w.Steps.At(late.Step); s != nil && s.Late {
			m.add(late.Step)
		}
	}
	for h, waits := range m.holdings {
		m.apply(h, waits)
	}
}

// measurement sums up the waiting tasks of a pool.
type measurement struct {
	w        *quetzalwork.World
	room     *room
	holdings map[*quetzalaccount.Holding]*waiting
}

// waiting sums up the waiting tasks of an account in a pool.
type waiting struct {
	// all are the resources of all tasks, startable those of the tasks that have room soon if no others start.
	all, startable quetzalunit.Resources
	// unreserved are the cores of startable that its tasks do not reserve.
	unreserved quetzalunit.MilliCores
	// largest has the largest components of the startable tasks that end.
	largest quetzalunit.Resources
}

// add adds the waiting tasks of a step.
func (m *measurement) add(row quetzalwork.Row) {
	s := m.w.Steps.At(row)
	if s == nil || s.Waiting == 0 {
		return
	}
	j := m.w.Jobs.At(s.Job)
	h := HoldingOfJob(m.w, j)
	if h == nil || j.State.Final() {
		return
	}
	waits := m.holdings[h]
	if waits == nil {
		waits = &waiting{}
		m.holdings[h] = waits
	}
	needs, n := s.Spec.Resources, min(s.Waiting, m.room.tasksFor(s))
	waits.all = waits.all.Plus(Times(needs, s.Waiting))
	if s.Spec.Gang {
		if n < s.Waiting {
			return
		}
		needs = Times(needs, n)
		n = 1
	}
	if n == 0 {
		return
	}
	waits.startable = waits.startable.Plus(Times(needs, n))
	if s.Spec.BestEffort {
		waits.unreserved += Times(needs, n).Cores
	}
	if s.Spec.LongRunning {
		h.FirmWaiting, h.FirmLargest = h.FirmWaiting.Plus(Times(needs, n)), quetzalaccount.Largest(h.FirmLargest, needs)
	} else {
		waits.largest = quetzalaccount.Largest(waits.largest, needs)
	}
}

// apply sets what waits in a holding. Room that the account's own runs leave is no more than what they use.
func (m *measurement) apply(h *quetzalaccount.Holding, waits *waiting) {
	bound := m.room.soon.Minus(h.Ending)
	bound.Cores += waits.unreserved
	inUse := h.InUse()
	peak := h.Peak.Measure(m.w.Now, inUse.Plus(quetzalaccount.Smallest(waits.startable, positive(bound))))
	h.Waiting = positive(quetzalaccount.Smallest(waits.all, peak.Minus(inUse)))
	h.Waiting = quetzalaccount.Largest(h.Waiting, h.FirmWaiting)
	if waits.largest != (quetzalunit.Resources{}) {
		h.Largest = waits.largest
	}
}

// Times returns the resources of n tasks.
func Times(r quetzalunit.Resources, n quetzalunit.Tasks) quetzalunit.Resources {
	return quetzalunit.Resources{
		Cores: r.Cores * quetzalunit.MilliCores(n), Memory: r.Memory * quetzalunit.Megabytes(n), Accelerators: r.Accelerators * quetzalunit.Accelerators(n),
	}
}

// proposeParts returns the parts that a pool of this entry should have, and whether they are worth
// a transaction. Parts of an earlier dispatcher are claimed as they are, and more for what this one
// needs beside them.
func proposeParts(w *quetzalwork.World, p *quetzalwork.Pool, d *quetzalaccount.Division) (quetzalaccount.PoolParts, bool) {
	old, _ := d.Parts(p.ID)
	if old.Token > p.Token {
		// A later dispatcher has claimed the pool.
		return old, false
	}
	claim := old.Token < p.Token
	next := quetzalaccount.PoolParts{Pool: p.ID, Token: p.Token}
	changed := claim
	for _, id := range accountsOf(w, p, &old) {
		h := w.Accounts.Holdings.At(w.Accounts.HoldingOf(p.ID, id))
		demand := quetzalaccount.Demand{Used: h.InUse(), Waiting: h.Waiting, FirmUsed: h.FirmUsed, FirmWaiting: h.FirmWaiting, FirmLargest: h.FirmLargest, Cap: w.Accounts.CapOf(id)}
		if h.Waiting != (quetzalunit.Resources{}) {
			demand.Largest = h.Largest
		}
		if claim && !p.PredecessorWorkKnown {
			demand.Used = demand.Used.Plus(old.Part(id).Held)
		}
		if !p.PredecessorWorkKnown {
			// Some of the long-running tasks may not be known yet.
			demand.FirmKept = old.Part(id).Firm
		}
		demand.PassTurn = h.TurnSince != 0 && w.Now.Sub(h.TurnSince) >= turnTime
		proposal := quetzalaccount.Propose(d, p.ID, id, &demand)
		h.Target = proposal.Target
		if !proposal.HasTurn {
			h.TurnSince = 0
		} else if h.TurnSince == 0 {
			h.TurnSince = w.Now
		}
		logCap(w, h, &proposal.Part)
		part := proposal.Part
		changed = changed || proposal.Changed
		if part.Held != (quetzalunit.Resources{}) || part.Unmet != (quetzalunit.Resources{}) {
			next.Accounts = append(next.Accounts, part)
		}
	}
	return next, changed
}

// logCap logs when work of an account begins to wait for a larger part of its cap, and when it no longer does.
func logCap(w *quetzalwork.World, h *quetzalaccount.Holding, part *quetzalaccount.AccountPart) {
	atCap := part.Unmet != (quetzalunit.Resources{})
	if atCap == h.AtCap {
		return
	}
	h.AtCap = atCap
	message := "Work of an account waits for a larger part of its cap."
	if !atCap {
		message = "No work of the account waits for its cap any more."
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartLimit, Message: message, Pool: h.Pool, Version: int64(part.Held.Cores), Age: w.Now.Sub(w.Accounts.Division.KnownAt),
		Reason: string(h.Account), Routine: true,
	})
}

// accountsOf returns the accounts that have a part of their cap in a pool, or a holding there, in the order of
// their ids.
func accountsOf(w *quetzalwork.World, p *quetzalwork.Pool, parts *quetzalaccount.PoolParts) []quetzalunit.AccountID {
	var ids []quetzalunit.AccountID
	for _, a := range parts.Accounts {
		ids = append(ids, a.Account)
	}
	for _, h := range w.Accounts.Holdings.All() {
		if h.Pool == p.ID {
			ids = append(ids, h.Account)
		}
	}
	slices.SortFunc(ids, func(a, b quetzalunit.AccountID) int { return strings.Compare(string(a), string(b)) })
	return slices.Compact(ids)
}

// propose starts the transaction with a division. Parts that it lowers count as lowered from now on, since the
// store may carry it out at any time.
func propose(w *quetzalwork.World, next quetzalaccount.Division) {
	s := &w.Accounts.Division
	for _, h := range w.Accounts.Holdings.All() {
		parts, _ := next.Parts(h.Pool)
		held := parts.Part(h.Account).Held
		if s.Unanswered {
			held = quetzalaccount.Smallest(held, h.Ceiling)
		}
		h.Ceiling = held
	}
	s.InFlight, s.Reading, s.Proposed = true, false, next
	s.NextAt = w.Now.Add(urgentInterval)
	w.Emit(quetzalwork.StoreDivision{Expected: s.Known.Revision, Division: next, Timeout: callTimeout})
}

// HandleDivision applies the result of a StoreDivision or ReadDivision command.
func HandleDivision(w *quetzalwork.World, in *quetzalwork.DivisionAnswered) {
	s := &w.Accounts.Division
	proposal := !s.Reading
	s.InFlight, s.Reading = false, false
	switch in.Result {
	case quetzalwork.StoreDone:
		learn(w, in.Division)
	case quetzalwork.StoreConflict:
		if in.Division.Revision == 0 && s.Known.Revision == 0 || in.Division.Revision > 0 {
			learn(w, in.Division)
		}
		s.NextAt = w.Now
	case quetzalwork.StoreUnanswered:
		if proposal {
			s.Unanswered, s.UnansweredAt = true, s.Known.Revision
		}
		s.NextAt = w.Now.Add(retryInterval)
	default:
		s.NextAt = w.Now.Add(retryInterval)
	}
	schedule(w, max(s.NextAt, w.Now.Add(time.Millisecond)))
}

// learn applies a division that a transaction or read has shown, and requests placement in the pools that may
// start more by it.
func learn(w *quetzalwork.World, d quetzalaccount.Division) {
	s := &w.Accounts.Division
	s.KnownAt = w.Now
	if d.Revision < s.Known.Revision {
		return
	}
	before := s.Known
	s.Known = d
	if s.Unanswered && d.Revision > s.UnansweredAt {
		s.Unanswered = false
	}
	for _, p := range w.Pools.All() {
		if !p.Held {
			continue
		}
		inherit(w, p, &before, &d)
		applyParts(w, p, &d)
		p.NeedsPlacement = p.NeedsPlacement || len(p.ReadySteps)+len(p.LateSteps) > 0
	}
}

// inherit records what a pool had when this dispatcher claimed it, as the row that its transaction
// replaced shows.
func inherit(w *quetzalwork.World, p *quetzalwork.Pool, before, now *quetzalaccount.Division) {
	old, _ := before.Parts(p.ID)
	parts, _ := now.Parts(p.ID)
	if parts.Token != p.Token || old.Token == p.Token || p.PredecessorWorkKnown {
		return
	}
	for _, a := range old.Accounts {
		h := w.Accounts.Holdings.At(w.Accounts.HoldingOf(p.ID, a.Account))
		h.Inherited = a.Held
	}
}

// applyParts sets what the accounts may run in a pool of this entry.
func applyParts(w *quetzalwork.World, p *quetzalwork.Pool, d *quetzalaccount.Division) {
	parts, _ := d.Parts(p.ID)
	for _, id := range accountsOf(w, p, &parts) {
		h := w.Accounts.Holdings.At(w.Accounts.HoldingOf(p.ID, id))
		h.Granted, h.Others = quetzalunit.Resources{}, d.HeldByOthers(p.ID, id)
		if parts.Token == p.Token {
			h.Granted = parts.Part(id).Held
		}
	}
}

// ForgetPool discards the holdings of a pool whose dispatch begins or has ended. A new dispatcher may
// use no part before it has claimed it.
func ForgetPool(w *quetzalwork.World, p *quetzalwork.Pool) {
	for row, h := range w.Accounts.Holdings.All() {
		if h.Pool == p.ID {
			w.Accounts.HoldingByKey.Delete(h.HoldingKey)
			w.Accounts.Holdings.Delete(row)
		}
	}
	w.Accounts.Division.NextAt = w.Now
}
