package quetzalsystem

import (
	"strings"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// FleetPath is the root of the settings tree.
const FleetPath quetzalunit.SettingsPath = "Fleet"

// settingsOf returns the effective settings of a pool in this entry's zone, from the
// cache if possible.
func settingsOf(w *quetzalfleet.World, pool quetzalfleet.Row) quetzalfleet.Settings {
	var id quetzalunit.PoolID
	if p := w.Pools.At(pool); p != nil {
		id = p.ID
	}
	if s, ok := w.SettingsCache[id]; ok {
		return s
	}
	s := effectiveSettings(w, poolPath(w.Self.Zone, id))
	if w.SettingsCache == nil {
		w.SettingsCache = make(map[quetzalunit.PoolID]quetzalfleet.Settings)
	}
	w.SettingsCache[id] = s
	return s
}

// poolPath returns the path of the settings node of a pool in a zone.
func poolPath(zone quetzalunit.ZoneID, pool quetzalunit.PoolID) quetzalunit.SettingsPath {
	return FleetPath + "/" + quetzalunit.SettingsPath(zone) + "/" + quetzalunit.SettingsPath(pool)
}

// ancestors returns the paths of the nodes from the root down to a path, the path itself
// included.
func ancestors(path quetzalunit.SettingsPath) []quetzalunit.SettingsPath {
	parts := strings.Split(string(path), "/")
	nodes := make([]quetzalunit.SettingsPath, 0, len(parts))
	for i := range parts {
		nodes = append(nodes, quetzalunit.SettingsPath(strings.Join(parts[:i+1], "/")))
	}
	return nodes
}

// effectiveSettings returns the effective settings at a path: the defaults, overridden by
// each node from the root down.
func effectiveSettings(w *quetzalfleet.World, path quetzalunit.SettingsPath) quetzalfleet.Settings {
	s := quetzalfleet.DefaultSettings()
	for _, node := range ancestors(path) {
		if n := settingNodeAt(w, node); n != nil {
			s = s.Override(&n.Values)
		}
	}
	return s
}

// settingNodeAt returns a node of the settings tree, or nil if it does not exist or is
// deleted.
func settingNodeAt(w *quetzalfleet.World, path quetzalunit.SettingsPath) *quetzalfleet.SettingNode {
	n := w.SettingNodes.At(w.SettingNodeByPath.Get(path))
	if n == nil || n.Deleted {
		return nil
	}
	return n
}
