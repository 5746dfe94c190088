package quetzaltrial

import (
	"cmp"
	"fmt"
	"slices"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Submitted is a request that the script sent.
type Submitted struct {
	ID    quetzalunit.RequestID
	Entry quetzalunit.EntryID
	// Process is the incarnation of the entry that took the request, zero when it was dead.
	Process    quetzalunit.Incarnation
	Idempotent bool
	Queue      quetzalunit.QueueID
	At         quetzalunit.Instant
	Deadline   quetzalunit.Instant
}

// Breach is a promise that broke in a trial.
type Breach struct {
	Promise string
	Detail  string
}

// Judge returns the promises that broke, from the minions' runs and the callers'
// answers alone.
func (t *Trial) Judge() []Breach {
	started := make(map[quetzalunit.RequestID]int)
	completed := make(map[quetzalunit.RequestID]int)
	for _, run := range t.Runs.All() {
		started[run.Request]++
		if run.Completed {
			completed[run.Request]++
		}
	}
	idempotent := make(map[quetzalunit.RequestID]bool)
	for _, s := range t.Submitted {
		idempotent[s.ID] = s.Idempotent
	}
	var breaches []Breach
	for id, n := range started {
		if n > 1 && !idempotent[id] {
			breaches = append(breaches, Breach{"at most once", fmt.Sprintf("request %s ran %d times", id, n)})
		}
	}
	breaches = append(breaches, t.judgeAnswers(started, completed)...)
	breaches = append(breaches, t.judgePools()...)
	slices.SortFunc(breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.Detail, b.Detail))
	})
	return breaches
}

// judgeAnswers compares the outcomes with the runs. A request id that ended with
// NotRun must not have run unless it was sent again and then ran.
func (t *Trial) judgeAnswers(started, completed map[quetzalunit.RequestID]int) []Breach {
	var breaches []Breach
	ran := make(map[quetzalunit.RequestID]bool)
	for _, a := range t.Answers {
		if _, ok := a.Outcome.(quetzalfleet.Ran); ok {
			ran[a.Request] = true
		}
	}
	for _, a := range t.Answers {
		switch o := a.Outcome.(type) {
		case quetzalfleet.Ran:
			if completed[a.Request] == 0 && o.Answer.Status < 500 {
				breaches = append(breaches, Breach{"answer to the request", fmt.Sprintf("request %s was answered and no run completed", a.Request)})
			}
		case quetzalfleet.NotRun, quetzalfleet.Cancelled:
			if started[a.Request] > 0 && !t.sentMoreThanOnce(a.Request) {
				breaches = append(breaches, Breach{"NotRun is true", fmt.Sprintf("request %s ran", a.Request)})
			}
		default:
		}
	}
	return breaches
}

func (t *Trial) sentMoreThanOnce(id quetzalunit.RequestID) bool {
	n := 0
	for _, s := range t.Submitted {
		if s.ID == id {
			n++
		}
	}
	return n > 1
}

// RunsOf counts the runs of a request.
func (t *Trial) RunsOf(id quetzalunit.RequestID) int {
	n := 0
	for _, run := range t.Runs.All() {
		if run.Request == id {
			n++
		}
	}
	return n
}

// judgePools finds runs for different pools at one time on one host.
func (t *Trial) judgePools() []Breach {
	byHost := make(map[quetzalunit.HostID][]Run)
	for _, run := range t.Runs.All() {
		byHost[run.Host] = append(byHost[run.Host], *run)
	}
	var breaches []Breach
	for host, runs := range byHost {
		slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.End > 0 && b.Start >= a.End {
					break
				}
				if a.Pool != b.Pool {
					breaches = append(breaches, Breach{"one pool a host", fmt.Sprintf(
						"host %s ran %s for %s and %s for %s at one time", host, a.Request, a.Pool, b.Request, b.Pool,
					)})
				}
			}
		}
	}
	return breaches
}

// asked names a request at one entry process.
type asked struct {
	id      quetzalunit.RequestID
	process quetzalunit.Incarnation
}

// Unanswered returns the requests whose deadlines have passed and which the
// entry process that took them, and still lives, has not answered.
func (t *Trial) Unanswered() []quetzalunit.RequestID {
	answers := make(map[asked]int)
	for _, a := range t.Answers {
		answers[asked{a.Request, a.Process}]++
	}
	var list []quetzalunit.RequestID
	for _, s := range t.Submitted {
		e := t.Entry(s.Entry)
		if s.Process == 0 || e.Dead || s.Process != e.World.Self.Incarnation || s.Deadline >= t.Now {
			continue
		}
		key := asked{s.ID, s.Process}
		answers[key]--
		if answers[key] < 0 {
			list = append(list, s.ID)
		}
	}
	return list
}

// BelowBudget returns the pools whose hosts, by the committed rows of the table
// service and the hosts' real state, are fewer than a zone's budget.
func (t *Trial) BelowBudget() []Breach {
	var pools []quetzalfleet.PoolRow
	var hosts []quetzalfleet.HostRow
	rows, _ := t.Platform.Tables.Scan([]string{string(quetzalfleet.TablePools), string(quetzalfleet.TableHosts)}, 0, 0)
	for _, row := range decodeRows(rows) {
		switch v := row.Row.(type) {
		case quetzalfleet.PoolRow:
			pools = append(pools, v)
		case quetzalfleet.HostRow:
			hosts = append(hosts, v)
		default:
		}
	}
	var breaches []Breach
	for _, p := range pools {
		for _, b := range p.Budgets {
			if n := t.serving(hosts, p.ID, b.Zone); n < b.MinHosts {
				breaches = append(breaches, Breach{"budget", fmt.Sprintf(
					"pool %s has %d hosts of %d in zone %s", p.ID, n, b.MinHosts, b.Zone,
				)})
			}
		}
	}
	return breaches
}

// Hosts returns the committed rows of the hosts.
func (t *Trial) Hosts() []quetzalfleet.HostSpec {
	var hosts []quetzalfleet.HostSpec
	rows, _ := t.Platform.Tables.Scan([]string{string(quetzalfleet.TableHosts)}, 0, 0)
	for _, row := range decodeRows(rows) {
		if h, ok := row.Row.(quetzalfleet.HostRow); ok {
			hosts = append(hosts, h.HostSpec)
		}
	}
	return hosts
}

func (t *Trial) serving(hosts []quetzalfleet.HostRow, pool quetzalunit.PoolID, zone quetzalunit.ZoneID) quetzalunit.Hosts {
	var n quetzalunit.Hosts
	for _, h := range hosts {
		m := t.Minion(h.ID)
		if h.Pool == pool && h.Zone == zone && h.State == quetzalfleet.HostServing && !m.Down && !m.rebooting {
			n++
		}
	}
	return n
}
