package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// Guards against one term after the other that ends because a single runner holds a fence that no leader has issued.
func TestForeignFenceOfARunnerKeepsTheTerm(t *testing.T) {
	const foreign agent.Fence = 1 << 60
	f := newFixture(t, quickWorld())
	f.addRunners(2)
	o := f.newOwner()
	var ended atomic.Bool
	o.config.OnFenced = func(string) { ended.Store(true) }
	f.runOwner(o)
	f.submit(o, job("before", step(8)))
	info := runner(0)
	info.Boot = f.boot("w00")
	if _, err := f.fleet.RenewLeases(context.Background(), info, agent.RenewRequest{Fence: foreign}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(longPollTimeout)
	f.submit(o, job("after", step(8)))
	f.waitForState(o, "before", tasks.JobCompleted)
	f.waitForState(o, "after", tasks.JobCompleted)
	if ended.Load() {
		t.Error("the term ended although the store holds its epoch")
	}
}

// Guards against a leader that goes on after a runner and the store show that another one leads.
func TestFenceOfALaterLeaderEndsTheTerm(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(1)
	o := f.newOwner()
	ended := make(chan string, 1)
	o.config.OnFenced = func(reason string) {
		select {
		case ended <- reason:
		default:
		}
	}
	f.runOwner(o)
	f.eventually("the runner is in the tables", func() bool { return o.hasRunner("w00") })
	f.startOwner()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Error("the former leader goes on")
	}
}
