package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// waitLimit is how long a test waits for something to happen.
const waitLimit = 8 * time.Second

// bed is an owner over stand-ins of the store and the runners.
type bed struct {
	t     *testing.T
	clock clockwork.Clock
	store *store.Memory
	fleet *agent.Fleet
	epoch types.Epoch
	// version is that of the epoch's key.
	version store.Version
}

func quickWorld() agent.World {
	return agent.World{
		RunTime:     func(specs.Ref) time.Duration { return 30 * time.Millisecond },
		Takes:       func(specs.Ref) types.Resources { return oneCore() },
		MaxLeaseTTL: 6 * time.Second,
		StopTimeout: 20 * time.Millisecond,
	}
}

func newBed(t *testing.T, w agent.World) *bed {
	clock := clockwork.NewRealClock()
	return &bed{t: t, clock: clock, store: store.NewMemory(clock, "r1"), fleet: agent.NewFleet(clock, w)}
}

func (b *bed) batcher() store.Batcher {
	v, ok := b.store.As("dc1", meter.Discard()).(store.Batcher)
	if !ok {
		b.t.Fatal("the stand-in takes no batches")
	}
	return v
}

// elect begins a new term, as a daemon that became lead.
func (b *bed) elect() elect.Term {
	b.t.Helper()
	b.epoch++
	out, err := b.batcher().Apply(context.Background(), store.Batch{
		Conditions: []store.Condition{{Key: ledger.EpochKey, Expect: b.version}},
		Puts:       []store.Put{{Key: ledger.EpochKey, Value: []byte(fmt.Sprintf(`{"Epoch":%d}`, b.epoch))}},
	})
	if err != nil || !out.Applied {
		b.t.Fatalf("electing: %v, applied %v", err, out.Applied)
	}
	b.version = out.Version
	return elect.Term{Epoch: b.epoch, Version: out.Version}
}

// owner returns a new lead that has not begun.
func (b *bed) owner() *Owner {
	term := b.elect()
	return New(Config{
		Term: term, Store: b.batcher(), Clock: b.clock, Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
		Agents: b.fleet, Directory: b.fleet,
		Advise: func(ctx context.Context, s specs.StepRef, _ specs.AdvicePolicy, lives []tasks.Incarnation) ([]agent.Permit, error) {
			var ids []specs.RunnerID
			for _, l := range lives {
				ids = append(ids, l.Runner)
			}
			return b.fleet.Advise(ctx, s, ids)
		},
		AdviceBudget: func() specs.AdviceBudget { return specs.AdviceBudget{Short: time.Second, Long: time.Second} },
		Catalog:      func() *specs.Catalog { return nil },
		LastContact:  b.clock.Now,
		OnFenced:     func(string) {},
		Bounds:       Bounds{MaxLeaseTTL: 6 * time.Second, StopTimeout: 20 * time.Millisecond, StatusRetention: time.Minute},
	})
}

// lead runs a new lead until the test or the returned function ends it.
func (b *bed) lead() (*Owner, func()) {
	o := b.owner()
	return o, b.run(o)
}

// run runs a lead until the test or the returned function ends it.
func (b *bed) run(o *Owner) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		o.Run(ctx)
		close(done)
	}()
	stop := func() {
		cancel()
		<-done
	}
	b.t.Cleanup(stop)
	return stop
}

// boot returns the boot of a runner.
func (b *bed) boot(id specs.RunnerID) specs.Boot {
	b.t.Helper()
	runners, _, err := b.fleet.List(context.Background())
	if err != nil {
		b.t.Fatal(err)
	}
	for _, r := range runners {
		if r.ID == id {
			return r.Boot
		}
	}
	b.t.Fatalf("no runner %s", id)
	return 0
}

func (b *bed) addRunners(count int) {
	for i := range count {
		b.fleet.Add(runner(i))
	}
}

func runner(i int) agent.Runner {
	id := fmt.Sprintf("w%02d", i)
	return agent.Runner{
		ID: specs.RunnerID(id), Address: types.Address(id + ":1"), Service: "svc", DataCentre: "dc1",
		Capacity: types.Resources{Cores: 4 * types.Core, Memory: 4 * types.GiB},
	}
}

func oneCore() types.Resources {
	return types.Resources{Cores: types.Core, Memory: types.GiB}
}

func queue() specs.Queue {
	return specs.Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, Latency: time.Second}
}

func job(id string, steps ...specs.Step) *specs.Job {
	return &specs.Job{ID: specs.JobID(id), Queue: queue(), Payload: "p", Steps: steps}
}

func step(count int) specs.Step {
	return specs.Step{Count: count, Resources: oneCore(), Estimate: 30 * time.Millisecond}
}

func gang(count int) specs.Step {
	s := step(count)
	s.Gang = true
	return s
}

func (b *bed) submit(o *Owner, j *specs.Job) {
	b.t.Helper()
	b.eventually("the job is accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return o.Submit(ctx, j) == nil
	})
}

func (b *bed) eventually(what string, holds func() bool) {
	b.t.Helper()
	end := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(end) {
			b.t.Fatalf("not so within %s: %s", waitLimit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *bed) reaches(o *Owner, id specs.JobID, want tasks.JobState) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("job %s is %s", id, want), func() bool {
		state, err := o.State(context.Background(), id)
		return err == nil && state == want
	})
}

func (b *bed) unbroken() {
	b.t.Helper()
	for _, p := range b.fleet.Violations() {
		b.t.Error(p)
	}
}
