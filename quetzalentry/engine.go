package main

import (
	"context"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalclock"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalinbox"
	"quetzalstair/quetzalcore/quetzalmetric"
	"quetzalstair/quetzalcore/quetzalpeer"
	"quetzalstair/quetzalcore/quetzalstore"
	"quetzalstair/quetzalcore/quetzalsystem"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
	"quetzalstair/quetzalcore/quetzalwaiter"
)

// gaugePeriod is the minimum time between two updates of the gauges.
const gaugePeriod = time.Second

// engine is the actor that owns the World.
type engine struct {
	// world is accessed by the actor's goroutine only.
	world quetzalfleet.World
	inbox quetzalinbox.Actor[quetzalfleet.Input]
	// cancels holds the cancel function of each attempt in flight.
	cancels map[quetzalfleet.Row]context.CancelFunc

	callers    quetzalwaiter.Waiters[quetzalfleet.AnswerCaller]
	operators  quetzalwaiter.Waiters[quetzalfleet.AnswerOperator]
	peerServer *quetzalpeer.Server
	store      *quetzalstore.Client
	peerClient *quetzalpeer.Client
	upstream   *quetzalupstream.Client
	metrics    *quetzalmetric.Metrics
	log        prefixLog

	ready atomic.Bool
	// drained is closed when a planned stop has nothing left in flight.
	drained chan struct{}
	// inFlight counts the goroutines that execute commands.
	inFlight        sync.WaitGroup
	gaugesUpdatedAt quetzalunit.Instant
	// tickTime is the total time spent in ticks; controlTickTime is the part spent in
	// ticks without an input that belongs to a request.
	tickTime, controlTickTime time.Duration
}

// start starts the actor. The returned function stops the actor, cancels the
// attempts in flight and waits for the goroutines that execute commands.
func (e *engine) start(id quetzalfleet.Identity) func() {
	e.world.Self = id
	e.cancels = make(map[quetzalfleet.Row]context.CancelFunc)
	e.drained = make(chan struct{})
	e.inbox.Tick = e.tick
	e.inbox.OnPanic = func(cause any, stack []byte) {
		e.log.warn("A tick panicked; the process exits, since its state may be inconsistent.", eris.Errorf("%v\n%s", cause, stack))
		os.Exit(exitFailure)
	}
	quetzalsystem.Start(&e.world, quetzalclock.Now())
	stop := e.inbox.Start()
	return func() {
		stop()
		for _, cancel := range e.cancels {
			cancel()
		}
		e.inFlight.Wait()
	}
}

// tick runs one tick of the World with the given inputs and executes its commands.
func (e *engine) tick(inputs []quetzalfleet.Input) {
	begin := time.Now()
	for _, in := range inputs {
		if end, ok := in.(quetzalfleet.AttemptEnded); ok {
			e.releaseAttempt(end.Attempt)
		}
	}
	isControl := !hasRequestInput(inputs)
	now := quetzalclock.Now()
	e.world.WallClockOffset = quetzalclock.WallClockOffset(now)
	commands := quetzalsystem.Tick(&e.world, now, inputs)
	e.ready.Store(quetzalsystem.Ready(&e.world))
	for _, c := range commands {
		e.execute(c)
	}
	if next, ok := quetzalsystem.NextTick(&e.world); ok {
		e.inbox.ArmTimer(next, e.world.Now, quetzalclock.Now())
	}
	e.addTickTime(time.Since(begin), isControl)
	e.updateGauges()
}

// addTickTime adds the duration of a tick to the totals.
func (e *engine) addTickTime(d time.Duration, control bool) {
	e.tickTime += d
	if control {
		e.controlTickTime += d
	}
}

// hasRequestInput reports whether any input belongs to a request: it comes from a
// caller, or from a peer or minion on behalf of a request.
func hasRequestInput(inputs []quetzalfleet.Input) bool {
	return slices.ContainsFunc(inputs, func(in quetzalfleet.Input) bool {
		switch in.(type) {
		case quetzalfleet.RequestArrived, quetzalfleet.AttemptEnded, quetzalfleet.CallerGone,
			quetzalfleet.CancelRequested, quetzalfleet.OutcomeRequested, quetzalfleet.JoinArrived, quetzalfleet.JoinAnswered:
			return true
		default:
			return false
		}
	})
}

// releaseAttempt releases the context of a finished attempt. Attempts that were forwarded
// to a peer have none.
func (e *engine) releaseAttempt(attempt quetzalfleet.Row) {
	if cancel := e.cancels[attempt]; cancel != nil {
		cancel()
		delete(e.cancels, attempt)
	}
}
