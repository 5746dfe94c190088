package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// A task can crash every minion that starts it, together with all other runs there. crash.go counts
// the crashes under each task, gives a task up after a few, and until then starts it on a minion of
// its own, so that it harms no other task and no other task is mistaken for it. Only a crash that is
// proven by a later process on the minion's host counts: a minion that is silent may be cut off. And only one
// soon after the start of the run: a run that survived its start has ended with its minion like any other.

const (
	// crashWindow is the time within which a task that crashes its minions does so after its start.
	crashWindow = time.Second
	// promptCrash is the time within which it usually does. A minion that falls silent within
	// promptCrash of a start has probably been crashed by it.
	promptCrash = 250 * time.Millisecond
	// latestStartMargin is by how much earlier than the last start on a minion another one counts as
	// equally late: the orders of both may have overtaken each other.
	latestStartMargin = 25 * time.Millisecond
	// maxCrashes is the number of crashes after which a task is given up. maxLikelyCrashes is that
	// number if the task is a likely cause of the last one: its run was one of the latest on the minion
	// and at most crashWindow old. maxSoleCrashes is that number if it was also the only run on the
	// minion and no other minion can have crashed at the same time.
	maxCrashes       = 4
	maxLikelyCrashes = 3
	maxSoleCrashes   = 2
	// simultaneousMargin is the margin for the latency of answers when the crashes of two minions are
	// compared.
	simultaneousMargin = 25 * time.Millisecond
	// isolationTimeout is how long a suspect task waits for a minion without runs.
	isolationTimeout = time.Second
	// maxIsolatedShare is the largest share of a pool's minions that are reserved at once for suspect
	// tasks with a single crash. After the crash of a rack, there are many of them.
	maxIsolatedShare = 0.34
)

// runsAtRisk returns the runs that a minion has started and whose ends it has not reported.
func runsAtRisk(w *quetzalwork.World, m *quetzalwork.Minion) []quetzalwork.LostRun {
	latest := latestStart(w, m)
	var runs []quetzalwork.LostRun
	for _, row := range m.Runs {
		if r := w.Runs.At(row); r.State == quetzalwork.RunStarted {
			runs = append(runs, quetzalwork.LostRun{
				Task: taskName(w, w.Tasks.At(r.Task)), Number: r.Number, StartedAt: r.StartedAt, SurvivedStart: r.SurvivedStart,
				Latest: r.StartedAt.Add(latestStartMargin) >= latest, Alone: len(m.Runs) == 1,
			})
		}
	}
	return runs
}

