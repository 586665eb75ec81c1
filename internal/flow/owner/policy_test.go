package owner

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	formerVersion specs.CatalogVersion = 11
	newVersion    specs.CatalogVersion = 14
)

// policyFixture is a locked owner with a catalog, one runner in each of the services svc and next, and a job of one task.
type policyFixture struct {
	*fixture
	owner   *Owner
	catalog *specs.Catalog
	runners map[types.ServiceName]*tasks.Runner
	step    *tasks.Step
}

// newPolicyFixture puts the policy in force before it accepts the job.
func newPolicyFixture(t *testing.T, policy specs.Queue) *policyFixture {
	f := &policyFixture{fixture: newFixture(t, quickWorld()), runners: make(map[types.ServiceName]*tasks.Runner)}
	f.owner = f.newLockedOwner()
	f.owner.config.Catalog = func() *specs.Catalog { return f.catalog }
	f.owner.directoryAt = f.clock.Now()
	f.owner.noteConfirmed(f.clock.Now())
	for i, service := range []types.ServiceName{"svc", "next"} {
		info := runner(i)
		info.Service = service
		r := f.owner.addRunner(info)
		r.Synced = true
		f.runners[service] = r
	}
	f.apply(formerVersion, policy)
	f.step = f.owner.table.AddJob(&specs.Job{ID: "j", Queue: policy, Steps: []specs.Step{step(1)}}).Occurrences[0].Steps[0]
	return f
}

// apply puts a catalog in force, with the given policies or without any route.
func (f *policyFixture) apply(version specs.CatalogVersion, policies ...specs.Queue) {
	f.catalog = policyCatalog(version, policies...)
	f.owner.applyCatalog()
}

// unlocked calls a function without the owner's lock.
func (f *policyFixture) unlocked(call func()) {
	f.owner.mu.Unlock()
	defer f.owner.mu.Lock()
	call()
}

func policyCatalog(version specs.CatalogVersion, policies ...specs.Queue) *specs.Catalog {
	c := &specs.Catalog{Version: version}
	for _, q := range policies {
		c.Routes = append(c.Routes, specs.Route{Host: "h", Prefix: "/" + string(q.Name) + "/", Queue: q})
	}
	return c
}

// sentTo returns the policy of the queue q that sends it to a service, with a recommendation or without.
func sentTo(service types.ServiceName, isAdvised bool) specs.Queue {
	q := queue()
	q.Service = service
	if isAdvised {
		q.Advice = &specs.AdvicePolicy{Decision: time.Millisecond, PerRunner: time.Millisecond, Validity: time.Second}
	}
	return q
}

// answer records that the advice service allows a runner, or denies it.
func (f *policyFixture) answer(service types.ServiceName, isAllowed bool) {
	r := f.runners[service]
	var permits []agent.Permit
	if isAllowed {
		permits = []agent.Permit{{Runner: r.Info.ID, Ticket: "T"}}
	}
	f.step.Advice.RecordAnswer([]tasks.Incarnation{r.Incarnation()}, permits, f.clock.Now().Add(time.Second))
}

// setService lets the directory name another service for the present boot of a runner.
func (f *policyFixture) setService(r *tasks.Runner, service types.ServiceName) {
	info := r.Info
	info.Service = service
	f.owner.updateRunner(r, info)
}

func (f *policyFixture) plan() order.Plan {
	return order.MakePlan(f.owner.table, f.clock.Now(), order.Limits{AdviceBudget: f.owner.config.AdviceBudget()})
}

// wantAdviceOn checks that a plan starts nothing and asks for advice on one runner: the one that was of the service at first.
func (f *policyFixture) wantAdviceOn(service types.ServiceName) {
	f.t.Helper()
	p := f.plan()
	if len(p.Starts) != 0 {
		f.t.Errorf("a task is placed on %s", p.Starts[0].Runner.Info.ID)
	}
	if len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) != 1 || p.AdviceCalls[0].Runners[0] != f.runners[service] {
		f.t.Errorf("the calls for advice are %+v, want one on the runner of %s", p.AdviceCalls, service)
	}
}

// wantStartOn checks that a plan places the task on the runner of a service, and that the start is sent.
func (f *policyFixture) wantStartOn(service types.ServiceName) *tasks.Run {
	f.t.Helper()
	p := f.plan()
	if len(p.Starts) != 1 || p.Starts[0].Runner != f.runners[service] {
		f.t.Fatalf("the starts are %+v, want one on the runner of %s", p.Starts, service)
	}
	f.owner.recordStart(p.Starts[0])
	run := f.step.Tasks[0].Run
	f.owner.dispatchStart(run)
	if !run.Sent {
		f.t.Fatal("the start is discarded")
	}
	return run
}

