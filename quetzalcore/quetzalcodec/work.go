package quetzalcodec

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Bits of WorkStepDoc.Flags. The values are stored.
const (
	flagGang = 1 << iota
	flagSameRack
	flagCheckpointing
	flagSpeculative
	flagLongRunning
	flagBestEffort
)

// FieldError is the error of a document field with an invalid value. Problem is the value itself
// or what is wrong with it.
type FieldError struct{ Field, Problem string }

// Error implements error.
func (e *FieldError) Error() string {
	return "field " + e.Field + ": invalid value: " + e.Problem
}

// EncodeJobContent returns the JSON of one of a job's stored rows: the job, its cancellation,
// which names the entry, or its progress.
func EncodeJobContent(c quetzalwork.JobContent, entry quetzalunit.EntryID) ([]byte, error) {
	var doc any
	switch c := c.(type) {
	case quetzalwork.AcceptedJob:
		doc = encodeAcceptedJob(&c)
	case quetzalwork.JobCancellation:
		doc = quetzalwire.WorkCancelDoc{Entry: string(entry)}
	case quetzalwork.JobProgress:
		doc = encodeProgress(&c.Progress)
	}
	data, err := json.Marshal(doc)
	return data, eris.Wrap(err, "encode job row")
}

// DecodeAcceptedJob decodes the row of an accepted job. Spec is nil when the row has no steps.
func DecodeAcceptedJob(data []byte) (quetzalwork.AcceptedJob, error) {
	var d quetzalwire.WorkJobDoc
	if err := json.Unmarshal(data, &d); err != nil {
		return quetzalwork.AcceptedJob{}, eris.Wrap(err, "decode job")
	}
	return decodeAcceptedJob(&d), nil
}

// EncodeJobIndexEntry returns the JSON of a job's entry in the job index, without the ID.
func EncodeJobIndexEntry(e *quetzalwork.JobIndexEntry) ([]byte, error) {
	d := quetzalwire.WorkIndexDoc{Pool: string(e.Pool)}
	if e.Cancelled {
		d.Cancelled = &e.Cancelled
	}
	data, err := json.Marshal(d)
	return data, eris.Wrap(err, "encode job index entry")
}

// DecodeJobIndexEntry decodes the entry of a job in the job index.
func DecodeJobIndexEntry(id quetzalunit.JobID, revision quetzalunit.Revision, data []byte) (quetzalwork.JobIndexEntry, error) {
	var d quetzalwire.WorkIndexDoc
	if err := json.Unmarshal(data, &d); err != nil {
		return quetzalwork.JobIndexEntry{}, eris.Wrap(err, "decode job index entry")
	}
	return quetzalwork.JobIndexEntry{Job: id, Pool: quetzalunit.PoolID(d.Pool), Cancelled: d.Cancelled != nil && *d.Cancelled, Revision: revision}, nil
}

func encodeAcceptedJob(a *quetzalwork.AcceptedJob) quetzalwire.WorkJobDoc {
	d := quetzalwire.WorkJobDoc{Queue: string(a.Queue), Duty: int(a.DutyRevision)}
	if account := string(a.Account); account != "" {
		d.Account = &account
	}
	if a.Spec == nil {
		return d
	}
	d.Text, d.Repeats = a.Spec.Payload, int(a.Spec.Occurrences)
	d.FirstAtMs, d.IntervalMs = int(a.Spec.FirstAt.Milliseconds()), int(a.Spec.Interval.Milliseconds())
	for i := range a.Spec.Steps {
		d.Steps = append(d.Steps, encodeStep(&a.Spec.Steps[i]))
	}
	return d
}

func encodeStep(s *quetzalwork.StepSpec) quetzalwire.WorkStepDoc {
	d := quetzalwire.WorkStepDoc{
		Count: int(s.TaskCount), MilliCores: int(s.Resources.Cores), MemoryMB: int(s.Resources.Memory),
		Accelerators: int(s.Resources.Accelerators), EstimateMs: int(s.Estimate.Milliseconds()),
		Label: string(s.RequiredLabel), DataRack: string(s.DataRack), MaxPerMinion: int(s.MaxPerMinion), MayMiss: int(s.MaxUnavailable),
		Image: string(s.Image), TailTargetMs: int(s.TailLatencyTarget.Milliseconds()),
	}
	for _, dependency := range s.DependsOn {
		d.After = append(d.After, int(dependency))
	}
	for flag, set := range map[int]bool{
		flagGang: s.Gang, flagSameRack: s.SameRack, flagCheckpointing: s.Checkpointing, flagSpeculative: s.Speculative,
		flagLongRunning: s.LongRunning, flagBestEffort: s.BestEffort,
	} {
		if set {
			d.Flags |= flag
		}
	}
	return d
}

