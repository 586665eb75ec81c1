package owner

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// callers of the tests: those of two organisations, one of a public route, and one of a catalog that requires no keys.
var (
	callerOfA    = specs.Caller{Organisation: "a", Key: specs.DigestKey("a"), Catalog: 1}
	callerOfB    = specs.Caller{Organisation: "b", Key: specs.DigestKey("b"), Catalog: 1}
	publicCaller = specs.Caller{Public: true, Catalog: 1}
)

func jobOf(organisation specs.OrganisationName, id string) *specs.Job {
	j := job(id, step(1))
	j.Organisation = organisation
	return j
}

// checkAccess checks that the job is shown to all but callers of other organisations, and that these can't cancel it.
func checkAccess(t *testing.T, o *Owner, id specs.JobID, isHidden bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, c := range []specs.Caller{callerOfA, publicCaller, {}} {
		if _, err := o.State(ctx, c, id); err != nil {
			t.Errorf("caller %+v asks for job %s: %v", c, id, err)
		}
	}
	if _, err := o.State(ctx, callerOfB, id); errs.Is(err, errs.NotFound) != isHidden {
		t.Errorf("a caller of another organisation asks for job %s: %v; hidden should be %v", id, err, isHidden)
	}
	if !isHidden {
		return
	}
	before, _ := o.State(ctx, callerOfA, id)
	if err := o.Cancel(ctx, callerOfB, id); !errs.Is(err, errs.NotFound) {
		t.Errorf("a caller of another organisation cancels job %s: %v, want kind NotFound", id, err)
	}
	if after, _ := o.State(ctx, callerOfA, id); after != before {
		t.Errorf("job %s is %s after a cancellation by another organisation, was %s", id, after, before)
	}
}

// startOwnerWithCatalog runs the owner of a new term, whose catalog names organisation a: without one, none of its jobs start.
func (f *fixture) startOwnerWithCatalog() (*Owner, func()) {
	o := f.newOwner()
	catalog := &specs.Catalog{Version: 1, Organisations: []specs.Organisation{{Name: "a", Weight: 1}}}
	o.config.Catalog = func() *specs.Catalog { return catalog }
	return o, f.runOwner(o)
}

func TestJobsAreHiddenFromOtherOrganisations(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(r specs.Ref) time.Duration {
		if r.Job == "running" {
			return time.Minute
		}
		return 30 * time.Millisecond
	}
	f := newFixture(t, w)
	f.addRunners(2)
	former, stop := f.startOwnerWithCatalog()
	f.submit(former, jobOf("a", "running"))
	f.submit(former, jobOf("a", "ended"))
	f.submit(former, jobOf("", "open"))
	f.waitForState(former, "ended", tasks.JobCompleted)
	f.waitForState(former, "open", tasks.JobCompleted)
	check := func(t *testing.T, o *Owner) {
		checkAccess(t, o, "running", true)
		checkAccess(t, o, "ended", true)
		checkAccess(t, o, "open", false)
	}
	t.Run("AtTheFirstLeader", func(t *testing.T) { check(t, former) })
	stop()
	next, _ := f.startOwnerWithCatalog()
	f.eventually("the next leader has read the ledger", func() bool {
		_, err := next.State(context.Background(), specs.Caller{}, "open")
		return err == nil
	})
	t.Run("AfterATakeover", func(t *testing.T) { check(t, next) })
	t.Run("OwnKeyCannotCancel", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if err := next.Cancel(ctx, callerOfA, "running"); err != nil {
			t.Fatal(err)
		}
		f.waitForState(next, "running", tasks.JobCancelled)
		checkAccess(t, next, "running", true)
	})
}

// The results of ended jobs leave the ledger's segments with a snapshot. Without the organisation in it, any key could then
// ask for them.
func TestSnapshotKeepsTheOrganisationsOfEndedJobs(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	jobLedger := o.openLedger()
	o.mu.Lock()
	o.record(tasks.Record{End: &tasks.JobResult{
		Job: "j", Queue: "q", State: tasks.JobCompleted, At: o.config.Clock.Now(), Organisation: "a",
	}}, nil)
	o.mu.Unlock()
	o.writeSnapshot(jobLedger, o.beginDueSnapshot(t, jobLedger))
	if got := len(o.table.RecentResults); got != 0 {
		t.Fatalf("%d results are not in the snapshot", got)
	}
	next := f.newOwner()
	defer next.cancel()
	next.openLedger()
	checkAccess(t, next, "j", true)
}

// A record of a former version has no organisation, and its job stays open to all.
func TestResultOfAFormerVersionIsOpenToAll(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	o.openLedger()
	recordResults(o, "j", 1)
	checkAccess(t, o, "j0", false)
}