// Guards against a step that is planned on the former service's runners for ever, since advice allowed them before its queue was moved.
func TestAdviceIsForgottenWhenItsQueueIsMoved(t *testing.T) {
	t.Run("Moved", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", true))
		f.answer("svc", true)
		f.apply(newVersion, sentTo("next", true))
		f.wantAdviceOn("next")
		f.answer("next", true)
		f.wantStartOn("next")
	})
	t.Run("MovedAndBack", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", true))
		f.answer("svc", false)
		f.apply(newVersion, sentTo("next", true))
		f.apply(newVersion+1, sentTo("svc", true))
		f.wantAdviceOn("svc")
	})
	t.Run("RecommendationGoneAndBack", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", true))
		f.answer("svc", false)
		f.apply(newVersion, sentTo("svc", false))
		f.apply(newVersion+1, sentTo("svc", true))
		f.wantAdviceOn("svc")
	})
	t.Run("RouteRemoved", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", true))
		f.answer("svc", true)
		f.apply(newVersion)
		f.wantStartOn("svc")
	})
}

// Guards against the same for a runner whose entry names another service in the same boot.
func TestAdvisedRunnerThatChangesItsServiceIsNotUsed(t *testing.T) {
	f := newPolicyFixture(t, sentTo("svc", true))
	f.answer("svc", true)
	changed, other := f.runners["svc"], f.runners["next"]
	f.setService(changed, "third")
	f.setService(other, "svc")
	f.wantAdviceOn("next")
}

// Guards against the answer to a call that was in flight while the queue was moved: it would be taken for one on the new policy, and the
// step would not ask again while the call is in flight.
func TestAnswerUnderAFormerPolicyIsNotRecorded(t *testing.T) {
	f := newPolicyFixture(t, sentTo("svc", true))
	answered, release := make(chan struct{}), make(chan struct{})
	f.owner.config.Advise = func(context.Context, specs.StepRef, specs.AdvicePolicy, []tasks.Incarnation) ([]agent.Permit, error) {
		<-release
		defer close(answered)
		return []agent.Permit{{Runner: f.runners["svc"].Info.ID, Ticket: "T"}}, nil
	}
	f.owner.requestAdvice(order.AdviceCall{Step: f.step, Runners: []*tasks.Runner{f.runners["svc"]}})
	f.apply(newVersion, sentTo("next", true))
	f.wantAdviceOn("next")
	close(release)
	f.unlocked(func() {
		<-answered
		f.eventually("the answer is dealt with", func() bool { return f.owner.counters.adviceOutdated.Count() == 1 })
	})
	if len(f.step.Advice.Answers) != 0 || f.step.Advice.Pending != 0 {
		t.Errorf("the step has %d answers and %d calls in flight, want none", len(f.step.Advice.Answers), f.step.Advice.Pending)
	}
}

// Guards against failed tasks that never start again after their queue was moved, in the whole path: advice, plan, ledger and runners.
func TestFailedTasksFollowAMovedQueue(t *testing.T) {
	world := quickWorld()
	world.RunTime = func(specs.Ref) time.Duration { return 300 * time.Millisecond }
	world.Fails = func(_ specs.RunnerID, ref specs.Ref, attempt specs.Attempt) bool {
		return ref.Index == 0 && attempt == 1
	}
	f := newFixture(t, world)
	next := runner(1)
	next.Service = "next"
	f.fleet.Add(runner(0))
	f.fleet.Add(next)
	catalogs := make(chan *specs.Catalog, 1)
	catalogs <- policyCatalog(formerVersion, sentTo("svc", true))
	o := f.newOwner()
	o.config.Catalog = func() *specs.Catalog {
		c := <-catalogs
		catalogs <- c
		return c
	}
	f.runOwner(o)
	j := job("j", step(3))
	j.Queue = sentTo("svc", true)
	f.submit(o, j)
	f.eventually("all tasks have started", func() bool { return f.fleet.StartCount() == 3 })
	<-catalogs
	catalogs <- policyCatalog(newVersion, sentTo("next", true))
	f.waitForState(o, "j", tasks.JobCompleted)
	f.checkNoViolations()
}

// submitUnder submits a job as a daemon does whose catalog has the given version and policy, and returns the job as it is accepted.
func (f *policyFixture) submitUnder(version specs.CatalogVersion, policy specs.Queue) *tasks.Job {
	f.t.Helper()
	q, ok := policyCatalog(version, policy).Queue(policy.Name)
	if !ok {
		f.t.Fatal("the catalog lacks the queue")
	}
	j := job("submitted", step(1))
	j.Queue = q
	f.owner.open = true
	f.unlocked(func() {
		if err := f.owner.submit(specs.Caller{}, j, func() {}); err != nil {
			f.t.Fatal(err)
		}
	})
	return f.owner.table.Jobs["submitted"]
}

func wantService(t *testing.T, j *tasks.Job, want types.ServiceName) {
	t.Helper()
	if got := j.Spec.Queue.Service; got != want {
		t.Errorf("the job is sent to %s, want %s", got, want)
	}
}

