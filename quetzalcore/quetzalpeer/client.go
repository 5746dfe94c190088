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
	// dialTimeout limits how long connecting to a peer may take.
	dialTimeout = time.Second
	// joinMargin is how much longer the client of a join or a forwarded request waits than the
	// server. The server of a forwarded request waits this much beyond the request's timeout.
	joinMargin = time.Second
)

// Client calls peers. New returns one. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	// conns holds the connection to each peer, until a call over it fails.
	conns map[quetzalunit.Address]*peerConn
	bytes atomic.Int64
}

// peerConn is a connection to a peer.
type peerConn struct {
	*rpc.Client
	// mu is held while a call is sent, so that written shows whether it was sent.
	mu sync.Mutex
	// written and read count the bytes written to the connection and read from it.
	written, read *atomic.Int64
}

// newPeerConn returns a peerConn over a connection, whose traffic it adds to n.
func newPeerConn(conn net.Conn, n *atomic.Int64) *peerConn {
	counting := &countingConn{Conn: conn, n: n}
	return &peerConn{Client: rpc.NewClient(counting), written: &counting.written, read: &counting.read}
}

// send sends a call and reports whether any part of it was written to the connection.
func (p *peerConn) send(method string, args, reply any) (*rpc.Call, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.written.Load()
	call := p.Go(method, args, reply, make(chan *rpc.Call, 1))
	return call, p.written.Load() > before
}

// New returns a client and a function that closes its connections.
func New() (*Client, func()) {
	c := &Client{conns: make(map[quetzalunit.Address]*peerConn)}
	return c, c.close
}

// Bytes returns the number of bytes sent and received.
func (c *Client) Bytes() int64 {
	return c.bytes.Load()
}

// Gossip sends a gossip message and returns the reply as an input. After an error the input
// has Failed set.
func (c *Client) Gossip(g *quetzalfleet.SendGossip) (quetzalfleet.GossipAnswered, error) {
	failed := quetzalfleet.GossipAnswered{Peer: g.Peer, Failed: true}
	m, err := quetzalcodec.EncodeGossip(&g.Message)
	if err != nil {
		return failed, err
	}
	var reply quetzalwire.GossipReply
	if err := c.Call(g.Address, serviceName+".Gossip", m, &reply, gossipTimeout); err != nil {
		return failed, err
	}
	return quetzalfleet.GossipAnswered{
		Peer: g.Peer, SeenRevision: quetzalunit.Revision(reply.Seen), SettingsVersion: quetzalunit.Version(reply.SettingsVersion),
		Sponsors: reply.Sponsors,
	}, nil
}

// Join asks the entry that claimed a request for its outcome and returns the reply as an
// input. Its Outcome is nil after an error or when the peer does not know the request.
func (c *Client) Join(j *quetzalfleet.SendJoin) (quetzalfleet.JoinAnswered, error) {
	m := &quetzalwire.JoinMessage{
		Request: string(j.ID), Incarnation: int(j.Incarnation), WaitMs: int(j.Timeout.Milliseconds()),
	}
	var reply quetzalwire.JoinReply
	answered := quetzalfleet.JoinAnswered{Request: j.Request}
	if err := c.Call(j.Address, serviceName+".Join", m, &reply, j.Timeout+joinMargin); err != nil {
		return answered, err
	}
	outcome, err := quetzalcodec.DecodeJoinReply(&reply)
	if err != nil {
		return answered, err
	}
	answered.Outcome = outcome
	return answered, nil
}

// Forward sends a request to an entry of another zone and returns how the attempt ended. The
// result is NotSent if the peer could not be reached or replied that the request did not run,
// and ConnectionFailed after any later error, because the request may have run.
func (c *Client) Forward(f *quetzalfleet.ForwardAttempt) (quetzalfleet.AttemptEnded, error) {
	ended := quetzalfleet.AttemptEnded{Attempt: f.Attempt, Result: quetzalfleet.NotSent{}}
	if _, err := c.connect(f.Address); err != nil {
		return ended, err
	}
	ended.Result = quetzalfleet.ConnectionFailed{}
	var reply quetzalwire.JoinReply
	if err := c.Call(f.Address, serviceName+".Forward", quetzalcodec.EncodeForward(f), &reply, f.Timeout+2*joinMargin); err != nil {
		return ended, err
	}
	ended.Result = quetzalcodec.DecodeForwardReply(&reply)
	return ended, nil
}

// Call calls a method of a peer. A failure closes the connection, and the next call opens another: a
// connection whose other end has vanished shows nothing but calls that time out. It stays open after an
// error that the peer returned, and after a time-out while replies to other calls arrive, which
// closing it would end as well.
func (c *Client) Call(address quetzalunit.Address, method string, args, reply any, timeout time.Duration) error {
	sent, err := c.callOnce(address, method, args, reply, timeout)
	if !sent && errors.Is(err, rpc.ErrShutdown) {
		// The connection was closed before the call was sent, as after a restart of the peer.
		_, err = c.callOnce(address, method, args, reply, timeout)
	}
	return err
}

// callOnce calls a method over one connection and reports whether the call was sent. A call that was
// sent may end with rpc.ErrShutdown too, when both ends close the connection.
func (c *Client) callOnce(address quetzalunit.Address, method string, args, reply any, timeout time.Duration) (bool, error) {
	client, err := c.connect(address)
	if err != nil {
		return false, err
	}
	before := client.read.Load()
	call, sent := client.send(method, args, reply)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		if client.read.Load() > before {
			return sent, eris.Wrap(&TimeoutError{Method: method}, "call peer")
		}
		err = &TimeoutError{Method: method}
	}
	if _, remote := err.(rpc.ServerError); err != nil && !remote { //nolint:errorlint // net/rpc does not wrap
		c.discard(address, client)
	}
	return sent, eris.Wrap(err, "call peer")
}

// connect returns the open connection to a peer, or opens one.
func (c *Client) connect(address quetzalunit.Address) (*peerConn, error) {
	c.mu.Lock()
	client := c.conns[address]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := net.DialTimeout("tcp", string(address), dialTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	client = newPeerConn(conn, &c.bytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = client.Close()
		return other, nil
	}
	c.conns[address] = client
	return client, nil
}

// discard closes a connection and removes it, unless it has been replaced already.
func (c *Client) discard(address quetzalunit.Address, client *peerConn) {
	_ = client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == client {
		delete(c.conns, address)
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.conns {
		_ = client.Close()
		delete(c.conns, address)
	}
}

// countingConn adds the bytes read and written to n, and each to a counter of its own.
type countingConn struct {
	net.Conn
	n             *atomic.Int64
	written, read atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	c.read.Add(int64(n))
	return n, err //nolint:wrapcheck // net/rpc compares the error with io.EOF
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	c.written.Add(int64(n))
	return n, err //nolint:wrapcheck // part of net.Conn
}
