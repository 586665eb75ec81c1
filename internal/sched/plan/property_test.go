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
	// seedsVariable sets the number of seeds, for a longer run. Each seed runs 40 sequences of stepsPerRun events.
	seedsVariable = "MAGNOLIA_SEEDS"
	stepsPerRun   = 150
)

// sim applies random events to the tables of a fixture. Starts and stops are confirmed late or never.
type sim struct {
	*fixture
	random *rand.Rand
	steps  []string
}

// event is a possible event with its weight in the random choice.
type event struct {
	name   string
	weight int
	run    func(s *sim)
}

var events = []event{
	{"tick", 12, (*sim).tickUnconfirmed},
	{"pass", 6, func(s *sim) { s.advance(time.Duration(s.random.IntN(120_000)) * time.Millisecond) }},
	{"submit", 8, (*sim).submit},
	{"confirm", 12, func(s *sim) {
		s.someIn(table.TaskIntended, func(k *table.Task) { s.must(s.tables.Confirm(k, "", s.now)) })
	}},
	{"refuse", 1, func(s *sim) { s.oneIn(table.TaskIntended, func(k *table.Task) { s.finish(k, table.TaskWaiting) }) }},
	{"end", 6, func(s *sim) { s.oneIn(table.TaskRunning, func(k *table.Task) { s.finish(k, table.TaskDone) }) }},
	{"fail", 4, func(s *sim) { s.oneIn(table.TaskRunning, func(k *table.Task) { s.endTask(k, true) }) }},
	{"stopped", 6, func(s *sim) { s.someIn(table.TaskStopping, func(k *table.Task) { s.finish(k, table.TaskWaiting) }) }},
	{"worker dies", 1, (*sim).failWorker},
	{"worker leaves", 1, func(s *sim) { s.randomWorker().Health = table.WorkerLeaving }},
	{"worker returns", 2, func(s *sim) { s.randomWorker().Health = table.WorkerLive }},
	{"usage", 2, func(s *sim) { w := s.randomWorker(); w.Usage = w.VM.Capacity.Times(s.random.IntN(4)) }},
	{"quota", 1, func(s *sim) { s.tables.SetQuota(s.randomTeam(), unit.Times(s.random.IntN(40))) }},
	{"cancel", 1, (*sim).cancel},
	{"wave", 1, (*sim).cancelWave},
	{"release", 1, (*sim).rollOut},
}

func newSim(t testing.TB, seed int64) *sim {
	s := &sim{
		fixture: newFixture(t, envdoc.PlacementPolicy{}),
		random:  rand.New(rand.NewPCG(uint64(seed), 1)),
	}
	s.addWorkers(6, 8)
	s.addWorkers(2, 16)
	return s
}

func (s *sim) randomTeam() types.TeamID {
	return types.TeamID(fmt.Sprintf("team-%d", s.random.IntN(4)))
}

func (s *sim) randomWorker() *table.Worker {
	return s.worker(s.random.IntN(len(s.tables.Workers)))
}

func (s *sim) submit() {
	classes := types.Classes()
	j := s.job(classes[s.random.IntN(len(classes))], 1+s.random.IntN(6))
	switch s.random.IntN(6) {
	case 0:
		j = s.gang(2+s.random.IntN(5), 1+s.random.IntN(8))
	case 1:
		j = s.service(1+s.random.IntN(4), 1)
	default:
	}
	j.Team = s.randomTeam()
	j.Name = fmt.Sprintf("kind-%d", s.random.IntN(5))
	j.Task.Resources = unit.Times(1 + s.random.IntN(9))
	j.Task.CanCheckpoint = s.random.IntN(2) == 0
	j.Task.Idempotent = s.random.IntN(3) > 0
	j.Task.Booking = !j.Task.Idempotent && s.random.IntN(2) == 0
	j.Task.RunTime = time.Duration(1+s.random.IntN(600)) * time.Second
	if j.Batch != nil && s.random.IntN(2) == 0 {
		j.Batch.Deadline = s.now.Add(time.Duration(s.random.IntN(7200)) * time.Second)
	}
	s.add(j)
}

// tickUnconfirmed plans twice, which must give the same actions, and applies them without confirming starts and
// stops. At most one all-at-once job may then have a reservation.
func (s *sim) tickUnconfirmed() {
	s.t.Helper()
	actions := s.plan()
	if again := s.plan(); !reflect.DeepEqual(actions, again) {
		s.t.Fatalf("two plans differ for the same tables:\n%+v\n%+v", actions, again)
	}
	s.checkActions(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case plan.StartAction:
			s.must(s.tables.Assign(s.tables.Tasks[a.Task], s.tables.Workers[a.Worker], s.now))
		case plan.PreemptAction:
			s.must(s.tables.Stop(s.tables.Tasks[a.Task], a.Reason))
		default:
			s.apply(a)
		}
	}
	gangs := 0
	for id := range s.tables.Reservations {
		if j := s.tables.Jobs[id]; j.Spec.Gang != nil && j.Counts.Ended() == 0 {
			gangs++
		}
	}
	if gangs > 1 {
		s.t.Fatalf("%d all-at-once jobs have a reservation at once", gangs)
	}
}

