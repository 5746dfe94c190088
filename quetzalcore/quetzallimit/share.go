package quetzallimit

import (
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// CountArrival counts a new job against the rate of its account and reports whether it is surplus.
func CountArrival(w *quetzalwork.World, j *quetzalwork.Job) bool {
	h := HoldingOfJob(w, j)
	return h != nil && h.Rate.Arrive(w.Now, w.Accounts.WeightOf(j.Account))
}

// ChargeStart counts the cost of a start against the share of the job's account.
func ChargeStart(w *quetzalwork.World, j *quetzalwork.Job, cores quetzalunit.MilliCores, runTime time.Duration) {
	if h := HoldingOfJob(w, j); h != nil {
		h.Charge(cores, runTime, w.Accounts.WeightOf(j.Account))
	}
}

// MarkAhead marks the accounts whose work comes after that of the others in a pool with the given usable cores. It begins
// a placement pass of the pool: what was kept in the last one counts no longer.
func MarkAhead(w *quetzalwork.World, p *quetzalwork.Pool, cores quetzalunit.MilliCores) {
	if !w.Accounts.InUse {
		return
	}
	for _, row := range p.ReadySteps {
		if s := w.Steps.At(row); s != nil && s.Waiting > 0 {
			if h := HoldingOfJob(w, w.Jobs.At(s.Job)); h != nil {
				h.Backlogged = true
			}
		}
	}
	var contenders []quetzalaccount.Contender
	for _, h := range w.Accounts.Holdings.All() {
		if h.Pool == p.ID {
			h.Kept = quetzalunit.Resources{}
			contenders = append(contenders, quetzalaccount.Contender{Holding: h, Weight: w.Accounts.WeightOf(h.Account), Using: h.InUse().Cores})
		}
	}
	quetzalaccount.MarkAhead(quetzalaccount.ByVirtualTime{}, contenders, cores)
	for i := range contenders {
		contenders[i].Holding.Backlogged = false
	}
}

// Usage is what an account uses and may use in the pools of this entry.
type Usage struct {
	Account             quetzalunit.AccountID
	Used, Held, Waiting quetzalunit.Resources
	Cap                 quetzalunit.Resources
}

// Usages returns the usage of each account that has work in the pools of this entry.
func Usages(w *quetzalwork.World) []Usage {
	at := make(map[quetzalunit.AccountID]int)
	var list []Usage
	for _, h := range w.Accounts.Holdings.All() {
		i, ok := at[h.Account]
		if !ok {
			i = len(list)
			at[h.Account] = i
			list = append(list, Usage{Account: h.Account, Cap: w.Accounts.CapOf(h.Account)})
		}
		u := &list[i]
		u.Used, u.Held, u.Waiting = u.Used.Plus(h.InUse()), u.Held.Plus(h.Granted), u.Waiting.Plus(h.Waiting)
	}
	return list
}
