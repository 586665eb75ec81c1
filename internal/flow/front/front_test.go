package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const longWork = 700 * time.Millisecond

func daemons(count int, region types.Region) []peer.Target {
	var out []peer.Target
	for i := range count {
		vm := types.VMID(fmt.Sprintf("%s-%d", region, i))
		out = append(out, peer.Target{VM: vm, Site: types.Site{Region: region}})
	}
	return out
}

func TestAdviceBalancerSpreadsLongCalls(t *testing.T) {
	b := newAdviceBalancer()
	members := daemons(6, "a")
	used := make(map[types.VMID]int)
	for range 4 {
		used[b.pickDaemon(members[0], members, longWork, now).VM]++
	}
	if len(used) != 4 {
		t.Errorf("four long calls went through %d daemons, want 4", len(used))
	}
}

func TestAdviceBalancerKeepsDaemonsForShortCalls(t *testing.T) {
	b := newAdviceBalancer()
	members := daemons(6, "a")
	long := make(map[types.VMID]bool)
	for range 30 {
		long[b.pickDaemon(members[0], members, longWork, now).VM] = true
	}
	for range 10 {
		to := b.pickDaemon(members[0], members, minCallWork, now)
		if long[to.VM] {
			t.Errorf("a short call goes to %s, where it waits behind long ones", to.VM)
		}
		b.finishCall(to.VM, minCallWork, minCallWork)
	}
}

func TestAdviceBalancerPrefersNearDaemonsForShortCalls(t *testing.T) {
	b := newAdviceBalancer()
	members := append(daemons(3, "a"), daemons(3, "b")...)
	self := members[5]
	if to := b.pickDaemon(self, members, minCallWork, now); to.Site.Region != "b" {
		t.Errorf("a short call goes to %s, in another region than the leader", to.VM)
	}
}

func TestAdviceBalancerBacksOffFromDaemonsThatFailed(t *testing.T) {
	b := newAdviceBalancer()
	members := daemons(2, "a")
	b.backOff(members[0].VM, now.Add(time.Second))
	for range 3 {
		if to := b.pickDaemon(members[0], members, minCallWork, now); to.VM != members[1].VM {
			t.Errorf("a call goes to %s, which is in backoff after a failure", to.VM)
		}
	}
}

func TestAdviceBalancerHasNoBudgetOnceItsQueuesAreFull(t *testing.T) {
	b := newAdviceBalancer()
	members := daemons(4, "a")
	for range 4 {
		b.pickDaemon(members[0], members, longWork, now)
	}
	if got := b.budget(members[0], members, now); got.Long != 0 || got.Short == 0 {
		t.Errorf("budget %+v, want none for long calls and some for short ones", got)
	}
}

func stepOf(i int) specs.StepRef {
	return specs.StepRef{Job: specs.JobID(fmt.Sprintf("j%d", i))}
}

func TestAdviceCacheMergesAnswers(t *testing.T) {
	c := newAdviceCache()
	a, b := tasks.Incarnation{Runner: "a", Boot: 1}, tasks.Incarnation{Runner: "b", Boot: 1}
	c.add(stepOf(0), []tasks.Incarnation{a, b}, []agent.Permit{{Runner: "a", Ticket: "1"}, {Runner: "b", Ticket: "1"}}, now)
	c.add(stepOf(0), []tasks.Incarnation{a}, []agent.Permit{{Runner: "a", Ticket: "2"}}, now.Add(time.Second))
	got := c.find([]specs.StepRef{stepOf(0), stepOf(1)}, now)
	if len(got) != 1 || len(got[0].Asked) != 2 || len(got[0].Permits) != 2 || got[0].Permits[0].Ticket != "2" {
		t.Errorf("cached advice %+v, want that of runners a and b, with the later ticket for a", got)
	}
}

func TestAdviceCacheRemovesTheOldest(t *testing.T) {
	c := newAdviceCache()
	for i := range maxCachedSteps + 10 {
		c.add(stepOf(i), nil, nil, now)
	}
	if got := c.find([]specs.StepRef{stepOf(0), stepOf(maxCachedSteps)}, now); len(got) != 1 {
		t.Errorf("%d of the oldest and the newest step are cached, want the newest alone", len(got))
	}
}

func TestOlderCatalogIsNotApplied(t *testing.T) {
	f := New(Config{Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Metrics: metrics.NewRegistry()})
	for _, version := range []specs.CatalogVersion{3, 5, 4} {
		f.SetCatalog(&specs.Catalog{Version: version})
	}
	if got := f.Catalog().Version; got != 5 {
		t.Errorf("catalog %d is in force, want 5", got)
	}
}

// A call that reaches a daemon just after its start must not be refused when the catalog arrives in the next moment.
func TestCallsWaitForTheFirstCatalog(t *testing.T) {
	newFront := func() (*Front, *clockwork.FakeClock) {
		clock := clockwork.NewFakeClockAt(now)
		return New(Config{Clock: clock, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()}), clock
	}
	await := func(f *Front) <-chan *specs.Catalog {
		out := make(chan *specs.Catalog, 1)
		go func() { out <- f.AwaitCatalog(t.Context()) }()
		return out
	}
	t.Run("Arrives", func(t *testing.T) {
		f, clock := newFront()
		got := await(f)
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		f.SetCatalog(&specs.Catalog{Version: 3})
		if c := <-got; c == nil || c.Version != 3 {
			t.Errorf("got catalog %v, want version 3", c)
		}
	})
	t.Run("DoesNotArrive", func(t *testing.T) {
		f, clock := newFront()
		got := await(f)
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(firstCatalogTimeout)
		if c := <-got; c != nil {
			t.Errorf("got catalog %v, want none", c)
		}
	})
}
