package tasks

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

type (
	// Advice holds the answers of the advice service on one step, under the present policy of its queue.
	Advice struct {
		// Generation counts the policies under which advice was kept. An answer to a call of a former generation is not recorded.
		Generation int
		// Pending counts the calls of this generation in flight.
		Pending int
		// Asked holds the runners that the latest calls named, those that were made together.
		Asked []Incarnation
		// Answers holds the latest answer for each runner that was named in a call.
		Answers map[Incarnation]RunnerAdvice
		// Allowed lists the runners that any answer has allowed, in the order of the answers, including those that a
		// later answer did not allow; RunnerAdvice.Allowed tells of the latest answer.
		Allowed []Incarnation
		// allowedRunners holds the runners that were found for Allowed, which AllowedRunner looks up again once they are replaced.
		allowedRunners []*Runner
		// Place is where a gang fitted when the latest calls for its tickets were made; nil if they were made to find runners.
		Place []PlaceShare
	}

	// PlaceShare is the number of tasks of a gang that fit on one runner.
	PlaceShare struct {
		Incarnation Incarnation
		Count       int
	}

	// Shares estimates, for each queue, the part of the named runners that its steps are usually allowed, from 0 to 1.
	Shares struct {
		queues map[specs.QueueName]float64
	}

	// Incarnation names one boot of a runner.
	Incarnation struct {
		Runner specs.RunnerID
		Boot   specs.Boot
	}

	// RunnerAdvice is the latest answer on one runner.
	RunnerAdvice struct {
		// Allowed reports whether the answer held a permit for the runner.
		Allowed bool
		// Ticket is the ticket of the permit.
		Ticket agent.Ticket
		// Until is when the ticket expires.
		Until time.Time
	}
)

const (
	// defaultShare is the share of a queue that has had no answers.
	defaultShare = 0.3
	// shareSmoothing is the divisor of the moving average of a queue's share: a new answer has the weight
	// 1/shareSmoothing.
	shareSmoothing = 8
)

// NewShares returns an estimator without observations.
func NewShares() *Shares {
	return &Shares{queues: make(map[specs.QueueName]float64)}
}

// Of returns the estimated share of a queue.
func (s *Shares) Of(q specs.QueueName) float64 {
	if share, ok := s.queues[q]; ok {
		return share
	}
	return defaultShare
}

// Learn adds the answer to one call: how many of the runners that it named were allowed.
func (s *Shares) Learn(q specs.QueueName, named, allowed int) {
	if named == 0 {
		return
	}
	share := s.Of(q)
	s.queues[q] = share + (float64(allowed)/float64(named)-share)/shareSmoothing
}

// Incarnation returns the runner's current incarnation.
func (r *Runner) Incarnation() Incarnation {
	return Incarnation{Runner: r.Info.ID, Boot: r.Info.Boot}
}

// Reset forgets all answers, since they were asked for under a former policy of the queue.
func (a *Advice) Reset() {
	*a = Advice{Generation: a.Generation + 1}
}

// RecordAnswer records the answer to a call for advice that named the given runners: those without a permit are not
// allowed. Tickets are valid until the given time.
func (a *Advice) RecordAnswer(named []Incarnation, permits []agent.Permit, until time.Time) {
	if a.Answers == nil {
		a.Answers = make(map[Incarnation]RunnerAdvice, len(named))
	}
	tickets := make(map[specs.RunnerID]agent.Ticket, len(permits))
	for _, p := range permits {
		tickets[p.Runner] = p.Ticket
	}
	for _, incarnation := range named {
		ticket, allowed := tickets[incarnation.Runner]
		if allowed && !slices.Contains(a.Allowed, incarnation) {
			a.Allowed = append(a.Allowed, incarnation)
		}
		a.Answers[incarnation] = RunnerAdvice{Allowed: allowed, Ticket: ticket, Until: until}
	}
}

// AllowedRunner returns the runner whose incarnation a.Allowed holds at the index, or nil when that is no longer the current one.
func (t *Table) AllowedRunner(a *Advice, index int) *Runner {
	for len(a.allowedRunners) < len(a.Allowed) {
		a.allowedRunners = append(a.allowedRunners, nil)
	}
	i := a.Allowed[index]
	if r := a.allowedRunners[index]; r != nil && r.Incarnation() == i && t.isCurrent(r) {
		return r
	}
	r := t.Runners[i.Runner]
	if r != nil && r.Info.Boot != i.Boot {
		r = nil
	}
	a.allowedRunners[index] = r
	return r
}

// Permit returns the answer that allows a runner; false means that there is no ticket for it that is valid up to the given time.
func (a *Advice) Permit(incarnation Incarnation, until time.Time) (RunnerAdvice, bool) {
	answer, ok := a.Answers[incarnation]
	if !ok || !answer.Allowed || answer.Until.Before(until) {
		return RunnerAdvice{}, false
	}
	return answer, true
}
