package order

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/rates"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// tenantBurst is how many times its usual number of jobs one organisation sends from tenantBurstAt on, for
	// tenantBurstDuration; largeBurst is one that leaves no time for the jobs of the others if it is accepted.
	tenantBurst         = 7.5
	largeBurst          = 40.0
	tenantBurstAt       = 8 * time.Second
	tenantBurstDuration = 6500 * time.Millisecond
	// weightPerUsual is the weight of an organisation relative to its usual number of jobs per second.
	weightPerUsual = 1.9
	// backlogInterval is how often the leader measures the backlog.
	backlogInterval = 100 * time.Millisecond
	// measuredUntil is when the last jobs arrive that count; later ones may not end before the simulation does.
	measuredUntil = loadDuration - 8*time.Second
)

// bursting is the index in tenantShares of the organisation that sends the burst.
const bursting = 0

// tenantShares are the shares of the organisations in the usual load: three large ones and seventeen others.
var tenantShares = []float64{
	0.2, 0.16, 0.12, 0.07, 0.06, 0.05, 0.05, 0.04, 0.04, 0.03, 0.03, 0.03, 0.02, 0.02, 0.02, 0.02, 0.01, 0.01, 0.01, 0.01,
}

type (
	// tenantSimulation plays the heavy load with organisations, at the mean rate of the day. Every job has random numbers of
	// its own, so that days with and without the burst, or with and without shares, have the same jobs.
	tenantSimulation struct {
		*simulation
		seed uint64
		// burst is how many times its usual number of jobs the bursting organisation sends.
		burst   float64
		shares  bool
		rates   *rates.Rates
		backlog Backlog
		// current is the organisation whose jobs are being added.
		current int
		tenants []tenantResult
		jobs    []tenantJob
		started map[specs.JobID]time.Time
		// used is the sum of the cores in use at all time steps.
		used types.MilliCores
	}

	tenantJob struct {
		spec   specs.Job
		tenant int
	}

	// tenantResult is what became of the jobs of one or several organisations.
	tenantResult struct {
		offered, refused, surplus, served int
		offeredValue, gainedValue         float64
		accepted                          int
		// waits is the time from acceptance to the first start, durations that to the end.
		waits, durations time.Duration
	}
)

func tenantName(i int) specs.OrganisationName {
	return specs.OrganisationName(fmt.Sprint("tenant", i))
}

// newTenantSimulation returns a simulation whose leader knows the organisations if shares is set.
func newTenantSimulation(seed uint64, burst float64, shares bool) *tenantSimulation {
	sim := &tenantSimulation{
		simulation: newSimulation(seed), seed: seed, burst: burst, shares: shares, rates: rates.New(rates.Tolerance{}),
		tenants: make([]tenantResult, len(tenantShares)), started: make(map[specs.JobID]time.Time),
	}
	usual := 0.0
	for i := range sim.kinds {
		usual += sim.kinds[i].perSec
	}
	if shares {
		catalog, weights := &specs.Catalog{}, make(map[specs.OrganisationName]float64)
		for i, share := range tenantShares {
			o := organisation(string(tenantName(i)), weightPerUsual*share*usual, 0)
			weights[o.Name] = o.Weight
			catalog.Organisations = append(catalog.Organisations, o)
		}
		sim.table.SetLimits(catalog)
		sim.rates.SetWeights(weights, start)
	}
	sim.admit = sim.admitTenant
	return sim
}

// admitTenant decides on a job as the leader does.
func (sim *tenantSimulation) admitTenant(table *tasks.Table, spec *specs.Job, now time.Time) bool {
	result := &sim.tenants[sim.current]
	if sim.shares {
		spec.Organisation = tenantName(sim.current)
		spec.Surplus = !sim.rates.Within(spec.Organisation, now)
	}
	accepted := sim.backlog.Excess(table.NewJob(spec)) <= 0
	if accepted && sim.shares && !spec.Surplus {
		sim.rates.Take(spec.Organisation, now)
	}
	if now.Before(start.Add(measuredUntil)) {
		result.offered++
		if spec.Surplus {
			result.surplus++
		}
		if !accepted {
			result.refused++
		}
	}
	if accepted {
		sim.jobs = append(sim.jobs, tenantJob{spec: *spec, tenant: sim.current})
	}
	return accepted
}

