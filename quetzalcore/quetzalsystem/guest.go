package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// guestLease is how long a guest, an entry outside the roster, may serve after a
// gossip message to which an entry in the roster replied as its sponsor. It counts
// from the time the guest sent that message.
const guestLease = 3 * time.Second

// seedIDPrefix is the prefix of the placeholder ids given to peers whose address is known
// but not their entry id.
const seedIDPrefix quetzalunit.EntryID = "~"

// mayServe reports whether this entry may send work to minions: it is in the roster,
// or an entry in the roster sponsors it as a guest. A process that has just started waits for all
// rows of the fleet, and for the platform's list, which shows the hosts that have left, unless the
// platform does not answer. One that resumes after a suspension likewise reads the roster again.
func mayServe(w *quetzalfleet.World) bool {
	return w.FleetLoaded && w.HostListTried && !w.RosterOutdated && (inRoster(w) || w.Now < w.GuestUntil)
}

// updateSeedPeers adds the seed addresses from the settings as peers while no other peer
// in the zone is known, and deletes them once one is.
func updateSeedPeers(w *quetzalfleet.World) {
	known := false
	for _, p := range w.Peers.All() {
		known = known || (p.Zone == w.Self.Zone && !isSeed(p))
	}
	for _, address := range w.Self.SeedAddresses {
		id := seedIDPrefix + quetzalunit.EntryID(address)
		row := w.PeerByID.Get(id)
		switch {
		case known && row != 0:
			w.PeerByID.Delete(id)
			w.Peers.Delete(row)
		case !known && row == 0:
			w.PeerByID.Put(id, w.Peers.Insert(quetzalfleet.Peer{
				ID: id, Zone: w.Self.Zone, Address: address, LastHeardAt: w.Now,
			}))
		}
	}
}

// isSeed reports whether a peer is a seed whose entry id is not known.
func isSeed(p *quetzalfleet.Peer) bool {
	return p.ID[0] == seedIDPrefix[0]
}

// sponsorGuest accepts the sender of a gossip message as a guest if it is not in the
// roster. From then on this entry confirms a host only after the guest has. It reports
// whether the guest may serve. The guest must know the zone's hosts at the generations
// known here, because this entry may already have confirmed some of them, and which of them are not
// live, because it cannot read the platform's list.
func sponsorGuest(w *quetzalfleet.World, m *quetzalfleet.Gossip) bool {
	if !m.Guest || m.Zone != w.Self.Zone || m.Stopping || w.Stop != quetzalfleet.StopNone || !inRoster(w) {
		return false
	}
	if processInRoster(zoneRoster(w), m.From, m.Incarnation) {
		// The message was sent before the sender joined.
		return false
	}
	row := w.PeerByID.Get(m.From)
	if row == 0 {
		row = w.Peers.Insert(quetzalfleet.Peer{ID: m.From})
		w.PeerByID.Put(m.From, row)
	}
	p := w.Peers.At(row)
	if p.Incarnation > m.Incarnation {
		return false
	}
	if p.Incarnation != m.Incarnation {
		p.SeenRevision, p.SentRevision, p.Loads = 0, 0, nil
	}
	if p.Incarnation != m.Incarnation || !p.Guest {
		p.LeavingSent, p.LeavingKnown = false, false
		w.GossipPending = true
	}
	p.Guest, p.Zone, p.Address, p.Incarnation, p.LastHeardAt = true, m.Zone, m.Address, m.Incarnation, w.Now
	return p.LeavingKnown && knowsHosts(w, m.KnownHosts)
}

// knownHosts lists the zone's hosts, for the sponsors of a guest to check. An entry in
// the roster lists none.
func knownHosts(w *quetzalfleet.World) []quetzalfleet.HostGeneration {
	if inRoster(w) {
		return nil
	}
	var known []quetzalfleet.HostGeneration
	for _, h := range w.Hosts.All() {
		if h.Zone == w.Self.Zone {
			known = append(known, quetzalfleet.HostGeneration{Host: h.ID, Generation: h.Generation})
		}
	}
	return known
}

// knowsHosts reports whether a guest knows every host in the zone at a generation at
// least as new as the one known here.
func knowsHosts(w *quetzalfleet.World, known []quetzalfleet.HostGeneration) bool {
	generations := make(map[quetzalunit.HostID]quetzalunit.Generation, len(known))
	for _, k := range known {
		generations[k.Host] = k.Generation
	}
	for _, h := range w.Hosts.All() {
		if h.Zone == w.Self.Zone && generations[h.ID] < h.Generation {
			return false
		}
	}
	return true
}

// guestsConfirmed reports whether every guest has confirmed that it runs nothing on a
// host and will send nothing to it. It deletes guests whose own hosts the platform
// lists as gone after they have been silent for guestLease.
func guestsConfirmed(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	for row, p := range w.Peers.All() {
		if !p.Guest {
			continue
		}
		if listedGone(p, guestLease) {
			w.PeerByID.Delete(p.ID)
			w.Peers.Delete(row)
			continue
		}
		c := w.DrainConfirmations.At(w.DrainConfirmationByKey.Get(quetzalfleet.DrainConfirmationKey{Entry: p.ID, Host: h.ID}))
		if c == nil || c.Incarnation != p.Incarnation || c.Generation != h.Generation {
			return false
		}
	}
	return true
}
