package owner

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// unevenAgent delays each renewal by a random time below most, as requests on connections of their own are.
type unevenAgent struct {
	agent.Agent
	most time.Duration
}

func (a *unevenAgent) RenewLeases(ctx context.Context, to agent.Runner, r agent.RenewRequest) (agent.Report, error) {
	time.Sleep(rand.N(a.most))
	return a.Agent.RenewLeases(ctx, to, r)
}

// Guards against a new leader that ends its term because runners have restarted since the former one placed tasks on them: it asks
// both the entries of the ledger and those of the directory, under fences of its own that overtake each other.
func TestNewLeaderKeepsItsTermWhenRunnersHaveRestarted(t *testing.T) {
	const runners, most = 100, 20 * time.Millisecond
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return time.Minute }
	f := newFixture(t, w)
	f.addRunners(runners)
	former, stop := f.startOwner()
	f.submit(former, job("j", step(4*runners)))
	f.eventually("tasks run on all runners", func() bool { return f.fleet.StartCount() == 4*runners })
	stop()
	for i := range runners {
		info := runner(i)
		info.Boot = f.boot(info.ID) + 1
		f.fleet.Add(info)
	}
	o, ended := f.newOwner(), make(chan string, runners)
	o.config.Agents = &unevenAgent{Agent: f.fleet, most: most}
	o.config.OnFenced = func(reason string) { ended <- reason }
	f.runOwner(o)
	f.eventually("the ledger is read", func() bool { _, err := o.Waiting("q"); return err == nil })
	assertTermGoesOn(t, ended)
}
