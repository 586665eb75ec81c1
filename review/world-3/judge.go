//go:build review

package main

import (
	"errors"
	"strings"
	"time"
)

// finish is the time after the last submission after which no job may wait any more.
const finish = 14 * time.Second

var errNoJobs = errors.New("no job was accepted, or none was run")

// warmUp runs a job through a daemon.
func (w *world) warmUp(d *daemon, prefix string) error {
	id := newID()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := w.call(d, "POST", prefix+id, job("work=100ms", 2, 500, 100*time.Millisecond)); a.status != 200 {
			continue
		}
		if a := w.call(d, "GET", prefix+id, nil); a.state == "completed" {
			w.note("a first job was run")
			return nil
		}
	}
	return errNoJobs
}

// submitSpec submits a job with one step to the queue of /checks/ through a daemon, and notes its number of tasks if it was accepted. A
// submission without a final answer is repeated, as clients do.
func (w *world) submitSpec(d *daemon, sizes map[string]int, spec string, tasks int, cpu int64, lasts bool) {
	id, body := newID(), job(spec, tasks, cpu, 1500*time.Millisecond)
	body["steps"].([]any)[0].(map[string]any)["long-running"] = lasts
	for range 3 {
		w.note("client sends %s to %s (%d tasks, %s)", id, d.name, tasks, spec)
		a := w.call(d, "POST", "/checks/"+id, body)
		w.note("client has answer %d to %s", a.status, id)
		if a.status == 200 {
			w.mu.Lock()
			sizes[id] = tasks
			w.mu.Unlock()
		}
		if a.status != 0 && a.status != 502 && a.status != 504 {
			return
		}
	}
}

// judgeStuck checks the rule LOST for accepted jobs with one step, whose numbers of tasks it is given: for 3 s, no job may have nothing
// running and a task to start, and no task that lasts may be without a run, while there is capacity for it twice over and under half of the
// service's capacity is in use. It is called longer than 6 s after the last end of a run.
func (w *world) judgeStuck(d *daemon, prefix string, sizes map[string]int, capacity []*runner) {
	const span = 3 * time.Second
	before := map[string]int{}
	for id, tasks := range sizes {
		a := w.call(d, "GET", prefix+id, nil)
		before[id] = len(w.startsOf(id))
		w.note("job %s is %d %s, %d starts of %d tasks, %d run, %d are done", id, a.status, a.state, before[id], tasks, w.runningOf(id), w.doneOf(id))
	}
	mostUsed := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		used := 0
		for _, r := range capacity {
			if r.used() > 0 {
				used++
			}
		}
		mostUsed = max(mostUsed, used)
	}
	lost := 0
	for id, tasks := range sizes {
		if len(w.startsOf(id)) == before[id] && w.runningOf(id)+w.doneOf(id) < tasks && (w.lasts(id) || w.runningOf(id) == 0) {
			a := w.call(d, "GET", prefix+id, nil)
			w.note("job %s is %d %s; of %d tasks %d run and %d are done, and none has been started for %s", id, a.status, a.state, tasks, w.runningOf(id), w.doneOf(id), span)
			lost++
		}
	}
	hasRoom := 2*mostUsed < len(capacity)
	w.note("of %d runners of the service, at most %d ran anything in these %s", len(capacity), mostUsed, span)
	if lost > 0 && hasRoom {
		w.finish(true, "LOST: %d of %d accepted jobs have tasks that are not started for %s while over half of the runners of their service are idle", lost, len(sizes), span)
	}
	w.finish(false, "the tasks of all %d accepted jobs were run", len(sizes))
}

// lasts reports whether the tasks of a job last.
func (w *world) lasts(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.specs[id], "lasts")
}

// doneOf returns how many tasks of a job have ended done.
func (w *world) doneOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := 0
	for task, all := range w.ends {
		if strings.HasPrefix(task, id+".") && all[len(all)-1].how == "done" {
			done++
		}
	}
	return done
}

// runningOf returns how many runs of a job go on.
func (w *world) runningOf(id string) int {
	running := 0
	for _, r := range w.runners {
		r.mu.Lock()
		for task := range r.runs {
			if strings.HasPrefix(task, id+".") {
				running++
			}
		}
		r.mu.Unlock()
	}
	return running
}
