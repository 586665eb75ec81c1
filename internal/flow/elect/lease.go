package elect

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// renewLoop renews the daemon's lease, to which its member record is bound, until ctx ends.
func (e *Elector) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay := e.config.TTL / renewalsPerTTL
		if err := e.renewLease(ctx); err != nil {
			e.config.Log.Debug().Err(err).Msg("could not renew the lease; retrying after the backoff")
			delay = retryBackoff
		}
		every.Sleep(ctx, e.config.Clock, delay)
	}
}

// renewLease renews the daemon's lease, or registers the daemon if it has no lease or the lease has expired.
func (e *Elector) renewLease(ctx context.Context) error {
	e.mu.Lock()
	lease, steppedDown := e.lease, e.steppedDown
	e.mu.Unlock()
	if lease == 0 || steppedDown {
		return e.register(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	began := e.config.Clock.Now()
	err := e.config.Store.Renew(limited, lease)
	e.noteCall(err == nil || errs.Is(err, errs.NotFound))
	if errs.Is(err, errs.NotFound) {
		e.config.Log.Warn().Msg("lease in the store has expired; registering again")
		return e.register(ctx)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeLatency(e.config.Clock.Since(began))
	if e.listed {
		e.lastContact = e.config.Clock.Now()
	}
	return nil
}

// register acquires a lease and writes the member record under it. A daemon that has stepped down is not registered; if
// it steps down meanwhile, its record is deleted again.
func (e *Elector) register(ctx context.Context) error {
	if e.hasSteppedDown() {
		return errs.New(errs.Draining, "this daemon has stepped down; it does not register again")
	}
	limited, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	began := e.config.Clock.Now()
	lease, err := e.config.Store.Grant(limited, e.config.TTL)
	e.noteCall(err == nil)
	if err != nil {
		return err
	}
	latency := e.config.Clock.Since(began)
	value, err := encode(Member{Target: e.config.Self, Strength: e.config.Strength, Level: ledger.MaxLevel})
	if err != nil {
		return err
	}
	put := store.Put{Key: e.memberKey(), Value: value, Lease: lease}
	if _, err := e.config.Store.Apply(limited, store.Batch{Puts: []store.Put{put}}); err != nil {
		return err
	}
	e.mu.Lock()
	e.lease = lease
	e.observeLatency(latency)
	every.Wake(e.recordsChanged)
	e.mu.Unlock()
	if e.hasSteppedDown() {
		return e.deleteRecords(ctx, e.memberKey())
	}
	return nil
}

func (e *Elector) hasSteppedDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steppedDown
}

// CheckStore renews the daemon's lease, or registers the daemon if it has none, and returns an error unless the store
// answers.
func (e *Elector) CheckStore(ctx context.Context) error {
	return e.renewLease(ctx)
}

func (e *Elector) memberKey() store.Key {
	return memberPrefix + store.Key(e.config.Self.VM)
}
