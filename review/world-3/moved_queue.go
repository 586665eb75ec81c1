//go:build review

package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

var errNoJobs = errors.New("no job was accepted, or none was run")

// movedQueue moves a queue to another service while a daemon that does not lead is frozen, and submits jobs through that daemon. All of
// them have to run on the new service, since the runners of the old one leave.
func movedQueue(w *world) {
	const jobs, finish = 30, 14 * time.Second
	services := []string{"desk", "desk-next"}
	w.config(11, services, w.route("checks", "/checks/", "desk"))
	former := []*runner{w.startRunner("s-old-1", "desk", "z1", 8000), w.startRunner("s-old-2", "desk", "z2", 8000)}
	next := []*runner{w.startRunner("s-new-1", "desk-next", "z1", 16000), w.startRunner("s-new-2", "desk-next", "z2", 16000)}
	w.startDaemon(1, "z1", "r1", w.storeAddress())
	w.startDaemon(2, "z1", "r1", w.storeAddress())
	w.startDaemon(3, "z2", "r1", w.storeAddress())
	leader, others := w.awaitReady()
	entry := others[0]
	time.Sleep(2 * time.Second)
	w.must(w.warmUp(entry, "/checks/"))

	if w.trouble {
		entry.signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	w.config(14, services, w.route("checks", "/checks/", "desk-next"))
	for _, r := range former {
		r.leave(2500 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	accepted := w.submitMany(entry, "/checks/", jobs, 600*time.Millisecond, func() {
		if w.trouble {
			entry.signal(syscall.SIGCONT)
		}
	})
	w.note("%d of %d jobs were accepted", len(accepted), jobs)
	if len(accepted) == 0 {
		w.must(errNoJobs)
	}
	time.Sleep(finish)
	w.judgeWaiting(leader, "/checks/", accepted, next)
}

// submitMany submits jobs through a daemon over a time, calls after, and returns those that were accepted. A submission without a final
// answer is repeated, as clients do.
func (w *world) submitMany(d *daemon, prefix string, count int, over time.Duration, after func()) []string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for range count {
		id := newID()
		wg.Go(func() {
			for range 3 {
				w.note("client sends %s to %s", id, d.name)
				a := w.call(d, "POST", prefix+id, job(2, 500, 300*time.Millisecond))
				w.note("client has answer %d to %s", a.status, id)
				if a.status == 200 {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
				if a.status != 0 && a.status != 502 && a.status != 504 {
					return
				}
			}
		})
		time.Sleep(over / time.Duration(count))
	}
	after()
	wg.Wait()
	return accepted
}

// judgeWaiting checks the rule LOST: for 3 s, none of the jobs may have nothing running and a task to start, while there is capacity for
// it twice over and under half of the service's capacity is in use.
func (w *world) judgeWaiting(d *daemon, prefix string, ids []string, capacity []*runner) {
	const span = 3 * time.Second
	waiting := map[string]string{}
	for _, id := range ids {
		a := w.call(d, "GET", prefix+id, nil)
		w.note("job %s is %d %s, %d starts", id, a.status, a.state, len(w.startsOf(id)))
		if len(w.startsOf(id)) == 0 && (a.state == "pending" || a.state == "running") {
			waiting[id] = a.state
		}
	}
	isIdle := true
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, r := range capacity {
			isIdle = isIdle && r.used() == 0
		}
	}
	lost := 0
	for id := range waiting {
		if len(w.startsOf(id)) == 0 {
			lost++
		}
	}
	w.note("the runners of the service were idle for %s: %v", span, isIdle)
	if lost > 0 && isIdle {
		w.finish(true, "LOST: %d of %d accepted jobs have nothing running for %s while the runners of their service are idle", lost, len(ids), span)
	}
	w.finish(false, "all %d accepted jobs were run", len(ids))
}

// warmUp runs a job through a daemon.
func (w *world) warmUp(d *daemon, prefix string) error {
	id := newID()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := w.call(d, "POST", prefix+id, job(2, 500, 100*time.Millisecond)); a.status != 200 {
			continue
		}
		if a := w.call(d, "GET", prefix+id, nil); a.state == "completed" {
			w.note("a first job was run")
			return nil
		}
	}
	return errNoJobs
}
