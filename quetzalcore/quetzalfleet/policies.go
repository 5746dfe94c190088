package quetzalfleet

// DispatchPolicy decides how many attempts an entry may have in flight on a minion,
// whose slots all entries of the zone share.
type DispatchPolicy interface{ implementsDispatchPolicy() }

type (
	// SharedDispatch lets every entry use all slots. An entry whose attempt a minion
	// refuses lowers its own limit on that host for a while.
	SharedDispatch struct{}
	// FixedDispatch divides the slots equally among the entries of the zone's roster.
	FixedDispatch struct{}
	// BorrowDispatch divides the slots like FixedDispatch and lets an entry also use the
	// shares of entries whose gossip reports no load for the pool.
	BorrowDispatch struct{}
)

func (SharedDispatch) implementsDispatchPolicy() {}
func (FixedDispatch) implementsDispatchPolicy()  {}
func (BorrowDispatch) implementsDispatchPolicy() {}

// LanePolicy decides how many of a minion's slots long requests may use.
type LanePolicy interface{ implementsLanePolicy() }

type (
	// OpenLanes lets long requests use every slot.
	OpenLanes struct{}
	// ReserveLanes limits requests that are declared long to Settings.LongSlots.
	ReserveLanes struct{}
	// DemoteLanes extends ReserveLanes: a short request whose run exceeds
	// Settings.ShortRun counts as long from then on, and all requests of a team for
	// which this happens often are treated as long on arrival.
	DemoteLanes struct{}
)

func (OpenLanes) implementsLanePolicy()    {}
func (ReserveLanes) implementsLanePolicy() {}
func (DemoteLanes) implementsLanePolicy()  {}

// RetryPolicy decides whether and when a failed attempt is followed by another.
type RetryPolicy interface{ implementsRetryPolicy() }

type (
	// NoRetry never retries.
	NoRetry struct{}
	// ExponentialRetry is exponential backoff with full jitter: it waits a random time
	// up to Settings.RetryBase, doubled with every attempt up to Settings.RetryCap. Each
	// retry is charged to the pool's retry budget.
	ExponentialRetry struct{}
	// FourPhaseRetry retries first without delay, then after RetryBase, then with
	// exponential backoff and last after RetryCap, without a retry budget. The phases
	// are those of "Amazon SNS message delivery retries".
	FourPhaseRetry struct{}
)

func (NoRetry) implementsRetryPolicy()          {}
func (ExponentialRetry) implementsRetryPolicy() {}
func (FourPhaseRetry) implementsRetryPolicy()   {}

// MovePolicy decides when demand moves a host between a pool and a spare pool.
type MovePolicy interface{ implementsMovePolicy() }

type (
	// NoDemandMoves never moves a host because of demand.
	NoDemandMoves struct{}
	// ReactiveMoves moves a host as soon as a pool has more requests than slots.
	ReactiveMoves struct{}
	// SkiRentalMoves moves a host once the requests in excess of the pool's slots have
	// together waited as long as the move costs in slot time. This is the online
	// algorithm for the ski rental problem.
	SkiRentalMoves struct{}
)

func (NoDemandMoves) implementsMovePolicy()  {}
func (ReactiveMoves) implementsMovePolicy()  {}
func (SkiRentalMoves) implementsMovePolicy() {}
