//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// advisedSteps moves a queue with a recommendation to another service while jobs of it are at work. The runners of the old service go on,
// since another queue is sent there, but for one that leaves as announced. Tasks that then have to start again must run on the new service.
func advisedSteps(w *world) {
	const finish = 14 * time.Second
	services := []string{"desk", "desk-next"}
	advised := func(service string) map[string]any {
		r := w.route("checks", "/checks/", service)
		r["recommendation"] = policy
		return r
	}
	w.needsTickets.Store(true)
	w.config(11, services, advised("desk"), w.route("quotes", "/quotes/", "desk"))
	var former, next []*runner
	for i := range 3 {
		former = append(former, w.startRunner(fmt.Sprintf("s-old-%d", i), "desk", "z1", 16000))
		next = append(next, w.startRunner(fmt.Sprintf("s-new-%d", i), "desk-next", "z2", 16000))
	}
	w.startDaemon(1, "z1", "r1", w.storeAddress())
	w.startDaemon(2, "z1", "r1", w.storeAddress())
	w.startDaemon(3, "z2", "r1", w.storeAddress())
	leader, others := w.awaitReady()
	time.Sleep(2 * time.Second)
	w.must(w.warmUp(others[0], "/quotes/"))

	sizes := map[string]int{}
	submit := func(spec string, tasks int, lasts bool) {
		id, body := newID(), job(tasks, 1000, 1500*time.Millisecond)
		body["spec"] = spec
		body["steps"].([]any)[0].(map[string]any)["long-running"] = lasts
		a := w.call(others[0], "POST", "/checks/"+id, body)
		w.note("client has answer %d to %s (%s)", a.status, id, spec)
		if a.status == 200 {
			sizes[id] = tasks
		}
	}
	for range 3 {
		submit("advised fails-once work=1500ms", 3, false)
		submit("advised lasts", 3, true)
	}
	if len(sizes) == 0 {
		w.must(errNoJobs)
	}
	time.Sleep(700 * time.Millisecond)
	capacity := former[1:2]
	if w.trouble {
		capacity = next[:2]
		w.config(14, services, advised("desk-next"), w.route("quotes", "/quotes/", "desk"))
	}
	time.Sleep(200 * time.Millisecond)
	former[0].leave(2500 * time.Millisecond)
	time.Sleep(finish)
	w.judgeStuck(leader, "/checks/", sizes, capacity)
}

// judgeStuck checks the rule LOST for jobs with one step, whose tasks it is given: for 3 s, no job may have nothing running and a task to
// start, and no task that lasts may be without a run for longer than 6 s, while there is capacity for it twice over and under half of the
// service's capacity is in use.
func (w *world) judgeStuck(d *daemon, prefix string, sizes map[string]int, capacity []*runner) {
	const span = 3 * time.Second
	before := map[string]int{}
	for id, tasks := range sizes {
		a := w.call(d, "GET", prefix+id, nil)
		before[id] = len(w.startsOf(id))
		w.note("job %s is %d %s, %d starts of %d tasks, %d run, %d are done", id, a.status, a.state, before[id], tasks, w.runningOf(id), w.doneOf(id))
	}
	hasRoom := true
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, r := range capacity {
			hasRoom = hasRoom && r.used() <= 6
		}
	}
	lost := 0
	for id, tasks := range sizes {
		if len(w.startsOf(id)) == before[id] && w.runningOf(id)+w.doneOf(id) < tasks && (w.lasts(id) || w.runningOf(id) == 0) {
			a := w.call(d, "GET", prefix+id, nil)
			w.note("job %s is %s; of %d tasks %d run and %d are done, and none has been started for %s", id, a.state, tasks, w.runningOf(id), w.doneOf(id), span)
			lost++
		}
	}
	w.note("each runner of the service had over half of its capacity free for %s: %v", span, hasRoom)
	if lost > 0 && hasRoom {
		w.finish(true, "LOST: tasks of %d of %d accepted jobs are not started for %s while the runners of their service are free", lost, len(sizes), span)
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
