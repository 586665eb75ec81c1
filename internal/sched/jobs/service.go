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

// Service holds the methods that other daemons call. They have the form that net/rpc requires.
type Service struct {
	jobs *Jobs
}

// Register makes the service callable by other daemons.
func (j *Jobs) Register(r peer.Registrar) error {
	return r.Register(serviceName, &Service{jobs: j})
}

// Submit has this daemon accept a job as leader. It does not forward the call.
func (s *Service) Submit(job *types.Job, reply *types.JobStatus) error {
	return s.serve(reply, func(ctx context.Context) (types.JobStatus, error) {
		return s.jobs.cfg.Local.Submit(ctx, *job)
	})
}

// Cancel has this daemon cancel a job as leader. It does not forward the call.
func (s *Service) Cancel(id *types.JobID, reply *types.JobStatus) error {
	return s.serve(reply, func(ctx context.Context) (types.JobStatus, error) {
		return s.jobs.cfg.Local.Cancel(ctx, *id)
	})
}

// Status has this daemon return the status of a job as leader. It does not forward the call.
func (s *Service) Status(id *types.JobID, reply *types.JobStatus) error {
	return s.serve(reply, func(ctx context.Context) (types.JobStatus, error) {
		return s.jobs.cfg.Local.Status(ctx, *id)
	})
}

// Take accepts a job that another data centre hands over. Any entry forwards the call to its leader, once.
func (s *Service) Take(t *lead.Transfer, reply *lead.Taken) error {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.jobs.cfg.Clock, callTimeout)
	defer cancel()
	taken, err := s.jobs.acceptTransfer(ctx, *t)
	*reply = taken
	return peer.Wire(err)
}

// Summary returns the free capacity of this data centre to another one. Any entry forwards the call to its leader,
// once.
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
		return table.Peer{}, errs.New(errs.Unavailable, "no leader of %s is known", j.cfg.Self.Site.DataCentre)
	}
	if to.VM == j.cfg.Self.VM || q.Passed {
		return j.cfg.Local.Summary(ctx)
	}
	q.Passed = true
	var out table.Peer
	if err := j.cfg.Peers.Call(ctx, to, lead.MethodSummary, &q, &out); err != nil {
		// out must not be read: a late answer may still be written to it.
		return table.Peer{}, err
	}
	return out, nil
}

func (j *Jobs) acceptTransfer(ctx context.Context, t lead.Transfer) (lead.Taken, error) {
	to, _, ok := j.cfg.Find(j.cfg.Self.Site.DataCentre)
	if !ok {
		return lead.Taken{}, errs.New(errs.Unavailable, "no leader of %s is known", j.cfg.Self.Site.DataCentre)
	}
	if to.VM == j.cfg.Self.VM || t.Passed {
		return j.cfg.Local.AcceptTransfer(ctx, t)
	}
	t.Passed = true
	var out lead.Taken
	if err := j.cfg.Peers.Call(ctx, to, lead.MethodTake, &t, &out); err != nil {
		// out must not be read: a late answer may still be written to it.
		return lead.Taken{}, err
	}
	return out, nil
}
