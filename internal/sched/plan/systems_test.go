package plan_test

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// noHeadroom reserves a thousandth of the capacity for urgent work, the smallest non-zero part, so that tests can
// nearly fill the workers.
var noHeadroom = envdoc.PlacementPolicy{UrgentHeadroom: 1, MaxQuarantined: 100}

func TestHeadroomIsKeptForUrgentWork(t *testing.T) {
	f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 250})
	f.addWorkers(4, 4)
	normal := f.add(f.job(types.ClassNormal, 16))
	f.tick()
	assertRunning(t, normal, 12)
	if normal.Reason == "" {
		t.Error("the job has no reason for waiting")
	}
	urgent := f.add(f.job(types.ClassUrgent, 4))
	f.tick()
	assertRunning(t, urgent, 4)
}

func TestThePolicyInForceIsUsedInEachTick(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 4)
	var document *envdoc.Document
	f.planner = plan.New(plan.Config{Document: func() (*envdoc.Document, types.Revision) { return document, 1 }})
	j := f.add(f.job(types.ClassNormal, 4))
	f.tick()
	assertRunning(t, j, 3)
	d := envdoc.Default()
	d.Placement.UrgentHeadroom = 0
	document = &d
	f.tick()
	assertRunning(t, j, 4)
}

func TestUrgentGoesFirst(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 4)
	batch := f.add(f.job(types.ClassBatch, 4))
	urgent := f.add(f.job(types.ClassUrgent, 4))
	f.tick()
	assertRunning(t, urgent, 4)
	assertRunning(t, batch, 0)
}

func TestTheLatestStartOrdersBatchWork(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	late, soon := f.job(types.ClassBatch, 1), f.job(types.ClassBatch, 1)
	late.Batch.Deadline = f.now.Add(12 * time.Hour)
	soon.Batch.Deadline = f.now.Add(10 * time.Hour)
	soon.Task.Resources = unit.Times(1)
	first := f.add(late)
	second := f.add(soon)
	f.tick()
	assertRunning(t, second, 1)
	assertRunning(t, first, 0)
}

func TestObservedRunTimesCorrectTheOrder(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	slow := f.job(types.ClassBatch, 1)
	slow.Name = "declared-too-short"
	past := f.add(slow)
	f.startTask(past.Tasks[0], f.worker(0))
	f.advance(10 * time.Hour)
	f.endTask(past.Tasks[0], false)
	exact, underestimated := f.job(types.ClassBatch, 1), slow
	underestimated.ID = "carthage.1.again"
	exact.Batch.Deadline = f.now.Add(18 * time.Hour)
	underestimated.Batch = &types.Batch{Count: 1, Deadline: f.now.Add(20 * time.Hour)}
	first := f.add(exact)
	second := f.add(underestimated)
	f.tick()
	assertRunning(t, second, 1)
	assertRunning(t, first, 0)
}

func TestPressingWorkGoesBeforeNormalWork(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	normal := f.add(f.job(types.ClassNormal, 2))
	spec := f.job(types.ClassBatch, 1)
	spec.Batch.Deadline = f.now.Add(65 * time.Minute)
	pressing := f.add(spec)
	f.tick()
	assertRunning(t, pressing, 1)
	assertRunning(t, normal, 0)
}

func TestIdleCapacityIsSharedByQuota(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 10)
	f.tables.SetQuota("large", unit.Times(60))
	f.tables.SetQuota("small", unit.Times(20))
	spec := f.job(types.ClassNormal, 100)
	spec.Team = "large"
	large := f.add(spec)
	spec = f.job(types.ClassNormal, 100)
	spec.Team = "small"
	small := f.add(spec)
	f.tick()
	if got := large.Counts.Running; got < 28 || got > 30 {
		t.Errorf("the team with three quarters of the quotas got %d of 39", got)
	}
	if got := small.Counts.Running; got < 9 || got > 11 {
		t.Errorf("the team with a quarter of the quotas got %d of 39", got)
	}
}

func TestQuotasAreKept(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 10)
	f.tables.SetQuota(testTeam, unit.Times(7))
	j := f.add(f.job(types.ClassUrgent, 20))
	f.tick()
	assertRunning(t, j, 7)
}

func TestNoClassStarves(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	batch := f.add(f.job(types.ClassBatch, 1))
	running := f.add(f.job(types.ClassUrgent, 1)).Tasks[0]
	for range 400 {
		f.add(f.job(types.ClassUrgent, 1))
		f.tick()
		if batch.Counts.Running > 0 {
			return
		}
		f.advance(time.Second)
		for _, k := range f.tables.Tasks {
			if k.State == table.TaskRunning {
				running = k
			}
		}
		f.endTask(running, false)
	}
	t.Fatal("batch work did not start in 400 ticks with a new urgent job each")
}

