package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// badJob is the job whose first task crashes each runner that begins it.
	badJob specs.JobID = "bad"
	// maxCrashingStarts is how many starts of a task that crashes its runners are allowed: after the third crash, two more.
	maxCrashingStarts = 5
)

// crashingWorld has a task that crashes its runners, and others of the given run time.
func crashingWorld(runTime time.Duration) agent.FleetConfig {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return runTime }
	w.Crashes = func(ref specs.Ref) bool { return ref.Job == badJob && ref.Step == 0 && ref.Index == 0 }
	w.RestartDelay = 100 * time.Millisecond
	return w
}

// submitInnocent submits jobs of one task and returns their ids.
func (f *fixture) submitInnocent(o *Owner, count int) []specs.JobID {
	f.t.Helper()
	var ids []specs.JobID
	for i := range count {
		id := specs.JobID(fmt.Sprintf("good%02d", i))
		f.submit(o, job(string(id), step(1)))
		ids = append(ids, id)
	}
	return ids
}

// startsOf returns how often tasks of a job were started.
func (f *fixture) startsOf(id specs.JobID) int {
	n := 0
	for _, a := range f.fleet.StartedAttempts() {
		if a.Ref.Job == id {
			n++
		}
	}
	return n
}

// checkGivenUp waits until the bad job has failed, and checks that its task was started no more often than allowed.
func (f *fixture) checkGivenUp(o *Owner) {
	f.t.Helper()
	f.waitForState(o, badJob, tasks.JobFailed)
	if n := f.startsOf(badJob); n < 2 || n > maxCrashingStarts {
		f.t.Errorf("the task that crashes its runners was started %d times, want 2 to %d", n, maxCrashingStarts)
	}
}

// checkAllDone waits until the jobs are done.
func (f *fixture) checkAllDone(o *Owner, ids []specs.JobID) {
	f.t.Helper()
	for _, id := range ids {
		f.waitForState(o, id, tasks.JobCompleted)
	}
}

// TestTaskThatCrashesRunnersIsGivenUp guards against a task that is started on runner after runner and crashes each of them.
func TestTaskThatCrashesRunnersIsGivenUp(t *testing.T) {
	f := newFixture(t, crashingWorld(300*time.Millisecond))
	f.addRunners(6)
	o, _ := f.startOwner()
	ids := f.submitInnocent(o, 6)
	f.submit(o, job(string(badJob), step(1)))
	f.checkGivenUp(o)
	f.checkAllDone(o, ids)
	f.checkNoViolations()
}

// TestCrashesOfRunnersAreKnownToTheNextLeader guards against a count that starts anew when the leader is killed between two crashes.
func TestCrashesOfRunnersAreKnownToTheNextLeader(t *testing.T) {
	f := newFixture(t, crashingWorld(100*time.Millisecond))
	f.addRunners(6)
	o, stop := f.startOwner()
	f.submit(o, job(string(badJob), step(1)))
	for leaders := range maxCrashingStarts {
		f.eventually("the task is started again, or given up", func() bool {
			state, err := o.State(t.Context(), specs.Caller{}, badJob)
			return f.startsOf(badJob) > leaders || (err == nil && state == tasks.JobFailed)
		})
		stop()
		o, stop = f.startOwner()
	}
	f.checkGivenUp(o)
	f.checkNoViolations()
}

// TestNextLeaderLearnsThatARunnerHasCrashed guards against callers who wait for the end of leases on a runner that crashed shortly
// before its leader was killed, and that the directory no longer lists.
func TestNextLeaderLearnsThatARunnerHasCrashed(t *testing.T) {
	f := newFixture(t, crashingWorld(time.Minute))
	f.addRunners(1)
	o, stop := f.startOwner()
	f.submit(o, job("j", step(1)))
	f.eventually("the task runs", func() bool { return f.fleet.StartCount() == 1 })
	stop()
	f.fleet.Restart("w00", 0)
	began := time.Now()
	f.startOwner()
	f.eventually("the task runs again", func() bool { return f.fleet.StartCount() == 2 })
	if took := time.Since(began); took >= leaseTTL {
		t.Errorf("the task runs again after %s, want less than a lease of %s", took, leaseTTL)
	}
	f.checkNoViolations()
}

// TestRunnersThatCrashTogetherFailNoTask guards against innocent tasks that are given up because their runners crash again and
// again for a reason of their own.
func TestRunnersThatCrashTogetherFailNoTask(t *testing.T) {
	f := newFixture(t, crashingWorld(700*time.Millisecond))
	f.addRunners(12)
	o, _ := f.startOwner()
	ids := f.submitInnocent(o, 40)
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		runners, _, _ := f.fleet.List(t.Context())
		for _, r := range runners[:8] {
			f.fleet.Restart(r.ID, 100*time.Millisecond)
		}
	}
	f.checkAllDone(o, ids)
	f.checkNoViolations()
}

