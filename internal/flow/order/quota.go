package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// urgentQuotaDivisor sets the part of a quota, 1/urgentQuotaDivisor, that only work of the most urgent priority may use. Without it
// a wide patient step takes the whole quota, and urgent tasks are late before the first of its tasks ends.
const urgentQuotaDivisor = 8

// headroom is what an organisation may still start in one pass.
type headroom struct {
	organisation *tasks.Organisation
	// left is what its quota leaves besides its runs and the claims of this pass. Fields may be negative.
	left types.Resources
	// kept is what waiting steps keep from the steps behind them.
	kept []keptHeadroom
	// claimed is what the starts that this pass plans, and the tasks for which it keeps capacity, will occupy.
	claimed types.Resources
	// holder is the step for which headroom was claimed or kept last, and held the number of its tasks that this covers. The
	// steps of an organisation are served one after the other, so it is complete for the step that is being served.
	holder *tasks.Step
	held   int
	// asked is what those tasks will occupy for which advice is in flight or requested and no headroom is claimed.
	asked types.Resources
	// waits is set once a step waits for the quota.
	waits bool
}

// keptHeadroom is what a step that cannot start yet keeps from the steps of the same or a lower priority behind it. More urgent
// steps may use it: they are short, and the waiting step may wait for long.
type keptHeadroom struct {
	priority  int
	resources types.Resources
}

// leftFor returns what the quota leaves for a step: all but what steps of the same or a higher priority keep, and what is for
// more urgent work only.
func (p *pass) leftFor(s *tasks.Step, h *headroom) types.Resources {
	left := h.left.Sub(p.urgentPart(s, h.organisation))
	for _, k := range h.kept {
		if k.priority <= s.Job.Spec.Queue.Priority {
			left = left.Sub(k.resources)
		}
	}
	return left
}

// urgentPart returns the part of the quota that the step leaves to more urgent work: none for a step of the most urgent priority
// that has jobs, for a service, which would lack tasks for as long as it runs, or for a step that could never start beside it.
func (p *pass) urgentPart(s *tasks.Step, o *tasks.Organisation) types.Resources {
	if s.Spec.Service || s.Job.Spec.Queue.Priority <= p.mostUrgent {
		return types.Resources{}
	}
	quota := o.Quota
	part := types.Resources{
		Cores: quota.Cores / urgentQuotaDivisor, Memory: quota.Memory / urgentQuotaDivisor,
		Accelerators: quota.Accelerators / urgentQuotaDivisor,
	}
	width := 1
	if s.Spec.Gang {
		width = len(s.Tasks)
	}
	if !counted(s, width).Add(part).Add(p.occupiedByServices(o)).WithinLimit(quota) {
		return types.Resources{}
	}
	return part
}

// keepHeadroom keeps headroom for n tasks of a step that cannot start yet.
func (p *pass) keepHeadroom(s *tasks.Step, n int) {
	if h := p.headroomOf(s); h != nil {
		h.kept = append(h.kept, keptHeadroom{priority: s.Job.Spec.Queue.Priority, resources: counted(s, n)})
		h.holder, h.held = s, h.heldBy(s)+n
	}
}

// headroomOf returns the headroom of the organisation of a step's job, or nil if it has none.
func (p *pass) headroomOf(s *tasks.Step) *headroom {
	o := s.Job.Organisation
	if o == nil {
		return nil
	}
	if p.lastHeadroom != nil && p.lastHeadroom.organisation == o {
		return p.lastHeadroom
	}
	h, ok := p.headrooms[o]
	if !ok {
		h = &headroom{organisation: o, left: p.table.Headroom(o)}
		p.headrooms[o] = h
	}
	p.lastHeadroom = h
	return h
}

// counted returns what n tasks of a step add to what their organisation occupies. The requested cores of a step with
// Fills count, although they occupy none of a runner's.
func counted(s *tasks.Step, n int) types.Resources {
	return s.Spec.Resources.Times(n)
}

// hasHeadroom reports whether the quota leaves room for n tasks of the step.
func (p *pass) hasHeadroom(s *tasks.Step, n int) bool {
	h := p.headroomOf(s)
	return h == nil || counted(s, n).Fits(p.leftFor(s, h))
}

// claimHeadroom takes the resources of n tasks of the step from the headroom of its organisation.
func (p *pass) claimHeadroom(s *tasks.Step, n int) {
	if h := p.headroomOf(s); h != nil {
		need := counted(s, n)
		h.left, h.claimed = h.left.Sub(need), h.claimed.Add(need)
		h.holder, h.held = s, h.heldBy(s)+n
	}
}

// heldBy returns for how many tasks of the step that is being served headroom was claimed or kept.
func (h *headroom) heldBy(s *tasks.Step) int {
	if h.holder != s {
		return 0
	}
	return h.held
}

// addAsked records that advice on n tasks of the step is in flight or requested. Those whose headroom is claimed are not
// counted again.
func (p *pass) addAsked(s *tasks.Step, n int) {
	if h := p.headroomOf(s); h != nil {
		h.asked = h.asked.Add(counted(s, max(0, min(n, s.WaitingTasks-h.heldBy(s)))))
	}
}

