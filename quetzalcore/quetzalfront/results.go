package quetzalfront

import (
	"fmt"
	"net/http"
	"reflect"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsettings"
	"quetzalstair/quetzalcore/quetzalwire"
)

// writeResult writes the result of an operator action as a JSON document.
func (o *OperatorAPI) writeResult(w http.ResponseWriter, r *http.Request, result quetzalfleet.OperatorResult) {
	switch v := result.(type) {
	case quetzalfleet.ChangeAccepted:
		writeJSON(w, http.StatusOK, quetzalwire.ChangeResult{ChangeID: string(v.ID), Version: int(v.Version)})
	case quetzalfleet.ChangeConflict:
		writeError(w, http.StatusConflict, quetzalwire.ErrorDoc{Code: "Conflict", Message: fmt.Sprintf(
			"the node has version %d, not %d: read it again and repeat the change", v.ActualVersion, v.ExpectedVersion,
		)})
	case quetzalfleet.ChangeRefused:
		writeError(w, http.StatusUnprocessableEntity, quetzalwire.ErrorDoc{Code: "Refused", Message: string(v.Problem)})
	case quetzalfleet.ChangeUnknown:
		writeError(w, http.StatusGatewayTimeout, quetzalwire.ErrorDoc{
			Code: "Unknown", Message: "the platform did not answer, and the change may have taken effect: send it again with the same ChangeId",
		})
	default:
		writeJSON(w, http.StatusOK, o.resultDoc(r, result))
	}
}

// resultDoc converts the result of a query to its JSON document.
func (o *OperatorAPI) resultDoc(r *http.Request, result quetzalfleet.OperatorResult) any {
	switch v := result.(type) {
	case quetzalfleet.SettingView:
		return settingDoc(&v, r.URL.Query().Get("Explain") == flagTrue)
	case quetzalfleet.SettingsVersionsView:
		return versionsDoc(&v)
	case quetzalfleet.PoolsView:
		return poolsDoc(&v)
	case quetzalfleet.QueuesView:
		return queuesDoc(&v)
	case quetzalfleet.HostsView:
		return hostsDoc(&v)
	case quetzalfleet.WavesView:
		return wavesDoc(&v)
	case quetzalfleet.TeamsView:
		return teamsDoc(&v)
	case quetzalfleet.DecisionsView:
		return decisionsDoc(&v)
	case quetzalfleet.StatusView:
		return o.statusDoc(&v)
	}
	return nil
}

func settingDoc(v *quetzalfleet.SettingView, explain bool) quetzalwire.SettingsReply {
	d := quetzalwire.SettingsReply{
		Path: string(v.Node.Path), Version: int(v.Node.Version),
		Values: quetzalsettings.FormatValues(&v.Node.Values), Effective: []quetzalwire.ExplainedValue{},
	}
	if explain {
		d.Effective = explainValues(v)
	}
	return d
}

// explainValues lists every setting with its effective value and the node that the
// value comes from: the deepest one that sets it, or "default".
func explainValues(v *quetzalfleet.SettingView) []quetzalwire.ExplainedValue {
	effective := quetzalsettings.FormatEffective(&v.Effective)
	fields := reflect.ValueOf(effective)
	list := make([]quetzalwire.ExplainedValue, 0, fields.NumField())
	for i := range fields.NumField() {
		e := quetzalwire.ExplainedValue{
			Field: fields.Type().Field(i).Name,
			Value: fmt.Sprint(fields.Field(i).Elem().Interface()),
			From:  "default",
		}
		for _, origin := range v.Origins {
			values := quetzalsettings.FormatValues(&origin.Node.Values)
			if !reflect.ValueOf(values).Field(i).IsNil() {
				e.From = string(origin.Node.Path)
			}
		}
		list = append(list, e)
	}
	return list
}

func versionsDoc(v *quetzalfleet.SettingsVersionsView) quetzalwire.VersionsReply {
	d := quetzalwire.VersionsReply{Head: int(v.HeadVersion), Entries: []quetzalwire.EntryVersion{}}
	for _, p := range v.Peers {
		d.Entries = append(d.Entries, quetzalwire.EntryVersion{
			Entry: string(p.Entry), Zone: string(p.Zone), Version: int(p.SettingsVersion),
			AgeMs: int(p.SilentFor.Milliseconds()),
		})
	}
	return d
}

