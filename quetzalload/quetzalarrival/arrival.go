// Package quetzalarrival makes seeded plans of open-loop arrivals: when each
// request is sent does not depend on how earlier ones are answered.
package quetzalarrival

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Arrival is one request of a plan.
type Arrival struct {
	// At is the time since the start of the plan.
	At         time.Duration
	ID         quetzalunit.RequestID
	Queue      quetzalunit.QueueID
	Team       quetzalunit.TeamID
	Class      quetzalfleet.Class
	Urgent     bool
	Idempotent bool
	Run        time.Duration
	Timeout    time.Duration
}

// Profile is how the demand of the queues changes with time.
type Profile interface{ implementsProfile() }

type (
	// Flat demands the mean of every queue all the time.
	Flat struct{}
	// Burst lets each queue in turn demand five times its mean for a while; the
	// others demand a twentieth after their turn.
	Burst struct{ Turn time.Duration }
)

func (Flat) implementsProfile()  {}
func (Burst) implementsProfile() {}

const (
	burstFactor = 5.0
	quietFactor = 1.0 / 20
)

// factor returns the demand of a queue at a time, relative to its mean.
func factor(p Profile, queue, queues int, at time.Duration) float64 {
	switch p := p.(type) {
	case Burst:
		switch turn := int(at/p.Turn) % queues; turn {
		case queue:
			return burstFactor
		case (queue + 1) % queues:
			return quietFactor
		}
	case Flat:
	}
	return 1
}

// Spec describes a plan.
type Spec struct {
	Queues []quetzalunit.QueueID
	Teams  []quetzalunit.TeamID
	// Rate is the mean number of arrivals a second of all queues.
	Rate    float64
	For     time.Duration
	Profile Profile
	// Long is the share of long requests; Misdeclared is the share of these that
	// declare themselves short.
	Long, Misdeclared, Urgent, Idempotent quetzalunit.Percent
	ShortRun, LongRun                     time.Duration
	Timeout                               time.Duration
	// OwnIDs lets the caller choose the ids; otherwise the entry mints them.
	OwnIDs bool
	Seed   uint64
}

// Plan returns the arrivals in the order of their times.
func Plan(s *Spec) *quetzaltable.Table[Arrival] {
	r := rand.New(rand.NewPCG(s.Seed, s.Seed)) //nolint:gosec // repeatable by design
	var plan quetzaltable.Table[Arrival]
	perQueue := s.Rate / float64(len(s.Queues))
	// Thinning: candidates arrive at the highest rate and are kept in proportion to
	// the rate at their time.
	highest := perQueue * burstFactor * float64(len(s.Queues))
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / highest * float64(time.Second))
		if at >= s.For {
			return &plan
		}
		queue := r.IntN(len(s.Queues))
		if r.Float64()*burstFactor >= factor(s.Profile, queue, len(s.Queues), at) {
			continue
		}
		plan.Insert(draw(s, r, queue, at, plan.Len()))
	}
}

func draw(s *Spec, r *rand.Rand, queue int, at time.Duration, n int) Arrival {
	hit := func(p quetzalunit.Percent) bool { return r.IntN(100) < int(p) }
	a := Arrival{At: at, Queue: s.Queues[queue], Run: s.ShortRun, Timeout: s.Timeout}
	if len(s.Teams) > 0 {
		a.Team = s.Teams[r.IntN(len(s.Teams))]
	}
	if hit(s.Long) {
		a.Run = s.LongRun
		if !hit(s.Misdeclared) {
			a.Class = quetzalfleet.Long
		}
	}
	a.Urgent, a.Idempotent = hit(s.Urgent), hit(s.Idempotent)
	if s.OwnIDs {
		a.ID = quetzalunit.RequestID(fmt.Sprintf("load-%d-%d", s.Seed, n))
	}
	return a
}
