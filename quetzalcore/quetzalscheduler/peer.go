package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalwork"
)

// handlePeerMessage handles a message of another entry and sends the reply.
func handlePeerMessage(w *quetzalwork.World, in *quetzalwork.PeerMessageReceived) {
	w.Emit(quetzalwork.ReplyToPeer{Caller: in.Caller, Reply: replyTo(w, in.Message)})
}

// replyTo applies a message of another entry and returns the reply.
func replyTo(w *quetzalwork.World, message quetzalwork.PeerMessage) quetzalwork.PeerReply {
	switch m := message.(type) {
	case quetzalwork.NotifyAccepted:
		row := poolRow(w, m.Pool)
		if !w.Pools.At(row).Held {
			return quetzalwork.NotHolder{}
		}
		for i := range m.Jobs {
			applyJobRow(w, row, &m.Jobs[i], rowNotice)
		}
	case quetzalwork.NotifyCancelled:
		row := poolRow(w, m.Pool)
		if !w.Pools.At(row).Held {
			return quetzalwork.NotHolder{}
		}
		applyJobRow(w, row, &quetzalwork.JobRow{Job: m.Job, Content: quetzalwork.JobCancellation{}}, rowNotice)
	case quetzalwork.QueryState:
		row := poolRow(w, m.Pool)
		j := w.Jobs.At(w.JobByID.Get(m.Job))
		if !w.Pools.At(row).Held {
			return quetzalwork.NotHolder{}
		}
		if j == nil || !j.Accepted || j.Pool != row {
			return quetzalwork.StateReply{}
		}
		return quetzalwork.StateReply{Known: true, State: visibleState(j)}
	case quetzalwork.QueryPending:
		row := poolRow(w, m.Pool)
		if !knowsPending(w, w.Pools.At(row)) {
			return quetzalwork.NotHolder{}
		}
		return quetzalwork.PendingReply{Pending: countPending(w, row, m.Queue)}
	case quetzalwork.NotifyDuty:
		applyDutyRow(w, m.Pool, m.Duty)
		if m.Duty.Holder == "" {
			noteFreeDuty(w, m.Pool)
			takeOverDuties(w)
		}
	case quetzalwork.EvacuateHost:
		return evacuateHost(w, &m)
	case quetzalwork.NotifyHostWithdrawn:
		handleHostWithdrawn(w, &m, &quetzalwork.Proof{Kind: quetzalwork.ProofNotice, Minion: m.Minion, Incarnation: m.Incarnation})
	case quetzalwork.NotifyDutyDropped:
		handlePredecessorDropped(w, &m)
	case quetzalwork.NotifyMinionRestarted:
		handleMinionRestarted(w, &m)
	case quetzalwork.QueryLoad:
		row := poolRow(w, m.Pool)
		if p := w.Pools.At(row); !p.Held || !p.JobsLoaded {
			return quetzalwork.NotHolder{}
		}
		return quetzalwork.LoadReply{Load: computeLoad(w, row)}
	}
	return quetzalwork.Acknowledged{}
}

// handleHostWithdrawn ends the runs on a host that was withdrawn. If the host has got another minion since, or the same
// one has started again under its id, the message was late, and the runs of the earlier one have ended with its replacement.
func handleHostWithdrawn(w *quetzalwork.World, m *quetzalwork.NotifyHostWithdrawn, proof *quetzalwork.Proof) {
	for _, minion := range w.Minions.All() {
		if m.Minion != "" && minion.Host == m.Host && minion.ID != m.Minion && !minion.Replaced && isConfigured(w, minion.Pool) {
			return
		}
	}
	if known := incarnationOf(w, m.Minion); known != 0 && m.Incarnation != 0 && known != m.Incarnation {
		return
	}
	endRunsOnHost(w, m.Pool, m.Host, proof)
}

// handlePeerReply applies another entry's reply to a message. The reply is nil if none arrived in
// time.
func handlePeerReply(w *quetzalwork.World, in *quetzalwork.PeerReplyReceived) {
	switch m := in.Message.(type) {
	case quetzalwork.QueryState:
		if w.JobRequests.At(m.Request) == nil {
			return
		}
		handleStateReply(w, m.Request, in.Reply)
	case quetzalwork.QueryPending:
		handlePendingReply(w, &m, in.Reply)
	case quetzalwork.EvacuateHost:
		handleWaveEvacuation(w, &m, in.Reply)
		handleMoveEvacuation(w, &m, in.Reply)
	case quetzalwork.QueryLoad:
		handleLoad(w, m.Pool, in.Reply)
	case quetzalwork.NotifyAccepted, quetzalwork.NotifyCancelled, quetzalwork.NotifyDuty, quetzalwork.NotifyHostWithdrawn, quetzalwork.NotifyDutyDropped,
		quetzalwork.NotifyMinionRestarted:
		if in.Reply == nil {
			suspectHolder(w)
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "An entry did not reply to a message.", Reason: string(in.Address), Routine: true})
		}
	}
}

// handleStateReply answers a caller's query with the state of a job, or looks the job up in the store if the
// reply does not have it.
func handleStateReply(w *quetzalwork.World, request quetzalwork.Row, reply quetzalwork.PeerReply) {
	switch r := reply.(type) {
	case quetzalwork.StateReply:
		if r.Known {
			answerJobRequest(w, request, quetzalwork.JobStateAnswer{State: r.State})
			return
		}
		beginLookUp(w, request, quetzalwork.LookUpUnknownToDispatcher)
	case quetzalwork.NotHolder:
		beginLookUp(w, request, quetzalwork.LookUpNotDispatcher)
	default:
		beginLookUp(w, request, quetzalwork.LookUpDispatcherSilent)
	}
}

// handlePendingReply answers a caller's query with the number of pending jobs. Without an answer
// from the dispatcher it queries again, up to maxJobRequestAttempts times.
func handlePendingReply(w *quetzalwork.World, m *quetzalwork.QueryPending, reply quetzalwork.PeerReply) {
	request := w.JobRequests.At(m.Request)
	if request == nil {
		return
	}
	q := w.Queues.At(request.Queue)
	if r, ok := reply.(quetzalwork.PendingReply); ok {
		q.Pending, q.PendingAt = r.Pending, w.Now
		answerJobRequest(w, m.Request, quetzalwork.PendingJobsAnswer(r))
		return
	}
	request.Attempts++
	if request.Attempts > maxJobRequestAttempts {
		answerJobRequest(w, m.Request, quetzalwork.Indeterminate{Reason: "NoDispatcher"})
		return
	}
	if w.Pools.At(request.Pool).Duty.Address != "" {
		queryPending(w, m.Request)
	}
}
