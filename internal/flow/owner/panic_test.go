package owner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// panickingAgents panics at every renewal.
type panickingAgents struct{ agent.Agent }

func (panickingAgents) RenewLeases(context.Context, agent.Runner, agent.RenewRequest) (agent.Report, error) {
	panic("a report that nobody expected")
}

// TestPanicInALoopEndsTheTerm guards against a panic that ends the process of the leader, with its duties as entry and
// relay, and against a leader that goes on without one of its loops.
func TestPanicInALoopEndsTheTerm(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(1)
	o := f.newOwner()
	var ended atomic.Bool
	o.config.OnStalled = func(string) { ended.Store(true) }
	o.config.Agents = panickingAgents{}
	f.runOwner(o)
	f.eventually("the term ends", func() bool { return ended.Load() && o.ctx.Err() != nil })
	if got := metrics.GetOrRegisterCounter("Process.Panics", o.config.Metrics).Count(); got == 0 {
		t.Error("the panic was not counted")
	}
}
