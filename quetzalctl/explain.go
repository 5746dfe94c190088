package main

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalctl/quetzalstory"
)

type storyCommand struct {
	Job  string   `arg:"" help:"Id of the job."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of the entries."`
}

// Run prints the lines of all files that concern the job, in the order of time.
func (c *storyCommand) Run() error {
	var lines []quetzalstory.Line
	for _, name := range c.Logs {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		read, err := quetzalstory.Read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := quetzalstory.Tell(lines, c.Job)
	if len(story) == 0 {
		return eris.Errorf("no line names the job %s", c.Job)
	}
	for i := range story {
		fmt.Println(story[i].String())
	}
	return nil
}