func decodeAcceptedJob(d *quetzalwire.WorkJobDoc) quetzalwork.AcceptedJob {
	a := quetzalwork.AcceptedJob{Queue: quetzalunit.QueueID(d.Queue), DutyRevision: quetzalunit.Revision(d.Duty)}
	if d.Account != nil {
		a.Account = quetzalunit.AccountID(*d.Account)
	}
	if len(d.Steps) == 0 {
		return a
	}
	a.Spec = &quetzalwork.JobSpec{
		Payload: d.Text, Occurrences: quetzalunit.Occurrence(d.Repeats), FirstAt: quetzalunit.Instant(wallTimeFromMs(d.FirstAtMs)), Interval: durationFromMs(d.IntervalMs),
	}
	for i := range d.Steps {
		a.Spec.Steps = append(a.Spec.Steps, decodeStep(&d.Steps[i]))
	}
	return a
}

func decodeStep(d *quetzalwire.WorkStepDoc) quetzalwork.StepSpec {
	s := quetzalwork.StepSpec{
		TaskCount: quetzalunit.Tasks(d.Count),
		Resources: quetzalunit.Resources{
			Cores: quetzalunit.MilliCores(d.MilliCores), Memory: quetzalunit.Megabytes(d.MemoryMB),
			Accelerators: quetzalunit.Accelerators(d.Accelerators),
		},
		Estimate: durationFromMs(d.EstimateMs), Gang: d.Flags&flagGang != 0, SameRack: d.Flags&flagSameRack != 0,
		RequiredLabel: quetzalunit.Label(d.Label), DataRack: quetzalunit.RackID(d.DataRack),
		MaxPerMinion: quetzalunit.Tasks(d.MaxPerMinion), Checkpointing: d.Flags&flagCheckpointing != 0,
		Speculative: d.Flags&flagSpeculative != 0, LongRunning: d.Flags&flagLongRunning != 0, MaxUnavailable: quetzalunit.Tasks(d.MayMiss),
		Image: quetzalunit.ImageID(d.Image), TailLatencyTarget: durationFromMs(d.TailTargetMs), BestEffort: d.Flags&flagBestEffort != 0,
	}
	for _, dependency := range d.After {
		s.DependsOn = append(s.DependsOn, quetzalunit.StepIndex(dependency))
	}
	return s
}

