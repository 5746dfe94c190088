package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
	"quetzalstair/quetzalload/quetzalcheck"
	"quetzalstair/quetzalload/quetzalmonitor"
	"quetzalstair/quetzalload/quetzalreport"
	"quetzalstair/quetzalload/quetzalsender"
)

// version is the version that --version prints; the linker flag -X can set it.
var version = "0.1.0"

// commandLine defines the commands and flags of quetzalload.
type commandLine struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Compare compareCommand   `cmd:"" help:"Compare policies with the real systems on a virtual clock."`
	Run     runCommand       `cmd:"" help:"Send a seeded plan of requests and check the answers. Exit status 1 when a guarantee was violated."`
}

// runCommand sends load to entries and checks the answers.
type runCommand struct {
	Entry       []string      `required:"" help:"Base URL of an entry; repeat for each entry."`
	Direct      bool          `help:"The URLs are those of minions: send to them without an entry."`
	Queue       []string      `default:"rota" help:"Queue; repeat for each queue."`
	Team        []string      `help:"Team; repeat for each team."`
	Rate        float64       `default:"100" help:"Requests per second over all queues; --burst exceeds it."`
	For         time.Duration `default:"5s" help:"Length of the plan."`
	Burst       time.Duration `help:"Each queue in turn gets five times its rate for this long, then a twentieth of it."`
	Long        int32         `help:"Share of long requests, in percent."`
	Misdeclared int32         `help:"Share of the long requests that declare themselves short, in percent."`
	Urgent      int32         `help:"Share of urgent requests, in percent."`
	Idempotent  int32         `help:"Share of idempotent requests, in percent."`
	ShortRun    time.Duration `default:"5ms" help:"Run time of short requests."`
	LongRun     time.Duration `default:"2s" help:"Run time of long requests."`
	Timeout     time.Duration `default:"10s" help:"Deadline of each request."`
	OwnIDs      bool          `name:"own-ids" help:"Choose the requests' ids, and send again when an entry does not answer."`
	BodyBytes   int           `default:"64" help:"Size of each body, in bytes."`
	Seed        uint64        `default:"1" help:"Seed of the plan."`
	Log         []string      `help:"Admin URL of stand-in minions, against whose run log the answers are checked; repeat for each."`
	Platform    string        `help:"Admin URL of the stand-in platform, to check the availability budgets from outside."`
	Record      string        `help:"File to write the plan to, for --replay." placeholder:"FILE"`
	Replay      string        `help:"File with a recorded plan to send instead of a new one." type:"existingfile"`
	Report      string        `help:"File for a page with plots." placeholder:"FILE"`
	Progress    bool          `help:"Print progress to standard error."`
}

// Run sends the plan, prints the results and returns an error when a guarantee was
// violated.
func (c *runCommand) Run() error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	sender, cleanup := quetzalsender.New(c.Entry)
	defer cleanup()
	sender.Direct, sender.BodyBytes = c.Direct, c.BodyBytes
	if c.Progress {
		sender.Progress = os.Stderr
	}
	monitor, stopMonitor := quetzalmonitor.Start(c.Platform)
	begin := time.Now()
	results := sender.Send(plan)
	stopMonitor()
	elapsed := time.Since(begin)
	series := latencySeries(results)
	quetzalreport.WriteTable(os.Stdout, series)
	fmt.Printf("%.0f answers per second\n", float64(results.Len())/elapsed.Seconds())
	runs, err := quetzalcheck.ReadRuns(context.Background(), c.Log)
	if err != nil {
		return err
	}
	summary := quetzalcheck.Check(results, runs)
	if len(c.Log) == 0 {
		summary.Lost = 0 // without logs, no run is known
	}
	summary.BudgetViolations = monitor.Violations()
	fmt.Println(summary.String())
	if c.Platform != "" {
		fmt.Printf("budgets: %d violations in %d snapshots\n", monitor.Violations(), monitor.Samples())
	}
	if err := c.writePage(&summary, series); err != nil {
		return err
	}
	return summary.Err()
}

// plan reads the plan from the file of --replay, or generates one and records it when
// --record is set.
func (c *runCommand) plan() (*quetzaltable.Table[quetzalarrival.Arrival], error) {
	if c.Replay != "" {
		f, err := os.Open(c.Replay)
		if err != nil {
			return nil, eris.Wrap(err, "open trace")
		}
		defer f.Close() //nolint:errcheck // the file was only read
		return quetzalarrival.Replay(f)
	}
	plan := quetzalarrival.Plan(c.spec())
	if c.Record == "" {
		return plan, nil
	}
	f, err := os.Create(c.Record)
	if err != nil {
		return nil, eris.Wrap(err, "create trace")
	}
	if err := quetzalarrival.Record(f, plan); err != nil {
		return nil, err
	}
	return plan, eris.Wrap(f.Close(), "close trace")
}

// spec converts the flags to the parameters of a plan.
func (c *runCommand) spec() *quetzalarrival.Spec {
	s := &quetzalarrival.Spec{
		Rate: c.Rate, Duration: c.For, Profile: quetzalarrival.Flat{},
		Long: quetzalunit.Percent(c.Long), Misdeclared: quetzalunit.Percent(c.Misdeclared),
		Urgent: quetzalunit.Percent(c.Urgent), Idempotent: quetzalunit.Percent(c.Idempotent),
		ShortRun: c.ShortRun, LongRun: c.LongRun, Timeout: c.Timeout, OwnIDs: c.OwnIDs, Seed: c.Seed,
	}
	if c.Burst > 0 {
		s.Profile = quetzalarrival.Burst{Duration: c.Burst}
	}
	for _, q := range c.Queue {
		s.Queues = append(s.Queues, quetzalunit.QueueID(q))
	}
	for _, t := range c.Team {
		s.Teams = append(s.Teams, quetzalunit.TeamID(t))
	}
	return s
}

// latencySeries returns histograms: the latencies of all requests and of those that
// ran, by declared class, and the waiting times of urgent requests.
func latencySeries(results *quetzaltable.Table[quetzalsender.Result]) []*quetzalreport.Series {
	all := quetzalreport.NewSeries("all answers")
	fromSend := quetzalreport.NewSeries("ran, from the last send")
	short := quetzalreport.NewSeries("ran, declared Short")
	long := quetzalreport.NewSeries("ran, declared Long")
	urgent := quetzalreport.NewSeries("ran, urgent: wait")
	for _, r := range results.All() {
		all.Record(r.Latency)
		if r.Outcome != quetzalsender.Ran {
			continue
		}
		fromSend.Record(r.ResponseTime)
		switch r.Class.String() {
		case "Long":
			long.Record(r.Latency)
		default:
			short.Record(r.Latency)
		}
		if r.Urgent {
			urgent.Record(r.Latency - r.RunTime)
		}
	}
	return []*quetzalreport.Series{all, fromSend, short, long, urgent}
}

// writePage writes the HTML report when --report is set.
func (c *runCommand) writePage(summary *quetzalcheck.Summary, series []*quetzalreport.Series) error {
	if c.Report == "" {
		return nil
	}
	f, err := os.Create(c.Report)
	if err != nil {
		return eris.Wrap(err, "create report")
	}
	defer f.Close() //nolint:errcheck // WritePage reports failed writes
	return quetzalreport.WritePage(f, "quetzalload", summary.String(), series)
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("quetzalload"), kong.Vars{"version": version},
		kong.Description("Sends seeded open-loop load to a quetzalstair fleet and checks the answers."))
	ctx.FatalIfErrorf(ctx.Run())
}
