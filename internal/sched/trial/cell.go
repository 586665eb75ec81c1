package trial

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Kinds of events.
const (
	startConfirmed eventKind = iota
	taskEnded
	stopConfirmed
)

const (
	site                  = "trial-site"
	acceleratorsPerWorker = 8
	// quotaFactor is the sum of the teams' quotas over the capacity of the data centre, within the bound that
	// maxQuotaParts sets.
	quotaFactor = 4
	// maxQuotaParts keeps the quota of each team at a quarter of the data centre at least.
	maxQuotaParts = 4
	// verifyIntervalTicks is the number of ticks between checks of the tables' invariants.
	verifyIntervalTicks = 50
)

type (
	eventKind int

	// event is a scheduled event of one attempt.
	event struct {
		at       time.Time
		sequence int
		kind     eventKind
		task     *table.Task
		number   int
	}

	eventHeap []event

	// progress holds the remaining run time of a task, and since when its attempt has been running.
	progress struct {
		remaining    time.Duration
		runningSince time.Time
		hasStarted   bool
	}

	// cell is the simulated data centre of one run.
	cell struct {
		config       Config
		planner      plan.Planner
		tables       *table.State
		now          time.Time
		begin        time.Time
		arrivals     []Arrival
		events       eventHeap
		lastSequence int
		progress     map[types.TaskID]*progress
		result       *Result
		ticks        int
		samples      int
	}
)

// Len returns the number of events. With Less, Swap, Push and Pop it implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and those of the same time in the order in which they were scheduled.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newCell(c Config, e Entrant) *cell {
	begin := time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)
	out := &cell{
		config:   c,
		planner:  e.Make(),
		tables:   table.New(site),
		now:      begin,
		begin:    begin,
		arrivals: c.Arrivals(c),
		progress: make(map[types.TaskID]*progress),
		result:   newResult(c, e),
	}
	out.addWorkers()
	out.addTeams()
	return out
}

func (c *cell) addWorkers() {
	left := c.config.Accelerators
	for i := range c.config.Workers {
		capacity := c.config.Capacity
		capacity.Accelerators = types.Accelerators(min(left, acceleratorsPerWorker))
		left -= int(capacity.Accelerators)
		w := c.tables.AddWorker(types.VM{
			ID: types.VMID(fmt.Sprintf("worker-%04d", i)), Role: types.RoleWorker, State: types.VMLive,
			Site:     types.Site{DataCentre: site, Rack: types.Rack(fmt.Sprintf("rack-%d", i/c.config.PerRack))},
			Capacity: capacity,
		})
		w.Fenced = true
	}
}

func (c *cell) addTeams() {
	total := c.config.Capacity.Times(c.config.Workers)
	total.Accelerators = types.Accelerators(c.config.Accelerators)
	parts := max(1, min(c.config.Teams/quotaFactor, maxQuotaParts))
	quota := types.Resources{
		Cores:        total.Cores / types.MilliCores(parts),
		Memory:       total.Memory / types.MiB(parts),
		Accelerators: total.Accelerators / types.Accelerators(parts),
	}
	for i := range c.config.Teams {
		c.tables.SetQuota(teamName(i), quota)
	}
}

func teamName(i int) types.TeamID {
	return types.TeamID(fmt.Sprintf("team-%d", i))
}

func (c *cell) run() error {
	end := c.begin.Add(c.config.Duration)
	last := end.Add(c.config.Drain)
	for !c.now.After(last) {
		if err := c.runTick(); err != nil {
			return err
		}
		if c.now.Before(end) {
			c.sampleOccupancy()
		} else if c.onlyServicesLeft() {
			break
		}
		c.now = c.now.Add(c.config.Tick)
	}
	c.completeResult()
	return table.Verify(c.tables)
}

// runTick handles the events since the last tick, submits the jobs that have arrived, has the planner decide, and
// applies its actions.
func (c *cell) runTick() error {
	for c.events.Len() > 0 && !c.events[0].at.After(c.now) {
		if err := c.handleEvent(heap.Pop(&c.events).(event)); err != nil {
			return err
		}
	}
	c.submitArrivals()
	before := c.config.Wall.Now()
	actions := c.planner.Plan(c.tables, c.now)
	decisionTime := c.config.Wall.Since(before)
	c.result.Deciding += decisionTime
	c.result.recordDecision(decisionTime)
	for _, a := range actions {
		if err := c.applyAction(a); err != nil {
			return err
		}
	}
	c.ticks++
	if c.ticks%verifyIntervalTicks == 0 {
		return table.Verify(c.tables)
	}
	return nil
}

func (c *cell) submitArrivals() {
	for len(c.arrivals) > 0 && !c.begin.Add(c.arrivals[0].At).After(c.now) {
		a := c.arrivals[0]
		c.arrivals = c.arrivals[1:]
		j := c.tables.AddJob(a.Job, c.begin.Add(a.At))
		for _, t := range j.Tasks {
			c.progress[t.ID] = &progress{remaining: a.RunTime}
		}
		if !j.Deadline.IsZero() {
			c.result.Deadlines++
		}
	}
}

