//go:build review

package main

import (
	"syscall"
	"time"
)

// storedQueue hands in a job that lasts, whose tasks fit on no runner of the service of its queue, and moves the queue to a service with
// larger runners, where they start. Later the route is removed, so that no further jobs are handed in. Then the daemon that leads is
// killed. A runner with tasks of the job leaves as announced, and they have to go on on another runner of the larger service.
func storedQueue(w *world) {
	services := []string{"desk", "desk-next"}
	quotes := w.route("quotes", "/quotes/", "desk")
	w.config(11, services, w.route("checks", "/checks/", "desk"), quotes)
	w.startRunners("old", "desk", 4, 4000)
	next := w.startRunners("new", "desk-next", 8, 16000)
	leader, others := w.startDaemons()
	w.must(w.warmUp(others[0], "/quotes/"))
	sizes := map[string]int{}
	w.submitSpec(others[0], sizes, "lasts", 2, 6000, true)
	time.Sleep(time.Second)
	w.config(14, services, w.route("checks", "/checks/", "desk-next"), quotes)
	time.Sleep(3 * time.Second)
	w.config(15, services, quotes)
	time.Sleep(3 * time.Second)
	if w.trouble {
		leader.signal(syscall.SIGKILL)
		_ = leader.cmd.Wait()
		time.Sleep(300 * time.Millisecond)
		leader.restart()
	}
	time.Sleep(4 * time.Second)
	var rest []*runner
	hasLeft := false
	for _, r := range next {
		if !hasLeft && r.used() > 0 {
			hasLeft = true
			r.leave(2500 * time.Millisecond)
			continue
		}
		rest = append(rest, r)
	}
	if !hasLeft {
		w.must(errNoJobs)
	}
	time.Sleep(finish)
	w.judgeStuck(others[0], "/checks/", sizes, rest)
}
