package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"quetzalstair/quetzalcore/quetzalsettings"
)

// version is set by the linker.
var version = "0.1.0"

// Exit statuses of the program.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// commandLine is the command line of quetzalentry.
type commandLine struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Run     runCommand       `cmd:"" help:"Run an entry until SIGTERM or SIGINT, which begin a planned stop."`
	Check   checkCommand     `cmd:"" help:"Check a settings file and exit: status 0 when it can be used, 2 otherwise."`
}

type runCommand struct {
	Settings string `required:"" help:"YAML file with the entry's settings." placeholder:"FILE"`
}

// Run loads the settings and serves until a planned stop has ended.
func (c *runCommand) Run() error {
	cfg, err := quetzalsettings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	return serve(&cfg)
}

type checkCommand struct {
	Settings string `arg:"" help:"YAML file with an entry's settings." placeholder:"FILE"`
}

// Run validates the settings file.
func (c *checkCommand) Run() error {
	cfg, err := quetzalsettings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("%s: entry %s of zone %s: the settings can be used\n", c.Settings, cfg.Entry, cfg.Zone)
	return nil
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("quetzalentry"), kong.Vars{"version": version},
		kong.Description("Server of an entry of a quetzalstair fleet: serves callers and operators, dispatches requests to minions and manages the hosts of its zone."))
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "quetzalentry:", err)
	var fileErr *quetzalsettings.FileError
	if errors.As(err, &fileErr) {
		os.Exit(exitInvalidSettings)
	}
	os.Exit(exitFailure)
}
