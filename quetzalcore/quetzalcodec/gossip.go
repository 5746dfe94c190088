package quetzalcodec

import (
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// EncodeGossip returns the wire form of a gossip message.
func EncodeGossip(m *quetzalfleet.Gossip) (*quetzalwire.GossipMessage, error) {
	d := &quetzalwire.GossipMessage{
		From: string(m.From), Incarnation: int(m.Incarnation), Zone: string(m.Zone),
		Address: string(m.Address), Guest: m.Guest, Stopping: m.Stopping,
		Since: int(m.SinceRevision), Seen: int(m.SeenRevision), SettingsVersion: int(m.SettingsVersion),
		Confirmed: encodeGenerations(m.DrainedHosts), Leaving: encodeGenerations(m.LeavingHosts),
		Known: encodeGenerations(m.KnownHosts),
	}
	d.LongTeams = toStrings(m.LongTeams)
	for _, l := range m.Loads {
		d.Loads = append(d.Loads, quetzalwire.PoolLoad{Pool: string(l.Pool), Queued: int(l.Queued), Running: int(l.Running)})
	}
	for _, row := range m.Rows {
		value, err := EncodeRow(row.Row)
		if err != nil {
			return nil, err
		}
		d.Rows = append(d.Rows, quetzalwire.Row{
			Table: string(row.Key.Table), Key: row.Key.Key, Value: value, Revision: int(row.Revision),
		})
	}
	return d, nil
}

// DecodeGossip decodes a gossip message. It fails when a row cannot be decoded.
func DecodeGossip(d *quetzalwire.GossipMessage) (quetzalfleet.Gossip, error) {
	m := quetzalfleet.Gossip{
		From: quetzalunit.EntryID(d.From), Incarnation: quetzalunit.Incarnation(d.Incarnation),
		Zone: quetzalunit.ZoneID(d.Zone), Address: quetzalunit.Address(d.Address), Guest: d.Guest, Stopping: d.Stopping,
		SinceRevision: quetzalunit.Revision(d.Since), SeenRevision: quetzalunit.Revision(d.Seen),
		SettingsVersion: quetzalunit.Version(d.SettingsVersion),
		DrainedHosts:    decodeGenerations(d.Confirmed), LeavingHosts: decodeGenerations(d.Leaving),
		KnownHosts: decodeGenerations(d.Known),
	}
	m.LongTeams = FromStrings[quetzalunit.TeamID](d.LongTeams)
	for _, l := range d.Loads {
		m.Loads = append(m.Loads, quetzalfleet.PoolLoad{
			Pool: quetzalunit.PoolID(l.Pool), Queued: quetzalunit.Requests(l.Queued), Running: quetzalunit.Requests(l.Running),
		})
	}
	rows, err := DecodeRows(d.Rows)
	m.Rows = rows
	return m, err
}

// DecodeRows decodes stored rows and stops at the first that cannot be decoded.
func DecodeRows(docs []quetzalwire.Row) ([]quetzalfleet.RowAtRevision, error) {
	rows := make([]quetzalfleet.RowAtRevision, 0, len(docs))
	for _, d := range docs {
		key := quetzalfleet.RowKey{Table: quetzalfleet.TableName(d.Table), Key: d.Key}
		row, err := DecodeRow(key, d.Value)
		if err != nil {
			return rows, err
		}
		rows = append(rows, quetzalfleet.RowAtRevision{Key: key, Revision: quetzalunit.Revision(d.Revision), Row: row})
	}
	return rows, nil
}

func encodeGenerations(list []quetzalfleet.HostGeneration) []quetzalwire.HostGeneration {
	var docs []quetzalwire.HostGeneration
	for _, g := range list {
		docs = append(docs, quetzalwire.HostGeneration{Host: string(g.Host), Generation: int(g.Generation)})
	}
	return docs
}

func decodeGenerations(docs []quetzalwire.HostGeneration) []quetzalfleet.HostGeneration {
	var list []quetzalfleet.HostGeneration
	for _, d := range docs {
		list = append(list, quetzalfleet.HostGeneration{
			Host: quetzalunit.HostID(d.Host), Generation: quetzalunit.Generation(d.Generation),
		})
	}
	return list
}
