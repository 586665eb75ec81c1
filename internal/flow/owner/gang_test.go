package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// gangFixture is an owner that does not run, with one gang, of which member i is placed on runner i.
type gangFixture struct {
	*Owner

	t       *testing.T
	base    *fixture
	step    *tasks.Step
	runners []*tasks.Runner
	results agent.ResultNumber
	// ledger holds the records of former owners.
	ledger []tasks.Record
}

func newGangFixture(t *testing.T, width int) *gangFixture {
	t.Helper()
	base := newFixture(t, quickWorld())
	f := &gangFixture{t: t, base: base}
	f.adopt(base.newOwner(), width)
	f.table.AddJob(job("j", gang(width)))
	f.step = f.table.Jobs["j"].Occurrences[0].Steps[0]
	f.begin()
	return f
}

// adopt makes the fixture use an owner, with runners that it has reached.
func (f *gangFixture) adopt(o *Owner, width int) {
	f.t.Cleanup(o.cancel)
	f.Owner, f.runners = o, nil
	o.confirmedAt = o.config.Clock.Now()
	for i := range width {
		r := o.addRunner(runner(i))
		r.Synced = true
		f.runners = append(f.runners, r)
	}
}

// takeOver replaces the owner by that of a new term, which has the records of the former one, or those of its snapshot.
func (f *gangFixture) takeOver(snapshot bool) {
	f.ledger = append(f.ledger, f.pending.entry.Records...)
	records := f.ledger
	if snapshot {
		records = f.table.SnapshotRecords()
	}
	f.adopt(f.base.newOwner(), len(f.runners))
	f.table.AddJob(job("j", gang(len(f.runners))))
	f.step = f.table.Jobs["j"].Occurrences[0].Steps[0]
	for _, r := range records {
		f.table.Apply(r)
	}
	f.adoptPlacedTasks()
}

// begin records the starts of all members.
func (f *gangFixture) begin() {
	for i, task := range f.step.Tasks {
		f.recordStart(order.Start{Task: task, Runner: f.runners[i]})
		task.Run.Sent = true
	}
}

// report applies the report that a member has saved a state.
func (f *gangFixture) report(member int, saved specs.Checkpoint) {
	task := f.step.Tasks[member]
	f.applyRunning(f.runners[member], agent.Running{Ref: task.Ref, Attempt: task.Attempt, Checkpoint: saved}, f.config.Clock.Now())
}

// end applies the result of a member's attempt.
func (f *gangFixture) end(member int, outcome agent.Outcome, saved specs.Checkpoint) {
	f.results++
	task := f.step.Tasks[member]
	f.applyResult(f.runners[member], agent.Result{
		Number: f.results, Ref: task.Ref, Attempt: task.Attempt, Outcome: outcome, Checkpoint: saved,
	})
}

// wantStarts checks with which state all members of the present attempt are started.
func (f *gangFixture) wantStarts(want specs.Checkpoint) {
	f.t.Helper()
	for i, task := range f.step.Tasks {
		if got := task.Run.StartCheckpoint; got != want {
			f.t.Errorf("member %d is started with %q, want %q", i, got, want)
		}
	}
}

// All members of an attempt must be started with the same state, and with the newest, so that no work is lost: members that
// have saved at different times, or not at all, otherwise resume from different states.
func TestGangResumesFromTheNewestCheckpointOfAnyMember(t *testing.T) {
	outcomes := map[string]func(f *gangFixture){
		"Failed": func(f *gangFixture) { f.end(0, agent.Failed, "") },
		"LeaseExpired": func(f *gangFixture) {
			f.removeAbsentRun(f.step.Tasks[0].Run, agent.LeaseExpired, tasks.Loss{})
		},
		"Stopped":        func(f *gangFixture) { f.end(0, agent.Stopped, "") },
		"TheOneThatKnew": func(f *gangFixture) { f.end(2, agent.Failed, "") },
	}
	for name, breakGang := range outcomes {
		t.Run(name, func(t *testing.T) {
			f := newGangFixture(t, 3)
			f.wantStarts("")
			f.report(0, "a")
			f.report(2, "b")
			f.report(0, "a")
			breakGang(f)
			for i, task := range f.step.Tasks {
				if task.Run != nil {
					f.end(i, agent.GangBroken, "")
				}
			}
			f.begin()
			f.wantStarts("b")
		})
	}
}

// A stop saves the state; the value is only in the result.
func TestGangResumesFromTheStateThatAStopSaved(t *testing.T) {
	f := newGangFixture(t, 3)
	f.report(0, "a")
	f.end(1, agent.Failed, "")
	f.end(0, agent.Stopped, "a")
	f.end(2, agent.Stopped, "c")
	f.begin()
	f.wantStarts("c")
}

// The value of an attempt is fixed with its intents: a start that is sent again must not carry a state that another member
// has saved meanwhile.
func TestCheckpointOfAnAttemptStaysFixed(t *testing.T) {
	f := newGangFixture(t, 2)
	f.report(0, "a")
	f.wantStarts("")
	f.end(0, agent.Failed, "")
	f.end(1, agent.GangBroken, "")
	f.begin()
	f.report(1, "b")
	f.wantStarts("a")
}

// startRecorder records the starts that are sent to it, and loses their answers.
type startRecorder struct {
	agent.Agent

	requests chan agent.StartRequest
}

func (r startRecorder) Start(_ context.Context, _ agent.Runner, request agent.StartRequest) error {
	r.requests <- request
	return errs.New(errs.Lost, "the answer was lost")
}