func TestServicesSpreadOverRacks(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(16, 8)
	j := f.add(f.service(8, 4))
	f.tick()
	racks := make(map[types.Rack]int)
	workers := make(map[types.VMID]int)
	for _, k := range j.Tasks {
		racks[f.tables.Workers[k.Worker].VM.Site.Rack]++
		workers[k.Worker]++
	}
	if len(racks) != 4 || len(workers) != 8 {
		t.Fatalf("8 tasks are on %d racks and %d workers, want 4 and 8", len(racks), len(workers))
	}
	for rack, n := range racks {
		if n != 2 {
			t.Errorf("rack %s has %d tasks, want 2", rack, n)
		}
	}
}

func TestBatchWorkIsPacked(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(8, 8)
	f.add(f.job(types.ClassBatch, 8))
	f.tick()
	used := 0
	for _, w := range f.tables.Ordered() {
		if !w.Used.IsZero() {
			used++
		}
	}
	if used > 1 {
		t.Fatalf("8 tasks that fill one worker are on %d", used)
	}
}

func TestUsageSteersButNeverAddsCapacity(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(2, 4)
	f.worker(0).Usage = unit.Times(4)
	j := f.add(f.job(types.ClassBatch, 1))
	f.tick()
	if j.Tasks[0].Worker != f.worker(1).VM.ID {
		t.Error("the task is on the worker whose usage is high")
	}
	more := f.add(f.job(types.ClassUrgent, 20))
	f.worker(0).Usage, f.worker(1).Usage = types.Resources{}, types.Resources{}
	f.tick()
	assertRunning(t, more, 7)
}

func TestAcceleratorsAreLeftToWorkThatNeedsThem(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(2, 8)
	vm := f.worker(0).VM
	vm.Capacity.Accelerators = 2
	f.tables.AddWorker(vm)
	j := f.add(f.job(types.ClassBatch, 8))
	f.tick()
	for _, k := range j.Tasks {
		if k.Worker == vm.ID {
			t.Fatal("a task without accelerators is on the worker that has them while another has free capacity")
		}
	}
}

func TestFailedTasksAreRetriedLaterAndGivenUp(t *testing.T) {
	f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 1, MaxAttempts: 2})
	f.addWorkers(2, 4)
	j := f.add(f.job(types.ClassBatch, 1))
	f.tick()
	f.endTask(j.Tasks[0], true)
	assertCount[plan.StartAction](t, f.tick(), 0)
	f.advance(2 * time.Second)
	assertCount[plan.StartAction](t, f.tick(), 1)
	f.endTask(j.Tasks[0], true)
	assertCount[plan.GiveUpAction](t, f.tick(), 1)
	if j.State != types.JobFailed {
		t.Fatalf("job is %s, want Failed", j.State)
	}
}

func TestAFailedTaskThatIsNotIdempotentIsNotRetried(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(2, 4)
	spec := f.job(types.ClassBatch, 1)
	spec.Task.Idempotent = false
	j := f.add(spec)
	f.tick()
	f.endTask(j.Tasks[0], true)
	f.advance(time.Hour)
	assertCount[plan.GiveUpAction](t, f.tick(), 1)
}

func TestThrottlingFollowsUsage(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 4)
	greedy := f.add(f.job(types.ClassBatch, 1)).Tasks[0]
	urgent := f.add(f.job(types.ClassUrgent, 1)).Tasks[0]
	f.tick()
	greedy.Usage = unit.Times(2)
	urgent.Usage = unit.Times(2)
	f.worker(0).Usage = unit.Times(4)
	got := assertCount[plan.ThrottleAction](t, f.tick(), 1)
	if got[0].Task != greedy.ID || got[0].Permille >= 1000 {
		t.Fatalf("unexpected action %+v, want a throttle below 1000 of the batch task, which uses more than it declared", got[0])
	}
	assertCount[plan.ThrottleAction](t, f.tick(), 0)
	f.worker(0).Usage = unit
	got = assertCount[plan.ThrottleAction](t, f.tick(), 1)
	if got[0].Permille != 999 {
		t.Fatalf("unexpected action %+v, want a limit of 999, which stands for no throttle", got[0])
	}
	assertCount[plan.ThrottleAction](t, f.tick(), 0)
}

