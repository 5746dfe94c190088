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

// serviceName is the name under which the calls are registered.
const serviceName = "Peer"

// gossipTimeout bounds the wait for the World's reply to gossip.
const gossipTimeout = 2 * time.Second

// TimeoutError tells that the World did not answer a peer in time.
type TimeoutError struct{ Call string }

// Error implements error.
func (e *TimeoutError) Error() string {
	return e.Call + ": no answer in time"
}

// Server answers the calls of peers.
type Server struct {
	// Post hands an input to the World.
	Post func(quetzalfleet.Input)
	// Entry is the name that replies carry.
	Entry quetzalunit.EntryID
	// Replies are the peers whose gossip waits for its reply.
	Replies quetzalwaiter.Waiters[quetzalfleet.AnswerGossip]
	// Joins are the peers that wait for the outcome of a request.
	Joins *quetzalwaiter.Waiters[quetzalfleet.AnswerCaller]
}

// calls has the methods that net/rpc exports.
type calls struct{ s *Server }

// Gossip applies what a peer has learnt.
func (c calls) Gossip(m *quetzalwire.GossipMessage, reply *quetzalwire.GossipReply) error {
	message, err := quetzalcodec.DecodeGossip(m)
	if err != nil {
		return err
	}
	caller, answered, forget := c.s.Replies.Add()
	c.s.Post(quetzalfleet.PeerSaid{Caller: caller, Message: message})
	timeout := time.NewTimer(gossipTimeout)
	defer timeout.Stop()
	select {
	case a := <-answered:
		reply.From = string(c.s.Entry)
		reply.Seen = int(a.Seen)
		reply.SettingsVersion = int(a.SettingsVersion)
		reply.Sponsors = a.Sponsors
		return nil
	case <-timeout.C:
		forget()
		return &TimeoutError{Call: "gossip"}
	}
}

// Forward runs a request for an entry of another zone.
func (c calls) Forward(m *quetzalwire.ForwardMessage, reply *quetzalwire.JoinReply) error {
	in, err := quetzalcodec.DecodeForward(m)
	if err != nil {
		return err
	}
	return c.await(reply, "forward", in.Timeout+joinSlack, func(caller quetzalunit.Caller) quetzalfleet.Input {
		in.Caller = caller
		return in
	})
}

// Join waits for the outcome of a request that was claimed here.
func (c calls) Join(m *quetzalwire.JoinMessage, reply *quetzalwire.JoinReply) error {
	wait := time.Duration(m.WaitMs) * time.Millisecond
	return c.await(reply, "join", wait, func(caller quetzalunit.Caller) quetzalfleet.Input {
		return quetzalfleet.JoinArrived{
			Caller: caller, ID: quetzalunit.RequestID(m.Request), Incarnation: quetzalunit.Incarnation(m.Incarnation),
		}
	})
}

// await posts the input of a new caller and waits for the outcome.
func (c calls) await(
	reply *quetzalwire.JoinReply, call string, wait time.Duration, input func(quetzalunit.Caller) quetzalfleet.Input,
) error {
	caller, answered, forget := c.s.Joins.Add()
	c.s.Post(input(caller))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case a := <-answered:
		*reply = quetzalcodec.JoinReply(a.Outcome)
		return nil
	case <-timeout.C:
		if forget() {
			c.s.Post(quetzalfleet.CallerGone{Caller: caller})
		}
		return &TimeoutError{Call: call}
	}
}

// Serve accepts connections of peers. The function that it returns closes the
// listener and every connection, and waits until they are served no more.
func (s *Server) Serve(l net.Listener) (func(), error) {
	return ServeCalls(l, serviceName, calls{s})
}

// ServeCalls serves the methods of a receiver under a name. The function that it returns
// closes the listener and every connection, and waits until they are served no more.
func ServeCalls(l net.Listener, name string, receiver any) (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return nil, eris.Wrap(err, "register peer calls")
	}
	var open connections
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if !open.add(conn) {
				return
			}
			wg.Go(func() {
				server.ServeConn(conn)
				open.remove(conn)
			})
		}
	})
	return func() {
		_ = l.Close()
		open.closeAll()
		wg.Wait()
	}, nil
}

// connections are the open connections of a server.
type connections struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	if c.open == nil {
		c.open = make(map[net.Conn]struct{})
	}
	c.open[conn] = struct{}{}
	return true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
}
