package quetzalcodec

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

func encodeJob(j *quetzalfleet.JobSpec) quetzalwire.JobDoc {
	return quetzalwire.JobDoc{
		Request: string(j.Request), Entry: string(j.Entry), Incarnation: int(j.Incarnation),
		State: quetzalwire.JobDocState(j.State.String()), Queue: string(j.Queue), Team: string(j.Team),
		Long: j.Class == quetzalfleet.ClassLong, Urgent: j.Urgent, Idempotent: j.Idempotent,
		DeadlineMs: int(j.Deadline.Milliseconds()), BodySum: string(j.BodyDigest),
		AtMs: int(j.WrittenAt.Milliseconds()),
	}
}

func decodeJob(d *quetzalwire.JobDoc) (quetzalfleet.StoredRow, error) {
	state, err := parseState(string(d.State), quetzalfleet.JobAccepted, quetzalfleet.JobEnded)
	j := quetzalfleet.JobSpec{
		Request: quetzalunit.RequestID(d.Request), Entry: quetzalunit.EntryID(d.Entry),
		Incarnation: quetzalunit.Incarnation(d.Incarnation), State: state, Queue: quetzalunit.QueueID(d.Queue),
		Team: quetzalunit.TeamID(d.Team), Urgent: d.Urgent, Idempotent: d.Idempotent,
		Deadline: wallTimeFromMs(d.DeadlineMs), BodyDigest: quetzalunit.BodyDigest(d.BodySum),
		WrittenAt: wallTimeFromMs(d.AtMs),
	}
	if d.Long {
		j.Class = quetzalfleet.ClassLong
	}
	return quetzalfleet.JobRow{JobSpec: j}, err
}

// EncodeObject returns the JSON of a payload for the object store.
func EncodeObject(p *quetzalfleet.Payload) ([]byte, error) {
	status, fields, body := encodeAnswer(p)
	data, err := json.Marshal(quetzalwire.ObjectDoc{Status: status, Fields: fields, Body: body})
	return data, eris.Wrap(err, "encode object")
}

// DecodeObject decodes a payload that EncodeObject wrote.
func DecodeObject(data []byte) (*quetzalfleet.Payload, error) {
	var d quetzalwire.ObjectDoc
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, eris.Wrap(err, "decode object")
	}
	return decodeAnswer(d.Status, d.Fields, d.Body)
}
