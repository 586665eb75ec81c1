package plan

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Limits of the judgement on workers.
const (
	// judgedWithin is how far back ends of attempts count.
	judgedWithin = 10 * time.Minute
	// minFailures is how many failures that can be blamed on a worker put it into quarantine.
	minFailures = 4
	// minPeerRuns is how many ends elsewhere are needed before a failure is blamed on the worker.
	minPeerRuns = 2
	// probeAfter is the wait before the first probe; each failed probe doubles it.
	probeAfter   = time.Minute
	maxProbeWait = 30 * time.Minute
	// idleProbe is how long a worker on probation waits for a task before it is released without one.
	idleProbe = 10 * time.Minute
)

// tally counts ends of attempts of one kind of job.
type tally struct {
	failed, total int
}

// checkHealth puts workers that fail more than their peers into quarantine, and probes and releases
// those that are in it.
func checkHealth(t *tick) {
	out := 0
	for _, w := range t.tables.Ordered() {
		if w.Health == table.WorkerQuarantined || w.Health == table.WorkerProbing {
			out++
			t.treat(w)
		}
	}
	limit := 0
	if t.policy.MaxQuarantined > 0 {
		limit = max(1, len(t.rooms.list)*t.policy.MaxQuarantined/perMille)
	}
	var fleet map[table.Kind]tally
	for _, w := range t.tables.Ordered() {
		if out >= limit || w.Health != table.WorkerLive || !t.isSuspect(w) {
			continue
		}
		if fleet == nil {
			fleet = t.fleetTally()
		}
		if blamed, total := t.blame(w, fleet); blamed >= minFailures && 2*blamed >= total {
			out++
			t.quarantine(w, fmt.Sprintf(
				"%d of %d attempts failed within %s, of kinds that succeed on other workers", blamed, total, judgedWithin))
		}
	}
}

// treat moves a worker in quarantine or on probation on.
func (t *tick) treat(w *table.Worker) {
	since := t.now.Sub(w.Record.Since)
	if w.Health == table.WorkerQuarantined {
		if wait := probeWait(w.Record.Quarantines); since >= wait {
			t.add(ProbeAction{Worker: w.VM.ID, Reason: fmt.Sprintf("in quarantine for %s", wait)})
		}
		return
	}
	if ends := w.Record.Ends; len(ends) > 0 {
		if ends[len(ends)-1].Failed {
			t.quarantine(w, "the task on trial failed")
			return
		}
		t.add(ReleaseAction{Worker: w.VM.ID, Reason: "the task on trial succeeded"})
		return
	}
	if since >= idleProbe && len(w.Attempts) == 0 {
		t.add(ReleaseAction{Worker: w.VM.ID, Reason: fmt.Sprintf("no task to try it with for %s", idleProbe)})
	}
}

func (t *tick) quarantine(w *table.Worker, reason string) {
	t.rooms.unfile(w.Index)
	t.rooms.of(w).trial = false
	t.add(QuarantineAction{Worker: w.VM.ID, Reason: reason})
}

func probeWait(quarantines int) time.Duration {
	wait := probeAfter
	for i := 1; i < quarantines && wait < maxProbeWait; i++ {
		wait *= 2
	}
	return min(wait, maxProbeWait)
}

// isSuspect tells whether enough of a worker's latest attempts failed to look closer.
func (t *tick) isSuspect(w *table.Worker) bool {
	failed := 0
	for _, e := range w.Record.Ends {
		if e.Failed && t.now.Sub(e.At) < judgedWithin {
			failed++
		}
	}
	return failed >= minFailures
}

func (t *tick) fleetTally() map[table.Kind]tally {
	out := make(map[table.Kind]tally)
	for _, w := range t.tables.Ordered() {
		for k, n := range t.tallyOf(w) {
			sum := out[k]
			sum.failed += n.failed
			sum.total += n.total
			out[k] = sum
		}
	}
	return out
}

func (t *tick) tallyOf(w *table.Worker) map[table.Kind]tally {
	out := make(map[table.Kind]tally)
	for _, e := range w.Record.Ends {
		if t.now.Sub(e.At) >= judgedWithin {
			continue
		}
		n := out[e.Kind]
		n.total++
		if e.Failed {
			n.failed++
		}
		out[e.Kind] = n
	}
	return out
}

// blame returns how many failures can be blamed on the worker, and how many ends it had. A failure of a
// kind that fails on most other workers too, or that ran nowhere else, is not blamed.
func (t *tick) blame(w *table.Worker, fleet map[table.Kind]tally) (blamed, total int) {
	for k, own := range t.tallyOf(w) {
		total += own.total
		peers := tally{failed: fleet[k].failed - own.failed, total: fleet[k].total - own.total}
		if peers.total >= minPeerRuns && 2*peers.failed < peers.total {
			blamed += own.failed
		}
	}
	return blamed, total
}

// startTrials gives each empty worker on probation one task that does no harm when it fails.
func startTrials(t *tick) {
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		if !m.trial {
			continue
		}
		for _, e := range t.lanes.all {
			if t.isTrialWork(e) && e.job.Spec.Task.Resources.Fits(m.free) && t.barrier(e) == "" {
				t.startOne(e, i, "trial")
				break
			}
		}
	}
}

// isTrialWork tells whether an entry's next task may be lost without harm and usually succeeds.
func (t *tick) isTrialWork(e *entry) bool {
	spec := &e.job.Spec
	if e.next == 0 || spec.Batch == nil || spec.Class == types.ClassUrgent {
		return false
	}
	if !spec.Task.Idempotent || spec.Task.Booking {
		return false
	}
	seen, ok := t.tables.Estimates[e.job.Kind()]
	return !ok || seen.Failed <= seen.Succeeded
}
