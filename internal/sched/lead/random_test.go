package lead

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// envRuns names the variable with the number of random sequences, envSeed the one with the first seed.
	envRuns = "MAGNOLIAWALK_LEAD_RUNS"
	envSeed = "MAGNOLIAWALK_LEAD_SEED"

	defaultRuns    = 60
	defaultSeed    = 20260501
	sequenceLength = 60
	// restoreTimeout is how long all work may take to end once all faults are removed.
	restoreTimeout = 4 * time.Minute
)

// chaos runs a fixture under a random sequence of events.
type chaos struct {
	*fixture
	next     int
	pending  map[types.JobID]func() (bool, error)
	accepted map[types.JobID]bool
	log      []string
}

func newChaos(t *testing.T) *chaos {
	c := &chaos{
		fixture:  newFixture(t, 4),
		pending:  make(map[types.JobID]func() (bool, error)),
		accepted: make(map[types.JobID]bool),
	}
	// The quota is below the capacity of the workers, so that it limits placement.
	c.doc.Teams[0].Quota = types.Resources{Cores: 12 * types.Core, Memory: 12 * types.GiB}
	c.addDaemon(testDataCentre, "e0")
	c.addDaemon(testDataCentre, "e1")
	c.addDaemon(testDataCentre, "e2")
	c.next = 3
	return c
}

// event triggers one event; the number selects its kind and its subject.
func (c *chaos) event(n int) {
	kinds := []struct {
		name string
		do   func(n int)
	}{
		{"submit", c.submitOne},
		{"submit", c.submitOne},
		{"submit", c.submitOne},
		{"cancel", c.cancelOne},
		{"kill", c.kill},
		{"killAt", c.killAt},
		{"pause", c.pause},
		{"resume", c.resume},
		{"storeDown", func(n int) { c.store.Faults.SetDown(n%3 > 0) }},
		{"lose", func(n int) { c.store.Faults.LoseAnswers(n % 5) }},
		{"workerDown", func(n int) { c.worker(n).Faults.SetDown(n%2 == 0) }},
		{"workerLose", func(n int) { c.worker(n).Faults.LoseAnswers(n % 4) }},
		{"crash", func(n int) { c.worker(n).Crash() }},
		{"failAll", func(n int) { c.worker(n).FailEverything(n%2 == 0) }},
		{"tick", func(n int) { c.ticks(n % 8) }},
		{"tick", func(n int) { c.ticks(n % 40) }},
		{"wait", func(n int) { c.ticks(10 + n%60) }},
	}
	k := kinds[n%len(kinds)]
	c.log = append(c.log, fmt.Sprintf("%s(%d)", k.name, n/len(kinds)))
	k.do(n / len(kinds))
}

func (c *chaos) ticks(n int) {
	for range n {
		c.tick()
		c.recordOutcomes()
	}
}

// recordOutcomes records which submissions were accepted.
func (c *chaos) recordOutcomes() {
	for id, outcome := range c.pending {
		known, err := outcome()
		if !known {
			continue
		}
		delete(c.pending, id)
		if err == nil {
			c.accepted[id] = true
		}
	}
}

func (c *chaos) submitOne(n int) {
	m := c.leader()
	if m == nil {
		return
	}
	j := c.job(fmt.Sprintf("j%d", len(c.jobs)), func(j *types.Job) {
		j.Batch.Count = 1 + n%3
		j.Task.Idempotent = n%2 == 0
		j.Task.Booking = n%4 < 2
		j.Task.CanCheckpoint = n%5 == 0
		j.Task.RunTime = time.Duration(1+n%40) * time.Second
	})
	c.pending[j.ID] = c.submit(m, j)
}

func (c *chaos) cancelOne(n int) {
	m := c.leader()
	ids := make([]string, 0, len(c.accepted))
	for id := range c.accepted {
		ids = append(ids, string(id))
	}
	if m == nil || len(ids) == 0 {
		return
	}
	sort.Strings(ids)
	m.mu.Lock()
	_, _ = m.cancel(types.JobID(ids[n%len(ids)]))
	m.mu.Unlock()
}

func (c *chaos) kill(n int) {
	c.replace(c.daemons[n%len(c.daemons)])
}

