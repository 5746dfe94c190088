package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// version is set by the linker.
var version = "0.1.0"

// commandLine declares the commands and flags for kong.
type commandLine struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Platform platformCommand  `cmd:"" help:"Run the platform: table service, list of hosts, reboots."`
	Minions  minionsCommand   `cmd:"" help:"Run minions, each on a port of its own."`
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("quetzalstandin"), kong.Vars{"version": version},
		kong.Description("Simulates the platform and minions, for tests and demonstrations."))
	ctx.FatalIfErrorf(ctx.Run())
}

// serveUntilSignal serves each handler at its address until SIGTERM, SIGINT or the failure of a
// listener. Requests in flight have one second to finish.
func serveUntilSignal(handlers map[string]http.Handler) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var servers []*http.Server
	serveErrors := make(chan error, len(handlers))
	for address, h := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- err
			}
		}()
	}
	var err error
	select {
	case <-signals:
	case err = <-serveErrors:
	}
	for _, s := range servers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = s.Shutdown(ctx)
		cancel()
	}
	return eris.Wrap(err, "serve")
}
