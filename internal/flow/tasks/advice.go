package tasks

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

type (
	// Advice holds the answers of the advice service on one step.
	Advice struct {
		// Pending counts the calls in flight.
		Pending int
		// Asked holds the runners that the latest call named.
		Asked []Incarnation
		// Answers holds the latest answer for each runner that was named in a call.
		Answers map[Incarnation]RunnerAdvice
		// Allowed lists the runners that any answer has allowed, in the order of the answers.
		Allowed []Incarnation
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

	// RunnerAdvice is the latest advice on one runner.
	RunnerAdvice struct {
		Allowed bool
		Ticket  agent.Ticket
		// Until is when the ticket expires.
		Until time.Time
	}
)

const (
	// defaultShare is the share of a queue that has had no answers.
	defaultShare = 0.3
	// shareWeight is the weight of one answer in a queue's share, as one in so many.
	shareWeight = 8
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
	s.queues[q] = share + (float64(allowed)/float64(named)-share)/shareWeight
}

// Incarnation returns the runner's current incarnation.
func (r *Runner) Incarnation() Incarnation {
	return Incarnation{Runner: r.Info.ID, Boot: r.Info.Boot}
}

// RecordAnswer records the answer to a call for advice: the runners without a permit are not allowed. Tickets are
// valid until the given time.
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

// Ticket returns the ticket for a runner; false means that there is none that is valid up to the given time.
func (a *Advice) Ticket(incarnation Incarnation, until time.Time) (agent.Ticket, bool) {
	answer, ok := a.Answers[incarnation]
	if !ok || !answer.Allowed || answer.Until.Before(until) {
		return "", false
	}
	return answer.Ticket, true
}
