package plan

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Limits of the health checks of workers.
const (
	// healthWindow is how far back results of attempts count.
	healthWindow = 10 * time.Minute
	// minFailures is how many failures attributed to a worker put it into quarantine.
	minFailures = 4
	// minPeerResults is how many results on other workers are needed before a failure is attributed to the worker.
	minPeerResults = 2
	// minProbeBackoff is the time in quarantine before the first probe; each failed probe doubles it up to
	// maxProbeBackoff.
	minProbeBackoff = time.Minute
	maxProbeBackoff = 30 * time.Minute
	// idleProbeTimeout is how long a probing worker waits for a probe task before it is released without one.
	idleProbeTimeout = 10 * time.Minute
)

// resultCounts counts results of attempts of one kind of job.
type resultCounts struct {
	failed, total int
}

// checkHealth puts workers that fail more than their peers into quarantine, and probes and releases quarantined
// workers. The policy bounds how many are in quarantine at once.
func checkHealth(t *tick) {
	quarantined := 0
	for _, w := range t.tables.Ordered() {
		if w.Health == table.WorkerQuarantined || w.Health == table.WorkerProbing {
			quarantined++
			t.updateQuarantined(w)
		}
	}
	limit := 0
	if t.policy.MaxQuarantined > 0 {
		limit = max(1, len(t.capacity.list)*t.policy.MaxQuarantined/permille)
	}
	var fleet map[table.Kind]resultCounts
	for _, w := range t.tables.Ordered() {
		if quarantined >= limit || w.Health != table.WorkerLive || !t.hasManyFailures(w) {
			continue
		}
		if fleet == nil {
			fleet = t.countFleetResults()
		}
		if blamed, total := t.countBlamed(w, fleet); blamed >= minFailures && 2*blamed >= total {
			quarantined++
			t.quarantine(w, fmt.Sprintf(
				"%d of %d attempts failed within %s, of kinds that succeed on other workers", blamed, total, healthWindow))
		}
	}
}

// updateQuarantined decides the next step for a quarantined or probing worker: a probe after the backoff, and
// after the probe task a release or a further quarantine. The reasons are audited, so their texts must not change.
func (t *tick) updateQuarantined(w *table.Worker) {
	since := t.now.Sub(w.History.Since)
	if w.Health == table.WorkerQuarantined {
		if backoff := probeBackoff(w.History.Quarantines); since >= backoff {
			t.add(ProbeAction{Worker: w.VM.ID, Reason: fmt.Sprintf("in quarantine for %s", backoff)})
		}
		return
	}
	if results := w.History.Results; len(results) > 0 {
		if results[len(results)-1].Failed {
			t.quarantine(w, "the task on trial failed")
			return
		}
		t.add(ReleaseAction{Worker: w.VM.ID, Reason: "the task on trial succeeded"})
		return
	}
	if since >= idleProbeTimeout && len(w.Attempts) == 0 {
		t.add(ReleaseAction{Worker: w.VM.ID, Reason: fmt.Sprintf("no task to try it with for %s", idleProbeTimeout)})
	}
}

// quarantine plans the quarantine of a worker and closes it for further starts in this tick.
func (t *tick) quarantine(w *table.Worker, reason string) {
	t.capacity.remove(w.Index)
	t.capacity.of(w).isProbing = false
	t.add(QuarantineAction{Worker: w.VM.ID, Reason: reason})
}

func probeBackoff(quarantines int) time.Duration {
	backoff := minProbeBackoff
	for i := 1; i < quarantines && backoff < maxProbeBackoff; i++ {
		backoff *= 2
	}
	return min(backoff, maxProbeBackoff)
}

// hasManyFailures reports whether enough of a worker's latest attempts failed to compare it with the others.
func (t *tick) hasManyFailures(w *table.Worker) bool {
	failed := 0
	for _, e := range w.History.Results {
		if e.Failed && t.now.Sub(e.At) < healthWindow {
			failed++
		}
	}
	return failed >= minFailures
}

func (t *tick) countFleetResults() map[table.Kind]resultCounts {
	out := make(map[table.Kind]resultCounts)
	for _, w := range t.tables.Ordered() {
		for k, n := range t.countResults(w) {
			sum := out[k]
			sum.failed += n.failed
			sum.total += n.total
			out[k] = sum
		}
	}
	return out
}

// countResults counts the worker's results within healthWindow by kind of job.
func (t *tick) countResults(w *table.Worker) map[table.Kind]resultCounts {
	out := make(map[table.Kind]resultCounts)
	for _, e := range w.History.Results {
		if t.now.Sub(e.At) >= healthWindow {
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

// countBlamed returns how many failures are attributed to the worker, and how many results it had. A failure is
// not attributed to the worker if half or more of the results of its kind on other workers are failures too, or
// if there are fewer than minPeerResults of them.
func (t *tick) countBlamed(w *table.Worker, fleet map[table.Kind]resultCounts) (blamed, total int) {
	for k, own := range t.countResults(w) {
		total += own.total
		peers := resultCounts{failed: fleet[k].failed - own.failed, total: fleet[k].total - own.total}
		if peers.total >= minPeerResults && 2*peers.failed < peers.total {
			blamed += own.failed
		}
	}
	return blamed, total
}

// startProbeTasks starts one task whose failure does no harm on each empty probing worker.
func startProbeTasks(t *tick) {
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		if !wc.isProbing {
			continue
		}
		for _, e := range t.lanes.all {
			if t.isProbeWork(e) && e.job.Spec.Task.Resources.Fits(wc.free) && t.blockReason(e) == "" {
				t.startOne(e, i, "trial")
				break
			}
		}
	}
}

// isProbeWork reports whether an entry's next task may fail without harm and is of a kind that usually succeeds.
func (t *tick) isProbeWork(e *entry) bool {
	spec := &e.job.Spec
	if e.remaining == 0 || spec.Batch == nil || spec.Class == types.ClassUrgent {
		return false
	}
	if !spec.Task.Idempotent || spec.Task.Booking {
		return false
	}
	estimate, ok := t.tables.Estimates[e.job.Kind()]
	return !ok || estimate.Failed <= estimate.Succeeded
}
