package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalwire"
)

// newChangeID returns a random id, by which entries recognize a repeated change.
func newChangeID() string {
	return "ctl-" + rand.Text()
}

// changeFlags holds the flags that all commands with a change share.
type changeFlags struct {
	ChangeID string `name:"change-id" help:"Id of the change; sending it again has no further effect. Generated when absent."`
}

// id returns the id of the change and generates it on first use.
func (f *changeFlags) id() string {
	if f.ChangeID == "" {
		f.ChangeID = newChangeID()
	}
	return f.ChangeID
}

// printDocument gets a document from an entry and prints it.
func printDocument[D any](g *globals, path string) error {
	var doc D
	if err := g.client().Get(context.Background(), path, &doc); err != nil {
		return err
	}
	return g.write(doc)
}

// sendChange sends a change and prints its result.
func sendChange(g *globals, method, path string, change any) error {
	var result quetzalwire.ChangeResult
	if err := g.client().Do(context.Background(), method, path, change, &result); err != nil {
		return err
	}
	return g.write(result)
}

type statusCommand struct{}

// Run shows the state of an entry.
func (statusCommand) Run(g *globals) error {
	return printDocument[quetzalwire.EntryStatus](g, "/status")
}

type decisionsCommand struct{}

// Run shows the recent decisions.
func (decisionsCommand) Run(g *globals) error {
	return printDocument[quetzalwire.DecisionList](g, "/decisions")
}

// settingsCommand groups the commands on the settings tree.
type settingsCommand struct {
	Get      getSettingCommand      `cmd:"" help:"Show the values set on a node."`
	Explain  explainSettingCommand  `cmd:"" help:"Show the effective values at a node, and which node gave each."`
	Set      setSettingCommand      `cmd:"" help:"Set the values of a node; values that are not named are inherited."`
	Delete   deleteSettingCommand   `cmd:"" help:"Delete the values of a node, which then inherits all of them."`
	Versions settingVersionsCommand `cmd:"" help:"Show the version in force at each entry."`
}

type getSettingCommand struct {
	Path string `arg:"" help:"Fleet, Fleet/ZONE or Fleet/ZONE/POOL."`
}

// Run shows the values set on a node.
func (c *getSettingCommand) Run(g *globals) error {
	return printDocument[quetzalwire.SettingsReply](g, "/settings/"+c.Path)
}

type explainSettingCommand struct {
	Path string `arg:"" help:"Fleet, Fleet/ZONE or Fleet/ZONE/POOL."`
}

// Run shows the effective values at a node and where each is set.
func (c *explainSettingCommand) Run(g *globals) error {
	return printDocument[quetzalwire.SettingsReply](g, "/settings/"+c.Path+"?Explain=true")
}

type setSettingCommand struct {
	changeFlags
	Path      string   `arg:"" help:"Fleet, Fleet/ZONE or Fleet/ZONE/POOL."`
	Values    []string `arg:"" help:"Values of the node, such as RetryMaxAttempts=3."`
	IfVersion *int     `help:"Refuse the change unless the node has this version."`
}

// Run sets the values of a node.
func (c *setSettingCommand) Run(g *globals) error {
	change := quetzalwire.SettingChange{ChangeID: c.id(), IfVersion: c.IfVersion}
	lines := make([]string, 0, len(c.Values))
	for _, v := range c.Values {
		lines = append(lines, strings.Replace(v, "=", ": ", 1))
	}
	decoder := yaml.NewDecoder(strings.NewReader(strings.Join(lines, "\n")), yaml.Strict())
	if err := decoder.Decode(&change.Values); err != nil {
		return eris.Wrap(err, "values: see the settings reference in docs/OPERATIONS.md")
	}
	return sendChange(g, http.MethodPut, "/settings/"+c.Path, change)
}

type deleteSettingCommand struct {
	changeFlags
	Path      string `arg:"" help:"Fleet, Fleet/ZONE or Fleet/ZONE/POOL."`
	IfVersion *int   `help:"Refuse the change unless the node has this version."`
}

// Run deletes the values of a node.
func (c *deleteSettingCommand) Run(g *globals) error {
	return sendChange(g, http.MethodDelete, "/settings/"+c.Path, quetzalwire.SettingChange{ChangeID: c.id(), IfVersion: c.IfVersion})
}

type settingVersionsCommand struct{}

// Run shows the settings version in force at each entry.
func (settingVersionsCommand) Run(g *globals) error {
	return printDocument[quetzalwire.VersionsReply](g, "/settings/versions")
}

type poolsCommand struct {
	List listPoolsCommand `cmd:"" help:"Show the pools as the entry sees them in its zone."`
	Set  setPoolCommand   `cmd:"" help:"Create or change a pool."`
}

