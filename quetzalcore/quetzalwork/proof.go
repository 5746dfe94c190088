package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Proof is what a decision on the runs of a minion rests on, for the log.
type Proof struct {
	Kind ProofKind
	// Minion and Incarnation are those that the proof names, empty and zero if it names none. Without Minion, the
	// incarnation is one of the minion that the decision is about.
	Minion      quetzalunit.MinionID
	Incarnation quetzalunit.MinionIncarnation
	// Age is the time since that was true which the proof tells, at least as far as this process knows.
	Age time.Duration
}

// ProofKind is a kind of proof, in one word.
type ProofKind string

// Proofs that the runs of earlier dispatchers on a minion have ended that has not answered this one.
const (
	// ProofLaterMinion means that the list has a later minion of the host. The age is that of the read.
	ProofLaterMinion ProofKind = "LaterMinion"
	// ProofHostMinion means that the host has another minion, ProofHostIdle that nothing runs on it. The age is that of the
	// read of the hosts.
	ProofHostMinion ProofKind = "HostMinion"
	ProofHostIdle   ProofKind = "HostIdle"
	// ProofReleaseNamed means that the lease has ended by the release of the duty, which names the minion, ProofReleaseListed
	// that it does not, and ProofReleaseRemoved that it does not either and the minion had left the list before it. The
	// age is that of the release.
	ProofReleaseNamed   ProofKind = "ReleaseNamed"
	ProofReleaseListed  ProofKind = "ReleaseListed"
	ProofReleaseRemoved ProofKind = "ReleaseRemoved"
	// ProofTakeover means that all leases have ended by the time since the takeover, ProofLastRenewal by that since the
	// last renewal of the predecessor, ProofLaterProcess by that since a later process of it was known, and
	// ProofDropped by that since its notice. The age is that time.
	ProofTakeover     ProofKind = "Takeover"
	ProofLastRenewal  ProofKind = "LastRenewal"
	ProofLaterProcess ProofKind = "LaterProcess"
	ProofDropped      ProofKind = "Dropped"
	// ProofRestartLease means that the longest lease of the minion's present process has ended. The age is the time since
	// that process was known.
	ProofRestartLease ProofKind = "RestartLease"
	// ProofNoDispatcher means that no earlier dispatcher can have used the minion. The age is the time since the takeover.
	ProofNoDispatcher ProofKind = "NoDispatcher"
	// ProofLeaseLapsed means that the lease has ended which this process has granted last. The age is the time since then.
	ProofLeaseLapsed ProofKind = "LeaseLapsed"
)

// Proofs for which the runs of a minion are given up. ProofLaterMinion and ProofLeaseLapsed are others.
const (
	// ProofLaterRecord means that the minion's record is of a later process, in another pool. The age is that of the read of
	// the list.
	ProofLaterRecord ProofKind = "LaterRecord"
	// ProofOwnOrder means that this process has had an order to the host carried out. The age is that of its list of hosts.
	// ProofNotice means that the host controller has told so; the age of its list is in its log.
	ProofOwnOrder ProofKind = "OwnOrder"
	ProofNotice   ProofKind = "Notice"
	// ProofRestartInList, ProofRestartInAnswer and ProofRestartInCall mean that the minion has restarted, by the list, the
	// answer to a poll, or a call that was not sent. The age is that of the read of the list, or the time since the poll
	// was sent.
	ProofRestartInList   ProofKind = "RestartInList"
	ProofRestartInAnswer ProofKind = "RestartInAnswer"
	ProofRestartInCall   ProofKind = "RestartInCall"
	// ProofOtherAnswers means that another minion answers at the minion's address. The age is the time since the poll was sent.
	ProofOtherAnswers ProofKind = "OtherAnswers"
	// ProofReport means that a report of the minion does not have the run. The age is the time from the answer to the order to
	// start to the sending of the poll.
	ProofReport ProofKind = "Report"
	// ProofStopAccepted means the same of a run whose order to start had no answer and that the minion has accepted to stop;
	// the age is the time from that answer to the sending of the poll. ProofLaterToken means that the poll had a later token
	// than the order, and ProofStartExpired that the order has expired; the age is the time since the order was sent.
	ProofStopAccepted ProofKind = "StopAccepted"
	ProofLaterToken   ProofKind = "LaterToken"
	ProofStartExpired ProofKind = "StartExpired"
)

// Proofs that no minions have runs that this process does not know.
const (
	// ProofCensus means that the hosts have no others. The age is that of the read.
	ProofCensus ProofKind = "Census"
	// ProofRelease means that the leases on such minions have ended by the release of the duty. The age is that of the
	// release. ProofList means that this holds of those that the predecessor did not know, and that the list has been read
	// without a gap since. The age is that of the last read.
	ProofRelease ProofKind = "Release"
	ProofList    ProofKind = "List"
)
