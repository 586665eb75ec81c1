package order

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// organisation returns the limits of an organisation, with a quota of so many cores; 0 means no limit.
func organisation(name string, weight float64, cores int) specs.Organisation {
	quota := types.Resources{Cores: types.MilliCores(cores) * types.Core}
	return specs.Organisation{Name: specs.OrganisationName(name), Weight: weight, Quota: quota}
}

// claim is the organisation of a job, and whether the job is surplus.
type claim struct {
	organisation specs.OrganisationName
	surplus      bool
}

func (f *tableFixture) addClaimed(id string, c claim, priority int, steps ...specs.Step) {
	f.table.AddJob(&specs.Job{
		ID: specs.JobID(id), Queue: queueOf(priority), Steps: steps, Accepted: start, Organisation: c.organisation, Surplus: c.surplus,
	})
}

// waitOf returns how long a new job of so many tasks of one core waits.
func (f *tableFixture) waitOf(c claim, priority, width int) time.Duration {
	backlog := MeasureBacklog(f.table, start)
	return backlog.Wait(f.table.NewJob(&specs.Job{
		ID: "new", Queue: queueOf(priority), Steps: []specs.Step{stepOf(width, types.Core)}, Accepted: start,
		Organisation: c.organisation, Surplus: c.surplus,
	}))
}

// Two runners of four cores do 40 core-seconds in 5 s.
func TestBacklogOfOrganisations(t *testing.T) {
	within, surplus := claim{organisation: "a"}, claim{organisation: "a", surplus: true}
	otherWithin, otherSurplus := claim{organisation: "b"}, claim{organisation: "b", surplus: true}
	fixture := func(t *testing.T, limits ...specs.Organisation) *tableFixture {
		f := newTableFixture(t, 2)
		f.table.SetLimits(&specs.Catalog{Organisations: limits})
		return f
	}
	equal := []specs.Organisation{organisation("a", 1, 0), organisation("b", 1, 0)}
	// Jobs within the weight would otherwise be refused because of the surplus of others.
	t.Run("JobWithinTheWeightDoesNotWaitForSurplus", func(t *testing.T) {
		f := fixture(t, equal...)
		f.addClaimed("other", otherSurplus, 0, stepOf(40, types.Core))
		f.addClaimed("own", surplus, 0, stepOf(40, types.Core))
		wantWait(t, f.waitOf(within, 1, 80), 0)
	})
	t.Run("JobWithinTheWeightWaitsForWorkWithinTheWeights", func(t *testing.T) {
		f := fixture(t, equal...)
		f.addClaimed("other", otherWithin, 0, stepOf(40, types.Core))
		wantWait(t, f.waitOf(within, 1, 80), 5*time.Second)
	})
	// A surplus job of a high priority would otherwise be accepted and then wait behind work of low priority.
	t.Run("SurplusWaitsForWorkWithinTheWeightsOfEveryPriority", func(t *testing.T) {
		f := fixture(t, equal...)
		f.addClaimed("other", otherWithin, 2, stepOf(40, types.Core))
		wantWait(t, f.waitOf(surplus, 0, 1), 5*time.Second)
	})
	t.Run("SurplusWaitsForSurplusOfItsOrganisation", func(t *testing.T) {
		f := fixture(t, equal...)
		f.addClaimed("own", surplus, 1, stepOf(40, types.Core))
		wantWait(t, f.waitOf(surplus, 1, 80), 5*time.Second)
		wantWait(t, f.waitOf(surplus, 0, 80), 0)
	})
	// The surplus of one organisation must not keep out that of the others: those that occupy least come first.
	t.Run("SurplusOfOthersCountsUpToTheOwn", func(t *testing.T) {
		f := fixture(t, organisation("a", 1, 0), organisation("b", 2, 0))
		f.addClaimed("other", otherSurplus, 0, stepOf(400, types.Core))
		wantWait(t, f.waitOf(surplus, 1, 8), 2*time.Second)
	})
	t.Run("SurplusOfOthersCountsUpToTheOwnAlsoWithoutWeights", func(t *testing.T) {
		f := fixture(t)
		f.addClaimed("other", otherSurplus, 0, stepOf(400, types.Core))
		wantWait(t, f.waitOf(surplus, 1, 8), time.Second)
	})
	// An organisation without a weight comes after those that have one.
	t.Run("SurplusWithoutAWeightWaitsForAllOther", func(t *testing.T) {
		f := fixture(t, organisation("b", 1, 0))
		f.addClaimed("other", otherSurplus, 2, stepOf(40, types.Core))
		wantWait(t, f.waitOf(surplus, 0, 1), 5*time.Second)
		f.addClaimed("own", surplus, 0, stepOf(40, types.Core))
		wantWait(t, f.waitOf(otherSurplus, 0, 1), 0)
	})
	// Jobs beyond the quota would otherwise be accepted, though free runners are of no use to them.
	t.Run("WorkOfTheOrganisationWaitsForItsQuota", func(t *testing.T) {
		f := fixture(t, organisation("a", 1, 2))
		f.addClaimed("own", within, 1, stepOf(20, types.Core))
		wantWait(t, f.waitOf(within, 1, 80), 10*time.Second)
		f.addClaimed("own surplus", surplus, 1, stepOf(20, types.Core))
		wantWait(t, f.waitOf(within, 1, 80), 10*time.Second)
		wantWait(t, f.waitOf(surplus, 1, 80), 20*time.Second)
	})
	t.Run("WorkOfTheOrganisationForAnotherServiceTakesTheQuota", func(t *testing.T) {
		f := fixture(t, organisation("a", 1, 2))
		other := queueOf(0)
		other.Service = "other"
		f.table.AddJob(&specs.Job{ID: "other", Queue: other, Steps: []specs.Step{stepOf(20, types.Core)}, Accepted: start, Organisation: "a"})
		wantWait(t, f.waitOf(within, 1, 80), 10*time.Second)
	})
	// Work that waits for the quota of its organisation delays no others, so it must not get their jobs refused: of the
	// eight cores, two do the 400 core-seconds of b and six the 30 of a.
	t.Run("WorkBeyondAQuotaDelaysNoOthers", func(t *testing.T) {
		f := fixture(t, organisation("a", 1, 0), organisation("b", 1, 2))
		f.addClaimed("other", otherWithin, 1, stepOf(400, types.Core))
		wantWait(t, f.waitOf(within, 1, 4000), 0)
		f.addClaimed("own", within, 1, stepOf(30, types.Core))
		wantWait(t, f.waitOf(within, 1, 4000), 5*time.Second)
	})
	t.Run("QuotasTogetherBelowTheCapacity", func(t *testing.T) {
		f := fixture(t, organisation("b", 1, 2), organisation("c", 1, 3))
		f.addClaimed("b", otherWithin, 1, stepOf(400, types.Core))
		f.addClaimed("c", claim{organisation: "c"}, 1, stepOf(400, types.Core))
		wantWait(t, f.waitOf(claim{}, 1, 80), 0)
	})
}

