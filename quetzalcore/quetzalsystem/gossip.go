package quetzalsystem

import (
	"cmp"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// reachableRounds is the number of gossip intervals without a message or reply
	// after which a peer in another zone counts as unreachable.
	reachableRounds = 30
	// freshRounds is the number of gossip intervals after which the revision that a
	// peer last reported is considered stale.
	freshRounds = 3
	// minGossipInterval is the minimum interval before changes are sent to the zone's
	// peers again.
	minGossipInterval = 50 * time.Millisecond
	// gossipRowLimit is the maximum number of rows in one message.
	gossipRowLimit = 200
)

// unreachableAfter returns how long a peer may be silent before no more requests are
// forwarded to it.
func unreachableAfter(w *quetzalfleet.World) time.Duration {
	return reachableRounds * w.Self.GossipPeriod
}

// gossip sends changes to the zone's peers without waiting for the next periodic
// round, at most once per minGossipInterval.
func gossip(w *quetzalfleet.World) {
	if !w.GossipPending {
		return
	}
	if wait := minGossipInterval - w.Now.Sub(w.LastGossipAt); wait > 0 {
		if !w.GossipScheduled {
			w.GossipScheduled = true
			w.After(wait, quetzalfleet.TickDue{})
		}
		return
	}
	w.GossipPending, w.GossipScheduled = false, false
	sendGossipToZone(w, sentRevision)
}

// gossipRound sends the periodic gossip to every peer in the zone and to one random
// peer in another zone.
func gossipRound(w *quetzalfleet.World) {
	w.After(w.Jitter(w.Self.GossipPeriod), quetzalfleet.GossipDue{})
	updateSeedPeers(w)
	sendGossipToZone(w, ackedRevision)
	var others []quetzalfleet.Row
	for row, p := range w.Peers.All() {
		if p.Zone != w.Self.Zone {
			others = append(others, row)
		}
	}
	if len(others) > 0 {
		sendGossip(w, others[w.Rand().IntN(len(others))], ackedRevision)
	}
}

// ackedRevision returns the revision up to which a peer is known to hold every row. When
// that information is stale it returns the newest revision, so that no rows are
// sent: the peer's reply reports which rows it lacks.
func ackedRevision(w *quetzalfleet.World, p *quetzalfleet.Peer) quetzalunit.Revision {
	if w.Now.Sub(p.LastHeardAt) > freshRounds*w.Self.GossipPeriod {
		return w.NewestRevision
	}
	return p.SeenRevision
}

// sentRevision returns the revision up to which every row has been sent to a peer.
func sentRevision(_ *quetzalfleet.World, p *quetzalfleet.Peer) quetzalunit.Revision {
	return max(p.SeenRevision, p.SentRevision)
}

// baseRevision is a function that returns the base revision of a message to a peer: only
// rows above it are sent.
type baseRevision func(*quetzalfleet.World, *quetzalfleet.Peer) quetzalunit.Revision

// sendGossipToZone sends gossip to every peer in the zone.
func sendGossipToZone(w *quetzalfleet.World, baseOf baseRevision) {
	w.LastGossipAt = w.Now
	for row, p := range w.Peers.All() {
		if p.Zone == w.Self.Zone {
			sendGossip(w, row, baseOf)
		}
	}
}

// sendGossip sends gossip to one peer, unless an earlier message still waits for its
// reply.
func sendGossip(w *quetzalfleet.World, row quetzalfleet.Row, baseOf baseRevision) {
	p := w.Peers.At(row)
	if p.GossipInFlight {
		return
	}
	p.GossipInFlight, p.GossipSentAt = true, w.Now
	p.LeavingSent = p.Guest
	base := baseOf(w, p)
	rows, seen := rowsSince(w, base)
	p.SentRevision = max(p.SentRevision, seen)
	if len(rows) < gossipRowLimit {
		p.SentRevision = w.NewestRevision
	}
	if !w.FleetLoaded {
		// The peer must not take the rows known here for all rows.
		seen = 0
	}
	w.Emit(quetzalfleet.SendGossip{Peer: p.ID, Address: p.Address, Message: quetzalfleet.Gossip{
		From:            w.Self.Entry,
		Incarnation:     w.Self.Incarnation,
		Zone:            w.Self.Zone,
		Address:         w.Self.PeerAddress,
		Guest:           !inRoster(w),
		Stopping:        w.Stop != quetzalfleet.StopNone,
		SinceRevision:   base,
		SeenRevision:    seen,
		SettingsVersion: w.SettingsVersion,
		Rows:            rows,
		DrainedHosts:    confirmedHosts(w),
		LeavingHosts:    leavingHosts(w, p),
		Loads:           poolLoads(w),
		LongTeams:       longTeams(w),
		KnownHosts:      knownHosts(w),
	}})
}

