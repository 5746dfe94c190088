package quetzalcodec

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Flags of a stored step.
const (
	flagGang = 1 << iota
	flagSameRack
	flagCheckpoints
	flagSpeculative
	flagLasting
	flagFills
)

// FormatError tells that a field of a document has a value that cannot be used.
type FormatError struct{ Field, Value string }

// Error implements error.
func (e *FormatError) Error() string {
	return "field " + e.Field + ": cannot use " + e.Value
}

// refLength is the number of integers that name a task: occurrence, step and task.
const refLength = 3

// EncodeJobContent returns the JSON of a stored row of a job.
func EncodeJobContent(c quetzalwork.JobContent, entry quetzalunit.EntryID) ([]byte, error) {
	var doc any
	switch c := c.(type) {
	case quetzalwork.AcceptedJob:
		doc = workJobDoc(&c)
	case quetzalwork.JobCancellation:
		doc = quetzalwire.WorkCancelDoc{Entry: string(entry)}
	case quetzalwork.JobProgress:
		doc = progressDoc(&c.Progress)
	}
	text, err := json.Marshal(doc)
	return text, eris.Wrap(err, "encode row of a job")
}

// DecodeAcceptedJob reads the row of a job.
func DecodeAcceptedJob(text []byte) (quetzalwork.AcceptedJob, error) {
	var d quetzalwire.WorkJobDoc
	if err := json.Unmarshal(text, &d); err != nil {
		return quetzalwork.AcceptedJob{}, eris.Wrap(err, "decode job")
	}
	return acceptedJob(&d), nil
}

// DecodeProgress reads the row of a job's progress.
func DecodeProgress(text []byte) (quetzalwork.JobProgress, error) {
	var d quetzalwire.WorkProgressDoc
	if err := json.Unmarshal(text, &d); err != nil {
		return quetzalwork.JobProgress{}, eris.Wrap(err, "decode progress")
	}
	p := quetzalwork.Progress{State: quetzalwork.JobRunning}
	switch d.State {
	case quetzalwire.WorkProgressDocStateCompleted:
		p.State = quetzalwork.JobCompleted
	case quetzalwire.WorkProgressDocStateFailed:
		p.State = quetzalwork.JobFailed
	case quetzalwire.WorkProgressDocStateRunning:
	}
	for _, n := range d.Done {
		if len(n) != refLength {
			return quetzalwork.JobProgress{}, &FormatError{Field: "Done", Value: "row of the wrong length"}
		}
		p.Done = append(p.Done, taskRef(n))
	}
	for _, n := range d.Failures {
		if len(n) != refLength+1 {
			return quetzalwork.JobProgress{}, &FormatError{Field: "Failures", Value: "row of the wrong length"}
		}
		p.Failures = append(p.Failures, quetzalwork.TaskFailure{TaskRef: taskRef(n), Run: quetzalunit.RunNumber(n[refLength])})
	}
	return quetzalwork.JobProgress{Progress: p}, nil
}

func taskRef(n []int) quetzalwork.TaskRef {
	return quetzalwork.TaskRef{
		Occurrence: quetzalunit.Occurrence(n[0]), Step: quetzalunit.StepIndex(n[1]), Task: quetzalunit.TaskIndex(n[2]),
	}
}

func refNumbers(r quetzalwork.TaskRef) []int {
	return []int{int(r.Occurrence), int(r.Step), int(r.Task)}
}

func progressDoc(p *quetzalwork.Progress) quetzalwire.WorkProgressDoc {
	d := quetzalwire.WorkProgressDoc{State: quetzalwire.WorkProgressDocStateRunning}
	switch p.State {
	case quetzalwork.JobCompleted:
		d.State = quetzalwire.WorkProgressDocStateCompleted
	case quetzalwork.JobFailed:
		d.State = quetzalwire.WorkProgressDocStateFailed
	case quetzalwork.JobQueued, quetzalwork.JobRunning, quetzalwork.JobCancelled:
	}
	for _, r := range p.Done {
		d.Done = append(d.Done, refNumbers(r))
	}
	for _, f := range p.Failures {
		d.Failures = append(d.Failures, append(refNumbers(f.TaskRef), int(f.Run)))
	}
	return d
}

func workJobDoc(a *quetzalwork.AcceptedJob) quetzalwire.WorkJobDoc {
	d := quetzalwire.WorkJobDoc{Queue: string(a.Queue), Duty: int(a.Duty)}
	if a.Spec == nil {
		return d
	}
	d.Text, d.Repeats = a.Spec.Text, int(a.Spec.Repeats)
	d.FirstAtMs, d.IntervalMs = int(a.Spec.FirstAt.Milliseconds()), int(a.Spec.Interval.Milliseconds())
	for i := range a.Spec.Steps {
		d.Steps = append(d.Steps, workStepDoc(&a.Spec.Steps[i]))
	}
	return d
}

func workStepDoc(s *quetzalwork.StepSpec) quetzalwire.WorkStepDoc {
	d := quetzalwire.WorkStepDoc{
		Count: int(s.Count), MilliCores: int(s.Needs.Cores), MemoryMB: int(s.Needs.Memory),
		Accelerators: int(s.Needs.Accelerators), EstimateMs: int(s.Estimate.Milliseconds()),
		Label: string(s.Label), DataRack: string(s.DataRack), MaxPerMinion: int(s.MaxPerMinion), MayMiss: int(s.MayMiss),
		Image: string(s.Image), TailTargetMs: int(s.TailTarget.Milliseconds()),
	}
	for _, before := range s.After {
		d.After = append(d.After, int(before))
	}
	for flag, set := range map[int]bool{
		flagGang: s.Gang, flagSameRack: s.SameRack, flagCheckpoints: s.Checkpoints, flagSpeculative: s.Speculative,
		flagLasting: s.Lasting, flagFills: s.Fills,
	} {
		if set {
			d.Flags |= flag
		}
	}
	return d
}

