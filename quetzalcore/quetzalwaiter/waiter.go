// Package quetzalwaiter delivers the World's answers to the goroutines that wait for them. The
// World identifies a waiting goroutine by a CallerID only.
package quetzalwaiter

import (
	"sync"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Waiters holds the callers that wait for an answer of type A. The zero value
// is ready for use. It is safe for concurrent use.
type Waiters[A any] struct {
	mu         sync.Mutex
	lastCaller quetzalunit.CallerID
	// channels maps each caller to its channel, buffered so that Answer never blocks.
	channels map[quetzalunit.CallerID]chan A
}

// Add registers a caller and returns its id, the channel that receives its answer, and
// a function that removes it. The function reports whether the caller was still waiting.
func (w *Waiters[A]) Add() (quetzalunit.CallerID, <-chan A, func() bool) {
	ch := make(chan A, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.channels == nil {
		w.channels = make(map[quetzalunit.CallerID]chan A)
	}
	w.lastCaller++
	caller := w.lastCaller
	w.channels[caller] = ch
	return caller, ch, func() bool { return w.remove(caller) != nil }
}

// Answer delivers a caller's answer. It does nothing if the caller was removed or has its answer
// already.
func (w *Waiters[A]) Answer(caller quetzalunit.CallerID, a A) {
	if ch := w.remove(caller); ch != nil {
		ch <- a
	}
}

// Len returns the number of waiting callers.
func (w *Waiters[A]) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.channels)
}

// remove removes a caller and returns its channel, nil if the caller is not waiting.
func (w *Waiters[A]) remove(caller quetzalunit.CallerID) chan A {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch := w.channels[caller]
	delete(w.channels, caller)
	return ch
}
