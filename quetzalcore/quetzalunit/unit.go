package quetzalunit

import "time"

// Identifiers of the entities. Each is unique within the fleet.
type (
	// HostID names a host; a minion runs on one.
	HostID string
	// PoolID names a pool of hosts.
	PoolID string
	// QueueID names a work queue.
	QueueID string
	// ZoneID names an availability zone.
	ZoneID string
	// RackID names a rack, a failure domain within a zone.
	RackID string
	// TeamID names a team, which holds quotas.
	TeamID string
	// EntryID names an entry process.
	EntryID string
	// RequestID names a request; the caller chooses it or the entry mints it.
	RequestID string
	// WaveID names a maintenance wave.
	WaveID string
	// ChangeID names one operator's change, which is applied at most once.
	ChangeID string
	// NodePath names a node of the settings tree, such as Fleet/Zone/Pool.
	NodePath string
	// Address is an IP number and port.
	Address string
	// BodySum is a digest of a request's body.
	BodySum string
)

// Caller identifies someone outside the World who waits for an answer.
type Caller uint64

// Counters that only grow.
type (
	// Generation counts the changes of a host's pool or state.
	Generation int64
	// Epoch counts the holders of a zone's duties; it fences out older ones.
	Epoch int64
	// Revision is the table service's number of a row's last write.
	Revision int64
	// Version is the fleet-wide number of a settings change.
	Version int64
	// Incarnation tells apart the processes that used one entry name.
	Incarnation int64
	// Boot counts the boots of a host.
	Boot int64
)

// Amounts.
type (
	// Slots counts concurrent runs on a minion.
	Slots int32
	// Hosts counts hosts.
	Hosts int32
	// Requests counts requests.
	Requests int32
	// Attempts counts the attempts of one request, or failures of one host.
	Attempts int32
	// Percent is a share in hundredths.
	Percent int32
	// Weight is a team's share relative to other teams.
	Weight int32
	// Status is an HTTP status code.
	Status int32
)

// SlotsPerMinion is the number of runs that a minion takes at once.
const SlotsPerMinion Slots = 8

// Instant is a point on the World's clock, in nanoseconds since the Unix epoch.
type Instant int64

// InstantOf converts a time.
func InstantOf(t time.Time) Instant {
	return Instant(t.UnixNano())
}

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant {
	return t + Instant(d)
}

// Sub returns the time that passed from u to t.
func (t Instant) Sub(u Instant) time.Duration {
	return time.Duration(t - u)
}

// Milliseconds returns the instant in milliseconds since the Unix epoch.
func (t Instant) Milliseconds() int64 {
	return int64(t) / int64(time.Millisecond)
}

// Of returns the share p of n, rounded down.
func (p Percent) Of(n int64) int64 {
	return n * int64(p) / 100
}