// wantedTasks returns for how many tasks of the step advice may be requested: those that could start if all capacity were
// free, and that fit the headroom left by the tasks for which advice is in flight or requested already.
func (p *pass) wantedTasks(s *tasks.Step) int {
	h := p.headroomOf(s)
	if h == nil {
		return s.WaitingTasks
	}
	available := p.leftFor(s, h).Sub(h.asked)
	if s.Spec.Gang {
		return p.wantedMembers(s, h, available)
	}
	return counted(s, 1).CountIn(available, s.WaitingTasks)
}

// wantedMembers is wantedTasks for a gang, which needs advice for all of its tasks or for none. One that holds its
// headroom already needs no more, and neither does one that is ending, since its members still count as running.
func (p *pass) wantedMembers(s *tasks.Step, h *headroom, available types.Resources) int {
	if h.heldBy(s) == 0 && p.allTasksWait(s) && !counted(s, len(s.Tasks)).Fits(available) {
		return 0
	}
	return s.WaitingTasks
}

// mayServe reports whether the quota allows the step to start: a gang with all of its tasks, another step with one.
// Otherwise the step waits without reservations and without calls for advice. It then keeps what it needs from the
// steps of its own organisation behind it, which would otherwise use up the quota before there is enough for a wide gang.
func (p *pass) mayServe(s *tasks.Step) bool {
	h := p.headroomOf(s)
	if h == nil {
		return true
	}
	width := 1
	if s.Spec.Gang {
		width = len(s.Tasks)
	}
	if p.hasHeadroom(s, width) {
		return true
	}
	p.noteWait(s, WaitsForQuota)
	// When a step waits already and a resource of the headroom is negative, no further step fits, whatever this one keeps.
	isExhausted := h.waits && !types.Resources{}.Fits(p.leftFor(s, h))
	if isExhausted || !p.table.KnowsLimits(h.organisation) || !p.hasDueTask(s) {
		return false
	}
	h.waits = true
	if p.canHoldHeadroom(s, h, width) {
		p.keepHeadroom(s, width)
	}
	return false
}

// hasDueTask reports whether the step would start tasks now if there were room: a gang all, another step some.
func (p *pass) hasDueTask(s *tasks.Step) bool {
	if s.Spec.Gang {
		return p.allTasksWait(s)
	}
	return slices.ContainsFunc(s.Tasks, p.isDue)
}

// canHoldHeadroom reports whether the step may keep headroom from those behind it: the quota suffices besides the services
// of its organisation, and the runners could hold the tasks if they were empty. Otherwise the organisation would wait for
// capacity that cannot become free.
func (p *pass) canHoldHeadroom(s *tasks.Step, h *headroom, width int) bool {
	need := counted(s, width).Add(p.occupiedByServices(h.organisation))
	return need.WithinLimit(h.organisation.Quota) && couldHold(s, p.runnersFor(s), width)
}

// couldHold reports whether the runners could hold so many tasks of the step if they were empty.
func couldHold(s *tasks.Step, runners []*runnerCapacity, width int) bool {
	fitting := 0
	for _, r := range runners {
		if !canRun(s, r) {
			continue
		}
		n := taskResources(s).CountIn(r.runner.Info.Capacity, specs.MaxWidth)
		if s.Spec.PerRunner > 0 {
			n = min(n, s.Spec.PerRunner)
		}
		fitting += n
		if fitting >= width {
			return true
		}
	}
	return false
}

// occupiedByServices returns what those runs of an organisation occupy that end only when their job is cancelled. The sums
// of all organisations are made at the first call of a pass, since most passes need none.
func (p *pass) occupiedByServices(o *tasks.Organisation) types.Resources {
	if p.services == nil {
		p.services = make(map[*tasks.Organisation]types.Resources)
		for _, r := range p.table.Runners {
			for _, run := range r.Runs {
				if t := run.Task; t != nil && t.Step.Spec.Service && !t.Step.Job.Ending {
					p.services[run.Organisation] = p.services[run.Organisation].Add(run.Counted)
				}
			}
		}
	}
	return p.services[o]
}

// keepForAdvice keeps the headroom for a waiting gang whose call for advice is in flight or planned, unless it has claimed it
// already: smaller steps of its organisation would otherwise use it up before the advice arrives.
func (p *pass) keepForAdvice(s *tasks.Step) {
	h := p.headroomOf(s)
	if h == nil || h.heldBy(s) > 0 || !p.canHoldHeadroom(s, h, len(s.Tasks)) {
		return
	}
	p.keepHeadroom(s, len(s.Tasks))
}

// waitingForQuota returns the organisations with a step that waits for its quota.
func (p *pass) waitingForQuota() []*tasks.Organisation {
	var out []*tasks.Organisation
	for o, h := range p.headrooms {
		if h.waits {
			out = append(out, o)
		}
	}
	return out
}
