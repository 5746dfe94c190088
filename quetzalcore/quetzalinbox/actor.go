package quetzalinbox

import (
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"quetzalstair/quetzalcore/quetzalunit"
)

// wakeMessage is the message on which the actor ticks its World.
type wakeMessage struct{}

// Actor owns a World. It ticks the World when inputs wait and at the instants set with ArmTimer.
type Actor[I any] struct {
	Inbox[I]
	// Tick applies inputs to the World and executes the resulting commands. Calls do not
	// overlap. The slice is reused after Tick returns.
	Tick func(inputs []I)
	// OnPanic reports a panic in Tick. It must end the process, since the World may be
	// inconsistent.
	OnPanic func(cause any, stack []byte)

	// timer wakes the actor at armedAt, the instant of the World's next timed tick.
	timer   *time.Timer
	armedAt quetzalunit.Instant
	// spare is the slice of the last tick's inputs, reused for later inputs.
	spare []I
}

// Start starts the actor and wakes it. The function that it returns stops it.
func (a *Actor[I]) Start() func() {
	system := actor.NewActorSystem(actor.WithLoggerFactory(actorLogger))
	d, stopDispatcher := newDispatcher()
	pid := system.Root.Spawn(actor.PropsFromFunc(a.receive, actor.WithDispatcher(d)))
	a.SendWake = func() { system.Root.Send(pid, wakeMessage{}) }
	a.timer = time.AfterFunc(time.Hour, a.Wake)
	a.Wake()
	return func() {
		a.timer.Stop()
		_ = system.Root.StopFuture(pid).Wait() // the actor has stopped even if this returns an error
		system.Shutdown()
		stopDispatcher()
	}
}

// actorLogger returns a logger that passes the actor library's warnings and errors only.
func actorLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

func (a *Actor[I]) receive(c actor.Context) {
	if _, ok := c.Message().(wakeMessage); !ok {
		return
	}
	// The actor library recovers from a panic and would go on with the World in the state that
	// an incomplete tick left.
	defer func() {
		if p := recover(); p != nil {
			a.OnPanic(p, debug.Stack())
		}
	}()
	inputs := a.Drain(a.spare)
	a.Tick(inputs)
	clear(inputs)
	a.spare = inputs
}

// ArmTimer sets the timer to at, the instant of the World's next timed tick. ticked is the instant
// of the current tick and now the current time. A timer that is set to the same instant already
// and has not yet fired stays as it is.
func (a *Actor[I]) ArmTimer(at, ticked, now quetzalunit.Instant) {
	if at == a.armedAt && at > ticked {
		return
	}
	a.armedAt = at
	a.timer.Reset(max(0, at.Sub(now)))
}
