package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// guestLease is how long an entry that is not in the roster serves on the word of
// one that is, counted from the message that asked.
const guestLease = 3 * time.Second

// seedMark begins the names of peers of which only the address is known.
const seedMark quetzalunit.EntryID = "~"

// mayServe tells whether this entry may send work to minions: it is in the roster,
// or a guest of an entry that is.
func mayServe(w *quetzalfleet.World) bool {
	return inRoster(w) || w.Now < w.GuestUntil
}

// meetSeeds gives an entry that knows no peer the seeds of its settings, and drops
// them once it knows one.
func meetSeeds(w *quetzalfleet.World) {
	known := false
	for _, p := range w.Peers.All() {
		known = known || (p.Zone == w.Self.Zone && !isSeed(p))
	}
	for _, address := range w.Self.Seeds {
		id := seedMark + quetzalunit.EntryID(address)
		row := w.PeerByID.Get(id)
		switch {
		case known && row != 0:
			w.PeerByID.Delete(id)
			w.Peers.Delete(row)
		case !known && row == 0:
			w.PeerByID.Put(id, w.Peers.Insert(quetzalfleet.Peer{
				ID: id, Zone: w.Self.Zone, Address: address, HeardAt: w.Now,
			}))
		}
	}
}

func isSeed(p *quetzalfleet.Peer) bool {
	return p.ID[0] == seedMark[0]
}

// sponsor takes an entry that is not in the roster as a guest: from then on this
// entry confirms a host only when the guest has. It tells whether the guest may
// serve, which it may once it knows every host that this entry has confirmed before.
func sponsor(w *quetzalfleet.World, m *quetzalfleet.Gossip) bool {
	if !m.Guest || m.Zone != w.Self.Zone || m.Stopping || w.Stop != quetzalfleet.StopNone || !inRoster(w) {
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
		p.Seen, p.Told, p.Loads = 0, 0, nil
	}
	p.Guest, p.Zone, p.Address, p.Incarnation, p.HeardAt = true, m.Zone, m.Address, m.Incarnation, w.Now
	return knowsHosts(w, m.Known)
}

// knownHosts lists the zone's hosts for the sponsors of a guest; an entry of the
// roster lists none.
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

// knowsHosts tells whether a guest knows every host of the zone at least at the
// generation that this entry does.
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

// guestsConfirmed tells whether every guest has confirmed that it runs nothing on
// a host and will send nothing.
func guestsConfirmed(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	for row, p := range w.Peers.All() {
		if !p.Guest {
			continue
		}
		if p.Listed == quetzalfleet.ListedGone && w.Now.Sub(p.HeardAt) > guestLease {
			w.PeerByID.Delete(p.ID)
			w.Peers.Delete(row)
			continue
		}
		c := w.Confirmed.At(w.ConfirmedBy.Get(quetzalfleet.ConfirmationKey{Entry: p.ID, Host: h.ID}))
		if c == nil || c.Incarnation != p.Incarnation || c.Generation != h.Generation {
			return false
		}
	}
	return true
}
