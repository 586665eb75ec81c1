package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// adviceSlack is how much longer than its own work a call for advice may take.
	adviceSlack = 1500 * time.Millisecond
	// ticketSlack shortens the validity of tickets by the time that the answer was under way.
	ticketSlack = 60 * time.Millisecond
)

// ask makes a call for advice. The caller holds the lock.
func (o *Owner) ask(a order.AdviceCall) {
	s := a.Step
	policy := s.Job.Spec.Queue.Advice
	s.Advice.Pending++
	o.counters.asks.Inc(1)
	lives := make([]tasks.Incarnation, 0, len(a.Runners))
	for _, r := range a.Runners {
		lives = append(lives, r.Incarnation())
	}
	s.Advice.Asked = lives
	_, judged := s.Advice.Answers[lives[0]]
	fresh := !judged
	began := o.config.Clock.Now()
	limit := policy.CallDuration(len(lives)) + adviceSlack
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, limit)
		defer cancel()
		permits, err := o.config.Advise(ctx, s.Ref, *policy, lives)
		o.mu.Lock()
		defer o.mu.Unlock()
		s.Advice.Pending--
		if err != nil {
			o.counters.denied.Inc(1)
			o.config.Log.Info().Err(err).Str("Step", s.Ref.String()).Msg("no advice")
			return
		}
		now := o.config.Clock.Now()
		o.counters.advice.Update(now.Sub(began))
		if s.Job.Advised.IsZero() {
			s.Job.Advised = now
		}
		if fresh {
			o.table.Shares.Learn(s.Job.Spec.Queue.Name, len(lives), len(permits))
		}
		s.Advice.RecordAnswer(lives, permits, now.Add(policy.Validity-ticketSlack))
		wake(o.planWake)
	}()
}

// adviceRoom returns how much more work the advice service may be given now. The caller holds the lock.
func (o *Owner) adviceRoom() specs.AdviceBudget {
	if o.recalling {
		return specs.AdviceBudget{}
	}
	return o.config.AdviceBudget()
}

// recall collects the advice that former leads had on the steps that wait.
func (o *Owner) recall() {
	o.mu.Lock()
	defer o.mu.Unlock()
	steps := o.advisedSteps()
	if o.config.CollectCachedAdvice == nil || len(steps) == 0 {
		return
	}
	o.recalling = true
	o.loops.Go(func() {
		o.config.CollectCachedAdvice(o.ctx, steps, o.recalled)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.recalling = false
		wake(o.planWake)
	})
}

// advisedSteps returns the steps with waiting tasks whose queue needs advice.
func (o *Owner) advisedSteps() []specs.StepRef {
	var out []specs.StepRef
	for _, j := range o.table.Jobs {
		if j.Spec.Queue.Advice == nil {
			continue
		}
		for _, group := range j.Occurrences {
			for _, s := range group.Steps {
				if s.CanStart() {
					out = append(out, s.Ref)
				}
			}
		}
	}
	return out
}

// recalled takes in what one daemon remembers.
func (o *Owner) recalled(notes []CachedAdvice) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	for _, n := range notes {
		t := o.table.Task(specs.Ref{StepRef: n.Step})
		if t != nil {
			t.Step.Advice.RecordAnswer(n.Asked, n.Permits, now.Add(n.Left-ticketSlack))
		}
	}
	wake(o.planWake)
}