// checkActions checks the invariants of every list of actions.
func (s *sim) checkActions(actions []plan.Action) {
	s.t.Helper()
	starts := make(map[types.JobID]int)
	for _, a := range actionsOf[plan.StartAction](actions) {
		k := s.tables.Tasks[a.Task]
		starts[k.Job.Spec.ID]++
		if k.State != table.TaskWaiting || a.Reason == "" {
			s.t.Fatalf("start of %s in state %s, reason %q", a.Task, k.State, a.Reason)
		}
		if w := s.tables.Workers[a.Worker]; !w.Placeable() {
			s.t.Fatalf("start on worker %s, which is %s", a.Worker, w.Health)
		}
		if k.Failures > 0 && !k.Job.Spec.Task.Idempotent && k.Job.Spec.Service == nil {
			s.t.Fatalf("task %s failed and is not idempotent, but is started again", a.Task)
		}
	}
	for id, n := range starts {
		j := s.tables.Jobs[id]
		if j.Spec.Gang != nil && j.Counts.Ended() == 0 && n != j.Counts.Waiting {
			s.t.Fatalf("%d of %d tasks of gang %s start", n, j.Counts.Waiting, id)
		}
	}
	for _, a := range actionsOf[plan.PreemptAction](actions) {
		k := s.tables.Tasks[a.Task]
		spec := k.Job.Spec
		mayStop := spec.Task.CanCheckpoint || (spec.Gang != nil && spec.Task.Idempotent)
		if spec.Service == nil && !mayStop {
			s.t.Fatalf("stop of %s, which cannot checkpoint: %s", a.Task, a.Reason)
		}
	}
}

func (s *sim) finish(k *table.Task, state table.TaskState) {
	s.t.Helper()
	s.must(s.tables.Finish(k, state, "", s.now))
}

// tasksIn returns the tasks in a state, sorted by ID.
func (s *sim) tasksIn(state table.TaskState) []*table.Task {
	var out []*table.Task
	for _, k := range s.tables.Tasks {
		if k.State == state {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// oneIn changes a random task in a state, if there is one.
func (s *sim) oneIn(state table.TaskState, change func(*table.Task)) {
	if tasks := s.tasksIn(state); len(tasks) > 0 {
		change(tasks[s.random.IntN(len(tasks))])
	}
}

// someIn changes each task in a state with a probability of two thirds.
func (s *sim) someIn(state table.TaskState, change func(*table.Task)) {
	for _, k := range s.tasksIn(state) {
		if s.random.IntN(3) > 0 {
			change(k)
		}
	}
}

// failWorker ends all attempts of a random worker: tasks that are idempotent or of a service wait again, the others
// become unknown.
func (s *sim) failWorker() {
	failed := s.randomWorker()
	failed.Health = table.WorkerUnreachable
	for _, k := range s.tables.Tasks {
		if !k.State.Occupies() || k.Worker != failed.VM.ID {
			continue
		}
		if k.Job.Spec.Task.Idempotent || k.Job.Spec.Service != nil {
			s.finish(k, table.TaskWaiting)
			continue
		}
		s.finish(k, table.TaskUnknown)
	}
}

// jobs returns all jobs, sorted by ID.
func (s *sim) jobs() []*table.Job {
	var out []*table.Job
	for _, j := range s.tables.Jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *table.Job) int { return strings.Compare(string(a.Spec.ID), string(b.Spec.ID)) })
	return out
}

func (s *sim) cancel() {
	jobs := s.jobs()
	if len(jobs) == 0 {
		return
	}
	for _, k := range s.tables.CancelJob(jobs[s.random.IntN(len(jobs))], "cancelled", s.now) {
		s.must(s.tables.Stop(k, "cancelled"))
	}
}

// cancelWave, in one call of twenty, submits 1,000 jobs, lets some start, and cancels and removes them all.
func (s *sim) cancelWave() {
	if s.random.IntN(20) > 0 {
		return
	}
	var jobs []*table.Job
	for range 1000 {
		jobs = append(jobs, s.add(s.job(types.ClassBatch, 1)))
	}
	s.tickUnconfirmed()
	for _, j := range jobs {
		for _, k := range s.tables.CancelJob(j, "wave", s.now) {
			s.must(s.tables.Stop(k, "wave"))
		}
	}
	s.tickUnconfirmed()
	for _, k := range s.tasksIn(table.TaskStopping) {
		s.finish(k, table.TaskWaiting)
	}
	for _, j := range jobs {
		if j.State != types.JobCancelled {
			s.t.Fatalf("job %s is %s after it was cancelled", j.Spec.ID, j.State)
		}
		s.must(s.tables.RemoveJob(j.Spec.ID))
	}
}

// rollOut submits a new revision of the first service that has none.
func (s *sim) rollOut() {
	for _, j := range s.jobs() {
		if j.Spec.Service == nil || j.SupersededBy != "" || j.Cancelled {
			continue
		}
		spec := s.service(j.Spec.Service.Count, j.Spec.Service.Floor)
		spec.Name, spec.Team, spec.Task = j.Spec.Name, j.Spec.Team, j.Spec.Task
		spec.Revision = j.Spec.Revision + 1
		s.tables.Supersede(j, s.add(spec))
		return
	}
}

// step runs one random event and verifies the tables.
func (s *sim) step() error {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	pick := s.random.IntN(total)
	for _, e := range events {
		if pick -= e.weight; pick < 0 {
			s.steps = append(s.steps, e.name)
			e.run(s)
			break
		}
	}
	return table.Verify(s.tables)
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
			properties.Property("every step leaves the tables consistent", prop.ForAll(func(run int64) string {
				s := newSim(t, run)
				for range stepsPerRun {
					if err := s.step(); err != nil {
						return fmt.Sprintf("run %d after %v: %v", run, s.steps, err)
					}
				}
				return ""
			}, gen.Int64()))
			properties.TestingRun(t)
		})
	}
}