// formerWait is how long a new job waited before organisations were known: for all work of a higher priority and for that
// of its own with no higher rank.
func formerWait(t *tasks.Table, now time.Time, j *tasks.Job) time.Duration {
	cores, ahead := types.MilliCores(0), 0.0
	for _, r := range t.OrderedRunners() {
		if r.Usable(now) && r.Info.Service == j.Spec.Queue.Service {
			cores += r.Info.Capacity.Cores
		}
	}
	if cores == 0 {
		return 0
	}
	penaltyCores := sizePenaltyShare * float64(cores)
	rank := now.Add(j.Allowance() - j.CriticalPath).Add(sizePenalty(j.Work.Seconds(), penaltyCores))
	for _, other := range t.Jobs {
		o := other.Occurrences[0]
		if other.Spec.Queue.Service != j.Spec.Queue.Service || now.After(o.Due.Add(lateFactor*other.Allowance())) {
			continue
		}
		work := t.Times.RemainingWork(o).Seconds()
		otherRank := o.Due.Add(other.Allowance() - other.CriticalPath).Add(sizePenalty(work, penaltyCores))
		priority, otherPriority := j.Spec.Queue.Priority, other.Spec.Queue.Priority
		if otherPriority < priority || (otherPriority == priority && !otherRank.After(rank)) {
			ahead += work
		}
	}
	return time.Duration(min(ahead/float64(cores), maxWait.Seconds()) * float64(time.Second))
}

// A deployment without organisations must be decided as before there were any, whatever its load.
func TestJobsWithoutOrganisationWaitAsBefore(t *testing.T) {
	const loads, jobsPerLoad = 50, 100
	for seed := range uint64(loads) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newTableFixture(t, 1+random.IntN(6))
			randomJob := func(id string, accepted time.Time) *specs.Job {
				s := stepOf(1+random.IntN(40), types.MilliCores(100+random.IntN(3000)))
				s.Estimate = time.Duration(1+random.IntN(4000)) * time.Millisecond
				q := queueOf(random.IntN(3))
				q.Service = []types.ServiceName{"svc", "svc", "svc", "none"}[random.IntN(4)]
				return &specs.Job{ID: specs.JobID(id), Queue: q, Steps: []specs.Step{s}, Accepted: accepted}
			}
			for i := range jobsPerLoad {
				f.table.AddJob(randomJob(fmt.Sprint("j", i), start.Add(-time.Duration(random.IntN(20_000))*time.Millisecond)))
			}
			backlog := MeasureBacklog(f.table, start)
			for range jobsPerLoad {
				j := f.table.NewJob(randomJob("new", start))
				got, want := backlog.Wait(j), formerWait(f.table, start, j)
				if (got - want).Abs() > time.Microsecond {
					t.Fatalf("the job waits for %s, before for %s", got, want)
				}
			}
		})
	}
}
