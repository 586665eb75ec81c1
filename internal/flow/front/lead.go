package front

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// callLeader calls the lead until it answers, or for as long as a lead may be found soon. All its calls may be made
// again: a job is known by its id. No call is begun so late that its answer would miss the caller: its fate would
// not be known, where before a refusal was certain.
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
		f.sleep(ctx, retryBackoff)
	}
}

// isDeadlineNear tells whether the time left is too short for another call.
func (f *Front) isDeadlineNear(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && deadline.Sub(f.config.Clock.Now()) < retryBackoff+minCallTime)
}

// isFinal tells whether another try would bring the same answer: it is a decision, or a refusal with a time after
// which to come back.
func isFinal(err error) bool {
	return errs.Of(err).RetryAfter > 0 || !errs.Is(err, errs.Lost, errs.Unavailable, errs.Draining, errs.Fenced)
}

// callerError turns an error into what callers may conclude: after a try whose fate is not known, no refusal is
// certain any more.
func (f *Front) callerError(inDoubt bool, err error) error {
	switch {
	case err == nil:
		return nil
	case errs.Is(err, errs.NotFound):
		return err
	case inDoubt:
		f.callMetrics.lost.Inc(1)
		return errs.New(errs.Lost, "the lead's answer did not arrive: %v", err)
	case errs.Of(err).RetryAfter == 0 && errs.Is(err, errs.Unavailable):
		f.callMetrics.refused.Inc(1)
		return errs.After(errs.Unavailable, retryAfter, "%s", errs.Of(err).Message)
	default:
		f.callMetrics.refused.Inc(1)
		return err
	}
}

func (f *Front) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.config.Clock.After(d):
	}
}

// tryLeader makes one call to the daemon that leads.
func (f *Front) tryLeader(ctx context.Context, method peer.Method, args, reply any) error {
	leader, ok := f.elector.Leader()
	if !ok {
		return errs.New(errs.Unavailable, "no daemon leads")
	}
	limited, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	if leader.Target.VM == f.config.Self.VM {
		return f.serveLocally(limited, args, reply)
	}
	fresh := newReply(reply)
	err := f.config.Peers.Call(limited, leader.Target, method, args, fresh)
	if err == nil {
		copyReply(reply, fresh)
		return nil
	}
	if isConnectionRefused(err) {
		f.elector.SuspectLeader(leader.Epoch, "its process has ended")
	}
	return err
}

// requestTakeover has another daemon take the lead over, since the store does not take this one's writes: if it answers one
// of the others, and after that this one still cannot write.
func (f *Front) requestTakeover(ctx context.Context, epoch types.Epoch, isStalled func() bool) {
	reached := f.broadcast(ctx, methodProbe, &RelieveArgs{Epoch: epoch})
	if !reached {
		return
	}
	f.sleep(ctx, takeoverDelay)
	if isStalled() {
		f.broadcast(ctx, methodRelieve, &RelieveArgs{Epoch: epoch})
	}
}

// broadcast calls all other daemons, and tells whether one of them answered without an error.
func (f *Front) broadcast(ctx context.Context, method peer.Method, args *RelieveArgs) bool {
	limited, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answered := make(chan struct{}, 1)
	for _, m := range f.elector.Members() {
		if m.VM == f.config.Self.VM {
			continue
		}
		wg.Go(func() {
			if err := f.config.Peers.Call(limited, m, method, args, &Empty{}); err != nil {
				f.config.Log.Debug().Err(err).Str("VM", string(m.VM)).Msg("peer cannot take the lead over")
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
		close(finished)
	}()
	select {
	case <-answered:
		return true
	case <-finished:
		return len(answered) > 0
	}
}
