// Package quetzalinbox has the actor that owns a World, and hands it inputs from any goroutine.
//
// The actor is woken once for all inputs that wait, takes them in the order of
// their arrival and applies them in one tick.
package quetzalinbox

import "sync"

// Inbox collects inputs of type I until the next tick. It is safe for concurrent use.
type Inbox[I any] struct {
	// Send wakes the actor; it is set before the first input is posted.
	Send func()

	mu     sync.Mutex
	inputs []I
	// awake tells that a wake message is under way.
	awake bool
}

// Post adds an input and wakes the actor.
func (b *Inbox[I]) Post(in I) {
	b.mu.Lock()
	b.inputs = append(b.inputs, in)
	send := !b.awake
	b.awake = true
	b.mu.Unlock()
	if send {
		b.Send()
	}
}

// Wake wakes the actor without an input.
func (b *Inbox[I]) Wake() {
	b.mu.Lock()
	send := !b.awake
	b.awake = true
	b.mu.Unlock()
	if send {
		b.Send()
	}
}

// Take returns the inputs that wait. The spare slice holds those that come next.
func (b *Inbox[I]) Take(spare []I) []I {
	b.mu.Lock()
	defer b.mu.Unlock()
	inputs := b.inputs
	b.inputs = spare[:0]
	b.awake = false
	return inputs
}
