package quetzalsimulation

import (
	"cmp"
	"fmt"
	"slices"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Submission is a request that the script submitted.
type Submission struct {
	ID    quetzalunit.RequestID
	Entry quetzalunit.EntryID
	// Incarnation identifies the entry process that received the request; zero if the
	// entry was not running.
	Incarnation quetzalunit.Incarnation
	Idempotent  bool
	Queue       quetzalunit.QueueID
	At          quetzalunit.Instant
	Deadline    quetzalunit.Instant
}

// Violation is a violation of a guarantee in a simulation.
type Violation struct {
	// Guarantee names the guarantee.
	Guarantee string
	// Detail describes how it was violated.
	Detail string
}

// Violations returns the violations of the guarantees that callers rely on. It looks only
// at the runs on minions and at the answers to callers, not at the state of entries.
func (sim *Simulation) Violations() []Violation {
	started := make(map[quetzalunit.RequestID]int)
	completed := make(map[quetzalunit.RequestID]int)
	for _, run := range sim.Runs.All() {
		started[run.Request]++
		if run.Completed {
			completed[run.Request]++
		}
	}
	idempotent := make(map[quetzalunit.RequestID]bool)
	for _, s := range sim.Submissions {
		idempotent[s.ID] = s.Idempotent
	}
	var violations []Violation
	for id, n := range started {
		if n > 1 && !idempotent[id] {
			violations = append(violations, Violation{"at most once", fmt.Sprintf("request %s ran %d times", id, n)})
		}
	}
	violations = append(violations, sim.answerViolations(started, completed)...)
	violations = append(violations, sim.poolViolations()...)
	slices.SortFunc(violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Guarantee, b.Guarantee), cmp.Compare(a.Detail, b.Detail))
	})
	return violations
}

// answerViolations compares the outcomes with the runs. A request that ended with NotRun
// or Cancelled must not have run, unless it was submitted more than once.
func (sim *Simulation) answerViolations(started, completed map[quetzalunit.RequestID]int) []Violation {
	var violations []Violation
	ran := make(map[quetzalunit.RequestID]bool)
	for _, a := range sim.Answers {
		if _, ok := a.Outcome.(quetzalfleet.Ran); ok {
			ran[a.Request] = true
		}
	}
	for _, a := range sim.Answers {
		switch o := a.Outcome.(type) {
		case quetzalfleet.Ran:
			if completed[a.Request] == 0 && o.Answer.Status < 500 {
				violations = append(violations, Violation{"answered requests ran", fmt.Sprintf("request %s was answered but no run of it completed", a.Request)})
			}
		case quetzalfleet.NotRun, quetzalfleet.Cancelled:
			if started[a.Request] > 0 && !sim.submittedMoreThanOnce(a.Request) {
				violations = append(violations, Violation{"requests reported as not run did not run", fmt.Sprintf("request %s ran", a.Request)})
			}
		default:
		}
	}
	return violations
}

func (sim *Simulation) submittedMoreThanOnce(id quetzalunit.RequestID) bool {
	n := 0
	for _, s := range sim.Submissions {
		if s.ID == id {
			n++
		}
	}
	return n > 1
}

// RunCount returns the number of runs of a request.
func (sim *Simulation) RunCount(id quetzalunit.RequestID) int {
	n := 0
	for _, run := range sim.Runs.All() {
		if run.Request == id {
			n++
		}
	}
	return n
}

// poolViolations finds runs for different pools that overlap in time on one host.
func (sim *Simulation) poolViolations() []Violation {
	byHost := make(map[quetzalunit.HostID][]Run)
	for _, run := range sim.Runs.All() {
		byHost[run.Host] = append(byHost[run.Host], *run)
	}
	var violations []Violation
	for host, runs := range byHost {
		slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.End > 0 && b.Start >= a.End {
					break
				}
				if a.Pool != b.Pool {
					violations = append(violations, Violation{"one pool per host", fmt.Sprintf(
						"host %s ran request %s for pool %s and request %s for pool %s at the same time", host, a.Request, a.Pool, b.Request, b.Pool,
					)})
				}
			}
		}
	}
	return violations
}

// submissionKey identifies a request at one entry process.
type submissionKey struct {
	id          quetzalunit.RequestID
	incarnation quetzalunit.Incarnation
}

// Unanswered returns the requests whose deadlines have passed without an answer from
// the entry process that received them, if that process is still running.
func (sim *Simulation) Unanswered() []quetzalunit.RequestID {
	answers := make(map[submissionKey]int)
	for _, a := range sim.Answers {
		answers[submissionKey{a.Request, a.Incarnation}]++
	}
	var list []quetzalunit.RequestID
	for _, s := range sim.Submissions {
		e := sim.Entry(s.Entry)
		if s.Incarnation == 0 || e.Dead || s.Incarnation != e.World.Self.Incarnation || s.Deadline >= sim.Now {
			continue
		}
		key := submissionKey{s.ID, s.Incarnation}
		answers[key]--
		if answers[key] < 0 {
			list = append(list, s.ID)
		}
	}
	return list
}

// BudgetViolations returns the violations of availability budgets: pools that have fewer
// serving hosts in a zone than the budget requires, by the committed rows of the table
// service and the real state of the minions.
func (sim *Simulation) BudgetViolations() []Violation {
	var pools []quetzalfleet.PoolRow
	var hosts []quetzalfleet.HostRow
	rows, _ := sim.Platform.Tables.Scan([]string{string(quetzalfleet.TablePools), string(quetzalfleet.TableHosts)}, 0, 0)
	for _, row := range decodeRows(rows) {
		switch v := row.Row.(type) {
		case quetzalfleet.PoolRow:
			pools = append(pools, v)
		case quetzalfleet.HostRow:
			hosts = append(hosts, v)
		default:
		}
	}
	var violations []Violation
	for _, p := range pools {
		for _, b := range p.Budgets {
			if n := sim.servingHosts(hosts, p.ID, b.Zone); n < b.MinHosts {
				violations = append(violations, Violation{"budget", fmt.Sprintf(
					"pool %s has %d of at least %d hosts in zone %s", p.ID, n, b.MinHosts, b.Zone,
				)})
			}
		}
	}
	return violations
}

// StoredHosts returns the hosts as committed in the table service.
func (sim *Simulation) StoredHosts() []quetzalfleet.HostSpec {
	var hosts []quetzalfleet.HostSpec
	rows, _ := sim.Platform.Tables.Scan([]string{string(quetzalfleet.TableHosts)}, 0, 0)
	for _, row := range decodeRows(rows) {
		if h, ok := row.Row.(quetzalfleet.HostRow); ok {
			hosts = append(hosts, h.HostSpec)
		}
	}
	return hosts
}

// servingHosts returns the number of hosts of a pool in a zone that are up and in service.
func (sim *Simulation) servingHosts(hosts []quetzalfleet.HostRow, pool quetzalunit.PoolID, zone quetzalunit.ZoneID) quetzalunit.Hosts {
	var n quetzalunit.Hosts
	for _, h := range hosts {
		m := sim.Minion(h.ID)
		if h.Pool == pool && h.Zone == zone && h.State == quetzalfleet.HostServing && !m.Down && !m.rebooting {
			n++
		}
	}
	return n
}
