package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// handOverDelay is how long a job waits for free capacity here before it is offered to another data centre.
	handOverDelay = time.Minute
	// maxSummaryAge is how old a peer's summary may be to be used for a handover.
	maxSummaryAge = 30 * time.Second
	// maxHandOversPerTick bounds the jobs handed over in one tick, since the peer's summary does not include
	// them yet.
	maxHandOversPerTick = 1
	// minReasonInterval is how long a reason for waiting is kept before another one replaces it.
	minReasonInterval = 10 * time.Second
	// maxReasonsPerTick bounds the reasons for waiting that one tick reports.
	maxReasonsPerTick = 50
)

// handOver offers jobs that do not fit here to a data centre whose summary shows free capacity for all of their
// tasks. Services are not handed over, since their data centre is part of their description.
func handOver(t *tick) {
	count := 0
	for _, e := range t.lanes.all {
		if count == maxHandOversPerTick || len(t.tables.Peers) == 0 {
			return
		}
		if !t.mayHandOver(e) {
			continue
		}
		peer, ok := t.choosePeer(e)
		if !ok {
			continue
		}
		count++
		t.add(HandOverAction{
			Job: e.job.Spec.ID,
			To:  peer.DataCentre,
			Reason: fmt.Sprintf("%s; %s shows room for %d of %d tasks",
				e.waitReason, peer.DataCentre, peer.FitCount(e.job.Spec.Task.Resources), len(e.job.Tasks)),
		})
	}
}

// mayHandOver reports whether a job that is not a service has started nothing here and waits for capacity: either
// it may not run here or no worker here is large enough, or it has waited for handOverDelay and has no reservation.
func (t *tick) mayHandOver(e *entry) bool {
	j := e.job
	if j.Spec.Service != nil || j.Counts.Waiting != len(j.Tasks) || e.remaining != len(j.Tasks) {
		return false
	}
	if e.waitReason == reasonTooLarge || e.waitReason == reasonOtherDataCentres {
		return true
	}
	lacksCapacity := e.waitReason == reasonNoCapacity || e.waitReason == reasonGangCapacity || e.waitReason == reasonHeadroom
	return lacksCapacity && t.now.Sub(e.idleSince) >= handOverDelay && t.tables.Reservations[j.Spec.ID] == nil
}

// choosePeer returns the peer with a recent summary that has the most free capacity among those that fit all of
// the job's tasks, and whether there is one.
func (t *tick) choosePeer(e *entry) (table.Peer, bool) {
	need := e.job.Spec.Task.Resources
	var fitting []table.Peer
	for _, p := range t.tables.Peers {
		if t.now.Sub(p.At) <= maxSummaryAge && fitsAllTasks(p, &e.job.Spec) {
			fitting = append(fitting, p)
		}
	}
	if len(fitting) == 0 {
		return table.Peer{}, false
	}
	return slices.MinFunc(fitting, func(a, b table.Peer) int {
		if c := b.FitCount(need) - a.FitCount(need); c != 0 {
			return c
		}
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	}), true
}

// AnyPeerFits reports whether some data centre that may run the job showed free capacity for all of its tasks in
// its latest summary.
func AnyPeerFits(s *table.State, j *types.Job) bool {
	for _, p := range s.Peers {
		if fitsAllTasks(p, j) {
			return true
		}
	}
	return false
}

func fitsAllTasks(p table.Peer, j *types.Job) bool {
	return allowedIn(j, p.DataCentre) && p.FitCount(j.Task.Resources) >= j.Workload().Tasks()
}

// reportWaitReasons reports why jobs wait, if the reason has changed and the former one was kept for
// minReasonInterval. One tick reports at most maxReasonsPerTick.
func reportWaitReasons(t *tick) {
	count := 0
	for _, e := range t.lanes.all {
		if count == maxReasonsPerTick {
			return
		}
		if e.waitReason == "" || e.waitReason == e.job.Reason {
			continue
		}
		if e.job.Reason != "" && t.now.Sub(e.job.ReasonAt) < minReasonInterval {
			continue
		}
		count++
		t.add(WaitAction{Job: e.job.Spec.ID, Reason: e.waitReason})
	}
}
