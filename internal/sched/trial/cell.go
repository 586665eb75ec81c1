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
	confirmed eventKind = iota
	ended
	stopped
)

const (
	site                  = "trial-site"
	acceleratorsPerWorker = 8
	// quotaFactor is how often the teams' quotas together hold the data centre.
	quotaFactor = 4
	// minQuotaParts keeps a team's quota at a quarter of the data centre at least.
	minQuotaParts = 4
	// verifyEvery is how many ticks pass between checks of the tables.
	verifyEvery = 50
)

type (
	eventKind int

	// event is something that will happen to one attempt.
	event struct {
		at     time.Time
		order  int
		kind   eventKind
		task   *table.Task
		number int
	}

	eventHeap []event

	// progress is what remains of a task and since when it runs.
	progress struct {
		left    time.Duration
		since   time.Time
		started bool
	}

	// cell is one data centre during a run.
	cell struct {
		config   Config
		planner  plan.Planner
		tables   *table.State
		now      time.Time
		begin    time.Time
		arrivals []Arrival
		events   eventHeap
		order    int
		work     map[types.TaskID]*progress
		result   *Result
		ticks    int
		samples  int
	}
)

// Len, Less, Swap, Push and Pop make the heap.
func (h eventHeap) Len() int { return len(h) }

// Less puts the earlier event first, and events of the same time in the order in which they were made.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newCell(c Config, e Entrant) *cell {
	begin := time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)
	x := &cell{
		config:   c,
		planner:  e.Make(),
		tables:   table.New(site),
		now:      begin,
		begin:    begin,
		arrivals: c.Arrivals(c),
		work:     make(map[types.TaskID]*progress),
		result:   newResult(c, e),
	}
	x.addWorkers()
	x.addTeams()
	return x
}

func (x *cell) addWorkers() {
	left := x.config.Accelerators
	for i := range x.config.Workers {
		capacity := x.config.Capacity
		capacity.Accelerators = types.Accelerators(min(left, acceleratorsPerWorker))
		left -= int(capacity.Accelerators)
		w := x.tables.AddWorker(types.VM{
			ID: types.VMID(fmt.Sprintf("worker-%04d", i)), Role: types.RoleWorker, State: types.VMLive,
			Site:     types.Site{DataCentre: site, Rack: types.Rack(fmt.Sprintf("rack-%d", i/x.config.PerRack))},
			Capacity: capacity,
		})
		w.Fenced = true
	}
}

func (x *cell) addTeams() {
	total := x.config.Capacity.Times(x.config.Workers)
	total.Accelerators = types.Accelerators(x.config.Accelerators)
	parts := max(1, min(x.config.Teams/quotaFactor, minQuotaParts))
	quota := types.Resources{
		Cores:        total.Cores / types.MilliCores(parts),
		Memory:       total.Memory / types.MiB(parts),
		Accelerators: total.Accelerators / types.Accelerators(parts),
	}
	for i := range x.config.Teams {
		x.tables.SetQuota(teamName(i), quota)
	}
}

func teamName(i int) types.TeamID {
	return types.TeamID(fmt.Sprintf("team-%d", i))
}

func (x *cell) run() error {
	end := x.begin.Add(x.config.Duration)
	last := end.Add(x.config.Drain)
	for !x.now.After(last) {
		if err := x.step(); err != nil {
			return err
		}
		if x.now.Before(end) {
			x.sample()
		} else if x.isIdle() {
			break
		}
		x.now = x.now.Add(x.config.Tick)
	}
	x.conclude()
	return table.Verify(x.tables)
}

// step is one tick: what happened since the last one, then a decision and its application.
func (x *cell) step() error {
	for x.events.Len() > 0 && !x.events[0].at.After(x.now) {
		if err := x.handle(heap.Pop(&x.events).(event)); err != nil {
			return err
		}
	}
	x.submit()
	before := x.config.Wall.Now()
	actions := x.planner.Plan(x.tables, x.now)
	took := x.config.Wall.Since(before)
	x.result.Deciding += took
	x.result.record(took)
	for _, a := range actions {
		if err := x.apply(a); err != nil {
			return err
		}
	}
	x.ticks++
	if x.ticks%verifyEvery == 0 {
		return table.Verify(x.tables)
	}
	return nil
}

func (x *cell) submit() {
	for len(x.arrivals) > 0 && !x.begin.Add(x.arrivals[0].At).After(x.now) {
		a := x.arrivals[0]
		x.arrivals = x.arrivals[1:]
		j := x.tables.AddJob(a.Job, x.begin.Add(a.At))
		for _, k := range j.Tasks {
			x.work[k.ID] = &progress{left: a.RunTime}
		}
		if !j.Deadline.IsZero() {
			x.result.Deadlines++
		}
	}
}

