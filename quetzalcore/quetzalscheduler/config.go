package quetzalscheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// watchTimeout is the maximum duration of one watch (long poll) on the operators' rows, which
	// contain the configuration and the requested waves. A connection may be dead without an error,
	// so the timeout must be well below the two seconds within which a new configuration must be in
	// force.
	watchTimeout = 800 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 150 * time.Millisecond
	// watchFailurePeriod is the time between two log lines on watches that fail in a row.
	watchFailurePeriod = 2 * time.Second
)

// watchConfig starts the next watch on the operators' rows.
func watchConfig(w *quetzalwork.World) {
	w.Emit(quetzalwork.WatchConfig{SinceRevision: w.Config.SeenRevision, Wait: watchWait(w), SentAt: w.Now})
}

// watchWait returns how long the store may hold the next watch. Once a watch has failed, or the last answer is old, what
// counts is an answer at once.
func watchWait(w *quetzalwork.World) time.Duration {
	c := &w.Config
	if c.More || c.FailingSince != 0 || !c.Unreadable && w.Bounds.ConfigApply > 0 && w.Now.Sub(c.ConfirmedAt) >= w.Bounds.ConfigApply/contactDivisor {
		return 0
	}
	return watchTimeout
}

// handleConfigWatch applies the result of a watch and starts the next one.
func handleConfigWatch(w *quetzalwork.World, in *quetzalwork.ConfigWatched) {
	logWatchOutcome(w, in.Result)
	if in.Result == quetzalwork.StoreDone || in.Result == quetzalwork.StoreCompacted {
		noteStoreAnswer(w)
	}
	switch in.Result {
	case quetzalwork.StoreDone:
		noteConfigRead(w, in)
		w.Config.SeenRevision = max(w.Config.SeenRevision, in.SeenRevision)
		if in.Config != nil {
			applyConfig(w, in.Config)
		}
		for i := range in.Waves {
			addWave(w, &in.Waves[i])
		}
		watchConfig(w)
	case quetzalwork.StoreCompacted:
		w.Config.SeenRevision = 0
		watchConfig(w)
	default:
		w.After(watchRetryDelay, quetzalwork.ConfigWatchDue{})
	}
}

// noteConfigRead notes what an answer to a watch confirms. A configuration that cannot be decoded is a newer one than that in
// force: nothing is confirmed until another one can be.
func noteConfigRead(w *quetzalwork.World, in *quetzalwork.ConfigWatched) {
	c := &w.Config
	c.AnsweredAt, c.More = w.Now, in.More
	if in.Unreadable {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: "The newest configuration cannot be decoded; it is not in force.", Version: int64(c.Version), Age: ageOf(w, c.ConfirmedAt)})
	}
	c.Unreadable = in.Unreadable || c.Unreadable && in.Config == nil
	if !c.More && !c.Unreadable {
		c.ConfirmedAt = max(c.ConfirmedAt, confirmedAt(in))
	}
}

// logWatchOutcome logs when watches begin to fail, from time to time while they do, and when one succeeds again.
func logWatchOutcome(w *quetzalwork.World, result quetzalwork.StoreResult) {
	c := &w.Config
	d := quetzalwork.Decision{Part: quetzalwork.PartStore, Version: int64(c.Version), Age: ageOf(w, c.ConfirmedAt), Reason: result.String()}
	if result == quetzalwork.StoreDone || result == quetzalwork.StoreCompacted {
		if c.AnsweredAt == 0 || c.FailingSince != 0 {
			d.Message = "The operators' rows can be read."
			w.Log(d)
		}
		c.FailingSince = 0
		return
	}
	if c.FailingSince == 0 {
		c.FailingSince, c.FailureLoggedAt = w.Now, 0
	}
	if c.FailureLoggedAt == 0 || w.Now.Sub(c.FailureLoggedAt) >= watchFailurePeriod {
		c.FailureLoggedAt = w.Now
		d.Message = "The operators' rows cannot be read; a newer configuration may be in force."
		w.Log(d)
	}
}

// ageOf returns the time since an instant, or zero if the instant is not set.
func ageOf(w *quetzalwork.World, at quetzalunit.Instant) time.Duration {
	if at == 0 {
		return 0
	}
	return w.Now.Sub(at)
}