// latestStart returns when the last run that a minion has accepted was started.
func latestStart(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.Instant {
	var latest quetzalunit.Instant
	for _, row := range m.Runs {
		if r := w.Runs.At(row); r.State == quetzalwork.RunStarted {
			latest = max(latest, r.StartedAt)
		}
	}
	return latest
}

// recordSilence records that a minion has begun to miss answers.
func recordSilence(w *quetzalwork.World, m *quetzalwork.Minion) {
	m.Silence = quetzalwork.Silence{Minion: m.ID, AnsweredAt: m.LastAnsweredAt, FirstMissedAt: w.Now}
	for _, row := range m.Runs {
		if r := w.Runs.At(row); r.State == quetzalwork.RunStarted {
			m.Silence.AnsweredAt = max(m.Silence.AnsweredAt, r.AnsweredAt)
		}
	}
	if len(m.Runs) == 0 || m.IsolatedRun != 0 || m.Draining || m.HostWithdrawn {
		// An idle minion is not polled regularly, and the others have a cause of their own.
		return
	}
	p := w.Pools.At(m.PoolRow)
	p.Silences = slices.DeleteFunc(p.Silences, func(s quetzalwork.Silence) bool {
		return w.Now.Sub(s.FirstMissedAt) > removedMinionRetention
	})
	p.Silences = append(p.Silences, m.Silence)
}

// othersFellSilent reports whether another minion of the pool may have crashed at the same time as a
// minion, for instance because their rack lost power.
func othersFellSilent(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	silence := m.Silence
	if m.MissedAnswers == 0 {
		// The minion restarted before it missed an answer.
		silence = quetzalwork.Silence{Minion: m.ID, AnsweredAt: m.LastAnsweredAt, FirstMissedAt: w.Now}
	}
	return slices.ContainsFunc(w.Pools.At(m.PoolRow).Silences, func(s quetzalwork.Silence) bool {
		return s.Minion != m.ID && s.AnsweredAt <= silence.FirstMissedAt.Add(simultaneousMargin) && silence.AnsweredAt <= s.FirstMissedAt.Add(simultaneousMargin)
	})
}

// keepLostRuns records the runs of a minion whose lease has expired. If the minion has crashed, this
// shows only once a later process runs on its host.
func keepLostRuns(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	m.LostRuns = runsAtRisk(w, m)
	for i := range m.LostRuns {
		if lost := &m.LostRuns[i]; !lost.SurvivedStart {
			w.Tasks.At(findTask(w, w.JobByID.Get(lost.Task.Job), lost.Task.TaskRef)).LostStarts++
		}
	}
}

// mayProveCrash reports whether a minion that left the list must be kept, because a later process on
// its host would prove that it crashed under runs that it has lost.
func mayProveCrash(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	return len(m.LostRuns) > 0 && w.Now.Sub(m.RemovedAt) <= removedMinionRetention
}

// crashedRuns returns the runs under which a minion has crashed that is known to have ended. The end of
// a minion that was draining, or whose host was ordered away, is no crash.
func crashedRuns(w *quetzalwork.World, m *quetzalwork.Minion) []quetzalwork.LostRun {
	crashed, runs := m.UnconfirmedRuns, slices.Concat(m.LostRuns, runsAtRisk(w, m))
	m.LostRuns, m.UnconfirmedRuns = nil, nil
	if m.Draining || m.HostWithdrawn {
		return crashed
	}
	others := othersFellSilent(w, m)
	for i := range runs {
		// After a cordon that began later than the run, the host may have been ordered away without a
		// notice.
		if runs[i].StartedAt >= m.CordonedUntil {
			runs[i].OthersSilent = others
			crashed = append(crashed, runs[i])
		}
	}
	return crashed
}

// activeRun returns the row of a lost run that is still in the tables, zero if there is none.
func activeRun(w *quetzalwork.World, lost *quetzalwork.LostRun) quetzalwork.Row {
	task := findTask(w, w.JobByID.Get(lost.Task.Job), lost.Task.TaskRef)
	return w.RunByKey.Get(quetzalwork.RunKey{Task: task, Number: lost.Number})
}

// confirmCrashes counts the crash of a minion's earlier incarnation against the runs that the present
// one has not carried out, by its report.
func confirmCrashes(w *quetzalwork.World, in *quetzalwork.MinionPolled) {
	m := w.Minions.At(in.Minion)
	runs := m.UnconfirmedRuns
	m.UnconfirmedRuns = nil
	for i := range runs {
		lost := &runs[i]
		ended := func(e quetzalwork.ReportedEnd) bool { return e.Task == lost.Task && e.Run == lost.Number }
		switch r := w.Runs.At(activeRun(w, lost)); {
		case r == nil && !slices.ContainsFunc(in.Ends, ended):
			handleCrash(w, m, lost)
		case r != nil && !r.Reported:
			m.UnconfirmedRuns = append(m.UnconfirmedRuns, *lost)
		}
	}
}

// endCrashedRuns ends the runs of a minion that is known to have ended, and counts its crash against
// their tasks.
func endCrashedRuns(w *quetzalwork.World, row quetzalwork.Row, reason string, proof *quetzalwork.Proof) {
	m := w.Minions.At(row)
	runs := crashedRuns(w, m)
	endMinionRuns(w, row, reason, proof)
	for i := range runs {
		handleCrash(w, m, &runs[i])
	}
}

// handleCrash counts the crash of a minion against the task of one of its runs, and fails the job if
// the task is to be given up. A run that has survived its start does not count, and a long-running task that
// has survived one is never given up.
func handleCrash(w *quetzalwork.World, m *quetzalwork.Minion, lost *quetzalwork.LostRun) {
	jobRow := w.JobByID.Get(lost.Task.Job)
	t := w.Tasks.At(findTask(w, jobRow, lost.Task.TaskRef))
	j := w.Jobs.At(jobRow)
	if t == nil || t.State == quetzalwork.TaskDone || j.State.Final() {
		return
	}
	spec := w.Steps.At(t.Step).Spec
	if lost.SurvivedStart || spec.LongRunning && t.SurvivedStart || !recordCrash(w, jobRow, quetzalwork.TaskFailure{TaskRef: lost.Task.TaskRef, Run: lost.Number}) {
		return
	}
	t.Suspect = lost.Latest || t.Crashes > 1
	markProgressChanged(w, jobRow)
	limit, cause := crashLimit(spec, lost)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "A minion has crashed under a run.", Job: j.ID, Task: lost.Task.TaskRef, Run: lost.Number,
		Minion: m.ID, Version: int64(t.Crashes), Age: w.Now.Sub(lost.StartedAt), Reason: cause, Routine: limit == maxCrashes,
	})
	if t.Crashes >= limit {
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartMinion, Message: "A task is given up because minions crash under it.", Job: j.ID, Task: lost.Task.TaskRef, Run: lost.Number,
			Minion: m.ID, Version: int64(t.Crashes), Reason: "Crashes",
		})
		finishJob(w, jobRow, quetzalwork.JobFailed)
	}
}

