package front

import (
	"context"
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// callLeader calls the leader and retries until it answers. Before a call is in doubt, it retries for leaderTimeout at
// most; after that, until the caller's deadline. All calls can be repeated safely, since a job is identified by its id.
// No call is begun so late that its answer would miss the caller's deadline: the call would then be in doubt, where
// without it the caller gets a definite refusal.
func (f *Front) callLeader(ctx context.Context, method peer.Method, args, reply any) error {
	began := f.config.Clock.Now()
	inDoubt := false
	for {
		err := f.tryLeader(ctx, method, args, reply)
		if err == nil || isFinal(err) {
			return f.callerError(inDoubt, err)
		}
		inDoubt = inDoubt || errs.Is(err, errs.Lost)
		mayRetry := inDoubt || f.config.Clock.Since(began) < leaderTimeout
		if !mayRetry || f.isDeadlineNear(ctx) {
			return f.callerError(inDoubt, err)
		}
		every.Sleep(ctx, f.config.Clock, retryBackoff)
	}
}

// isDeadlineNear reports whether the time left until the deadline of ctx is too short for another call.
func (f *Front) isDeadlineNear(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && deadline.Sub(f.config.Clock.Now()) < retryBackoff+minCallTime)
}

// isFinal reports whether a retry would bring the same answer: err is a decision of the leader, or a refusal that names
// the time after which to retry.
func isFinal(err error) bool {
	return errs.Of(err).RetryAfter > 0 || !errs.Is(err, errs.Lost, errs.Unavailable, errs.Draining, errs.Fenced)
}

// callerError converts the error of the last try into the one that the caller gets. After a try that is in doubt it
// never returns a definite refusal but an error of kind Lost, except for NotFound and Conflict, which the leader has confirmed: a
// job that an earlier try had submitted would be in its tables.
func (f *Front) callerError(inDoubt bool, err error) error {
	switch {
	case err == nil:
		return nil
	case errs.Is(err, errs.NotFound, errs.Conflict):
		return err
	case inDoubt:
		f.callMetrics.lost.Inc(1)
		return errs.New(errs.Lost, "the leader's answer did not arrive: %v", err)
	case errs.Of(err).RetryAfter == 0 && errs.Is(err, errs.Unavailable, errs.Fenced):
		f.callMetrics.refused.Inc(1)
		return errs.After(errs.Unavailable, retryAfter, "%s", errs.Of(err).Message)
	default:
		f.callMetrics.refused.Inc(1)
		return err
	}
}

// tryLeader makes one call to the leader. If the leader's VM refuses the connection, its process has ended, and the
// leader is marked as suspected. So is a leader that says for deniedTimeout that it does not lead.
func (f *Front) tryLeader(ctx context.Context, method peer.Method, args, reply any) error {
	leader, ok := f.elector.Leader()
	if !ok {
		return errs.New(errs.Unavailable, "no leader is known")
	}
	if ctx.Err() != nil {
		return errs.New(errs.Unavailable, "the request has ended before the leader was called: %v", ctx.Err())
	}
	limited, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	err := f.callDaemon(limited, leader.Target, method, args, reply)
	switch {
	case isConnectionRefused(err):
		f.elector.SuspectLeader(leader.Epoch, "connection refused: the process of the leader has ended")
	case f.denials.note(leader.Epoch, err, f.config.Clock.Now()):
		f.elector.SuspectLeader(leader.Epoch, "the leader answers that it does not lead")
	}
	return err
}

// callDaemon makes one call to a daemon as the leader, which may be this one.
func (f *Front) callDaemon(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	if to.VM == f.config.Self.VM {
		return f.serveLocally(ctx, args, reply)
	}
	fresh := newReply(reply)
	if err := f.config.Peers.Call(ctx, to, method, args, fresh); err != nil {
		return err
	}
	copyReply(reply, fresh)
	return nil
}

// requestTakeover asks the other daemons to take over leadership, since the store does not accept this leader's writes.
// It does so only if the store answers one of them and this daemon's writes are still stalled takeoverDelay later.
func (f *Front) requestTakeover(ctx context.Context, epoch types.Epoch, isStalled func() bool) {
	reached := f.broadcast(ctx, methodProbe, &RelieveArgs{Epoch: epoch})
	if !reached {
		return
	}
	every.Sleep(ctx, f.config.Clock, takeoverDelay)
	if isStalled() {
		f.broadcast(ctx, methodRelieve, &RelieveArgs{Epoch: epoch})
	}
}

// broadcast calls all other daemons and reports whether one of them answered without an error. It returns at the first
// such answer; the other calls go on until they are answered or time out, so that every daemon is asked.
func (f *Front) broadcast(ctx context.Context, method peer.Method, args *RelieveArgs) bool {
	limited, cancel := context.WithTimeout(ctx, takeoverTimeout)
	var wg sync.WaitGroup
	answered := make(chan struct{}, 1)
	for _, m := range f.elector.Members() {
		if m.VM == f.config.Self.VM {
			continue
		}
		wg.Go(func() {
			if err := f.config.Peers.Call(limited, m, method, args, &Empty{}); err != nil {
				f.config.Log.Debug().Err(err).Str("VM", string(m.VM)).Msg("peer failed the store check or the takeover request")
				return
			}
			select {
			case answered <- struct{}{}:
			default:
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		wg.Wait()
		cancel()
		close(finished)
	}()
	select {
	case <-answered:
		return true
	case <-finished:
		return len(answered) > 0
	}
}
