package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Phase is a part of a tick.
type Phase uint8

// Phases of a tick, in the order of their names in the log.
const (
	// PhaseReports applies the answers of minions to polls.
	PhaseReports Phase = iota
	// PhaseOrders applies the answers to orders to start and to stop runs.
	PhaseOrders
	// PhaseMinionList applies reads of the list of minions.
	PhaseMinionList
	// PhaseInputs applies all other inputs.
	PhaseInputs
	// PhaseTimers fires the timers that are due.
	PhaseTimers
	// PhaseSubmissions, PhasePlacement, PhaseProgress and PhasePolls run the systems.
	PhaseSubmissions
	PhasePlacement
	PhaseProgress
	PhasePolls
	// PhaseLimits divides the caps of accounts.
	PhaseLimits
	// PhaseCommands executes the commands that the tick has returned.
	PhaseCommands
	// PhaseCount is the number of phases.
	PhaseCount
)

// String returns the name of the phase in the log and in the metrics.
func (p Phase) String() string {
	return [PhaseCount]string{"reports", "orders", "minion_list", "inputs", "timers", "submissions", "placement", "progress", "polls", "limits", "commands"}[p]
}

// Meter measures how long the phases of a World's ticks take, and how much of that is spent on each
// pool. The zero value measures nothing.
type Meter struct {
	// Clock returns the time since an arbitrary instant. Its result must not affect the World.
	Clock func() time.Duration
	// Phases has the total duration of each phase, Pools the part of PhaseReports and PhasePlacement
	// that is spent on each pool.
	Phases [PhaseCount]time.Duration
	Pools  map[quetzalunit.PoolID]time.Duration

	// markedAt is when the present phase began.
	markedAt time.Duration
}

// Begin begins the first phase of a tick.
func (m *Meter) Begin() {
	if m.Clock != nil {
		m.markedAt = m.Clock()
	}
}

// End ends a phase and begins the next one.
func (m *Meter) End(p Phase) {
	m.end(p)
}

// EndPool is End for a phase that was spent on one pool.
func (m *Meter) EndPool(p Phase, pool quetzalunit.PoolID) {
	took := m.end(p)
	if took == 0 {
		return
	}
	if m.Pools == nil {
		m.Pools = make(map[quetzalunit.PoolID]time.Duration)
	}
	m.Pools[pool] += took
}

func (m *Meter) end(p Phase) time.Duration {
	if m.Clock == nil {
		return 0
	}
	now := m.Clock()
	took := now - m.markedAt
	m.Phases[p] += took
	m.markedAt = now
	return took
}
