package tasks

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// QuietTime is how long a runner gets no other start before and after that of a task that may crash it, so that a crash
	// tells of that task alone.
	QuietTime = 500 * time.Millisecond
	// MaxServicePause and minServicePause bound how long the task of a service waits after a crash for which another task would be given
	// up. The time doubles with each further one. With maxQuietWait it stays below the 6 s in which such a task must run again.
	MaxServicePause = 3 * time.Second
	minServicePause = 500 * time.Millisecond

	// minCrashes is how many runners must certainly have crashed under a task before it is given up, and minAlone how many of them
	// while no other task could be the cause, unless the latest crash followed promptly: a runner may also crash for a reason of its own.
	minCrashes = 2
	minAlone   = 2
	// maxSharedCrashes is after how many crashes a task is given up that was not alone with its runners often enough, or whose runners
	// crash before their answer to the start arrives.
	maxSharedCrashes = 4
	// suspectLosses is from how many losses on a task is suspected, whatever the latest one told of it.
	suspectLosses = 2
	// maxQuietWait is how long a suspected task waits for a runner that has had no other start for a while. Most suspected tasks are
	// innocent, and after a series of crashes there may be more of them than such runners.
	maxQuietWait = 2 * time.Second
)

type (
	// LossRecord counts the attempts of a task that ended with the loss of their runner. The fields are small, since the leader holds
	// one for each task.
	LossRecord struct {
		// Losses counts all of them, Crashes those whose runner had confirmed the attempt and has certainly crashed, and Alone those of
		// the crashes of which no other task can be the cause.
		Losses  int16 `json:"Losses,omitempty"`
		Crashes int16 `json:"Crashes,omitempty"`
		Alone   int16 `json:"Alone,omitempty"`
		// Doubtful counts those whose runner has certainly crashed, but had not confirmed the attempt: it may never have begun.
		Doubtful int16 `json:"Doubtful,omitempty"`
		// Suspect is set when the latest of them ended so soon after its start that it may have been the cause.
		Suspect bool `json:"Suspect,omitempty"`
		// In is the latest attempt that was counted.
		In specs.Attempt `json:"In,omitempty"`
	}

	// Loss is what the loss of a runner tells of one of its runs.
	Loss struct {
		// Counts is set when the loss counts against the task; the other fields are not set without it.
		Counts bool
		// Crashed is set when the runner has certainly crashed, and is not just out of reach, and had confirmed the attempt. Doubtful is
		// set instead when it had not confirmed it.
		Crashed  bool
		Doubtful bool
		// Lasted is set when the attempt had gone on for so long that the earlier losses tell nothing of its task any more.
		Lasted bool
		// Suspect is set when the task may be the cause of the loss.
		Suspect bool
		// Alone is set when no other task can be the cause of the crash. Prompt is set in addition when the crash followed the start at
		// once, and no other runner was lost with it.
		Alone  bool
		Prompt bool
	}

	// RunnerAddress tells where a runner with runs can be reached, also when the directory does not list it any more.
	RunnerAddress struct {
		Runner  specs.RunnerID `json:"Runner"`
		Boot    specs.Boot     `json:"Boot,omitempty"`
		Address types.Address  `json:"Address"`
	}
)

// Add counts a loss in which the given attempt ended, once for each attempt. It forgets the earlier ones if the attempt lasted:
// over hours, an innocent task meets several runners that crash for reasons of their own.
func (l *LossRecord) Add(loss Loss, attempt specs.Attempt) {
	if !loss.Counts || attempt <= l.In {
		return
	}
	if loss.Lasted {
		*l = LossRecord{}
	}
	l.In = attempt
	l.Losses++
	l.addCrash(loss)
	l.Suspect = loss.Suspect
}

// ConfirmCrash counts a loss as a certain crash that Add has counted without that certainty.
func (l *LossRecord) ConfirmCrash(loss Loss) {
	if l.allCrashes() < l.Losses {
		l.addCrash(loss)
	}
}

// addCrash counts the crash of a loss, if it is one.
func (l *LossRecord) addCrash(loss Loss) {
	if loss.Crashed {
		l.Crashes++
	}
	if loss.Alone {
		l.Alone++
	}
	if loss.Doubtful {
		l.Doubtful++
	}
}

// allCrashes counts the runners that have certainly crashed, whether or not they had confirmed an attempt.
func (l *LossRecord) allCrashes() int16 {
	return l.Crashes + l.Doubtful
}

// IsGivenUp reports whether the task starts no more after the latest loss. Only certain crashes count: a runner that was out of reach
// until its leases expired has perhaps run the task without a fault, and it is not known that it will not again.
func (l *LossRecord) IsGivenUp(latest Loss) bool {
	if l.allCrashes() >= maxSharedCrashes {
		return true
	}
	return l.Crashes >= minCrashes && (latest.Prompt || l.Alone >= minAlone)
}

