package quetzalsystem

import (
	"cmp"
	"slices"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// handleOperatorRequest answers an operator's query at once. A change is answered when it is
// committed or rejected, or when its timeout has passed.
func handleOperatorRequest(w *quetzalfleet.World, in quetzalfleet.OperatorRequested) {
	switch a := in.Action.(type) {
	case quetzalfleet.ChangeSetting:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.ChangePool:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.ChangeQueue:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.ChangeTeam:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.RegisterHost:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.MoveHost:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.CreateWave:
		beginChange(w, in.Caller, a.ID, a)
	case quetzalfleet.SetWaveState:
		beginChange(w, in.Caller, a.ID, a)
	default:
		w.Emit(quetzalfleet.AnswerOperator{Caller: in.Caller, Result: queryResult(w, in.Action)})
	}
}

// queryResult returns the result of a query.
func queryResult(w *quetzalfleet.World, action quetzalfleet.OperatorAction) quetzalfleet.OperatorResult {
	switch a := action.(type) {
	case quetzalfleet.PreviewWave:
		return quetzalfleet.WavesView{Waves: []quetzalfleet.WaveView{wavePreview(w, &a.Wave)}}
	case quetzalfleet.GetSetting:
		return settingView(w, a.Path)
	case quetzalfleet.GetSettingsVersions:
		return versionsView(w)
	case quetzalfleet.GetPools:
		return Pools(w)
	case quetzalfleet.GetQueues:
		return queuesView(w)
	case quetzalfleet.GetHosts:
		return hostsView(w)
	case quetzalfleet.GetWaves:
		return wavesView(w)
	case quetzalfleet.GetTeams:
		return teamsView(w)
	case quetzalfleet.GetDecisions:
		d := slices.Clone(w.Decisions)
		slices.Reverse(d)
		return quetzalfleet.DecisionsView{Decisions: d}
	default:
		return statusView(w)
	}
}

// settingView returns a node of the settings tree, its effective settings and the nodes
// that they come from.
func settingView(w *quetzalfleet.World, path quetzalunit.SettingsPath) quetzalfleet.SettingView {
	v := quetzalfleet.SettingView{Effective: effectiveSettings(w, path)}
	v.Node.Path = path
	if n := settingNodeAt(w, path); n != nil {
		v.Node = *n
	}
	for _, node := range ancestors(path) {
		if n := settingNodeAt(w, node); n != nil {
			v.Origins = append(v.Origins, quetzalfleet.SettingOrigin{Node: *n})
		}
	}
	return v
}

// versionsView returns the settings version in force at each known entry.
func versionsView(w *quetzalfleet.World) quetzalfleet.SettingsVersionsView {
	v := quetzalfleet.SettingsVersionsView{HeadVersion: w.HeadVersion}
	v.Peers = append(v.Peers, quetzalfleet.PeerView{
		Entry: w.Self.Entry, Zone: w.Self.Zone, SettingsVersion: w.SettingsVersion,
	})
	for _, p := range w.Peers.All() {
		v.Peers = append(v.Peers, quetzalfleet.PeerView{
			Entry: p.ID, Zone: p.Zone, SettingsVersion: p.SettingsVersion, SilentFor: w.Now.Sub(p.LastHeardAt),
		})
	}
	slices.SortFunc(v.Peers, func(a, b quetzalfleet.PeerView) int { return cmp.Compare(a.Entry, b.Entry) })
	return v
}

// Pools returns the pools as seen in the entry's zone.
func Pools(w *quetzalfleet.World) quetzalfleet.PoolsView {
	v := quetzalfleet.PoolsView{Zone: w.Self.Zone}
	for row, p := range w.Pools.All() {
		n, _ := availableHosts(w, p, 0)
		v.Pools = append(v.Pools, quetzalfleet.PoolView{
			ID: p.ID, Spare: p.Spare, Hosts: quetzalunit.Hosts(len(p.Hosts)), Available: n,
			MinHosts: minHosts(w, p), Headroom: headroom(w, row, 0),
		})
	}
	slices.SortFunc(v.Pools, func(a, b quetzalfleet.PoolView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// queuesView returns the queues with the load at this entry.
func queuesView(w *quetzalfleet.World) quetzalfleet.QueuesView {
	var v quetzalfleet.QueuesView
	for _, q := range w.Queues.All() {
		v.Queues = append(v.Queues, quetzalfleet.QueueView{ID: q.ID, Pool: q.PoolID, Queued: q.Queued, Running: q.Running})
	}
	slices.SortFunc(v.Queues, func(a, b quetzalfleet.QueueView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// hostsView returns the hosts with their states as seen by this entry.
func hostsView(w *quetzalfleet.World) quetzalfleet.HostsView {
	var v quetzalfleet.HostsView
	for _, h := range w.Hosts.All() {
		v.Hosts = append(v.Hosts, quetzalfleet.HostView{
			HostSpec: h.HostSpec, Running: h.Running, ListedState: h.ListedState, Ejected: h.EjectedUntil > w.Now,
		})
	}
	slices.SortFunc(v.Hosts, func(a, b quetzalfleet.HostView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// teamsView returns the teams.
func teamsView(w *quetzalfleet.World) quetzalfleet.TeamsView {
	var v quetzalfleet.TeamsView
	for _, t := range w.Teams.All() {
		v.Teams = append(v.Teams, *t)
	}
	slices.SortFunc(v.Teams, func(a, b quetzalfleet.Team) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// wavesView returns the waves, their progress in all zones, and the hosts that the
// budgets held back in this entry's last plan.
func wavesView(w *quetzalfleet.World) quetzalfleet.WavesView {
	var v quetzalfleet.WavesView
	for _, wave := range w.Waves.All() {
		progress := waveProgressView(w, &wave.WaveSpec)
		progress.Blocked = slices.Clone(wave.Blocked)
		v.Waves = append(v.Waves, progress)
	}
	slices.SortFunc(v.Waves, func(a, b quetzalfleet.WaveView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// waveProgressView counts the hosts that a wave covers, those it has done and those it has
// out of service.
func waveProgressView(w *quetzalfleet.World, spec *quetzalfleet.WaveSpec) quetzalfleet.WaveView {
	v := quetzalfleet.WaveView{WaveSpec: *spec}
	for _, h := range w.Hosts.All() {
		if !waveCovers(spec, h) {
			continue
		}
		v.Total++
		switch {
		case h.LastWave == spec.ID:
			v.Done++
		case h.Wave == spec.ID:
			v.Active++
		}
	}
	return v
}

// wavePreview returns what a new wave would cover. Blocked lists the hosts in the zone
// that the budgets do not allow it to drain at present: their pools have no headroom, and
// no spare host can replace them.
func wavePreview(w *quetzalfleet.World, spec *quetzalfleet.WaveSpec) quetzalfleet.WaveView {
	v := waveProgressView(w, spec)
	for row, h := range w.Hosts.All() {
		if h.Zone != w.Self.Zone || !waveCovers(spec, h) || mayDrain(w, row) {
			continue
		}
		if p := w.Pools.At(h.PoolRow); p != nil && !p.Spare && findSpareHost(w, p.ID) != 0 {
			continue
		}
		v.Blocked = append(v.Blocked, h.ID)
	}
	slices.Sort(v.Blocked)
	return v
}

// statusView returns the state of this entry.
func statusView(w *quetzalfleet.World) quetzalfleet.StatusView {
	d := dutyOf(w, w.Self.Zone)
	v := quetzalfleet.StatusView{
		Entry: w.Self.Entry, Zone: w.Self.Zone, Holder: d.Holder, Epoch: d.Epoch, HoldsDuty: holdsDuty(w),
		PlatformReachable: !w.PlatformUnreachable, SettingsVersion: w.SettingsVersion, Ready: Ready(w),
		Hosts: quetzalunit.Hosts(w.Hosts.Len()), Peers: w.Peers.Len(), RefusedNotRun: w.RefusedNotRun,
	}
	for _, q := range w.Queues.All() {
		v.Queued += q.Queued
		v.Running += q.Running
	}
	return v
}

// Ready reports whether the entry accepts requests: it has loaded the fleet's rows, may
// send work to minions and is not stopping.
func Ready(w *quetzalfleet.World) bool {
	return w.Stop == quetzalfleet.StopNone && mayServe(w)
}
