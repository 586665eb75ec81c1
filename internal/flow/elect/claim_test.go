package elect

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// TestClaimOfAnEarlierProcessIsNotOwn guards against a daemon that restarted and takes the claim of its earlier process for
// its own: two terms would have one epoch, and the ledger would accept the writes of both.
func TestClaimOfAnEarlierProcessIsNotOwn(t *testing.T) {
	self := peer.Target{VM: "a", Address: "a:1"}
	for name, own := range map[string]bool{"OwnClaim": true, "EarlierProcess": false} {
		t.Run(name, func(t *testing.T) {
			e := New(Config{Self: self, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()})
			next := epochRecord{Epoch: 7, Nonce: e.nonce}
			stored := next
			if !own {
				stored.Nonce = "of the earlier process"
			}
			out := store.Outcome{Found: []store.Entry{
				{Key: ledger.EpochKey, Value: encoded(t, stored), Version: 9},
				{Key: LeaderKey, Value: encoded(t, Leader{Target: self, Epoch: 7}), Version: 9},
			}}
			_, err := e.resolveClaim(out, next)
			if own && err != nil {
				t.Errorf("the own claim was refused: %v", err)
			}
			if !own && !errs.Is(err, errs.Conflict) {
				t.Errorf("got %v, want kind Conflict", err)
			}
		})
	}
}

func encoded(t *testing.T, value any) json.RawMessage {
	t.Helper()
	body, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// claimHookStore runs a function before each write of the leader record.
type claimHookStore struct {
	store.Batcher
	before func()
}

func (s *claimHookStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	if putsLeader(batch) {
		s.before()
	}
	return s.Batcher.Apply(ctx, batch)
}

// Guards against a daemon without a lease because a claim under the expired one failed after the new one was acquired.
func TestFailedClaimKeepsALeaseThatIsNew(t *testing.T) {
	clock := clockwork.NewFakeClock()
	memory := store.NewMemory(clock, "r1")
	batcher, ok := memory.As("r1", meter.Discard()).(store.Batcher)
	if !ok {
		t.Fatal("the in-memory store does not support batches")
	}
	hooked := &claimHookStore{Batcher: batcher}
	e := New(Config{Self: peer.Target{VM: "a"}, Strength: 1, Store: hooked, Clock: clock, Log: zerolog.Nop()})
	register := func() {
		if err := e.register(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	register()
	expired := e.lease
	memory.EndLeases(e.memberKey())
	hooked.before = register
	e.claim(context.Background())
	if e.term != nil || e.lease == 0 || e.lease == expired {
		t.Errorf("term %v, lease %d after a claim under lease %d, want no term and another lease", e.term, e.lease, expired)
	}
}
