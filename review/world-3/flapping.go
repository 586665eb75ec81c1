//go:build review

package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// flapping lets one runner go down and up by turns while short jobs come. No run ends as failed, so no job may be shown as failed.
func flapping(w *world) {
	const rounds, flaps, downFor, upFor, pause = 7, 5, 700 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second
	w.config(11, []string{"desk"}, w.route("checks", "/checks/", "desk"))
	var machines []*machine
	for i := range 10 {
		machines = append(machines, w.startMachine(newID()[:8], zones[i%len(zones)].name, "a"))
	}
	_, others := w.startDaemons()
	w.must(w.warmUp(others[0], "/checks/"))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	accepted := map[string]*daemon{}
	for i := range 10 {
		clients.Go(func() { w.submitShort(others[i%len(others)], accepted, stop) })
	}
	time.Sleep(3 * time.Second)
	for range rounds {
		busiest := machines[0]
		for _, m := range machines {
			if m.runner.used() > busiest.runner.used() {
				busiest = m
			}
		}
		for range flaps {
			if w.trouble {
				busiest.crash(downFor, "a")
			} else {
				time.Sleep(downFor)
			}
			time.Sleep(upFor)
		}
		time.Sleep(pause)
	}
	close(stop)
	clients.Wait()
	time.Sleep(3 * time.Second)
	failed, worst := 0, 0
	for id, d := range accepted {
		if a := w.call(d, "GET", "/checks/"+id, nil); a.state == "failed" {
			failed++
			starts, ends := w.runsOf(id)
			worst = max(worst, starts)
			w.note("job %s is shown as failed; the most runs of one of its tasks are %d, and %d runs of the job ended as failed", id, starts, ends)
		}
	}
	if len(accepted) == 0 {
		w.must(errNoJobs)
	}
	if failed > 0 {
		w.finish(true, "LOST: %d of %d accepted jobs are shown as failed, and no run ended as failed; none of their tasks has begun more than %d times", failed, len(accepted), worst)
	}
	w.finish(false, "none of %d accepted jobs is shown as failed", len(accepted))
}

// submitShort submits a job of four tasks of two seconds twice a second until stop is closed.
func (w *world) submitShort(d *daemon, accepted map[string]*daemon, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(400*time.Millisecond + rand.N(200*time.Millisecond)):
		}
		id := newID()
		if a := w.call(d, "POST", "/checks/"+id, job("work=2s", 4, 3000, 2*time.Second)); a.status == 200 {
			w.mu.Lock()
			accepted[id] = d
			w.mu.Unlock()
		}
	}
}

// runsOf returns the highest number of runs that a task of a job has begun, and how many runs of the job ended as failed.
func (w *world) runsOf(id string) (most, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, starts := range w.starts {
		if strings.HasPrefix(task, id+".") {
			most = max(most, len(starts))
			for _, e := range w.ends[task] {
				if e.how == "failed" {
					failed++
				}
			}
		}
	}
	return most, failed
}
