package quetzalcodec

import (
	"encoding/base64"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// EncodeForward returns the message that forwards a request to an entry of another zone.
func EncodeForward(f *quetzalfleet.ForwardAttempt) *quetzalwire.ForwardMessage {
	return &quetzalwire.ForwardMessage{
		Request: string(f.ID), Queue: string(f.Queue), Team: string(f.Team), Long: f.Class == quetzalfleet.ClassLong,
		Urgent: f.Urgent, Idempotent: f.Idempotent, TimeoutMs: int(f.Timeout.Milliseconds()),
		Fields: encodeFields(f.Work.HeaderFields), Body: base64.StdEncoding.EncodeToString(f.Work.Body),
	}
}

// DecodeForward returns the input for a request that a peer forwarded. ClaimExempt is set, because
// the sender holds the claim and this entry must not claim the request.
func DecodeForward(m *quetzalwire.ForwardMessage) (quetzalfleet.RequestArrived, error) {
	body, err := base64.StdEncoding.DecodeString(m.Body)
	if err != nil {
		return quetzalfleet.RequestArrived{}, eris.Wrap(err, "decode body")
	}
	in := quetzalfleet.RequestArrived{
		ID: quetzalunit.RequestID(m.Request), ClaimExempt: true, Forwarded: true, Queue: quetzalunit.QueueID(m.Queue),
		Team: quetzalunit.TeamID(m.Team), Urgent: m.Urgent, Idempotent: m.Idempotent,
		Timeout: time.Duration(m.TimeoutMs) * time.Millisecond,
		Work:    &quetzalfleet.Payload{HeaderFields: decodeFields(m.Fields), Body: body},
	}
	if m.Long {
		in.Class = quetzalfleet.ClassLong
	}
	return in, nil
}

// DecodeForwardReply returns the result of a forwarded attempt. A reply that does not say whether
// the request ran, or that cannot be decoded, gives ConnectionFailed, since the request may have
// run.
func DecodeForwardReply(reply *quetzalwire.JoinReply) quetzalfleet.AttemptResult {
	outcome, err := DecodeJoinReply(reply)
	if err != nil {
		return quetzalfleet.ConnectionFailed{}
	}
	switch o := outcome.(type) {
	case quetzalfleet.Ran:
		return quetzalfleet.Answered(o)
	case quetzalfleet.NotRun, quetzalfleet.Cancelled:
		return quetzalfleet.NotSent{}
	default:
		return quetzalfleet.ConnectionFailed{}
	}
}