func (x *cell) apply(a plan.Action) error {
	if plan.Apply(x.tables, a, x.now) {
		return nil
	}
	switch a := a.(type) {
	case plan.StartAction:
		k := x.tables.Tasks[a.Task]
		if err := x.tables.Assign(k, x.tables.Workers[a.Worker], x.now); err != nil {
			return err
		}
		x.result.Starts++
		x.at(x.config.StartDelay, confirmed, k)
	case plan.PreemptAction:
		k := x.tables.Tasks[a.Task]
		if err := x.tables.Stop(k, a.Reason); err != nil {
			return err
		}
		k.Resume = a.Checkpoint
		x.result.Preemptions++
		x.at(x.config.StopDelay, stopped, k)
	case plan.GiveUpAction:
		return x.tables.Finish(x.tables.Tasks[a.Task], table.TaskFailed, a.Reason, x.now)
	default:
	}
	return nil
}

func (x *cell) at(delay time.Duration, kind eventKind, k *table.Task) {
	x.order++
	heap.Push(&x.events, event{at: x.now.Add(delay), order: x.order, kind: kind, task: k, number: k.Number})
}

func (x *cell) handle(e event) error {
	if e.task.Number != e.number || !e.task.State.Occupies() {
		return nil
	}
	switch e.kind {
	case confirmed:
		return x.confirm(e)
	case ended:
		return x.end(e)
	default:
		return x.stop(e)
	}
}

func (x *cell) confirm(e event) error {
	if e.task.State != table.TaskIntended {
		return nil
	}
	if err := x.tables.Confirm(e.task, "", x.now); err != nil {
		return err
	}
	p := x.work[e.task.ID]
	p.since = e.at
	if !p.started {
		p.started = true
		x.recordWait(e.task.Job, e.at.Sub(e.task.Job.Accepted))
	}
	if e.task.Job.Spec.Service == nil {
		x.at(p.left, ended, e.task)
	}
	return nil
}

func (x *cell) recordWait(j *table.Job, wait time.Duration) {
	if j.Spec.Service != nil {
		return
	}
	// Values beyond the range are counted at its end.
	millis := min(max(wait.Milliseconds(), 1), maxWaitMillis)
	_ = x.result.Waits[j.Spec.Class].RecordValue(millis)
}

func (x *cell) end(e event) error {
	j := e.task.Job
	if err := x.tables.Finish(e.task, table.TaskDone, "", x.now); err != nil {
		return err
	}
	delete(x.work, e.task.ID)
	if j.Counts.Ended() < len(j.Tasks) {
		return nil
	}
	if d := j.Deadline; !d.IsZero() && e.at.After(d) {
		x.result.Missed++
	}
	return x.tables.RemoveJob(j.Spec.ID)
}

func (x *cell) stop(e event) error {
	p := x.work[e.task.ID]
	if e.task.Resume && !p.since.IsZero() {
		p.left -= x.now.Sub(p.since)
	}
	p.since = time.Time{}
	return x.tables.Finish(e.task, table.TaskWaiting, "stopped", x.now)
}

// isIdle tells whether only services are left.
func (x *cell) isIdle() bool {
	for _, j := range x.tables.Jobs {
		if j.Spec.Service == nil {
			return false
		}
	}
	return true
}

// sample takes up how much of the workers is occupied.
func (x *cell) sample() {
	var used, inUse, all types.MilliCores
	for _, w := range x.tables.Ordered() {
		all += w.VM.Capacity.Cores
		used += w.Used.Cores
		if w.Used.Cores > 0 {
			inUse += w.VM.Capacity.Cores
		}
	}
	x.samples++
	x.result.Occupied += float64(used) / float64(all)
	if inUse > 0 {
		x.result.Packing += float64(used) / float64(inUse)
	}
}

// conclude counts what never started or never ended.
func (x *cell) conclude() {
	n := float64(max(1, x.samples))
	x.result.Packing /= n
	x.result.Occupied /= n
	if s, ok := x.planner.(*plan.Systems); ok {
		x.result.Examined = s.Examined()
	}
	for _, j := range x.tables.Jobs {
		if j.Spec.Service != nil {
			continue
		}
		if d := j.Deadline; !d.IsZero() && x.now.After(d) {
			x.result.Missed++
		}
		for _, k := range j.Tasks {
			if p := x.work[k.ID]; p != nil && !p.started {
				x.result.Waiting[j.Spec.Class]++
				x.recordWait(j, x.now.Sub(j.Accepted))
			}
		}
	}
}

func (r *Result) record(took time.Duration) {
	// Values beyond the range are counted at its end.
	micros := min(max(took.Microseconds(), 1), r.Decision.HighestTrackableValue())
	_ = r.Decision.RecordValue(micros)
}
