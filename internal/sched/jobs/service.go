package jobs

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/lead"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Service is what other daemons call. Its methods have the form of net/rpc.
type Service struct {
	jobs *Jobs
}

// Register makes the service callable.
func (j *Jobs) Register(r peer.Registrar) error {
	return r.Register(serviceName, &Service{jobs: j})
}

// Submit accepts a job at this daemon's lead.
func (s *Service) Submit(job *types.Job, reply *types.JobStatus) error {
	return s.serve(reply, func(ctx context.Context) (types.JobStatus, error) {
		return s.jobs.cfg.Local.Submit(ctx, *job)
	})
}

// Cancel cancels a job at this daemon's lead.
func (s *Service) Cancel(id *types.JobID, reply *types.JobStatus) error {
	return s.serve(reply, func(ctx context.Context) (types.JobStatus, error) {
		return s.jobs.cfg.Local.Cancel(ctx, *id)
	})
}

// Status asks this daemon's lead about a job.
func (s *Service) Status(id *types.JobID, reply *types.JobStatus) error {
	return s.serve(reply, func(ctx context.Context) (types.JobStatus, error) {
		return s.jobs.cfg.Local.Status(ctx, *id)
	})
}

// Take takes a job in that another data centre hands over. Any entry passes it on to its lead.
func (s *Service) Take(t *lead.Transfer, reply *lead.Taken) error {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.jobs.cfg.Clock, callTimeout)
	defer cancel()
	taken, err := s.jobs.acceptTransfer(ctx, *t)
	*reply = taken
	return peer.Wire(err)
}

// Summary tells another data centre how much room there is here. Any entry passes it on to its lead.
func (s *Service) Summary(q *lead.SummaryQuery, reply *table.Peer) error {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.jobs.cfg.Clock, callTimeout)
	defer cancel()
	summary, err := s.jobs.leaderSummary(ctx, *q)
	*reply = summary
	return peer.Wire(err)
}

func (s *Service) serve(reply *types.JobStatus, handle func(ctx context.Context) (types.JobStatus, error)) error {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.jobs.cfg.Clock, callTimeout)
	defer cancel()
	status, err := handle(ctx)
	*reply = status
	return peer.Wire(err)
}

func (j *Jobs) leaderSummary(ctx context.Context, q lead.SummaryQuery) (table.Peer, error) {
	to, _, ok := j.cfg.Find(j.cfg.Self.Site.DataCentre)
	if !ok {
		return table.Peer{}, errs.New(errs.Unavailable, "no lead of %s is known", j.cfg.Self.Site.DataCentre)
	}
	if to.VM == j.cfg.Self.VM || q.Passed {
		return j.cfg.Local.Summary(ctx)
	}
	q.Passed = true
	var out table.Peer
	if err := j.cfg.Peers.Call(ctx, to, lead.MethodSummary, &q, &out); err != nil {
		// A late answer may still be written to out.
		return table.Peer{}, err
	}
	return out, nil
}

func (j *Jobs) acceptTransfer(ctx context.Context, t lead.Transfer) (lead.Taken, error) {
	to, _, ok := j.cfg.Find(j.cfg.Self.Site.DataCentre)
	if !ok {
		return lead.Taken{}, errs.New(errs.Unavailable, "no lead of %s is known", j.cfg.Self.Site.DataCentre)
	}
	if to.VM == j.cfg.Self.VM || t.Passed {
		return j.cfg.Local.AcceptTransfer(ctx, t)
	}
	t.Passed = true
	var out lead.Taken
	if err := j.cfg.Peers.Call(ctx, to, lead.MethodTake, &t, &out); err != nil {
		// A late answer may still be written to out.
		return lead.Taken{}, err
	}
	return out, nil
}
