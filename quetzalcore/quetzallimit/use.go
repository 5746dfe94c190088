package quetzallimit

import (
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// maxConfigAge is how old a dispatcher's knowledge of the configuration may be when it starts tasks
// of an account that has a cap: a lower cap may be in force. A dispatcher goes on without the store
// for as long.
const maxConfigAge = 3 * time.Second

// HoldingOfJob returns the holding that a job counts against, nil if its account is not limited to one.
func HoldingOfJob(w *quetzalwork.World, j *quetzalwork.Job) *quetzalaccount.Holding {
	if j == nil || j.Account == "" {
		return nil
	}
	if h := w.Accounts.Holdings.At(j.Holding); h != nil {
		return h
	}
	j.Holding = w.Accounts.HoldingOf(w.Pools.At(j.Pool).ID, j.Account)
	return w.Accounts.Holdings.At(j.Holding)
}

// AddUse counts an active run of a job. adopted tells that an earlier dispatcher started it.
func AddUse(w *quetzalwork.World, j *quetzalwork.Job, needs quetzalunit.Resources, adopted bool) {
	h := HoldingOfJob(w, j)
	switch {
	case h == nil:
	case adopted:
		h.Adopted = h.Adopted.Plus(needs)
	default:
		h.Used = h.Used.Plus(needs)
	}
}

// RemoveUse is the reverse of AddUse.
func RemoveUse(w *quetzalwork.World, j *quetzalwork.Job, needs quetzalunit.Resources, adopted bool) {
	h := HoldingOfJob(w, j)
	switch {
	case h == nil:
	case adopted:
		h.Adopted = h.Adopted.Minus(needs)
	default:
		h.Used = h.Used.Minus(needs)
	}
}

// Shortage returns why the cap of a job's account does not permit the start of tasks with the given needs,
// ShortageNone if it does.
func Shortage(w *quetzalwork.World, j *quetzalwork.Job, needs quetzalunit.Resources) quetzalaccount.Shortage {
	h := HoldingOfJob(w, j)
	if h == nil {
		return quetzalaccount.ShortageNone
	}
	limit := w.Accounts.CapOfHolding(h)
	if limit == (quetzalunit.Resources{}) {
		return quetzalaccount.ShortageNone
	}
	if w.Now.Sub(w.Config.ConfirmedAt) >= maxConfigAge {
		return quetzalaccount.ShortageConfigurationTooOld
	}
	s := h.Shortage(needs, limit, w.Accounts.Division.CeilingHolds())
	if s != quetzalaccount.ShortageNone {
		if parts, _ := w.Accounts.Division.Known.Parts(h.Pool); parts.Token != w.Pools.At(j.Pool).Token {
			return quetzalaccount.ShortagePartUnclaimed
		}
	}
	return s
}

// Permits reports whether the cap of a job's account permits the start of tasks with the given needs, beside what is
// kept for long-running ones. If it does not, Divide tries to get a larger part of the cap.
func Permits(w *quetzalwork.World, j *quetzalwork.Job, needs quetzalunit.Resources) bool {
	h := HoldingOfJob(w, j)
	if h == nil || Shortage(w, j, h.WithKept(needs)) == quetzalaccount.ShortageNone {
		return true
	}
	h.Refused = true
	return false
}

// KeepIfShort keeps room in the part of a job's account for a long-running task that the part does not permit, until the
// pool's next placement pass. Otherwise smaller tasks would use at once what runs free of the part. It keeps
// nothing if the part does not hold the task beside the long-running ones that run, whose room does not come free.
func KeepIfShort(w *quetzalwork.World, j *quetzalwork.Job, needs quetzalunit.Resources) {
	if Shortage(w, j, needs) == quetzalaccount.ShortageNone {
		return
	}
	if h := HoldingOfJob(w, j); h.HoldsFirm(h.Kept.Plus(needs), w.Accounts.CapOfHolding(h)) {
		h.Kept = h.Kept.Plus(needs)
	}
}

// Headroom is how many cores the accounts that it names could still get in a pool. It is filled as it is used.
type Headroom map[*quetzalaccount.Holding]quetzalunit.MilliCores

// Take returns how many of the cores that a job's tasks want its account could get, and reduces the
// headroom by them.
func (r Headroom) Take(w *quetzalwork.World, j *quetzalwork.Job, wanted quetzalunit.MilliCores) quetzalunit.MilliCores {
	h := HoldingOfJob(w, j)
	if h == nil {
		return wanted
	}
	limit := w.Accounts.CapOf(j.Account).Cores
	if limit == 0 {
		return wanted
	}
	left, ok := r[h]
	if !ok {
		left = max(0, limit-h.Others.Cores-h.InUse().Cores)
	}
	wanted = min(wanted, left)
	r[h] = left - wanted
	return wanted
}