func (c *cell) applyAction(a plan.Action) error {
	if plan.Apply(c.tables, a, c.now) {
		return nil
	}
	switch a := a.(type) {
	case plan.StartAction:
		t := c.tables.Tasks[a.Task]
		if err := c.tables.Assign(t, c.tables.Workers[a.Worker], c.now); err != nil {
			return err
		}
		c.result.Starts++
		c.scheduleEvent(c.config.StartDelay, startConfirmed, t)
	case plan.PreemptAction:
		t := c.tables.Tasks[a.Task]
		if err := c.tables.Stop(t, a.Reason); err != nil {
			return err
		}
		t.Resume = a.Checkpoint
		c.result.Preemptions++
		c.scheduleEvent(c.config.StopDelay, stopConfirmed, t)
	case plan.GiveUpAction:
		return c.tables.Finish(c.tables.Tasks[a.Task], table.TaskFailed, a.Reason, c.now)
	default:
	}
	return nil
}

func (c *cell) scheduleEvent(delay time.Duration, kind eventKind, t *table.Task) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now.Add(delay), sequence: c.lastSequence, kind: kind, task: t, number: t.Number})
}

// handleEvent handles an event, unless the attempt that it belongs to has ended.
func (c *cell) handleEvent(e event) error {
	if e.task.Number != e.number || !e.task.State.Occupies() {
		return nil
	}
	switch e.kind {
	case startConfirmed:
		return c.confirmStart(e)
	case taskEnded:
		return c.endTask(e)
	default:
		return c.confirmStop(e)
	}
}

func (c *cell) confirmStart(e event) error {
	if e.task.State != table.TaskIntended {
		return nil
	}
	if err := c.tables.Confirm(e.task, "", c.now); err != nil {
		return err
	}
	p := c.progress[e.task.ID]
	p.runningSince = e.at
	if !p.hasStarted {
		p.hasStarted = true
		c.recordWait(e.task.Job, e.at.Sub(e.task.Job.Accepted))
	}
	if e.task.Job.Spec.Service == nil {
		c.scheduleEvent(p.remaining, taskEnded, e.task)
	}
	return nil
}

func (c *cell) recordWait(j *table.Job, wait time.Duration) {
	if j.Spec.Service != nil {
		return
	}
	// Values outside the range of the histogram are counted at its nearest end.
	millis := min(max(wait.Milliseconds(), 1), maxWaitMillis)
	_ = c.result.Waits[j.Spec.Class].RecordValue(millis)
}

func (c *cell) endTask(e event) error {
	j := e.task.Job
	if err := c.tables.Finish(e.task, table.TaskDone, "", c.now); err != nil {
		return err
	}
	delete(c.progress, e.task.ID)
	if j.Counts.Ended() < len(j.Tasks) {
		return nil
	}
	if d := j.Deadline; !d.IsZero() && e.at.After(d) {
		c.result.Missed++
	}
	return c.tables.RemoveJob(j.Spec.ID)
}

func (c *cell) confirmStop(e event) error {
	p := c.progress[e.task.ID]
	if e.task.Resume && !p.runningSince.IsZero() {
		p.remaining -= c.now.Sub(p.runningSince)
	}
	p.runningSince = time.Time{}
	return c.tables.Finish(e.task, table.TaskWaiting, "stopped", c.now)
}

// onlyServicesLeft reports whether all jobs that have not ended are services.
func (c *cell) onlyServicesLeft() bool {
	for _, j := range c.tables.Jobs {
		if j.Spec.Service == nil {
			return false
		}
	}
	return true
}

// sampleOccupancy adds the shares of cores that are occupied now to the result.
func (c *cell) sampleOccupancy() {
	var used, inUse, all types.MilliCores
	for _, w := range c.tables.Ordered() {
		all += w.VM.Capacity.Cores
		used += w.Used.Cores
		if w.Used.Cores > 0 {
			inUse += w.VM.Capacity.Cores
		}
	}
	c.samples++
	c.result.Occupied += float64(used) / float64(all)
	if inUse > 0 {
		c.result.Packing += float64(used) / float64(inUse)
	}
}

// completeResult turns sums into means, and counts the tasks that never started and the jobs that have not ended
// by their deadline.
func (c *cell) completeResult() {
	n := float64(max(1, c.samples))
	c.result.Packing /= n
	c.result.Occupied /= n
	if s, ok := c.planner.(*plan.Systems); ok {
		c.result.Examined = s.Examined()
	}
	for _, j := range c.tables.Jobs {
		if j.Spec.Service != nil {
			continue
		}
		if d := j.Deadline; !d.IsZero() && c.now.After(d) {
			c.result.Missed++
		}
		for _, t := range j.Tasks {
			if p := c.progress[t.ID]; p != nil && !p.hasStarted {
				c.result.Waiting[j.Spec.Class]++
				c.recordWait(j, c.now.Sub(j.Accepted))
			}
		}
	}
}

func (r *Result) recordDecision(decisionTime time.Duration) {
	// Values outside the range of the histogram are counted at its nearest end.
	micros := min(max(decisionTime.Microseconds(), 1), r.Decision.HighestTrackableValue())
	_ = r.Decision.RecordValue(micros)
}
