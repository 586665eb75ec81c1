package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	home         = "carthage"
	testTeam     = "desk"
	tickInterval = 100 * time.Millisecond
)

var (
	startTime = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	unit      = types.Resources{Cores: types.Core, Memory: 2 * types.GiB}
)

// fixture drives a planner over tables step by step, without a leader, workers or a store.
type fixture struct {
	t       testing.TB
	tables  *table.State
	planner plan.Planner
	now     time.Time
	seq     int
	last    []plan.Action
}

func newFixture(t testing.TB, policy envdoc.PlacementPolicy) *fixture {
	return &fixture{t: t, tables: table.New(home), planner: plan.New(plan.Config{Policy: policy}), now: startTime}
}

// addWorkers adds workers, each with the capacity of the given units, four to a rack.
func (f *fixture) addWorkers(count, units int) {
	for range count {
		n := len(f.tables.Workers)
		w := f.tables.AddWorker(types.VM{
			ID:       types.VMID(fmt.Sprintf("w%03d", n)),
			Site:     types.Site{Region: "tunis-north", DataCentre: home, Rack: types.Rack(fmt.Sprintf("r%d", n/4))},
			Capacity: unit.Times(units),
		})
		w.Fenced = true
	}
}

// worker returns the n-th worker by ID.
func (f *fixture) worker(n int) *table.Worker {
	return f.tables.Ordered()[n]
}

// job returns the description of a batch of one-unit tasks; tests change it as they need.
func (f *fixture) job(class types.Class, count int) types.Job {
	f.seq++
	return types.Job{
		ID: types.JobID(fmt.Sprintf("%s.1.j%04d", home, f.seq)), Name: "payroll", Team: testTeam, Class: class,
		Task:  types.TaskSpec{Resources: unit, RunTime: time.Hour, Idempotent: true},
		Batch: &types.Batch{Count: count},
	}
}

// service returns the description of a service of one-unit tasks.
func (f *fixture) service(count, floor int) types.Job {
	j := f.job(types.ClassNormal, 1)
	j.Batch = nil
	j.Service = &types.Service{Name: "booking", Count: count, Floor: floor, Slots: 8, Connections: 64}
	j.Task.RunTime = 0
	return j
}

// gang returns the description of an all-at-once job with tasks of the given units.
func (f *fixture) gang(count, units int) types.Job {
	j := f.job(types.ClassNormal, 1)
	j.Batch = nil
	j.Gang = &types.Gang{Count: count}
	j.Task.Resources = unit.Times(units)
	return j
}

// add adds a job that is accepted now.
func (f *fixture) add(j types.Job) *table.Job {
	return f.tables.AddJob(j, f.now)
}

// advance moves the clock forward.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
}

// plan runs the planner without applying its actions.
func (f *fixture) plan() []plan.Action {
	f.last = f.planner.Plan(f.tables, f.now)
	return f.last
}

// tick plans, applies the actions with each start confirmed and each stop completed at once, and verifies the
// tables.
func (f *fixture) tick() []plan.Action {
	f.t.Helper()
	for _, a := range f.plan() {
		f.apply(a)
	}
	f.verify()
	return f.last
}

// runTicks runs ticks at tickInterval.
func (f *fixture) runTicks(ticks int) {
	f.t.Helper()
	for range ticks {
		f.tick()
		f.advance(tickInterval)
	}
}

// apply applies one action; a start is confirmed and a stop completed at once.
func (f *fixture) apply(a plan.Action) {
	f.t.Helper()
	if plan.Apply(f.tables, a, f.now) {
		return
	}
	switch a := a.(type) {
	case plan.StartAction:
		k := f.tables.Tasks[a.Task]
		f.must(f.tables.Assign(k, f.tables.Workers[a.Worker], f.now))
		f.must(f.tables.Confirm(k, "", f.now.Add(time.Minute)))
	case plan.PreemptAction:
		k := f.tables.Tasks[a.Task]
		f.must(f.tables.Stop(k, a.Reason))
		k.Resume = a.Checkpoint
		f.must(f.tables.Finish(k, table.TaskWaiting, a.Reason, f.now))
	case plan.GiveUpAction:
		f.must(f.tables.Finish(f.tables.Tasks[a.Task], table.TaskFailed, a.Reason, f.now))
	case plan.ThrottleAction:
		f.tables.SetThrottle(f.tables.Tasks[a.Task], a.Permille)
	case plan.HandOverAction:
		f.must(f.tables.MoveJob(a.Job, a.To))
	default:
		f.t.Fatalf("unknown action type %T", a)
	}
}

// startTask assigns a waiting task to a worker and confirms it.
func (f *fixture) startTask(k *table.Task, w *table.Worker) {
	f.t.Helper()
	f.must(f.tables.Assign(k, w, f.now))
	f.must(f.tables.Confirm(k, "", f.now.Add(time.Minute)))
}

// endTask ends a running task with success or a failure.
func (f *fixture) endTask(k *table.Task, failed bool) {
	f.t.Helper()
	state := table.TaskDone
	if failed {
		k.Failures++
		state = table.TaskWaiting
	}
	f.must(f.tables.Finish(k, state, "ended", f.now))
}

func (f *fixture) verify() {
	f.t.Helper()
	f.must(table.Verify(f.tables))
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// actionsOf returns the actions of type A.
func actionsOf[A plan.Action](actions []plan.Action) []A {
	var out []A
	for _, a := range actions {
		if typed, ok := a.(A); ok {
			out = append(out, typed)
		}
	}
	return out
}

// assertCount checks that there are want actions of type A, and returns them.
func assertCount[A plan.Action](t testing.TB, actions []plan.Action, want int) []A {
	t.Helper()
	got := actionsOf[A](actions)
	if len(got) != want {
		t.Fatalf("got %d actions of type %T, want %d: %+v", len(got), *new(A), want, actions)
	}
	return got
}

// assertRunning checks how many of the job's tasks are running.
func assertRunning(t testing.TB, j *table.Job, want int) {
	t.Helper()
	if j.Counts.Running != want {
		t.Fatalf("job %s (%s) has %d tasks running, want %d; reason for waiting: %s", j.Spec.ID, j.Spec.Class, j.Counts.Running, want, j.Reason)
	}
}