// run simulates loadDuration and returns the results of the organisations.
func (sim *tenantSimulation) run(compare ranking) {
	arrivals := make([]*rand.Rand, 2*len(tenantShares))
	for i := range arrivals {
		arrivals[i] = rand.New(rand.NewPCG(sim.seed, uint64(i)))
	}
	for at := time.Duration(0); at < loadDuration; at += timeStep {
		now := start.Add(at)
		if at%backlogInterval == 0 {
			sim.backlog = MeasureBacklog(sim.table, now)
		}
		for i := range tenantShares {
			sim.addTenantArrivals(i, arrivals[2*i], 1, now)
			if i == bursting && at >= tenantBurstAt && at < tenantBurstAt+tenantBurstDuration {
				sim.addTenantArrivals(i, arrivals[2*i+1], sim.burst-1, now)
			}
		}
		sim.finishDue(now)
		for _, s := range plan(sim.table, now, Limits{}, compare).Starts {
			sim.startTask(s, now)
			if _, ok := sim.started[s.Task.Ref.Job]; !ok {
				sim.started[s.Task.Ref.Job] = now
			}
		}
		for _, r := range sim.table.OrderedRunners() {
			sim.used += r.Used.Cores
		}
	}
	sim.scoreTenants()
}

// addTenantArrivals adds the jobs that arrive within one timeStep at a multiple of the organisation's usual rate.
func (sim *tenantSimulation) addTenantArrivals(tenant int, arrivals *rand.Rand, factor float64, now time.Time) {
	sim.current = tenant
	for i := range sim.kinds {
		k := &sim.kinds[i]
		sim.rand = arrivals
		for range sim.poisson(k.perSec * tenantShares[tenant] * factor * timeStep.Seconds()) {
			sim.rand = rand.New(rand.NewPCG(arrivals.Uint64(), 1))
			sim.tenants[tenant].offer(k, now)
			sim.addJob(k, now)
		}
	}
}

func (r *tenantResult) offer(k *jobKind, now time.Time) {
	if now.Before(start.Add(measuredUntil)) {
		r.offeredValue += k.value
	}
}

// scoreTenants adds up the waiting times and values of the accepted jobs. A job that never started has waited until the
// end.
func (sim *tenantSimulation) scoreTenants() {
	for i := range sim.jobs {
		j := &sim.jobs[i]
		if !j.spec.Accepted.Before(start.Add(measuredUntil)) {
			continue
		}
		r := &sim.tenants[j.tenant]
		startedAt, ok := sim.started[j.spec.ID]
		if !ok {
			startedAt = start.Add(loadDuration)
		}
		r.accepted++
		endedAt := start.Add(loadDuration)
		if ended, ok := sim.table.EndedJobs[j.spec.ID]; ok {
			endedAt = ended.At
		}
		r.waits += startedAt.Sub(j.spec.Accepted)
		r.durations += endedAt.Sub(j.spec.Accepted)
		if gained := sim.gained(&j.spec); gained > 0 {
			r.served++
			r.gainedValue += gained
		}
	}
}

// gained returns the value that the caller of a job gains, as scoreJob counts it.
func (sim *tenantSimulation) gained(spec *specs.Job) float64 {
	ended, ok := sim.table.EndedJobs[spec.ID]
	if !ok {
		return 0
	}
	k := sim.kindOf[spec.ID]
	objective := sim.objectiveOf(spec.ID)
	switch took := ended.At.Sub(spec.Accepted); {
	case took <= objective:
		return k.value
	case took <= lateFactor*objective:
		return k.value * lateValueShare
	default:
		return 0
	}
}

func (r *tenantResult) add(o tenantResult) {
	r.offered, r.refused, r.surplus, r.served = r.offered+o.offered, r.refused+o.refused, r.surplus+o.surplus, r.served+o.served
	r.offeredValue, r.gainedValue = r.offeredValue+o.offeredValue, r.gainedValue+o.gainedValue
	r.waits, r.durations, r.accepted = r.waits+o.waits, r.durations+o.durations, r.accepted+o.accepted
}

func (r *tenantResult) wait() time.Duration {
	return r.waits / time.Duration(r.accepted)
}

func (r *tenantResult) duration() time.Duration {
	return r.durations / time.Duration(r.accepted)
}

// servedShare is the fraction of the offered value that callers gained.
func (r *tenantResult) servedShare() float64 {
	return r.gainedValue / r.offeredValue
}

func (r *tenantResult) String() string {
	return fmt.Sprintf("offered %5d, surplus %4d, refused %4d, served %.3f of the jobs and %.3f of the value, mean wait %s, mean duration %s", r.offered, r.surplus, r.refused,
		float64(r.served)/float64(r.offered), r.servedShare(), r.wait().Round(100*time.Microsecond), r.duration().Round(time.Millisecond))
}

// tenantDay is the sum of several simulations.
type tenantDay struct {
	others, bursting tenantResult
	// use is the mean share of the cores in use.
	use float64
}

