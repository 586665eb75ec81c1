package elect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// maxSpread spreads the claims of daemons that are equally near to the store.
const maxSpread = 40 * time.Millisecond

// keepLoop keeps the daemon's lease and its member key.
func (e *Elector) keepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := e.config.TTL / renewals
		if err := e.keep(ctx); err != nil {
			e.config.Log.Debug().Err(err).Msg("could not renew the lease")
			pause = retryPause
		}
		e.sleep(ctx, pause)
	}
}

func (e *Elector) keep(ctx context.Context) error {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if lease == 0 {
		return e.register(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, renewLimit)
	defer cancel()
	began := e.config.Clock.Now()
	err := e.config.Store.Renew(limited, lease)
	if errs.Is(err, errs.NotFound) {
		e.config.Log.Warn().Msg("the lease in the store has ended")
		return e.register(ctx)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timed(e.config.Clock.Since(began))
	if e.listed {
		e.watched = e.config.Clock.Now()
	}
	return nil
}

func (e *Elector) register(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, 2*callLimit)
	defer cancel()
	began := e.config.Clock.Now()
	lease, err := e.config.Store.Grant(limited, e.config.TTL)
	if err != nil {
		return err
	}
	delay := e.config.Clock.Since(began)
	value, err := encode(member{Target: e.config.Self, Strength: e.config.Strength})
	if err != nil {
		return err
	}
	put := store.Put{Key: e.memberKey(), Value: value, Lease: lease}
	if _, err := e.config.Store.Apply(limited, store.Batch{Puts: []store.Put{put}}); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.timed(delay)
	return nil
}

// watchLoop keeps the view of the other daemons.
func (e *Elector) watchLoop(ctx context.Context) {
	var at store.Version
	for ctx.Err() == nil {
		var err error
		if at == store.Absent {
			at, err = e.list(ctx)
		} else {
			at, err = e.watch(ctx, at)
		}
		if err != nil {
			e.config.Log.Debug().Err(err).Msg("could not watch the other daemons")
			e.sleep(ctx, retryPause)
		}
	}
}

func (e *Elector) list(ctx context.Context) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, 2*callLimit)
	defer cancel()
	page, err := e.config.Store.List(limited, controlPrefix)
	if err != nil {
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.members)
	e.see(store.Entry{Key: leadKey, Deleted: true})
	for _, entry := range page.Entries {
		e.see(entry)
	}
	e.listed = true
	e.watched = e.config.Clock.Now()
	return page.Version, nil
}

func (e *Elector) watch(ctx context.Context, at store.Version) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	page, err := e.config.Store.Watch(limited, controlPrefix, at)
	if errs.Is(err, errs.Conflict) {
		return store.Absent, nil
	}
	if err != nil {
		// Events may have been missed while the call failed; the list is read again.
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range page.Entries {
		e.see(entry)
	}
	e.watched = e.config.Clock.Now()
	return page.Version, nil
}

// decideLoop claims when nobody leads, and gives up when another does.
func (e *Elector) decideLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.sleep(ctx, decidePeriod)
		e.decide(ctx)
	}
}

func (e *Elector) decide(ctx context.Context) {
	e.mu.Lock()
	term := e.term
	overtaken := term != nil && (e.counter.Epoch > term.Epoch || e.lead.Epoch > term.Epoch)
	vacant := e.listed && !e.retired && e.lease != 0 && e.isVacant()
	if !vacant {
		e.vacant = time.Time{}
	} else if e.vacant.IsZero() {
		e.vacant = e.config.Clock.Now()
	}
	delay := min(rankFactor*e.delay, maxRank) + e.weakness() + rand.N(maxSpread)
	waited := vacant && e.config.Clock.Since(e.vacant) >= delay
	e.mu.Unlock()
	switch {
	case overtaken:
		e.lose("another daemon leads")
	case waited && term != nil:
		e.assert(ctx, *term)
	case waited:
		e.claim(ctx)
	}
}

// weakness returns how long this daemon lets stronger ones claim first. The caller holds the lock.
func (e *Elector) weakness() time.Duration {
	strongest := e.config.Strength
	for _, m := range e.members {
		strongest = max(strongest, m.Strength)
	}
	switch {
	case e.config.Strength >= strongShare*strongest:
		return 0
	case e.config.Strength >= weakShare*strongest:
		return weakWait
	default:
		return 2 * weakWait
	}
}

