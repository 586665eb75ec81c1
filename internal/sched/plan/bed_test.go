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

// fixture drives a planner over tables by hand, without a lead, workers or a store.
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

// addWorkers adds workers with room for so many units, four to a rack.
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

func (f *fixture) worker(n int) *table.Worker {
	return f.tables.Ordered()[n]
}

// job makes a description of batch work of one-unit tasks, which tests change as they need.
func (f *fixture) job(class types.Class, count int) types.Job {
	f.seq++
	return types.Job{
		ID: types.JobID(fmt.Sprintf("%s.1.j%04d", home, f.seq)), Name: "payroll", Team: testTeam, Class: class,
		Task:  types.TaskSpec{Resources: unit, RunTime: time.Hour, Idempotent: true},
		Batch: &types.Batch{Count: count},
	}
}

func (f *fixture) service(count, floor int) types.Job {
	j := f.job(types.ClassNormal, 1)
	j.Batch = nil
	j.Service = &types.Service{Name: "booking", Count: count, Floor: floor, Slots: 8, Connections: 64}
	j.Task.RunTime = 0
	return j
}

func (f *fixture) gang(count, units int) types.Job {
	j := f.job(types.ClassNormal, 1)
	j.Batch = nil
	j.Gang = &types.Gang{Count: count}
	j.Task.Resources = unit.Times(units)
	return j
}

func (f *fixture) add(j types.Job) *table.Job {
	return f.tables.AddJob(j, f.now)
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
}

// plan asks the planner without applying its answer.
func (f *fixture) plan() []plan.Action {
	f.last = f.planner.Plan(f.tables, f.now)
	return f.last
}

// tick plans and applies, with each start confirmed and each stop done at once.
func (f *fixture) tick() []plan.Action {
	f.t.Helper()
	for _, a := range f.plan() {
		f.apply(a)
	}
	f.verify()
	return f.last
}

// runTicks ticks so often.
func (f *fixture) runTicks(ticks int) {
	f.t.Helper()
	for range ticks {
		f.tick()
		f.advance(tickInterval)
	}
}

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
		f.t.Fatalf("action %T is not known", a)
	}
}

// startTask puts a waiting task on a worker and lets it run.
func (f *fixture) startTask(k *table.Task, w *table.Worker) {
	f.t.Helper()
	f.must(f.tables.Assign(k, w, f.now))
	f.must(f.tables.Confirm(k, "", f.now.Add(time.Minute)))
}

// endTask ends a running task, well or with a failure.
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

// actionsOf returns the actions of one type.
func actionsOf[A plan.Action](actions []plan.Action) []A {
	var out []A
	for _, a := range actions {
		if typed, ok := a.(A); ok {
			out = append(out, typed)
		}
	}
	return out
}

func assertCount[A plan.Action](t testing.TB, actions []plan.Action, want int) []A {
	t.Helper()
	got := actionsOf[A](actions)
	if len(got) != want {
		t.Fatalf("%d actions of type %T, want %d: %+v", len(got), *new(A), want, actions)
	}
	return got
}

func assertRunning(t testing.TB, j *table.Job, want int) {
	t.Helper()
	if j.Counts.Running != want {
		t.Fatalf("job %s (%s) has %d tasks running, want %d; %s", j.Spec.ID, j.Spec.Class, j.Counts.Running, want, j.Reason)
	}
}
