package main

import (
	"context"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rotisserie/eris"

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

// gaugePeriod is the least time between two updates of the gauges.
const gaugePeriod = time.Second

// wake is the message that makes the actor tick.
type wake struct{}

// engine is the actor that owns the World.
type engine struct {
	// world is touched by the actor alone.
	world quetzalfleet.World
	inbox quetzalinbox.Inbox[quetzalfleet.Input]
	// timer wakes the actor at the World's next instant.
	timer   *time.Timer
	armedAt quetzalunit.Instant
	// cancels has the cancel function of each attempt in flight.
	cancels map[quetzalfleet.Row]context.CancelFunc
	// spare is the buffer of the last tick's inputs.
	spare []quetzalfleet.Input

	callers   quetzalwaiter.Waiters[quetzalfleet.AnswerCaller]
	operators quetzalwaiter.Waiters[quetzalfleet.AnswerOperator]
	server    *quetzalpeer.Server
	store     *quetzalstore.Client
	peers     *quetzalpeer.Client
	upstream  *quetzalupstream.Client
	metrics   *quetzalmetric.Metrics
	log       partLog

	ready    atomic.Bool
	finished chan struct{}
	// work counts the goroutines that perform commands.
	work     sync.WaitGroup
	gaugesAt quetzalunit.Instant
	// busy is the time spent in ticks, and control that of ticks without an input of
	// a caller or a minion.
	busy, control time.Duration
}

// start spawns the actor. The function that it returns stops it and waits for
// the commands in flight.
func (e *engine) start(id quetzalfleet.Identity) func() {
	e.world.Self = id
	e.cancels = make(map[quetzalfleet.Row]context.CancelFunc)
	e.finished = make(chan struct{})
	system := actor.NewActorSystem(actor.WithLoggerFactory(libraryLogger))
	pid := system.Root.Spawn(actor.PropsFromFunc(e.receive))
	e.inbox.Send = func() { system.Root.Send(pid, wake{}) }
	e.timer = time.AfterFunc(time.Hour, e.inbox.Wake)
	quetzalsystem.Start(&e.world, quetzalunit.InstantOf(time.Now()))
	e.inbox.Wake()
	return func() {
		e.timer.Stop()
		_ = system.Root.StopFuture(pid).Wait()
		for _, cancel := range e.cancels {
			cancel()
		}
		e.work.Wait()
		system.Shutdown()
	}
}

func (e *engine) receive(c actor.Context) {
	if _, ok := c.Message().(wake); !ok {
		return
	}
	// The library would go on after a panic with a World that a half-done tick left.
	defer func() {
		if p := recover(); p != nil {
			e.log.warn("A tick failed; the process ends.", eris.Errorf("%v\n%s", p, debug.Stack()))
			os.Exit(exitFailure)
		}
	}()
	e.tick()
}

// tick takes all waiting inputs, ticks the World once and performs the commands.
func (e *engine) tick() {
	begin := time.Now()
	inputs := e.inbox.Take(e.spare)
	for _, in := range inputs {
		if end, ok := in.(quetzalfleet.AttemptEnded); ok {
			e.endAttempt(end.Attempt)
		}
	}
	isControl := !servesRequests(inputs)
	commands := quetzalsystem.Tick(&e.world, quetzalunit.InstantOf(begin), inputs)
	clear(inputs)
	e.spare = inputs
	e.ready.Store(quetzalsystem.Ready(&e.world))
	for _, c := range commands {
		e.perform(c)
	}
	e.arm()
	e.countTime(time.Since(begin), isControl)
	e.updateGauges()
}

// countTime adds the time of a tick.
func (e *engine) countTime(d time.Duration, control bool) {
	e.busy += d
	if control {
		e.control += d
	}
}

// servesRequests tells whether any input comes from a caller or a minion.
func servesRequests(inputs []quetzalfleet.Input) bool {
	return slices.ContainsFunc(inputs, func(in quetzalfleet.Input) bool {
		switch in.(type) {
		case quetzalfleet.RequestArrived, quetzalfleet.AttemptEnded, quetzalfleet.CallerGone,
			quetzalfleet.CancelAsked, quetzalfleet.ResultAsked, quetzalfleet.JoinArrived, quetzalfleet.JoinAnswered:
			return true
		default:
			return false
		}
	})
}

// endAttempt releases the context of an attempt, if it has one.
func (e *engine) endAttempt(attempt quetzalfleet.Row) {
	if cancel := e.cancels[attempt]; cancel != nil {
		cancel()
		delete(e.cancels, attempt)
	}
}

// arm sets the timer to the World's next instant.
func (e *engine) arm() {
	at, ok := quetzalsystem.NextTick(&e.world)
	if !ok {
		return
	}
	if at == e.armedAt && at > e.world.Now {
		return
	}
	e.armedAt = at
	e.timer.Reset(max(0, time.Duration(at-quetzalunit.InstantOf(time.Now()))))
}
