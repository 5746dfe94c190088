package quetzalpeer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = time.Second
	// joinSlack is added to a join's own time-out.
	joinSlack = time.Second
)

// Client calls peers. The zero value is ready for use. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	// open has the connection to each peer that answered last time.
	open  map[quetzalunit.Address]*rpc.Client
	bytes atomic.Int64
}

// New returns a client and a function that closes its connections.
func New() (*Client, func()) {
	c := &Client{open: make(map[quetzalunit.Address]*rpc.Client)}
	return c, c.close
}

// Bytes returns the bytes sent and received.
func (c *Client) Bytes() int64 {
	return c.bytes.Load()
}

// Gossip tells a peer and returns its reply as an input.
func (c *Client) Gossip(t *quetzalfleet.TellPeer) (quetzalfleet.PeerAnswered, error) {
	failed := quetzalfleet.PeerAnswered{Peer: t.Peer, Failed: true}
	m, err := quetzalcodec.EncodeGossip(&t.Message)
	if err != nil {
		return failed, err
	}
	var reply quetzalwire.GossipReply
	if err := c.Call(t.Address, serviceName+".Gossip", m, &reply, gossipTimeout); err != nil {
		return failed, err
	}
	return quetzalfleet.PeerAnswered{
		Peer: t.Peer, Seen: quetzalunit.Revision(reply.Seen), SettingsVersion: quetzalunit.Version(reply.SettingsVersion),
		Sponsors: reply.Sponsors,
	}, nil
}

// Join asks the holder of a claim and returns its reply as an input.
func (c *Client) Join(a *quetzalfleet.AskPeer) (quetzalfleet.JoinAnswered, error) {
	m := &quetzalwire.JoinMessage{
		Request: string(a.ID), Incarnation: int(a.Incarnation), WaitMs: int(a.Timeout.Milliseconds()),
	}
	var reply quetzalwire.JoinReply
	answered := quetzalfleet.JoinAnswered{Request: a.Request}
	if err := c.Call(a.Address, serviceName+".Join", m, &reply, a.Timeout+joinSlack); err != nil {
		return answered, err
	}
	outcome, err := quetzalcodec.JoinOutcome(&reply)
	if err != nil {
		return answered, err
	}
	answered.Outcome = outcome
	return answered, nil
}

// Forward hands a request to a peer and returns how the attempt ended.
func (c *Client) Forward(f *quetzalfleet.ForwardAttempt) (quetzalfleet.AttemptEnded, error) {
	ended := quetzalfleet.AttemptEnded{Attempt: f.Attempt, Result: quetzalfleet.NotSent{}}
	if _, err := c.client(f.Address); err != nil {
		return ended, err
	}
	ended.Result = quetzalfleet.Broken{}
	var reply quetzalwire.JoinReply
	if err := c.Call(f.Address, serviceName+".Forward", quetzalcodec.EncodeForward(f), &reply, f.Timeout+2*joinSlack); err != nil {
		return ended, err
	}
	ended.Result = quetzalcodec.ForwardResult(&reply)
	return ended, nil
}

// Call calls a method of a peer. After a failure the connection is opened anew, since one
// that has gone silent shows no other sign.
func (c *Client) Call(address quetzalunit.Address, method string, args, reply any, timeout time.Duration) error {
	err := c.callOnce(address, method, args, reply, timeout)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection was closed before the call was sent, by a peer that has started anew.
		err = c.callOnce(address, method, args, reply, timeout)
	}
	return err
}

func (c *Client) callOnce(address quetzalunit.Address, method string, args, reply any, timeout time.Duration) error {
	client, err := c.client(address)
	if err != nil {
		return err
	}
	done := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done.Done:
		err = done.Error
	case <-timer.C:
		err = &TimeoutError{Call: method}
	}
	if _, remote := err.(rpc.ServerError); err != nil && !remote { //nolint:errorlint // net/rpc does not wrap
		c.drop(address, client)
	}
	return eris.Wrap(err, "call peer")
}

func (c *Client) client(address quetzalunit.Address) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.open[address]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := net.DialTimeout("tcp", string(address), dialTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	client = rpc.NewClient(&countingConn{Conn: conn, n: &c.bytes})
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.open[address]; other != nil {
		_ = client.Close()
		return other, nil
	}
	c.open[address] = client
	return client, nil
}

func (c *Client) drop(address quetzalunit.Address, client *rpc.Client) {
	_ = client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address] == client {
		delete(c.open, address)
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.open {
		_ = client.Close()
		delete(c.open, address)
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err //nolint:wrapcheck // net/rpc compares with io.EOF
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err //nolint:wrapcheck // part of net.Conn
}
