// Package quetzalwaiter connects a goroutine that waits for an answer with the
// World, which knows it by a Caller number alone.
package quetzalwaiter

import (
	"sync"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Waiters holds the callers that wait for an answer of type A. The zero value
// is ready for use. It is safe for concurrent use.
type Waiters[A any] struct {
	mu   sync.Mutex
	last quetzalunit.Caller
	// waiting has a channel with room for one answer for each caller.
	waiting map[quetzalunit.Caller]chan A
}

// Add registers a caller and returns its number, the channel of its answer and
// a function that forgets it. The function tells whether no answer had come.
func (w *Waiters[A]) Add() (quetzalunit.Caller, <-chan A, func() bool) {
	ch := make(chan A, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[quetzalunit.Caller]chan A)
	}
	w.last++
	caller := w.last
	w.waiting[caller] = ch
	return caller, ch, func() bool { return w.take(caller) != nil }
}

// Answer gives a caller its answer. A caller that was forgotten is ignored.
func (w *Waiters[A]) Answer(caller quetzalunit.Caller, a A) {
	if ch := w.take(caller); ch != nil {
		ch <- a
	}
}

// Len returns the number of callers that wait.
func (w *Waiters[A]) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting)
}

func (w *Waiters[A]) take(caller quetzalunit.Caller) chan A {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch := w.waiting[caller]
	delete(w.waiting, caller)
	return ch
}
