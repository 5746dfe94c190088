package quetzalsystem_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsystem"
	"quetzalstair/quetzalcore/quetzalunit"
)

// benchWorld returns a world with one entry, hosts spread over all pools but the last,
// and queued requests of the last pool, which has no host to run them.
func benchWorld(b *testing.B, hosts, pools, queued int) *quetzalfleet.World {
	b.Helper()
	w := &quetzalfleet.World{Self: quetzalfleet.Identity{
		Entry: "e", Zone: "a", Incarnation: 1, LeaseDuration: time.Hour, PollPeriod: time.Hour, GossipPeriod: time.Hour,
	}}
	now := quetzalunit.Instant(time.Hour)
	quetzalsystem.Start(w, now)
	commands := quetzalsystem.Tick(w, now, nil)
	var rows []quetzalfleet.RowAtRevision
	add := func(table quetzalfleet.TableName, key string, row quetzalfleet.StoredRow) {
		rows = append(rows, quetzalfleet.RowAtRevision{
			Key: quetzalfleet.RowKey{Table: table, Key: key}, Revision: quetzalunit.Revision(len(rows) + 1), Row: row,
		})
	}
	for p := range pools {
		id := fmt.Sprint("pool", p)
		add(quetzalfleet.TablePools, id, quetzalfleet.PoolRow{ID: quetzalunit.PoolID(id)})
		add(quetzalfleet.TableQueues, id, quetzalfleet.QueueRow{ID: quetzalunit.QueueID(id), Pool: quetzalunit.PoolID(id)})
	}
	for h := range hosts {
		id := fmt.Sprint("host", h)
		// The last pool gets no host, so that its requests stay queued.
		pool := quetzalunit.PoolID(fmt.Sprint("pool", h%(pools-1)))
		add(quetzalfleet.TableHosts, id, quetzalfleet.HostRow{HostSpec: quetzalfleet.HostSpec{
			ID: quetzalunit.HostID(id), Zone: "a", Pool: pool, Generation: 1,
		}})
	}
	limit := quetzalunit.Requests(1_000_000)
	add(quetzalfleet.TableSettings, "Fleet", quetzalfleet.SettingRow{
		Path: "Fleet", Values: quetzalfleet.SettingValues{QueueLimit: &limit, TeamQueueLimit: &limit},
	})
	add(quetzalfleet.TableRosters, "a", quetzalfleet.RosterRow{
		Zone: "a", Entries: []quetzalfleet.RosterEntry{{Entry: "e", Incarnation: 1}},
	})
	for _, c := range commands {
		if scan, ok := c.(quetzalfleet.ScanStore); ok {
			quetzalsystem.Tick(w, now, []quetzalfleet.Input{quetzalfleet.StoreAnswered{
				Call: scan.Call, Result: quetzalfleet.RowsRead{Revision: quetzalunit.Revision(len(rows)), Rows: rows},
			}})
		}
	}
	for q := range queued {
		arrive(w, now, quetzalunit.CallerID(1_000_000_000+q), quetzalunit.QueueID(fmt.Sprint("pool", pools-1)))
	}
	require.EqualValues(b, queued, w.LiveRequests)
	return w
}

func arrive(w *quetzalfleet.World, now quetzalunit.Instant, c quetzalunit.CallerID, q quetzalunit.QueueID) []quetzalfleet.Command {
	return quetzalsystem.Tick(w, now, []quetzalfleet.Input{quetzalfleet.RequestArrived{
		Caller: c, ID: quetzalunit.RequestID(fmt.Sprint("q~", c)), ClaimExempt: true, Queue: q,
		Timeout: 100 * time.Hour, Work: &quetzalfleet.Payload{}, Idempotent: true,
	}})
}

// BenchmarkRequest measures the ticks of one request from arrival to answer. The time
// may depend on the number of hosts of its pool, but not on the sizes of other tables.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ hosts, pools, queued int }{
		{50, 5, 0}, {570, 5, 0}, {570, 142, 0}, {570, 142, 1000}, {570, 142, 10_000}, {570, 142, 100_000},
	} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d/queued=%d", size.hosts, size.pools, size.queued), func(b *testing.B) {
			w := benchWorld(b, size.hosts, size.pools, size.queued)
			now := w.Now
			answer := quetzalfleet.Answered{Answer: &quetzalfleet.Payload{Status: 200}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				for _, c := range arrive(w, now, quetzalunit.CallerID(i+1), "pool0") {
					if send, ok := c.(quetzalfleet.SendAttempt); ok {
						quetzalsystem.Tick(w, now, []quetzalfleet.Input{
							quetzalfleet.AttemptEnded{Attempt: send.Attempt, Result: answer},
						})
					}
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a world per host and per queued request.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	const hosts, queued = 570, 100_000
	for range b.N {
		before := heap()
		small := benchWorld(b, hosts, 142, 0)
		b.ReportMetric((heap()-before)/hosts, "B/host")
		before = heap()
		large := benchWorld(b, 50, 5, queued)
		b.ReportMetric((heap()-before)/queued, "B/request")
		runtime.KeepAlive(small)
		runtime.KeepAlive(large)
	}
}

// BenchmarkCancel measures the cancellation of one request by the number of queued
// requests.
func BenchmarkCancel(b *testing.B) {
	for _, queued := range []int{1000, 100_000} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			w := benchWorld(b, 50, 5, queued)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c := quetzalunit.CallerID(i + 1)
				arrive(w, w.Now, c, "pool4")
				quetzalsystem.Tick(w, w.Now, []quetzalfleet.Input{quetzalfleet.CallerGone{Caller: c}})
			}
		})
	}
}
