package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// usualTime is the run time of most tasks of the fleet; tailEvery is how many tasks there are for one that takes
	// tailFactor times as long.
	usualTime  = 4 * time.Second
	tailEvery  = 32
	tailFactor = 7
	// slowEvery is how many runners there are for one that is slowFactor times as slow.
	slowEvery  = 25
	slowFactor = 8
	reportStep = 300 * time.Millisecond
)

// slowFleet is an owner whose runners execute one to three tasks each, of which some are long and some runners slow.
type slowFleet struct {
	*Owner

	began time.Time
	takes map[*tasks.Run]time.Duration
	long  map[*tasks.Run]bool
	slow  map[*tasks.Runner]bool
	// shared holds the runners with more than one task.
	shared map[*tasks.Runner]bool
	// stoppedAt holds when runs were stopped.
	stoppedAt map[*tasks.Run]time.Time
}

func newSlowFleet(t *testing.T, seed uint64, runners int) *slowFleet {
	t.Helper()
	base := newFixture(t, quickWorld())
	f := &slowFleet{
		Owner: base.newOwner(), began: base.clock.Now(), takes: make(map[*tasks.Run]time.Duration), long: make(map[*tasks.Run]bool),
		slow: make(map[*tasks.Runner]bool), shared: make(map[*tasks.Runner]bool), stoppedAt: make(map[*tasks.Run]time.Time),
	}
	t.Cleanup(f.cancel)
	draw := rand.New(rand.NewPCG(seed, 1))
	f.learn()
	for i := range runners {
		info := runner(i)
		info.Address = ""
		r := f.addRunner(info)
		r.Synced = true
		f.slow[r], f.shared[r] = i%slowEvery == slowEvery-1, i%3 > 0
		for k := range 1 + i%3 {
			run := f.place(fmt.Sprintf("j%d-%d", i, k), r)
			f.long[run] = draw.IntN(tailEvery) == 0
			f.takes[run] = time.Duration((0.9 + 0.2*draw.Float64()) * float64(usualTime))
			if f.long[run] {
				f.takes[run] *= tailFactor
			}
			if f.slow[r] {
				f.takes[run] *= slowFactor
			}
		}
	}
	return f
}

// learn observes the run times of the queue.
func (f *slowFleet) learn() {
	for i := range 4 * tailEvery {
		ran := usualTime
		if i%tailEvery == 0 {
			ran *= tailFactor
		}
		f.table.Times.ObserveRunTime("q", usualTime, ran)
	}
}

// place adds a job of one task, which runs on the runner.
func (f *slowFleet) place(id string, r *tasks.Runner) *tasks.Run {
	s := step(1)
	s.Estimate = usualTime
	task := f.table.AddJob(job(id, s)).Occurrences[0].Steps[0].Tasks[0]
	run := f.placeNext(task, r)
	run.Sent = true
	return run
}

// play reports the progress of all runs until the last has ended or was stopped, with the check of the runners.
func (f *slowFleet) play(check func(r *tasks.Runner, now time.Time)) {
	for after := time.Duration(0); after < 2*tailFactor*slowFactor*usualTime; after += reportStep {
		now := f.began.Add(after)
		for _, r := range f.table.OrderedRunners() {
			for _, run := range r.Runs {
				if after >= f.takes[run] {
					r.RemoveRun(run)
					continue
				}
				percent := int(100 * after / f.takes[run])
				f.applyRunning(r, agent.Running{Ref: run.Key.Ref, Attempt: 1, Percent: percent}, now)
			}
			check(r, now)
			for _, run := range r.Runs {
				if run.StartCancelled {
					f.stoppedAt[run] = now
					r.RemoveRun(run)
				}
			}
		}
	}
}

