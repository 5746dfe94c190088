package quetzallink

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
	// serviceName is the name under which the calls are registered.
	serviceName = "Work"
	// replyTimeout bounds the wait for the World's reply.
	replyTimeout = time.Second
	// relaySlack is added to a relayed call's own time for the way.
	relaySlack = 200 * time.Millisecond
)

// Client sends messages to other entries. It is safe for concurrent use.
type Client struct{ Peers *quetzalpeer.Client }

// Ask sends a message and returns its reply, nil with an error when there is none.
func (c *Client) Ask(a *quetzalwork.AskPeer) (quetzalwork.PeerReply, error) {
	var reply quetzalwire.WorkReply
	m := quetzalcodec.EncodeWorkMessage(a.Message)
	err := c.Peers.Call(a.Address, serviceName+".Tell", &m, &reply, a.Timeout)
	var timeout *quetzalpeer.TimeoutError
	if err != nil && !errors.As(err, &timeout) {
		// Every message may be heard twice; the peer may have started anew.
		err = c.Peers.Call(a.Address, serviceName+".Tell", &m, &reply, a.Timeout)
	}
	if err != nil {
		return nil, eris.Wrap(err, "ask entry")
	}
	return quetzalcodec.DecodeWorkReply(&reply)
}

// Relay lets another entry make a call of the store.
func (c *Client) Relay(address quetzalunit.Address, m *quetzalwire.RelayMessage) (quetzalwire.RelayReply, error) {
	var reply quetzalwire.RelayReply
	timeout := time.Duration(m.WaitMs)*time.Millisecond + relaySlack
	err := c.Peers.Call(address, serviceName+".Relay", m, &reply, timeout)
	return reply, eris.Wrap(err, "relay")
}

// Server answers the messages of other entries.
type Server struct {
	// Post hands an input to the World.
	Post func(quetzalwork.Input)
	// Relay makes a call of the store for another entry.
	Relay func(*quetzalwire.RelayMessage) quetzalwire.RelayReply
	// Replies are the messages that wait for their reply.
	Replies quetzalwaiter.Waiters[quetzalwork.PeerReply]
}

// calls has the methods that net/rpc exports.
type calls struct{ s *Server }

// Tell hands a message to the World.
func (c calls) Tell(m *quetzalwire.WorkMessage, reply *quetzalwire.WorkReply) error {
	message, err := quetzalcodec.DecodeWorkMessage(m)
	if err != nil {
		return err
	}
	caller, answered, forget := c.s.Replies.Add()
	c.s.Post(quetzalwork.PeerAsked{Caller: caller, Message: message})
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case r := <-answered:
		*reply = quetzalcodec.EncodeWorkReply(r)
		return nil
	case <-timeout.C:
		forget()
		return &quetzalpeer.TimeoutError{Call: "tell"}
	}
}

// Relay makes a call of the store.
func (c calls) Relay(m *quetzalwire.RelayMessage, reply *quetzalwire.RelayReply) error {
	*reply = c.s.Relay(m)
	return nil
}

// Serve answers messages on a listener until the function that it returns is called.
func (s *Server) Serve(l net.Listener) (func(), error) {
	return quetzalpeer.ServeCalls(l, serviceName, calls{s: s})
}