func playTenants(seeds int, burst float64, shares bool, compare ranking) tenantDay {
	var day tenantDay
	for seed := range seeds {
		sim := newTenantSimulation(uint64(seed), burst, shares)
		sim.run(compare)
		for i := range sim.tenants {
			if i == bursting {
				day.bursting.add(sim.tenants[i])
			} else {
				day.others.add(sim.tenants[i])
			}
		}
		steps := float64(loadDuration / timeStep)
		day.use += float64(sim.used) / (steps * loadRunners * float64(loadCores)) / float64(seeds)
	}
	return day
}

// bySurplusLast ranks surplus work behind all work within the weights that is not overdue, and otherwise as byUrgency.
func bySurplusLast(a, b entry) int {
	class := func(e entry) int {
		switch {
		case e.tier == overdue:
			return 2
		case e.step.Job.Spec.Surplus:
			return 1
		default:
			return 0
		}
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), byUrgency(a, b))
}

// Of the days with the burst of one organisation, the one with shares must be for the others as the one without the burst;
// without shares it is not. The others' time to the first start is a few hundredths of the time that their jobs take; it
// rises even if all surplus is refused, since the burst is within the weight in part.
func TestBurstOfOneOrganisation(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates thirty seconds of load fifteen times")
	}
	const (
		seeds     = 5
		tolerance = 0.1
		// minUse is the use of the runners as a fraction of that without shares.
		minUse = 0.98
	)
	calm := playTenants(seeds, 1, true, bySurplusLast)
	shares := playTenants(seeds, tenantBurst, true, bySurplusLast)
	baseline := playTenants(seeds, tenantBurst, false, byUrgency)
	for name, day := range map[string]*tenantDay{"calm": &calm, "burst with shares": &shares, "burst without shares": &baseline} {
		t.Logf("%s: use of the runners %.4f\n\tothers:   %s\n\tbursting: %s", name, day.use, &day.others, &day.bursting)
	}
	keepsDuration := func(day *tenantDay) bool {
		return day.others.duration().Seconds() <= (1+tolerance)*calm.others.duration().Seconds()
	}
	t.Run("OthersWaitNoLongerForTheirResults", func(t *testing.T) {
		if !keepsDuration(&shares) {
			t.Errorf("the jobs of the others take %s, %s without the burst", shares.others.duration(), calm.others.duration())
		}
	})
	t.Run("OthersAreServedAsUsual", func(t *testing.T) {
		if shares.others.servedShare() < (1-tolerance)*calm.others.servedShare() {
			t.Errorf("the others gain %.3f of their value, %.3f without the burst", shares.others.servedShare(), calm.others.servedShare())
		}
	})
	t.Run("OthersStartSoonerThanWithoutShares", func(t *testing.T) {
		usual := calm.others.wait()
		if got, without := shares.others.wait()-usual, baseline.others.wait()-usual; got > without/2 {
			t.Errorf("the burst delays the first starts of the others by %s, without shares by %s", got, without)
		}
	})
	t.Run("NoneOfTheOthersIsRefused", func(t *testing.T) {
		if shares.others.refused > 0 || shares.others.surplus > 0 {
			t.Errorf("%d jobs of the others are refused and %d surplus", shares.others.refused, shares.others.surplus)
		}
	})
	t.Run("RunnersAreUsedAsWithoutShares", func(t *testing.T) {
		if shares.use < minUse*baseline.use {
			t.Errorf("the use of the runners is %.4f, %.4f without shares", shares.use, baseline.use)
		}
	})
	// A load that fits without shares would show nothing.
	t.Run("LoadTellsTheDifference", func(t *testing.T) {
		if keepsDuration(&baseline) {
			t.Errorf("without shares the jobs of the others take %s, %s without the burst", baseline.others.duration(), calm.others.duration())
		}
	})
}

// Under overload the surplus of one organisation is refused, and no job of the others is.
func TestSurplusIsRefusedFirst(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates thirty seconds of load twice")
	}
	shares, baseline := playTenants(1, largeBurst, true, bySurplusLast), playTenants(1, largeBurst, false, byUrgency)
	t.Logf("refused with shares: %d jobs of the others and %d of the bursting organisation, without: %d and %d",
		shares.others.refused, shares.bursting.refused, baseline.others.refused, baseline.bursting.refused)
	if shares.others.refused > 0 {
		t.Errorf("%d jobs of the others are refused", shares.others.refused)
	}
	if baseline.others.refused == 0 {
		t.Error("the load tells no difference: without shares no job of the others is refused either")
	}
}
