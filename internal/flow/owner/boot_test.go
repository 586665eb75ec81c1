package owner

import (
	"context"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
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

// Guards against tasks that start on a restarted runner by the service, the labels, the capacity or the draining state of its former
// boot, since a lease renewal reaches the next boot before its entry in the directory is read.
func TestNextBootGetsNoTasksBeforeItsEntryIsRead(t *testing.T) {
	former := runner(0)
	former.Boot, former.Labels = 5, []specs.Label{"a"}
	labelled := step(2)
	labelled.Label = "a"
	for name, c := range map[string]struct {
		change func(info *agent.Runner)
		// want is the number of tasks that are placed once the entry of the next boot is read.
		want int
	}{
		"Same":         {func(*agent.Runner) {}, 2},
		"OtherLabel":   {func(info *agent.Runner) { info.Labels = []specs.Label{"b"} }, 0},
		"OtherService": {func(info *agent.Runner) { info.Service = "other" }, 0},
		"LessCapacity": {func(info *agent.Runner) { info.Capacity = oneCore() }, 1},
		"Draining":     {func(info *agent.Runner) { info.Draining = true }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			t.Cleanup(o.Stop)
			o.mu.Lock()
			o.applyEntry(former)
			o.runnerRestarted(o.table.Runners[former.ID], agent.Report{Boot: 7})
			next := o.table.Runners[former.ID]
			next.Synced = true
			o.table.AddJob(job("j", labelled))
			// The former boot's last entry may be read late.
			o.applyEntry(former)
			o.mu.Unlock()
			assertPlaced(t, o, next, 0)
			entry := former
			entry.Boot = 7
			c.change(&entry)
			o.mu.Lock()
			o.applyEntry(entry)
			o.mu.Unlock()
			assertPlaced(t, o, next, c.want)
		})
	}
}

// Guards against a runner that was removed from the directory and is used again, since a renewal for its last runs finds another boot.
func TestRemovedRunnerIsNotUsedAgainAfterARestart(t *testing.T) {
	o := newFixture(t, quickWorld()).newLockedOwner()
	info := runner(0)
	info.Boot = 5
	o.applyEntry(info)
	o.runnerRemoved(info.ID)
	o.runnerRestarted(o.table.Runners[info.ID], agent.Report{Boot: 7})
	if next := o.table.Runners[info.ID]; next.Listed {
		t.Error("the next boot counts as listed, though the directory has no entry of it")
	}
	info.Boot = 7
	o.applyEntry(info)
	if next := o.table.Runners[info.ID]; !next.Listed || next.EntryPending {
		t.Errorf("listed: %v, entry pending: %v; want a listed runner whose entry is read", next.Listed, next.EntryPending)
	}
}

// assertPlaced plans once, and checks how many runs the runner then has.
func assertPlaced(t *testing.T, o *Owner, r *tasks.Runner, want int) {
	t.Helper()
	o.directoryAt = o.config.Clock.Now()
	o.executePlan()
	o.mu.Lock()
	defer o.mu.Unlock()
	if got := len(r.Runs); got != want || o.table.Runners[r.Info.ID] != r {
		t.Errorf("boot %d has %d runs, and is current: %v; want %d runs on the current boot", r.Info.Boot, got, o.table.Runners[r.Info.ID] == r, want)
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
