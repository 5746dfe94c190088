package quetzalinbox

import "github.com/asynkron/protoactor-go/actor"

// throughput is the number of messages that the actor handles before it yields to others.
const throughput = 300

// dispatcher runs the mailbox of an actor on one goroutine. The actor library's own dispatcher starts a goroutine whenever the
// mailbox gets a message while it is empty. At thousands of ticks a second, growing the stacks of these takes a tenth of the
// processor time.
type dispatcher struct {
	work chan func()
	done chan struct{}
}

var _ actor.Dispatcher = (*dispatcher)(nil)

// newDispatcher starts a dispatcher. The function that it returns stops it.
func newDispatcher() (*dispatcher, func()) {
	// The mailbox schedules itself again while its last run is about to return.
	d := &dispatcher{work: make(chan func(), 1), done: make(chan struct{})}
	go d.run()
	return d, func() { close(d.done) }
}

func (d *dispatcher) run() {
	for {
		select {
		case fn := <-d.work:
			fn()
		case <-d.done:
			return
		}
	}
}

// Schedule implements actor.Dispatcher.
func (d *dispatcher) Schedule(fn func()) {
	select {
	case d.work <- fn:
	case <-d.done:
		go fn()
	}
}

// Throughput implements actor.Dispatcher.
func (d *dispatcher) Throughput() int { return throughput }
