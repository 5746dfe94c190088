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

// waitPeriod is the time between two looks at what is waited for.
const waitPeriod = 500 * time.Millisecond

// wavesCommand are the commands on maintenance waves.
type wavesCommand struct {
	List   listWavesCommand  `cmd:"" help:"Show the waves with their progress."`
	Create createWaveCommand `cmd:"" help:"Start a wave, or show with --dry-run what it would do."`
	Pause  pauseWaveCommand  `cmd:"" help:"Take no further host for a wave."`
	Resume resumeWaveCommand `cmd:"" help:"Go on with a paused wave."`
	Cancel cancelWaveCommand `cmd:"" help:"End a wave; hosts under way are finished."`
}

type listWavesCommand struct{}

// Run shows the waves.
func (listWavesCommand) Run(g *globals) error { return show[quetzalwire.WaveList](g, "/waves") }

type createWaveCommand struct {
	changeFlags
	Wave          string   `arg:"" help:"Name of the wave."`
	Zones         []string `help:"Zones that the wave covers; all when absent."`
	Pools         []string `help:"Pools that the wave covers; all when absent."`
	MaxConcurrent int      `default:"2" help:"Hosts out of service for the wave at once in each zone."`
	DryRun        bool     `help:"Show what the wave covers and which hosts the budgets forbid now, and do nothing."`
	Wait          bool     `help:"Wait until the wave has ended, with a line of progress."`
}

// Run starts a wave.
func (c *createWaveCommand) Run(g *globals) error {
	change := quetzalwire.WaveChange{ChangeID: c.id(), Zones: c.Zones, Pools: c.Pools, MaxConcurrent: &c.MaxConcurrent}
	if c.DryRun {
		var plan quetzalwire.WaveList
		if err := g.client().Do(context.Background(), http.MethodPut, "/waves/"+c.Wave+"?DryRun=true", change, &plan); err != nil {
			return err
		}
		return g.write(plan)
	}
	if err := send(g, http.MethodPut, "/waves/"+c.Wave, change); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return waitForWave(g, c.Wave)
}

// waveStateCommand changes the state of a wave.
type waveStateCommand struct {
	changeFlags
	Wave string `arg:"" help:"Name of the wave."`
}

func (c *waveStateCommand) send(g *globals, verb string) error {
	return send(g, http.MethodPost, "/waves/"+c.Wave+"/"+verb, quetzalwire.WaveChange{ChangeID: c.id()})
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

// waitUntil looks again and again until done is true or says why it fails.
func waitUntil(done func() (bool, error)) error {
	ticker := time.NewTicker(waitPeriod)
	defer ticker.Stop()
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		<-ticker.C
	}
}

func waitForWave(g *globals, name string) error {
	return waitUntil(func() (bool, error) {
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

func waitForMove(g *globals, host, pool string) error {
	return waitUntil(func() (bool, error) {
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

// Run sends a change for each pool, queue, team and host, in this order.
func (c *applyCommand) Run(g *globals) error {
	var f quetzalwire.FleetFile
	if _, err := quetzalsettings.Load(c.File, &f); err != nil {
		return err
	}
	quiet := *g
	quiet.Output = "json"
	n := 0
	for _, step := range applySteps(&f) {
		var result quetzalwire.ChangeResult
		if err := quiet.client().Do(context.Background(), http.MethodPut, step.path, step.change, &result); err != nil {
			return eris.Wrap(err, step.path)
		}
		n++
	}
	fmt.Printf("%d changes applied\n", n)
	return nil
}

// step is one change of a fleet file.
type step struct {
	path   string
	change any
}

func applySteps(f *quetzalwire.FleetFile) []step {
	var steps []step
	for _, p := range f.Pools {
		steps = append(steps, step{"/pools/" + p.Pool, quetzalwire.PoolChange{
			ChangeID: newChangeID(), Spare: &p.Spare, Budgets: p.Budgets,
		}})
	}
	for _, q := range f.Queues {
		steps = append(steps, step{"/queues/" + q.Queue, quetzalwire.QueueChange{ChangeID: newChangeID(), Pool: q.Pool}})
	}
	for _, t := range f.Teams {
		steps = append(steps, step{"/teams/" + t.Team, quetzalwire.TeamChange{
			ChangeID: newChangeID(), Weight: t.Weight, MaxQueued: t.MaxQueued,
		}})
	}
	for _, h := range f.Hosts {
		steps = append(steps, step{"/hosts/" + h.Host, quetzalwire.HostChange{
			ChangeID: newChangeID(), Address: h.Address, Zone: h.Zone, Rack: h.Rack, Pool: h.Pool,
		}})
	}
	return steps
}
