package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file decides between two duties of an entry whose configuration may have been replaced. Cut off from the store, it
// serves what it can by the configuration that it has: no other entry of a zone that is cut off knows better. While
// it reaches the store, other entries do know better, and callers are better off there: it refuses their calls, which
// have not run, and the load balancer sends new ones elsewhere. The load that this answers is a read of the
// configuration that fails or takes long while other reads succeed, as beside a very large configuration.

const (
	// storeSilence is the time without an answer of the store after which an entry counts as cut off from it.
	storeSilence = 2500 * time.Millisecond
	// contactDivisor divides the time within which a configuration must be in force into how long ago the last answer
	// of the store may be for an entry whose configuration is about to become too old. An entry that has just been cut off must not refuse
	// calls before it knows that it is.
	contactDivisor = 2
	// configReadTime is how long an entry that was cut off has for reading the configuration once it reaches the store again.
	configReadTime = time.Second
	// meanStaleRetryAfter is the mean Retry-After of a call that is refused because the configuration may be old: other
	// entries can serve it at once.
	meanStaleRetryAfter = 400 * time.Millisecond
	// reasonConfigurationTooOld tells callers and the log why such a call was refused.
	reasonConfigurationTooOld = "ConfigurationTooOld"
)

// noteStoreAnswer notes that the store has answered, directly or through another entry.
func noteStoreAnswer(w *quetzalwork.World) {
	c := &w.StoreContact
	if c.AnsweredAt == 0 || w.Now.Sub(c.AnsweredAt) > storeSilence {
		c.Since = w.Now
	}
	c.AnsweredAt = w.Now
}

// configTooOld reports whether a newer configuration may have to be in force, and this entry would know if it read the
// configuration as well as other rows. Once it is so, it stays so until the configuration is confirmed or the entry is cut off.
func configTooOld(w *quetzalwork.World) bool {
	c, contact := &w.Config, &w.StoreContact
	bound := w.Bounds.ConfigApply
	silence := w.Now.Sub(contact.AnsweredAt)
	was := c.TooOld
	switch expired := w.Now.Sub(c.ConfirmedAt) >= bound; {
	case bound == 0 || !c.Known || !expired || silence > storeSilence:
		c.TooOld = false
	case !c.TooOld:
		c.TooOld = silence < bound/contactDivisor && w.Now.Sub(contact.Since) >= configReadTime
	}
	if c.TooOld != was {
		message := "Calls are served again."
		if c.TooOld {
			message = "The configuration may be too old; calls are refused until it can be read."
		}
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: message, Version: int64(c.Version), Age: w.Now.Sub(c.ConfirmedAt), Reason: reasonConfigurationTooOld})
	}
	return c.TooOld
}

// refuseByConfig returns the refusal of a call that cannot be served because of the state of the configuration, nil if
// it can.
func refuseByConfig(w *quetzalwork.World) quetzalwork.Answer {
	if !w.Config.Known {
		return quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: "NoConfiguration"}
	}
	if configTooOld(w) {
		w.Emit(quetzalwork.ObserveRefusal{Reason: reasonConfigurationTooOld})
		return quetzalwork.JobRefused{RetryAfter: w.Jitter(meanStaleRetryAfter), Reason: reasonConfigurationTooOld}
	}
	return nil
}

// confirmedAt returns the instant for which the answer to a watch shows what is in force. A watch that was held without a change
// shows that there was none until then; one that returns changes shows nothing of the time after it was sent.
func confirmedAt(in *quetzalwork.ConfigWatched) quetzalunit.Instant {
	return in.SentAt.Add(in.HeldFor)
}
