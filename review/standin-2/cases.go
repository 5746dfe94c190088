package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cases has the cases by the names of their folders, and two scenarios of the report. Each returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"6":       dayOfJobsLost,
	"7":       manyStepsLost,
	"8":       movedQueueTwice,
	"9":       cancelledUnasked,
	"10":      lostMinionLost,
	"flaps":   flappingMinionLost,
	"removed": removedQueueBudget,
}

const (
	coresOfMinion = 32000
	// configApply is configApplyMs and one second more.
	configApply = 3 * time.Second
	cancelMs    = 3 * time.Second
	// flapPeriod and flapTime are the figures of srv_flap in the site file of the grown Guild Flavour Rota.
	flapPeriod = 940 * time.Millisecond
	flapTime   = 5700 * time.Millisecond
)

// start starts n minions of each service and three entries, and waits until these are ready and have shared their duties.
func start(w *world, n int, services ...string) error {
	for _, s := range services {
		if err := w.addMinions(s, n, coresOfMinion); err != nil {
			return err
		}
	}
	if err := w.addEntries(3); err != nil {
		return err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// startJob hands a job in and waits until a minion has started n of its tasks. It returns the starts.
func (w *world) startJob(path, id, body string, n int) ([]event, error) {
	if err := w.submit(path+id, body); err != nil {
		return nil, err
	}
	starts, ok := w.await(10*time.Second, n, "start", id)
	if !ok {
		return nil, fmt.Errorf("%w: job %s does not start", errUnusable, id)
	}
	return starts, nil
}

// step returns a step of a job.
func step(count int, cpu, estimateMs int64, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "memMb": 100, "estimateMs": estimateMs}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// minionOf returns the id of the minion of an event.
func minionOf(e event) string { return strings.Fields(e.text)[1] }

// field returns a word of an event.
func field(e event, i int) string { return strings.Fields(e.text)[i] }

// ranTwice reports whether a task without copies had two runs at the same time, or was started after the end of a run that
// was done and that was taken note of.
func ranTwice(w *world, task string) bool {
	const runField = 5
	endOf := map[string]int64{}
	for _, e := range w.lines("end", task) {
		endOf[minionOf(e)+"/"+field(e, runField)] = e.at
	}
	starts := w.lines("start", task)
	for i, s := range starts {
		for _, earlier := range starts[:i] {
			end, ended := endOf[minionOf(earlier)+"/"+field(earlier, runField)]
			if !ended || end > s.at {
				return true
			}
		}
		for _, e := range w.lines("noted", task, "done") {
			run := minionOf(e) + "/" + field(e, runField)
			if endOf[run] < s.at {
				return true
			}
		}
	}
	return false
}

// dayOfJobsLost kills all entries after the queue has served for a day, and hands a job in once they are ready again.
//
// The rows of the day are copies, under other ids, of the rows that the system has written itself for jobs that it has run.
func dayOfJobsLost(w *world) (bool, error) {
	const (
		id = "00000000000000e1"
		// jobsOfDay is a day of tub-count, 11.5 jobs a second.
		jobsOfDay = 993_600
		// finish is finish_s, and stalled the time for which a job may have nothing running after that.
		finish, stalled = 14 * time.Second, 3 * time.Second
		watch           = 60 * time.Second
	)
	w.configure([]string{"north"}, route("r-desk", "/desk/", "north", nil))
	if err := start(w, 4, "north"); err != nil {
		return false, err
	}
	body := job("ms=500", step(6, 1000, 500, nil))
	for i := range 32 {
		if err := w.submit(fmt.Sprintf("/desk/%016x", 0xa000000000000000+uint64(i)*0x9e3779b97f4a7c1), body); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	rows, err := w.copyFinishedJobs(jobsOfDay)
	if err != nil {
		return false, err
	}
	w.store.addEarlier(rows)
	w.note("case the store has", len(rows), "rows of", jobsOfDay, "finished jobs")
	if w.trouble {
		for _, e := range w.entries {
			w.killEntry(e)
		}
		time.Sleep(restartDelay)
		for _, e := range w.entries {
			if err := w.startEntry(e); err != nil {
				return false, err
			}
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.enforceMemory(stop)
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	if err := w.submit("/desk/"+id, body); err != nil {
		return false, err
	}
	accepted := time.Now()
	broken := false
	for time.Since(accepted) < watch {
		if _, started := w.await(time.Second, 1, "start", id); started {
			w.note("case the job began", time.Since(accepted), "after it was accepted")
			break
		}
		w.call(w.entries[0], http.MethodGet, "/desk/"+id, "")
		broken = broken || time.Since(accepted) > finish+stalled
	}
	return broken, nil
}

// copyFinishedJobs returns the rows of n finished jobs, as copies of those of the jobs that have been run.
func (w *world) copyFinishedJobs(n int) ([]row, error) {
	const suffix = ".Progress"
	var finished [][2]row
	w.store.mu.Lock()
	for id, progress := range w.store.rows {
		if strings.HasPrefix(id.Table, "Work") && strings.HasSuffix(id.Key, suffix) {
			finished = append(finished, [2]row{w.store.rows[rowID{id.Table, id.Part, strings.TrimSuffix(id.Key, suffix)}], progress})
		}
	}
	w.store.mu.Unlock()
	if len(finished) == 0 {
		return nil, fmt.Errorf("%w: no finished job", errUnusable)
	}
	rows := make([]row, 0, 2*n)
	for i := range n {
		key := fmt.Sprintf("%016x", 0x1000000000000000+uint64(i))
		for k, r := range finished[i%len(finished)] {
			r.Key, r.RowVersion = key, int64(i+1)
			if k == 1 {
				r.Key += suffix
			}
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// manyStepsLost hands in one job of many steps that a last step waits for, and small jobs of the same queue after it.
func manyStepsLost(w *world) (bool, error) {
	const (
		id   = "00000000000000c1"
		wide = 9000
		// finish is finish_s, and stalled the time for which a job may have nothing running after that.
		finish, stalled = 14 * time.Second, 3 * time.Second
		watch           = 40 * time.Second
		smallJobs       = 6
	)
	w.configure([]string{"north"}, route("r-desk", "/desk/", "north", nil))
	if err := start(w, 4, "north"); err != nil {
		return false, err
	}
	// Without trouble, the same tasks are those of a single step.
	steps := []map[string]any{step(wide, 1, 300, nil), step(1, 1, 300, map[string]any{"after": []int{0}})}
	if w.trouble {
		steps = nil
		after := make([]int, wide)
		for i := range wide {
			after[i] = i
			steps = append(steps, map[string]any{"count": 1, "cpu": 1})
		}
		steps = append(steps, map[string]any{"count": 1, "cpu": 1, "after": after})
	}
	body, _ := json.Marshal(map[string]any{"spec": "ms=300 cpu=1", "steps": steps})
	w.note("case hands in a job with", len(steps), "steps and", wide+1, "tasks, body of", len(body), "bytes")
	for _, e := range w.entries {
		if status, _ := w.call(e, http.MethodPost, "/desk/"+id, string(body)); status == http.StatusOK {
			break
		}
	}
	accepted := map[string]time.Time{}
	for i := range smallJobs {
		small := fmt.Sprintf("00000000000001%02x", i)
		if status, _ := w.call(w.entries[i%len(w.entries)], http.MethodPost, "/desk/"+small, job("ms=300", step(1, 1000, 300, nil))); status == http.StatusOK {
			accepted[small] = time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return false, fmt.Errorf("%w: no job is accepted", errUnusable)
	}
	broken := false
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(2 * time.Second) {
		waiting := 0
		for small, at := range accepted {
			if len(w.lines("start", small)) == 0 {
				waiting++
				broken = broken || time.Since(at) > finish+stalled
			}
		}
		w.note("case", waiting, "of", len(accepted), "accepted small jobs have not begun")
		if waiting == 0 {
			break
		}
		w.call(w.entries[0], http.MethodGet, "/desk/"+id, "")
	}
	return broken, nil
}

// movedQueueTwice sends a queue to another service, by a version that removes its route and a version that adds it again,
// while a request with a job arrives once more.
func movedQueueTwice(w *world) (bool, error) {
	const id = "00000000000000b1"
	body := job("ms=8000", step(1, 1000, 8000, nil))
	services := []string{"north", "south"}
	other := route("r-other", "/other/", "north", nil)
	w.configure(services, other, route("r-desk", "/desk/", "north", nil))
	if err := start(w, 3, services...); err != nil {
		return false, err
	}
	if _, err := w.startJob("/desk/", id, body, 1); err != nil {
		return false, err
	}
	if w.trouble {
		w.configure(services, other)
		time.Sleep(time.Second)
		w.configure(services, other, route("r-desk", "/desk/", "south", nil))
	}
	time.Sleep(configApply)
	w.call(w.entries[0], http.MethodGet, "/desk/"+id, "")
	w.call(w.entries[1], http.MethodPost, "/desk/"+id, body)
	time.Sleep(12 * time.Second)
	return ranTwice(w, id+".0.0.0"), nil
}

// flappingMinionLost lets one of eight minions go down and up by turns just after a job with two lasting tasks has begun. Six
// others are full.
func flappingMinionLost(w *world) (bool, error) {
	const id, minions = "00000000000000d1", 8
	w.configure([]string{"north"}, route("r-desk", "/desk/", "north", nil))
	if err := start(w, minions, "north"); err != nil {
		return false, err
	}
	for i := range minions - 2 {
		if _, err := w.startJob("/desk/", "00000000000000c"+strconv.Itoa(i), job("ms=90000 cpu=32000", step(1, coresOfMinion, 90000, nil)), 1); err != nil {
			return false, err
		}
	}
	lasting := step(2, coresOfMinion, 1000, map[string]any{"longRunning": true, "mayMiss": 1})
	starts, err := w.startJob("/desk/", id, job("lasts cpu=32000", lasting), 2)
	if err != nil {
		return false, err
	}
	if w.trouble {
		time.Sleep(flapPeriod / 2)
		for end := time.Now().Add(flapTime); time.Now().Before(end); time.Sleep(flapPeriod) {
			m := w.crashMinion(minionOf(starts[0]))
			time.Sleep(flapPeriod)
			if err := w.restartMinion(m); err != nil {
				return false, err
			}
		}
	}
	for range 30 {
		_, answer := w.call(w.entries[0], http.MethodGet, "/desk/"+id, "")
		if strings.Contains(answer, "failed") {
			return len(w.lines("end", id, "failed")) == 0, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false, nil
}

// cancelledUnasked cancels a job whose request has not been answered, because the entry that has the request is frozen.
func cancelledUnasked(w *world) (bool, error) {
	const (
		id      = "00000000000000f1"
		leaves  = 300 * time.Millisecond
		freezes = 4 * time.Second
	)
	w.configure([]string{"north"}, route("r-desk", "/desk/", "north", nil))
	if err := start(w, 4, "north"); err != nil {
		return false, err
	}
	frozen, other := w.bystander()
	wakesAt := time.Now().Add(freezes)
	if w.trouble {
		w.note("case", frozen.name, "is frozen")
		frozen.proc.signal(syscall.SIGSTOP)
	}
	patient := w.client
	w.client = &http.Client{Timeout: leaves}
	w.call(frozen, http.MethodPost, "/desk/"+id, job("ms=8000", step(1, 1000, 8000, nil)))
	w.client = patient
	status, _ := w.call(other, http.MethodDelete, "/desk/"+id, "")
	if status != http.StatusOK && status != http.StatusGone {
		return false, fmt.Errorf("%w: the cancellation is not acknowledged", errUnusable)
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(wakesAt))
	if w.trouble {
		frozen.proc.signal(syscall.SIGCONT)
		w.note("case", frozen.name, "wakes")
	}
	time.Sleep(12 * time.Second)
	for _, s := range w.lines("start", id+".0.0.0") {
		if s.at > acknowledged.Add(cancelMs).UnixMilli() {
			return true, nil
		}
	}
	return false, nil
}

// lostMinionLost loses a minion for good that runs a task that lasts, soon after the entries have been killed and started
// again.
func lostMinionLost(w *world) (bool, error) {
	const (
		id = "00000000000000d2"
		// soon is how long the minion lives after the first order of the entry that has taken the queue over.
		soon = 400 * time.Millisecond
		// away is how long a task that lasts may be without a run: 6 s after its last run, and then 3 s.
		away = 9 * time.Second
	)
	w.configure([]string{"north"}, route("r-desk", "/desk/", "north", nil))
	if err := start(w, 8, "north"); err != nil {
		return false, err
	}
	starts, err := w.startJob("/desk/", id, job("lasts cpu=4000", step(1, 4000, 1000, map[string]any{"longRunning": true, "mayMiss": 1})), 1)
	if err != nil {
		return false, err
	}
	minion := minionOf(starts[0])
	time.Sleep(10 * time.Second)
	if w.trouble {
		tokens := len(w.lines("minion", minion, "token"))
		for _, e := range w.entries {
			w.killEntry(e)
		}
		time.Sleep(restartDelay)
		for _, e := range w.entries {
			if err := w.startEntry(e); err != nil {
				return false, err
			}
		}
		if _, ok := w.await(20*time.Second, tokens+1, "minion", minion, "token"); !ok {
			return false, fmt.Errorf("%w: no entry takes the queue over", errUnusable)
		}
		time.Sleep(soon)
	}
	w.crashMinion(minion)
	lost := time.Now()
	if _, ok := w.await(25*time.Second, 2, "start", id); !ok {
		return true, nil
	}
	w.note("case the task was without a run for", time.Since(lost))
	return time.Since(lost) > away, nil
}

// bystander returns an entry that holds no duty by the rows of the store, so that the freeze does not touch the one that
// starts tasks, and another entry.
func (w *world) bystander() (*entry, *entry) {
	w.store.mu.Lock()
	held := ""
	for id, r := range w.store.rows {
		if id.Table == "Fleet" && id.Key == "Duty" {
			value, _ := base64.StdEncoding.DecodeString(r.Value)
			held += string(value)
		}
	}
	w.store.mu.Unlock()
	for i, e := range w.entries {
		if !strings.Contains(held, `"`+e.name+`"`) {
			return e, w.entries[(i+1)%len(w.entries)]
		}
	}
	return w.entries[0], w.entries[1]
}

// removedQueueBudget removes a queue that has a job, and stops and starts the entries in turn.
func removedQueueBudget(w *world) (bool, error) {
	const id, attempts = "00000000000000a1", 4
	services := []string{"north"}
	other := route("r-other", "/other/", "north", nil)
	w.configure(services, other, route("r-desk", "/desk/", "north", map[string]any{"maxAttempts": attempts}))
	if err := start(w, 3, services...); err != nil {
		return false, err
	}
	if _, err := w.startJob("/desk/", id, job("ms=8000 fail", step(1, 1000, 8000, nil)), 1); err != nil {
		return false, err
	}
	if w.trouble {
		w.configure(services, other)
		time.Sleep(configApply)
	}
	// Also without the removal of the queue.
	if err := w.roll(); err != nil {
		return false, err
	}
	for end := w.began.Add(100 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		failed := w.lines("noted", id+".0.0.0", "failed")
		if len(failed) < attempts {
			continue
		}
		for _, s := range w.lines("start", id+".0.0.0") {
			if s.at > failed[attempts-1].at {
				return true, nil
			}
		}
		if time.Since(time.UnixMilli(failed[attempts-1].at)) > 15*time.Second {
			return false, nil
		}
	}
	return false, fmt.Errorf("%w: the task has not failed %d times", errUnusable, attempts)
}

// roll stops and starts the entries in turn.
func (w *world) roll() error {
	const grace = 6 * time.Second
	for _, e := range w.entries {
		w.note("case", e.name, "gets SIGTERM")
		e.proc.signal(syscall.SIGTERM)
		select {
		case <-e.proc.done:
		case <-time.After(grace):
			e.proc.kill()
		}
		if err := w.startEntry(e); err != nil {
			return err
		}
		if err := w.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
