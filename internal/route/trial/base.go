package trial

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// Baselines choose a runner without limits, queues or retries.
const (
	RoundRobin  Baseline = "RoundRobin"
	Random      Baseline = "Random"
	LeastLoaded Baseline = "LeastLoaded"
)

type (
	// Baseline names a way to choose a runner.
	Baseline string

	// baselineSender sends each request immediately to a runner of any data centre.
	baselineSender struct {
		kind      Baseline
		cell      *Cell
		inner     runner.Runner
		upstreams []runner.Upstream
		busy      []atomic.Int64
		nextIndex atomic.Uint64
	}
)

// Baselines returns one sender for each daemon of the cell; all of them use the baseline.
func (c *Cell) Baselines(kind Baseline) []Sender {
	var ups []runner.Upstream
	for _, site := range Sites() {
		ups = append(ups, c.Upstreams(site.DataCentre)...)
	}
	out := make([]Sender, 0, len(c.Daemons))
	for i, d := range c.Daemons {
		s := &baselineSender{
			kind: kind, cell: c, inner: c.newDelayedRunner(d.Self.Site, d.Meter), upstreams: ups,
			busy: make([]atomic.Int64, len(ups)),
		}
		s.nextIndex.Store(uint64(i * len(ups) / len(c.Daemons)))
		out = append(out, s)
	}
	return out
}

// Mint returns a new request id. It always succeeds.
func (s *baselineSender) Mint() (types.RequestID, error) {
	return once.Mint("none", once.Mark{}), nil
}

// Do sends the request to one runner and returns its answer. The outcome is NotRun when the runner is overloaded, and
// Unknown after any other error.
func (s *baselineSender) Do(ctx context.Context, req *types.Request) *types.Answer {
	i := s.chooseUpstream()
	s.busy[i].Add(1)
	defer s.busy[i].Add(-1)
	limited, cancel := clockwork.WithDeadline(ctx, s.cell.Config.Clock, req.Deadline)
	defer cancel()
	reply, err := s.inner.Call(limited, s.upstreams[i], runner.Call{
		ID: req.ID, Service: req.Service, Deadline: req.Deadline, Body: req.Body,
	})
	switch {
	case err == nil:
		return types.NewDoneAnswer(reply.ID, reply.Body)
	case errs.Is(err, errs.Overloaded):
		return types.NewUnfinishedAnswer(req.ID, types.OutcomeNotRun, err)
	default:
		return types.NewUnfinishedAnswer(req.ID, types.OutcomeUnknown, err)
	}
}

func (s *baselineSender) chooseUpstream() int {
	switch s.kind {
	case RoundRobin:
		return int(s.nextIndex.Add(1) % uint64(len(s.upstreams)))
	case Random:
		return rand.IntN(len(s.upstreams))
	default:
		return s.leastLoaded()
	}
}

func (s *baselineSender) leastLoaded() int {
	start := rand.IntN(len(s.upstreams))
	best := start
	for i := range s.upstreams {
		j := (start + i) % len(s.upstreams)
		if s.busy[j].Load() < s.busy[best].Load() {
			best = j
		}
	}
	return best
}