func TestHandOver(t *testing.T) {
	newFull := func(t *testing.T) (*fixture, *table.Job) {
		f := newFixture(t, noHeadroom)
		f.addWorkers(1, 2)
		f.add(f.job(types.ClassNormal, 1))
		f.tick()
		j := f.add(f.gang(2, 1))
		f.tables.Peers["ariana"] = table.Peer{
			DataCentre: "ariana", At: f.now.Add(time.Hour), Rooms: []table.Room{{Free: unit.Times(8), Workers: 2}},
		}
		return f, j
	}
	t.Run("after a wait", func(t *testing.T) {
		f, j := newFull(t)
		assertCount[plan.HandOverAction](t, f.plan(), 0)
		f.advance(2 * time.Minute)
		f.tables.Unreserve(j.Spec.ID)
		got := assertCount[plan.HandOverAction](t, f.plan(), 1)
		if got[0].To != "ariana" || got[0].Job != j.Spec.ID {
			t.Fatalf("unexpected action %+v, want the handover of the gang to ariana", got[0])
		}
	})
	t.Run("not to a peer without free capacity", func(t *testing.T) {
		f, _ := newFull(t)
		f.tables.Peers["ariana"] = table.Peer{DataCentre: "ariana", At: f.now.Add(time.Hour), Rooms: []table.Room{{Free: unit, Workers: 1}}}
		f.advance(2 * time.Minute)
		assertCount[plan.HandOverAction](t, f.plan(), 0)
	})
	t.Run("not on an old summary", func(t *testing.T) {
		f, _ := newFull(t)
		f.advance(2 * time.Hour)
		assertCount[plan.HandOverAction](t, f.plan(), 0)
	})
	t.Run("at once when no worker is large enough", func(t *testing.T) {
		f, _ := newFull(t)
		spec := f.job(types.ClassNormal, 1)
		spec.Task.Resources = unit.Times(4)
		j := f.add(spec)
		got := assertCount[plan.HandOverAction](t, f.plan(), 1)
		if got[0].Job != j.Spec.ID {
			t.Fatalf("unexpected action %+v, want the handover of the job that is too large for any worker", got[0])
		}
	})
}

// TestAJobWhoseWorkersLeftSaysSo checks the reason of a job whose task is larger than any worker. The job is added to
// tables that never held a worker of that size; no worker leaves.
func TestAJobWhoseWorkersLeftSaysSo(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	spec := f.job(types.ClassNormal, 1)
	spec.Task.Resources = unit.Times(4)
	j := f.add(spec)
	f.tick()
	if j.Reason != "no worker of this data centre is large enough" {
		t.Fatalf("job waits with reason %q, want that no worker is large enough", j.Reason)
	}
	f.addWorkers(1, 4)
	f.tick()
	assertRunning(t, j, 1)
}

func TestFeasible(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(3, 4)
	var vms []types.VM
	for _, w := range f.tables.Ordered() {
		vms = append(vms, w.VM)
	}
	jobs := map[string]func(j *types.Job){
		"a task larger than any worker": func(j *types.Job) { j.Task.Resources = unit.Times(5) },
		"an accelerator that none has":  func(j *types.Job) { j.Task.Resources.Accelerators = 1 },
		"a data centre without workers": func(j *types.Job) { j.Task.DataCentres = []types.DataCentre{"sousse"} },
		"a gang over the data centre":   func(j *types.Job) { j.Batch, j.Gang = nil, &types.Gang{Count: 13} },
	}
	for name, change := range jobs {
		t.Run(name, func(t *testing.T) {
			j := f.job(types.ClassNormal, 1)
			change(&j)
			if err := plan.Feasible(&j, vms); !errs.Is(err, errs.Impossible) {
				t.Fatalf("got %v, want an error of kind Impossible", err)
			}
		})
	}
	t.Run("what fits", func(t *testing.T) {
		j := f.gang(12, 1)
		f.must(plan.Feasible(&j, vms))
	})
	t.Run("quota", func(t *testing.T) {
		j := f.gang(12, 1)
		f.must(plan.WithinQuota(&j, unit.Times(12)))
		if err := plan.WithinQuota(&j, unit.Times(11)); !errs.Is(err, errs.Impossible) {
			t.Fatalf("got %v, want an error of kind Impossible", err)
		}
	})
}

func TestBaselines(t *testing.T) {
	for name, p := range map[string]plan.Planner{
		"first fit": plan.FirstFit{}, "random fit": plan.NewRandomFit(1), "least loaded": plan.LeastLoaded{},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, noHeadroom)
			f.planner = p
			f.addWorkers(2, 4)
			f.tables.SetQuota(testTeam, unit.Times(6))
			gang := f.add(f.gang(7, 1))
			batch := f.add(f.job(types.ClassBatch, 9))
			f.tick()
			assertRunning(t, gang, 0)
			assertRunning(t, batch, 6)
		})
	}
}
