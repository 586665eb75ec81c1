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
	// broken is empty for a history that is allowed.
	broken Promise
}

var small = types.Resources{Cores: 500, Memory: 512}

func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func run(attempt types.AttemptID, from, to float64) worker.Run {
	r := worker.Run{Attempt: attempt, Declared: small, Booking: true, Start: at(from), Phase: worker.PhaseRunning}
	if to > 0 {
		r.End, r.Phase = at(to), worker.PhaseDone
	}
	return r
}

func onWorker(id types.VMID, runs ...worker.Run) WorkerRecord {
	return WorkerRecord{VM: types.VM{ID: id, Capacity: small.Times(2)}, Runs: runs}
}

func ended(r worker.Run, phase worker.Phase) worker.Run {
	r.Phase = phase
	return r
}

func execution(id types.RequestID, seconds float64) runner.Execution {
	return runner.Execution{Runner: "r", ID: id, Start: at(seconds)}
}

func exchange(id types.RequestID, answer *types.Answer, err error) Exchange {
	return Exchange{
		Request: types.Request{ID: id}, Want: []byte("body of " + id), Entry: "e",
		Sent: at(1), Told: at(2), Answer: answer, Err: err,
	}
}

func done(id types.RequestID) *types.Answer { return types.Whole(id, []byte("body of "+id)) }

func notRun(id types.RequestID) *types.Answer {
	return types.Refused(id, types.OutcomeNotRun, errs.New(errs.Overloaded, "shed"))
}

func job(idempotent bool) types.Job {
	return types.Job{ID: "j", Task: types.TaskSpec{Idempotent: idempotent}, Batch: &types.Batch{Count: 1}}
}

func wantBroken(t *testing.T, c testCase) {
	t.Helper()
	found := All(&c.history)
	if c.broken == "" {
		if len(found) > 0 {
			t.Fatalf("an allowed history was refused: %v", found)
		}
		return
	}
	if len(found) == 0 {
		t.Fatalf("%s was not found to be broken", c.broken)
	}
	for _, v := range found {
		if v.Promise != c.broken {
			t.Fatalf("got %v, want only %s", v, c.broken)
		}
	}
}

func runCases(t *testing.T, cases []testCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { wantBroken(t, c) })
	}
}

func TestCapacity(t *testing.T) {
	runCases(t, []testCase{
		{name: "full", history: History{Workers: []WorkerRecord{onWorker("w", run("a/0#1", 1, 5), run("b/0#1", 2, 0))}}},
		{name: "one ends as another starts", history: History{Workers: []WorkerRecord{
			onWorker("w", run("c/0#1", 5, 9), run("a/0#1", 1, 5), run("b/0#1", 2, 0)),
		}}},
		{name: "three at once", broken: Capacity, history: History{Workers: []WorkerRecord{
			onWorker("w", run("a/0#1", 1, 5), run("b/0#1", 2, 0), run("c/0#1", 4, 9)),
		}}},
	})
}

func TestOnePlace(t *testing.T) {
	idempotent := run("a/0#2", 4, 9)
	idempotent.Booking = false
	runCases(t, []testCase{
		{name: "one after the other", history: History{Workers: []WorkerRecord{onWorker("v", run("a/0#1", 1, 5)), onWorker("w", run("a/0#2", 5, 9))}}},
		{name: "not a booking", history: History{Workers: []WorkerRecord{onWorker("v", run("a/0#1", 1, 5)), onWorker("w", idempotent)}}},
		{name: "two workers", broken: OnePlace, history: History{Workers: []WorkerRecord{onWorker("v", run("a/0#1", 1, 5)), onWorker("w", run("a/0#2", 4, 9))}}},
		{name: "one worker", broken: OnePlace, history: History{Workers: []WorkerRecord{onWorker("v", run("a/0#1", 1, 0), run("a/0#2", 4, 9))}}},
		{name: "behind a shorter one", broken: OnePlace, history: History{Workers: []WorkerRecord{
			onWorker("u", run("a/0#1", 1, 0)), onWorker("v", run("a/0#2", 2, 3)), onWorker("w", run("a/0#3", 4, 9)),
		}}},
	})
}

func TestWholeAnswer(t *testing.T) {
	cut := done("x")
	cut.Body = cut.Body[:3]
	ran := []runner.Execution{execution("x", 1.5)}
	runCases(t, []testCase{
		{name: "whole", history: History{Executions: ran, Exchanges: []Exchange{exchange("x", done("x"), nil)}}},
		{name: "cut", broken: WholeAnswer, history: History{Executions: ran, Exchanges: []Exchange{exchange("x", cut, nil)}}},
		{name: "of another request", broken: WholeAnswer, history: History{Executions: ran, Exchanges: []Exchange{exchange("x", done("y"), nil)}}},
		{name: "another body", broken: WholeAnswer, history: History{Executions: ran, Exchanges: []Exchange{exchange("x", types.Whole("x", []byte("other")), nil)}}},
		{name: "never ran", broken: WholeAnswer, history: History{Exchanges: []Exchange{exchange("x", done("x"), nil)}}},
		{name: "job told done too early", broken: WholeAnswer, history: History{
			Workers:     []WorkerRecord{onWorker("w", run("j/0#1", 1, 0))},
			Submissions: []Submission{{Job: job(true), Status: &types.JobStatus{State: types.JobDone}}},
		}},
	})
}

