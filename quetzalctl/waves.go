package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalsettings"
	"quetzalstair/quetzalcore/quetzalwire"
)

// pollPeriod is the time between two polls of a wave or move that a command waits for.
const pollPeriod = 500 * time.Millisecond

// wavesCommand groups the commands on maintenance waves.
type wavesCommand struct {
	List   listWavesCommand  `cmd:"" help:"Show the waves with their progress."`
	Create createWaveCommand `cmd:"" help:"Start a wave, or show with --dry-run what it would do."`
	Pause  pauseWaveCommand  `cmd:"" help:"Take no further host for a wave."`
	Resume resumeWaveCommand `cmd:"" help:"Go on with a paused wave."`
	Cancel cancelWaveCommand `cmd:"" help:"End a wave; hosts under way are finished."`
}

type listWavesCommand struct{}

// Run shows the waves.
func (listWavesCommand) Run(g *globals) error {
	return printDocument[quetzalwire.WaveList](g, "/waves")
}

type createWaveCommand struct {
	changeFlags
	Wave          string   `arg:"" help:"Name of the wave."`
	Zones         []string `help:"Zones that the wave covers; all when absent."`
	Pools         []string `help:"Pools that the wave covers; all when absent."`
	MaxConcurrent int      `default:"2" help:"Maximum number of hosts that the wave takes out of service at once in each zone."`
	DryRun        bool     `help:"Show what the wave covers and which hosts the budgets forbid now, and do nothing."`
	Wait          bool     `help:"Wait until the wave has ended, with a line of progress."`
}

// Run starts a wave, or prints its plan with --dry-run.
func (c *createWaveCommand) Run(g *globals) error {
	change := quetzalwire.WaveChange{ChangeID: c.id(), Zones: c.Zones, Pools: c.Pools, MaxConcurrent: &c.MaxConcurrent}
	if c.DryRun {
		var plan quetzalwire.WaveList
		if err := g.client().Do(context.Background(), http.MethodPut, "/waves/"+c.Wave+"?DryRun=true", change, &plan); err != nil {
			return err
		}
		return g.write(plan)
	}
	if err := sendChange(g, http.MethodPut, "/waves/"+c.Wave, change); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return waitForWave(g, c.Wave)
}

// waveStateCommand is the common part of the commands that pause, resume or cancel a wave.
type waveStateCommand struct {
	changeFlags
	Wave string `arg:"" help:"Name of the wave."`
}

func (c *waveStateCommand) send(g *globals, action string) error {
	return sendChange(g, http.MethodPost, "/waves/"+c.Wave+"/"+action, quetzalwire.WaveChange{ChangeID: c.id()})
}

type pauseWaveCommand struct{ waveStateCommand }

// Run pauses a wave.
func (c *pauseWaveCommand) Run(g *globals) error { return c.send(g, "pause") }

type resumeWaveCommand struct{ waveStateCommand }

// Run resumes a wave.
func (c *resumeWaveCommand) Run(g *globals) error { return c.send(g, "resume") }

type cancelWaveCommand struct{ waveStateCommand }

// Run cancels a wave.
func (c *cancelWaveCommand) Run(g *globals) error { return c.send(g, "cancel") }

// pollUntil calls done every pollPeriod until it returns true or an error.
func pollUntil(done func() (bool, error)) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		<-ticker.C
	}
}

// waitForWave polls a wave until it ends and prints its progress to standard error. It
// returns an error for a cancelled wave.
func waitForWave(g *globals, name string) error {
	return pollUntil(func() (bool, error) {
		var list quetzalwire.WaveList
		if err := g.client().Get(context.Background(), "/waves", &list); err != nil {
			return false, err
		}
		for _, v := range list.Waves {
			if v.Wave.Wave != name {
				continue
			}
			_, _ = fmt.Fprintf(os.Stderr, "wave %s: %s, %d of %d hosts done, %d under way\n", name, v.Wave.State, v.Done, v.Total, v.Active)
			switch v.Wave.State {
			case quetzalwire.WaveDocStateFinished:
				return true, nil
			case quetzalwire.WaveDocStateCancelled:
				return false, eris.Errorf("wave %s was cancelled", name)
			case quetzalwire.WaveDocStateRunning, quetzalwire.WaveDocStatePaused:
			}
		}
		return false, nil
	})
}

// waitForMove polls a host until it serves in the pool and prints its state to standard error.
func waitForMove(g *globals, host, pool string) error {
	return pollUntil(func() (bool, error) {
		var list quetzalwire.HostStatusList
		if err := g.client().Get(context.Background(), "/hosts", &list); err != nil {
			return false, err
		}
		for _, h := range list.Hosts {
			if h.Host.Host != host {
				continue
			}
			_, _ = fmt.Fprintf(os.Stderr, "host %s: %s in pool %s, generation %d\n", host, h.Host.State, h.Host.Pool, h.Host.Generation)
			return h.Host.Pool == pool && h.Host.State == quetzalwire.HostDocStateServing, nil
		}
		return false, nil
	})
}

type applyCommand struct {
	File string `arg:"" help:"YAML file that declares pools, queues, teams and hosts." type:"existingfile"`
}

// Run sends a change for each pool, queue, team and host, in this order, because queues and
// hosts refer to pools. It stops at the first change that fails.
func (c *applyCommand) Run(g *globals) error {
	var f quetzalwire.FleetFile
	if _, err := quetzalsettings.Load(c.File, &f); err != nil {
		return err
	}
	quiet := *g
	quiet.Output = "json"
	n := 0
	for _, change := range fleetChanges(&f) {
		var result quetzalwire.ChangeResult
		if err := quiet.client().Do(context.Background(), http.MethodPut, change.path, change.body, &result); err != nil {
			return eris.Wrap(err, change.path)
		}
		n++
	}
	fmt.Printf("%d changes applied\n", n)
	return nil
}

// fleetChange is one change that a fleet file asks for: the path of the operators' API and the
// document to put there.
type fleetChange struct {
	path string
	body any
}

// fleetChanges lists the changes of a fleet file in the order in which they are sent.
func fleetChanges(f *quetzalwire.FleetFile) []fleetChange {
	var changes []fleetChange
	for _, p := range f.Pools {
		changes = append(changes, fleetChange{"/pools/" + p.Pool, quetzalwire.PoolChange{
			ChangeID: newChangeID(), Spare: &p.Spare, Budgets: p.Budgets,
		}})
	}
	for _, q := range f.Queues {
		changes = append(changes, fleetChange{"/queues/" + q.Queue, quetzalwire.QueueChange{ChangeID: newChangeID(), Pool: q.Pool}})
	}
	for _, t := range f.Teams {
		changes = append(changes, fleetChange{"/teams/" + t.Team, quetzalwire.TeamChange{
			ChangeID: newChangeID(), Weight: t.Weight, MaxQueued: t.MaxQueued,
		}})
	}
	for _, h := range f.Hosts {
		changes = append(changes, fleetChange{"/hosts/" + h.Host, quetzalwire.HostChange{
			ChangeID: newChangeID(), Address: h.Address, Zone: h.Zone, Rack: h.Rack, Pool: h.Pool,
		}})
	}
	return changes
}
