package quetzalfleet

// DispatchPolicy decides how many attempts an entry may have in flight on a
// minion whose slots it shares with the other entries of its zone.
type DispatchPolicy interface{ implementsDispatchPolicy() }

type (
	// SharedDispatch sends while the minion is believed to have a free slot, and
	// learns from not-run answers.
	SharedDispatch struct{}
	// FixedDispatch divides the slots by the zone's roster.
	FixedDispatch struct{}
	// BorrowDispatch divides the slots by the roster and adds the shares of
	// entries whose gossip shows no demand for the pool.
	BorrowDispatch struct{}
)

func (SharedDispatch) implementsDispatchPolicy() {}
func (FixedDispatch) implementsDispatchPolicy()  {}
func (BorrowDispatch) implementsDispatchPolicy() {}

// LanePolicy decides which requests may use a minion's slots.
type LanePolicy interface{ implementsLanePolicy() }

type (
	// OpenLanes lets long work take every slot.
	OpenLanes struct{}
	// ReserveLanes limits long work, as declared, to Settings.LongSlots.
	ReserveLanes struct{}
	// DemoteLanes is ReserveLanes with short runs that outlast Settings.ShortRun
	// counted as long, and teams that often do so treated as long on arrival.
	DemoteLanes struct{}
)

func (OpenLanes) implementsLanePolicy()    {}
func (ReserveLanes) implementsLanePolicy() {}
func (DemoteLanes) implementsLanePolicy()  {}

// RetryPolicy decides when a failed attempt is followed by another.
type RetryPolicy interface{ implementsRetryPolicy() }

type (
	// NoRetry answers the first failure.
	NoRetry struct{}
	// ExponentialRetry waits a random time up to RetryBase, doubled with every
	// attempt up to RetryCap, and spends the pool's retry budget.
	ExponentialRetry struct{}
	// FourPhaseRetry retries at once, then at RetryBase, then with exponential
	// backoff, then at RetryCap, without a budget. The phases are those of
	// "Amazon SNS message delivery retries".
	FourPhaseRetry struct{}
)

func (NoRetry) implementsRetryPolicy()          {}
func (ExponentialRetry) implementsRetryPolicy() {}
func (FourPhaseRetry) implementsRetryPolicy()   {}

// MovePolicy decides when a host moves between a pool and the spare pool.
type MovePolicy interface{ implementsMovePolicy() }

type (
	// FixedBuffer never moves a host for demand.
	FixedBuffer struct{}
	// ReactiveMoves moves a host as soon as more requests wait than the pool has slots.
	ReactiveMoves struct{}
	// SkiRentalMoves moves a host once the waiting that requests have already
	// paid for exceeds the cost of the move.
	SkiRentalMoves struct{}
)

func (FixedBuffer) implementsMovePolicy()    {}
func (ReactiveMoves) implementsMovePolicy()  {}
func (SkiRentalMoves) implementsMovePolicy() {}
