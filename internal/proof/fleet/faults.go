package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

const (
	faultInterval    = 400 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	maxLostAnswers   = 4
	storeDelay       = 150 * time.Millisecond
)

// faultKind is a kind of fault. Its function begin injects it and returns the function that ends it.
type faultKind struct {
	name string
	// blocksDocuments is set if daemons may not receive new documents while the fault lasts.
	blocksDocuments bool
	begin           func(f *fleet) (end func())
}

// faultKinds returns all kinds of fault. A seed's random draws are indices into it, so a changed order changes what the
// seeds inject.
func faultKinds() []faultKind {
	return []faultKind{
		{name: "kill the lead of a data centre", begin: (*fleet).killLeader},
		{name: "kill an entry", begin: (*fleet).killEntry},
		{name: "shut down a daemon", begin: (*fleet).shutDownEntry},
		{name: "the store is down", blocksDocuments: true, begin: (*fleet).takeStoreDown},
		{name: "the store is slow", blocksDocuments: true, begin: (*fleet).slowStore},
		{name: "the store loses answers", begin: (*fleet).loseStoreAnswers},
		{name: "part the regions", blocksDocuments: true, begin: (*fleet).partitionRegions},
		{name: "part two data centres", blocksDocuments: true, begin: (*fleet).partitionDataCentres},
		{name: "restart a worker", begin: (*fleet).crashWorker},
		{name: "cut off a worker", begin: (*fleet).disconnectWorker},
		{name: "a worker fails everything", begin: (*fleet).failWorker},
		{name: "a worker is leaving", begin: (*fleet).markWorkerLeaving},
	}
}

// injectFaults injects faults until ctx ends, then ends those that still last.
func (f *fleet) injectFaults(ctx context.Context) {
	kinds := faultKinds()
	var group sync.WaitGroup
	for every.Sleep(ctx, f.cluster.clock, faultInterval) {
		kind := kinds[f.random.IntN(len(kinds))]
		duration := minFaultDuration + time.Duration(f.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		f.faultCount++
		startedAt := f.cluster.clock.Now()
		f.trace.add("%s for %s", kind.name, duration)
		end := kind.begin(f)
		group.Go(func() {
			every.Sleep(ctx, f.cluster.clock, duration)
			end()
			if kind.blocksDocuments {
				f.recordOutages(startedAt)
			}
		})
	}
	group.Wait()
}

// recordOutages records for every live daemon an outage from the given time until now, in which it need not have received
// new documents.
func (f *fleet) recordOutages(since time.Time) {
	now := f.cluster.clock.Now()
	for _, n := range f.liveNodes() {
		f.recorder.addOutage(check.Outage{VM: n.id, Interval: check.Interval{From: since, To: now}})
	}
}

// killLeader kills a leader in a randomly drawn data centre. It draws a data centre for each leader, and
// kills any entry if no leader is in the one drawn for it.
func (f *fleet) killLeader() func() {
	for _, n := range f.liveNodes() {
		if n.isLeading() && n.site == f.randomSite() {
			return f.killNode(n)
		}
	}
	return f.killEntry()
}

func (f *fleet) killEntry() func() {
	n := f.pickNode(f.random)
	if n == nil {
		return func() {}
	}
	return f.killNode(n)
}

// killNode kills a daemon without a graceful shutdown. When the fault ends, a new VM replaces it.
func (f *fleet) killNode(n *node) func() {
	f.trace.add("kill %s", n.id)
	f.removeNode(n)
	if err := f.cluster.KillEntry(n.id); err != nil {
		f.trace.add("killing %s: %v", n.id, err)
	}
	return func() { f.replaceNode(n) }
}

// shutDownEntry stops a daemon gracefully. When the fault ends, it waits for the end of the shutdown, and a new VM
// replaces the daemon.
func (f *fleet) shutDownEntry() func() {
	n := f.pickNode(f.random)
	if n == nil {
		return func() {}
	}
	f.trace.add("shut down %s", n.id)
	startedAt := f.cluster.clock.Now()
	f.removeNode(n)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.cluster.StopEntry(n.id); err != nil {
			f.trace.add("shutting down %s: %v", n.id, err)
		}
	}()
	return func() {
		<-done
		f.recorder.addShutdown(check.Shutdown{VM: n.id, Interval: check.Interval{From: startedAt, To: f.cluster.clock.Now()}})
		f.replaceNode(n)
	}
}

func (f *fleet) takeStoreDown() func() {
	f.cluster.Platform.Store.Faults.SetDown(true)
	return func() { f.cluster.Platform.Store.Faults.SetDown(false) }
}

func (f *fleet) slowStore() func() {
	f.cluster.Platform.Store.Faults.SetDelay(storeDelay)
	return func() { f.cluster.Platform.Store.Faults.SetDelay(0) }
}

func (f *fleet) loseStoreAnswers() func() {
	f.cluster.Platform.Store.Faults.LoseAnswers(1 + f.random.IntN(maxLostAnswers))
	return func() {}
}

// partitionRegions partitions the data centre of the remote region from the other region, the store and the VM list.
func (f *fleet) partitionRegions() func() {
	remote := sites[len(sites)-1]
	f.cluster.setPartitioned(remote, sites[:len(sites)-1], true)
	return func() { f.cluster.setPartitioned(remote, sites[:len(sites)-1], false) }
}

// partitionDataCentres partitions two data centres of one region from each other.
func (f *fleet) partitionDataCentres() func() {
	a, b := sites[0].DataCentre, sites[1].DataCentre
	f.cluster.Partition.SetPartitioned(a, b, true)
	return func() { f.cluster.Partition.SetPartitioned(a, b, false) }
}

// crashWorker ends all attempts on a worker, as a restart of its VM does. Nothing has to be undone when the fault ends.
func (f *fleet) crashWorker() func() {
	f.cluster.worker(f.randomWorker()).Crash()
	return func() {}
}

func (f *fleet) disconnectWorker() func() {
	id := f.randomWorker()
	w := f.cluster.worker(id)
	f.trace.add("cut off %s", id)
	w.Faults.SetDown(true)
	return func() { w.Faults.SetDown(false) }
}

func (f *fleet) failWorker() func() {
	id := f.randomWorker()
	w := f.cluster.worker(id)
	f.trace.add("%s fails everything", id)
	w.FailEverything(true)
	return func() { w.FailEverything(false) }
}

func (f *fleet) markWorkerLeaving() func() {
	id := f.randomWorker()
	f.trace.add("%s is leaving", id)
	f.cluster.markLeaving(id)
	return func() { f.cluster.markLive(id) }
}

func (f *fleet) randomSite() types.Site {
	return sites[f.random.IntN(len(sites))]
}

func (f *fleet) randomWorker() types.VMID {
	ids := f.cluster.workerIDs()
	return ids[f.random.IntN(len(ids))]
}