// applyConfig puts a configuration into force unless this version or a newer one is in force.
// Queues that it does not list are marked as removed; their jobs keep running.
func applyConfig(w *quetzalwork.World, cfg *quetzalwork.FleetConfig) {
	if w.Config.Known && cfg.Version <= w.Config.Version {
		return
	}
	w.Config.Version, w.Config.Known, w.Config.MaxBodyBytes = cfg.Version, true, cfg.MaxBodyBytes
	for _, spec := range cfg.Pools {
		p := w.Pools.At(poolRow(w, spec.ID))
		added := !p.Configured
		p.PoolSpec, p.Configured, p.NeedsPlacement = spec, true, true
		if added {
			for _, row := range p.Minions {
				retireEarlierMinions(w, &w.Minions.At(row).MinionRecord)
			}
		}
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
	indexRoutes(w)
	for _, id := range w.Accounts.Apply(cfg.Accounts) {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFleet, Message: "A key of an account belongs to another one, which the configuration lists before.", Reason: string(id), Version: int64(cfg.Version)})
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartFleet, Message: "A new configuration is in force.", Version: int64(cfg.Version)})
}

// poolRow returns the row of a pool and creates it if it does not exist.
func poolRow(w *quetzalwork.World, id quetzalunit.PoolID) quetzalwork.Row {
	row := w.PoolByID.Get(id)
	if row == 0 {
		row = w.Pools.Insert(quetzalwork.Pool{PoolSpec: quetzalwork.PoolSpec{ID: id}})
		w.PoolByID.Put(id, row)
	}
	return row
}

// isConfigured reports whether a configuration has declared a pool.
func isConfigured(w *quetzalwork.World, id quetzalunit.PoolID) bool {
	p := w.Pools.At(w.PoolByID.Get(id))
	return p != nil && p.Configured
}

// indexRoutes indexes the queues of the configuration by their HTTP hosts and path prefixes. A configuration may have
// thousands of queues, and each call is routed.
func indexRoutes(w *quetzalwork.World) {
	w.RoutesByHost = make(map[string]*quetzalwork.HostRoutes)
	for row, q := range w.Queues.All() {
		if q.Removed {
			continue
		}
		r := w.RoutesByHost[q.HTTPHost]
		if r == nil {
			r = &quetzalwork.HostRoutes{ByPrefix: make(map[string]quetzalwork.Row)}
			w.RoutesByHost[q.HTTPHost] = r
		}
		if _, ok := r.ByPrefix[q.PathPrefix]; ok {
			continue
		}
		r.ByPrefix[q.PathPrefix] = row
		if n := len(q.PathPrefix); !slices.Contains(r.PrefixLengths, n) {
			r.PrefixLengths = append(r.PrefixLengths, n)
		}
	}
	for _, r := range w.RoutesByHost {
		slices.SortFunc(r.PrefixLengths, func(a, b int) int { return cmp.Compare(b, a) })
	}
}

// route returns the queue for a request and the rest of the request's path. The queue is the one of
// the HTTP host whose PathPrefix is the longest prefix of the path. The row is zero if no queue
// matches.
func route(w *quetzalwork.World, host, path string) (quetzalwork.Row, string) {
	r := w.RoutesByHost[host]
	if r == nil {
		return 0, ""
	}
	for _, n := range r.PrefixLengths {
		if n > len(path) {
			continue
		}
		if row, ok := r.ByPrefix[path[:n]]; ok {
			return row, path[n:]
		}
	}
	return 0, ""
}

// jobIDLength is the length of a job's ID in hexadecimal digits.
const jobIDLength = 16

// validJobID reports whether text has the form of a job's ID.
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

// Ready reports whether the load balancer may send callers to this entry: it is not stopping, its
// configuration is known and not too old, and the store has answered recently.
func Ready(w *quetzalwork.World) bool {
	return w.Config.Known && !w.Stopping && w.Now.Sub(max(w.Config.AnsweredAt, w.Membership.ReadAt)) < storeSilence && !configTooOld(w)
}
