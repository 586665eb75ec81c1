// Package jobs forwards calls about jobs from any entry to the leader of the job's home data centre, and from there
// to the data centre that the job was handed over to.
package jobs

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/lead"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Methods that daemons call on each other.
const (
	serviceName = "Jobs"

	MethodSubmit peer.Method = "Jobs.Submit"
	MethodCancel peer.Method = "Jobs.Cancel"
	MethodStatus peer.Method = "Jobs.Status"
)

const (
	// callTimeout limits one call to a leader.
	callTimeout = 4 * time.Second
	// maxTries and retryBackoff let a call outlast a change of leader.
	maxTries     = 20
	retryBackoff = 300 * time.Millisecond
	// maxHops limits how many data centres one call asks for a job that was handed over.
	maxHops = 8
)

type (
	// Leader is the leader component of this daemon, whether or not the daemon leads now.
	Leader interface {
		Submit(ctx context.Context, job types.Job) (types.JobStatus, error)
		Cancel(ctx context.Context, id types.JobID) (types.JobStatus, error)
		Status(ctx context.Context, id types.JobID) (types.JobStatus, error)
		AcceptTransfer(ctx context.Context, t lead.Transfer) (lead.Taken, error)
		Summary(ctx context.Context) (table.Peer, error)
	}

	// FindFunc returns the leader of a data centre and its epoch, and whether they are known.
	FindFunc func(site types.DataCentre) (peer.Target, types.Epoch, bool)

	// Config holds the dependencies of Jobs.
	Config struct {
		Self  peer.Target
		Clock clockwork.Clock
		Peers peer.Caller
		Local Leader
		Find  FindFunc
	}

	// Jobs forwards calls about jobs to their leaders. It is safe for concurrent use.
	Jobs struct {
		cfg Config
	}
)

// New returns the Jobs of one entry.
func New(c Config) *Jobs {
	return &Jobs{cfg: c}
}

// Submit has the leader of the job's home data centre accept it. An error of a kind that is marked MayHaveRun
// means that the job may have been accepted; submitting it again under the same ID is safe.
func (j *Jobs) Submit(ctx context.Context, job types.Job) (types.JobStatus, error) {
	home, err := types.ParseID(string(job.ID))
	if err != nil {
		return types.JobStatus{}, err
	}
	return j.callWithRetries(ctx, home.Home, func(ctx context.Context, to peer.Target) (types.JobStatus, error) {
		if to.VM == j.cfg.Self.VM {
			return j.cfg.Local.Submit(ctx, job)
		}
		return j.call(ctx, to, MethodSubmit, &job)
	})
}

// Cancel has the data centre that owns the job cancel it.
func (j *Jobs) Cancel(ctx context.Context, id types.JobID) (types.JobStatus, error) {
	return j.followTransfers(ctx, id, func(ctx context.Context, to peer.Target) (types.JobStatus, error) {
		if to.VM == j.cfg.Self.VM {
			return j.cfg.Local.Cancel(ctx, id)
		}
		return j.call(ctx, to, MethodCancel, &id)
	})
}

// Status returns the status of the job from the data centre that owns it.
func (j *Jobs) Status(ctx context.Context, id types.JobID) (types.JobStatus, error) {
	return j.followTransfers(ctx, id, func(ctx context.Context, to peer.Target) (types.JobStatus, error) {
		if to.VM == j.cfg.Self.VM {
			return j.cfg.Local.Status(ctx, id)
		}
		return j.call(ctx, to, MethodStatus, &id)
	})
}

// leaderCall makes one call to a leader.
type leaderCall func(ctx context.Context, to peer.Target) (types.JobStatus, error)

// followTransfers calls the leader of the job's home data centre and then that of each data centre that the job
// was handed over to, until one of them owns the job.
func (j *Jobs) followTransfers(ctx context.Context, id types.JobID, call leaderCall) (types.JobStatus, error) {
	home, err := types.ParseID(string(id))
	if err != nil {
		return types.JobStatus{}, err
	}
	site := home.Home
	for range maxHops {
		status, err := j.callWithRetries(ctx, site, call)
		if err != nil || status.State != types.JobMoved {
			return status, err
		}
		site = types.DataCentre(status.Home)
	}
	return types.JobStatus{}, errs.New(errs.Internal, "job %s was handed over by each of the %d data centres that were asked", id, maxHops)
}

// callWithRetries repeats a call while the leader changes. All calls are idempotent. Once one of them may have
// taken effect, the error after the last try is of kind Unknown, so that a later refusal does not hide that.
func (j *Jobs) callWithRetries(ctx context.Context, site types.DataCentre, call leaderCall) (types.JobStatus, error) {
	inDoubt := false
	var lastErr error
	for range maxTries {
		status, err := j.callOnce(ctx, site, call)
		if !errs.Is(err, errs.Unavailable, errs.Lost, errs.Unknown, errs.Fenced) {
			return status, err
		}
		inDoubt = inDoubt || errs.AnswerOf(errs.Of(err).Kind).MayHaveRun
		lastErr = err
		if !j.waitBackoff(ctx) {
			break
		}
	}
	if inDoubt {
		lastErr = errs.New(errs.Unknown, "%s", errs.Of(lastErr).Message)
	}
	return types.JobStatus{}, lastErr
}

func (j *Jobs) callOnce(ctx context.Context, site types.DataCentre, call leaderCall) (types.JobStatus, error) {
	to, _, ok := j.cfg.Find(site)
	if !ok {
		return types.JobStatus{}, errs.After(errs.Unavailable, retryBackoff, "no leader of %s is known; nothing was done", site)
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, j.cfg.Clock, callTimeout)
	defer cancel()
	return call(callCtx, to)
}

// waitBackoff waits for retryBackoff or until ctx ends, and reports whether another try may follow.
func (j *Jobs) waitBackoff(ctx context.Context) bool {
	select {
	case <-j.cfg.Clock.After(retryBackoff):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (j *Jobs) call(ctx context.Context, to peer.Target, method peer.Method, args any) (types.JobStatus, error) {
	var out types.JobStatus
	if err := j.cfg.Peers.Call(ctx, to, method, args, &out); err != nil {
		// out must not be read: a late answer may still be written to it.
		return types.JobStatus{}, err
	}
	return out, nil
}