type listPoolsCommand struct{}

// Run shows the pools.
func (listPoolsCommand) Run(g *globals) error {
	return printDocument[quetzalwire.PoolList](g, "/pools")
}

type setPoolCommand struct {
	changeFlags
	Pool     string         `arg:"" help:"Name of the pool."`
	MinHosts map[string]int `help:"Availability budget by zone, such as --min-hosts=a=2;b=2."`
	Spare    bool           `help:"The pool lends its hosts to others."`
}

// Run creates or changes a pool.
func (c *setPoolCommand) Run(g *globals) error {
	change := quetzalwire.PoolChange{ChangeID: c.id(), Spare: &c.Spare, Budgets: []quetzalwire.ZoneBudget{}}
	for zone, n := range c.MinHosts {
		change.Budgets = append(change.Budgets, quetzalwire.ZoneBudget{Zone: zone, MinHosts: n})
	}
	return sendChange(g, http.MethodPut, "/pools/"+c.Pool, change)
}

type queuesCommand struct {
	List listQueuesCommand `cmd:"" help:"Show the queues with their requests at the entry."`
	Set  setQueueCommand   `cmd:"" help:"Create a queue, or give it to another pool."`
}

type listQueuesCommand struct{}

// Run shows the queues.
func (listQueuesCommand) Run(g *globals) error {
	return printDocument[quetzalwire.QueueList](g, "/queues")
}

type setQueueCommand struct {
	changeFlags
	Queue string `arg:"" help:"Name of the queue."`
	Pool  string `required:"" help:"Pool that serves the queue."`
}

// Run creates or changes a queue.
func (c *setQueueCommand) Run(g *globals) error {
	return sendChange(g, http.MethodPut, "/queues/"+c.Queue, quetzalwire.QueueChange{ChangeID: c.id(), Pool: c.Pool})
}

type teamsCommand struct {
	List listTeamsCommand `cmd:"" help:"Show the teams with their requests at the entry."`
	Set  setTeamCommand   `cmd:"" help:"Create or change a team."`
}

type listTeamsCommand struct{}

// Run shows the teams.
func (listTeamsCommand) Run(g *globals) error {
	return printDocument[quetzalwire.TeamList](g, "/teams")
}

type setTeamCommand struct {
	changeFlags
	Team      string `arg:"" help:"Name of the team."`
	Weight    int    `default:"1" help:"Share of the slots relative to other teams."`
	MaxQueued int    `help:"Quota of queued requests at each entry; 0 leaves it to the settings."`
}

// Run creates or changes a team.
func (c *setTeamCommand) Run(g *globals) error {
	return sendChange(g, http.MethodPut, "/teams/"+c.Team, quetzalwire.TeamChange{
		ChangeID: c.id(), Weight: c.Weight, MaxQueued: c.MaxQueued,
	})
}

type hostsCommand struct {
	List     listHostsCommand    `cmd:"" help:"Show the hosts."`
	Register registerHostCommand `cmd:"" help:"Register a host in a pool."`
	Move     moveHostCommand     `cmd:"" help:"Ask for a host's move to another pool; it begins when the budget permits."`
}

type listHostsCommand struct{}

// Run shows the hosts.
func (listHostsCommand) Run(g *globals) error {
	return printDocument[quetzalwire.HostStatusList](g, "/hosts")
}

type registerHostCommand struct {
	changeFlags
	Host    string `arg:"" help:"Name of the host."`
	Address string `required:"" help:"IP:port of the host's minion."`
	Zone    string `required:"" help:"Availability zone."`
	Rack    string `required:"" help:"Rack."`
	Pool    string `required:"" help:"First pool of the host."`
}

// Run registers a host.
func (c *registerHostCommand) Run(g *globals) error {
	return sendChange(g, http.MethodPut, "/hosts/"+c.Host, quetzalwire.HostChange{
		ChangeID: c.id(), Address: c.Address, Zone: c.Zone, Rack: c.Rack, Pool: c.Pool,
	})
}

type moveHostCommand struct {
	changeFlags
	Host string `arg:"" help:"Name of the host."`
	Pool string `arg:"" help:"Pool that is to own the host."`
	Wait bool   `help:"Wait until the pool owns the host."`
}

// Run requests the move and, with --wait, polls until the pool owns the host.
func (c *moveHostCommand) Run(g *globals) error {
	if err := sendChange(g, http.MethodPost, "/hosts/"+c.Host+"/move", quetzalwire.MoveChange{ChangeID: c.id(), Pool: c.Pool}); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return waitForMove(g, c.Host, c.Pool)
}
