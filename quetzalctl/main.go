package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"quetzalstair/quetzalctl/quetzalclient"
	"quetzalstair/quetzalctl/quetzaltext"
)

// version is set by the linker.
var version = "0.1.0"

// Exit statuses of the program.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// globals holds the flags that all commands share.
type globals struct {
	Entry  []string           `env:"QUETZAL_ENTRY" help:"Base URL of an entry's operators' API, such as http://127.0.0.1:7201; repeat it for fallbacks."`
	Token  string             `env:"QUETZAL_TOKEN" help:"The operators' token."`
	Output quetzaltext.Format `short:"o" enum:"table,json,yaml" default:"table" help:"Output format: ${enum}."`
}

func (g *globals) client() *quetzalclient.Client {
	return &quetzalclient.Client{Entries: g.Entry, Token: g.Token}
}

func (g *globals) write(doc any) error {
	return quetzaltext.Write(os.Stdout, g.Output, doc)
}

// commandLine declares the commands and flags for kong.
type commandLine struct {
	globals
	Version   kong.VersionFlag  `help:"Print the version and exit."`
	Status    statusCommand     `cmd:"" help:"Show the state of an entry."`
	Settings  settingsCommand   `cmd:"" help:"Show and change the tree of settings."`
	Pools     poolsCommand      `cmd:"" help:"Show and change pools with their availability budgets."`
	Queues    queuesCommand     `cmd:"" help:"Show and change work queues."`
	Teams     teamsCommand      `cmd:"" help:"Show and change teams with their quotas."`
	Hosts     hostsCommand      `cmd:"" help:"Show, register and move hosts."`
	Waves     wavesCommand      `cmd:"" help:"Plan, start and follow maintenance waves."`
	Decisions decisionsCommand  `cmd:"" help:"Show why hosts moved, were ejected or rebooted."`
	Explain   explainJobCommand `cmd:"" help:"Print the timeline of a job of tasks from the log files of all entries. Calls no entry."`
	Repeats   repeatsCommand    `cmd:"" help:"Explain, from the log files of all entries, the second starts of tasks of which a run ended as done. Calls no entry."`
	Apply     applyCommand      `cmd:"" help:"Create the pools, queues, teams and hosts of a YAML file."`
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("quetzalctl"), kong.Vars{"version": version},
		kong.Description("Operates a quetzalstair fleet. Exit status: 1 failure, 2 invalid command line, 3 conflict, 4 no entry answered."),
		kong.Exit(func(status int) {
			if status != 0 {
				status = exitUsage
			}
			os.Exit(status)
		}))
	err := ctx.Run(&c.globals)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "quetzalctl:", err)
	os.Exit(exitStatus(err))
}

// exitStatus maps an error to an exit status.
func exitStatus(err error) int {
	var unreachable *quetzalclient.UnreachableError
	var api *quetzalclient.APIError
	switch {
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &api) && api.Code == "Conflict":
		return exitConflict
	}
	return exitFailure
}
