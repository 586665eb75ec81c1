package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// runnerGroup names the runners of a service that have a label, with the slow ones or without.
type runnerGroup struct {
	service  types.ServiceName
	label    specs.Label
	withSlow bool
}

func (p *pass) groupOf(s *tasks.Step) runnerGroup {
	return runnerGroup{service: s.Job.Spec.Queue.Service, label: s.Spec.Label, withSlow: p.needsSlow(s)}
}

// takesTurn reports whether the step is served in a turn of the plan. Steps take none that no runner can run, that wait for their quota,
// or for which nothing can be done while no runner has room for them: many of them must not keep those behind them from being
// served.
func (p *pass) takesTurn(s *tasks.Step) bool {
	if !p.hasRunner(s) || !p.mayServe(s) {
		return false
	}
	if !p.isFull(s) || p.actsWithoutRoom(s) {
		return true
	}
	if s.Advice.Pending > 0 {
		p.accountForAdvice(s)
	}
	return false
}

// serveStep serves the step, and reports whether tasks of it start.
func (p *pass) serveStep(s *tasks.Step) bool {
	planned := len(p.out.Starts)
	p.serve(s)
	if len(p.out.Starts) > planned {
		return true
	}
	p.noteFull(s)
	return false
}

// actsWithoutRoom reports whether something can be done for the step while no runner has room for one of its tasks: a gang reserves
// capacity, a suspected task starts on the runner that is held for it, and advice is asked for ahead.
func (p *pass) actsWithoutRoom(s *tasks.Step) bool {
	if s.Spec.Gang || p.holdsRunner(s) {
		return true
	}
	isAdvised := s.NeedsTicket()
	return isAdvised && p.askable[s.Job.Spec.Queue.Service] > 0 && p.canCallAdvice(s) && !p.hasAllowed(s)
}

// holdsRunner reports whether a runner is held for a task of the step.
func (p *pass) holdsRunner(s *tasks.Step) bool {
	return len(p.held) > 0 && slices.ContainsFunc(s.Tasks, func(t *tasks.Task) bool { return p.held[t] != nil })
}

// isFull reports whether the runners that could run the step are known to have no room for one of its tasks. Within a pass, free
// capacity only shrinks but for what is released; see forgetFull.
func (p *pass) isFull(s *tasks.Step) bool {
	need := taskResources(s)
	return slices.ContainsFunc(p.full[p.groupOf(s)], func(found types.Resources) bool { return found.Fits(need) })
}

// noteFull notes that no runner has room for a task of the step, if that is so.
func (p *pass) noteFull(s *tasks.Step) {
	if p.isFull(s) || p.hasRoom(s) {
		return
	}
	need, group := taskResources(s), p.groupOf(s)
	p.full[group] = append(slices.DeleteFunc(p.full[group], need.Fits), need)
}

// forgetFull must be called when capacity is released in a pass.
func (p *pass) forgetFull() {
	clear(p.full)
	p.forgetRoom()
}
