package main

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalctl/quetzaltimeline"
)

type explainJobCommand struct {
	Task quetzaltimeline.Tasks `placeholder:"STEP.TASK" help:"Only the lines of this task and of the whole job; OCCURRENCE.STEP.TASK for one of a repeating job."`
	Job  quetzalunit.JobID     `arg:"" help:"Id of the job."`
	Logs []string              `arg:"" type:"existingfile" help:"Log files of the entries."`
}

// Run prints the terms of the job's pools and the log lines of all files that concern the job, in order of time.
func (c *explainJobCommand) Run() error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	timeline := quetzaltimeline.ForJob(lines, c.Job, c.Task)
	if len(timeline.Lines) == 0 {
		return eris.Errorf("no log line mentions job %s", c.Job)
	}
	fmt.Print(timeline.String())
	return nil
}

type repeatsCommand struct {
	Logs []string `arg:"" type:"existingfile" help:"Log files of the entries."`
}

// Run prints the second starts of the tasks of all jobs that were started again although a run of them ended as done.
func (c *repeatsCommand) Run() error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	repeats := quetzaltimeline.FindRepeats(lines)
	fmt.Print(repeats.String())
	return nil
}

// readLogs reads log files.
func readLogs(names []string) ([]quetzaltimeline.Line, error) {
	var lines []quetzaltimeline.Line
	for _, name := range names {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, eris.Wrap(err, "open log")
		}
		parsed, err := quetzaltimeline.Read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, err
		}
		lines = append(lines, parsed...)
	}
	return lines, nil
}
