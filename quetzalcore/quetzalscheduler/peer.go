package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalwork"
)

// handlePeerMessage handles a message of another entry and sends the reply.
func handlePeerMessage(w *quetzalwork.World, in *quetzalwork.PeerAsked) {
	w.Emit(quetzalwork.AnswerPeer{Caller: in.Caller, Reply: replyTo(w, in.Message)})
}

// replyTo applies a message of another entry and returns the reply.
func replyTo(w *quetzalwork.World, message quetzalwork.PeerMessage) quetzalwork.PeerReply {
	switch m := message.(type) {
	case quetzalwork.TellAccepted:
		row := poolRow(w, m.Pool)
		if !w.Pools.At(row).Held {
			return quetzalwork.NotHolder{}
		}
		for i := range m.Jobs {
			addJobRow(w, row, &m.Jobs[i])
		}
	case quetzalwork.TellCancelled:
		row := poolRow(w, m.Pool)
		if !w.Pools.At(row).Held {
			return quetzalwork.NotHolder{}
		}
		addJobRow(w, row, &quetzalwork.JobRow{Job: m.Job, Content: quetzalwork.JobCancellation{}})
	case quetzalwork.AskState:
		row := poolRow(w, m.Pool)
		j := w.Jobs.At(w.JobByID.Get(m.Job))
		if !w.Pools.At(row).Held {
			return quetzalwork.NotHolder{}
		}
		if j == nil || j.Pool != row {
			return quetzalwork.StateReply{}
		}
		return quetzalwork.StateReply{Known: true, State: shownState(j)}
	case quetzalwork.AskPending:
		row := poolRow(w, m.Pool)
		if p := w.Pools.At(row); !p.Held || !p.Loaded {
			return quetzalwork.NotHolder{}
		}
		return quetzalwork.PendingReply{Pending: countPending(w, row, m.Queue)}
	case quetzalwork.TellDuty:
		seeDuty(w, m.Pool, m.Duty)
		if m.Duty.Holder == "" {
			takeOverDuties(w)
		}
	case quetzalwork.AskEmpty:
		return evacuateHost(w, &m)
	case quetzalwork.TellTaken:
		endRunsOnHost(w, m.Pool, m.Host)
	case quetzalwork.TellDropped:
		handlePredecessorDropped(w, &m)
	case quetzalwork.AskLoad:
		row := poolRow(w, m.Pool)
		if p := w.Pools.At(row); !p.Held || !p.Loaded {
			return quetzalwork.NotHolder{}
		}
		return quetzalwork.LoadReply{Load: computeLoad(w, row)}
	}
	return quetzalwork.Heard{}
}

// handlePeerReply applies another entry's reply to a message. The reply is nil if none arrived in
// time.
func handlePeerReply(w *quetzalwork.World, in *quetzalwork.PeerAnswered) {
	switch m := in.Message.(type) {
	case quetzalwork.AskState:
		if w.Asks.At(m.Ask) == nil {
			return
		}
		if r, ok := in.Reply.(quetzalwork.StateReply); ok && r.Known {
			answerAsk(w, m.Ask, quetzalwork.StateIs{State: r.State})
			return
		}
		lookUp(w, m.Ask)
	case quetzalwork.AskPending:
		handlePendingReply(w, &m, in.Reply)
	case quetzalwork.AskEmpty:
		handleWaveEvacuation(w, &m, in.Reply)
		handleMoveEvacuation(w, &m, in.Reply)
	case quetzalwork.AskLoad:
		handleLoad(w, m.Pool, in.Reply)
	case quetzalwork.TellAccepted, quetzalwork.TellCancelled, quetzalwork.TellDuty, quetzalwork.TellTaken, quetzalwork.TellDropped:
		if in.Reply == nil {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Text: "An entry did not reply to a message.", Reason: string(in.Address), Routine: true})
		}
	}
}

// handlePendingReply answers a caller's query with the number of pending jobs. Without an answer
// from the dispatcher it asks again, up to askRetries times.
func handlePendingReply(w *quetzalwork.World, m *quetzalwork.AskPending, reply quetzalwork.PeerReply) {
	a := w.Asks.At(m.Ask)
	if a == nil {
		return
	}
	q := w.Queues.At(a.Queue)
	if r, ok := reply.(quetzalwork.PendingReply); ok {
		q.Pending, q.PendingAt = r.Pending, w.Now
		answerAsk(w, m.Ask, quetzalwork.PendingIs(r))
		return
	}
	a.Tries++
	if a.Tries > askRetries {
		answerAsk(w, m.Ask, quetzalwork.Unsettled{Reason: "NoDispatcher"})
		return
	}
	if w.Pools.At(a.Pool).Duty.Address != "" {
		askPending(w, m.Ask)
	}
}
