// Package quetzalinbox has the actor that owns a World and the inbox through which any
// goroutine posts inputs to it.
//
// One wake message covers all inputs that wait: the actor takes them in the order of arrival
// and applies them in one tick.
package quetzalinbox

import (
	"sync"
	"time"
)

// Inbox collects inputs of type I until the next tick. It is safe for concurrent use.
type Inbox[I any] struct {
	// SendWake sends the actor a wake message. It must be set before the first input is posted.
	SendWake func()

	mu     sync.Mutex
	inputs []I
	// oldestAt is when the first of inputs was posted, waited how long the first input of the last
	// Drain had waited.
	oldestAt time.Time
	waited   time.Duration
	// wakePending is true from the sending of a wake message until the next Drain.
	wakePending bool
}

// Post adds an input and wakes the actor.
func (b *Inbox[I]) Post(in I) {
	b.mu.Lock()
	if len(b.inputs) == 0 {
		b.oldestAt = time.Now()
	}
	b.inputs = append(b.inputs, in)
	send := !b.wakePending
	b.wakePending = true
	b.mu.Unlock()
	if send {
		b.SendWake()
	}
}

// Wake wakes the actor without adding an input.
func (b *Inbox[I]) Wake() {
	b.mu.Lock()
	send := !b.wakePending
	b.wakePending = true
	b.mu.Unlock()
	if send {
		b.SendWake()
	}
}

// Drain removes and returns all inputs. Later inputs are collected in the memory of spare, which
// the caller must not use until the next Drain.
func (b *Inbox[I]) Drain(spare []I) []I {
	b.mu.Lock()
	defer b.mu.Unlock()
	inputs := b.inputs
	b.waited = 0
	if len(inputs) > 0 {
		b.waited = time.Since(b.oldestAt)
	}
	b.inputs = spare[:0]
	b.wakePending = false
	return inputs
}

// Waited returns how long the oldest input that the last Drain returned had waited.
func (b *Inbox[I]) Waited() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waited
}
