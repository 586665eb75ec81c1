package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

const (
	faultEvery  = 400 * time.Millisecond
	shortest    = 300 * time.Millisecond
	longest     = 3 * time.Second
	lostAnswers = 4
	slowStore   = 150 * time.Millisecond
)

// fault is one kind of failure: it begins, lasts for a while, and ends.
type fault struct {
	name string
	// hides tells that daemons may miss new documents while it lasts.
	hides bool
	begin func(f *fleet) (end func())
}

func faults() []fault {
	return []fault{
		{name: "kill the lead of a data centre", begin: (*fleet).killLead},
		{name: "kill an entry", begin: (*fleet).killEntry},
		{name: "shut down a daemon", begin: (*fleet).shutDown},
		{name: "the store is down", hides: true, begin: (*fleet).storeDown},
		{name: "the store is slow", hides: true, begin: (*fleet).storeSlow},
		{name: "the store loses answers", begin: (*fleet).loseAnswers},
		{name: "part the regions", hides: true, begin: (*fleet).partRegions},
		{name: "part two data centres", hides: true, begin: (*fleet).partOne},
		{name: "restart a worker", begin: (*fleet).crashWorker},
		{name: "cut off a worker", begin: (*fleet).cutWorker},
		{name: "a worker fails everything", begin: (*fleet).failWorker},
		{name: "a worker is leaving", begin: (*fleet).leaveWorker},
	}
}

// disturb brings about failures until ctx ends, then ends those that last.
func (f *fleet) disturb(ctx context.Context) {
	kinds := faults()
	var group sync.WaitGroup
	for f.sleep(ctx, faultEvery) {
		kind := kinds[f.random.IntN(len(kinds))]
		length := shortest + time.Duration(f.random.Int64N(int64(longest-shortest)))
		f.count++
		began := f.world.clock.Now()
		f.trace.add("%s for %s", kind.name, length)
		end := kind.begin(f)
		group.Go(func() {
			f.sleep(ctx, length)
			end()
			if kind.hides {
				f.hidden(began)
			}
		})
	}
	group.Wait()
}

// hidden notes that no daemon had to learn of documents since the given time.
func (f *fleet) hidden(since time.Time) {
	now := f.world.clock.Now()
	for _, n := range f.live() {
		f.book.outage(check.Outage{VM: n.id, Interval: check.Interval{From: since, To: now}})
	}
}

func (f *fleet) killLead() func() {
	for _, n := range f.live() {
		if n.leads() && n.site == f.site() {
			return f.kill(n)
		}
	}
	return f.killEntry()
}

func (f *fleet) killEntry() func() {
	n := f.pick(f.random)
	if n == nil {
		return func() {}
	}
	return f.kill(n)
}

// kill stops a daemon at once and puts a new VM in its place afterwards.
func (f *fleet) kill(n *node) func() {
	f.trace.add("kill %s", n.id)
	f.remove(n)
	if err := f.world.KillEntry(n.id); err != nil {
		f.trace.add("killing %s: %v", n.id, err)
	}
	return func() { f.replace(n) }
}

func (f *fleet) shutDown() func() {
	n := f.pick(f.random)
	if n == nil {
		return func() {}
	}
	f.trace.add("shut down %s", n.id)
	began := f.world.clock.Now()
	f.remove(n)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.world.StopEntry(n.id); err != nil {
			f.trace.add("shutting down %s: %v", n.id, err)
		}
	}()
	return func() {
		<-done
		f.book.shutdown(check.Shutdown{VM: n.id, Interval: check.Interval{From: began, To: f.world.clock.Now()}})
		f.replace(n)
	}
}

func (f *fleet) storeDown() func() {
	f.world.Platform.Store.Faults.SetDown(true)
	return func() { f.world.Platform.Store.Faults.SetDown(false) }
}

func (f *fleet) storeSlow() func() {
	f.world.Platform.Store.Faults.SetDelay(slowStore)
	return func() { f.world.Platform.Store.Faults.SetDelay(0) }
}

func (f *fleet) loseAnswers() func() {
	f.world.Platform.Store.Faults.LoseAnswers(1 + f.random.IntN(lostAnswers))
	return func() {}
}

// partRegions cuts the far region off from the other one, the store and the list.
func (f *fleet) partRegions() func() {
	far := sites[len(sites)-1]
	f.world.partFrom(far, sites[:len(sites)-1], true)
	return func() { f.world.partFrom(far, sites[:len(sites)-1], false) }
}

// partOne cuts two data centres off from each other.
func (f *fleet) partOne() func() {
	a, b := sites[0].DataCentre, sites[1].DataCentre
	f.world.Partition.SetPartitioned(a, b, true)
	return func() { f.world.Partition.SetPartitioned(a, b, false) }
}

func (f *fleet) crashWorker() func() {
	f.world.worker(f.machine()).Crash()
	return func() {}
}

func (f *fleet) cutWorker() func() {
	id := f.machine()
	m := f.world.worker(id)
	f.trace.add("cut off %s", id)
	m.Faults.SetDown(true)
	return func() { m.Faults.SetDown(false) }
}

func (f *fleet) failWorker() func() {
	id := f.machine()
	m := f.world.worker(id)
	f.trace.add("%s fails everything", id)
	m.FailEverything(true)
	return func() { m.FailEverything(false) }
}

func (f *fleet) leaveWorker() func() {
	id := f.machine()
	f.trace.add("%s is leaving", id)
	f.world.leave(id)
	return func() { f.world.stay(id) }
}

func (f *fleet) site() types.Site {
	return sites[f.random.IntN(len(sites))]
}

func (f *fleet) machine() types.VMID {
	ids := f.world.workerIDs()
	return ids[f.random.IntN(len(ids))]
}
