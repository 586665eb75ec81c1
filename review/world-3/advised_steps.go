//go:build review

package main

import "time"

// advisedSteps moves a queue with a recommendation to another service while jobs of it are at work. The runners of the old service go on,
// since another queue is sent there. Each task fails once, as tasks may, and then has to start again: on the new service.
func advisedSteps(w *world) {
	services := []string{"desk", "desk-next"}
	advised := func(service string) map[string]any {
		r := w.route("checks", "/checks/", service)
		r["recommendation"] = policy
		return r
	}
	w.needsTickets.Store(true)
	w.config(11, services, advised("desk"), w.route("quotes", "/quotes/", "desk"))
	former := w.startRunners("old", "desk", 8, 8000)
	next := w.startRunners("new", "desk-next", 8, 8000)
	leader, others := w.startDaemons()
	w.must(w.warmUp(others[0], "/quotes/"))
	sizes := w.submitFailing(others[0], "advised ", 1500*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	capacity := former
	if w.trouble {
		capacity = next
		w.config(14, services, advised("desk-next"), w.route("quotes", "/quotes/", "desk"))
	}
	time.Sleep(finish)
	w.judgeStuck(leader, "/checks/", sizes, capacity)
}

// submitFailing submits jobs to the queue of /checks/ through a daemon, the tasks of half of them last, and returns the numbers of their
// tasks. Each task fails once, after the given time.
func (w *world) submitFailing(d *daemon, words string, after time.Duration) map[string]int {
	sizes := map[string]int{}
	for range 3 {
		w.submitSpec(d, sizes, words+"fails-once work="+after.String(), 3, 1000, false)
		w.submitSpec(d, sizes, words+"fails-once lasts work="+after.String(), 3, 1000, true)
	}
	if len(sizes) == 0 {
		w.must(errNoJobs)
	}
	return sizes
}