// TestGangThatCrashesRunnersIsGivenUp guards against a gang whose crashes count for none of its members, or for each of them.
func TestGangThatCrashesRunnersIsGivenUp(t *testing.T) {
	w := crashingWorld(300 * time.Millisecond)
	w.GangSize = func(s specs.StepRef) int {
		if s.Job == badJob {
			return 6
		}
		return 0
	}
	w.GangTimeout = time.Second
	f := newFixture(t, w)
	f.addRunners(4)
	o, _ := f.startOwner()
	ids := f.submitInnocent(o, 4)
	f.submit(o, job(string(badJob), gang(6)))
	f.waitForState(o, badJob, tasks.JobFailed)
	starts := make(map[specs.Ref]int)
	for _, a := range f.fleet.StartedAttempts() {
		starts[a.Ref]++
	}
	for ref, n := range starts {
		if ref.Job == badJob && (n < 2 || n > maxCrashingStarts) {
			t.Errorf("member %s was started %d times, want 2 to %d", ref, n, maxCrashingStarts)
		}
	}
	f.checkAllDone(o, ids)
	f.checkNoViolations()
}

// TestLossesThatBlameNoTask guards against tasks that are charged for runners that leave as announced, that are out of reach together, or
// that crash under a service which has run for long.
func TestLossesThatBlameNoTask(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(o *Owner, r *tasks.Runner, run *tasks.Run)
		crashed bool
		counts  bool
	}{
		"OneRunnerOutOfReach": {counts: true},
		"OneRunnerCrashed":    {crashed: true, counts: true},
		"Draining":            {change: func(_ *Owner, r *tasks.Runner, _ *tasks.Run) { r.Info.Draining = true }, crashed: true},
		"ManyOutOfReach": {change: func(o *Owner, _ *tasks.Runner, _ *tasks.Run) {
			for i := range minMassLoss {
				o.noteUnreachable(o.addRunner(runner(i+1)), true)
			}
		}},
		"ManyCrashed": {crashed: true, counts: true, change: func(o *Owner, _ *tasks.Runner, _ *tasks.Run) {
			for i := range minMassLoss {
				o.noteUnreachable(o.addRunner(runner(i+1)), false)
			}
		}},
		"ServiceThatHasRunForLong": {crashed: true, change: func(_ *Owner, r *tasks.Runner, run *tasks.Run) {
			run.Task.Step.Spec.Service = true
			run.SentAt = r.UnreachableSince.Add(-lastingProofAge)
		}},
		"ServiceThatHasJustStarted": {crashed: true, counts: true, change: func(_ *Owner, _ *tasks.Runner, run *tasks.Run) {
			run.Task.Step.Spec.Service = true
		}},
		"NeverSent": {crashed: true, change: func(_ *Owner, _ *tasks.Runner, run *tasks.Run) { run.Sent = false }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newLockedOwner()
			r := o.addRunner(runner(0))
			run := r.PlaceTask(o.table.AddJob(job("j", step(1))).Occurrences[0].Steps[0].Tasks[0], 1)
			run.Sent, run.SentAt = true, f.clock.Now()
			o.noteUnreachable(r, true)
			if test.change != nil {
				test.change(o, r, run)
			}
			if got := o.assessLoss(r, test.crashed)[run].Counts; got != test.counts {
				t.Errorf("the loss counts: %v, want %v", got, test.counts)
			}
		})
	}
}

// TestSoleSuspectOfACrash guards against a task that is blamed for a crash of which another one may be the cause.
func TestSoleSuspectOfACrash(t *testing.T) {
	for name, test := range map[string]struct {
		// lost is how often the task was lost before; age is how long it has run, and otherAge the task beside it.
		lost          int16
		age, otherAge time.Duration
		want          bool
	}{
		"AloneAfterALoss":       {lost: 1, age: 10 * time.Millisecond, otherAge: time.Minute, want: true},
		"NeverLost":             {age: 10 * time.Millisecond, otherAge: time.Minute},
		"OtherStartedBefore":    {lost: 1, age: 10 * time.Millisecond, otherAge: tasks.QuietTime},
		"OtherStartedAfter":     {lost: 1, age: 2 * time.Second, otherAge: 10 * time.Millisecond},
		"StartedTooLongBefore":  {lost: 1, age: suspectAge + time.Second, otherAge: time.Minute},
		"OtherStartedLongSince": {lost: 1, age: 10 * time.Millisecond, otherAge: tasks.QuietTime + 20*time.Millisecond, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newLockedOwner()
			now := f.clock.Now()
			r := o.addRunner(runner(0))
			suspected := o.table.AddJob(job("j", step(1))).Occurrences[0].Steps[0].Tasks[0]
			suspected.Losses.Losses = test.lost
			run := r.PlaceTask(suspected, 1)
			run.Sent, run.SentAt = true, now.Add(-test.age)
			other := r.PlaceTask(o.table.AddJob(job("k", step(1))).Occurrences[0].Steps[0].Tasks[0], 1)
			other.Sent, other.SentAt = true, now.Add(-test.otherAge)
			if got := soleSuspect(r, now) == run; got != test.want {
				t.Errorf("the task is the sole suspect: %v, want %v", got, test.want)
			}
		})
	}
}