// formerCheck is the former check of a runner, the baseline: its speed is the mean of its tasks' speeds, and a task of
// usual length is assumed elsewhere.
func (f *slowFleet) formerCheck(r *tasks.Runner, now time.Time) {
	sum, count := 0.0, 0
	for _, run := range r.Runs {
		if projected, ok := f.projectedRunTime(run, now); ok {
			sum += min(float64(f.expectedRunTime(run))/float64(projected), maxSpeedRatio)
			count++
		}
	}
	if count == 0 {
		r.Health.Speed += (1 - r.Health.Speed) * idleSpeedWeight
		return
	}
	r.Health.Speed += (sum/float64(count) - r.Health.Speed) * speedWeight
	for _, run := range r.Runs {
		total, ok := f.projectedRunTime(run, now)
		remaining := total * time.Duration(completePercent-run.Percent) / completePercent
		if ok && r.Health.Slow() && remaining > minMoveRatio*(moveOverhead+f.expectedRunTime(run)) {
			run.StartCancelled = true
		}
	}
}

// stopped returns how many tasks on healthy runners were stopped, with their core-seconds, and how many on slow runners that
// had more than one task.
func (f *slowFleet) stopped() (healthy int, lost float64, slow int) {
	for run, at := range f.stoppedAt {
		switch {
		case !f.slow[run.Runner]:
			healthy++
			lost += at.Sub(f.began).Seconds()
		case f.shared[run.Runner]:
			slow++
		}
	}
	return healthy, lost, slow
}

// A task that is long by itself must not be stopped, since it would take as long elsewhere; tasks on slow runners must still
// be moved. A single task on a runner does not tell which of both it is, unless it takes longer than the long tasks of its
// queue: it stays.
func TestLongTasksAreToldFromSlowRunners(t *testing.T) {
	const seeds, runners = 4, 100
	var healthy, slow, formerHealthy, formerSlow int
	var lost, formerLost float64
	for seed := range uint64(seeds) {
		f := newSlowFleet(t, seed, runners)
		f.play(f.checkProgress)
		h, l, s := f.stopped()
		healthy, slow, lost = healthy+h, slow+s, lost+l
		f = newSlowFleet(t, seed, runners)
		f.play(f.formerCheck)
		h, l, s = f.stopped()
		formerHealthy, formerSlow, formerLost = formerHealthy+h, formerSlow+s, formerLost+l
	}
	t.Logf("stopped on healthy runners: %d tasks, %.0f core-seconds; formerly %d and %.0f; stopped on slow ones: %d, formerly %d",
		healthy, lost, formerHealthy, formerLost, slow, formerSlow)
	if lost > formerLost/4 {
		t.Errorf("%.0f core-seconds of tasks on healthy runners are thrown away, want at most a quarter of the former %.0f", lost, formerLost)
	}
	if slow < formerSlow {
		t.Errorf("%d tasks on slow runners are moved, formerly %d", slow, formerSlow)
	}
}

// One percent of a very long task takes longer than the time without progress after which other tasks count as stalled.
func TestVeryLongTaskIsNotStalled(t *testing.T) {
	f := newHealthFixture(t, 1)
	const perPercent = stallTimeout * 3 / 2
	for range minKnownRuns {
		f.table.Times.ObserveRunTime("q", time.Second, perPercent*completePercent)
	}
	for i := range 20 {
		f.reportProgress(i/5, time.Duration(i)*perPercent/5)
	}
	if f.stoppedCount() != 0 {
		t.Error("the task is stopped as stalled, though it makes progress")
	}
	f.reportProgress(3, 3*perPercent+(stallPercents+1)*perPercent)
	if f.stoppedCount() != 1 {
		t.Error("the task is not stopped, though it makes no progress any more")
	}
}

// newSlowGang returns a gang of four that has run for two seconds, of which it should take ten, with one member on each of
// four runners. Two more tasks of other jobs show how fast each runner is.
func newSlowGang(t *testing.T) (*gangFixture, []*tasks.Run) {
	f := newGangFixture(t, 4)
	f.step.Spec.Estimate = 10 * time.Second
	var others []*tasks.Run
	for i, r := range f.runners {
		for k := range 2 {
			s := step(1)
			s.Estimate = time.Second
			task := f.table.AddJob(job(fmt.Sprintf("o%d-%d", i, k), s)).Occurrences[0].Steps[0].Tasks[0]
			run := f.placeNext(task, r)
			run.Sent = true
			others = append(others, run)
		}
	}
	return f, others
}