func acceptedJob(d *quetzalwire.WorkJobDoc) quetzalwork.AcceptedJob {
	a := quetzalwork.AcceptedJob{Queue: quetzalunit.QueueID(d.Queue), Duty: quetzalunit.Revision(d.Duty)}
	if len(d.Steps) == 0 {
		return a
	}
	a.Spec = &quetzalwork.JobSpec{
		Text: d.Text, Repeats: quetzalunit.Occurrence(d.Repeats), FirstAt: instant(d.FirstAtMs), Interval: span(d.IntervalMs),
	}
	for i := range d.Steps {
		a.Spec.Steps = append(a.Spec.Steps, stepSpec(&d.Steps[i]))
	}
	return a
}

func stepSpec(d *quetzalwire.WorkStepDoc) quetzalwork.StepSpec {
	s := quetzalwork.StepSpec{
		Count: quetzalunit.Tasks(d.Count),
		Needs: quetzalunit.Resources{
			Cores: quetzalunit.MilliCores(d.MilliCores), Memory: quetzalunit.Megabytes(d.MemoryMB),
			Accelerators: quetzalunit.Accelerators(d.Accelerators),
		},
		Estimate: span(d.EstimateMs), Gang: d.Flags&flagGang != 0, SameRack: d.Flags&flagSameRack != 0,
		Label: quetzalunit.Label(d.Label), DataRack: quetzalunit.RackID(d.DataRack),
		MaxPerMinion: quetzalunit.Tasks(d.MaxPerMinion), Checkpoints: d.Flags&flagCheckpoints != 0,
		Speculative: d.Flags&flagSpeculative != 0, Lasting: d.Flags&flagLasting != 0, MayMiss: quetzalunit.Tasks(d.MayMiss),
		Image: quetzalunit.ImageID(d.Image), TailTarget: span(d.TailTargetMs), Fills: d.Flags&flagFills != 0,
	}
	for _, before := range d.After {
		s.After = append(s.After, quetzalunit.StepIndex(before))
	}
	return s
}

func span(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// EncodeMember returns the JSON of an entry's row.
func EncodeMember(m *quetzalwork.Member) ([]byte, error) {
	text, err := json.Marshal(quetzalwire.MemberDoc{
		Entry: string(m.Entry), Incarnation: int(m.Incarnation), Address: string(m.Address), Zone: string(m.Zone),
		Beat: int(m.Beat), Stopping: m.Stopping, SharePercent: int(m.Share),
	})
	return text, eris.Wrap(err, "encode member")
}

// DecodeMember reads an entry's row.
func DecodeMember(text []byte) (quetzalwork.Member, error) {
	var d quetzalwire.MemberDoc
	err := json.Unmarshal(text, &d)
	return quetzalwork.Member{
		Entry: quetzalunit.EntryID(d.Entry), Incarnation: quetzalunit.Incarnation(d.Incarnation),
		Address: quetzalunit.Address(d.Address), Zone: quetzalunit.ZoneID(d.Zone), Beat: quetzalunit.Beat(d.Beat), Stopping: d.Stopping,
		Share: quetzalunit.Percent(d.SharePercent),
	}, eris.Wrap(err, "decode member")
}

// EncodeWaveHosts returns the JSON of the hosts of a wave that have had their maintenance.
func EncodeWaveHosts(done []quetzalunit.HostID) ([]byte, error) {
	text, err := json.Marshal(quetzalwire.WaveHostsDoc{Done: toStrings(done)})
	return text, eris.Wrap(err, "encode hosts of a wave")
}

// DecodeWaveHosts reads the hosts of a wave that have had their maintenance.
func DecodeWaveHosts(text []byte) ([]quetzalunit.HostID, error) {
	var d quetzalwire.WaveHostsDoc
	err := json.Unmarshal(text, &d)
	return FromStrings[quetzalunit.HostID](d.Done), eris.Wrap(err, "decode hosts of a wave")
}

// EncodePoolDuty returns the JSON of a duty's row.
func EncodePoolDuty(d *quetzalwork.Duty) ([]byte, error) {
	text, err := json.Marshal(poolDutyDoc(d))
	return text, eris.Wrap(err, "encode duty")
}

func poolDutyDoc(d *quetzalwork.Duty) quetzalwire.PoolDutyDoc {
	return quetzalwire.PoolDutyDoc{
		Holder: string(d.Holder), Incarnation: int(d.Incarnation), Address: string(d.Address), Ordered: toStrings(d.Ordered),
	}
}

// DecodePoolDuty reads a duty's row.
func DecodePoolDuty(text []byte, revision quetzalunit.Revision) (quetzalwork.Duty, error) {
	var d quetzalwire.PoolDutyDoc
	err := json.Unmarshal(text, &d)
	return poolDuty(&d, revision), eris.Wrap(err, "decode duty")
}

func poolDuty(d *quetzalwire.PoolDutyDoc, revision quetzalunit.Revision) quetzalwork.Duty {
	return quetzalwork.Duty{
		Holder: quetzalunit.EntryID(d.Holder), Incarnation: quetzalunit.Incarnation(d.Incarnation),
		Address: quetzalunit.Address(d.Address), Revision: revision, Ordered: FromStrings[quetzalunit.HostID](d.Ordered),
	}
}
