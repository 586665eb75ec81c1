package plan_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// seedsVariable asks for a longer run: the number of seeds, each with a hundred sequences.
	seedsVariable = "MAGNOLIA_SEEDS"
	stepsPerRun   = 150
)

// world lets random events happen to the tables of a bed, with starts and stops confirmed late or never.
type world struct {
	*bed
	random *rand.Rand
	steps  []string
}

// event is one thing that may happen, with its weight.
type event struct {
	name   string
	weight int
	happen func(w *world)
}

var events = []event{
	{"tick", 12, (*world).tickLate},
	{"pass", 6, func(w *world) { w.pass(time.Duration(w.random.IntN(120_000)) * time.Millisecond) }},
	{"submit", 8, (*world).submit},
	{"confirm", 12, func(w *world) {
		w.each(table.TaskIntended, func(k *table.Task) { w.must(w.tables.Confirm(k, "", w.now)) })
	}},
	{"refuse", 1, func(w *world) { w.one(table.TaskIntended, func(k *table.Task) { w.finish(k, table.TaskWaiting) }) }},
	{"end", 6, func(w *world) { w.one(table.TaskRunning, func(k *table.Task) { w.finish(k, table.TaskDone) }) }},
	{"fail", 4, func(w *world) { w.one(table.TaskRunning, func(k *table.Task) { w.end(k, true) }) }},
	{"stopped", 6, func(w *world) { w.each(table.TaskStopping, func(k *table.Task) { w.finish(k, table.TaskWaiting) }) }},
	{"worker dies", 1, (*world).workerDies},
	{"worker leaves", 1, func(w *world) { w.anyWorker().Health = table.WorkerLeaving }},
	{"worker returns", 2, func(w *world) { w.anyWorker().Health = table.WorkerLive }},
	{"usage", 2, func(w *world) { k := w.anyWorker(); k.Usage = k.VM.Capacity.Times(w.random.IntN(4)) }},
	{"quota", 1, func(w *world) { w.tables.SetQuota(w.team(), unit.Times(w.random.IntN(40))) }},
	{"cancel", 1, (*world).cancel},
	{"wave", 1, (*world).cancelWave},
	{"release", 1, (*world).rollOut},
}

func newWorld(t testing.TB, seed int64) *world {
	w := &world{
		bed:    newBed(t, envdoc.PlacementPolicy{}),
		random: rand.New(rand.NewPCG(uint64(seed), 1)),
	}
	w.workers(6, 8)
	w.workers(2, 16)
	return w
}

func (w *world) team() types.TeamID {
	return types.TeamID(fmt.Sprintf("team-%d", w.random.IntN(4)))
}

func (w *world) anyWorker() *table.Worker {
	return w.worker(w.random.IntN(len(w.tables.Workers)))
}

func (w *world) submit() {
	classes := types.Classes()
	j := w.job(classes[w.random.IntN(len(classes))], 1+w.random.IntN(6))
	switch w.random.IntN(6) {
	case 0:
		j = w.gang(2+w.random.IntN(5), 1+w.random.IntN(8))
	case 1:
		j = w.service(1+w.random.IntN(4), 1)
	default:
	}
	j.Team = w.team()
	j.Name = fmt.Sprintf("kind-%d", w.random.IntN(5))
	j.Task.Resources = unit.Times(1 + w.random.IntN(9))
	j.Task.CanCheckpoint = w.random.IntN(2) == 0
	j.Task.Idempotent = w.random.IntN(3) > 0
	j.Task.Booking = !j.Task.Idempotent && w.random.IntN(2) == 0
	j.Task.RunTime = time.Duration(1+w.random.IntN(600)) * time.Second
	if j.Batch != nil && w.random.IntN(2) == 0 {
		j.Batch.Deadline = w.now.Add(time.Duration(w.random.IntN(7200)) * time.Second)
	}
	w.add(j)
}

// tickLate plans twice, which must give the same answer, and applies it without any confirmation.
func (w *world) tickLate() {
	w.t.Helper()
	actions := w.plan()
	if again := w.plan(); !reflect.DeepEqual(actions, again) {
		w.t.Fatalf("two answers for the same tables:\n%+v\n%+v", actions, again)
	}
	w.checkActions(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case plan.StartAction:
			w.must(w.tables.Assign(w.tables.Tasks[a.Task], w.tables.Workers[a.Worker], w.now))
		case plan.PreemptAction:
			w.must(w.tables.Stop(w.tables.Tasks[a.Task], a.Reason))
		default:
			w.apply(a)
		}
	}
	gangs := 0
	for id := range w.tables.Reservations {
		if j := w.tables.Jobs[id]; j.Spec.Gang != nil && j.Counts.Ended() == 0 {
			gangs++
		}
	}
	if gangs > 1 {
		w.t.Fatalf("%d all-at-once jobs have a reservation at once", gangs)
	}
}