// rowsSince returns at most gossipRowLimit rows above a revision, oldest first, and
// the revision up to which they are complete. Renewals are left out.
func rowsSince(w *quetzalfleet.World, since quetzalunit.Revision) ([]quetzalfleet.RowAtRevision, quetzalunit.Revision) {
	if since >= w.NewestRevision && since >= w.SeenRevision {
		return nil, w.SeenRevision
	}
	var rows []quetzalfleet.RowAtRevision
	for key, row := range w.FleetRows {
		if row.Revision > since && key.Table != quetzalfleet.TableRenewals {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b quetzalfleet.RowAtRevision) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key.Table, b.Key.Table), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	if len(rows) <= gossipRowLimit {
		return rows, w.SeenRevision
	}
	return rows[:gossipRowLimit], min(w.SeenRevision, rows[gossipRowLimit-1].Revision-1)
}

// confirmedHosts lists the zone's leaving hosts on which neither this entry nor any
// of its guests runs work.
func confirmedHosts(w *quetzalfleet.World) []quetzalfleet.HostGeneration {
	var confirmed []quetzalfleet.HostGeneration
	for _, h := range w.Hosts.All() {
		if h.Zone == w.Self.Zone && h.State == quetzalfleet.HostLeaving && idleHere(w, h) && guestsConfirmed(w, h) {
			confirmed = append(confirmed, quetzalfleet.HostGeneration{Host: h.ID, Generation: h.Generation})
		}
	}
	return confirmed
}

// idleHere reports whether no work sent by this entry can still run on a host. Work
// sent by an earlier process with the same entry id is assumed to have stopped once
// this process is cancelGrace old.
func idleHere(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	return h.Running == 0 && h.LingerUntil <= w.Now && w.Now.Sub(w.StartedAt) >= cancelGrace
}

// leavingHosts lists the hosts whose minions told this entry directly that they are
// leaving, and for a guest, which cannot read the platform's list, also the zone's hosts that are
// not live in the last list here. Reports received from peers are not passed on.
func leavingHosts(w *quetzalfleet.World, p *quetzalfleet.Peer) []quetzalfleet.HostGeneration {
	var leaving []quetzalfleet.HostGeneration
	for _, h := range w.Hosts.All() {
		listed := p.Guest && h.Zone == w.Self.Zone && h.ListedState != quetzalfleet.ListedLive
		if listed || h.LeavingFromMinion && h.LeavingGeneration == h.Generation {
			leaving = append(leaving, quetzalfleet.HostGeneration{Host: h.ID, Generation: h.Generation})
		}
	}
	return leaving
}

// poolLoads lists this entry's load on each pool that has queued or running requests.
func poolLoads(w *quetzalfleet.World) []quetzalfleet.PoolLoad {
	var list []quetzalfleet.PoolLoad
	for _, p := range w.Pools.All() {
		if l := localLoad(w, p); l.Queued > 0 || l.Running > 0 {
			list = append(list, l)
		}
	}
	return list
}