// playGang reports the progress of a gang and the others: the gang's members are at percent(after), the tasks on the first
// runner are slowFactor times as slow as those on the others.
func (f *gangFixture) playGang(others []*tasks.Run, length time.Duration, percent func(member int, after time.Duration) int) {
	began := f.config.Clock.Now()
	for after := time.Duration(0); after <= length; after += reportStep {
		now := began.Add(after)
		for i, task := range f.step.Tasks {
			if task.Run != nil {
				f.applyRunning(f.runners[i], agent.Running{Ref: task.Ref, Attempt: 1, Percent: percent(i, after)}, now)
			}
		}
		for i, run := range others {
			expected := f.expectedRunTime(run)
			if i < 2 {
				expected *= slowFactor
			}
			f.applyRunning(run.Runner, agent.Running{Ref: run.Key.Ref, Attempt: 1, Percent: min(99, int(100*after/expected))}, now)
		}
		for _, r := range f.runners {
			f.checkProgress(r, now)
		}
	}
}

func (f *gangFixture) stoppedMembers() int {
	n := 0
	for _, task := range f.step.Tasks {
		if task.Run.StartCancelled {
			n++
		}
	}
	return n
}

// Stopping one member breaks its whole gang. It must happen only when a new start of all pays, and then to all members at once,
// so that each saves its state.
func TestGangIsMovedWholeOrNotAtAll(t *testing.T) {
	steady := func(total time.Duration) func(int, time.Duration) int {
		return func(_ int, after time.Duration) int { return min(99, int(100*after/total)) }
	}
	cases := map[string]struct {
		percent func(member int, after time.Duration) int
		want    int
	}{
		"AsFastAsExpectedOnASlowRunner": {steady(10 * time.Second), 0},
		// A new start would take longer than twice the usual time saves.
		"TwiceTheUsualTime": {steady(20 * time.Second), 0},
		"SlowedByTheRunner": {steady(slowFactor * 10 * time.Second), 4},
		"NearlyDone":        {func(_ int, after time.Duration) int { return min(99, 80+steady(slowFactor*10*time.Second)(0, after)) }, 0},
		"OneMemberHasMoreOfTheWorkLeft": {func(member int, after time.Duration) int {
			if member == 0 {
				return steady(slowFactor*10*time.Second)(0, after)
			}
			return steady(10*time.Second)(0, after)
		}, 4},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f, others := newSlowGang(t)
			f.playGang(others, 6*time.Second, tt.percent)
			if got := f.stoppedMembers(); got != tt.want {
				t.Errorf("%d members are stopped, want %d", got, tt.want)
			}
			for i, r := range f.runners[1:] {
				if r.Health.Slow() {
					t.Errorf("runner %d counts as slow, with speed %.2f, though only runner 0 is", i+1, r.Health.Speed)
				}
			}
		})
	}
}

// Whether a move pays depends on the slowest member, and on all that a new start costs: the work since the latest save, the
// next place, and that a long task is long elsewhere too.
func TestMoveIsWeighedForTheWholeGang(t *testing.T) {
	f := newGangFixture(t, 2)
	f.step.Spec.Estimate = 10 * time.Second
	now := f.config.Clock.Now()
	for i, percent := range []int{50, 10} {
		run := f.step.Tasks[i].Run
		run.Confirm(now.Add(-4 * time.Second))
		run.FirstAt, run.ProgressAt, run.Percent = now.Add(-4*time.Second), now, percent
	}
	run := f.step.Tasks[0].Run
	check := func(what string, got, want time.Duration) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	check("the slowest member's time here", f.remainingHere(run, 8*time.Second, now), 36*time.Second)
	check("elsewhere, nothing saved", f.remainingElsewhere(run, 8*time.Second, 1, now), gangMoveOverhead+10*time.Second)
	check("elsewhere, a long task", f.remainingElsewhere(run, 40*time.Second, 0.5, now), gangMoveOverhead+20*time.Second)
	f.step.Tasks[1].Run.ObserveCheckpoint("a", now.Add(-3*time.Second))
	check("elsewhere, saved three seconds ago", f.remainingElsewhere(run, 8*time.Second, 1, now), gangMoveOverhead+8*time.Second)
	f.step.Spec.Gang = false
	check("the task's own time here", f.remainingHere(run, 8*time.Second, now), 4*time.Second)
	check("elsewhere, nothing saved by the task", f.remainingElsewhere(run, 8*time.Second, 1, now), moveOverhead+10*time.Second)
	run.ObserveCheckpoint("b", now)
	check("elsewhere, saved by the task", f.remainingElsewhere(run, 8*time.Second, 1, now), moveOverhead+5*time.Second)
}

