// Package quetzalmonitor checks the availability budgets of the pools from outside: it
// uses the committed rows and the actual states of the hosts, not the view of an entry.
package quetzalmonitor

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// samplePeriod is the interval between two samples.
	samplePeriod  = 50 * time.Millisecond
	sampleTimeout = time.Second
)

// Monitor counts the budgets that are not met in each snapshot.
type Monitor struct {
	violations atomic.Int64
	samples    atomic.Int64
}

// Start begins to poll snapshots from the admin URL of the stand-in platform, and
// returns a function that ends the polling. An empty URL disables the monitor.
func Start(platform string) (*Monitor, func()) {
	m := &Monitor{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if platform != "" {
		wg.Go(func() { m.poll(ctx, platform) })
	}
	return m, func() {
		cancel()
		wg.Wait()
	}
}

// Violations returns the number of violations, summed over all snapshots.
func (m *Monitor) Violations() int {
	return int(m.violations.Load())
}

// Samples returns the number of snapshots that were read.
func (m *Monitor) Samples() int {
	return int(m.samples.Load())
}

// poll samples until ctx is cancelled. A failed sample is not counted: the platform
// may be unreachable during an outage.
func (m *Monitor) poll(ctx context.Context, base string) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		n, err := sample(ctx, base)
		if err != nil {
			continue
		}
		m.samples.Add(1)
		m.violations.Add(int64(n))
	}
}

// sample reads a snapshot and counts the budgets that are not met in it.
func sample(ctx context.Context, base string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/snapshot", nil)
	if err != nil {
		return 0, eris.Wrap(err, "build request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "read snapshot")
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	var s quetzalwire.PlatformSnapshot
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return 0, eris.Wrap(err, "decode snapshot")
	}
	return snapshotViolations(&s)
}

// poolZone identifies a pool in a zone.
type poolZone struct {
	pool quetzalunit.PoolID
	zone quetzalunit.ZoneID
}

// snapshotViolations counts the budgets that are not met in a snapshot. Only hosts
// that are live and serve the pool count towards its budget in their zone.
func snapshotViolations(s *quetzalwire.PlatformSnapshot) (int, error) {
	rows, err := quetzalcodec.DecodeRows(s.Rows)
	if err != nil {
		return 0, err
	}
	live := make(map[quetzalunit.HostID]bool)
	for _, h := range s.Hosts {
		live[quetzalunit.HostID(h.Host)] = h.State == quetzalwire.ListedHostStateLive
	}
	serving := make(map[poolZone]quetzalunit.Hosts)
	for _, row := range rows {
		if h, ok := row.Row.(quetzalfleet.HostRow); ok && h.State == quetzalfleet.HostServing && live[h.ID] {
			serving[poolZone{h.Pool, h.Zone}]++
		}
	}
	n := 0
	for _, row := range rows {
		if p, ok := row.Row.(quetzalfleet.PoolRow); ok {
			n += poolViolations(&p, serving)
		}
	}
	return n, nil
}

// poolViolations counts the zones in which the pool serves with fewer hosts than its
// budget requires.
func poolViolations(p *quetzalfleet.PoolRow, serving map[poolZone]quetzalunit.Hosts) int {
	n := 0
	for _, b := range p.Budgets {
		if serving[poolZone{p.ID, b.Zone}] < b.MinHosts {
			n++
		}
	}
	return n
}
