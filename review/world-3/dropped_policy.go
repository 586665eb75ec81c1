//go:build review

package main

import "time"

// droppedPolicy removes the route of a queue with a recommendation while jobs of it are at work, and adds it again two seconds later without
// one. Each task fails once after that, as tasks may, and then has to start again: on any runner of the service, without a ticket.
func droppedPolicy(w *world) {
	services := []string{"desk"}
	advised := w.route("checks", "/checks/", "desk")
	advised["recommendation"] = policy
	w.needsTickets.Store(true)
	w.config(11, services, advised, w.route("quotes", "/quotes/", "desk"))
	runners := w.startRunners("desk", "desk", 8, 8000)
	leader, others := w.startDaemons()
	w.must(w.warmUp(others[0], "/quotes/"))
	sizes := w.submitFailing(others[0], "advised ", 4*time.Second)
	time.Sleep(700 * time.Millisecond)
	if w.trouble {
		w.config(14, services, w.route("quotes", "/quotes/", "desk"))
		time.Sleep(2 * time.Second)
		w.needsTickets.Store(false)
		w.config(16, services, w.route("checks", "/checks/", "desk"), w.route("quotes", "/quotes/", "desk"))
	}
	time.Sleep(finish)
	w.judgeStuck(leader, "/checks/", sizes, runners)
}
