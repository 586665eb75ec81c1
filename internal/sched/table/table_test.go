package table

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	small = types.Resources{Cores: types.Core, Memory: types.GiB}
)

func newState() (*State, *Worker) {
	s := New("carthage")
	w := s.AddWorker(types.VM{ID: "w1", Capacity: small.Times(4)})
	w.Fenced = true
	return s, w
}

func batch(id string, count int) types.Job {
	return types.Job{
		ID: types.JobID(id), Name: "payroll", Team: "desk", Class: types.ClassBatch,
		Task:  types.TaskSpec{Resources: small, RunTime: time.Minute},
		Batch: &types.Batch{Count: count},
	}
}

// assertVerified checks that Verify finds no violated invariant.
func assertVerified(t *testing.T, s *State) {
	t.Helper()
	if err := Verify(s); err != nil {
		t.Fatal(err)
	}
}

// assertBroken checks that Verify returns an error of kind Internal.
func assertBroken(t *testing.T, s *State) {
	t.Helper()
	if !errs.Is(Verify(s), errs.Internal) {
		t.Fatal("Verify returned no error of kind Internal")
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestATaskRunsToItsEnd(t *testing.T) {
	s, w := newState()
	var seen []string
	s.Observer = func(subject, from, to, _ string) { seen = append(seen, subject+" "+from+" "+to) }
	j := s.AddJob(batch("j", 1), start)
	task := j.Tasks[0]
	must(t, s.Assign(task, w, start))
	assertVerified(t, s)
	must(t, s.Confirm(task, "", start.Add(time.Minute)))
	must(t, s.Finish(task, TaskDone, "ended", start.Add(2*time.Minute)))
	assertVerified(t, s)
	if j.State != types.JobDone || !w.Used.IsZero() || len(s.Waiting()) != 0 {
		t.Fatalf("job %s, worker uses %s, %d queued", j.State, w.Used, len(s.Waiting()))
	}
	want := []string{
		"j/0 Waiting Intended", "j Queued Running", "j/0 Intended Running", "j/0 Running Done", "j Running Done",
	}
	if len(seen) != len(want) {
		t.Fatalf("observed %v", seen)
	}
	for i := range want {
		if seen[i] != want[i] {
			t.Errorf("observed %q, want %q", seen[i], want[i])
		}
	}
	if got := s.RunTime(j); got != 2*time.Minute {
		t.Errorf("expected run time is %s after a run of twice the declared time, want 2m", got)
	}
}

func TestAnEndedTaskIsNotStartedAgain(t *testing.T) {
	s, w := newState()
	task := s.AddJob(batch("j", 1), start).Tasks[0]
	must(t, s.Assign(task, w, start))
	must(t, s.Finish(task, TaskDone, "", start))
	if err := s.Assign(task, w, start); !errs.Is(err, errs.Internal) {
		t.Fatalf("got %v, want an error of kind Internal", err)
	}
	if err := s.Finish(task, TaskWaiting, "", start); !errs.Is(err, errs.Internal) {
		t.Fatalf("got %v, want an error of kind Internal", err)
	}
	assertVerified(t, s)
}

func TestAssignRefusesWhatHasNoFreeCapacity(t *testing.T) {
	s, w := newState()
	tasks := s.AddJob(batch("j", 6), start).Tasks
	for _, task := range tasks[:4] {
		must(t, s.Assign(task, w, start))
	}
	must(t, s.Confirm(tasks[0], "", start))
	must(t, s.Stop(tasks[0], "preempted"))
	if err := s.Assign(tasks[4], w, start); !errs.Is(err, errs.Overloaded) {
		t.Fatalf("a worker with an unconfirmed stop accepted another task: %v", err)
	}
	must(t, s.Finish(tasks[0], TaskWaiting, "stopped", start))
	s.SetQuota("desk", small.Times(3))
	assertVerified(t, s)
	if err := s.Assign(tasks[4], w, start); !errs.Is(err, errs.QuotaExceeded) {
		t.Fatalf("a team at its quota started another task: %v", err)
	}
	assertVerified(t, s)
}

func TestALoweredQuotaAllowsWhatRuns(t *testing.T) {
	s, w := newState()
	tasks := s.AddJob(batch("j", 2), start).Tasks
	must(t, s.Assign(tasks[0], w, start))
	must(t, s.Assign(tasks[1], w, start))
	s.SetQuota("desk", small)
	assertVerified(t, s)
	must(t, s.Finish(tasks[0], TaskDone, "", start))
	if s.Teams["desk"].Allowance != small {
		t.Fatal("the allowance did not fall with the usage")
	}
}

func TestCancelledTasksDoNotWaitAgain(t *testing.T) {
	s, w := newState()
	j := s.AddJob(batch("j", 2), start)
	must(t, s.Assign(j.Tasks[0], w, start))
	stop := s.CancelJob(j, "caller", start)
	if len(stop) != 1 || j.Tasks[1].State != TaskCancelled {
		t.Fatalf("%d tasks to stop and the waiting one is %s, want 1 and Cancelled", len(stop), j.Tasks[1].State)
	}
	assertVerified(t, s)
	must(t, s.Stop(stop[0], "cancelled"))
	must(t, s.Finish(stop[0], TaskWaiting, "stopped", start))
	if j.State != types.JobCancelled {
		t.Fatalf("job is %s, want Cancelled", j.State)
	}
	assertVerified(t, s)
}

func TestACancelledJobThatHasEndedStaysAsItIs(t *testing.T) {
	s, w := newState()
	j := s.AddJob(batch("j", 1), start)
	must(t, s.Assign(j.Tasks[0], w, start))
	must(t, s.Finish(j.Tasks[0], TaskDone, "", start))
	if stop := s.CancelJob(j, "late", start); len(stop) > 0 || j.Cancelled || j.State != types.JobDone {
		t.Fatalf("job is %s, cancelled %v", j.State, j.Cancelled)
	}
	assertVerified(t, s)
}

func TestAReplacedServiceEndsAsCancelled(t *testing.T) {
	s, w := newState()
	spec := batch("old", 1)
	spec.Batch, spec.Service = nil, &types.Service{Name: "booking", Count: 1}
	older := s.AddJob(spec, start)
	spec.ID = "new"
	s.Supersede(older, s.AddJob(spec, start))
	must(t, s.Assign(older.Tasks[0], w, start))
	must(t, s.Finish(older.Tasks[0], TaskDone, "exited", start))
	if older.Tasks[0].State != TaskWaiting {
		t.Fatal("a service's task that ended does not wait again")
	}
	must(t, s.Finish(older.Tasks[0], TaskFailed, "replaced", start))
	if older.State != types.JobCancelled {
		t.Fatalf("the replaced job is %s, want Cancelled", older.State)
	}
	assertVerified(t, s)
}

func TestAdoptMovesATaskAndOrphansTakeCapacity(t *testing.T) {
	s, w := newState()
	other := s.AddWorker(types.VM{ID: "w2", Capacity: small})
	task := s.AddJob(batch("j", 1), start).Tasks[0]
	must(t, s.Adopt(task, w, 3, TaskRunning))
	must(t, s.Adopt(task, other, 4, TaskStopping))
	s.AddOrphan(w, "old/0#1", small)
	s.AddOrphan(w, "old/0#1", small)
	assertVerified(t, s)
	if task.Number != 4 || w.Used != small || other.Used != small {
		t.Fatalf("attempt %d, %s and %s used", task.Number, w.Used, other.Used)
	}
	if err := s.RemoveWorker("w1"); !errs.Is(err, errs.Internal) {
		t.Fatal("an occupied worker was removed")
	}
	s.RemoveOrphan(w, "old/0#1")
	must(t, s.RemoveWorker("w1"))
	assertVerified(t, s)
}

func TestMovedJobsLeaveOnlyBeforeTheyRan(t *testing.T) {
	s, w := newState()
	task := s.AddJob(batch("j", 1), start).Tasks[0]
	must(t, s.Assign(task, w, start))
	if err := s.MoveJob("j", "ariana"); !errs.Is(err, errs.Internal) {
		t.Fatal("a running job was moved")
	}
	must(t, s.Finish(task, TaskWaiting, "refused", start))
	must(t, s.MoveJob("j", "ariana"))
	if len(s.Jobs)+len(s.Tasks)+len(s.Waiting()) != 0 {
		t.Fatal("the moved job is still in the tables")
	}
	assertVerified(t, s)
}

func TestVerifyFindsBrokenTables(t *testing.T) {
	faults := map[string]func(s *State, w *Worker, task *Task){
		"capacity":        func(_ *State, w *Worker, _ *Task) { w.VM.Capacity = types.Resources{} },
		"worker sum":      func(_ *State, w *Worker, _ *Task) { w.Used = w.Used.Add(small) },
		"team sum":        func(s *State, _ *Worker, _ *Task) { s.Teams["desk"].Used = types.Resources{} },
		"quota":           func(s *State, _ *Worker, _ *Task) { s.Teams["desk"].Quota = types.Resources{Cores: 1} },
		"two workers":     func(s *State, _ *Worker, k *Task) { s.AddWorker(types.VM{ID: "w2"}).Attempts[k.ID] = struct{}{} },
		"missing worker":  func(s *State, w *Worker, _ *Task) { delete(s.Workers, w.VM.ID) },
		"missing attempt": func(_ *State, w *Worker, k *Task) { delete(w.Attempts, k.ID) },
		"state":           func(_ *State, _ *Worker, k *Task) { k.State = TaskRunning },
		"job state":       func(_ *State, _ *Worker, k *Task) { k.Job.State = types.JobQueued },
		"class sum":       func(s *State, _ *Worker, _ *Task) { s.usedByClass[types.ClassBatch] = types.Resources{} },
		"queue":           func(s *State, _ *Worker, _ *Task) { s.waiting = nil },
	}
	for name, tamper := range faults {
		t.Run(name, func(t *testing.T) {
			s, w := newState()
			j := s.AddJob(batch("j", 2), start)
			must(t, s.Assign(j.Tasks[0], w, start))
			assertVerified(t, s)
			tamper(s, w, j.Tasks[0])
			assertBroken(t, s)
		})
	}
}
