package quetzalsystem

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// limitRecoveryInterval is the mean time between two increases of a host's limit, by one
	// slot each, after an explicit refusal has lowered it.
	limitRecoveryInterval = 40 * time.Millisecond
	// overShareFactor is the multiple of its weighted share that a team may run before
	// the last free slot of each host is reserved for other teams.
	overShareFactor = 2
	// probationSlots is the maximum number of attempts in flight on a host on probation.
	probationSlots quetzalunit.Slots = 1
)

// dispatch starts queued requests of the changed pools while hosts have free slots.
// If no host of a pool in the zone accepts new work, it forwards the pool's requests.
func dispatch(w *quetzalfleet.World) {
	if !mayServe(w) {
		return
	}
	for _, row := range w.DirtyPools.Take() {
		p := w.Pools.At(row)
		if p == nil {
			continue
		}
		if !anyHostAcceptsWork(w, p) {
			forwardPool(w, row)
			continue
		}
		d := newDispatcher(w, row)
		for lane := range quetzalfleet.LaneCount {
			d.dispatchLane(lane)
		}
	}
}

// dispatcher starts requests of one pool within one tick.
type dispatcher struct {
	w        *quetzalfleet.World
	pool     *quetzalfleet.Pool
	settings quetzalfleet.Settings
	// entries is the size of the zone's roster, position this entry's index in it.
	entries, position int
	// idleEntries is the number of other entries in the roster without demand for the pool.
	// It is set only under BorrowDispatch.
	idleEntries int
	// eligible is a buffer that pickHost reuses.
	eligible []quetzalfleet.Row
}

func newDispatcher(w *quetzalfleet.World, row quetzalfleet.Row) *dispatcher {
	d := &dispatcher{w: w, pool: w.Pools.At(row), settings: settingsOf(w, row)}
	d.entries, d.position = rosterPosition(w)
	if _, ok := d.settings.Dispatch.(quetzalfleet.BorrowDispatch); ok {
		d.idleEntries = countIdlePeers(w, d.pool.ID)
	}
	return d
}

