package quetzallimit

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// maxCancellations is the burst of cancellations of unknown jobs that an account may have stored by all entries together,
// and their number within each Bounds.RowRetention, for which each is kept. It bounds the rows and the dispatcher's memory
// when a caller cancels IDs that it has never submitted.
const maxCancellations = 1000

// UseCancellation takes one cancellation of an unknown job from the quota of an account at this entry. If none is left, it
// returns false and the time until the next.
func UseCancellation(w *quetzalwork.World, account quetzalunit.AccountID) (time.Duration, bool) {
	row := w.QuotaByAccount.Get(account)
	most := entryShare(w, maxCancellations)
	if row == 0 {
		row = w.CancellationQuotas.Insert(quetzalwork.CancellationQuota{Account: account, Left: most, RefilledAt: w.Now})
		w.QuotaByAccount.Put(account, row)
	}
	q := w.CancellationQuotas.At(row)
	perSecond := most / w.Bounds.RowRetention().Seconds()
	q.Left = min(most, q.Left+perSecond*w.Now.Sub(q.RefilledAt).Seconds())
	q.RefilledAt = w.Now
	if q.Left < 1 {
		return time.Duration((1 - q.Left) / perSecond * float64(time.Second)), false
	}
	q.Left--
	return 0, true
}

// ReturnCancellation returns one cancellation to the quota of an account: its job is stored.
func ReturnCancellation(w *quetzalwork.World, account quetzalunit.AccountID) {
	if q := w.CancellationQuotas.At(w.QuotaByAccount.Get(account)); q != nil {
		q.Left++
	}
}

// entryShare returns this entry's share of a number that holds for all entries together, at least one.
func entryShare(w *quetzalwork.World, n float64) float64 {
	entries := 0
	for _, m := range w.Members.All() {
		if m.Listed {
			entries++
		}
	}
	return max(1, n/float64(max(1, entries)))
}
