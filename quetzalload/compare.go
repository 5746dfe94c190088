package main

import (
	"os"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalload/quetzalexperiment"
	"quetzalstair/quetzalload/quetzalreport"
)

// compareCommand runs experiments in a simulation with a virtual clock.
type compareCommand struct {
	Experiment []string `arg:"" optional:"" enum:"lanes,dispatch,retries,quotas,moves,waves" help:"Experiments: ${enum}; all when absent."`
	Seed       uint64   `default:"1" help:"Seed of arrivals and policies."`
	Report     string   `help:"File for a page with tables and bars." placeholder:"FILE"`
}

// Run runs the experiments, prints a table for each and writes the report.
func (c *compareCommand) Run() error {
	names := c.Experiment
	if len(names) == 0 {
		names = []string{"lanes", "dispatch", "retries", "quotas", "moves", "waves"}
	}
	var charts []quetzalreport.Chart
	for _, name := range names {
		for _, e := range experiments(name) {
			table, err := quetzalexperiment.Run(e, c.Seed)
			if err != nil {
				return err
			}
			if err := table.Write(os.Stdout); err != nil {
				return err
			}
			charts = append(charts, table.Chart())
		}
	}
	return c.writeReport(charts)
}

// writeReport writes the HTML report when --report is set.
func (c *compareCommand) writeReport(charts []quetzalreport.Chart) error {
	if c.Report == "" {
		return nil
	}
	f, err := os.Create(c.Report)
	if err != nil {
		return eris.Wrap(err, "create report")
	}
	if err := quetzalreport.WriteCharts(f, "Policies compared", charts); err != nil {
		return err
	}
	return eris.Wrap(f.Close(), "close report")
}

// experiments returns the experiments that a command line argument selects.
func experiments(name string) []quetzalexperiment.Experiment {
	switch name {
	case "lanes":
		return []quetzalexperiment.Experiment{quetzalexperiment.Lanes{}}
	case "dispatch":
		return []quetzalexperiment.Experiment{quetzalexperiment.Dispatch{}}
	case "retries":
		return []quetzalexperiment.Experiment{quetzalexperiment.Retries{}}
	case "quotas":
		return []quetzalexperiment.Experiment{quetzalexperiment.Quotas{}}
	case "moves":
		return []quetzalexperiment.Experiment{
			quetzalexperiment.Moves{Size: quetzalexperiment.Small}, quetzalexperiment.Moves{Size: quetzalexperiment.Large},
		}
	default:
		return []quetzalexperiment.Experiment{
			quetzalexperiment.Waves{Size: quetzalexperiment.Small}, quetzalexperiment.Waves{Size: quetzalexperiment.Large},
		}
	}
}