// replace kills a daemon and adds a new one.
func (c *chaos) replace(m *daemon) {
	if !m.dead {
		m.dead = true
		c.addDaemon(testDataCentre, fmt.Sprintf("e%d", c.next))
		c.next++
	}
}

func (c *chaos) killAt(n int) {
	m := c.leader()
	if m == nil {
		return
	}
	failAt(m, allSteps[n%len(allSteps)], 1+n%4, func() { panic(killed{}) })
}

func (c *chaos) pause(n int) { c.daemons[n%len(c.daemons)].paused = true }

func (c *chaos) resume(int) {
	for _, m := range c.daemons {
		m.paused = false
	}
}

func (c *chaos) worker(n int) *worker.Memory {
	return c.workers[types.VMID(fmt.Sprintf("%s-w%02d", testDataCentre, n/4%4))]
}

// restore removes all faults and ticks until all work has ended, or restoreTimeout has passed.
func (c *chaos) restore() {
	c.store.Faults.SetDown(false)
	c.store.Faults.LoseAnswers(0)
	for _, w := range c.workers {
		w.Faults.SetDown(false)
		w.Faults.LoseAnswers(0)
		w.FailEverything(false)
	}
	c.resume(0)
	for _, m := range c.daemons {
		m.hook = func(step) {}
	}
	c.addDaemon(testDataCentre, "last")
	for range restoreTimeout / tickInterval {
		c.ticks(1)
		if c.leader() != nil && c.checkOutcome() == nil {
			return
		}
	}
}

// checkOutcome returns an error if an accepted job has not ended, an idempotent one ended as unknown, or a task
// took effect twice.
func (c *chaos) checkOutcome() error {
	if c.leader() == nil {
		return errs.New(errs.Internal, "there is no leader at the end")
	}
	for id := range c.accepted {
		switch s := c.state(id); s {
		case types.JobDone, types.JobCancelled, types.JobFailed:
		case types.JobUnknown:
			if c.jobs[id].Task.Idempotent {
				return errs.New(errs.Internal, "idempotent job %s ended as %s", id, s)
			}
		default:
			return errs.New(errs.Internal, "accepted job %s is %q at the end", id, s)
		}
	}
	return c.checkEffectsOnce()
}

// checkEffectsOnce returns an error if the journal holds more than one result Done of a task.
func (c *chaos) checkEffectsOnce() error {
	page, err := c.store.As(testDataCentre, meter.Discard()).List(c.ctx, "Journal/")
	if err != nil {
		return err
	}
	done := make(map[types.TaskID]int)
	for _, entry := range page.Entries {
		var s commit.Segment
		if err := json.Unmarshal(entry.Value, &s); err != nil {
			return err
		}
		for _, r := range s.Records {
			if r.End != nil && r.End.State == table.TaskDone {
				done[r.End.Task]++
			}
		}
	}
	for id, n := range done {
		if n > 1 {
			return errs.New(errs.Internal, "the effect of %s was committed %d times", id, n)
		}
	}
	return nil
}

func envInt(name string, otherwise int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return otherwise
}

func TestRandomFailures(t *testing.T) {
	checkRandomly(t, "what was accepted takes effect once, whatever fails", defaultRuns, func() randomRun { return newChaos(t) })
}

// randomRun is one run of a random sequence of events, with the check of its outcome.
type randomRun interface {
	ticks(n int)
	event(n int)
	restore()
	checkOutcome() error
	history() []string
}

// checkRandomly runs random sequences of events from a fixed seed and checks the outcome of each.
func checkRandomly(t *testing.T, name string, runs int64, start func() randomRun) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(envInt(envSeed, defaultSeed))
	parameters.MinSuccessfulTests = int(envInt(envRuns, runs))
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAllNoShrink(
		func(events []int) (bool, error) {
			c := start()
			c.ticks(8)
			for _, n := range events {
				c.event(n)
				c.ticks(1)
			}
			c.restore()
			if err := c.checkOutcome(); err != nil {
				t.Log(c.history())
				return false, err
			}
			return true, nil
		},
		gen.SliceOfN(sequenceLength, gen.IntRange(0, 100_000)),
	))
	properties.TestingRun(t)
}

func (c *chaos) history() []string { return c.log }
