package quetzalpeer

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwaiter"
	"quetzalstair/quetzalcore/quetzalwire"
)

// serviceName is the name under which the methods are registered with net/rpc.
const serviceName = "Peer"

// gossipTimeout limits the wait for the reply to a gossip message, at both ends.
const gossipTimeout = 2 * time.Second

// TimeoutError is the error of a call without a reply in time: a server returns it when the
// World does not answer, a client when the peer does not reply.
type TimeoutError struct{ Method string }

// Error implements error.
func (e *TimeoutError) Error() string {
	return e.Method + ": timed out waiting for the reply"
}

// Server handles the calls of peers.
type Server struct {
	// Post queues an input for the World.
	Post func(quetzalfleet.Input)
	// Entry is the name of this entry, which replies to gossip carry.
	Entry quetzalunit.EntryID
	// GossipWaiters holds the gossip calls that wait for a reply.
	GossipWaiters quetzalwaiter.Waiters[quetzalfleet.AnswerGossip]
	// OutcomeWaiters holds the joins and forwarded requests that wait for an outcome.
	OutcomeWaiters *quetzalwaiter.Waiters[quetzalfleet.AnswerCaller]
}

// rpcMethods has the methods that net/rpc serves.
type rpcMethods struct{ s *Server }

// Gossip applies a peer's gossip message.
func (c rpcMethods) Gossip(m *quetzalwire.GossipMessage, reply *quetzalwire.GossipReply) error {
	message, err := quetzalcodec.DecodeGossip(m)
	if err != nil {
		return err
	}
	caller, answered, cancel := c.s.GossipWaiters.Add()
	c.s.Post(quetzalfleet.GossipArrived{Caller: caller, Message: message})
	timeout := time.NewTimer(gossipTimeout)
	defer timeout.Stop()
	select {
	case a := <-answered:
		reply.From = string(c.s.Entry)
		reply.Seen = int(a.SeenRevision)
		reply.SettingsVersion = int(a.SettingsVersion)
		reply.Sponsors = a.Sponsors
		return nil
	case <-timeout.C:
		cancel()
		return &TimeoutError{Method: "gossip"}
	}
}

// Forward runs a request that an entry of another zone forwarded, and waits for its outcome.
func (c rpcMethods) Forward(m *quetzalwire.ForwardMessage, reply *quetzalwire.JoinReply) error {
	in, err := quetzalcodec.DecodeForward(m)
	if err != nil {
		return err
	}
	return c.awaitOutcome(reply, "forward", in.Timeout+joinMargin, func(caller quetzalunit.CallerID) quetzalfleet.Input {
		in.Caller = caller
		return in
	})
}

// Join waits for the outcome of a request that this entry has claimed.
func (c rpcMethods) Join(m *quetzalwire.JoinMessage, reply *quetzalwire.JoinReply) error {
	wait := time.Duration(m.WaitMs) * time.Millisecond
	return c.awaitOutcome(reply, "join", wait, func(caller quetzalunit.CallerID) quetzalfleet.Input {
		return quetzalfleet.JoinArrived{
			Caller: caller, ID: quetzalunit.RequestID(m.Request), Incarnation: quetzalunit.Incarnation(m.Incarnation),
		}
	})
}

// awaitOutcome registers a caller, posts its input and waits for the outcome. After a timeout it
// tells the World that the caller is gone.
func (c rpcMethods) awaitOutcome(
	reply *quetzalwire.JoinReply, method string, wait time.Duration, input func(quetzalunit.CallerID) quetzalfleet.Input,
) error {
	caller, answered, cancel := c.s.OutcomeWaiters.Add()
	c.s.Post(input(caller))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case a := <-answered:
		*reply = quetzalcodec.EncodeJoinReply(a.Outcome)
		return nil
	case <-timeout.C:
		if cancel() {
			c.s.Post(quetzalfleet.CallerGone{Caller: caller})
		}
		return &TimeoutError{Method: method}
	}
}

// Serve accepts connections of peers in the background. The function that it returns closes
// the listener and all connections, and waits until their goroutines have ended.
func (s *Server) Serve(l net.Listener) (func(), error) {
	return ServeRPC(l, serviceName, rpcMethods{s})
}

// ServeRPC serves the methods of a receiver over net/rpc under a service name, in the
// background. The function that it returns closes the listener and all connections, and waits
// until their goroutines have ended.
func ServeRPC(l net.Listener, name string, receiver any) (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return nil, eris.Wrap(err, "register RPC service")
	}
	var conns connSet
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if !conns.add(conn) {
				return
			}
			wg.Go(func() {
				server.ServeConn(conn)
				conns.remove(conn)
			})
		}
	})
	return func() {
		_ = l.Close()
		conns.closeAll()
		wg.Wait()
	}, nil
}

// connSet is the set of a server's open connections.
type connSet struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// add adds a connection. After closeAll it closes the connection instead and returns false.
func (c *connSet) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	if c.conns == nil {
		c.conns = make(map[net.Conn]struct{})
	}
	c.conns[conn] = struct{}{}
	return true
}

func (c *connSet) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		_ = conn.Close()
	}
}
