package quetzalsystem

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// limitRecovery is the mean time after which a host's limit rises by one slot.
	limitRecovery = 40 * time.Millisecond
	// shareFactor is how many times its share a team may run before it leaves the
	// last slot of each host to others.
	shareFactor = 2
	// probationSlots is the number of attempts in flight on a host on probation.
	probationSlots quetzalunit.Slots = 1
)

// dispatch starts what the free slots of the changed pools permit.
func dispatch(w *quetzalfleet.World) {
	if !mayServe(w) {
		return
	}
	for _, row := range w.DirtyPools.Take() {
		p := w.Pools.At(row)
		if p == nil {
			continue
		}
		if !anyTakesWork(w, p) {
			forwardPool(w, row)
			continue
		}
		d := newDispatcher(w, row)
		for lane := range quetzalfleet.LaneCount {
			d.startLane(lane)
		}
	}
}

// dispatcher starts the requests of one pool in one tick.
type dispatcher struct {
	w        *quetzalfleet.World
	pool     *quetzalfleet.Pool
	settings quetzalfleet.Settings
	// entries and position are this entry's place in the zone's roster.
	entries, position int
	// idle is the number of other entries without demand for the pool.
	idle int
	// eligible is scratch space for the choice of a host.
	eligible []quetzalfleet.Row
}

func newDispatcher(w *quetzalfleet.World, row quetzalfleet.Row) *dispatcher {
	d := &dispatcher{w: w, pool: w.Pools.At(row), settings: settingsOf(w, row)}
	d.entries, d.position = rosterPosition(w)
	if _, ok := d.settings.Dispatch.(quetzalfleet.BorrowDispatch); ok {
		d.idle = idlePeers(w, d.pool.ID)
	}
	return d
}

// startLane starts requests of one lane, queue by queue in turn, until the lane
// is empty or no host has a slot for it.
func (d *dispatcher) startLane(lane quetzalfleet.Lane) {
	for {
		queueRow := d.nextQueue(lane)
		if queueRow == 0 {
			return
		}
		lineRow, host := d.pickLine(queueRow, lane)
		if host == 0 {
			return
		}
		row := d.w.Lines.At(lineRow).Head
		if d.tooLate(row) {
			finish(d.w, row, tooLate(d.w, d.w.Requests.At(row)))
			continue
		}
		if mustMark(d.w.Requests.At(row)) {
			if !markSent(d.w, row) {
				return
			}
			continue
		}
		unlink(d.w, row)
		passTurn(d.w, queueRow, lineRow)
		d.start(row, host, lineRow)
	}
}

func (d *dispatcher) nextQueue(lane quetzalfleet.Lane) quetzalfleet.Row {
	n := len(d.pool.Queues)
	for i := range n {
		row := d.pool.Queues[(d.pool.NextQueue+i)%n]
		if len(d.w.Queues.At(row).Lanes[lane]) > 0 {
			d.pool.NextQueue = (d.pool.NextQueue + i + 1) % n
			return row
		}
	}
	return 0
}

// tooLate tells whether a request's deadline leaves less time than its run takes.
// Sent all the same, it would hold a slot and time out: after an outage a queue of
// such requests could keep every slot busy and never recover.
func (d *dispatcher) tooLate(row quetzalfleet.Row) bool {
	r := d.w.Requests.At(row)
	return r.Deadline.Sub(d.w.Now) < d.w.Queues.At(r.Queue).RunTime[r.Class]
}

// pickLine returns the first line whose head can start, and the host for it. A
// team over its share leaves the last slot of each host to the others.
func (d *dispatcher) pickLine(queueRow quetzalfleet.Row, lane quetzalfleet.Lane) (line, host quetzalfleet.Row) {
	for _, row := range d.w.Queues.At(queueRow).Lanes[lane] {
		l := d.w.Lines.At(row)
		var reserve quetzalunit.Slots
		if d.overShare(l) {
			reserve = 1
		}
		if host := d.pickHost(d.w.Requests.At(l.Head), reserve); host != 0 {
			return row, host
		}
		if reserve == 0 {
			return 0, 0
		}
	}
	return 0, 0
}

// overShare tells whether a team runs more of a line's requests than shareFactor
// times its share of the pool's slots.
func (d *dispatcher) overShare(l *quetzalfleet.Line) bool {
	slots := int64(len(d.pool.Hosts)) * int64(quetzalunit.SlotsPerMinion)
	share := shareFactor * slots * int64(d.w.Teams.At(l.Team).Weight) / max(1, int64(d.w.TeamWeight))
	return int64(l.Running) >= max(shareFactor, share)
}

// pickHost returns the less loaded of two random hosts with more free slots than
// the reserve. It avoids the host of the last attempt when it can.
func (d *dispatcher) pickHost(r *quetzalfleet.Request, reserve quetzalunit.Slots) quetzalfleet.Row {
	d.eligible = d.eligible[:0]
	for _, row := range d.pool.Hosts {
		if d.free(d.w.Hosts.At(row), r) > reserve {
			d.eligible = append(d.eligible, row)
		}
	}
	if i := slices.Index(d.eligible, r.LastHost); i >= 0 && len(d.eligible) > 1 {
		d.eligible = slices.Delete(d.eligible, i, i+1)
	}
	n := len(d.eligible)
	switch n {
	case 0:
		return 0
	case 1:
		return d.eligible[0]
	}
	i := d.w.Rand().IntN(n)
	j := (i + 1 + d.w.Rand().IntN(n-1)) % n
	a, b := d.eligible[i], d.eligible[j]
	if d.w.Hosts.At(b).Running < d.w.Hosts.At(a).Running {
		return b
	}
	return a
}

