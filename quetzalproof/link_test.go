package quetzalproof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
)

// linkFault is a disturbance of the connections between two processes.
//
//sumtype:decl
type linkFault interface{ linkFault() }

type (
	// cut holds back all bytes. They are lost if the caller resets the connection meanwhile.
	cut struct{}
	// cutRequests and cutAnswers hold back the bytes of one direction.
	cutRequests struct{}
	cutAnswers  struct{}
	// delayed delivers each chunk later by a time between Least and Most.
	delayed struct{ Least, Most time.Duration }
	// refusing resets all connections.
	refusing struct{}
	// lossy delivers a share of the chunks later by lossDelay and what follows each behind it.
	lossy struct{ Share float64 }
)

// lossDelay is the time after which a packet that was lost is sent again.
const lossDelay = 220 * time.Millisecond

func (cut) linkFault()         {}
func (cutRequests) linkFault() {}
func (cutAnswers) linkFault()  {}
func (delayed) linkFault()     {}
func (refusing) linkFault()    {}
func (lossy) linkFault()       {}

// direction is one of the directions of a connection.
type direction int

const (
	requests direction = iota
	answers
)

// link carries the connections of an entry to an address.
type link struct {
	rig    *rig
	from   quetzalunit.EntryID
	target quetzalunit.Address
	// fromZone and toZone are the zones of both ends; the platform's services have none.
	fromZone, toZone quetzalunit.ZoneID
	toStore          bool

	mu     sync.Mutex
	faults []*linkFault
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	conns   map[*linkConn]bool
}

// connKey names the upstream side of a connection of a link: the local address alone does not, since it may be that of connections
// to several targets.
type connKey struct {
	local  string
	target quetzalunit.Address
}

// linkConn is a connection of a link.
type linkConn struct {
	link             *link
	caller, upstream *net.TCPConn
	// closed is closed when either side has ended the connection; silent when it delivers nothing any more.
	closed, silent chan struct{}
	closeOnce      sync.Once
}

// chunk is a part of what a side has sent. Its data is nil at the end of the stream.
type chunk struct {
	data []byte
	at   time.Time
}

// gate accepts the connections of the links of an entry. Each link has a loopback address of its own at the port of the gate, since
// the links of a large fleet are more than the files that a process may have open.
type gate struct {
	listener net.Listener
	// links has the links by the last two bytes of their loopback addresses.
	links []*link
}

const (
	loopbackNet  = 127
	gateNet      = 1
	valuesOfByte = 256
)

// openGate opens the gate of an entry. The caller adds its links before it calls serve.
func (r *rig) openGate() *gate {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	require.NoError(r.t, err)
	g := &gate{listener: listener}
	r.t.Cleanup(func() {
		_ = listener.Close()
		for _, l := range g.links {
			l.closeConns()
		}
	})
	return g
}

// addLink adds a link of an entry to an address and returns the address to use instead.
func (r *rig) addLink(from *rigEntry, target quetzalunit.Address, zone quetzalunit.ZoneID) quetzalunit.Address {
	g := from.gate
	l := &link{
		rig: r, from: from.Entry, target: target, fromZone: from.Zone, toZone: zone,
		changed: make(chan struct{}), conns: make(map[*linkConn]bool),
	}
	n := len(g.links)
	g.links, r.links = append(g.links, l), append(r.links, l)
	_, port, err := net.SplitHostPort(g.listener.Addr().String())
	require.NoError(r.t, err)
	return quetzalunit.Address(fmt.Sprintf("%d.%d.%d.%d:%s", loopbackNet, gateNet, n/valuesOfByte, n%valuesOfByte, port))
}

// serve opens a connection to the target of a link for each one that the gate accepts, until the listener is closed.
func (g *gate) serve() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		caller := c.(*net.TCPConn) //nolint:forcetypeassert // the listener is one of TCP
		if l := g.linkOf(caller); l != nil {
			go l.connect(caller)
		} else {
			_ = caller.Close() // the connection is none of an entry
		}
	}
}

// linkOf returns the link to whose address a connection was opened, nil if there is none.
func (g *gate) linkOf(c *net.TCPConn) *link {
	at := c.LocalAddr().(*net.TCPAddr).IP.To4() //nolint:forcetypeassert // the network is TCP
	n := int(at[2])*valuesOfByte + int(at[3])
	if at[0] != loopbackNet || at[1] != gateNet || n >= len(g.links) {
		return nil
	}
	return g.links[n]
}

