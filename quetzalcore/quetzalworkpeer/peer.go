package quetzalworkpeer

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalpeer"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwaiter"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// serviceName is the name under which the methods are registered with net/rpc.
	serviceName = "Work"
	// replyTimeout limits the server's wait for the World's reply.
	replyTimeout = time.Second
	// relayMargin is added to the timeout of a relayed call, for the transfer to the relay and
	// back and for the time that a piece of a response takes to fill.
	relayMargin = 400 * time.Millisecond
)

// Client sends messages to other entries. It is safe for concurrent use.
type Client struct{ Peers *quetzalpeer.Client }

// Send sends a message and returns the reply.
func (c *Client) Send(p *quetzalwork.CallPeer) (quetzalwork.PeerReply, error) {
	var reply quetzalwire.WorkReply
	m := quetzalcodec.EncodeWorkMessage(p.Message)
	err := c.Peers.Call(p.Address, serviceName+".Tell", &m, &reply, p.Timeout)
	var timeout *quetzalpeer.TimeoutError
	if err != nil && !errors.As(err, &timeout) {
		// The connection may have broken at a restart of the peer. Messages are idempotent.
		err = c.Peers.Call(p.Address, serviceName+".Tell", &m, &reply, p.Timeout)
	}
	if err != nil {
		return nil, eris.Wrap(err, "send message to entry")
	}
	return quetzalcodec.DecodeWorkReply(&reply)
}

// Relay asks another entry to make a call to the store.
func (c *Client) Relay(address quetzalunit.Address, m *quetzalwire.RelayMessage) (quetzalwire.RelayReply, error) {
	var reply quetzalwire.RelayReply
	timeout := time.Duration(m.WaitMs)*time.Millisecond + relayMargin
	err := c.Peers.Call(address, serviceName+".Relay", m, &reply, timeout)
	return reply, eris.Wrap(err, "relay")
}

// Server handles the messages of other entries.
type Server struct {
	// Post queues an input for the World.
	Post func(quetzalwork.Input)
	// Relay makes a call to the store for another entry.
	Relay func(*quetzalwire.RelayMessage) quetzalwire.RelayReply
	// ReplyWaiters holds the messages that wait for a reply.
	ReplyWaiters quetzalwaiter.Waiters[quetzalwork.PeerReply]
}

// rpcMethods has the methods that net/rpc serves.
type rpcMethods struct{ s *Server }

// Tell posts a message to the World and waits for the reply.
func (c rpcMethods) Tell(m *quetzalwire.WorkMessage, reply *quetzalwire.WorkReply) error {
	message, err := quetzalcodec.DecodeWorkMessage(m)
	if err != nil {
		return err
	}
	caller, answered, cancel := c.s.ReplyWaiters.Add()
	c.s.Post(quetzalwork.PeerMessageReceived{Caller: caller, Message: message})
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case r := <-answered:
		*reply = quetzalcodec.EncodeWorkReply(r)
		return nil
	case <-timeout.C:
		cancel()
		return &quetzalpeer.TimeoutError{Method: "tell"}
	}
}

// Relay makes a call to the store for the calling entry.
func (c rpcMethods) Relay(m *quetzalwire.RelayMessage, reply *quetzalwire.RelayReply) error {
	*reply = c.s.Relay(m)
	return nil
}

// Serve handles messages in the background, until the function that it returns is called.
func (s *Server) Serve(l net.Listener) (func(), error) {
	return quetzalpeer.ServeRPC(l, serviceName, rpcMethods{s: s})
}