// A start that is sent again while the gang's members save states carries the state that its attempt began with.
func TestStartThatIsSentAgainHasTheSameCheckpoint(t *testing.T) {
	f := newGangFixture(t, 2)
	recorder := startRecorder{Agent: f.base.fleet, requests: make(chan agent.StartRequest, maxStartTries)}
	f.config.Agents = recorder
	f.report(0, "a")
	f.end(0, agent.Failed, "")
	f.end(1, agent.GangBroken, "")
	f.begin()
	f.mu.Lock()
	f.sendStart(f.step.Tasks[1].Run)
	f.report(0, "b")
	f.mu.Unlock()
	for range maxStartTries {
		if got := (<-recorder.requests).Checkpoint; got != "a" {
			t.Errorf("the start carries %q, want %q", got, "a")
		}
	}
}

// A member that has saved nothing yet in its attempt reports the state with which it was started. That must not replace
// what another member has saved since; nor may anything that an earlier attempt reports late.
func TestOlderCheckpointDoesNotReplaceANewerOne(t *testing.T) {
	f := newGangFixture(t, 2)
	f.report(0, "a")
	late := f.step.Tasks[1].Ref
	f.end(0, agent.Failed, "")
	f.end(1, agent.GangBroken, "")
	f.begin()
	f.report(0, "b")
	f.report(1, "a")
	f.applyRunning(f.runners[1], agent.Running{Ref: late, Attempt: 1, Checkpoint: "old"}, f.config.Clock.Now())
	f.results++
	f.applyResult(f.runners[1], agent.Result{Number: f.results, Ref: late, Attempt: 1, Outcome: agent.Stopped, Checkpoint: "old"})
	f.end(0, agent.Failed, "b")
	f.end(1, agent.GangBroken, "a")
	f.begin()
	f.wantStarts("b")
}

// A new leader knows the state only from the ledger when the member that saved it has ended.
func TestNewLeaderStartsABrokenGangFromOneCheckpoint(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		t.Run(fmt.Sprintf("Snapshot=%v", snapshot), func(t *testing.T) { checkTakeovers(t, snapshot) })
	}
}

// checkTakeovers takes over twice from an attempt that is breaking.
func checkTakeovers(t *testing.T, snapshot bool) {
	f := newGangFixture(t, 3)
	f.report(2, "b")
	f.end(2, agent.Failed, "")
	f.takeOver(snapshot)
	// The members that the new leader adopts were started without a state.
	f.report(0, "")
	f.end(0, agent.GangBroken, "")
	f.end(1, agent.GangBroken, "")
	f.begin()
	f.wantStarts("b")
	f.report(1, "c")
	f.end(1, agent.Failed, "")
	f.end(0, agent.GangBroken, "b")
	f.takeOver(snapshot)
	// The result is listed again, since it was not acknowledged. Whether its attempt made the state is not known any more.
	f.end(0, agent.GangBroken, "b")
	f.report(2, "b")
	f.end(2, agent.GangBroken, "b")
	f.begin()
	f.wantStarts("c")
}

// The plan asks for the tickets of the next attempt while the other members are being stopped, in each attempt.
func TestTicketsAreRequestedOnceAGangBreaks(t *testing.T) {
	f := newGangFixture(t, 2)
	f.step.Job.Spec.Queue.Advice = &specs.AdvicePolicy{Validity: time.Second}
	f.step.Job.Spec.Queue.MaxAttempts = 0
	var named []tasks.Incarnation
	var permits []agent.Permit
	for _, r := range f.runners {
		named = append(named, r.Incarnation())
		permits = append(permits, agent.Permit{Runner: r.Info.ID, Ticket: "T"})
	}
	for attempt := range 2 {
		f.mu.Lock()
		f.step.Advice.RecordAnswer(named, permits, time.Time{})
		f.directoryAt = f.config.Clock.Now()
		f.mu.Unlock()
		calls := f.counters.adviceCalls.Count()
		f.executePlan()
		if got := f.counters.adviceCalls.Count(); got != calls {
			t.Errorf("attempt %d: %d calls for advice while the gang runs, want none", attempt+1, got-calls)
		}
		f.mu.Lock()
		f.end(0, agent.Failed, "")
		f.mu.Unlock()
		f.executePlan()
		if got := f.counters.adviceCalls.Count(); got != calls+1 {
			t.Errorf("attempt %d: %d calls for advice while the other member is being stopped, want one", attempt+1, got-calls)
		}
		f.base.eventually("the call is answered", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.step.Advice.Pending == 0
		})
		f.mu.Lock()
		f.end(1, agent.Stopped, "")
		f.begin()
		f.mu.Unlock()
	}
}

// A whole gang over the stand-in of the runners, whose members save their states one after the other: it breaks at the end
// of its first attempt and resumes, with one state for all, after most of its work.
func TestBrokenGangResumes(t *testing.T) {
	const width, runTime = 4, 400 * time.Millisecond
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return runTime }
	w.GangSize = func(specs.StepRef) int { return width }
	w.GangTimeout, w.GangCheckpoint = time.Second, 50*time.Millisecond
	w.Fails = func(_ specs.RunnerID, ref specs.Ref, attempt specs.Attempt) bool {
		return ref.Index == 1 && attempt == 1
	}
	f := newFixture(t, w)
	f.addRunners(2)
	o, _ := f.startOwner()
	f.submit(o, job("j", gang(width)))
	f.waitForState(o, "j", tasks.JobCompleted)
	f.checkNoViolations()
	attempts := f.fleet.StartedAttempts()
	if len(attempts) != 2*width {
		t.Fatalf("%d starts, want %d", len(attempts), 2*width)
	}
	for _, a := range attempts[width:] {
		if saved, err := time.ParseDuration(string(a.Checkpoint)); err != nil || saved < runTime/2 {
			t.Errorf("%s is started again with the state %q, want one with more than half of the work", a.Ref, a.Checkpoint)
		}
	}
}