// free returns the number of slots that this entry may still use on a host for a request.
func (d *dispatcher) free(h *quetzalfleet.Host, r *quetzalfleet.Request) quetzalunit.Slots {
	if !takesWork(d.w, h) || h.HeldUntil > d.w.Now {
		return 0
	}
	n := d.limit(h) - h.Running
	if r.Treated == quetzalfleet.Long && !r.Urgent {
		n = min(n, d.longLimit(h)-h.RunningLong)
	}
	return n
}

// takesWork tells whether a host may be sent new work.
func takesWork(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	switch {
	case h.State != quetzalfleet.HostServing, h.Listed != quetzalfleet.ListedLive:
		return false
	case h.LeavingSeen == h.Generation:
		return false
	case h.EjectedUntil > w.Now:
		return false
	}
	return true
}

// limit returns the most attempts that this entry has in flight on a host.
func (d *dispatcher) limit(h *quetzalfleet.Host) quetzalunit.Slots {
	if h.EjectedUntil > 0 || h.HeldUntil > 0 {
		return probationSlots
	}
	switch d.settings.Dispatch.(type) {
	case quetzalfleet.FixedDispatch:
		return min(h.Limit, d.share(quetzalunit.SlotsPerMinion, h))
	case quetzalfleet.BorrowDispatch:
		own := d.share(quetzalunit.SlotsPerMinion, h)
		borrowed := own * quetzalunit.Slots(d.idle)
		return min(h.Limit, own+borrowed)
	case quetzalfleet.SharedDispatch:
	}
	return h.Limit
}

// longLimit returns the most attempts treated as long that this entry has on a
// host. Long work is divided by the roster under every dispatch policy.
func (d *dispatcher) longLimit(h *quetzalfleet.Host) quetzalunit.Slots {
	if _, ok := d.settings.Lanes.(quetzalfleet.OpenLanes); ok {
		return quetzalunit.SlotsPerMinion
	}
	n := d.settings.LongSlots.Of(int64(quetzalunit.SlotsPerMinion))
	return d.share(max(1, quetzalunit.Slots(n)), h)
}

// share returns this entry's part of n slots of a host. The remainder goes to
// other entries on other hosts.
func (d *dispatcher) share(n quetzalunit.Slots, h *quetzalfleet.Host) quetzalunit.Slots {
	entries := quetzalunit.Slots(d.entries)
	part := n / entries
	turn := (d.position + hostOrder(h.ID)) % d.entries
	if quetzalunit.Slots(turn) < n%entries {
		part++
	}
	return part
}

// hostOrder spreads hosts evenly over the positions of a roster.
func hostOrder(id quetzalunit.HostID) int {
	n := uint32(2166136261)
	for i := range len(id) {
		n = (n ^ uint32(id[i])) * 16777619
	}
	return int(n >> 8)
}

func (d *dispatcher) start(row, hostRow, lineRow quetzalfleet.Row) {
	w := d.w
	r, h := w.Requests.At(row), w.Hosts.At(hostRow)
	long := r.Treated == quetzalfleet.Long
	attempt := beginAttempt(w, row, quetzalfleet.Attempt{
		Host: hostRow, Line: lineRow, Long: long, Generation: h.Generation,
	})
	w.Lines.At(lineRow).Running++
	h.Running++
	if long {
		h.RunningLong++
	}
	if _, ok := d.settings.Lanes.(quetzalfleet.DemoteLanes); ok && !long {
		w.After(d.settings.ShortRun, quetzalfleet.ShortRunOver{Attempt: attempt})
	}
	w.Emit(quetzalfleet.SendAttempt{
		Attempt: attempt, ID: r.ID, Host: h.ID, Address: h.Address, Pool: h.Pool,
		Generation: h.Generation, Work: r.Work, Timeout: r.Deadline.Sub(w.Now),
	})
}

// beginAttempt records the start of an attempt of a request.
func beginAttempt(w *quetzalfleet.World, row quetzalfleet.Row, a quetzalfleet.Attempt) quetzalfleet.Row {
	r := w.Requests.At(row)
	a.Request, a.Queue, a.Team, a.StartedAt = row, r.Queue, r.Team, w.Now
	attempt := w.Attempts.Insert(a)
	endMarking(w, r)
	r.State = quetzalfleet.RequestRunning
	r.Attempt = attempt
	r.Attempts++
	if r.StartedAt == 0 {
		r.StartedAt = w.Now
		earnRetries(w, w.Queues.At(r.Queue).Pool)
	}
	w.Queues.At(r.Queue).Running++
	w.Teams.At(r.Team).Running++
	return attempt
}

// demoteAttempt counts a run that outlasted the short run time as long.
func demoteAttempt(w *quetzalfleet.World, row quetzalfleet.Row) {
	a := w.Attempts.At(row)
	if a == nil || a.Long {
		return
	}
	a.Long = true
	w.Hosts.At(a.Host).RunningLong++
	if r := w.Requests.At(a.Request); r != nil && r.Class == quetzalfleet.Short {
		learnLongShare(w, a.Team, wholeShare)
	}
}

func recoverLimit(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h == nil || h.Limit >= quetzalunit.SlotsPerMinion {
		return
	}
	h.Limit++
	if h.Limit < quetzalunit.SlotsPerMinion {
		w.After(w.Jitter(limitRecovery), quetzalfleet.LimitRecovers{Host: row})
	}
	w.DirtyPools.Add(h.PoolRow)
}
