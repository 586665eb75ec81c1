package lead

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const pairRuns = 40

type (
	// mixedPlanner is a planner that hands some of the jobs over and starts the others.
	mixedPlanner struct {
		from types.DataCentre
	}

	// pairChaos runs two data centres under a random sequence of events.
	pairChaos struct {
		*chaos
	}
)

// Plan hands over about a third of the jobs, which are selected by job ID and time.
func (p mixedPlanner) Plan(s *table.State, now time.Time) []plan.Action {
	to := otherDataCentre
	if p.from == otherDataCentre {
		to = testDataCentre
	}
	var out []plan.Action
	moved := make(map[types.JobID]bool)
	for _, id := range sortedJobIDs(s.Jobs) {
		if int(types.DigestOf([]byte(id))+types.Digest(now.Unix()))%3 == 0 {
			moved[id] = true
			out = append(out, plan.HandOverAction{Job: id, To: to, Reason: "no free capacity"})
		}
	}
	for _, a := range (plan.FirstFit{}).Plan(s, now) {
		if start, ok := a.(plan.StartAction); !ok || !moved[start.Task.Job()] {
			out = append(out, a)
		}
	}
	return out
}

func newPairChaos(t *testing.T) *pairChaos {
	c := &pairChaos{chaos: &chaos{
		fixture:  newFixture(t, 4),
		pending:  make(map[types.JobID]func() (bool, error)),
		accepted: make(map[types.JobID]bool),
	}}
	for i := range 4 {
		c.addWorker(otherDataCentre, i)
	}
	for i := range 2 {
		c.addHandoverDaemon(testDataCentre, fmt.Sprintf("a%d", i))
		c.addHandoverDaemon(otherDataCentre, fmt.Sprintf("b%d", i))
	}
	c.next = 2
	return c
}

func (c *pairChaos) addHandoverDaemon(dc types.DataCentre, name string) {
	c.addDaemon(dc, name).cfg.Planner = mixedPlanner{from: dc}
}

func (c *pairChaos) event(n int) {
	kind, n := n%12, n/12
	c.log = append(c.log, fmt.Sprintf("%d(%d)", kind, n))
	switch kind {
	case 0, 1, 2:
		c.submitOne(n)
	case 3:
		c.cancelOne(n)
	case 4:
		c.replace(n)
	case 5:
		c.killAtStep(n)
	case 6:
		c.daemons[n%len(c.daemons)].paused = n%2 == 0
	case 7:
		c.store.Faults.LoseAnswers(n % 5)
	case 8:
		c.net.LoseAnswers(n % 4)
	case 9:
		c.net.SetPartitioned(testDataCentre, otherDataCentre, n%2 == 0)
	case 10:
		c.store.Faults.SetDown(n%3 == 0)
	default:
		c.ticks(n % 40)
	}
}

// replace kills a daemon and adds a new one to its data centre.
func (c *pairChaos) replace(n int) {
	m := c.daemons[n%len(c.daemons)]
	if m.dead {
		return
	}
	m.dead = true
	c.addHandoverDaemon(m.dataCentre(), fmt.Sprintf("e%d", c.next))
	c.next++
}

// killAtStep kills a leader at a step, those of a handover included.
func (c *pairChaos) killAtStep(n int) {
	steps := append([]step{stepOffer, stepTake}, allSteps...)
	if m := c.leaderOf([]types.DataCentre{testDataCentre, otherDataCentre}[n%2]); m != nil {
		failAt(m, steps[n/2%len(steps)], 1+n%3, func() { panic(killed{}) })
	}
}

func (c *pairChaos) restore() {
	c.store.Faults.SetDown(false)
	c.store.Faults.LoseAnswers(0)
	c.net.LoseAnswers(0)
	c.net.SetPartitioned(testDataCentre, otherDataCentre, false)
	for _, m := range c.daemons {
		m.hook = func(step) {}
		m.paused = false
	}
	c.addHandoverDaemon(testDataCentre, "lasta")
	c.addHandoverDaemon(otherDataCentre, "lastb")
	for range restoreTimeout / tickInterval {
		c.ticks(1)
		if c.leaderOf(testDataCentre) != nil && c.leaderOf(otherDataCentre) != nil && c.checkOutcome() == nil {
			return
		}
	}
}

// checkOutcome returns an error if an accepted job has not ended in exactly one data centre, or took effect
// twice.
func (c *pairChaos) checkOutcome() error {
	ids := make([]string, 0, len(c.accepted))
	for id := range c.accepted {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		if err := c.checkEndedOnce(types.JobID(id)); err != nil {
			return err
		}
	}
	return c.checkEffectsOnce()
}

func (c *pairChaos) checkEndedOnce(id types.JobID) error {
	var states []types.JobState
	for _, dc := range []types.DataCentre{testDataCentre, otherDataCentre} {
		m := c.leaderOf(dc)
		if m == nil {
			return errs.New(errs.Internal, "%s has no leader", dc)
		}
		s, err := m.Status(c.ctx, id)
		if err == nil && s.State != types.JobMoved {
			states = append(states, s.State)
		}
	}
	if len(states) != 1 {
		return errs.New(errs.Internal, "job %s is in %d data centres: %v", id, len(states), states)
	}
	switch states[0] {
	case types.JobDone, types.JobCancelled:
		return nil
	case types.JobUnknown:
		if !c.jobs[id].Task.Idempotent {
			return nil
		}
	default:
	}
	return errs.New(errs.Internal, "job %s ended as %s", id, states[0])
}

func TestRandomFailuresOfTwoDataCentres(t *testing.T) {
	checkRandomly(t, "a job is in one data centre and takes effect once, whatever fails", pairRuns,
		func() randomRun { return newPairChaos(t) })
}
