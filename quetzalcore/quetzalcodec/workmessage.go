package quetzalcodec

import (
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalcore/quetzalwork"
)

// EncodeWorkMessage returns the wire form of a message to another entry of the scheduler.
func EncodeWorkMessage(m quetzalwork.PeerMessage) quetzalwire.WorkMessage {
	switch m := m.(type) {
	case quetzalwork.NotifyAccepted:
		d := quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindAccepted, Pool: string(m.Pool)}
		for i := range m.Jobs {
			if a, ok := m.Jobs[i].Content.(quetzalwork.AcceptedJob); ok {
				d.Rows = append(d.Rows, quetzalwire.WorkRowDoc{Job: string(m.Jobs[i].Job), Accepted: encodeAcceptedJob(&a)})
			}
		}
		return d
	case quetzalwork.NotifyCancelled:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindCancelled, Pool: string(m.Pool), Job: string(m.Job)}
	case quetzalwork.QueryState:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindState, Pool: string(m.Pool), Job: string(m.Job)}
	case quetzalwork.QueryPending:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindPending, Pool: string(m.Pool), Queue: string(m.Queue)}
	case quetzalwork.NotifyDuty:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindDuty, Pool: string(m.Pool), Duty: encodeDuty(&m.Duty), Revision: int(m.Duty.Revision)}
	case quetzalwork.EvacuateHost:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindEmpty, Pool: string(m.Pool), Host: string(m.Host), Wave: string(m.Wave)}
	case quetzalwork.NotifyDutyDropped:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindDropped, Pool: string(m.Pool), Revision: int(m.Token)}
	case quetzalwork.QueryLoad:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindLoad, Pool: string(m.Pool)}
	case quetzalwork.NotifyHostWithdrawn:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindTaken, Pool: string(m.Pool), Host: string(m.Host), Minion: string(m.Minion), Revision: int(m.Incarnation)}
	case quetzalwork.NotifyMinionRestarted:
		return quetzalwire.WorkMessage{Kind: quetzalwire.WorkMessageKindRestarted, Pool: string(m.Pool), Minion: string(m.Minion)}
	}
	return quetzalwire.WorkMessage{}
}

// DecodeWorkMessage decodes a message from another entry.
func DecodeWorkMessage(d *quetzalwire.WorkMessage) (quetzalwork.PeerMessage, error) {
	pool := quetzalunit.PoolID(d.Pool)
	switch d.Kind {
	case quetzalwire.WorkMessageKindAccepted:
		m := quetzalwork.NotifyAccepted{Pool: pool}
		for i := range d.Rows {
			m.Jobs = append(m.Jobs, quetzalwork.JobRow{Job: quetzalunit.JobID(d.Rows[i].Job), Content: decodeAcceptedJob(&d.Rows[i].Accepted)})
		}
		return m, nil
	case quetzalwire.WorkMessageKindCancelled:
		return quetzalwork.NotifyCancelled{Pool: pool, Job: quetzalunit.JobID(d.Job)}, nil
	case quetzalwire.WorkMessageKindState:
		return quetzalwork.QueryState{Pool: pool, Job: quetzalunit.JobID(d.Job)}, nil
	case quetzalwire.WorkMessageKindPending:
		return quetzalwork.QueryPending{Pool: pool, Queue: quetzalunit.QueueID(d.Queue)}, nil
	case quetzalwire.WorkMessageKindDuty:
		return quetzalwork.NotifyDuty{Pool: pool, Duty: decodeDuty(&d.Duty, quetzalunit.Revision(d.Revision))}, nil
	case quetzalwire.WorkMessageKindEmpty:
		return quetzalwork.EvacuateHost{Pool: pool, Host: quetzalunit.HostID(d.Host), Wave: quetzalunit.WaveID(d.Wave)}, nil
	case quetzalwire.WorkMessageKindDropped:
		return quetzalwork.NotifyDutyDropped{Pool: pool, Token: quetzalunit.FencingToken(d.Revision)}, nil
	case quetzalwire.WorkMessageKindLoad:
		return quetzalwork.QueryLoad{Pool: pool}, nil
	case quetzalwire.WorkMessageKindTaken:
		return quetzalwork.NotifyHostWithdrawn{
			Pool: pool, Host: quetzalunit.HostID(d.Host), Minion: quetzalunit.MinionID(d.Minion), Incarnation: quetzalunit.MinionIncarnation(d.Revision),
		}, nil
	case quetzalwire.WorkMessageKindRestarted:
		return quetzalwork.NotifyMinionRestarted{Pool: pool, Minion: quetzalunit.MinionID(d.Minion)}, nil
	}
	return nil, &FieldError{Field: "Kind", Problem: string(d.Kind)}
}

