package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
)

const (
	// minPlanInterval is the minimum time between two plans.
	minPlanInterval = 8 * time.Millisecond
	// planShareDivisor limits the share of the time that planning takes: under overload, plans take long, and renewals,
	// results and callers' requests must not wait for one after the other.
	planShareDivisor = 4
	// restInterval is the time between two plans that also serve steps that rank too late for their turns.
	restInterval = 50 * time.Millisecond
)

// planLoop plans whenever something has changed, at most once in each minPlanInterval, and so seldom that planning takes at
// most one part in planShareDivisor of the time.
func (o *Owner) planLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.planWake:
		}
		took := o.executePlan()
		o.sleep(max(minPlanInterval, (planShareDivisor-1)*took))
	}
}

// executePlan plans once, and begins the starts and the calls for advice of the plan. It returns how long that took. It plans nothing while
// writes are stalled: no start is sent before its intent is durable, and tickets would have expired by then.
func (o *Owner) executePlan() time.Duration {
	defer o.turns.Begin(turnPlan)()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handedOver || !o.knowsDirectory() || o.stalledFor() > maxStallTimeout {
		return 0
	}
	o.applyCatalog()
	began := o.config.Clock.Now()
	plan := order.MakePlan(o.table, began, o.planLimits(began))
	o.planResume = plan.Resume
	o.counters.planDuration.UpdateSince(began)
	o.counters.stepsUnserved.Update(int64(plan.Unserved))
	o.load.sums.unserved = max(o.load.sums.unserved, plan.Unserved)
	starts := o.window.takeStarts(plan.Starts)
	for _, s := range starts {
		o.recordStart(s)
	}
	o.gangWaits.note(plan.GangWaits, began)
	o.noteGangStarts(starts, began)
	o.noteQuotaWaits(plan.WaitingForQuota, began)
	for _, a := range o.window.takeAdvice(plan.AdviceCalls) {
		o.requestAdvice(a)
	}
	took := o.config.Clock.Since(began)
	o.load.sums.plans += took
	return took
}

// planLimits returns the bounds of a plan that is made now. The caller must hold o.mu.
func (o *Owner) planLimits(now time.Time) order.Limits {
	limits := order.Limits{
		AdviceBudget: o.adviceBudget(), TicketMargin: ticketMargin + o.writeLatency + o.load.ticketDelay(),
		ServeRest: now.Sub(o.restServedAt) >= restInterval, Resume: o.planResume,
	}
	if limits.ServeRest {
		o.restServedAt = now
	}
	return limits
}