// isVacant tells whether the lead's key is missing, or stands for a process that has ended.
func (e *Elector) isVacant() bool {
	if e.leadVersion == store.Absent {
		return true
	}
	// An earlier life of this process, or a claim whose answer was lost, holds the key.
	if e.term == nil && e.lead.Target.VM == e.config.Self.VM {
		return true
	}
	suspected := e.suspect != 0 && e.lead.Epoch == e.suspect && e.config.Clock.Since(e.suspected) < suspectTime
	return suspected && e.term == nil
}

// claim tries to become lead with a new epoch.
func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	next := counter{Epoch: e.counter.Epoch + 1, Nonce: e.nonce}
	lease, leadVersion, version := e.lease, e.leadVersion, e.version
	e.mu.Unlock()
	claim := Leader{Target: e.config.Self, Epoch: next.Epoch}
	batch, err := claimBatch(claim, next, lease)
	if err != nil {
		e.config.Log.Error().Err(err).Msg("could not claim the lead")
		return
	}
	batch.Conditions = []store.Condition{
		{Key: leadKey, Expect: leadVersion}, {Key: ledger.EpochKey, Expect: version},
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	out, err := e.config.Store.Apply(limited, batch)
	if err != nil {
		e.failed(err)
		return
	}
	if !out.Applied {
		out, err = e.claimed(out, next)
		if err != nil {
			e.config.Log.Info().Err(err).Msg("did not become lead")
			return
		}
	}
	e.begin(claim, next, out.Version)
}

func claimBatch(claim Leader, next counter, lease store.LeaseID) (store.Batch, error) {
	claimed, err := encode(claim)
	if err != nil {
		return store.Batch{}, err
	}
	counted, err := encode(next)
	if err != nil {
		return store.Batch{}, err
	}
	return store.Batch{Puts: []store.Put{
		{Key: leadKey, Value: claimed, Lease: lease},
		{Key: ledger.EpochKey, Value: counted},
	}}, nil
}

// failed notes a claim that failed; an ended lease is granted anew.
func (e *Elector) failed(err error) {
	e.config.Log.Info().Err(err).Msg("could not claim the lead")
	if !errs.Is(err, errs.NotFound) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = 0
}

// claimed settles a refused claim: the same claim may have been carried out before although its answer was
// lost. Otherwise it brings the view up to date for the next one.
func (e *Elector) claimed(out store.Outcome, next counter) (store.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, lead := out.Find(ledger.EpochKey), out.Find(leadKey)
	if epoch.Version != store.Absent {
		e.seeEpoch(epoch)
	}
	lead.Deleted = lead.Version == store.Absent
	e.seeLead(lead)
	mine := e.counter == next && e.lead.Epoch == next.Epoch && e.lead.Target.VM == e.config.Self.VM
	if mine {
		return store.Outcome{Applied: true, Version: epoch.Version}, nil
	}
	return out, errs.New(errs.Conflict, "%s leads with epoch %d", e.lead.Target.VM, e.counter.Epoch)
}

func (e *Elector) begin(claim Leader, next counter, version store.Version) {
	e.mu.Lock()
	term := Term{Epoch: next.Epoch, Version: version}
	e.term = &term
	e.lead, e.leadVersion = claim, version
	e.counter, e.version = next, version
	e.vacant = time.Time{}
	e.mu.Unlock()
	e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("became lead")
	e.config.OnStartedLeading(term)
}

// assert writes the lead's key again after its lease ended while no other daemon followed.
func (e *Elector) assert(ctx context.Context, term Term) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	value, err := encode(Leader{Target: e.config.Self, Epoch: term.Epoch})
	if err != nil {
		e.config.Log.Error().Err(err).Msg("could not keep the lead")
		return
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	out, err := e.config.Store.Apply(limited, store.Batch{
		Conditions: []store.Condition{{Key: leadKey, Expect: store.Absent}, {Key: ledger.EpochKey, Expect: term.Version}},
		Puts:       []store.Put{{Key: leadKey, Value: value, Lease: lease}},
	})
	if err != nil {
		e.failed(err)
		return
	}
	e.mu.Lock()
	if out.Applied {
		e.leadVersion = out.Version
		e.vacant = time.Time{}
		e.mu.Unlock()
		e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("kept the lead after its lease ended")
		return
	}
	e.mu.Unlock()
	if _, err := e.claimed(out, counter{Epoch: term.Epoch, Nonce: e.nonce}); err != nil {
		e.lose("another daemon followed")
	}
}