// IsBlamed reports whether the crashes look like the doing of the task, whatever the latest loss told of it.
func (l *LossRecord) IsBlamed() bool {
	return l.IsGivenUp(Loss{})
}

// ServicePause returns how long the task of a service waits for its next start after a loss. It is never given up, since it must run
// until its job is cancelled.
func (l *LossRecord) ServicePause() time.Duration {
	if !l.IsBlamed() {
		return 0
	}
	pause := minServicePause
	for range l.allCrashes() - minCrashes {
		pause = min(2*pause, MaxServicePause)
	}
	return pause
}

// IsSuspect reports whether the task, or a member of its gang, may have crashed a runner, so that the next attempt should start apart
// from other starts.
func (t *Task) IsSuspect() bool {
	return t.anyOfUnit(func(m *Task) bool { return m.Losses.Suspect || m.Losses.Losses >= suspectLosses })
}

// WasLost reports whether an attempt of the task, or of a member of its gang, ended with the loss of its runner.
func (t *Task) WasLost() bool {
	return t.anyOfUnit(func(m *Task) bool { return m.Losses.Losses > 0 })
}

// anyOfUnit reports whether the condition holds for the task, or for any member of its gang.
func (t *Task) anyOfUnit(condition func(m *Task) bool) bool {
	if !t.Step.Spec.Gang {
		return condition(t)
	}
	return slices.ContainsFunc(t.Step.Tasks, condition)
}

// WaitsToStartApart reports whether a suspected task still waits for a runner that has had no other start for a while. The task of a
// service that is blamed for crashes waits without a limit while a runner is held for it, or none may be.
func (t *Task) WaitsToStartApart(now time.Time) bool {
	if t.Step.Spec.Service && t.Losses.IsBlamed() {
		return true
	}
	return now.Before(t.NotBefore.Add(maxQuietWait))
}

// SuspectedTasks returns the suspected tasks that wait, those that have waited for longest first. Members of gangs are left out.
func (t *Table) SuspectedTasks() []*Task {
	out := make([]*Task, 0, len(t.suspected))
	for task := range t.suspected {
		out = append(out, task)
	}
	slices.SortFunc(out, func(a, b *Task) int {
		return cmp.Or(a.NotBefore.Compare(b.NotBefore), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	return out
}

// updateSuspected keeps the set of suspected tasks up to date after a change of the task.
func (t *Table) updateSuspected(task *Task) {
	if task.State == Waiting && !task.Step.Spec.Gang && task.IsSuspect() {
		t.suspected[task] = struct{}{}
		return
	}
	delete(t.suspected, task)
}

// removeSuspected removes the tasks of a job that has ended from the set of suspected tasks.
func (t *Table) removeSuspected(j *Job) {
	maps.DeleteFunc(t.suspected, func(task *Task, _ struct{}) bool { return task.Step.Job == j })
}

// SameUnit reports whether two runs belong to one task or to one gang, which are to blame together.
func (r *Run) SameUnit(o *Run) bool {
	return r.Task == o.Task || (r.Task != nil && o.Task != nil && r.Task.Step == o.Task.Step && r.Task.Step.Spec.Gang)
}

// KeepQuiet keeps other starts off the runner until the run has gone on for QuietTime, or has ended.
func (r *Runner) KeepQuiet(run *Run) {
	r.quietFor = run
}

// IsQuiet reports whether the runner gets no other starts for now; see KeepQuiet.
func (r *Runner) IsQuiet(now time.Time) bool {
	run := r.quietFor
	if run == nil || r.Runs[run.Key] != run {
		return false
	}
	return run.SentAt.IsZero() || now.Before(run.SentAt.Add(QuietTime))
}

// IsSettled reports whether the runner had no start within QuietTime.
func (r *Runner) IsSettled(now time.Time) bool {
	return !now.Before(r.LastStartAt.Add(QuietTime))
}

// HasSuspect reports whether a task that may have crashed a runner before is on the runner.
func (r *Runner) HasSuspect() bool {
	for _, run := range r.Runs {
		if run.Task != nil && run.Task.IsSuspect() {
			return true
		}
	}
	return false
}

// SetAddress records where a runner can be reached.
func (t *Table) SetAddress(a RunnerAddress) {
	t.addresses[a.Runner] = a
}

// Address returns where a runner was last reached; false means that it is not known.
func (t *Table) Address(id specs.RunnerID) (RunnerAddress, bool) {
	a, ok := t.addresses[id]
	return a, ok
}

// addressRecords returns the addresses of the runners that have runs. It forgets all others, which are recorded again before the next
// run on them, since a snapshot replaces all former records.
func (t *Table) addressRecords() []Record {
	var out []Record
	for id, a := range t.addresses {
		r := t.Runners[id]
		if r == nil || len(r.Runs) == 0 {
			delete(t.addresses, id)
			continue
		}
		out = append(out, Record{Runner: &a})
	}
	return out
}
