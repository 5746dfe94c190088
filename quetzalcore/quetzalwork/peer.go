package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// PeerMessage is a message from one entry to another. Each has a reply. Those whose names begin
// with Tell are notifications. They may be lost: the receiver would find out without them, but
// later.
type PeerMessage interface{ implementsPeerMessage() }

type (
	// TellAccepted notifies the dispatcher of jobs that were stored.
	TellAccepted struct {
		Pool quetzalunit.PoolID
		Jobs []JobRow
	}
	// TellCancelled notifies the dispatcher of a cancellation that was stored.
	TellCancelled struct {
		Pool quetzalunit.PoolID
		Job  quetzalunit.JobID
	}
	// AskState queries the state of a job from the dispatcher.
	AskState struct {
		Pool quetzalunit.PoolID
		Job  quetzalunit.JobID
		Ask  Row
	}
	// AskPending queries the number of a queue's pending jobs from the dispatcher.
	AskPending struct {
		Pool  quetzalunit.PoolID
		Queue quetzalunit.QueueID
		Ask   Row
	}
	// TellDuty notifies an entry that a duty was acquired, or released if the holder is empty.
	TellDuty struct {
		Pool quetzalunit.PoolID
		Duty Duty
	}
	// AskEmpty asks the dispatcher to cordon a host's minion and to move its work elsewhere. The
	// request expires unless it is repeated.
	AskEmpty struct {
		Pool quetzalunit.PoolID
		Host quetzalunit.HostID
		// Wave is the wave that the request belongs to, empty for a move.
		Wave quetzalunit.WaveID
	}
	// TellDropped notifies the new dispatcher that the previous one, with the given token,
	// renews no more leases.
	TellDropped struct {
		Pool  quetzalunit.PoolID
		Token quetzalunit.FencingToken
	}
	// AskLoad queries the load of a pool from its dispatcher.
	AskLoad struct{ Pool quetzalunit.PoolID }
	// TellTaken notifies the dispatcher that a host was taken away by an order, which ended all
	// of its runs.
	TellTaken struct {
		Pool quetzalunit.PoolID
		Host quetzalunit.HostID
	}
)

func (TellAccepted) implementsPeerMessage()  {}
func (TellCancelled) implementsPeerMessage() {}
func (AskState) implementsPeerMessage()      {}
func (AskPending) implementsPeerMessage()    {}
func (TellDuty) implementsPeerMessage()      {}
func (AskEmpty) implementsPeerMessage()      {}
func (TellTaken) implementsPeerMessage()     {}
func (AskLoad) implementsPeerMessage()       {}
func (TellDropped) implementsPeerMessage()   {}

// PeerReply is the reply to a PeerMessage.
type PeerReply interface{ implementsPeerReply() }

type (
	// Heard acknowledges a notification.
	Heard struct{}
	// NotHolder means that the entry does not dispatch the pool, or has not loaded it yet.
	NotHolder struct{}
	// StateReply is the state of a job. Known is false if the dispatcher has no such job.
	StateReply struct {
		Known bool
		State JobState
	}
	// PendingReply is the number of a queue's jobs of which no task has started.
	PendingReply struct{ Pending quetzalunit.Tasks }
	// EmptyReply reports whether the host's minion has neither active runs nor ends to
	// acknowledge (Empty), and whether it runs no lasting task (Safe).
	EmptyReply struct{ Empty, Safe bool }
	// LoadReply is the load of a pool.
	LoadReply struct{ Load PoolLoad }
)

func (Heard) implementsPeerReply()        {}
func (NotHolder) implementsPeerReply()    {}
func (StateReply) implementsPeerReply()   {}
func (PendingReply) implementsPeerReply() {}
func (EmptyReply) implementsPeerReply()   {}
func (LoadReply) implementsPeerReply()    {}

// PoolLoad is the demand of a pool and the hosts that it could give away.
type PoolLoad struct {
	// Wanted is how many cores the pool's work could use now, Usable how many its usable minions
	// have. A minion is usable if it can get new runs.
	Wanted, Usable quetzalunit.MilliCores
	// Idle are the hosts that could be given away: first those whose minions run nothing, longest
	// idle first, then those that can be emptied soon, whose idle time is zero.
	Idle []IdleHost
	// Hosts is the number of hosts with a usable minion.
	Hosts int
	// Joined are those of these hosts whose minion joined recently.
	Joined []quetzalunit.HostID
	// Missing are the labels that steps require and that too few usable minions have.
	Missing []quetzalunit.Label
}

// IdleHost is a host whose minion runs nothing, or little.
type IdleHost struct {
	Host quetzalunit.HostID
	// Since is how long the minion has run nothing.
	Since time.Duration
}