// A gang that makes no progress for a moment is not given up before that has cost as much as a new start, and then as a whole.
func TestStalledGangIsStoppedOnceThatPays(t *testing.T) {
	const worked = 5 * time.Second
	const stalls = worked + gangMoveOverhead
	percent := func(after time.Duration) int { return int(100 * min(after, worked) / (10 * time.Second)) }
	play := func(length time.Duration) int {
		f := newGangFixture(t, 3)
		f.step.Spec.Estimate = 10 * time.Second
		f.playGang(nil, length, func(_ int, after time.Duration) int { return percent(after) })
		return f.stoppedMembers()
	}
	if got := play(worked + stalls - time.Second); got != 0 {
		t.Errorf("%d members are stopped though the gang would lose more than it has waited", got)
	}
	if got := play(worked + stalls + time.Second); got != 3 {
		t.Errorf("%d members are stopped once waiting has cost more than a new start, want 3", got)
	}
}

// One stalled runner holds up a whole gang. The runners of the other members must stay in use, whichever is checked first.
func TestOnlyTheRunnerThatHoldsUpAGangIsQuarantined(t *testing.T) {
	f, others := newSlowGang(t)
	began := f.config.Clock.Now()
	now := began.Add(stallTimeout)
	for i, task := range f.step.Tasks {
		f.applyRunning(f.runners[i], agent.Running{Ref: task.Ref, Attempt: 1, Percent: 10}, began)
	}
	for _, run := range others {
		f.applyRunning(run.Runner, agent.Running{Ref: run.Key.Ref, Attempt: 1, Percent: 10}, began)
		if run.Runner != f.runners[2] {
			f.applyRunning(run.Runner, agent.Running{Ref: run.Key.Ref, Attempt: 1, Percent: 60}, now)
		}
	}
	f.stopStalledRun(f.step.Tasks[0].Run, now)
	for i, r := range f.runners {
		if got, want := now.Before(r.Health.QuarantinedUntil), i == 2; got != want {
			t.Errorf("runner %d is quarantined: %v, want %v", i, got, want)
		}
	}
	if got := f.stoppedMembers(); got != len(f.step.Tasks) {
		t.Errorf("%d members are stopped, want all", got)
	}
}

// A run time counts as it would be at the usual pace: those on a slow runner must not make its queue's tasks look long.
func TestRunTimesAreNormalisedByThePaceOfTheRunner(t *testing.T) {
	f := newHealthFixture(t, 1)
	other := f.addRunner(runner(1))
	f.addRunner(runner(2))
	f.runner.Health.Pace, other.Health.Pace = 0.8, 1.25
	f.updateUsualPaces()
	run := f.runs[0]
	run.Confirm(f.began)
	run.Tries = 1
	f.observeRunTime(run, f.began.Add(10*time.Second))
	if got := f.table.Times.Expect("q", specs.Step{}.Estimate); got < 7600*time.Millisecond || got > 8400*time.Millisecond {
		t.Errorf("a run of 10 s at a pace of 0.8 counts as %s, want 8 s", got)
	}
	if got := f.runner.Health.Pace; got >= 0.8 {
		t.Errorf("the pace is %.2f after a run of ten times the expected time, want less than 0.8", got)
	}
	run.Tries = 0
	f.observeRunTime(run, f.began.Add(time.Hour))
	if got := f.table.Times.Expect("q", 0); got > 9*time.Second {
		t.Errorf("a run of a former term counts: %s are expected", got)
	}
}
