package order

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// workAhead is the work that is served before a new job, in seconds times thousandths of a core.
type workAhead struct {
	// byOrganisation is the work for the service of the job.
	byOrganisation map[specs.OrganisationName]float64
	// own is the work of the job's organisation for all services, since its quota spans them.
	own float64
	// surplus is the surplus work of other organisations, of which only a share is served before a surplus job.
	surplus map[specs.OrganisationName]float64
}

// workAhead returns the work that is served before a new job. A job within the weight of its organisation waits only for
// work within the weights, of higher priorities and of its own with no higher rank. A surplus job waits for all work
// within the weights, for the surplus work of its organisation that goes before it, and for its share of that of others.
func (b *Backlog) workAhead(j *tasks.Job) workAhead {
	out := workAhead{byOrganisation: make(map[specs.OrganisationName]float64), surplus: make(map[specs.OrganisationName]float64)}
	own := newBacklogKey(j)
	rank := b.at.Add(j.Allowance() - j.CriticalPath).Add(sizePenalty(j.Work.Seconds(), b.penaltyCores[own.service]))
	ownSurplus := 0.0
	for key, queue := range b.queued {
		if key.surplus && own.surplus && key.organisation != own.organisation {
			if key.service == own.service {
				out.surplus[key.organisation] += workUpTo(queue, len(queue))
			}
			continue
		}
		work := queueAhead(key, own, queue, rank)
		if key.service == own.service {
			out.byOrganisation[key.organisation] += work
			if key.surplus {
				ownSurplus += work
			}
		}
		if own.organisation != "" && key.organisation == own.organisation {
			out.own += work
		}
	}
	b.addSurplusOfOthers(&out, limitsOf(j.Organisation).weight, ownSurplus+j.Work.Seconds())
	return out
}

// queueAhead returns the work of a queue that is served before a job with the given key and rank.
func queueAhead(key, own backlogKey, queue []queuedWork, rank time.Time) float64 {
	switch {
	case own.surplus && !key.surplus:
		return workUpTo(queue, len(queue))
	case key.surplus && !own.surplus, key.priority > own.priority:
		return 0
	case key.priority < own.priority:
		return workUpTo(queue, len(queue))
	default:
		return workBefore(queue, rank)
	}
}

// addSurplusOfOthers adds the surplus work of other organisations that is served while the given surplus work of the
// job's own organisation is: the organisations are served in proportion to their weights, and those without one last.
func (b *Backlog) addSurplusOfOthers(a *workAhead, ownWeight, ownWork float64) {
	for name, work := range a.surplus {
		weight := b.limits[name].weight
		switch {
		case ownWeight > 0:
			work = min(work, ownWork*weight/ownWeight)
		case weight == 0:
			work = min(work, ownWork)
		}
		a.byOrganisation[name] += work
	}
}