// dispatchLane starts requests of one lane, taking the pool's queues in turn, until the
// lane is empty or no host has a slot for it.
func (d *dispatcher) dispatchLane(lane quetzalfleet.Lane) {
	for {
		queueRow := d.nextQueue(lane)
		if queueRow == 0 {
			return
		}
		fifoRow, host := d.pickFIFO(queueRow, lane)
		if host == 0 {
			return
		}
		row := d.w.TeamFIFOs.At(fifoRow).Head
		if d.deadlineTooClose(row) {
			finishRequest(d.w, row, deadlineTooCloseOutcome(d.w, d.w.Requests.At(row)))
			continue
		}
		if needsSentMark(d.w.Requests.At(row)) {
			if !writeSentMark(d.w, row) {
				return
			}
			continue
		}
		unlinkRequest(d.w, row)
		advanceRoundRobin(d.w, queueRow, fifoRow)
		d.startAttempt(row, host, fifoRow)
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

// deadlineTooClose reports whether a request's deadline leaves less time than the mean run
// time of its class. If such requests were sent, they would occupy a slot and time
// out; after an outage, a queue of them could keep every slot busy and never recover.
func (d *dispatcher) deadlineTooClose(row quetzalfleet.Row) bool {
	r := d.w.Requests.At(row)
	return r.Deadline.Sub(d.w.Now) < d.w.Queues.At(r.Queue).MeanRunTime[r.Class]
}

// pickFIFO returns the first FIFO of a lane, in round-robin order, whose head can
// start, and the host for it. A team over its share does not get the last free slot of
// a host. If a team within its share finds no host, neither does any other team.
func (d *dispatcher) pickFIFO(queueRow quetzalfleet.Row, lane quetzalfleet.Lane) (fifo, host quetzalfleet.Row) {
	for _, row := range d.w.Queues.At(queueRow).Lanes[lane] {
		f := d.w.TeamFIFOs.At(row)
		var reserve quetzalunit.Slots
		if d.overShare(f) {
			reserve = 1
		}
		if host := d.pickHost(d.w.Requests.At(f.Head), reserve); host != 0 {
			return row, host
		}
		if reserve == 0 {
			return 0, 0
		}
	}
	return 0, 0
}

// overShare reports whether the attempts in flight from a FIFO have reached
// overShareFactor times its team's weighted share of the pool's slots.
func (d *dispatcher) overShare(f *quetzalfleet.TeamFIFO) bool {
	slots := int64(len(d.pool.Hosts)) * int64(quetzalunit.SlotsPerMinion)
	share := overShareFactor * slots * int64(d.w.Teams.At(f.Team).Weight) / max(1, int64(d.w.TotalTeamWeight))
	return int64(f.Running) >= max(overShareFactor, share)
}

// pickHost returns the less loaded of two random hosts with more free slots than
// reserve (the power of two choices), or zero if there is no such host. It excludes
// the host of the request's last attempt if another one is eligible.
func (d *dispatcher) pickHost(r *quetzalfleet.Request, reserve quetzalunit.Slots) quetzalfleet.Row {
	d.eligible = d.eligible[:0]
	for _, row := range d.pool.Hosts {
		if d.freeSlots(d.w.Hosts.At(row), r) > reserve {
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

// freeSlots returns the number of slots on a host that this entry may still use for a
// request. It may be negative.
func (d *dispatcher) freeSlots(h *quetzalfleet.Host, r *quetzalfleet.Request) quetzalunit.Slots {
	if !acceptsWork(d.w, h) || h.PausedUntil > d.w.Now {
		return 0
	}
	n := d.attemptLimit(h) - h.Running
	if r.EffectiveClass == quetzalfleet.ClassLong && !r.Urgent {
		n = min(n, d.longAttemptLimit(h)-h.RunningLong)
	}
	return n
}

// acceptsWork reports whether a host may be sent new work.
func acceptsWork(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	switch {
	case h.State != quetzalfleet.HostServing, h.ListedState != quetzalfleet.ListedLive:
		return false
	case h.LeavingGeneration == h.Generation:
		return false
	case h.EjectedUntil > w.Now:
		return false
	}
	return true
}

// attemptLimit returns the maximum number of attempts that this entry may have in flight on
// a host.
func (d *dispatcher) attemptLimit(h *quetzalfleet.Host) quetzalunit.Slots {
	if h.EjectedUntil > 0 || h.PausedUntil > 0 {
		return probationSlots
	}
	switch d.settings.Dispatch.(type) {
	case quetzalfleet.FixedDispatch:
		return min(h.AttemptLimit, d.entryShare(quetzalunit.SlotsPerMinion, h))
	case quetzalfleet.BorrowDispatch:
		own := d.entryShare(quetzalunit.SlotsPerMinion, h)
		borrowed := own * quetzalunit.Slots(d.idleEntries)
		return min(h.AttemptLimit, own+borrowed)
	case quetzalfleet.SharedDispatch:
	}
	return h.AttemptLimit
}

// longAttemptLimit returns the maximum number of attempts treated as long that this entry
// may have in flight on a host. Except under OpenLanes, the long slots are divided
// among the entries of the roster under every dispatch policy.
func (d *dispatcher) longAttemptLimit(h *quetzalfleet.Host) quetzalunit.Slots {
	if _, ok := d.settings.Lanes.(quetzalfleet.OpenLanes); ok {
		return quetzalunit.SlotsPerMinion
	}
	n := d.settings.LongSlots.Of(int64(quetzalunit.SlotsPerMinion))
	return d.entryShare(max(1, quetzalunit.Slots(n)), h)
}

// entryShare returns this entry's part of n slots of a host. Which entries get the
// remainder of the division depends on the host, so that no entry is favoured on all hosts.
func (d *dispatcher) entryShare(n quetzalunit.Slots, h *quetzalfleet.Host) quetzalunit.Slots {
	entries := quetzalunit.Slots(d.entries)
	part := n / entries
	rank := (d.position + hostHash(h.ID)) % d.entries
	if quetzalunit.Slots(rank) < n%entries {
		part++
	}
	return part
}

// hostHash returns a hash of a host's id (32-bit FNV-1a without the low byte), which
// all entries agree on and which spreads hosts evenly over roster positions.
func hostHash(id quetzalunit.HostID) int {
	n := uint32(2166136261)
	for i := range len(id) {
		n = (n ^ uint32(id[i])) * 16777619
	}
	return int(n >> 8)
}

func (d *dispatcher) startAttempt(row, hostRow, fifoRow quetzalfleet.Row) {
	w := d.w
	r, h := w.Requests.At(row), w.Hosts.At(hostRow)
	long := r.EffectiveClass == quetzalfleet.ClassLong
	attempt := beginAttempt(w, row, quetzalfleet.Attempt{
		Host: hostRow, FIFO: fifoRow, Long: long, Generation: h.Generation,
	})
	w.TeamFIFOs.At(fifoRow).Running++
	h.Running++
	if long {
		h.RunningLong++
	}
	if _, ok := d.settings.Lanes.(quetzalfleet.DemoteLanes); ok && !long {
		w.After(d.settings.ShortRun, quetzalfleet.ShortRunExceeded{Attempt: attempt})
	}
	w.Emit(quetzalfleet.SendAttempt{
		Attempt: attempt, ID: r.ID, Host: h.ID, Address: h.Address, Pool: h.Pool,
		Generation: h.Generation, Work: r.Work, Timeout: r.Deadline.Sub(w.Now),
	})
}

// beginAttempt inserts an attempt and updates the request, queue and team.
func beginAttempt(w *quetzalfleet.World, row quetzalfleet.Row, a quetzalfleet.Attempt) quetzalfleet.Row {
	r := w.Requests.At(row)
	a.Request, a.Queue, a.Team, a.StartedAt = row, r.Queue, r.Team, w.Now
	attempt := w.Attempts.Insert(a)
	releaseSentMark(w, r)
	r.State = quetzalfleet.RequestRunning
	r.Attempt = attempt
	r.Attempts++
	if r.StartedAt == 0 {
		r.StartedAt = w.Now
		addRetryTokens(w, w.Queues.At(r.Queue).Pool)
	}
	w.Queues.At(r.Queue).Running++
	w.Teams.At(r.Team).Running++
	return attempt
}

// demoteAttempt counts an attempt that outlasted Settings.ShortRun as long from now on.
func demoteAttempt(w *quetzalfleet.World, row quetzalfleet.Row) {
	a := w.Attempts.At(row)
	if a == nil || a.Long {
		return
	}
	a.Long = true
	w.Hosts.At(a.Host).RunningLong++
	if r := w.Requests.At(a.Request); r != nil && r.Class == quetzalfleet.ClassShort {
		updateLongShare(w, a.Team, fullShare)
	}
}

func recoverLimit(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h == nil || h.AttemptLimit >= quetzalunit.SlotsPerMinion {
		return
	}
	h.AttemptLimit++
	if h.AttemptLimit < quetzalunit.SlotsPerMinion {
		w.After(w.Jitter(limitRecoveryInterval), quetzalfleet.LimitRecoveryDue{Host: row})
	}
	w.DirtyPools.Add(h.PoolRow)
}
