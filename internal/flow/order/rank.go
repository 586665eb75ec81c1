package order

import (
	"cmp"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// Tiers of waiting work.
const (
	// inTime is work that can still be done within its objective.
	inTime tier = iota
	// late is work that can still be done within lateFactor times its objective.
	late
	// overdue is work that is past that; callers gain nothing from it any more.
	overdue

	lateFactor = 3
	// sizePenaltyShare is the fraction of its service's cores on which the remaining work of a job is assumed to run
	// when its size is converted into time.
	sizePenaltyShare = 1.0 / 16
	// maxSizePenalty limits how far a job goes behind smaller ones.
	maxSizePenalty = time.Minute
)

type (
	tier int

	// ranking compares two entries, as cmp.Compare does; the lesser one is served first.
	ranking func(a, b entry) int

	// entry is a step with the values by which steps are ranked.
	entry struct {
		step *tasks.Step
		tier tier
		// latestStart is the latest start with which the job can still be done in time.
		latestStart time.Time
		// rank orders the entries of one tier and priority: latestStart plus the size penalty.
		rank time.Time
	}
)

// newEntry returns the step with its tier and rank.
func (p *pass) newEntry(s *tasks.Step) entry {
	if s.Spec.Service {
		return newServiceEntry(s)
	}
	left := p.table.Times.RemainingPath(s)
	due := s.Occurrence.Due
	allowance := s.Job.Allowance()
	e := entry{step: s, latestStart: due.Add(allowance - left)}
	penaltyCores := sizePenaltyShare * float64(p.cores[s.Job.Spec.Queue.Service])
	e.rank = e.latestStart.Add(sizePenalty(p.table.Times.RemainingWork(s.Occurrence).Seconds(), penaltyCores))
	switch end := p.now.Add(left); {
	case !end.After(due.Add(allowance)):
		e.tier = inTime
	case !end.After(due.Add(lateFactor * allowance)):
		e.tier = late
	default:
		e.tier = overdue
	}
	return e
}

// sizePenalty returns how long work, in seconds times thousandths of a core, would take on the given thousandths of a
// core, at most maxSizePenalty.
func sizePenalty(work, cores float64) time.Duration {
	if cores == 0 {
		return 0
	}
	return time.Duration(min(work/cores, maxSizePenalty.Seconds()) * float64(time.Second))
}

// byUrgency ranks steps by tier, work that can still be done in time first, then by priority, then by how little time
// is left and how small the work is.
func byUrgency(a, b entry) int {
	if c := cmp.Compare(a.tier, b.tier); c != 0 {
		return c
	}
	if c := cmp.Compare(a.step.Job.Spec.Queue.Priority, b.step.Job.Spec.Queue.Priority); c != 0 {
		return c
	}
	if c := a.rank.Compare(b.rank); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.step.Ref.Job, b.step.Ref.Job), cmp.Compare(a.step.Ref.Step, b.step.Ref.Step))
}
