package order

import (
	"cmp"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// maxRestSteps limits the steps that one plan serves of those that rank too late for its turns.
const maxRestSteps = 100

// postpone notes steps that rank too late for the turns of the plan.
func (p *pass) postpone(entries []entry) {
	p.out.Unserved += len(entries)
	if p.limits.ServeRest {
		p.rest = append(p.rest, entries...)
	}
}

// serveRest serves some of the steps that rank too late for the turns of the plan: those that follow the last one that an earlier plan
// served so, in the order of their references. So each step is served within a bounded number of plans with Limits.ServeRest, whatever
// ranks before it.
func (p *pass) serveRest(compare ranking) {
	rest := p.rest
	p.rest, p.out.Resume = nil, p.limits.Resume
	if len(rest) == 0 {
		return
	}
	n := min(len(rest), maxRestSteps)
	sortLeast(rest, n, p.byTurn)
	p.out.Resume = rest[n-1].step.Ref
	p.stepsLeft = n
	p.serveRanked(rest[:n], compare, n)
	p.out.Unserved -= n
}

// byTurn ranks steps by their references: first those after the step at which the plan resumes, then the others.
func (p *pass) byTurn(a, b entry) int {
	isPast := func(e entry) int {
		if compareRefs(e.step.Ref, p.limits.Resume) <= 0 {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(isPast(a), isPast(b)), compareRefs(a.step.Ref, b.step.Ref))
}

func compareRefs(a, b specs.StepRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}
