package owner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// unlistedStore answers everything but lists.
type unlistedStore struct{ store.Batcher }

func (unlistedStore) List(context.Context, store.Key) (store.Page, error) {
	return store.Page{}, errs.New(errs.Lost, "the answer did not arrive")
}

// Guards against a leader that holds leadership for ever without having read the ledger.
func TestLeaderThatCannotReadTheLedgerStandsBack(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	ended := make(chan string, 1)
	o.config.Store = unlistedStore{Batcher: o.config.Store}
	o.config.OnStalled = func(reason string) { ended <- reason }
	f.runOwner(o)
	select {
	case reason := <-ended:
		if !strings.Contains(reason, "could not be read") {
			t.Errorf("the term ended because %q, want the reading named", reason)
		}
	case <-time.After(2 * maxLedgerRead):
		t.Error("the leader goes on without the ledger")
	}
}
