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
	home  = "carthage"
	desk  = "desk"
	tickN = 100 * time.Millisecond
)

var (
	epoch = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	unit  = types.Resources{Cores: types.Core, Memory: 2 * types.GiB}
)

// bed drives a planner over tables by hand, without a lead, workers or a store.
type bed struct {
	t       testing.TB
	tables  *table.State
	planner plan.Planner
	now     time.Time
	seq     int
	last    []plan.Action
}

func newBed(t testing.TB, policy envdoc.PlacementPolicy) *bed {
	return &bed{t: t, tables: table.New(home), planner: plan.New(plan.Config{Policy: policy}), now: epoch}
}

// workers adds workers with room for so many units, four to a rack.
func (b *bed) workers(count, units int) {
	for range count {
		n := len(b.tables.Workers)
		w := b.tables.AddWorker(types.VM{
			ID:       types.VMID(fmt.Sprintf("w%03d", n)),
			Site:     types.Site{Region: "tunis-north", DataCentre: home, Rack: types.Rack(fmt.Sprintf("r%d", n/4))},
			Capacity: unit.Times(units),
		})
		w.Fenced = true
	}
}

func (b *bed) worker(n int) *table.Worker {
	return b.tables.Ordered()[n]
}

// job makes a description of batch work of one-unit tasks, which tests change as they need.
func (b *bed) job(class types.Class, count int) types.Job {
	b.seq++
	return types.Job{
		ID: types.JobID(fmt.Sprintf("%s.1.j%04d", home, b.seq)), Name: "payroll", Team: desk, Class: class,
		Task:  types.TaskSpec{Resources: unit, RunTime: time.Hour, Idempotent: true},
		Batch: &types.Batch{Count: count},
	}
}

func (b *bed) service(count, floor int) types.Job {
	j := b.job(types.ClassNormal, 1)
	j.Batch = nil
	j.Service = &types.Service{Name: "booking", Count: count, Floor: floor, Slots: 8, Connections: 64}
	j.Task.RunTime = 0
	return j
}

func (b *bed) gang(count, units int) types.Job {
	j := b.job(types.ClassNormal, 1)
	j.Batch = nil
	j.Gang = &types.Gang{Count: count}
	j.Task.Resources = unit.Times(units)
	return j
}

func (b *bed) add(j types.Job) *table.Job {
	return b.tables.AddJob(j, b.now)
}

func (b *bed) pass(d time.Duration) {
	b.now = b.now.Add(d)
}

// plan asks the planner without applying its answer.
func (b *bed) plan() []plan.Action {
	b.last = b.planner.Plan(b.tables, b.now)
	return b.last
}

// tick plans and applies, with each start confirmed and each stop done at once.
func (b *bed) tick() []plan.Action {
	b.t.Helper()
	for _, a := range b.plan() {
		b.apply(a)
	}
	b.verify()
	return b.last
}

// settle ticks so often.
func (b *bed) settle(ticks int) {
	b.t.Helper()
	for range ticks {
		b.tick()
		b.pass(tickN)
	}
}

func (b *bed) apply(a plan.Action) {
	b.t.Helper()
	if plan.Apply(b.tables, a, b.now) {
		return
	}
	switch a := a.(type) {
	case plan.StartAction:
		k := b.tables.Tasks[a.Task]
		b.must(b.tables.Assign(k, b.tables.Workers[a.Worker], b.now))
		b.must(b.tables.Confirm(k, "", b.now.Add(time.Minute)))
	case plan.PreemptAction:
		k := b.tables.Tasks[a.Task]
		b.must(b.tables.Stop(k, a.Reason))
		k.Resume = a.Checkpoint
		b.must(b.tables.Finish(k, table.TaskWaiting, a.Reason, b.now))
	case plan.GiveUpAction:
		b.must(b.tables.Finish(b.tables.Tasks[a.Task], table.TaskFailed, a.Reason, b.now))
	case plan.ThrottleAction:
		b.tables.SetThrottle(b.tables.Tasks[a.Task], a.Permille)
	case plan.HandOverAction:
		b.must(b.tables.MoveJob(a.Job, a.To))
	default:
		b.t.Fatalf("action %T is not known", a)
	}
}

// start puts a waiting task on a worker and lets it run.
func (b *bed) start(k *table.Task, w *table.Worker) {
	b.t.Helper()
	b.must(b.tables.Assign(k, w, b.now))
	b.must(b.tables.Confirm(k, "", b.now.Add(time.Minute)))
}

// end ends a running task, well or with a failure.
func (b *bed) end(k *table.Task, failed bool) {
	b.t.Helper()
	state := table.TaskDone
	if failed {
		k.Failures++
		state = table.TaskWaiting
	}
	b.must(b.tables.Finish(k, state, "ended", b.now))
}

func (b *bed) verify() {
	b.t.Helper()
	b.must(table.Verify(b.tables))
}

func (b *bed) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

// only returns the actions of one type.
func only[A plan.Action](actions []plan.Action) []A {
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
	got := only[A](actions)
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
