package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalfront"
	"quetzalstair/quetzalcore/quetzalmetric"
	"quetzalstair/quetzalcore/quetzalpeer"
	"quetzalstair/quetzalcore/quetzalstore"
	"quetzalstair/quetzalcore/quetzalsystem"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// readHeaderTimeout limits the time for reading the header of a request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of a request header in bytes.
	maxHeaderBytes = 16 << 10
	// shutdownTimeout limits the wait for responses that are still being written.
	shutdownTimeout = 5 * time.Second
)

// StopTimeoutError reports that a planned stop ended while requests were still in flight.
type StopTimeoutError struct{ After time.Duration }

// Error implements error.
func (e *StopTimeoutError) Error() string {
	return "planned stop: requests still in flight after " + e.After.String()
}

// serve runs an entry until a signal has begun a planned stop and the stop has ended.
func serve(cfg *quetzalwire.EntrySettings) error {
	logger := newLogger(string(*cfg.LogLevel))
	e := &engine{log: prefixLog{logger: logger, prefix: "engine: "}}
	front := prefixLog{logger: logger, prefix: "front: "}
	closeClients, err := e.openClients(cfg)
	if err != nil {
		return err
	}
	defer closeClients()

	listeners, closeListeners, err := listen(cfg.CallerAddress, cfg.OperatorAddress, *cfg.PeerListen)
	if err != nil {
		return err
	}
	defer closeListeners()

	incarnation := quetzalunit.Incarnation(time.Now().UnixNano())
	stopEngine := e.start(identity(cfg, incarnation))
	defer stopEngine()
	stopPeers, err := e.peerServer.Serve(listeners[2])
	if err != nil {
		return eris.Wrap(err, "serve peers")
	}
	defer stopPeers()

	stopping := make(chan os.Signal, 1)
	signal.Notify(stopping, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stopping)
	s := &servers{engine: e}
	stopServers := s.start(cfg, incarnation, listeners)
	front.info("Serving callers at " + cfg.CallerAddress + ".")

	<-stopping
	front.info("Planned stop begins.")
	err = s.drain(cfg)
	stopServers()
	front.info("Planned stop ends.")
	return err
}

func identity(cfg *quetzalwire.EntrySettings, incarnation quetzalunit.Incarnation) quetzalfleet.Identity {
	return quetzalfleet.Identity{
		SeedAddresses: quetzalcodec.FromStrings[quetzalunit.Address](cfg.Peers),
		Entry:         quetzalunit.EntryID(cfg.Entry), Zone: quetzalunit.ZoneID(cfg.Zone), Incarnation: incarnation,
		PeerAddress: quetzalunit.Address(cfg.PeerAddress), LeaseDuration: millis(*cfg.LeaseMs), PollPeriod: millis(*cfg.PollMs),
		GossipPeriod: millis(*cfg.GossipMs), Retention: millis(*cfg.RetentionMs), Seed: uint64(incarnation),
	}
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// openClients creates the metrics and the clients of the platform, the peers and the
// minions. The returned function closes them.
func (e *engine) openClients(cfg *quetzalwire.EntrySettings) (func(), error) {
	metrics, closeMetrics, err := quetzalmetric.New()
	if err != nil {
		return nil, eris.Wrap(err, "open metrics")
	}
	e.metrics = metrics
	var closeStore, closePeers, closeUpstream func()
	e.store, closeStore = quetzalstore.New(cfg.PlatformURL)
	e.peerClient, closePeers = quetzalpeer.New()
	e.upstream, closeUpstream = quetzalupstream.New()
	e.peerServer = &quetzalpeer.Server{Post: e.inbox.Post, Entry: quetzalunit.EntryID(cfg.Entry), OutcomeWaiters: &e.callers}
	return func() {
		closeUpstream()
		closePeers()
		closeStore()
		closeMetrics()
	}, nil
}

// listen opens a listener for each address. If one fails, it closes the others.
func listen(addresses ...string) ([]net.Listener, func(), error) {
	var open []net.Listener
	cleanup := func() {
		for _, l := range open {
			_ = l.Close()
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			cleanup()
			return nil, nil, eris.Wrap(err, "listen")
		}
		open = append(open, l)
	}
	return open, cleanup, nil
}

// servers are the HTTP servers of an entry.
type servers struct {
	engine  *engine
	callers *http.Server
	// stopping is closed when a planned stop begins.
	stopping chan struct{}
}

// start serves callers and operators. The returned function shuts the servers down and
// waits up to shutdownTimeout for responses that are being written.
func (s *servers) start(
	cfg *quetzalwire.EntrySettings, incarnation quetzalunit.Incarnation, listeners []net.Listener,
) func() {
	e := s.engine
	s.stopping = make(chan struct{})
	callerAPI := &quetzalfront.CallerAPI{
		Post: e.inbox.Post, Waiters: &e.callers, Ready: s.ready, MaxBodyBytes: int64(*cfg.MaxBodyBytes),
		DefaultTimeout: millis(*cfg.DefaultTimeoutMs),
		IDPrefix:       quetzalsystem.GeneratedIDPrefix + cfg.Entry + "~" + strconv.FormatInt(int64(incarnation), 36) + "~",
	}
	operatorAPI := &quetzalfront.OperatorAPI{
		Post: e.inbox.Post, Waiters: &e.operators, Token: cfg.OperatorToken, Version: version, Metrics: e.metrics.Handler(),
	}
	s.callers = newServer(callerAPI.Handler())
	operators := newServer(operatorAPI.Handler())
	go serveHTTP(s.callers, listeners[0], e.log)
	go serveHTTP(operators, listeners[1], e.log)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.callers.Shutdown(ctx)
		_ = operators.Shutdown(ctx)
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func serveHTTP(s *http.Server, l net.Listener, log prefixLog) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		log.warn("An HTTP server failed.", err)
	}
}

// ready reports whether the load balancer may route callers to this entry.
func (s *servers) ready() bool {
	select {
	case <-s.stopping:
		return false
	default:
		return s.engine.ready.Load()
	}
}

// drain performs a planned stop: it makes /readyz return 503, keeps accepting requests
// for StopNoticeMs while the load balancer notices, and then waits for the requests in
// flight for at most StopTimeoutMs.
func (s *servers) drain(cfg *quetzalwire.EntrySettings) error {
	close(s.stopping)
	notice := time.NewTimer(millis(*cfg.StopNoticeMs))
	defer notice.Stop()
	<-notice.C
	s.engine.inbox.Post(quetzalfleet.StopRequested{})
	limit := time.NewTimer(millis(*cfg.StopTimeoutMs))
	defer limit.Stop()
	select {
	case <-s.engine.drained:
		return nil
	case <-limit.C:
		return &StopTimeoutError{After: millis(*cfg.StopTimeoutMs)}
	}
}