// lossFixture is an owner with a run on a runner that is about to be lost, and that is alone there after an earlier loss.
func lossFixture(t *testing.T, age time.Duration) (*Owner, *tasks.Runner, *tasks.Run) {
	t.Helper()
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	r := o.addRunner(runner(0))
	task := o.table.AddJob(job("j", step(1))).Occurrences[0].Steps[0].Tasks[0]
	task.Losses = tasks.LossRecord{Losses: 1, Crashes: 1, Suspect: true}
	run := r.PlaceTask(task, 2)
	run.Sent, run.SentAt = true, f.clock.Now().Add(-age)
	run.Confirm(run.SentAt)
	return o, r, run
}

// TestUnconfirmedStartProvesNothing guards against a job that is given up because runners crashed to which starts of its task were on
// their way: they have perhaps never been carried out.
func TestUnconfirmedStartProvesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		change func(run *tasks.Run)
		want   tasks.Loss
	}{
		"Confirmed":   {want: tasks.Loss{Counts: true, Crashed: true, Alone: true, Prompt: true, Suspect: true}},
		"Unconfirmed": {change: func(r *tasks.Run) { r.Confirmed = false }, want: tasks.Loss{Counts: true, Doubtful: true, Suspect: true}},
		"OfAFormerLeader": {
			change: func(r *tasks.Run) { r.Confirmed, r.SentAt = false, time.Time{} },
			want:   tasks.Loss{Counts: true, Doubtful: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, r, run := lossFixture(t, 10*time.Millisecond)
			if test.change != nil {
				test.change(run)
			}
			o.noteUnreachable(r, false)
			if got := o.assessLoss(r, true)[run]; got != test.want {
				t.Errorf("the loss tells %+v, want %+v", got, test.want)
			}
		})
	}
}

// loseOthers lets further runners become unreachable at this moment.
func loseOthers(o *Owner, count int) {
	for i := range count {
		o.noteUnreachable(o.addRunner(runner(i+1)), false)
	}
}

// TestBlameForACrashDependsOnOtherLosses guards against a task that is blamed because it was alone on its runner, though other
// runners were lost with it: then the cause is likely to be another one.
func TestBlameForACrashDependsOnOtherLosses(t *testing.T) {
	for name, test := range map[string]struct {
		others        int
		alone, prompt bool
	}{
		"NoOther":  {alone: true, prompt: true},
		"OneOther": {others: 1, alone: true},
		"Many":     {others: minMassLoss},
	} {
		t.Run(name, func(t *testing.T) {
			o, r, run := lossFixture(t, 10*time.Millisecond)
			loseOthers(o, test.others)
			o.noteUnreachable(r, false)
			if got := o.assessLoss(r, true)[run]; got.Alone != test.alone || got.Prompt != test.prompt {
				t.Errorf("alone %v and prompt %v, want %v and %v", got.Alone, got.Prompt, test.alone, test.prompt)
			}
		})
	}
}

// TestOnlyRecentStartsAreSuspected guards against tasks that wait for a runner of their own after each crash, though they had gone on
// for long.
func TestOnlyRecentStartsAreSuspected(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		want bool
	}{
		"Recent": {age: suspectAge / 2, want: true},
		"Old":    {age: suspectAge + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			o, r, run := lossFixture(t, test.age)
			o.noteUnreachable(r, false)
			if got := o.assessLoss(r, true)[run].Suspect; got != test.want {
				t.Errorf("the task is suspected: %v, want %v", got, test.want)
			}
		})
	}
}

// TestLongAttemptsClearEarlierLosses guards against a batch task of hours that is given up because four of its runners crash over
// its life.
func TestLongAttemptsClearEarlierLosses(t *testing.T) {
	for name, test := range map[string]struct {
		age     time.Duration
		givenUp bool
	}{
		"Short": {age: time.Minute, givenUp: true},
		"Long":  {age: clearingAge},
	} {
		t.Run(name, func(t *testing.T) {
			o, r, run := lossFixture(t, test.age)
			o.noteUnreachable(r, false)
			record := tasks.LossRecord{Losses: 3, Crashes: 3, In: 1}
			loss := o.assessLoss(r, true)[run]
			record.Add(loss, run.Key.Attempt)
			if got := record.IsGivenUp(loss); got != test.givenUp {
				t.Errorf("given up after a fourth loss at the age of %s: %v, want %v", test.age, got, test.givenUp)
			}
		})
	}
}
