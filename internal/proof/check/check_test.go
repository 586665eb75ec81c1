package check

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

type testCase struct {
	name    string
	history History
	// want is the promise that the history breaks, or empty if the history is allowed.
	want Promise
}

var taskResources = types.Resources{Cores: 500, Memory: 512}

func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func newRun(attempt types.AttemptID, from, to float64) worker.Run {
	r := worker.Run{Attempt: attempt, Declared: taskResources, Booking: true, Start: at(from), Phase: worker.PhaseRunning}
	if to > 0 {
		r.End, r.Phase = at(to), worker.PhaseDone
	}
	return r
}

func workerRecord(id types.VMID, runs ...worker.Run) WorkerRecord {
	return WorkerRecord{VM: types.VM{ID: id, Capacity: taskResources.Times(2)}, Runs: runs}
}

func withPhase(r worker.Run, phase worker.Phase) worker.Run {
	r.Phase = phase
	return r
}

func newExecution(id types.RequestID, seconds float64) runner.Execution {
	return runner.Execution{Runner: "r", ID: id, Start: at(seconds)}
}

func newExchange(id types.RequestID, answer *types.Answer, err error) Exchange {
	return Exchange{
		Request: types.Request{ID: id}, Want: []byte("body of " + id), Entry: "e",
		SentAt: at(1), AnsweredAt: at(2), Answer: answer, Err: err,
	}
}

func doneAnswer(id types.RequestID) *types.Answer {
	return types.NewDoneAnswer(id, []byte("body of "+id))
}

func notRunAnswer(id types.RequestID) *types.Answer {
	return types.NewUnfinishedAnswer(id, types.OutcomeNotRun, errs.New(errs.Overloaded, "shed"))
}

func newJob(idempotent bool) types.Job {
	return types.Job{ID: "j", Task: types.TaskSpec{Idempotent: idempotent}, Batch: &types.Batch{Count: 1}}
}

func assertViolation(t *testing.T, c testCase) {
	t.Helper()
	found := All(&c.history)
	if c.want == "" {
		if len(found) > 0 {
			t.Fatalf("got violations in an allowed history: %v", found)
		}
		return
	}
	if len(found) == 0 {
		t.Fatalf("got no violation, want one of %s", c.want)
	}
	for _, v := range found {
		if v.Promise != c.want {
			t.Fatalf("got violation %v, want only violations of %s", v, c.want)
		}
	}
}

func runCases(t *testing.T, cases []testCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertViolation(t, c) })
	}
}

func TestCapacity(t *testing.T) {
	runCases(t, []testCase{
		{name: "full", history: History{Workers: []WorkerRecord{workerRecord("w", newRun("a/0#1", 1, 5), newRun("b/0#1", 2, 0))}}},
		{name: "one ends as another starts", history: History{Workers: []WorkerRecord{
			workerRecord("w", newRun("c/0#1", 5, 9), newRun("a/0#1", 1, 5), newRun("b/0#1", 2, 0)),
		}}},
		{name: "three at once", want: Capacity, history: History{Workers: []WorkerRecord{
			workerRecord("w", newRun("a/0#1", 1, 5), newRun("b/0#1", 2, 0), newRun("c/0#1", 4, 9)),
		}}},
	})
}

func TestOnePlace(t *testing.T) {
	idempotent := newRun("a/0#2", 4, 9)
	idempotent.Booking = false
	runCases(t, []testCase{
		{name: "one after the other", history: History{Workers: []WorkerRecord{workerRecord("v", newRun("a/0#1", 1, 5)), workerRecord("w", newRun("a/0#2", 5, 9))}}},
		{name: "not a booking", history: History{Workers: []WorkerRecord{workerRecord("v", newRun("a/0#1", 1, 5)), workerRecord("w", idempotent)}}},
		{name: "two workers", want: OnePlace, history: History{Workers: []WorkerRecord{workerRecord("v", newRun("a/0#1", 1, 5)), workerRecord("w", newRun("a/0#2", 4, 9))}}},
		{name: "one worker", want: OnePlace, history: History{Workers: []WorkerRecord{workerRecord("v", newRun("a/0#1", 1, 0), newRun("a/0#2", 4, 9))}}},
		{name: "overlaps the first of two earlier runs", want: OnePlace, history: History{Workers: []WorkerRecord{
			workerRecord("u", newRun("a/0#1", 1, 0)), workerRecord("v", newRun("a/0#2", 2, 3)), workerRecord("w", newRun("a/0#3", 4, 9)),
		}}},
	})
}

