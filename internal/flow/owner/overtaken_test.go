package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// overtakenAgent holds one renewal back until the runner has answered one with a higher fence, as when one relay is slower than
// another.
type overtakenAgent struct {
	agent.Agent

	mu sync.Mutex
	// armed makes the next renewal the one that is held, at heldFence.
	armed     bool
	heldFence agent.Fence
	held      chan struct{}
	overtaken chan struct{}
	answered  chan error
}

func newOvertakenAgent(a agent.Agent) *overtakenAgent {
	return &overtakenAgent{Agent: a, held: make(chan struct{}), overtaken: make(chan struct{}), answered: make(chan error, 1)}
}

func (a *overtakenAgent) RenewLeases(ctx context.Context, to agent.Runner, r agent.RenewRequest) (agent.Report, error) {
	if !a.hold(r.Fence) {
		report, err := a.Agent.RenewLeases(ctx, to, r)
		a.noteAnswer(r.Fence, err)
		return report, err
	}
	close(a.held)
	<-a.overtaken
	report, err := a.Agent.RenewLeases(ctx, to, r)
	a.answered <- err
	return report, err
}

// hold reports whether the renewal with the fence is the one that is held.
func (a *overtakenAgent) hold(fence agent.Fence) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.armed {
		return false
	}
	a.armed, a.heldFence = false, fence
	return true
}

func (a *overtakenAgent) noteAnswer(fence agent.Fence, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil && a.heldFence != 0 && fence > a.heldFence {
		a.heldFence = 0
		close(a.overtaken)
	}
}

func (a *overtakenAgent) arm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.armed = true
}

// Guards against a leader that takes its own fence for that of a later leader: a renewal for a former entry of a runner arrives
// after one for the present entry.
func TestOvertakenRenewalOfAFormerEntryKeepsTheTerm(t *testing.T) {
	changes := map[string]func(f *fixture, o *Owner, info agent.Runner){
		"RunnerRestarts": func(f *fixture, _ *Owner, info agent.Runner) {
			info.Boot++
			f.fleet.Add(info)
		},
		"EntryExpiresAndComesBack": func(f *fixture, o *Owner, info agent.Runner) {
			o.applyChanges([]agent.Change{{Runner: agent.Runner{ID: info.ID}, Gone: true}})
			f.eventually("the tables drop the runner", func() bool { return !o.hasRunner(info.ID) })
			o.applyChanges([]agent.Change{{Runner: info}})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			f.addRunners(1)
			o := f.newOwner()
			agents, ended := newOvertakenAgent(f.fleet), make(chan string, 1)
			o.config.Agents = agents
			o.config.OnFenced = func(reason string) { ended <- reason }
			f.runOwner(o)
			f.eventually("the runner is in the tables", func() bool { return o.hasRunner("w00") })
			info := runner(0)
			info.Boot = f.boot("w00")
			agents.arm()
			<-agents.held
			change(f, o, info)
			<-agents.answered
			assertTermGoesOn(t, ended)
		})
	}
}

// Guards against the same without a slow request: a renewal still waits for a result when the entry comes back, and its runner refuses
// the lower fence once the wait is over.
func TestEntryThatComesBackDuringARenewalKeepsTheTerm(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(1)
	o, ended := f.newOwner(), make(chan string, 1)
	o.config.OnFenced = func(reason string) { ended <- reason }
	f.runOwner(o)
	f.eventually("the runner is synced", func() bool { return o.isSynced("w00") })
	info := runner(0)
	info.Boot = f.boot("w00")
	o.applyChanges([]agent.Change{{Runner: agent.Runner{ID: info.ID}, Gone: true}})
	f.eventually("the tables drop the runner", func() bool { return !o.hasRunner(info.ID) })
	o.applyChanges([]agent.Change{{Runner: info}})
	time.Sleep(longPollTimeout)
	assertTermGoesOn(t, ended)
}

// isSynced reports whether the runner has answered a renewal.
func (o *Owner) isSynced(id specs.RunnerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.table.Runners[id]
	return r != nil && r.Synced
}

// assertTermGoesOn fails the test when the term ends within a few renewals.
func assertTermGoesOn(t *testing.T, ended <-chan string) {
	t.Helper()
	select {
	case reason := <-ended:
		t.Errorf("the term has ended although no other daemon leads: %s", reason)
	case <-time.After(4 * renewBackoff):
	}
}

// hasRunner reports whether the tables hold the runner.
func (o *Owner) hasRunner(id specs.RunnerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Runners[id] != nil
}