// checkActions checks what must hold for every answer of the planner.
func (w *world) checkActions(actions []plan.Action) {
	w.t.Helper()
	starts := make(map[types.JobID]int)
	for _, a := range only[plan.StartAction](actions) {
		k := w.tables.Tasks[a.Task]
		starts[k.Job.Spec.ID]++
		if k.State != table.TaskWaiting || a.Reason == "" {
			w.t.Fatalf("start of %s in state %s, reason %q", a.Task, k.State, a.Reason)
		}
		if m := w.tables.Workers[a.Worker]; !m.Placeable() {
			w.t.Fatalf("start on worker %s, which is %s", a.Worker, m.Health)
		}
		if k.Failures > 0 && !k.Job.Spec.Task.Idempotent && k.Job.Spec.Service == nil {
			w.t.Fatalf("task %s is not idempotent and failed, and is started again", a.Task)
		}
	}
	for id, n := range starts {
		j := w.tables.Jobs[id]
		if j.Spec.Gang != nil && j.Counts.Ended() == 0 && n != j.Counts.Waiting {
			w.t.Fatalf("%d of %d tasks of gang %s start", n, j.Counts.Waiting, id)
		}
	}
	for _, a := range only[plan.PreemptAction](actions) {
		k := w.tables.Tasks[a.Task]
		spec := k.Job.Spec
		mayStop := spec.Task.CanCheckpoint || (spec.Gang != nil && spec.Task.Idempotent)
		if spec.Service == nil && !mayStop {
			w.t.Fatalf("stop of %s, which cannot checkpoint: %s", a.Task, a.Reason)
		}
	}
}

func (w *world) finish(k *table.Task, state table.TaskState) {
	w.t.Helper()
	w.must(w.tables.Finish(k, state, "", w.now))
}

// in returns the tasks in a state, by id.
func (w *world) in(state table.TaskState) []*table.Task {
	var out []*table.Task
	for _, k := range w.tables.Tasks {
		if k.State == state {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (w *world) one(state table.TaskState, change func(*table.Task)) {
	if tasks := w.in(state); len(tasks) > 0 {
		change(tasks[w.random.IntN(len(tasks))])
	}
}

// each changes two thirds of the tasks in a state.
func (w *world) each(state table.TaskState, change func(*table.Task)) {
	for _, k := range w.in(state) {
		if w.random.IntN(3) > 0 {
			change(k)
		}
	}
}

// workerDies ends all attempts of a worker: what is idempotent waits again, the rest has an unknown fate.
func (w *world) workerDies() {
	dead := w.anyWorker()
	dead.Health = table.WorkerUnreachable
	for _, k := range w.tables.Tasks {
		if !k.State.Occupies() || k.Worker != dead.VM.ID {
			continue
		}
		if k.Job.Spec.Task.Idempotent || k.Job.Spec.Service != nil {
			w.finish(k, table.TaskWaiting)
			continue
		}
		w.finish(k, table.TaskUnknown)
	}
}

func (w *world) jobs() []*table.Job {
	var out []*table.Job
	for _, j := range w.tables.Jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *table.Job) int { return strings.Compare(string(a.Spec.ID), string(b.Spec.ID)) })
	return out
}

func (w *world) cancel() {
	jobs := w.jobs()
	if len(jobs) == 0 {
		return
	}
	for _, k := range w.tables.CancelJob(jobs[w.random.IntN(len(jobs))], "cancelled", w.now) {
		w.must(w.tables.Stop(k, "cancelled"))
	}
}

// cancelWave submits 1,000 jobs, lets some start, and cancels them all.
func (w *world) cancelWave() {
	if w.random.IntN(20) > 0 {
		return
	}
	var jobs []*table.Job
	for range 1000 {
		jobs = append(jobs, w.add(w.job(types.ClassBatch, 1)))
	}
	w.tickLate()
	for _, j := range jobs {
		for _, k := range w.tables.CancelJob(j, "wave", w.now) {
			w.must(w.tables.Stop(k, "wave"))
		}
	}
	w.tickLate()
	for _, k := range w.in(table.TaskStopping) {
		w.finish(k, table.TaskWaiting)
	}
	for _, j := range jobs {
		if j.State != types.JobCancelled {
			w.t.Fatalf("job %s of the wave is %s", j.Spec.ID, j.State)
		}
		w.must(w.tables.RemoveJob(j.Spec.ID))
	}
}

func (w *world) rollOut() {
	for _, j := range w.jobs() {
		if j.Spec.Service == nil || j.SupersededBy != "" || j.Cancelled {
			continue
		}
		spec := w.service(j.Spec.Service.Count, j.Spec.Service.Floor)
		spec.Name, spec.Team, spec.Task = j.Spec.Name, j.Spec.Team, j.Spec.Task
		spec.Revision = j.Spec.Revision + 1
		w.tables.Supersede(j, w.add(spec))
		return
	}
}

// step lets one event happen and checks the tables.
func (w *world) step() error {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	pick := w.random.IntN(total)
	for _, e := range events {
		if pick -= e.weight; pick < 0 {
			w.steps = append(w.steps, e.name)
			e.happen(w)
			break
		}
	}
	return table.Verify(w.tables)
}

// seedCount returns how many seeds to run.
func seedCount(t *testing.T) int {
	text := os.Getenv(seedsVariable)
	if text == "" {
		return 2
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	return n
}

func TestTablesHoldUnderRandomEvents(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(int64(seed))
			parameters.MinSuccessfulTests = 40
			properties := gopter.NewProperties(parameters)
			properties.Property("every step leaves the tables sound", prop.ForAll(func(run int64) string {
				w := newWorld(t, run)
				for range stepsPerRun {
					if err := w.step(); err != nil {
						return fmt.Sprintf("run %d after %v: %v", run, w.steps, err)
					}
				}
				return ""
			}, gen.Int64()))
			properties.TestingRun(t)
		})
	}
}
