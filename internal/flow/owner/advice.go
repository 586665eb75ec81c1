package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// adviceMargin is how much longer than the work of the advice service a call for advice may take.
	adviceMargin = 1500 * time.Millisecond
	// answerMargin is subtracted from the validity of tickets for the time that the answer was in transit.
	answerMargin = 60 * time.Millisecond
)

// requestAdvice makes a call for advice in the background. The caller must hold o.mu.
func (o *Owner) requestAdvice(a order.AdviceCall) {
	s := a.Step
	policy := s.Job.Spec.Queue.Advice
	o.counters.adviceCalls.Inc(1)
	incarnations := make([]tasks.Incarnation, 0, len(a.Runners))
	for _, r := range a.Runners {
		incarnations = append(incarnations, r.Incarnation())
	}
	if s.Advice.Pending == 0 {
		s.Advice.Asked = nil
	}
	end := o.beginAdvice(s)
	s.Advice.Place = a.Place
	s.Advice.Asked = append(s.Advice.Asked, incarnations...)
	// The share of the queue is learned only from calls whose first runner has no answer yet.
	_, answered := s.Advice.Answers[incarnations[0]]
	firstAnswer := !answered
	generation := s.Advice.Generation
	began := o.config.Clock.Now()
	timeout := policy.CallDuration(len(incarnations)) + adviceMargin
	go o.guarded("advice", func() {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		permits, err := o.config.Advise(ctx, s.Ref, *policy, incarnations)
		o.mu.Lock()
		defer o.mu.Unlock()
		end()
		if err != nil {
			o.counters.adviceFailures.Inc(1)
			o.config.Log.Info().Err(err).Str("Step", s.Ref.String()).Msg("advice call failed; a later plan asks again")
			return
		}
		now := o.config.Clock.Now()
		o.counters.adviceLatency.Update(now.Sub(began))
		if s.Advice.Generation != generation {
			o.counters.adviceOutdated.Inc(1)
			return
		}
		if s.Job.Advised.IsZero() {
			s.Job.Advised = now
		}
		if firstAnswer {
			o.table.Shares.Learn(s.Job.Spec.Queue.Name, len(incarnations), len(permits))
		}
		s.Advice.RecordAnswer(incarnations, permits, now.Add(policy.Validity-answerMargin))
		every.Wake(o.planWake)
	})()
}

// adviceBudget returns how much more work may be given to the advice service now: none while cached advice is being
// collected. The caller must hold o.mu.
func (o *Owner) adviceBudget() specs.AdviceBudget {
	if o.collectingAdvice {
		return specs.AdviceBudget{}
	}
	return o.config.AdviceBudget()
}

// collectCachedAdvice begins to collect the advice that former leaders received on the waiting steps.
func (o *Owner) collectCachedAdvice() {
	o.mu.Lock()
	defer o.mu.Unlock()
	steps := o.stepsNeedingAdvice()
	if o.config.CollectCachedAdvice == nil || len(steps) == 0 {
		return
	}
	o.collectingAdvice = true
	o.loops.Go(func() {
		o.config.CollectCachedAdvice(o.ctx, steps, o.addCachedAdvice)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.collectingAdvice = false
		every.Wake(o.planWake)
	})
}

// stepsNeedingAdvice returns the steps that can start and whose queue needs advice. The caller must hold o.mu.
func (o *Owner) stepsNeedingAdvice() []specs.StepRef {
	var out []specs.StepRef
	for _, j := range o.table.Jobs {
		if j.Spec.Queue.Advice == nil {
			continue
		}
		for _, occurrence := range j.Occurrences {
			for _, s := range occurrence.Steps {
				if s.CanStart() {
					out = append(out, s.Ref)
				}
			}
		}
	}
	return out
}

// addCachedAdvice adds the advice that one daemon has cached to its steps.
func (o *Owner) addCachedAdvice(cached []CachedAdvice) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	for _, c := range cached {
		t := o.table.Task(specs.Ref{StepRef: c.Step})
		if t != nil && t.Step.NeedsTicket() {
			t.Step.Advice.RecordAnswer(c.Asked, c.Permits, now.Add(c.Left-answerMargin))
		}
	}
	every.Wake(o.planWake)
}