func durationFromMs(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// EncodeMember returns the JSON of an entry's membership row.
func EncodeMember(m *quetzalwork.Member) ([]byte, error) {
	data, err := json.Marshal(quetzalwire.MemberDoc{
		Entry: string(m.Entry), Incarnation: int(m.Incarnation), Address: string(m.Address), Zone: string(m.Zone),
		Beat: int(m.Heartbeat), Stopping: m.Stopping, SharePercent: int(m.CPUShare),
	})
	return data, eris.Wrap(err, "encode member")
}

// DecodeMember decodes an entry's membership row.
func DecodeMember(data []byte) (quetzalwork.Member, error) {
	var d quetzalwire.MemberDoc
	err := json.Unmarshal(data, &d)
	return quetzalwork.Member{
		Entry: quetzalunit.EntryID(d.Entry), Incarnation: quetzalunit.Incarnation(d.Incarnation),
		Address: quetzalunit.Address(d.Address), Zone: quetzalunit.ZoneID(d.Zone), Heartbeat: quetzalunit.Heartbeat(d.Beat), Stopping: d.Stopping,
		CPUShare: quetzalunit.Percent(d.SharePercent),
	}, eris.Wrap(err, "decode member")
}

// EncodeHostLease returns the JSON of the row of the host controller's lease, which names the entry that
// renewed it.
func EncodeHostLease(entry quetzalunit.EntryID) ([]byte, error) {
	data, err := json.Marshal(quetzalwire.HostLeaseDoc{Entry: string(entry)})
	return data, eris.Wrap(err, "encode host lease")
}

// EncodeWaveHosts returns the JSON of the hosts of a wave whose maintenance order was accepted.
func EncodeWaveHosts(done []quetzalunit.HostID) ([]byte, error) {
	data, err := json.Marshal(quetzalwire.WaveHostsDoc{Done: toStrings(done)})
	return data, eris.Wrap(err, "encode wave hosts")
}

// DecodeWaveHosts decodes the hosts of a wave whose maintenance order was accepted.
func DecodeWaveHosts(data []byte) ([]quetzalunit.HostID, error) {
	var d quetzalwire.WaveHostsDoc
	err := json.Unmarshal(data, &d)
	return FromStrings[quetzalunit.HostID](d.Done), eris.Wrap(err, "decode wave hosts")
}

// EncodeDuty returns the JSON of the row that names the holder of a duty.
func EncodeDuty(d *quetzalwork.Duty) ([]byte, error) {
	data, err := json.Marshal(encodeDuty(d))
	return data, eris.Wrap(err, "encode duty")
}

func encodeDuty(d *quetzalwork.Duty) quetzalwire.PoolDutyDoc {
	return quetzalwire.PoolDutyDoc{
		Holder: string(d.Holder), Incarnation: int(d.Incarnation), Address: string(d.Address), Ordered: toStrings(d.OrderedHosts),
		EarlierLeasesMs: int(d.EarlierLeases.Milliseconds()), Leases: encodeReleasedLeases(d.Leases),
	}
}

func encodeReleasedLeases(l *quetzalwork.ReleasedLeases) *quetzalwire.ReleasedLeasesDoc {
	if l == nil {
		return nil
	}
	d := &quetzalwire.ReleasedLeasesDoc{
		AtMs: int(l.At), ListRevision: int(l.ListRevision), ListedMs: int(l.Listed.Milliseconds()), UnknownMs: int(l.Unknown.Milliseconds()), Minions: []quetzalwire.MinionLeaseDoc{},
	}
	for _, m := range l.Minions {
		d.Minions = append(d.Minions, quetzalwire.MinionLeaseDoc{Minion: string(m.Minion), LeftMs: int(m.Left.Milliseconds())})
	}
	for _, s := range l.LateStarts {
		d.LateStarts = append(d.LateStarts, quetzalwire.LateStartDoc{
			Minion: string(s.Minion), Job: string(s.Task.Job), Occurrence: int(s.Task.Occurrence), Step: int(s.Task.Step), Task: int(s.Task.Task),
			Run: int(s.Number), LeftMs: int(s.Left.Milliseconds()),
		})
	}
	if ms := int(l.UnnamedStarts.Milliseconds()); ms > 0 {
		d.UnnamedStartsMs = &ms
	}
	return d
}

func decodeReleasedLeases(d *quetzalwire.ReleasedLeasesDoc) *quetzalwork.ReleasedLeases {
	if d == nil {
		return nil
	}
	l := &quetzalwork.ReleasedLeases{
		At: quetzalunit.StoreTime(d.AtMs), ListRevision: quetzalunit.Revision(d.ListRevision), Listed: durationFromMs(d.ListedMs), Unknown: durationFromMs(d.UnknownMs),
	}
	for _, m := range d.Minions {
		l.Minions = append(l.Minions, quetzalwork.MinionLease{Minion: quetzalunit.MinionID(m.Minion), Left: durationFromMs(m.LeftMs)})
	}
	for i := range d.LateStarts {
		s := &d.LateStarts[i]
		l.LateStarts = append(l.LateStarts, quetzalwork.LateStart{
			Minion: quetzalunit.MinionID(s.Minion), Number: quetzalunit.RunNumber(s.Run), Left: durationFromMs(s.LeftMs),
			Task: quetzalwork.TaskID{Job: quetzalunit.JobID(s.Job), TaskRef: decodeTaskRef([]int{s.Occurrence, s.Step, s.Task})},
		})
	}
	if d.UnnamedStartsMs != nil {
		l.UnnamedStarts = durationFromMs(*d.UnnamedStartsMs)
	}
	return l
}

// DecodeDuty decodes the row that names the holder of a duty. The revision is that of the row.
func DecodeDuty(data []byte, revision quetzalunit.Revision) (quetzalwork.Duty, error) {
	var d quetzalwire.PoolDutyDoc
	err := json.Unmarshal(data, &d)
	return decodeDuty(&d, revision), eris.Wrap(err, "decode duty")
}

// EncodeDutySettled returns the JSON of the row that names the revision of a duty's row for which the
// leases of earlier dispatchers have ended.
func EncodeDutySettled(revision quetzalunit.Revision) ([]byte, error) {
	data, err := json.Marshal(quetzalwire.DutySettledDoc{Revision: int(revision)})
	return data, eris.Wrap(err, "encode settled duty")
}

// DecodeDutySettled decodes the row that names such a revision.
func DecodeDutySettled(data []byte) (quetzalunit.Revision, error) {
	var d quetzalwire.DutySettledDoc
	err := json.Unmarshal(data, &d)
	return quetzalunit.Revision(d.Revision), eris.Wrap(err, "decode settled duty")
}

func decodeDuty(d *quetzalwire.PoolDutyDoc, revision quetzalunit.Revision) quetzalwork.Duty {
	return quetzalwork.Duty{
		Holder: quetzalunit.EntryID(d.Holder), Incarnation: quetzalunit.Incarnation(d.Incarnation),
		Address: quetzalunit.Address(d.Address), Revision: revision, OrderedHosts: FromStrings[quetzalunit.HostID](d.Ordered),
		EarlierLeases: durationFromMs(d.EarlierLeasesMs), Leases: decodeReleasedLeases(d.Leases),
	}
}
