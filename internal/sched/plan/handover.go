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
	// handOverAfter is how long a job waits for room here before it is offered to another data centre.
	handOverAfter = time.Minute
	// freshSummary is how old a peer's summary may be.
	freshSummary = 30 * time.Second
	// maxHandOvers bounds the jobs that are handed over in one tick, since a summary does not show them.
	maxHandOvers = 1
	// reasonFor is how long a reason for waiting stands before another one replaces it.
	reasonFor = 10 * time.Second
	// maxReasons bounds the reasons for waiting that one tick reports.
	maxReasons = 50
)

// handOver offers jobs that do not fit here to a data centre whose summary shows room for all of their
// tasks. Services stay, since their data centre is part of their description.
func handOver(t *tick) {
	count := 0
	for _, e := range t.lanes.all {
		if count == maxHandOvers || len(t.tables.Peers) == 0 {
			return
		}
		if !t.mayLeave(e) {
			continue
		}
		peer, ok := t.peerFor(e)
		if !ok {
			continue
		}
		count++
		t.add(HandOverAction{
			Job: e.job.Spec.ID,
			To:  peer.DataCentre,
			Reason: fmt.Sprintf("%s; %s shows room for %d of %d tasks",
				e.why, peer.DataCentre, peer.FitCount(e.job.Spec.Task.Resources), len(e.job.Tasks)),
		})
	}
}

// mayLeave tells whether a job has nothing here yet and waits for room.
func (t *tick) mayLeave(e *entry) bool {
	j := e.job
	if j.Spec.Service != nil || j.Counts.Waiting != len(j.Tasks) || e.next != len(j.Tasks) {
		return false
	}
	if e.why == whyTooBig || e.why == whyElsewhere {
		return true
	}
	hasNoRoom := e.why == whyRoom || e.why == whyGang || e.why == whyHeadroom
	return hasNoRoom && t.now.Sub(e.idle) >= handOverAfter && t.tables.Reservations[j.Spec.ID] == nil
}

// peerFor returns the peer with the most room that holds all of the job's tasks.
func (t *tick) peerFor(e *entry) (table.Peer, bool) {
	need := e.job.Spec.Task.Resources
	var fitting []table.Peer
	for _, p := range t.tables.Peers {
		if t.now.Sub(p.At) <= freshSummary && holdsAll(p, &e.job.Spec) {
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

// AnyPeerHolds tells whether some data centre that may run the job showed room for all of its tasks in its
// latest summary.
func AnyPeerHolds(s *table.State, j *types.Job) bool {
	for _, p := range s.Peers {
		if holdsAll(p, j) {
			return true
		}
	}
	return false
}

func holdsAll(p table.Peer, j *types.Job) bool {
	return allowedIn(j, p.DataCentre) && p.FitCount(j.Task.Resources) >= j.Workload().Tasks()
}

// explainWaits tells why jobs wait, where the reason has changed and the former one stood for a while.
func explainWaits(t *tick) {
	count := 0
	for _, e := range t.lanes.all {
		if count == maxReasons {
			return
		}
		if e.why == "" || e.why == e.job.Reason {
			continue
		}
		if e.job.Reason != "" && t.now.Sub(e.job.ReasonAt) < reasonFor {
			continue
		}
		count++
		t.add(WaitAction{Job: e.job.Spec.ID, Reason: e.why})
	}
}
