package order

import (
	"slices"
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// maxWait caps the wait that a backlog is taken to cause.
const maxWait = 24 * time.Hour

type (
	// Backlog is the work that accepted jobs still need, by service, priority of their queue and organisation. It answers
	// whether a new job can be served while more work is submitted than the runners can do.
	Backlog struct {
		queued map[backlogKey][]queuedWork
		cores  map[types.ServiceName]types.MilliCores
		// penaltyCores is the number of cores, in thousandths, on which the size penalty of a job is computed.
		penaltyCores map[types.ServiceName]float64
		// limits holds the limits of the organisations that have queued work.
		limits map[specs.OrganisationName]backlogLimits
		at     time.Time
	}

	backlogKey struct {
		service      types.ServiceName
		priority     int
		surplus      bool
		organisation specs.OrganisationName
	}

	// backlogLimits holds what limits the work of an organisation; cores is 0 when nothing does.
	backlogLimits struct {
		weight float64
		cores  types.MilliCores
	}

	// queuedWork is the work of one job, in seconds times thousandths of a core, with the rank by which it is served. In
	// a Backlog, ahead is the sum of the work up to this job.
	queuedWork struct {
		rank  time.Time
		work  float64
		ahead float64
	}
)

// MeasureBacklog returns the backlog of a table. Work of overdue jobs does not count, since it is served last.
func MeasureBacklog(t *tasks.Table, now time.Time) Backlog {
	p := &pass{table: t, now: now, cores: make(map[types.ServiceName]types.MilliCores)}
	for _, r := range t.OrderedRunners() {
		if r.Usable(now) {
			p.cores[r.Info.Service] += r.Info.Capacity.Cores
		}
	}
	out := Backlog{
		queued: make(map[backlogKey][]queuedWork), cores: p.cores,
		penaltyCores: make(map[types.ServiceName]float64),
		limits:       make(map[specs.OrganisationName]backlogLimits), at: now,
	}
	for service, cores := range p.cores {
		out.penaltyCores[service] = sizePenaltyShare * float64(cores)
	}
	for _, j := range t.Jobs {
		if !j.Ending {
			out.add(p, j)
		}
	}
	out.sortQueues()
	return out
}

// add adds the work of a job's occurrences that are not overdue.
func (b *Backlog) add(p *pass, j *tasks.Job) {
	key := newBacklogKey(j)
	b.limits[key.organisation] = limitsOf(j.Organisation)
	for _, o := range j.Created() {
		if p.now.After(o.Due.Add(lateFactor * j.Allowance())) {
			continue
		}
		work := p.table.Times.RemainingWork(o).Seconds()
		rank := o.Due.Add(j.Allowance() - j.CriticalPath).Add(sizePenalty(work, b.penaltyCores[key.service]))
		b.queued[key] = append(b.queued[key], queuedWork{rank: rank, work: work})
	}
}

func newBacklogKey(j *tasks.Job) backlogKey {
	key := backlogKey{service: j.Spec.Queue.Service, priority: j.Spec.Queue.Priority, surplus: j.Spec.Surplus}
	if j.Organisation != nil {
		key.organisation = j.Organisation.Name
	}
	return key
}

// limitsOf returns the limits of an organisation, which may be nil.
func limitsOf(o *tasks.Organisation) backlogLimits {
	if o == nil {
		return backlogLimits{}
	}
	return backlogLimits{weight: o.Weight, cores: o.Quota.Cores}
}

// sortQueues sorts the work of each queue by rank and adds it up.
func (b *Backlog) sortQueues() {
	for _, queue := range b.queued {
		slices.SortFunc(queue, func(x, y queuedWork) int { return x.rank.Compare(y.rank) })
		ahead := 0.0
		for i := range queue {
			ahead += queue[i].work
			queue[i].ahead = ahead
		}
	}
}

// Wait returns how long a new job waits until the work that is served before it is done. That work takes the cores of its
// service, and that of the job's organisation takes the cores of the quota; the later of both counts. Wait returns zero
// when no runner of the service is usable, since the wait is not known then.
func (b *Backlog) Wait(j *tasks.Job) time.Duration {
	cores := b.cores[j.Spec.Queue.Service]
	if cores == 0 {
		return 0
	}
	a := b.workAhead(j)
	wait := b.serviceWait(a.byOrganisation, float64(cores))
	if quota := limitsOf(j.Organisation).cores; quota > 0 {
		wait = max(wait, a.own/float64(quota))
	}
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// serviceWait returns the seconds in which the given cores do the work of several organisations. An organisation whose
// quota does not let it do its work within that time takes no more cores than the quota.
func (b *Backlog) serviceWait(work map[specs.OrganisationName]float64, cores float64) float64 {
	total := 0.0
	for _, w := range work {
		total += w
	}
	wait := total / cores
	for range len(work) {
		left, leftCores := 0.0, cores
		for name, w := range work {
			quota := float64(b.limits[name].cores)
			if quota > 0 && w > quota*wait {
				leftCores -= quota
			} else {
				left += w
			}
		}
		// Each round can only find more organisations that their quotas limit, so the wait falls until all are found.
		next := left / leftCores
		if leftCores <= 0 || next >= wait {
			break
		}
		wait = next
	}
	return wait
}

// workUpTo returns the work of the first n jobs of a sorted queue.
func workUpTo(queue []queuedWork, n int) float64 {
	if n == 0 {
		return 0
	}
	return queue[n-1].ahead
}

// Excess returns how much longer a new job would wait than leaves it time to be done before it is overdue; zero or less
// means that it can still be served.
func (b *Backlog) Excess(j *tasks.Job) time.Duration {
	latest := lateFactor*j.Allowance() - j.CriticalPath
	return b.Wait(j) - latest
}

// workBefore returns the work of a sorted queue whose rank is not after the given one.
func workBefore(queue []queuedWork, rank time.Time) float64 {
	return workUpTo(queue, sort.Search(len(queue), func(i int) bool { return queue[i].rank.After(rank) }))
}
