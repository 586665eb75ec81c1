//go:build review

package main

import (
	"net/http"
	"syscall"
	"time"
)

// lostTogether kills the daemon that leads, and at the same moment a runner with a task that lasts is lost for good: it no longer answers,
// and its entry is removed after three heartbeat intervals. The task must go on elsewhere.
func lostTogether(w *world) {
	const heartbeat, bound, span = 1500 * time.Millisecond, 6 * time.Second, 3 * time.Second
	w.config(11, []string{"desk"}, w.route("checks", "/checks/", "desk"))
	runners := w.startRunners("desk", "desk", 8, 8000)
	leader, others := w.startDaemons()
	w.must(w.warmUp(others[0], "/checks/"))
	sizes := map[string]int{}
	w.submitSpec(others[0], sizes, "lasts", 1, 1000, true)
	time.Sleep(2 * time.Second)
	var lost *runner
	for _, r := range runners {
		if r.used() > 0 {
			lost = r
		}
	}
	if lost == nil {
		w.must(errNoJobs)
	}
	if w.trouble {
		leader.signal(syscall.SIGKILL)
		lost.vanish(3 * heartbeat)
		time.Sleep(500 * time.Millisecond)
		_ = leader.cmd.Wait()
		leader.restart()
	}
	time.Sleep(bound)
	began := time.Now()
	waits := false
	for id, tasks := range sizes {
		for w.runningOf(id) < tasks && time.Since(began) < 20*time.Second {
			time.Sleep(5 * time.Millisecond)
			waits = true
		}
		a := w.call(others[0], "GET", "/checks/"+id, nil)
		w.note("job %s is %d %s, %d of %d tasks run", id, a.status, a.state, w.runningOf(id), tasks)
	}
	without := bound + time.Since(began)
	if waits && without > bound+span {
		w.finish(true, "LOST: a task that lasts has had no run for %.1f s, with seven runners free and no further disruption", without.Seconds())
	}
	w.finish(false, "the task that lasts was without a run for less than %s", bound+span)
}

// vanish ends the runner's life with all that it runs. It answers nothing more, and its entry is removed after a time.
func (r *runner) vanish(entry time.Duration) {
	r.world.note("runner %s is lost", r.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isLost = true
	r.runs = map[string]*run{}
	go func() {
		time.Sleep(entry)
		r.world.store.remove("servers/" + r.id)
		r.world.note("the entry of runner %s is removed", r.id)
	}()
}

// answersNothing waits until the caller has given up if the runner is lost, and reports whether it is.
func (r *runner) answersNothing(q *http.Request) bool {
	r.mu.Lock()
	isLost := r.isLost
	r.mu.Unlock()
	if isLost {
		<-q.Context().Done()
	}
	return isLost
}