func poolsDoc(v *quetzalfleet.PoolsView) quetzalwire.PoolList {
	d := quetzalwire.PoolList{Pools: []quetzalwire.PoolStatus{}}
	for _, p := range v.Pools {
		d.Pools = append(d.Pools, quetzalwire.PoolStatus{
			Pool: string(p.ID), Zone: string(v.Zone), Spare: p.Spare, Hosts: int(p.Hosts),
			Available: int(p.Available), MinHosts: int(p.MinHosts), Headroom: int(p.Headroom),
		})
	}
	return d
}

func queuesDoc(v *quetzalfleet.QueuesView) quetzalwire.QueueList {
	d := quetzalwire.QueueList{Queues: []quetzalwire.QueueStatus{}}
	for _, q := range v.Queues {
		d.Queues = append(d.Queues, quetzalwire.QueueStatus{
			Queue: string(q.ID), Pool: string(q.Pool), Queued: int(q.Queued), Running: int(q.Running),
		})
	}
	return d
}

func hostsDoc(v *quetzalfleet.HostsView) quetzalwire.HostStatusList {
	d := quetzalwire.HostStatusList{Hosts: []quetzalwire.HostStatus{}}
	for i := range v.Hosts {
		h := &v.Hosts[i]
		d.Hosts = append(d.Hosts, quetzalwire.HostStatus{
			Host: quetzalcodec.EncodeHost(&h.HostSpec), Running: int(h.Running), Listed: h.ListedState.String(), Ejected: h.Ejected,
		})
	}
	return d
}

func wavesDoc(v *quetzalfleet.WavesView) quetzalwire.WaveList {
	d := quetzalwire.WaveList{Waves: []quetzalwire.WaveStatus{}}
	for i := range v.Waves {
		wave := &v.Waves[i]
		s := quetzalwire.WaveStatus{
			Wave: quetzalcodec.EncodeWave(&wave.WaveSpec), Total: int(wave.Total), Done: int(wave.Done),
			Active: int(wave.Active), Blocked: []string{},
		}
		for _, h := range wave.Blocked {
			s.Blocked = append(s.Blocked, string(h))
		}
		d.Waves = append(d.Waves, s)
	}
	return d
}

func teamsDoc(v *quetzalfleet.TeamsView) quetzalwire.TeamList {
	d := quetzalwire.TeamList{Teams: []quetzalwire.TeamStatus{}}
	for _, t := range v.Teams {
		d.Teams = append(d.Teams, quetzalwire.TeamStatus{
			Team: string(t.ID), Weight: int(t.Weight), MaxQueued: int(t.MaxQueued),
			Queued: int(t.Queued), Running: int(t.Running),
		})
	}
	return d
}

func decisionsDoc(v *quetzalfleet.DecisionsView) quetzalwire.DecisionList {
	d := quetzalwire.DecisionList{Decisions: []quetzalwire.DecisionDoc{}}
	for _, e := range v.Decisions {
		d.Decisions = append(d.Decisions, quetzalwire.DecisionDoc{
			AtMs: int(e.At.Milliseconds()), Kind: string(e.Kind), Subject: e.Subject, Reason: e.Reason,
		})
	}
	return d
}

func (o *OperatorAPI) statusDoc(v *quetzalfleet.StatusView) quetzalwire.EntryStatus {
	return quetzalwire.EntryStatus{
		Entry: string(v.Entry), Zone: string(v.Zone), Version: o.Version, DutyHolder: string(v.Holder),
		DutyEpoch: int(v.Epoch), HoldsDuty: v.HoldsDuty, Ready: v.Ready, PlatformReachable: v.PlatformReachable,
		SettingsVersion: int(v.SettingsVersion), Queued: int(v.Queued), Running: int(v.Running),
		Hosts: int(v.Hosts), Peers: v.Peers, RefusedNotRun: int(v.RefusedNotRun),
	}
}