// crashLimit returns the number of crashes after which a task is given up, by what is known of the
// last one, and why. The other tasks of a gang run on the other minions, so that none is the sole
// cause. A long-running task is started so often that its minion may crash twice for other reasons.
func crashLimit(spec *quetzalwork.StepSpec, lost *quetzalwork.LostRun) (quetzalunit.Failures, string) {
	switch {
	case !lost.Latest:
		return maxCrashes, "LaterStarts"
	case spec.LongRunning:
		return maxCrashes, "LongRunning"
	case !lost.Alone || spec.Gang:
		return maxLikelyCrashes, "OtherRuns"
	case lost.OthersSilent:
		return maxLikelyCrashes, "OtherMinions"
	default:
		return maxSoleCrashes, "OnlyRun"
	}
}

// recordCrash records a run under which its minion crashed. It returns false if the run is recorded
// already.
func recordCrash(w *quetzalwork.World, jobRow quetzalwork.Row, c quetzalwork.TaskFailure) bool {
	j := w.Jobs.At(jobRow)
	if slices.Contains(j.Progress.Crashes, c) || j.Progress.DoneOccurrences.Contains(c.Occurrence) {
		return false
	}
	j.Progress.Crashes = append(j.Progress.Crashes, c)
	countCrash(w, jobRow, c.TaskRef)
	return true
}

// countCrash counts a recorded crash against its task, which is then suspect: the record does not
// tell whether the task is a likely cause.
func countCrash(w *quetzalwork.World, jobRow quetzalwork.Row, ref quetzalwork.TaskRef) {
	if t := w.Tasks.At(findTask(w, jobRow, ref)); t != nil {
		t.Crashes++
		t.Suspect = true
	}
}

// markStartSurvived records that a run did not crash its minion by being started. Its task is no
// longer suspect, and the minion takes other runs again.
func markStartSurvived(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.Runs.At(row)
	t, m := w.Tasks.At(r.Task), w.Minions.At(r.Minion)
	r.SurvivedStart, t.SurvivedStart, t.Suspect = true, true, false
	if m.IsolatedRun == row {
		m.IsolatedRun = 0
		w.Pools.At(m.PoolRow).NeedsPlacement = true
	}
}

// mayIsolate reports whether another minion of a pool may be reserved for a suspect task. From the
// second crash on it always may: if two such tasks ran on one minion, the third crash would be the
// end of both.
func mayIsolate(w *quetzalwork.World, p *quetzalwork.Pool, t *quetzalwork.Task) bool {
	if t.Crashes > 1 {
		return true
	}
	isolated := 1
	for _, row := range p.Minions {
		if w.Minions.At(row).IsolatedRun != 0 {
			isolated++
		}
	}
	return isolated == 1 || float64(isolated) <= maxIsolatedShare*float64(len(p.Minions))
}

// isolationWait returns the instant up to which a task waits although a minion has room for it, zero
// if it is to start. A suspect task waits for a minion without runs that may be reserved for it.
func isolationWait(w *quetzalwork.World, p *quetzalwork.Pool, t *quetzalwork.Task, minion quetzalwork.Row) quetzalunit.Instant {
	if !t.Suspect || len(w.Minions.At(minion).Runs) == 0 && mayIsolate(w, p, t) {
		return 0
	}
	if t.IsolationDeadline == 0 {
		t.IsolationDeadline = w.Now.Add(isolationTimeout)
	}
	if w.Now >= t.IsolationDeadline {
		return 0
	}
	return t.IsolationDeadline
}

// isolationLeft returns how long a minion may delay its answer to a poll so that it reports an
// isolated run as soon as that has survived its start.
func isolationLeft(w *quetzalwork.World, m *quetzalwork.Minion) time.Duration {
	r := w.Runs.At(m.IsolatedRun)
	if r == nil {
		return pollWait
	}
	return max(0, crashWindow-w.Now.Sub(r.StartedAt))
}

// mayCopy reports whether a copy of a slow run may be started. A copy is a start, too: a task that
// crashes its minions has at most one before the first crash is proven, and none if its minion fell
// silent right after the start. The starts by an earlier dispatcher are not known, so that its jobs
// have none either while the minion is silent.
func mayCopy(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) bool {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	switch {
	case t.Crashes > 0:
		return false
	case r.SurvivedStart:
		return true
	case t.EarlyCopies > 0 || t.LostStarts > 0:
		return false
	}
	m := w.Minions.At(r.Minion)
	if m.MissedAnswers == 0 {
		return true
	}
	likely := m.Silence.FirstMissedAt.Sub(r.StartedAt) <= promptCrash && r.StartedAt.Add(latestStartMargin) >= latestStart(w, m)
	return !likely && w.Jobs.At(w.Steps.At(t.Step).Job).DutyRevision >= quetzalunit.Revision(p.Token)
}
