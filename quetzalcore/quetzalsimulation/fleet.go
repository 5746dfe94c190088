package quetzalsimulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// PoolSpec describes a pool and its queue, which has the same name.
type PoolSpec struct {
	ID quetzalunit.PoolID
	// Spare is set for a pool that lends its hosts to other pools.
	Spare bool
	// HostsPerZone is the number of the pool's hosts in each of its zones.
	HostsPerZone quetzalunit.Hosts
	// Zones are the zones in which the pool has hosts; empty means every zone.
	Zones []quetzalunit.ZoneID
	// MinHosts is the pool's availability budget in each of its zones.
	MinHosts quetzalunit.Hosts
}

// Count is a number of entries in a zone or of hosts in a rack.
type Count int

// FleetSpec describes the fleet of a simulation.
type FleetSpec struct {
	Zones          []quetzalunit.ZoneID
	EntriesPerZone Count
	Pools          []PoolSpec
	Teams          []quetzalunit.TeamID
	// HostsPerRack is the number of consecutive hosts of a zone that share a rack; zero
	// counts as one.
	HostsPerRack Count
	// Settings are set on the root of the settings tree.
	Settings quetzalfleet.SettingValues
}

// settleTime is long enough for entries to join their rosters, and for changes to reach
// every entry.
const settleTime = 6 * time.Second

// EntryID returns the name of the entry with index n in a zone.
func EntryID(zone quetzalunit.ZoneID, n int) quetzalunit.EntryID {
	return quetzalunit.EntryID(fmt.Sprintf("%s-entry%d", zone, n))
}

// BuildFleet starts the entries and minions, and creates settings, pools, queues, teams and
// hosts through the first entry. It returns an error if a change is not accepted.
func (sim *Simulation) BuildFleet(s *FleetSpec) error {
	for _, z := range s.Zones {
		for n := range int(s.EntriesPerZone) {
			sim.AddEntry(EntryID(z, n), z)
		}
	}
	sim.Advance(settleTime)
	first := EntryID(s.Zones[0], 0)
	var callers []quetzalunit.CallerID
	for _, a := range sim.fleetActions(s) {
		callers = append(callers, sim.SendOperatorAction(first, a))
		sim.Advance(2 * PlatformLatency)
	}
	sim.Advance(settleTime)
	for _, c := range callers {
		if _, ok := sim.OperatorResult(c).(quetzalfleet.ChangeAccepted); !ok {
			return eris.Errorf("change was not accepted: %#v", sim.OperatorResult(c))
		}
	}
	return nil
}

// fleetActions returns the changes that create a fleet, and adds its minions.
func (sim *Simulation) fleetActions(s *FleetSpec) []quetzalfleet.OperatorAction {
	var list []quetzalfleet.OperatorAction
	id := func() quetzalunit.ChangeID { return quetzalunit.ChangeID(fmt.Sprintf("build-%d", len(list))) }
	list = append(list, quetzalfleet.ChangeSetting{ID: id(), Path: "Fleet", Values: s.Settings})
	for _, p := range s.Pools {
		row := quetzalfleet.PoolRow{ID: p.ID, Spare: p.Spare}
		for _, z := range s.Zones {
			if len(p.Zones) > 0 && !slices.Contains(p.Zones, z) {
				continue
			}
			row.Budgets = append(row.Budgets, quetzalfleet.ZoneBudget{Zone: z, MinHosts: p.MinHosts})
		}
		list = append(list, quetzalfleet.ChangePool{ID: id(), Pool: row})
		list = append(list, quetzalfleet.ChangeQueue{ID: id(), Queue: quetzalfleet.QueueRow{ID: quetzalunit.QueueID(p.ID), Pool: p.ID}})
	}
	for _, team := range s.Teams {
		list = append(list, quetzalfleet.ChangeTeam{ID: id(), Team: quetzalfleet.TeamRow{ID: team, Weight: 1}})
	}
	for _, z := range s.Zones {
		n := 0
		for _, p := range s.Pools {
			if len(p.Zones) > 0 && !slices.Contains(p.Zones, z) {
				continue
			}
			for range int(p.HostsPerZone) {
				host := quetzalunit.HostID(fmt.Sprintf("%s-host%d", z, n))
				rack := quetzalunit.RackID(fmt.Sprintf("%s-rack%d", z, n/max(1, int(s.HostsPerRack))))
				sim.AddMinion(host)
				list = append(list, quetzalfleet.RegisterHost{ID: id(), Host: quetzalfleet.HostSpec{
					ID: host, Address: quetzalunit.Address(host), Zone: z, Rack: rack, Pool: p.ID,
				}})
				n++
			}
		}
	}
	return list
}
