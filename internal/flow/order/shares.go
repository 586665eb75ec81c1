package order

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

type (
	// shareQueue holds the surplus steps of one organisation, in the order in which they are served.
	shareQueue struct {
		headroom *headroom
		weight   float64
		// share is the organisation's weighted dominant share.
		share float64
		steps []entry
		// current is the first step once it is being served, or nil.
		current *sharedStep
		// idleStepsLeft is how many more steps of the organisation may be served without a start.
		idleStepsLeft int
	}

	// shareHeap holds organisations with surplus work, the one of the lowest share on top. It implements heap.Interface.
	shareHeap []*shareQueue

	// sharedStep is a step that is served one task after the other, in turn with those of other organisations.
	sharedStep struct {
		*stepPlacement
		next int
		// hasStarted is set once a start of the step is planned.
		hasStarted bool
		// starts counts the planned starts by runner, as pass.stepStarts does; nil if the step has no limit by runner.
		starts map[*tasks.Runner]int
	}
)

func (h shareHeap) Len() int { return len(h) }

func (h shareHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].headroom.organisation.Name < h[j].headroom.organisation.Name
}

func (h shareHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *shareHeap) Push(x any) { *h = append(*h, x.(*shareQueue)) }

func (h *shareHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}

// isSurplus reports whether the job is served from what the work within the weights leaves: its organisation had used up
// its weight, or the catalog no longer names it.
func (p *pass) isSurplus(j *tasks.Job) bool {
	return j.Organisation != nil && (j.Spec.Surplus || (p.table.LimitsKnown && !j.Organisation.Known))
}

// splitSurplus returns the entries within the weights and the surplus ones, each in the same order as before.
func (p *pass) splitSurplus(sorted []entry) (within, surplus []entry) {
	for _, e := range sorted {
		if p.isSurplus(e.step.Job) {
			surplus = append(surplus, e)
		} else {
			within = append(within, e)
		}
	}
	return within, surplus
}

// firstIndex returns the index of the first entry that matches, or the number of entries.
func firstIndex(entries []entry, matches func(entry) bool) int {
	for i, e := range entries {
		if matches(e) {
			return i
		}
	}
	return len(entries)
}

// serveAll serves the steps by their rank, and then some of those that rank too late for the turns of the plan. Without surplus steps,
// only as many are sorted as the plan comes to.
func (p *pass) serveAll(entries []entry, compare ranking) {
	if slices.ContainsFunc(entries, func(e entry) bool { return p.isSurplus(e.step.Job) }) {
		p.serveRanked(entries, compare, 0)
	} else {
		for size := maxSteps; len(entries) > 0 && p.stepsLeft > 0; size *= 2 {
			n := min(len(entries), size)
			sortLeast(entries, n, compare)
			p.serveInOrder(entries[:n])
			entries = entries[n:]
		}
		p.postpone(entries)
	}
	p.serveRest(compare)
}

// serveRanked serves the steps in four groups: those within the weights that are not overdue, the surplus ones that are not
// overdue, those within the weights that are overdue, and the surplus ones that are overdue. IdleSteps is how many surplus steps
// of each organisation may be served without a start, or 0 if the organisations share the turns that are left.
func (p *pass) serveRanked(entries []entry, compare ranking, idleSteps int) {
	slices.SortFunc(entries, compare)
	isOverdue := func(e entry) bool { return e.tier == overdue }
	within, surplus := p.splitSurplus(entries)
	split, splitSurplus := firstIndex(within, isOverdue), firstIndex(surplus, isOverdue)
	p.serveInOrder(within[:split])
	p.serveByShare(surplus[:splitSurplus], idleSteps)
	p.serveInOrder(within[split:])
	p.serveByShare(surplus[splitSurplus:], idleSteps)
}

// serveInOrder serves the steps one after the other, at most as many as stepsLeft.
func (p *pass) serveInOrder(entries []entry) {
	for i, e := range entries {
		if p.stepsLeft == 0 {
			p.postpone(entries[i:])
			return
		}
		if p.takesTurn(e.step) {
			p.stepsLeft--
			p.serveStep(e.step)
		}
	}
}

// serveByShare serves surplus steps, task by task: the next one is always of the organisation with the lowest weighted
// dominant share, planned starts included.
func (p *pass) serveByShare(entries []entry, idleSteps int) {
	queues := p.queueByOrganisation(entries)
	for _, q := range queues {
		q.idleStepsLeft = cmp.Or(idleSteps, max(1, p.stepsLeft/len(queues)))
	}
	for len(queues) > 0 {
		q := queues[0]
		p.serveNext(q)
		if len(q.steps) == 0 || q.idleStepsLeft == 0 {
			p.postpone(q.steps)
			heap.Pop(&queues)
			continue
		}
		q.share = p.share(q)
		heap.Fix(&queues, 0)
	}
}

