package quetzalpeer

import (
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// receiver counts the requests that a peer gets.
type receiver struct{ requests chan string }

// Forward implements the method of the same name of a peer.
func (r receiver) Forward(m *quetzalwire.ForwardMessage, reply *quetzalwire.JoinReply) error {
	r.requests <- m.Request
	*reply = quetzalcodec.EncodeJoinReply(quetzalfleet.Ran{Answer: &quetzalfleet.Payload{Status: 200}})
	return nil
}

func startPeer(t *testing.T) (quetzalunit.Address, receiver) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := receiver{requests: make(chan string, 10)}
	stop, err := ServeRPC(l, serviceName, r)
	require.NoError(t, err)
	t.Cleanup(stop)
	return quetzalunit.Address(l.Addr().String()), r
}

// endedConn is a connection whose other end has gone without this end having read so: what is
// written is lost, and reads end once the connection is closed.
type endedConn struct {
	net.Conn
	written chan struct{}
	closed  chan struct{}
}

func (c *endedConn) Write(b []byte) (int, error) {
	select {
	case c.written <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (c *endedConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *endedConn) Close() error {
	close(c.closed)
	return nil
}

func attempt(address quetzalunit.Address) *quetzalfleet.ForwardAttempt {
	return &quetzalfleet.ForwardAttempt{
		Attempt: 1, Address: address, ID: "order", Queue: "proofs", Work: &quetzalfleet.Payload{}, Timeout: 5 * time.Second,
	}
}

// A forwarded request is at a peer when another call closes the connection, as after a time-out, and
// the peer has closed it too. The request may have run, so it must not be sent again.
func TestForwardedRequestIsNotSentTwice(t *testing.T) {
	address, peer := startPeer(t)
	c, closeClient := New()
	defer closeClient()
	conn := &endedConn{written: make(chan struct{}, 1), closed: make(chan struct{})}
	client := newPeerConn(conn, &c.bytes)
	c.conns[address] = client
	result := make(chan quetzalfleet.AttemptEnded, 1)
	go func() {
		ended, _ := c.Forward(attempt(address))
		result <- ended
	}()
	<-conn.written
	c.discard(address, client)
	require.Equal(t, quetzalfleet.AttemptResult(quetzalfleet.ConnectionFailed{}), (<-result).Result)
	require.Empty(t, peer.requests, "sent again")
}

// The connection to a peer that was restarted is found closed before a request is sent over it. The
// request is sent over a new one.
func TestForwardedRequestIsSentAfterARestartOfThePeer(t *testing.T) {
	address, peer := startPeer(t)
	c, closeClient := New()
	defer closeClient()
	conn, server := net.Pipe()
	old := newPeerConn(conn, &c.bytes)
	c.conns[address] = old
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool {
		return old.Call(serviceName+".None", 0, nil) == rpc.ErrShutdown //nolint:errorlint // net/rpc does not wrap
	}, time.Second, time.Millisecond)
	ended, err := c.Forward(attempt(address))
	require.NoError(t, err)
	require.IsType(t, quetzalfleet.Answered{}, ended.Result)
	require.Equal(t, "order", <-peer.requests)
}

// waiting replies to a call after the duration that the call names.
type waiting struct{}

// Wait implements a method of a peer.
func (waiting) Wait(d time.Duration, reply *bool) error {
	time.Sleep(d)
	*reply = true
	return nil
}

// Guards against a call without a reply in time that ends all others on its connection, though replies arrive on it.
func TestCallThatTimesOutEndsNoOtherCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stop, err := ServeRPC(l, serviceName, waiting{})
	require.NoError(t, err)
	t.Cleanup(stop)
	c, closeClient := New()
	defer closeClient()
	address := quetzalunit.Address(l.Addr().String())
	call := func(wait, timeout time.Duration) chan error {
		ended := make(chan error, 1)
		go func() {
			var reply bool
			ended <- c.Call(address, serviceName+".Wait", wait, &reply, timeout)
		}()
		return ended
	}
	require.NoError(t, <-call(0, time.Second))
	long := call(400*time.Millisecond, time.Second)
	late := call(time.Second, 100*time.Millisecond)
	require.NoError(t, <-call(20*time.Millisecond, time.Second))
	var timeout *TimeoutError
	require.ErrorAs(t, <-late, &timeout)
	require.NoError(t, <-long)
}

// Guards against a connection that is kept although its other end has vanished.
func TestSilentConnectionIsClosedAfterATimeout(t *testing.T) {
	address, _ := startPeer(t)
	c, closeClient := New()
	defer closeClient()
	conn := &endedConn{written: make(chan struct{}, 1), closed: make(chan struct{})}
	c.conns[address] = newPeerConn(conn, &c.bytes)
	var timeout *TimeoutError
	require.ErrorAs(t, c.Call(address, serviceName+".Wait", time.Second, new(bool), 50*time.Millisecond), &timeout)
	<-conn.closed
	require.Empty(t, c.conns)
}
