package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// PeerMessage is what one entry tells or asks another.
type PeerMessage interface{ implementsPeerMessage() }

type (
	// TellAccepted tells the dispatcher of stored jobs.
	TellAccepted struct {
		Pool quetzalunit.PoolID
		Jobs []JobRow
	}
	// TellCancelled tells the dispatcher of a stored cancellation.
	TellCancelled struct {
		Pool quetzalunit.PoolID
		Job  quetzalunit.JobID
	}
	// AskState asks the dispatcher for the state of a job.
	AskState struct {
		Pool quetzalunit.PoolID
		Job  quetzalunit.JobID
		Ask  Row
	}
	// AskPending asks the dispatcher for the pending jobs of a queue.
	AskPending struct {
		Pool  quetzalunit.PoolID
		Queue quetzalunit.QueueID
		Ask   Row
	}
	// TellDuty tells that a duty was taken, or given back when the holder is empty.
	TellDuty struct {
		Pool quetzalunit.PoolID
		Duty Duty
	}
	// AskEmpty asks the dispatcher to empty a host's minion. The wish lapses unless it is
	// repeated.
	AskEmpty struct {
		Pool quetzalunit.PoolID
		Host quetzalunit.HostID
		Wave quetzalunit.WaveID
	}
	// TellDropped tells the dispatcher that its predecessor with a token extends nothing more.
	TellDropped struct {
		Pool  quetzalunit.PoolID
		Token quetzalunit.FencingToken
	}
	// AskLoad asks the dispatcher what a pool needs and what it could give away.
	AskLoad struct{ Pool quetzalunit.PoolID }
	// TellTaken tells the dispatcher that an order has ended all that ran on a host.
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
	// Heard tells that the message was taken.
	Heard struct{}
	// NotHolder tells that the entry does not dispatch the pool, or does not know it yet.
	NotHolder struct{}
	// StateReply is the state of a job; Known is false when the dispatcher has no such job.
	StateReply struct {
		Known bool
		State JobState
	}
	// PendingReply is the number of pending jobs.
	PendingReply struct{ Pending quetzalunit.Tasks }
	// EmptyReply tells whether the host's minion runs nothing, or at least nothing that
	// must last.
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

// PoolLoad is what a pool needs and what it could give away.
type PoolLoad struct {
	// Wanted is what the pool's work could use now, Usable what its minions offer.
	Wanted, Usable quetzalunit.MilliCores
	// Idle are hosts whose minions run nothing, longest idle first, and behind them those that
	// can soon be emptied, with a span of zero.
	Idle []IdleHost
	// Hosts is the number of hosts with a usable minion.
	Hosts int
	// Joined are those of them whose minion has joined lately.
	Joined []quetzalunit.HostID
	// Missing are labels that waiting steps require and that no usable minion has.
	Missing []quetzalunit.Label
}

// IdleHost is a host whose minion runs nothing, or little.
type IdleHost struct {
	Host  quetzalunit.HostID
	Since time.Duration
}
