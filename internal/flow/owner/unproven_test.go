package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// loseSilently places the job's task on a runner of its own, which falls silent until its leases expire, and returns that runner.
func loseSilently(o *Owner, j *tasks.Job, number int) *tasks.Runner {
	info := runner(number)
	info.Boot = 1
	r := o.addRunner(info)
	t := j.Occurrences[0].Steps[0].Tasks[0]
	now := o.config.Clock.Now()
	c := t.Change()
	c.State, c.Attempt, c.Runner = tasks.Placed, t.Attempt+1, info.ID
	o.record(tasks.Record{Task: c}, nil)
	run := r.PlaceTask(t, c.Attempt)
	run.Sent, run.SentAt = true, now.Add(-time.Second)
	run.Confirm(now.Add(-time.Second))
	o.noteUnreachable(r, true)
	o.removeLostRuns(r, false)
	return r
}

func checkLosses(t *testing.T, j *tasks.Job, want tasks.LossRecord) {
	t.Helper()
	got := j.Occurrences[0].Steps[0].Tasks[0].Losses
	if got.Losses != want.Losses || got.Crashes != want.Crashes || got.Alone != want.Alone {
		t.Errorf("the task has %d losses, %d of them crashes, %d alone; want %d, %d and %d",
			got.Losses, got.Crashes, got.Alone, want.Losses, want.Crashes, want.Alone)
	}
}

// TestSilentRunnersFailNoJob guards against an accepted job that is given up because its runners were cut off again and again: it is not
// known that its task has done anything to them.
func TestSilentRunnersFailNoJob(t *testing.T) {
	const cuts = 20
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	j := o.table.AddJob(job("j", step(1)))
	for i := range cuts {
		loseSilently(o, j, i)
	}
	if j.Ending || o.table.Jobs["j"] != j {
		t.Errorf("the job has ended after %d cuts, want it to go on", cuts)
	}
	checkLosses(t, j, tasks.LossRecord{Losses: cuts})
}

// TestCrashThatIsProvenLate guards against a task that crashes its runners without end where they take longer than a lease to start
// again, and against a crash that is counted though the runner was only cut off.
func TestCrashThatIsProvenLate(t *testing.T) {
	for name, test := range map[string]struct {
		then func(o *Owner, r *tasks.Runner)
		want tasks.LossRecord
	}{
		"LaterRunnerAtTheAddress": {
			then: func(o *Owner, r *tasks.Runner) {
				next := r.Info
				next.ID, next.Boot = "next", 2
				o.applyEntry(next)
			},
			want: tasks.LossRecord{Losses: 1, Crashes: 1},
		},
		"LaterBootOfTheRunner": {
			then: func(o *Owner, r *tasks.Runner) {
				next := r.Info
				next.Boot = 2
				o.applyEntry(next)
			},
			want: tasks.LossRecord{Losses: 1, Crashes: 1},
		},
		"AnotherRunnerAnswers": {
			then: func(o *Owner, r *tasks.Runner) { o.runnerGone(r) },
			want: tasks.LossRecord{Losses: 1, Crashes: 1},
		},
		"SameBootIsListedAgain": {
			then: func(o *Owner, r *tasks.Runner) { o.applyEntry(r.Info) },
			want: tasks.LossRecord{Losses: 1},
		},
		"FormerRunnerIsStillListed": {
			then: func(o *Owner, r *tasks.Runner) {
				former := r.Info
				former.ID, former.Boot = "former", 0
				o.applyEntry(former)
			},
			want: tasks.LossRecord{Losses: 1},
		},
		"RunnerAnswersAgain": {
			then: func(o *Owner, r *tasks.Runner) {
				o.applyReport(r, agent.RenewRequest{Fence: r.Fence}, agent.Report{Boot: r.Info.Boot, Clock: r.Clock}, o.config.Clock.Now())
				next := r.Info
				next.Boot = 2
				o.applyEntry(next)
			},
			want: tasks.LossRecord{Losses: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newLockedOwner()
			j := o.table.AddJob(job("j", step(1)))
			test.then(o, loseSilently(o, j, 0))
			checkLosses(t, j, test.want)
		})
	}
}

// TestTaskIsGivenUpForCrashesThatAreProvenLate guards against a task that goes on crashing runners because each crash is known only after
// its leases have expired.
func TestTaskIsGivenUpForCrashesThatAreProvenLate(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	j := o.table.AddJob(job("j", step(1)))
	for i := range maxCrashingStarts {
		if j.Ending {
			break
		}
		r := loseSilently(o, j, i)
		next := r.Info
		next.ID, next.Boot = specs.RunnerID("next-"+string(r.Info.ID)), 2
		o.applyEntry(next)
	}
	if state := o.table.EndedJobs["j"].State; state != tasks.JobFailed {
		t.Errorf("the job's state is %q after %d crashes, want %q", state, maxCrashingStarts, tasks.JobFailed)
	}
}