// Guards against jobs that never run since the daemon that took them had a former catalog, and against the opposite: a leader that puts
// its own older policy in place of the newer one that a submission carries. The newer one of both wins.
func TestNewestPolicyOfASubmissionIsInForce(t *testing.T) {
	former, next := sentTo("svc", false), sentTo("next", false)
	t.Run("LeaderIsNewer", func(t *testing.T) {
		f := newPolicyFixture(t, former)
		f.apply(newVersion, next)
		j := f.submitUnder(formerVersion, former)
		wantService(t, j, "next")
		if stored := f.owner.pending.entry.Jobs[0].Queue; stored.Service != "next" || stored.Version != newVersion {
			t.Errorf("the ledger gets the policy %+v, want the newer one", stored)
		}
	})
	t.Run("DaemonIsNewer", func(t *testing.T) {
		f := newPolicyFixture(t, former)
		j := f.submitUnder(newVersion, next)
		wantService(t, j, "next")
		f.apply(newVersion-1, former)
		wantService(t, j, "next")
		f.apply(newVersion+1, former)
		wantService(t, j, "svc")
	})
	t.Run("LeaderHasNoSuchRoute", func(t *testing.T) {
		f := newPolicyFixture(t, former)
		f.apply(newVersion)
		wantService(t, f.submitUnder(formerVersion, former), "svc")
	})
	t.Run("FormerBuild", func(t *testing.T) {
		f := newPolicyFixture(t, former)
		f.apply(newVersion, next)
		wantService(t, f.submitUnder(0, former), "next")
	})
}

// Guards against a job that goes back to a former policy under a new leader whose catalog is older than that of the former one.
func TestLeaderWithAnOlderCatalogKeepsTheStoredPolicy(t *testing.T) {
	f := newFixture(t, quickWorld())
	o, stop := f.startOwner()
	j := job("j", step(1))
	j.Queue = sentTo("next", false)
	j.Queue.Version = newVersion
	f.submit(o, j)
	stop()
	o = f.newOwner()
	o.config.Catalog = func() *specs.Catalog { return policyCatalog(formerVersion, sentTo("svc", false)) }
	f.runOwner(o)
	f.eventually("the catalog is applied", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.open && o.catalogVersion == formerVersion
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	wantService(t, o.table.Jobs["j"], "next")
}

// recordedStart returns the run of a start on the runner of svc that was recorded under the policy and not sent. A ticket for it has
// expired meanwhile.
func (f *policyFixture) recordedStart(ticket agent.Ticket) *tasks.Run {
	f.t.Helper()
	run := f.owner.placeNext(f.step.Tasks[0], f.runners["svc"])
	if run.Ticket = ticket; ticket != "" {
		run.TicketUntil = f.clock.Now().Add(-time.Second)
	}
	return run
}

// Guards against starts that are discarded for a ticket that their queue does not need any more, and against starts without a ticket that
// their queue needs by now, which their runners reject: what a start needs follows from the present policy.
func TestStartNeedsTheTicketOfThePresentPolicy(t *testing.T) {
	t.Run("RecommendationGoneBeforeThePlan", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", true))
		f.answer("svc", true)
		answer := f.step.Advice.Answers[f.runners["svc"].Incarnation()]
		answer.Until = f.clock.Now().Add(-time.Second)
		f.step.Advice.Answers[f.runners["svc"].Incarnation()] = answer
		// Not by SetPolicy, which would forget the answer.
		f.step.Job.Spec.Queue.Advice = nil
		if run := f.wantStartOn("svc"); run.Ticket != "" || !run.TicketUntil.IsZero() {
			t.Errorf("the start has the ticket %q until %s, want none", run.Ticket, run.TicketUntil)
		}
	})
	t.Run("RecommendationGoneBeforeTheStart", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", true))
		run := f.recordedStart("T")
		f.apply(newVersion, sentTo("svc", false))
		if f.owner.dispatchStart(run); !run.Sent {
			t.Error("the start is discarded")
		}
	})
	t.Run("RecommendationNewBeforeTheStart", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", false))
		run := f.recordedStart("")
		f.apply(newVersion, sentTo("svc", true))
		if f.owner.dispatchStart(run); run.Sent {
			t.Error("the start is sent")
		}
		f.step.Tasks[0].NotBefore = time.Time{}
		f.wantAdviceOn("svc")
	})
	t.Run("RecommendationNewBeforeTheNextTry", func(t *testing.T) {
		f := newPolicyFixture(t, sentTo("svc", false))
		run := f.recordedStart("")
		run.Sent, run.Tries, run.SentFence = true, 1, run.Runner.Fence
		f.apply(newVersion, sentTo("svc", true))
		f.owner.applyStartAnswer(run, f.owner.startRequest(run), errs.New(errs.Lost, "no answer"))
		if run.Tries != 1 || !run.Runner.FencePending {
			t.Errorf("%d tries, fence pending: %v; want 1 try and a raised fence", run.Tries, run.Runner.FencePending)
		}
	})
}