func TestWholeAnswer(t *testing.T) {
	truncated := doneAnswer("x")
	truncated.Body = truncated.Body[:3]
	ran := []runner.Execution{newExecution("x", 1.5)}
	runCases(t, []testCase{
		{name: "whole", history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", doneAnswer("x"), nil)}}},
		{name: "cut", want: WholeAnswer, history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", truncated, nil)}}},
		{name: "of another request", want: WholeAnswer, history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", doneAnswer("y"), nil)}}},
		{name: "another body", want: WholeAnswer, history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", types.NewDoneAnswer("x", []byte("other")), nil)}}},
		{name: "never ran", want: WholeAnswer, history: History{Exchanges: []Exchange{newExchange("x", doneAnswer("x"), nil)}}},
		{name: "job reported as done too early", want: WholeAnswer, history: History{
			Workers:     []WorkerRecord{workerRecord("w", newRun("j/0#1", 1, 0))},
			Submissions: []Submission{{Job: newJob(true), Status: &types.JobStatus{State: types.JobDone}}},
		}},
	})
}

func TestTrueRefusal(t *testing.T) {
	ran := []runner.Execution{newExecution("x", 1.5)}
	other := newExchange("x", doneAnswer("x"), nil)
	later := other
	later.SentAt = at(3)
	lost := errs.New(errs.Lost, "no answer")
	runCases(t, []testCase{
		{name: "did not run", history: History{Exchanges: []Exchange{newExchange("x", notRunAnswer("x"), nil)}}},
		{name: "in doubt after a lost answer", history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", nil, lost)}}},
		{name: "ran for another exchange", history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", notRunAnswer("x"), nil), other}}},
		{name: "ran", want: TrueRefusal, history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", notRunAnswer("x"), nil)}}},
		{name: "ran before the other exchange", want: TrueRefusal, history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", notRunAnswer("x"), nil), later}}},
		{name: "ran after an error", want: TrueRefusal, history: History{Executions: ran, Exchanges: []Exchange{newExchange("x", nil, errs.New(errs.Draining, "leaving"))}}},
		{name: "refused job ran", want: TrueRefusal, history: History{
			Workers:     []WorkerRecord{workerRecord("w", newRun("j/0#1", 1, 0))},
			Submissions: []Submission{{Job: newJob(true), Err: errs.New(errs.Impossible, "too large")}},
		}},
	})
}

func TestAtMostOnce(t *testing.T) {
	twice := []runner.Execution{newExecution("x", 1.5), newExecution("x", 1.7)}
	idempotent := newExchange("x", doneAnswer("x"), nil)
	idempotent.Request.Idempotent = true
	repeated := []WorkerRecord{workerRecord("w", withPhase(newRun("j/0#1", 1, 2), worker.PhaseLeaseExpired), newRun("j/0#2", 3, 4))}
	continued := []WorkerRecord{workerRecord("w", withPhase(newRun("j/0#1", 1, 2), worker.PhaseCheckpointed), newRun("j/0#2", 3, 4))}
	runCases(t, []testCase{
		{name: "idempotent", history: History{Executions: twice, Exchanges: []Exchange{idempotent}}},
		{name: "twice", want: AtMostOnce, history: History{Executions: twice, Exchanges: []Exchange{newExchange("x", doneAnswer("x"), nil)}}},
		{name: "idempotent task", history: History{Workers: repeated, Submissions: []Submission{{Job: newJob(true)}}}},
		{name: "continued task", history: History{Workers: continued, Submissions: []Submission{{Job: newJob(false)}}}},
		{name: "repeated task", want: AtMostOnce, history: History{Workers: repeated, Submissions: []Submission{{Job: newJob(false)}}}},
	})
}

func TestNoNewWork(t *testing.T) {
	leaving := []Leaving{{Runner: "r", At: at(10)}}
	runCases(t, []testCase{
		{name: "within the time allowed", history: History{Leavings: leaving, Executions: []runner.Execution{newExecution("x", 13)}}},
		{name: "after leaving was revoked", history: History{
			Leavings: []Leaving{{Runner: "r", At: at(10), Until: at(14)}}, Executions: []runner.Execution{newExecution("x", 14)},
		}},
		{name: "after the time allowed", want: NoNewWork, history: History{Leavings: leaving, Executions: []runner.Execution{newExecution("x", 13.01)}}},
	})
}

func TestNoneCutOff(t *testing.T) {
	shutdown := func(from, to float64) []Shutdown {
		return []Shutdown{{VM: "e", Interval: Interval{From: at(from), To: at(to)}}}
	}
	lost := []Exchange{newExchange("x", nil, errs.New(errs.Lost, "connection broken"))}
	runCases(t, []testCase{
		{name: "refused while draining", history: History{Shutdowns: shutdown(0.5, 3), Exchanges: []Exchange{newExchange("x", nil, errs.New(errs.Draining, "leaving"))}}},
		{name: "lost at another time", history: History{Shutdowns: shutdown(2, 3), Exchanges: lost}},
		{name: "cut off", want: NoneCutOff, history: History{Shutdowns: shutdown(1.5, 3), Exchanges: lost}},
	})
}

func TestInForce(t *testing.T) {
	accepted := []Acceptance{{Revision: 1, At: at(0)}, {Revision: 2, At: at(10)}}
	samples := func(s ...Sample) History {
		return History{Acceptances: accepted, Samples: s, Bound: 20 * time.Second}
	}
	afterOutage := samples(Sample{VM: "e", At: at(35), Revision: 1}, Sample{VM: "e", At: at(40), Revision: 2})
	afterOutage.Outages = []Outage{{VM: "e", Interval: Interval{From: at(12), To: at(20)}}}
	duringOutage := samples(Sample{VM: "e", At: at(35), Revision: 1})
	duringOutage.Outages = []Outage{{VM: "e", Interval: Interval{From: at(12)}}}
	longAfterOutage := samples(Sample{VM: "e", At: at(41), Revision: 1})
	longAfterOutage.Outages = afterOutage.Outages
	runCases(t, []testCase{
		{name: "in time", history: samples(Sample{VM: "e", At: at(30), Revision: 1}, Sample{VM: "e", At: at(31), Revision: 2})},
		{name: "late after an outage", history: afterOutage},
		{name: "in an outage", history: duringOutage},
		{name: "no revision after a restart", history: samples(Sample{VM: "e", At: at(11), Revision: 2}, Sample{VM: "e", At: at(12)})},
		{name: "late", want: InForce, history: samples(Sample{VM: "e", At: at(31), Revision: 1})},
		{name: "late long after an outage", want: InForce, history: longAfterOutage},
		{name: "reverted", want: InForce, history: samples(Sample{VM: "e", At: at(11), Revision: 2}, Sample{VM: "e", At: at(12), Revision: 1})},
	})
}