// localLoad returns this entry's load on a pool.
func localLoad(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalfleet.PoolLoad {
	l := quetzalfleet.PoolLoad{Pool: p.ID}
	for _, row := range p.Queues {
		q := w.Queues.At(row)
		l.Queued += q.Queued
		l.Running += q.Running
	}
	return l
}

// longTeams lists the teams whose short requests are scheduled as long ones.
func longTeams(w *quetzalfleet.World) []quetzalunit.TeamID {
	var teams []quetzalunit.TeamID
	for _, t := range w.Teams.All() {
		if t.LongShare >= longShareLimit {
			teams = append(teams, t.ID)
		}
	}
	return teams
}

// applyLongTeams schedules as long the short requests of the teams that a peer
// reports, so that this entry need not observe the long runs itself.
func applyLongTeams(w *quetzalfleet.World, teams []quetzalunit.TeamID) {
	for _, id := range teams {
		if t := w.Teams.At(w.TeamByID.Get(id)); t != nil {
			t.LongShare = max(t.LongShare, longShareLimit)
		}
	}
}

// handleGossip applies a gossip message and replies to it.
func handleGossip(w *quetzalfleet.World, in quetzalfleet.GossipArrived) {
	m := in.Message
	applyRows(w, m.Rows)
	if m.SinceRevision <= w.SeenRevision {
		w.FleetLoaded = w.FleetLoaded || (m.SeenRevision > 0 && len(m.Rows) < gossipRowLimit)
		advanceSeen(w, m.SeenRevision)
	}
	sponsors := sponsorGuest(w, &m)
	updatePeer(w, &m)
	for _, c := range m.DrainedHosts {
		recordConfirmation(w, &m, c)
	}
	for _, l := range m.LeavingHosts {
		if row := w.HostByID.Get(l.Host); row != 0 {
			recordLeaving(w, row, l.Generation)
		}
	}
	applyLongTeams(w, m.LongTeams)
	joinRosterIfSynced(w)
	w.Emit(quetzalfleet.AnswerGossip{Caller: in.Caller, SeenRevision: w.SeenRevision, SettingsVersion: w.SettingsVersion, Sponsors: sponsors})
}

// joinRosterIfSynced joins the roster if the fleet's rows are loaded and the platform
// answered the last call.
func joinRosterIfSynced(w *quetzalfleet.World) {
	if w.SeenRevision > 0 && !w.PlatformUnreachable {
		joinRoster(w)
	}
}

// updatePeer updates the sender of a gossip message if it is the process that is known
// under its entry id.
func updatePeer(w *quetzalfleet.World, m *quetzalfleet.Gossip) {
	p := w.Peers.At(w.PeerByID.Get(m.From))
	if p == nil || p.Incarnation != m.Incarnation {
		return
	}
	p.LastHeardAt = w.Now
	p.Stopping = m.Stopping
	p.Loads = m.Loads
	p.SettingsVersion = max(p.SettingsVersion, m.SettingsVersion)
	p.SeenRevision = max(p.SeenRevision, m.SeenRevision)
}

// recordConfirmation records that the sender of a gossip message runs nothing on a host.
func recordConfirmation(w *quetzalfleet.World, m *quetzalfleet.Gossip, c quetzalfleet.HostGeneration) {
	key := quetzalfleet.DrainConfirmationKey{Entry: m.From, Host: c.Host}
	row := w.DrainConfirmationByKey.Get(key)
	if row == 0 {
		row = w.DrainConfirmations.Insert(quetzalfleet.DrainConfirmation{Entry: m.From, Host: c.Host})
		w.DrainConfirmationByKey.Put(key, row)
	}
	v := w.DrainConfirmations.At(row)
	if v.Incarnation != m.Incarnation || v.Generation != c.Generation {
		v.Incarnation, v.Generation = m.Incarnation, c.Generation
		w.PlanDirty = true
		// This entry confirms a host only after its guests have.
		w.GossipPending = w.GossipPending || m.Guest
	}
}

// handleGossipReply applies the reply to a gossip message.
func handleGossipReply(w *quetzalfleet.World, in quetzalfleet.GossipAnswered) {
	p := w.Peers.At(w.PeerByID.Get(in.Peer))
	if p == nil {
		return
	}
	p.GossipInFlight = false
	if in.Failed {
		p.SentRevision = 0
		return
	}
	if in.Sponsors {
		w.GuestUntil = max(w.GuestUntil, p.GossipSentAt.Add(guestLease))
		dirtyAllPools(w)
	}
	p.LastHeardAt = w.Now
	p.LeavingKnown = p.LeavingKnown || p.LeavingSent
	p.SeenRevision = in.SeenRevision
	p.SettingsVersion = max(p.SettingsVersion, in.SettingsVersion)
	if w.NewestRevision > max(p.SentRevision, p.SeenRevision) {
		w.GossipPending = true
	}
}
