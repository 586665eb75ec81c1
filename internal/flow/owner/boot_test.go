package owner

import (
	"context"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// TestEntryOfAnEarlierBootIsIgnored guards against a directory entry that arrives late and puts the former incarnation of a
// runner in use again: the runs of the present one would be given up.
func TestEntryOfAnEarlierBootIsIgnored(t *testing.T) {
	o := newFixture(t, quickWorld()).newOwner()
	t.Cleanup(o.Stop)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyEntry(agent.Runner{ID: "w", Boot: 7})
	r := o.table.Runners["w"]
	r.PlaceTask(o.table.AddJob(job("j", step(1))).Occurrences[0].Steps[0].Tasks[0], 1).Sent = true
	o.applyEntry(agent.Runner{ID: "w", Boot: 5})
	if got := o.table.Runners["w"]; got != r || got.Info.Boot != 7 || len(got.Runs) != 1 {
		t.Errorf("the runner has boot %d and %d runs, want boot 7 and 1 run", got.Info.Boot, len(got.Runs))
	}
}

// TestNextIncarnationHasAHigherFence guards against a request to a former incarnation that is carried out late, by the next
// one at the same address.
func TestNextIncarnationHasAHigherFence(t *testing.T) {
	o := newFixture(t, quickWorld()).newOwner()
	t.Cleanup(o.Stop)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyEntry(agent.Runner{ID: "w", Boot: 5})
	former := o.table.Runners["w"].Fence
	o.applyEntry(agent.Runner{ID: "w", Boot: 7})
	if got := o.table.Runners["w"]; got.Info.Boot != 7 || got.Fence <= former {
		t.Errorf("boot %d has fence %d, want boot 7 and a fence above %d", got.Info.Boot, got.Fence, former)
	}
}

// TestEndOfTheTermLeavesAChangeInDoubt guards against telling the caller that a job will not run although its write may
// still take effect.
func TestEndOfTheTermLeavesAChangeInDoubt(t *testing.T) {
	o := newFixture(t, quickWorld()).newOwner()
	o.Stop()
	if err := o.awaitDurable(context.Background(), make(chan struct{})); !errs.Is(err, errs.Lost) {
		t.Errorf("got %v, want kind Lost", err)
	}
}
