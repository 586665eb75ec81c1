package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// askedCapacityFactor is how many times the needed capacity is asked about, since free capacity changes before
	// the tickets arrive.
	askedCapacityFactor = 4
	// minAskedRunners is the least number of runners that a call names, if there are that many.
	minAskedRunners = 12
	// gangCallRunners is how many runners one call for a gang names at most, maxGangCalls how many calls are made for a
	// gang at the same time.
	gangCallRunners = 50
	maxGangCalls    = 8
	// maxKnownRunners is how many runners a step may have answers about before it asks about no more, unless none of those
	// that it is allowed is usable: the answers of many waiting steps take much of the leader's memory.
	maxKnownRunners = 800
)

// candidates collects the runners that a call for advice on a step names.
type candidates struct {
	pass  *pass
	step  *tasks.Step
	named []*runnerCapacity
	// wanted is for how many tasks runners are still to be named, share the part of them that is usually allowed.
	wanted float64
	share  float64
}

// requestAdvice plans calls for advice on runners that the service was never asked about: as many as should hold the
// waiting tasks askedCapacityFactor times, given the share of the runners that its queue is usually allowed, but at least
// minAskedRunners and at most maxNamed. Runners that have free capacity now come first, since a ticket for a full
// one expires unused; full ones follow only if they are included.
func (p *pass) requestAdvice(s *tasks.Step, includeFull bool) {
	if !p.canCallAdvice(s) || p.askable[s.Job.Spec.Queue.Service] <= 0 {
		return
	}
	if len(s.Advice.Answers) >= maxKnownRunners && !includeFull {
		return
	}
	wanted := p.wantedTasks(s)
	if wanted == 0 {
		return
	}
	c := candidates{pass: p, step: s, wanted: float64(wanted) * askedCapacityFactor, share: p.table.Shares.Of(s.Job.Spec.Queue.Name)}
	if s.Spec.Gang {
		c.addEmptiest()
	} else {
		c.add(p.roomyRunners(s), func(n int) bool { return n > 0 })
	}
	if includeFull {
		c.add(p.runnersFor(s), func(n int) bool { return n == 0 })
	}
	p.addAdviceCall(s, c.named, nil)
}

// isEnough reports whether no more runners need to be named.
func (c *candidates) isEnough() bool {
	return len(c.named) == maxNamed(c.step) || (c.wanted <= 0 && len(c.named) >= minAskedRunners)
}

// addRunner names a runner on which count tasks fit now.
func (c *candidates) addRunner(r *runnerCapacity, count int) {
	c.named = append(c.named, r)
	c.wanted -= c.share * float64(max(count, 1))
}

// mayRun reports whether the runner could run the step and the advice service was never asked about it.
func (c *candidates) mayRun(r *runnerCapacity) bool {
	_, known := c.step.Advice.Answers[r.runner.Incarnation()]
	return !known && canRun(c.step, r)
}

// add names those of the runners on which an accepted number of tasks fits now, in the order of their ids, so that work fills some
// and leaves others to gangs.
func (c *candidates) add(runners []*runnerCapacity, accept func(count int) bool) {
	for _, r := range runners {
		if c.isEnough() {
			return
		}
		if n := c.pass.countFitting(c.step, r); accept(n) && c.mayRun(r) {
			c.addRunner(r, n)
		}
	}
}

// addEmptiest names the runners on which the most tasks fit now.
func (c *candidates) addEmptiest() {
	runners := c.pass.roomyRunners(c.step)
	counts := c.pass.counts[:0]
	highest := 0
	for _, r := range runners {
		n := c.pass.countFitting(c.step, r)
		counts, highest = append(counts, n), max(highest, n)
	}
	c.pass.counts = counts
	for highest > 0 {
		highest = c.addWithCount(runners, counts, highest)
	}
}

// addWithCount names the runners on which the given number of tasks fits, in the order of their ids. It returns the next lower count
// that there is, or 0 if no more runners need to be named.
func (c *candidates) addWithCount(runners []*runnerCapacity, counts []int, count int) int {
	next := 0
	for i, n := range counts {
		if n != count {
			if n < count {
				next = max(next, n)
			}
			continue
		}
		if c.isEnough() {
			return 0
		}
		if c.mayRun(runners[i]) {
			c.addRunner(runners[i], n)
		}
	}
	return next
}

// canCallAdvice reports whether a call for advice on the step may be made now: none is in flight, and the budget allows
// a call.
func (p *pass) canCallAdvice(s *tasks.Step) bool {
	return s.Advice.Pending == 0 && p.limits.AdviceBudget.Allows(s.Job.Spec.Queue.Advice.CallDuration(1))
}

// addAdviceCall adds calls for advice on the runners to the plan, unless one is in flight or the budget is spent. Place is
// the capacity on which a gang fits when the calls request its tickets; nil for other calls.
func (p *pass) addAdviceCall(s *tasks.Step, runners []*runnerCapacity, place []tasks.PlaceShare) {
	if s.Advice.Pending > 0 || len(runners) == 0 {
		return
	}
	planned := len(p.out.AdviceCalls)
	for chunk := range slices.Chunk(runners, maxPerCall(s)) {
		if !p.limits.AdviceBudget.Spend(s.Job.Spec.Queue.Advice.CallDuration(len(chunk))) {
			break
		}
		call := AdviceCall{Step: s, Place: place}
		for _, r := range chunk {
			call.Runners = append(call.Runners, r.runner)
		}
		p.out.AdviceCalls = append(p.out.AdviceCalls, call)
	}
	if len(p.out.AdviceCalls) > planned {
		p.accountForAdvice(s)
	}
}

// maxPerCall returns how many runners one call for advice on the step names at most. Calls for a gang are short and made
// at the same time, through several daemons: all tickets of a gang must be valid together.
func maxPerCall(s *tasks.Step) int {
	if s.Spec.Gang {
		return gangCallRunners
	}
	return agent.MaxAdvised
}

// maxNamed returns how many runners the calls for advice on the step name together at most.
func maxNamed(s *tasks.Step) int {
	if s.Spec.Gang {
		return gangCallRunners * maxGangCalls
	}
	return agent.MaxAdvised
}