// connect connects a caller to the target once the link is not cut.
func (l *link) connect(caller *net.TCPConn) {
	c := &linkConn{link: l, caller: caller, closed: make(chan struct{}), silent: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", string(l.target))
	if err == nil && l.refuses() {
		_ = upstream.Close()
		err = errRefused
	}
	if err != nil {
		c.reset()
		return
	}
	c.upstream = upstream.(*net.TCPConn) //nolint:forcetypeassert // the network is TCP
	key := connKey{upstream.LocalAddr().String(), l.target}
	l.rig.origins.Store(key, l.from)
	defer l.rig.origins.Delete(key)
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(requests, caller, c.upstream) })
	pumps.Go(func() { c.pump(answers, c.upstream, caller) })
	pumps.Wait()
	c.reset()
}

// pump copies one direction of a connection.
func (c *linkConn) pump(d direction, from, to *net.TCPConn) {
	const maxChunks, chunkBytes = 64, 32 << 10
	queue := make(chan chunk, maxChunks)
	go func() {
		defer close(queue)
		var last time.Time
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				at := time.Now().Add(c.link.delay())
				if at.Before(last) {
					at = last
				}
				last = at
				select {
				case queue <- chunk{buffer[:n], at}:
				case <-c.closed:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					c.dropIfCut(d)
				}
				return
			}
		}
	}()
	for next := range queue {
		if !c.await(d, next.at) {
			return
		}
		if _, err := to.Write(next.data); err != nil {
			c.reset()
			return
		}
	}
	if c.await(d, time.Time{}) {
		_ = to.CloseWrite() // the other side may have left
	}
}

// dropIfCut ends a connection that its sender has reset while the link is cut. What is held back is lost.
func (c *linkConn) dropIfCut(d direction) {
	held, _ := c.link.holds(d)
	select {
	case <-c.silent:
		held = true
	default:
	}
	if held {
		c.reset()
	}
}

// await waits until a chunk may be delivered. It returns false if it will never be.
func (c *linkConn) await(d direction, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
		return false
	}
	for {
		select {
		case <-c.silent:
			<-c.closed
			return false
		default:
		}
		held, changed := c.link.holds(d)
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// reset closes both sides; unsent bytes are lost.
func (c *linkConn) reset() {
	c.closeOnce.Do(func() {
		close(c.closed)
		for _, side := range []*net.TCPConn{c.caller, c.upstream} {
			if side != nil {
				_ = side.SetLinger(0) // the connection may be closed already
				_ = side.Close()
			}
		}
	})
}

// holds reports whether a direction is held back, and a channel that is closed when that may change.
func (l *link) holds(d direction) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		switch (*f).(type) {
		case cut:
			return true, l.changed
		case cutRequests:
			if d == requests {
				return true, l.changed
			}
		case cutAnswers:
			if d == answers {
				return true, l.changed
			}
		case delayed, lossy, refusing:
		}
	}
	return false, l.changed
}

var errRefused = errors.New("the link refuses connections")

// refuses reports whether the link resets connections.
func (l *link) refuses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.faults, func(f *linkFault) bool {
		_, ok := (*f).(refusing)
		return ok
	})
}

// delay draws by how much the next chunk is late.
func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := time.Duration(0)
	for _, f := range l.faults {
		switch f := (*f).(type) {
		case delayed:
			total += f.Least + l.rig.randomUpTo(f.Most-f.Least)
		case lossy:
			if l.rig.randomUpTo(time.Second) < time.Duration(f.Share*float64(time.Second)) {
				total += lossDelay
			}
		case cut, cutRequests, cutAnswers, refusing:
		}
	}
	return total
}

// begin injects a fault. The returned function ends it.
func (l *link) begin(fault linkFault) (end func()) {
	f := &fault
	update := func(change func()) {
		l.mu.Lock()
		defer l.mu.Unlock()
		change()
		close(l.changed)
		l.changed = make(chan struct{})
	}
	update(func() { l.faults = append(l.faults, f) })
	if _, ok := fault.(refusing); ok {
		l.closeConns()
	}
	return func() {
		update(func() { l.faults = slices.DeleteFunc(l.faults, func(other *linkFault) bool { return other == f }) })
	}
}

// closeConns resets all connections.
func (l *link) closeConns() {
	for _, c := range l.list() {
		c.reset()
	}
}

// silence makes the present connections deliver nothing any more.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		select {
		case <-c.silent:
		default:
			close(c.silent)
		}
	}
}

func (l *link) list() []*linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*linkConn
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}
