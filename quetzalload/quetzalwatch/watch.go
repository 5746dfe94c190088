// Package quetzalwatch watches the pools' availability budgets from outside: by
// the committed rows and the hosts' real state, not by what an entry believes.
package quetzalwatch

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
	// lookPeriod is the time between two looks.
	lookPeriod  = 50 * time.Millisecond
	lookTimeout = time.Second
)

// Watch counts the times at which a pool was below its budget in a zone.
type Watch struct {
	breaches atomic.Int64
	looks    atomic.Int64
}

// Start watches through the admin interface of the stand-in platform, and
// returns a function that ends it. Without a URL nothing is watched.
func Start(platform string) (*Watch, func()) {
	w := &Watch{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if platform != "" {
		wg.Go(func() { w.run(ctx, platform) })
	}
	return w, func() {
		cancel()
		wg.Wait()
	}
}

// Breaches returns the number of breaches seen.
func (w *Watch) Breaches() int {
	return int(w.breaches.Load())
}

// Looks returns the number of snapshots seen.
func (w *Watch) Looks() int {
	return int(w.looks.Load())
}

func (w *Watch) run(ctx context.Context, base string) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		n, err := look(ctx, base)
		if err != nil {
			continue
		}
		w.looks.Add(1)
		w.breaches.Add(int64(n))
	}
}

// look counts the budgets that are broken in one snapshot.
func look(ctx context.Context, base string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
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
	return broken(&s)
}

// place is a pool in a zone.
type place struct {
	pool quetzalunit.PoolID
	zone quetzalunit.ZoneID
}

func broken(s *quetzalwire.PlatformSnapshot) (int, error) {
	rows, err := quetzalcodec.DecodeRows(s.Rows)
	if err != nil {
		return 0, err
	}
	live := make(map[quetzalunit.HostID]bool)
	for _, h := range s.Hosts {
		live[quetzalunit.HostID(h.Host)] = h.State == quetzalwire.ListedHostStateLive
	}
	serving := make(map[place]quetzalunit.Hosts)
	for _, row := range rows {
		if h, ok := row.Row.(quetzalfleet.HostRow); ok && h.State == quetzalfleet.HostServing && live[h.ID] {
			serving[place{h.Pool, h.Zone}]++
		}
	}
	n := 0
	for _, row := range rows {
		if p, ok := row.Row.(quetzalfleet.PoolRow); ok {
			n += brokenBudgets(&p, serving)
		}
	}
	return n, nil
}

func brokenBudgets(p *quetzalfleet.PoolRow, serving map[place]quetzalunit.Hosts) int {
	n := 0
	for _, b := range p.Budgets {
		if serving[place{p.ID, b.Zone}] < b.MinHosts {
			n++
		}
	}
	return n
}
