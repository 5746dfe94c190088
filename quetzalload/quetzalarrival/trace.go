package quetzalarrival

import (
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// Record writes a plan as a JSON trace.
func Record(w io.Writer, plan *quetzaltable.Table[Arrival]) error {
	trace := quetzalwire.ArrivalTrace{Arrivals: make([]quetzalwire.ArrivalDoc, 0, plan.Len())}
	for _, a := range plan.All() {
		trace.Arrivals = append(trace.Arrivals, quetzalwire.ArrivalDoc{
			AtUs: int(a.At.Microseconds()), Request: string(a.ID), Queue: string(a.Queue), Team: string(a.Team),
			Long: a.Class == quetzalfleet.ClassLong, Urgent: a.Urgent, Idempotent: a.Idempotent,
			RunUs: int(a.RunTime.Microseconds()), TimeoutUs: int(a.Timeout.Microseconds()),
		})
	}
	return eris.Wrap(json.NewEncoder(w).Encode(trace), "write trace")
}

// Replay reads a plan from a JSON trace that Record wrote.
func Replay(r io.Reader) (*quetzaltable.Table[Arrival], error) {
	var trace quetzalwire.ArrivalTrace
	if err := json.NewDecoder(r).Decode(&trace); err != nil {
		return nil, eris.Wrap(err, "read trace")
	}
	var plan quetzaltable.Table[Arrival]
	for _, d := range trace.Arrivals {
		a := Arrival{
			At: microseconds(d.AtUs), ID: quetzalunit.RequestID(d.Request), Queue: quetzalunit.QueueID(d.Queue),
			Team: quetzalunit.TeamID(d.Team), Urgent: d.Urgent, Idempotent: d.Idempotent,
			RunTime: microseconds(d.RunUs), Timeout: microseconds(d.TimeoutUs),
		}
		if d.Long {
			a.Class = quetzalfleet.ClassLong
		}
		plan.Insert(a)
	}
	return &plan, nil
}

// microseconds converts a number of microseconds to a duration.
func microseconds(n int) time.Duration {
	return time.Duration(n) * time.Microsecond
}
