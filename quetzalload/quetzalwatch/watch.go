// Package quetzalwatch watches the pools' availability budgets from outside.
package quetzalwatch

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// lookPeriod is the time between two looks.
	lookPeriod  = 200 * time.Millisecond
	lookTimeout = time.Second
)

// Watch counts the times at which a pool was below its budget.
type Watch struct {
	token    string
	breaches atomic.Int64
	looks    atomic.Int64
}

// Start watches the pools as seen by one entry of each zone, and returns a
// function that ends it.
func Start(operators []string, token string) (*Watch, func()) {
	w := &Watch{token: token}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, base := range operators {
		wg.Go(func() { w.run(ctx, base) })
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

func (w *Watch) run(ctx context.Context, base string) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.look(ctx, base)
		case <-ctx.Done():
			return
		}
	}
}

// look counts the pools below their budgets. An entry that does not answer is
// no breach.
func (w *Watch) look(ctx context.Context, base string) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/pools", nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+w.token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	var list quetzalwire.PoolList
	if json.NewDecoder(res.Body).Decode(&list) != nil {
		return
	}
	w.looks.Add(1)
	for _, p := range list.Pools {
		if p.Headroom < 0 {
			w.breaches.Add(1)
		}
	}
}
