package quetzallimit

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// keyTrustPercent is the share of Bounds.KeyRevocation for which an entry acts on keys without
	// a new confirmation of the configuration. The rest covers the drift of clocks and the way of
	// the call, and leaves callers time to repeat the call at another entry.
	keyTrustPercent = 60
	// meanRetryAfter is the mean Retry-After of a call that is refused because the configuration is not
	// confirmed. Another entry, or this one after the next read, can serve it.
	meanRetryAfter = 400 * time.Millisecond
)

// Admit decides whether a call to a queue may be served. It returns the account that the call's key
// belongs to, empty if calls to the queue need no key, and otherwise the answer that refuses the
// call.
func Admit(w *quetzalwork.World, q *quetzalwork.Queue, key quetzalunit.KeyDigest) (quetzalunit.AccountID, quetzalwork.Answer) {
	if !w.Accounts.InUse || q.Public {
		return "", nil
	}
	account, ok := w.Accounts.Owner(key)
	switch {
	case !mayTrustKeys(w):
		logRefusal(w, q, "ConfigurationTooOld")
		return "", quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: "ConfigurationTooOld"}
	case key == quetzalunit.KeyDigest{}:
		logRefusal(w, q, "NoKey")
		return "", quetzalwork.Unauthorized{}
	case !ok:
		logRefusal(w, q, "UnknownKey")
		return "", quetzalwork.Unauthorized{}
	}
	return account, nil
}

// mayTrustKeys reports whether no key can have been withdrawn too long ago without this process
// knowing. The age of the configuration counts from when the read was sent, on a clock that goes on
// during suspension.
func mayTrustKeys(w *quetzalwork.World) bool {
	bound := w.Bounds.KeyRevocation
	return bound == 0 || w.Now.Sub(w.Config.ConfirmedAt) < bound*keyTrustPercent/100
}

// logRefusal logs and counts a call that is refused.
func logRefusal(w *quetzalwork.World, q *quetzalwork.Queue, reason string) {
	w.Emit(quetzalwork.ObserveRefusal{Reason: reason})
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartFront, Message: "Refused a call because of its key.", Pool: q.Pool, Version: int64(w.Config.Version),
		Age: w.Now.Sub(w.Config.ConfirmedAt), Reason: reason, Routine: true,
	})
}
