package main

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalctl/quetzaltimeline"
)

type explainJobCommand struct {
	Job  string   `arg:"" help:"Id of the job."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of the entries."`
}

// Run prints the log lines of all files that concern the job, in order of time.
func (c *explainJobCommand) Run() error {
	var lines []quetzaltimeline.Line
	for _, name := range c.Logs {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		parsed, err := quetzaltimeline.Read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return err
		}
		lines = append(lines, parsed...)
	}
	timeline := quetzaltimeline.ForJob(lines, c.Job)
	if len(timeline) == 0 {
		return eris.Errorf("no log line mentions job %s", c.Job)
	}
	for i := range timeline {
		fmt.Println(timeline[i].String())
	}
	return nil
}
