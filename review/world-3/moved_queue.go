//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

// movedQueue moves a queue to a service with larger runners while a daemon that does not lead, the one that last read op/config, is frozen
// for two seconds. Jobs whose tasks fit on these
// alone are handed in through that daemon. All of them have to run.
func movedQueue(w *world) {
	const jobs = 30
	services := []string{"desk", "desk-next"}
	quotes := w.route("quotes", "/quotes/", "desk")
	w.config(11, services, w.route("checks", "/checks/", "desk"), quotes)
	w.startRunners("old", "desk", 4, 4000)
	next := w.startRunners("new", "desk-next", 8, 16000)
	leader, others := w.startDaemons()
	entry := others[0]
	for _, d := range others {
		if d.storeIP == w.store.lastReader() {
			entry = d
		}
	}
	w.note("jobs are handed in through %s", entry.name)
	w.must(w.warmUp(entry, "/quotes/"))
	sizes := map[string]int{}
	w.submitSpec(entry, sizes, "work=300ms", 1, 6000, false)
	if w.trouble {
		entry.signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	w.config(14, services, w.route("checks", "/checks/", "desk-next"), quotes)
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	for range jobs {
		wg.Go(func() { w.submitSpec(entry, sizes, "work=300ms", 1, 6000, false) })
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		entry.signal(syscall.SIGCONT)
	}
	wg.Wait()
	w.note("%d of %d jobs were accepted", len(sizes), jobs+1)
	time.Sleep(finish)
	w.judgeStuck(leader, "/checks/", sizes, next)
}
