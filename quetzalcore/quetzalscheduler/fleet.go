package quetzalscheduler

import (
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// watchWait bounds a wait for changes of the operators' rows. A connection may go silent
	// without a sign, so that it must stay well below the two seconds in which a configuration
	// is to be in force.
	watchWait = 800 * time.Millisecond
	// watchRetry is the pause after a watch without an answer.
	watchRetry = 150 * time.Millisecond
)

// watchFleet begins the next watch on the operators' rows.
func watchFleet(w *quetzalwork.World) {
	w.Emit(quetzalwork.WatchFleet{After: w.Fleet.Seen, Wait: watchWait})
}

func hearFleet(w *quetzalwork.World, in *quetzalwork.FleetWatched) {
	switch in.Result {
	case quetzalwork.StoreDone:
		if w.Fleet.AnsweredAt == 0 || w.Now.Sub(w.Fleet.AnsweredAt) > 3*watchWait {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Text: "The operators' rows can be read.", Age: ageOf(w, w.Fleet.AnsweredAt)})
		}
		w.Fleet.AnsweredAt = w.Now
		w.Fleet.Seen = max(w.Fleet.Seen, in.Seen)
		if in.Config != nil {
			applyConfig(w, in.Config)
		}
		for i := range in.Waves {
			addWave(w, &in.Waves[i])
		}
		watchFleet(w)
	case quetzalwork.StoreCompacted:
		w.Fleet.Seen = 0
		watchFleet(w)
	default:
		w.After(watchRetry, quetzalwork.FleetWatchDue{})
	}
}

// ageOf is the time since an instant, zero before there is one.
func ageOf(w *quetzalwork.World, at quetzalunit.Instant) time.Duration {
	if at == 0 {
		return 0
	}
	return w.Now.Sub(at)
}

// applyConfig puts a configuration into force unless a newer one is.
func applyConfig(w *quetzalwork.World, cfg *quetzalwork.FleetConfig) {
	if w.Fleet.Known && cfg.Version <= w.Fleet.Version {
		return
	}
	w.Fleet.Version, w.Fleet.Known, w.Fleet.MaxBody = cfg.Version, true, cfg.MaxBody
	for _, spec := range cfg.Pools {
		p := w.Pools.At(poolRow(w, spec.ID))
		p.PoolSpec, p.Dirty = spec, true
	}
	for _, q := range w.Queues.All() {
		q.Removed = true
	}
	for _, spec := range cfg.Queues {
		row := w.QueueByID.Get(spec.ID)
		if row == 0 {
			row = w.Queues.Insert(quetzalwork.Queue{})
			w.QueueByID.Put(spec.ID, row)
		}
		q := w.Queues.At(row)
		q.QueueSpec, q.Removed = spec, false
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartFleet, Text: "A configuration is in force.", Version: int64(cfg.Version)})
}

// poolRow returns the row of a pool, which it creates if need be.
func poolRow(w *quetzalwork.World, id quetzalunit.PoolID) quetzalwork.Row {
	row := w.PoolByID.Get(id)
	if row == 0 {
		row = w.Pools.Insert(quetzalwork.Pool{PoolSpec: quetzalwork.PoolSpec{ID: id}})
		w.PoolByID.Put(id, row)
	}
	return row
}

// route returns the queue that a path names, the queue whose path is the longest prefix,
// and the rest of the path. The row is zero when there is none.
func route(w *quetzalwork.World, host, path string) (quetzalwork.Row, string) {
	var best quetzalwork.Row
	length := -1
	for row, q := range w.Queues.All() {
		if q.Removed || q.Host != host || len(q.Path) <= length || !strings.HasPrefix(path, q.Path) {
			continue
		}
		best, length = row, len(q.Path)
	}
	if best == 0 {
		return 0, ""
	}
	return best, path[length:]
}

// jobIDLength is the length of a job's id, in hexadecimal digits.
const jobIDLength = 16

// validJobID tells whether a text can name a job.
func validJobID(text string) bool {
	if len(text) != jobIDLength {
		return false
	}
	for _, c := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// Ready tells whether the balancer may send callers here: the configuration is known, and
// either the store or the dispatchers answer.
func Ready(w *quetzalwork.World) bool {
	const storeSilence = 2500 * time.Millisecond
	return w.Fleet.Known && !w.Stopping && w.Now.Sub(max(w.Fleet.AnsweredAt, w.Membership.ReadAt)) < storeSilence
}
