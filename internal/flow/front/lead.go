package front

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// toLead calls the lead until it answers, or for as long as a lead may be found soon. All its calls may be made
// again: a job is known by its id. No call is begun so late that its answer would miss the caller: its fate would
// not be known, where before a refusal was certain.
func (f *Front) toLead(ctx context.Context, method peer.Method, args, reply any) error {
	began := f.config.Clock.Now()
	unsure := false
	for {
		err := f.try(ctx, method, args, reply)
		if err == nil || final(err) {
			return f.verdict(unsure, err)
		}
		unsure = unsure || errs.Is(err, errs.Lost)
		patient := unsure || f.config.Clock.Since(began) < leadPatience
		if !patient || f.expiring(ctx) {
			return f.verdict(unsure, err)
		}
		f.sleep(ctx, tryPause)
	}
}

// expiring tells whether the time left is too short for another call.
func (f *Front) expiring(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && deadline.Sub(f.config.Clock.Now()) < tryPause+leastTry)
}

// final tells whether another try would bring the same answer: it is a decision, or a refusal with a time after
// which to come back.
func final(err error) bool {
	return errs.Of(err).RetryAfter > 0 || !errs.Is(err, errs.Lost, errs.Unavailable, errs.Draining, errs.Fenced)
}

// verdict turns an error into what callers may conclude: after a try whose fate is not known, no refusal is
// certain any more.
func (f *Front) verdict(unsure bool, err error) error {
	switch {
	case err == nil:
		return nil
	case errs.Is(err, errs.NotFound):
		return err
	case unsure:
		f.calls.lost.Inc(1)
		return errs.New(errs.Lost, "the lead's answer did not arrive: %v", err)
	case errs.Of(err).RetryAfter == 0 && errs.Is(err, errs.Unavailable):
		f.calls.refused.Inc(1)
		return errs.After(errs.Unavailable, retryAfter, "%s", errs.Of(err).Message)
	default:
		f.calls.refused.Inc(1)
		return err
	}
}

func (f *Front) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.config.Clock.After(d):
	}
}

// try makes one call to the daemon that leads.
func (f *Front) try(ctx context.Context, method peer.Method, args, reply any) error {
	claim, ok := f.elector.Leader()
	if !ok {
		return errs.New(errs.Unavailable, "no daemon leads")
	}
	limited, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	if claim.Target.VM == f.config.Self.VM {
		return f.local(limited, args, reply)
	}
	fresh := clone(reply)
	err := f.config.Peers.Call(limited, claim.Target, method, args, fresh)
	if err == nil {
		assign(reply, fresh)
		return nil
	}
	if gone(err) {
		f.elector.SuspectLeader(claim.Epoch, "its process has ended")
	}
	return err
}

// relieve has another daemon take the lead over, since the store does not take this one's writes: if it answers one
// of the others, and after that this one still cannot write.
func (f *Front) relieve(ctx context.Context, epoch types.Epoch, still func() bool) {
	reached := f.tell(ctx, methodProbe, &RelieveArgs{Epoch: epoch})
	if !reached {
		return
	}
	f.sleep(ctx, relievePause)
	if still() {
		f.tell(ctx, methodRelieve, &RelieveArgs{Epoch: epoch})
	}
}

// tell calls all other daemons, and tells whether one of them answered without an error.
func (f *Front) tell(ctx context.Context, method peer.Method, args *RelieveArgs) bool {
	limited, cancel := context.WithTimeout(ctx, relieveLimit)
	defer cancel()
	var all sync.WaitGroup
	answered := make(chan struct{}, 1)
	for _, m := range f.elector.Members() {
		if m.VM == f.config.Self.VM {
			continue
		}
		all.Go(func() {
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
		all.Wait()
		close(finished)
	}()
	select {
	case <-answered:
		return true
	case <-finished:
		return len(answered) > 0
	}
}
