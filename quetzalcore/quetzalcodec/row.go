package quetzalcodec

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsettings"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// RowError is the error of a stored row that cannot be decoded.
type RowError struct {
	Key    quetzalfleet.RowKey
	Reason string
}

// Error implements error.
func (e *RowError) Error() string {
	return fmt.Sprintf("row %s/%s: %s", e.Key.Table, e.Key.Key, e.Reason)
}

// EncodeRow returns the JSON value of a stored row.
func EncodeRow(row quetzalfleet.StoredRow) (string, error) {
	data, err := json.Marshal(encodeRow(row))
	if err != nil {
		return "", eris.Wrap(err, "encode row")
	}
	return string(data), nil
}

// encodeRow returns the document to store for a row, nil for a row of unknown type.
func encodeRow(row quetzalfleet.StoredRow) any {
	switch v := row.(type) {
	case quetzalfleet.HostRow:
		return EncodeHost(&v.HostSpec)
	case quetzalfleet.PoolRow:
		return quetzalwire.PoolDoc{Pool: string(v.ID), Spare: v.Spare, Budgets: encodeZoneBudgets(v.Budgets)}
	case quetzalfleet.QueueRow:
		return quetzalwire.QueueDoc{Queue: string(v.ID), Pool: string(v.Pool)}
	case quetzalfleet.TeamRow:
		return quetzalwire.TeamDoc{Team: string(v.ID), Weight: int(v.Weight), MaxQueued: int(v.MaxQueued)}
	case quetzalfleet.SettingRow:
		return quetzalwire.SettingDoc{
			Path: string(v.Path), Version: int(v.Version), ChangeID: string(v.ChangeID),
			Deleted: v.Deleted, Values: quetzalsettings.FormatValues(&v.Values),
		}
	case quetzalfleet.SettingsHeadRow:
		return quetzalwire.HeadDoc{Version: int(v.Version)}
	case quetzalfleet.RosterRow:
		return encodeRoster(&v)
	case quetzalfleet.EpochRow:
		return quetzalwire.EpochDoc{Holder: string(v.Holder), Epoch: int(v.Epoch)}
	case quetzalfleet.RenewalRow:
		return quetzalwire.RenewalDoc{Holder: string(v.Holder), Epoch: int(v.Epoch), Count: int(v.Count)}
	case quetzalfleet.WaveRow:
		return EncodeWave(&v.WaveSpec)
	case quetzalfleet.ClaimRow:
		return encodeClaim(&v)
	case quetzalfleet.JobRow:
		return encodeJob(&v.JobSpec)
	case quetzalfleet.ChangeRow:
		return quetzalwire.ChangeDoc{ChangeID: string(v.ID), Subject: v.Subject, Version: int(v.Version), AtMs: int(v.WrittenAt.Milliseconds())}
	}
	return nil
}

// DecodeRow decodes the JSON value of the row with the given key. Every error is a RowError.
func DecodeRow(key quetzalfleet.RowKey, data string) (quetzalfleet.StoredRow, error) {
	row, err := decodeRow(key, []byte(data))
	if err != nil {
		return nil, &RowError{Key: key, Reason: err.Error()}
	}
	return row, nil
}

func decodeRow(key quetzalfleet.RowKey, data []byte) (quetzalfleet.StoredRow, error) {
	switch key.Table {
	case quetzalfleet.TableHosts:
		return decodeJSON(data, decodeHost)
	case quetzalfleet.TablePools:
		return decodeJSON(data, decodePool)
	case quetzalfleet.TableQueues:
		return decodeJSON(data, func(d *quetzalwire.QueueDoc) (quetzalfleet.StoredRow, error) {
			return quetzalfleet.QueueRow{ID: quetzalunit.QueueID(d.Queue), Pool: quetzalunit.PoolID(d.Pool)}, nil
		})
	case quetzalfleet.TableTeams:
		return decodeJSON(data, decodeTeam)
	case quetzalfleet.TableSettings:
		return decodeJSON(data, decodeSetting)
	case quetzalfleet.TableHeads:
		return decodeJSON(data, func(d *quetzalwire.HeadDoc) (quetzalfleet.StoredRow, error) {
			return quetzalfleet.SettingsHeadRow{Version: quetzalunit.Version(d.Version)}, nil
		})
	case quetzalfleet.TableRosters:
		return decodeJSON(data, func(d *quetzalwire.RosterDoc) (quetzalfleet.StoredRow, error) { return decodeRoster(key, d), nil })
	case quetzalfleet.TableEpochs:
		return decodeJSON(data, func(d *quetzalwire.EpochDoc) (quetzalfleet.StoredRow, error) { return decodeEpoch(key, d), nil })
	case quetzalfleet.TableRenewals:
		return decodeJSON(data, func(d *quetzalwire.RenewalDoc) (quetzalfleet.StoredRow, error) { return decodeRenewal(key, d), nil })
	case quetzalfleet.TableWaves:
		return decodeJSON(data, decodeWave)
	case quetzalfleet.TableClaims:
		return decodeJSON(data, decodeClaim)
	case quetzalfleet.TableJobs:
		return decodeJSON(data, decodeJob)
	case quetzalfleet.TableChanges:
		return decodeJSON(data, func(d *quetzalwire.ChangeDoc) (quetzalfleet.StoredRow, error) {
			return quetzalfleet.ChangeRow{
				ID: quetzalunit.ChangeID(d.ChangeID), Subject: d.Subject, Version: quetzalunit.Version(d.Version), WrittenAt: wallTimeFromMs(d.AtMs),
			}, nil
		})
	}
	return nil, eris.New("unknown table")
}

