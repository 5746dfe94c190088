package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// PeerMessage is a message from one entry to another. Each has a reply. Those whose names begin
// with Notify are notifications. They may be lost: the receiver would find out without them, but
// later.
type PeerMessage interface{ implementsPeerMessage() }

type (
	// NotifyAccepted notifies the dispatcher of jobs that were stored.
	NotifyAccepted struct {
		Pool quetzalunit.PoolID
		// Jobs are AcceptedJob rows. Their revisions are not sent.
		Jobs []JobRow
	}
	// NotifyCancelled notifies the dispatcher of a cancellation that was stored.
	NotifyCancelled struct {
		Pool quetzalunit.PoolID
		Job  quetzalunit.JobID
	}
	// QueryState queries the state of a job from the dispatcher.
	QueryState struct {
		Pool quetzalunit.PoolID
		Job  quetzalunit.JobID
		// Request is the sender's JobRequest that waits for the reply. It is not sent.
		Request Row
	}
	// QueryPending queries the number of a queue's pending jobs from the dispatcher.
	QueryPending struct {
		Pool  quetzalunit.PoolID
		Queue quetzalunit.QueueID
		// Request is the sender's JobRequest that waits for the reply. It is not sent.
		Request Row
	}
	// NotifyDuty notifies an entry that a duty was acquired, or released if the holder is empty.
	NotifyDuty struct {
		Pool quetzalunit.PoolID
		Duty Duty
	}
	// EvacuateHost asks the dispatcher to cordon a host's minion and to move its work elsewhere. The
	// request expires unless it is repeated.
	EvacuateHost struct {
		Pool quetzalunit.PoolID
		Host quetzalunit.HostID
		// Wave is the wave that the request belongs to, empty for a move.
		Wave quetzalunit.WaveID
	}
	// NotifyDutyDropped notifies the new dispatcher that the previous one, with the given token,
	// renews no more leases.
	NotifyDutyDropped struct {
		Pool  quetzalunit.PoolID
		Token quetzalunit.FencingToken
	}
	// QueryLoad queries the load of a pool from its dispatcher.
	QueryLoad struct{ Pool quetzalunit.PoolID }
	// NotifyHostWithdrawn notifies the dispatcher that a host was ordered to move or into
	// maintenance, which ended all of its runs. Minion is the minion that ran on the host before, empty
	// if it is not known: the message may arrive when the host has another one, or that one has started again
	// under its id. Incarnation is the one that ran, zero if it is not known.
	NotifyHostWithdrawn struct {
		Pool        quetzalunit.PoolID
		Host        quetzalunit.HostID
		Minion      quetzalunit.MinionID
		Incarnation quetzalunit.MinionIncarnation
	}
	// NotifyMinionRestarted notifies an entry that may take the pool over that the dispatcher has found a
	// minion restarted that the minion list may not show as such yet.
	NotifyMinionRestarted struct {
		Pool   quetzalunit.PoolID
		Minion quetzalunit.MinionID
	}
)

func (NotifyAccepted) implementsPeerMessage()        {}
func (NotifyCancelled) implementsPeerMessage()       {}
func (QueryState) implementsPeerMessage()            {}
func (QueryPending) implementsPeerMessage()          {}
func (NotifyDuty) implementsPeerMessage()            {}
func (EvacuateHost) implementsPeerMessage()          {}
func (NotifyHostWithdrawn) implementsPeerMessage()   {}
func (QueryLoad) implementsPeerMessage()             {}
func (NotifyDutyDropped) implementsPeerMessage()     {}
func (NotifyMinionRestarted) implementsPeerMessage() {}

// PeerReply is the reply to a PeerMessage.
type PeerReply interface{ implementsPeerReply() }

type (
	// Acknowledged acknowledges a notification.
	Acknowledged struct{}
	// NotHolder means that the entry does not dispatch the pool, or has not loaded it yet.
	NotHolder struct{}
	// StateReply is the state of a job. Known is false if the dispatcher has no such job.
	StateReply struct {
		Known bool
		State JobState
	}
	// PendingReply is the number of a queue's jobs of which no task has started.
	PendingReply struct{ Pending quetzalunit.Tasks }
	// EvacuationReply reports whether the host's minion has neither active runs nor ends to
	// acknowledge (Empty), and whether it runs no long-running task (SafeToInterrupt).
	EvacuationReply struct{ Empty, SafeToInterrupt bool }
	// LoadReply is the load of a pool.
	LoadReply struct{ Load PoolLoad }
)

func (Acknowledged) implementsPeerReply()    {}
func (NotHolder) implementsPeerReply()       {}
func (StateReply) implementsPeerReply()      {}
func (PendingReply) implementsPeerReply()    {}
func (EvacuationReply) implementsPeerReply() {}
func (LoadReply) implementsPeerReply()       {}

// PoolLoad is the demand of a pool and the hosts that it could give away.
type PoolLoad struct {
	// Wanted is how many cores the pool's work could use now, Usable how many its usable minions
	// have. Active runs and long-running tasks that need a larger share of a minion's memory or
	// accelerators than of its cores count with that share. A minion is usable if it can get new runs.
	Wanted, Usable quetzalunit.MilliCores
	// MovableHosts are the hosts that could be given away: first those whose minions run nothing,
	// longest idle first, then those that can be evacuated soon, whose idle time is zero.
	MovableHosts []MovableHost
	// UsableHosts is the number of hosts with a usable minion.
	UsableHosts int
	// JoinedHosts are those of these hosts whose minion joined recently.
	JoinedHosts []quetzalunit.HostID
	// MissingLabels are the labels that steps require and that too few usable minions have.
	MissingLabels []quetzalunit.Label
}

// MovableHost is a host whose minion runs nothing, or little.
type MovableHost struct {
	Host quetzalunit.HostID
	// IdleFor is how long the minion has run nothing.
	IdleFor time.Duration
}
