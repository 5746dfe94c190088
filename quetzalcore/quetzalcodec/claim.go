package quetzalcodec

import (
	"encoding/base64"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

func encodeClaim(v *quetzalfleet.ClaimRow) quetzalwire.ClaimDoc {
	d := quetzalwire.ClaimDoc{
		Request: string(v.Request), Entry: string(v.Entry), Incarnation: int(v.Incarnation),
		State: quetzalwire.ClaimDocState(v.State.String()), BodySum: string(v.BodyDigest),
		AtMs: int(v.WrittenAt.Milliseconds()),
	}
	if v.Answer != nil {
		d.Status, d.Fields, d.Answer = encodeAnswer(v.Answer)
	}
	return d
}

func decodeClaim(d *quetzalwire.ClaimDoc) (quetzalfleet.StoredRow, error) {
	state, err := parseState(string(d.State), quetzalfleet.ClaimHeld, quetzalfleet.ClaimReleased)
	if err != nil {
		return nil, err
	}
	v := quetzalfleet.ClaimRow{
		Request: quetzalunit.RequestID(d.Request), Entry: quetzalunit.EntryID(d.Entry),
		Incarnation: quetzalunit.Incarnation(d.Incarnation), State: state, BodyDigest: quetzalunit.BodyDigest(d.BodySum),
		WrittenAt: wallTimeFromMs(d.AtMs),
	}
	if state == quetzalfleet.ClaimDone {
		v.Answer, err = decodeAnswer(d.Status, d.Fields, d.Answer)
	}
	return v, err
}

func encodeAnswer(a *quetzalfleet.Payload) (status int, fields []quetzalwire.HeaderField, body string) {
	return int(a.Status), encodeFields(a.HeaderFields), base64.StdEncoding.EncodeToString(a.Body)
}

func encodeFields(fields []quetzalfleet.HeaderField) []quetzalwire.HeaderField {
	docs := make([]quetzalwire.HeaderField, 0, len(fields))
	for _, f := range fields {
		docs = append(docs, quetzalwire.HeaderField(f))
	}
	return docs
}

func decodeFields(docs []quetzalwire.HeaderField) []quetzalfleet.HeaderField {
	fields := make([]quetzalfleet.HeaderField, 0, len(docs))
	for _, d := range docs {
		fields = append(fields, quetzalfleet.HeaderField(d))
	}
	return fields
}

func decodeAnswer(status int, fields []quetzalwire.HeaderField, body string) (*quetzalfleet.Payload, error) {
	data, err := base64.StdEncoding.DecodeString(body)
	if err != nil {
		return nil, eris.Wrap(err, "decode answer")
	}
	return &quetzalfleet.Payload{
		Status:       quetzalunit.HTTPStatus(status),
		HeaderFields: decodeFields(fields),
		Body:         data,
	}, nil
}

// Names of outcomes in response headers and in messages between entries.
const (
	OutcomeRan       = "Ran"
	OutcomeNotRun    = "NotRun"
	OutcomeUnknown   = "Unknown"
	OutcomeCancelled = "Cancelled"
	OutcomeInvalid   = "Invalid"
	OutcomeConflict  = "Conflict"
	OutcomeAccepted  = "Accepted"
)

// OutcomeName returns the name of an outcome and its reason, which is empty for an outcome
// without one.
func OutcomeName(o quetzalfleet.Outcome) (name, reason string) {
	switch o := o.(type) {
	case quetzalfleet.Ran:
		return OutcomeRan, ""
	case quetzalfleet.NotRun:
		return OutcomeNotRun, string(o.Reason)
	case quetzalfleet.Unknown:
		return OutcomeUnknown, string(o.Reason)
	case quetzalfleet.Accepted:
		return OutcomeAccepted, ""
	case quetzalfleet.Cancelled:
		return OutcomeCancelled, ""
	case quetzalfleet.RequestIDConflict:
		return OutcomeConflict, ""
	case quetzalfleet.Invalid:
		return OutcomeInvalid, string(o.Reason)
	}
	return OutcomeInvalid, ""
}

// EncodeJoinReply encodes the outcome of a request for the peer that asked for it.
func EncodeJoinReply(o quetzalfleet.Outcome) quetzalwire.JoinReply {
	name, reason := OutcomeName(o)
	reply := quetzalwire.JoinReply{Known: name != OutcomeInvalid, Outcome: name, Reason: reason}
	if ran, ok := o.(quetzalfleet.Ran); ok {
		reply.Status, reply.Fields, reply.Answer = encodeAnswer(ran.Answer)
	}
	return reply
}

// DecodeJoinReply decodes the outcome in a reply. It returns nil when the peer does not know the
// request.
func DecodeJoinReply(reply *quetzalwire.JoinReply) (quetzalfleet.Outcome, error) {
	if !reply.Known {
		return nil, nil //nolint:nilnil // a peer that does not know the request is not an error
	}
	switch reply.Outcome {
	case OutcomeRan:
		a, err := decodeAnswer(reply.Status, reply.Fields, reply.Answer)
		return quetzalfleet.Ran{Answer: a}, err
	case OutcomeNotRun:
		return quetzalfleet.NotRun{Reason: quetzalfleet.NotRunReason(reply.Reason)}, nil
	case OutcomeAccepted:
		return quetzalfleet.Accepted{}, nil
	case OutcomeCancelled:
		return quetzalfleet.Cancelled{}, nil
	case OutcomeConflict:
		return quetzalfleet.RequestIDConflict{}, nil
	default:
		return quetzalfleet.Unknown{Reason: quetzalfleet.UnknownReason(reply.Reason)}, nil
	}
}