func decodeJSON[D any](data []byte, convert func(*D) (quetzalfleet.StoredRow, error)) (quetzalfleet.StoredRow, error) {
	var doc D
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	return convert(&doc)
}

// wallTimeFromMs converts milliseconds since the Unix epoch.
func wallTimeFromMs(ms int) quetzalunit.WallTime {
	return quetzalunit.WallTime(ms) * quetzalunit.WallTime(time.Millisecond)
}

// EncodeHost returns the document of a host, for its stored row and for replies to operators.
func EncodeHost(h *quetzalfleet.HostSpec) quetzalwire.HostDoc {
	return quetzalwire.HostDoc{
		Host: string(h.ID), Address: string(h.Address), Zone: string(h.Zone), Rack: string(h.Rack),
		Pool: string(h.Pool), State: quetzalwire.HostDocState(h.State.String()), Generation: int(h.Generation),
		NextPool: string(h.NextPool), MoveTo: string(h.RequestedPool), HomePool: string(h.HomePool),
		Wave: string(h.Wave), WaveDone: string(h.LastWave), BootBefore: int(h.BootBefore),
	}
}

func decodeHost(d *quetzalwire.HostDoc) (quetzalfleet.StoredRow, error) {
	state, err := parseState(string(d.State), quetzalfleet.HostServing, quetzalfleet.HostRetired)
	return quetzalfleet.HostRow{HostSpec: quetzalfleet.HostSpec{
		ID: quetzalunit.HostID(d.Host), Address: quetzalunit.Address(d.Address), Zone: quetzalunit.ZoneID(d.Zone),
		Rack: quetzalunit.RackID(d.Rack), Pool: quetzalunit.PoolID(d.Pool), State: state,
		Generation: quetzalunit.Generation(d.Generation), NextPool: quetzalunit.PoolID(d.NextPool),
		RequestedPool: quetzalunit.PoolID(d.MoveTo), HomePool: quetzalunit.PoolID(d.HomePool),
		Wave: quetzalunit.WaveID(d.Wave), LastWave: quetzalunit.WaveID(d.WaveDone), BootBefore: quetzalunit.Boot(d.BootBefore),
	}}, err
}

// stateEnum is an enumeration whose values documents hold by name.
type stateEnum interface {
	~uint8
	String() string
}

// parseState returns the state from first to last that has the given name.
func parseState[S stateEnum](name string, first, last S) (S, error) {
	for s := first; s <= last; s++ {
		if s.String() == name {
			return s, nil
		}
	}
	return first, eris.Errorf("unknown state %q", name)
}

func encodeZoneBudgets(budgets []quetzalfleet.ZoneBudget) []quetzalwire.ZoneBudget {
	docs := make([]quetzalwire.ZoneBudget, 0, len(budgets))
	for _, b := range budgets {
		docs = append(docs, quetzalwire.ZoneBudget{Zone: string(b.Zone), MinHosts: int(b.MinHosts)})
	}
	return docs
}

// DecodeZoneBudgets decodes the availability budgets of a pool.
func DecodeZoneBudgets(docs []quetzalwire.ZoneBudget) []quetzalfleet.ZoneBudget {
	budgets := make([]quetzalfleet.ZoneBudget, 0, len(docs))
	for _, d := range docs {
		budgets = append(budgets, quetzalfleet.ZoneBudget{
			Zone: quetzalunit.ZoneID(d.Zone), MinHosts: quetzalunit.Hosts(d.MinHosts),
		})
	}
	return budgets
}

