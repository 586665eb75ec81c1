package tasks

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

type (
	// Advice is what is known of the runners that may run a step.
	Advice struct {
		// Pending counts the calls that are under way.
		Pending int
		// Asked holds the runners that the latest call names.
		Asked []Incarnation
		// Answers holds, for each runner that was named, whether it may run the step.
		Answers map[Incarnation]RunnerAdvice
		// Allowed lists the runners that were ever allowed, in the order of the answers.
		Allowed []Incarnation
	}

	// Shares learns which part of the runners the steps of a queue are usually allowed.
	Shares struct {
		queues map[specs.QueueName]float64
	}

	// Incarnation names one boot of a runner.
	Incarnation struct {
		Runner specs.RunnerID
		Boot   specs.Boot
	}

	// RunnerAdvice is the latest advice on one runner.
	RunnerAdvice struct {
		Allowed bool
		Ticket  agent.Ticket
		// Until is when the ticket ends.
		Until time.Time
	}
)

const (
	// defaultShare is expected of a queue of which nothing is known.
	defaultShare = 0.3
	// shareWeight is the weight of one answer in a queue's share, as one in so many.
	shareWeight = 8
)

// NewShares returns a learner that knows nothing.
func NewShares() *Shares {
	return &Shares{queues: make(map[specs.QueueName]float64)}
}

// Of returns the share of a queue.
func (s *Shares) Of(q specs.QueueName) float64 {
	if share, ok := s.queues[q]; ok {
		return share
	}
	return defaultShare
}

// Learn notes how many of the runners that one call named were allowed.
func (s *Shares) Learn(q specs.QueueName, named, allowed int) {
	if named == 0 {
		return
	}
	share := s.Of(q)
	s.queues[q] = share + (float64(allowed)/float64(named)-share)/shareWeight
}

// Incarnation returns the name of the runner's present boot.
func (r *Runner) Incarnation() Incarnation {
	return Incarnation{Runner: r.Info.ID, Boot: r.Info.Boot}
}

// RecordAnswer notes the answer to a call for advice.
func (a *Advice) RecordAnswer(asked []Incarnation, permits []agent.Permit, until time.Time) {
	if a.Answers == nil {
		a.Answers = make(map[Incarnation]RunnerAdvice, len(asked))
	}
	tickets := make(map[specs.RunnerID]agent.Ticket, len(permits))
	for _, p := range permits {
		tickets[p.Runner] = p.Ticket
	}
	for _, incarnation := range asked {
		ticket, allowed := tickets[incarnation.Runner]
		if allowed && !slices.Contains(a.Allowed, incarnation) {
			a.Allowed = append(a.Allowed, incarnation)
		}
		a.Answers[incarnation] = RunnerAdvice{Allowed: allowed, Ticket: ticket, Until: until}
	}
}

// Ticket returns the ticket for a runner that is valid up to a time.
func (a *Advice) Ticket(incarnation Incarnation, until time.Time) (agent.Ticket, bool) {
	answer, ok := a.Answers[incarnation]
	if !ok || !answer.Allowed || answer.Until.Before(until) {
		return "", false
	}
	return answer.Ticket, true
}
