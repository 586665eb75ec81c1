package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const site types.DataCentre = "carthage"

func newHolder(s *store.Memory, name types.VMID) *Holder {
	self := peer.Target{VM: name, Site: types.Site{Region: "tunis-north", DataCentre: site}}
	return New(Config{Self: self, Store: s.As(site, meter.Discard())})
}

func newStore() (*store.Memory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return store.NewMemory(clock, "tunis-north"), clock
}

func wantClaim(t *testing.T, h *Holder) Claim {
	t.Helper()
	c, err := h.Acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func wantKind(t *testing.T, err error, kind errs.Kind) {
	t.Helper()
	if !errs.Is(err, kind) {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
}

func TestOneHolderAtATime(t *testing.T) {
	s, clock := newStore()
	a, b := newHolder(s, "a"), newHolder(s, "b")
	first := wantClaim(t, a)
	found, err := b.Acquire(context.Background())
	wantKind(t, err, errs.Conflict)
	if found.Owner != "a" {
		t.Fatalf("the claim is held by %s, want a", found.Owner)
	}
	clock.Advance(DefaultTTL)
	second := wantClaim(t, b)
	if second.Epoch <= first.Epoch {
		t.Fatalf("epoch %d does not exceed the earlier epoch %d", second.Epoch, first.Epoch)
	}
	wantKind(t, a.Renew(context.Background()), errs.NotFound)
}

func TestReleaseLetsTheNextOneIn(t *testing.T) {
	s, _ := newStore()
	a, b := newHolder(s, "a"), newHolder(s, "b")
	first := wantClaim(t, a)
	if err := a.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if second := wantClaim(t, b); second.Epoch <= first.Epoch {
		t.Fatalf("epoch %d does not exceed the earlier epoch %d", second.Epoch, first.Epoch)
	}
}

func TestStaleReleaseLeavesTheClaimOfAnother(t *testing.T) {
	s, clock := newStore()
	a, b := newHolder(s, "a"), newHolder(s, "b")
	wantClaim(t, a)
	clock.Advance(DefaultTTL)
	wantClaim(t, b)
	wantKind(t, a.Release(context.Background()), errs.Conflict)
	if c, err := a.Read(context.Background()); err != nil || c.Owner != "b" {
		t.Fatalf("got %v, %v; want the claim of b", c, err)
	}
}

func TestEpochsGrowThroughLostAnswers(t *testing.T) {
	for lost := 1; lost <= 8; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			s, clock := newStore()
			before := wantClaim(t, newHolder(s, "a"))
			clock.Advance(DefaultTTL)
			s.Faults.LoseAnswers(lost)
			h := newHolder(s, "b")
			for range 20 {
				c, err := h.Acquire(context.Background())
				if err == nil {
					if c.Epoch <= before.Epoch {
						t.Fatalf("epoch %d does not exceed the earlier epoch %d", c.Epoch, before.Epoch)
					}
					return
				}
				clock.Advance(time.Second)
			}
			t.Fatal("the claim was not acquired within 20 tries")
		})
	}
}

func TestInterimEpochsLieBetweenClaims(t *testing.T) {
	s, clock := newStore()
	first := wantClaim(t, newHolder(s, "a"))
	clock.Advance(DefaultTTL)
	second := wantClaim(t, newHolder(s, "b"))
	last := first.Epoch
	for try := 1; try <= MaxTries; try++ {
		e := Interim(last, try, "c")
		if e <= last || e >= second.Epoch || !IsInterim(e) || Base(e) != first.Epoch {
			t.Fatalf("interim epoch %d of try %d does not lie between %d and %d", e, try, last, second.Epoch)
		}
		last = e
	}
}
