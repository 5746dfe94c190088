// Package quetzalarrival generates seeded plans of open-loop arrivals: the time at
// which a request is sent does not depend on the answers to earlier requests.
package quetzalarrival

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Arrival is one planned request.
type Arrival struct {
	// At is the offset from the start of the plan.
	At         time.Duration
	ID         quetzalunit.RequestID
	Queue      quetzalunit.QueueID
	Team       quetzalunit.TeamID
	Class      quetzalfleet.Class
	Urgent     bool
	Idempotent bool
	// RunTime is the time for which the minion works on the request.
	RunTime time.Duration
	Timeout time.Duration
}

// Profile determines how the arrival rate of each queue changes over time.
type Profile interface{ implementsProfile() }

type (
	// Flat keeps every queue at its base rate, an equal share of Spec.Rate.
	Flat struct{}
	// Burst raises one queue at a time, in rotation, to burstFactor times its base
	// rate for Duration. During the next burst the rate of that queue is quietFactor
	// times its base rate. All other queues stay at their base rate.
	Burst struct{ Duration time.Duration }
)

func (Flat) implementsProfile()  {}
func (Burst) implementsProfile() {}

// The rates of a queue during its burst and during the next one, relative to its base
// rate.
const (
	burstFactor = 5.0
	quietFactor = 1.0 / 20
)

// demandFactor returns the arrival rate of a queue at a time, relative to its base rate.
func demandFactor(p Profile, queue, queues int, at time.Duration) float64 {
	switch p := p.(type) {
	case Burst:
		switch bursting := int(at/p.Duration) % queues; bursting {
		case queue:
			return burstFactor
		case (queue + 1) % queues:
			return quietFactor
		}
	case Flat:
	}
	return 1
}

// Spec contains the parameters of a plan.
type Spec struct {
	Queues []quetzalunit.QueueID
	Teams  []quetzalunit.TeamID
	// Rate is the mean number of arrivals per second over all queues with the Flat
	// profile; with Burst the mean is higher.
	Rate float64
	// Duration is the time over which requests arrive.
	Duration time.Duration
	Profile  Profile
	// Long is the share of long requests; Misdeclared is the share of the long
	// requests that declare the class Short.
	Long, Misdeclared, Urgent, Idempotent quetzalunit.Percent
	// ShortRun and LongRun are the run times of short and long requests.
	ShortRun, LongRun time.Duration
	Timeout           time.Duration
	// OwnIDs makes the caller choose the request ids; otherwise the entry assigns them.
	OwnIDs bool
	Seed   uint64
}

// Plan generates the arrivals of a Poisson process, ordered by time.
func Plan(s *Spec) *quetzaltable.Table[Arrival] {
	r := rand.New(rand.NewPCG(s.Seed, s.Seed)) //nolint:gosec // a plan must be reproducible from its seed
	var plan quetzaltable.Table[Arrival]
	perQueue := s.Rate / float64(len(s.Queues))
	// Thinning: candidates are generated at the peak rate, and each is kept with
	// the probability of its queue's current rate divided by the queue's peak rate.
	peakRate := perQueue * burstFactor * float64(len(s.Queues))
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peakRate * float64(time.Second))
		if at >= s.Duration {
			return &plan
		}
		queue := r.IntN(len(s.Queues))
		if r.Float64()*burstFactor >= demandFactor(s.Profile, queue, len(s.Queues), at) {
			continue
		}
		plan.Insert(newArrival(s, r, queue, at, plan.Len()))
	}
}

// newArrival picks the random attributes of the n-th arrival.
func newArrival(s *Spec, r *rand.Rand, queue int, at time.Duration, n int) Arrival {
	chance := func(p quetzalunit.Percent) bool { return r.IntN(100) < int(p) }
	a := Arrival{At: at, Queue: s.Queues[queue], RunTime: s.ShortRun, Timeout: s.Timeout}
	if len(s.Teams) > 0 {
		a.Team = s.Teams[r.IntN(len(s.Teams))]
	}
	if chance(s.Long) {
		a.RunTime = s.LongRun
		if !chance(s.Misdeclared) {
			a.Class = quetzalfleet.ClassLong
		}
	}
	a.Urgent, a.Idempotent = chance(s.Urgent), chance(s.Idempotent)
	if s.OwnIDs {
		a.ID = quetzalunit.RequestID(fmt.Sprintf("load-%d-%d", s.Seed, n))
	}
	return a
}
