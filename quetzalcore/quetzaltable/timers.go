package quetzaltable

import (
	"container/heap"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Timers is a priority queue of values that are due at an instant. Values due at the same
// instant keep the order of insertion, so that the order is deterministic.
type Timers[V any] struct {
	entries timerHeap[V]
	// sequence is the number of insertions.
	sequence uint64
}

type timerEntry[V any] struct {
	at       quetzalunit.Instant
	sequence uint64
	value    V
}

// Push adds a value that is due at an instant.
func (t *Timers[V]) Push(at quetzalunit.Instant, value V) {
	t.sequence++
	heap.Push(&t.entries, timerEntry[V]{at: at, sequence: t.sequence, value: value})
}

// Next returns the instant at which the earliest value is due. It returns false if there is none.
func (t *Timers[V]) Next() (quetzalunit.Instant, bool) {
	if len(t.entries) == 0 {
		return 0, false
	}
	return t.entries[0].at, true
}

// PopDue removes and returns the earliest value if it is due at or before now.
func (t *Timers[V]) PopDue(now quetzalunit.Instant) (V, bool) {
	if at, ok := t.Next(); !ok || at > now {
		var zero V
		return zero, false
	}
	return heap.Pop(&t.entries).(timerEntry[V]).value, true
}

// Len returns the number of values.
func (t *Timers[V]) Len() int {
	return len(t.entries)
}

type timerHeap[V any] []timerEntry[V]

func (h timerHeap[V]) Len() int      { return len(h) }
func (h timerHeap[V]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap[V]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *timerHeap[V]) Push(x any) {
	*h = append(*h, x.(timerEntry[V]))
}

// Pop implements heap.Interface.
func (h *timerHeap[V]) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = timerEntry[V]{}
	*h = old[:n]
	return e
}