func TestTrueRefusal(t *testing.T) {
	ran := []runner.Execution{execution("x", 1.5)}
	again := exchange("x", done("x"), nil)
	later := again
	later.Sent = at(3)
	cutOff := errs.New(errs.Lost, "no answer")
	runCases(t, []testCase{
		{name: "did not run", history: History{Exchanges: []Exchange{exchange("x", notRun("x"), nil)}}},
		{name: "fate not known", history: History{Executions: ran, Exchanges: []Exchange{exchange("x", nil, cutOff)}}},
		{name: "ran for another exchange", history: History{Executions: ran, Exchanges: []Exchange{exchange("x", notRun("x"), nil), again}}},
		{name: "ran", broken: TrueRefusal, history: History{Executions: ran, Exchanges: []Exchange{exchange("x", notRun("x"), nil)}}},
		{name: "ran before the other exchange", broken: TrueRefusal, history: History{Executions: ran, Exchanges: []Exchange{exchange("x", notRun("x"), nil), later}}},
		{name: "ran after an error", broken: TrueRefusal, history: History{Executions: ran, Exchanges: []Exchange{exchange("x", nil, errs.New(errs.Draining, "leaving"))}}},
		{name: "refused job ran", broken: TrueRefusal, history: History{
			Workers:     []WorkerRecord{onWorker("w", run("j/0#1", 1, 0))},
			Submissions: []Submission{{Job: job(true), Err: errs.New(errs.Impossible, "too large")}},
		}},
	})
}

func TestAtMostOnce(t *testing.T) {
	twice := []runner.Execution{execution("x", 1.5), execution("x", 1.7)}
	idempotent := exchange("x", done("x"), nil)
	idempotent.Request.Idempotent = true
	repeated := []WorkerRecord{onWorker("w", ended(run("j/0#1", 1, 2), worker.PhaseLapsed), run("j/0#2", 3, 4))}
	continued := []WorkerRecord{onWorker("w", ended(run("j/0#1", 1, 2), worker.PhaseCheckpointed), run("j/0#2", 3, 4))}
	runCases(t, []testCase{
		{name: "idempotent", history: History{Executions: twice, Exchanges: []Exchange{idempotent}}},
		{name: "twice", broken: AtMostOnce, history: History{Executions: twice, Exchanges: []Exchange{exchange("x", done("x"), nil)}}},
		{name: "idempotent task", history: History{Workers: repeated, Submissions: []Submission{{Job: job(true)}}}},
		{name: "continued task", history: History{Workers: continued, Submissions: []Submission{{Job: job(false)}}}},
		{name: "repeated task", broken: AtMostOnce, history: History{Workers: repeated, Submissions: []Submission{{Job: job(false)}}}},
	})
}

func TestNoNewWork(t *testing.T) {
	leaving := []Leaving{{Runner: "r", At: at(10)}}
	runCases(t, []testCase{
		{name: "within the grace", history: History{Leavings: leaving, Executions: []runner.Execution{execution("x", 13)}}},
		{name: "after it was taken back", history: History{
			Leavings: []Leaving{{Runner: "r", At: at(10), Until: at(14)}}, Executions: []runner.Execution{execution("x", 14)},
		}},
		{name: "after the grace", broken: NoNewWork, history: History{Leavings: leaving, Executions: []runner.Execution{execution("x", 13.01)}}},
	})
}

func TestNoneCutOff(t *testing.T) {
	shutdown := func(from, to float64) []Shutdown {
		return []Shutdown{{VM: "e", Interval: Interval{From: at(from), To: at(to)}}}
	}
	cutOff := []Exchange{exchange("x", nil, errs.New(errs.Lost, "connection broken"))}
	runCases(t, []testCase{
		{name: "refused while draining", history: History{Shutdowns: shutdown(0.5, 3), Exchanges: []Exchange{exchange("x", nil, errs.New(errs.Draining, "leaving"))}}},
		{name: "lost at another time", history: History{Shutdowns: shutdown(2, 3), Exchanges: cutOff}},
		{name: "cut off", broken: NoneCutOff, history: History{Shutdowns: shutdown(1.5, 3), Exchanges: cutOff}},
	})
}

func TestInForce(t *testing.T) {
	accepted := []Acceptance{{Revision: 1, At: at(0)}, {Revision: 2, At: at(10)}}
	samples := func(s ...Sample) History {
		return History{Acceptances: accepted, Samples: s, Bound: 20 * time.Second}
	}
	cutOff := samples(Sample{VM: "e", At: at(35), Revision: 1}, Sample{VM: "e", At: at(40), Revision: 2})
	cutOff.Outages = []Outage{{VM: "e", Interval: Interval{From: at(12), To: at(20)}}}
	stillOut := samples(Sample{VM: "e", At: at(35), Revision: 1})
	stillOut.Outages = []Outage{{VM: "e", Interval: Interval{From: at(12)}}}
	tooLong := samples(Sample{VM: "e", At: at(41), Revision: 1})
	tooLong.Outages = cutOff.Outages
	runCases(t, []testCase{
		{name: "in time", history: samples(Sample{VM: "e", At: at(30), Revision: 1}, Sample{VM: "e", At: at(31), Revision: 2})},
		{name: "late after an outage", history: cutOff},
		{name: "in an outage", history: stillOut},
		{name: "none after a restart", history: samples(Sample{VM: "e", At: at(11), Revision: 2}, Sample{VM: "e", At: at(12)})},
		{name: "late", broken: InForce, history: samples(Sample{VM: "e", At: at(31), Revision: 1})},
		{name: "late long after an outage", broken: InForce, history: tooLong},
		{name: "reverted", broken: InForce, history: samples(Sample{VM: "e", At: at(11), Revision: 2}, Sample{VM: "e", At: at(12), Revision: 1})},
	})
}
