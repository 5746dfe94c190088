package quetzalscheduler

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file keeps the cost of membership in line with the number of entries. If each of hundreds of
// entries read the rows of all others and of all minions all the time, the bytes at the store would
// grow with the square of the fleet. Only some entries, the standbys, may take over duties and need
// this. The other entries read the rows of members and duties from time to time, and learn of new
// holders from the holders and from conflicts of transactions.

const (
	// standbysPerDuty times the number of duties plus extraStandbys is the number of standbys. Twice
	// as many as duties leave enough after the loss of a zone.
	standbysPerDuty = 2
	extraStandbys   = 2
	// idleReadPeriod is the time between two reads of the rows of members and duties by an entry
	// that is no standby and holds no duty.
	idleReadPeriod = 10 * time.Second
	// startupReadTime is the time after its start in which every entry reads the rows often, since
	// the set of standbys changes while the entries start.
	startupReadTime = 5 * time.Second
)

// updateStandbys determines the standbys: the live entries with the most processor time. Entries
// with the same share are ordered by a hash, so that all entries agree. This entry always counts as live:
// the others may see renewals of its row that its own last read did not show, and leave duties to it.
func updateStandbys(w *quetzalwork.World) {
	type candidate struct {
		entry  quetzalunit.EntryID
		cores  float64
		weight uint64
	}
	var candidates []candidate
	for _, m := range w.Members.All() {
		if !m.Stopping && (isLive(w, m) || m.Entry == w.Self.Entry) {
			h := fnv.New64a()
			_, _ = h.Write([]byte(m.Entry)) // never fails
			candidates = append(candidates, candidate{m.Entry, coresOf(m.CPUShare), h.Sum64()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(b.weight, a.weight))
	})
	n := min(len(candidates), standbysPerDuty*len(dutyKeys(w))+extraStandbys)
	was := w.Membership.Standbys[w.Self.Entry]
	w.Membership.Standbys = make(map[quetzalunit.EntryID]bool, n)
	for _, c := range candidates[:n] {
		w.Membership.Standbys[c.entry] = true
	}
	if is := w.Membership.Standbys[w.Self.Entry]; is != was {
		message := "This entry is a standby for the duties."
		if !is {
			message = "This entry is no standby for the duties; it reads who holds them rarely."
		}
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: message, Version: int64(n), Age: readPeriod(w)})
	}
}

// holdsAnyDuty reports whether this process holds a duty.
func holdsAnyDuty(w *quetzalwork.World) bool {
	return w.HostController.Held || DispatchesPool(w)
}

// DispatchesPool reports whether this process dispatches a pool.
func DispatchesPool(w *quetzalwork.World) bool {
	for _, p := range w.Pools.All() {
		if p.Held {
			return true
		}
	}
	return false
}

// isStandby reports whether this entry is a standby or holds a duty.
func isStandby(w *quetzalwork.World) bool {
	return w.Membership.Standbys[w.Self.Entry] || holdsAnyDuty(w)
}

// readPeriod returns the time between two reads of the rows of members and duties by this entry. An
// entry that has seen a duty without a live holder reads them often: the standbys may be lost, too.
func readPeriod(w *quetzalwork.World) time.Duration {
	if isStandby(w) || w.Now.Sub(w.StartedAt) < startupReadTime {
		return renewPeriod
	}
	for _, id := range dutyKeys(w) {
		if d := dutyOf(w, id); d.FreeSince != 0 {
			return renewPeriod
		}
	}
	return idleReadPeriod
}

// suspectHolder reads the rows of members and duties because a call to the holder of a duty failed.
// Without that, an entry that reads them rarely would miss the loss of all standbys.
func suspectHolder(w *quetzalwork.World) {
	if w.Now.Sub(w.Membership.ReadSentAt) >= renewPeriod {
		readMembers(w)
	}
}
