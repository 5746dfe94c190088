package quetzalinbox

import (
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"quetzalstair/quetzalcore/quetzalunit"
)

// wake is the message that makes the actor tick.
type wake struct{}

// Actor owns a World: it ticks it when inputs wait and at the instants that the World names.
type Actor[I any] struct {
	Inbox[I]
	// Tick applies inputs to the World and performs what follows. One goroutine calls it at a
	// time; the slice is used again.
	Tick func(inputs []I)
	// Fail reports a tick that panicked; the process must end, since the World is half done.
	Fail func(cause any, stack []byte)

	// timer wakes the actor at the World's next instant, armedAt.
	timer   *time.Timer
	armedAt quetzalunit.Instant
	// spare is the buffer of the last tick's inputs.
	spare []I
}

// Start spawns the actor and wakes it. The function that it returns stops it.
func (a *Actor[I]) Start() func() {
	system := actor.NewActorSystem(actor.WithLoggerFactory(libraryLogger))
	pid := system.Root.Spawn(actor.PropsFromFunc(a.receive))
	a.Send = func() { system.Root.Send(pid, wake{}) }
	a.timer = time.AfterFunc(time.Hour, a.Wake)
	a.Wake()
	return func() {
		a.timer.Stop()
		_ = system.Root.StopFuture(pid).Wait() // it is stopped whatever it answers
		system.Shutdown()
	}
}

// libraryLogger lets the actor library log warnings and errors only.
func libraryLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

func (a *Actor[I]) receive(c actor.Context) {
	if _, ok := c.Message().(wake); !ok {
		return
	}
	// The library would go on after a panic with a World that a half-done tick left.
	defer func() {
		if p := recover(); p != nil {
			a.Fail(p, debug.Stack())
		}
	}()
	inputs := a.Take(a.spare)
	a.Tick(inputs)
	clear(inputs)
	a.spare = inputs
}

// Arm sets the timer to the World's next instant. The present tick was at ticked, and the clock
// shows now.
func (a *Actor[I]) Arm(at, ticked, now quetzalunit.Instant) {
	if at == a.armedAt && at > ticked {
		return
	}
	a.armedAt = at
	a.timer.Reset(max(0, at.Sub(now)))
}