// EncodeWorkReply returns the wire form of a reply to a WorkMessage.
func EncodeWorkReply(r quetzalwork.PeerReply) quetzalwire.WorkReply {
	switch r := r.(type) {
	case quetzalwork.Acknowledged:
		return quetzalwire.WorkReply{Kind: quetzalwire.WorkReplyKindHeard}
	case quetzalwork.NotHolder:
		return quetzalwire.WorkReply{Kind: quetzalwire.WorkReplyKindNotHolder}
	case quetzalwork.StateReply:
		return quetzalwire.WorkReply{Kind: quetzalwire.WorkReplyKindState, Known: r.Known, State: int(r.State)}
	case quetzalwork.PendingReply:
		return quetzalwire.WorkReply{Kind: quetzalwire.WorkReplyKindPending, Pending: int(r.Pending)}
	case quetzalwork.LoadReply:
		d := quetzalwire.WorkReply{
			Kind: quetzalwire.WorkReplyKindLoad, WantedMilliCores: int(r.Load.Wanted), UsableMilliCores: int(r.Load.Usable), Hosts: r.Load.UsableHosts,
			MissingLabels: toStrings(r.Load.MissingLabels), Joined: toStrings(r.Load.JoinedHosts),
		}
		for _, h := range r.Load.MovableHosts {
			d.Idle = append(d.Idle, quetzalwire.IdleHostDoc{Host: string(h.Host), IdleMs: int(h.IdleFor.Milliseconds())})
		}
		return d
	case quetzalwork.EvacuationReply:
		return quetzalwire.WorkReply{Kind: quetzalwire.WorkReplyKindEmpty, Empty: r.Empty, Safe: r.SafeToInterrupt}
	}
	return quetzalwire.WorkReply{}
}

// DecodeWorkReply decodes the reply of another entry.
func DecodeWorkReply(d *quetzalwire.WorkReply) (quetzalwork.PeerReply, error) {
	switch d.Kind {
	case quetzalwire.WorkReplyKindHeard:
		return quetzalwork.Acknowledged{}, nil
	case quetzalwire.WorkReplyKindNotHolder:
		return quetzalwork.NotHolder{}, nil
	case quetzalwire.WorkReplyKindState:
		if d.State < int(quetzalwork.JobQueued) || d.State > int(quetzalwork.JobCancelled) {
			return nil, &FieldError{Field: "State", Problem: "out of range"}
		}
		return quetzalwork.StateReply{Known: d.Known, State: quetzalwork.JobState(d.State)}, nil
	case quetzalwire.WorkReplyKindPending:
		return quetzalwork.PendingReply{Pending: quetzalunit.Tasks(d.Pending)}, nil
	case quetzalwire.WorkReplyKindLoad:
		l := quetzalwork.PoolLoad{
			Wanted: quetzalunit.MilliCores(d.WantedMilliCores), Usable: quetzalunit.MilliCores(d.UsableMilliCores), UsableHosts: d.Hosts,
			MissingLabels: FromStrings[quetzalunit.Label](d.MissingLabels), JoinedHosts: FromStrings[quetzalunit.HostID](d.Joined),
		}
		for _, h := range d.Idle {
			l.MovableHosts = append(l.MovableHosts, quetzalwork.MovableHost{Host: quetzalunit.HostID(h.Host), IdleFor: durationFromMs(h.IdleMs)})
		}
		return quetzalwork.LoadReply{Load: l}, nil
	case quetzalwire.WorkReplyKindEmpty:
		return quetzalwork.EvacuationReply{Empty: d.Empty, SafeToInterrupt: d.Safe}, nil
	}
	return nil, &FieldError{Field: "Kind", Problem: string(d.Kind)}
}