func decodePool(d *quetzalwire.PoolDoc) (quetzalfleet.StoredRow, error) {
	return quetzalfleet.PoolRow{ID: quetzalunit.PoolID(d.Pool), Spare: d.Spare, Budgets: DecodeZoneBudgets(d.Budgets)}, nil
}

func decodeTeam(d *quetzalwire.TeamDoc) (quetzalfleet.StoredRow, error) {
	return quetzalfleet.TeamRow{
		ID: quetzalunit.TeamID(d.Team), Weight: quetzalunit.Weight(d.Weight), MaxQueued: quetzalunit.Requests(d.MaxQueued),
	}, nil
}

func decodeSetting(d *quetzalwire.SettingDoc) (quetzalfleet.StoredRow, error) {
	values, err := quetzalsettings.ParseValues(&d.Values)
	return quetzalfleet.SettingRow{
		Path: quetzalunit.SettingsPath(d.Path), Version: quetzalunit.Version(d.Version),
		ChangeID: quetzalunit.ChangeID(d.ChangeID), Deleted: d.Deleted, Values: values,
	}, err
}

func encodeRoster(v *quetzalfleet.RosterRow) quetzalwire.RosterDoc {
	d := quetzalwire.RosterDoc{Entries: make([]quetzalwire.RosterEntry, 0, len(v.Entries))}
	for _, e := range v.Entries {
		d.Entries = append(d.Entries, quetzalwire.RosterEntry{
			Entry: string(e.Entry), Incarnation: int(e.Incarnation), PeerAddress: string(e.Address),
		})
	}
	return d
}

func decodeRoster(key quetzalfleet.RowKey, d *quetzalwire.RosterDoc) quetzalfleet.RosterRow {
	v := quetzalfleet.RosterRow{Zone: quetzalunit.ZoneID(key.Key)}
	for _, e := range d.Entries {
		v.Entries = append(v.Entries, quetzalfleet.RosterEntry{
			Entry: quetzalunit.EntryID(e.Entry), Incarnation: quetzalunit.Incarnation(e.Incarnation),
			Address: quetzalunit.Address(e.PeerAddress),
		})
	}
	return v
}

func decodeEpoch(key quetzalfleet.RowKey, d *quetzalwire.EpochDoc) quetzalfleet.EpochRow {
	return quetzalfleet.EpochRow{
		Zone: quetzalunit.ZoneID(key.Key), Holder: quetzalunit.EntryID(d.Holder), Epoch: quetzalunit.Epoch(d.Epoch),
	}
}

func decodeRenewal(key quetzalfleet.RowKey, d *quetzalwire.RenewalDoc) quetzalfleet.RenewalRow {
	return quetzalfleet.RenewalRow{
		Zone: quetzalunit.ZoneID(key.Key), Holder: quetzalunit.EntryID(d.Holder),
		Epoch: quetzalunit.Epoch(d.Epoch), Count: int64(d.Count),
	}
}

// EncodeWave returns the document of a wave, for its stored row and for replies to operators.
func EncodeWave(v *quetzalfleet.WaveSpec) quetzalwire.WaveDoc {
	return quetzalwire.WaveDoc{
		Wave: string(v.ID), State: quetzalwire.WaveDocState(v.State.String()),
		Zones: toStrings(v.Zones), Pools: toStrings(v.Pools), MaxConcurrent: int(v.MaxConcurrent),
	}
}

func decodeWave(d *quetzalwire.WaveDoc) (quetzalfleet.StoredRow, error) {
	state, err := parseState(string(d.State), quetzalfleet.WaveRunning, quetzalfleet.WaveFinished)
	return quetzalfleet.WaveRow{WaveSpec: quetzalfleet.WaveSpec{
		ID: quetzalunit.WaveID(d.Wave), State: state, Zones: FromStrings[quetzalunit.ZoneID](d.Zones),
		Pools: FromStrings[quetzalunit.PoolID](d.Pools), MaxConcurrent: quetzalunit.Hosts(d.MaxConcurrent),
	}}, err
}

func toStrings[S ~string](list []S) []string {
	strs := make([]string, 0, len(list))
	for _, s := range list {
		strs = append(strs, string(s))
	}
	return strs
}

// FromStrings converts strings to identifiers of type S.
func FromStrings[S ~string](list []string) []S {
	ids := make([]S, 0, len(list))
	for _, s := range list {
		ids = append(ids, S(s))
	}
	return ids
}