// queueByOrganisation groups surplus steps by organisation.
func (p *pass) queueByOrganisation(entries []entry) shareHeap {
	if len(entries) == 0 {
		return nil
	}
	lowest := p.lowestWeight()
	index := make(map[*headroom]*shareQueue)
	var out shareHeap
	for _, e := range entries {
		h := p.headroomOf(e.step)
		q := index[h]
		if q == nil {
			q = &shareQueue{headroom: h, weight: cmp.Or(h.organisation.Weight, lowest)}
			q.share = p.share(q)
			index[h] = q
			out = append(out, q)
		}
		q.steps = append(q.steps, e)
	}
	heap.Init(&out)
	return out
}

// lowestWeight returns the lowest weight above zero of any organisation, or 1 if there is none. Organisations without a
// weight get it: with a weight of zero they would come after all others for ever.
func (p *pass) lowestWeight() float64 {
	lowest := 0.0
	for _, o := range p.table.Organisations {
		if o.Weight > 0 && (lowest == 0 || o.Weight < lowest) {
			lowest = o.Weight
		}
	}
	return cmp.Or(lowest, 1)
}

// share returns the weighted dominant share of an organisation: the largest fraction of the capacity of all usable runners
// that it occupies in any resource, divided by its weight. What this pass starts or asks advice for is included.
func (p *pass) share(q *shareQueue) float64 {
	occupied := q.headroom.organisation.Running.Add(q.headroom.claimed).Add(q.headroom.asked)
	return occupied.DominantShare(p.capacity) / q.weight
}

// serveNext serves the first step of an organisation: a gang as a whole, another step with one task. A step that is
// finished is removed.
func (p *pass) serveNext(q *shareQueue) {
	s := q.steps[0].step
	if q.current == nil && !p.begin(q, s) {
		return
	}
	if s.Spec.Gang {
		p.finishStep(q, p.serveStep(s))
	} else if p.serveNextTask(q, s) {
		if !q.current.hasStarted {
			p.noteFull(s)
		}
		p.finishStep(q, q.current.hasStarted)
	}
}

// begin reports whether the organisation's first step may be served, and counts it. Otherwise it removes the step, or all
// steps of the organisation when the plan may serve no more.
func (p *pass) begin(q *shareQueue, s *tasks.Step) bool {
	switch {
	case p.stepsLeft == 0:
		p.postpone(q.steps)
		q.steps = nil
		return false
	case !p.takesTurn(s):
		q.steps = q.steps[1:]
		return false
	}
	p.stepsLeft--
	return true
}

// finishStep removes the first step of an organisation, which was served; hasStarted means that tasks of it start.
func (p *pass) finishStep(q *shareQueue, hasStarted bool) {
	q.current, q.steps = nil, q.steps[1:]
	if !hasStarted {
		q.idleStepsLeft--
	}
}

// candidateRunners returns the runners on which the step may be placed.
func (p *pass) candidateRunners(s *tasks.Step) []*runnerCapacity {
	if s.NeedsTicket() {
		return p.allowedRunners(s)
	}
	return p.eligibleRunners(s)
}

// finishPlacement plans the calls for advice that are missing after the tasks of a step were placed.
func (p *pass) finishPlacement(s *tasks.Step, c *stepPlacement) {
	if !s.NeedsTicket() {
		return
	}
	p.renewTickets(s, c.stale, c.runners)
	if c.lacksCapacity {
		p.requestAdvice(s, len(c.runners) == 0)
	}
	if s.Advice.Pending > 0 {
		p.accountForAdvice(s)
	}
}

func (p *pass) newSharedStep(s *tasks.Step) *sharedStep {
	c := &sharedStep{stepPlacement: &stepPlacement{runners: p.candidateRunners(s)}}
	if s.Spec.PerRunner > 0 {
		c.starts = make(map[*tasks.Runner]int)
	}
	return c
}

// serveNextTask places the next task of the organisation's first step, and reports whether the step is finished.
func (p *pass) serveNextTask(q *shareQueue, s *tasks.Step) bool {
	if q.current == nil {
		q.current = p.newSharedStep(s)
	}
	c := q.current
	if c.starts != nil {
		shared := p.stepStarts
		p.stepStarts = c.starts
		defer func() { p.stepStarts = shared }()
	}
	for c.next < len(s.Tasks) {
		t := s.Tasks[c.next]
		c.next++
		if !p.isDue(t) {
			continue
		}
		planned := len(p.out.Starts)
		isPlaced := p.placeTask(t, c.stepPlacement)
		c.hasStarted = c.hasStarted || len(p.out.Starts) > planned
		if isPlaced {
			return false
		}
		break
	}
	p.finishPlacement(s, c.stepPlacement)
	return true
}
