package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

// Defaults of a run.
const (
	// DefaultLength is how long faults are injected.
	DefaultLength = 5 * time.Second
	// DefaultRecoveryTimeout is how long the fleet may take afterwards to recover and to finish the accepted jobs.
	DefaultRecoveryTimeout = time.Minute
)

const (
	// inForceBound is how long after its acceptance a document must be in force everywhere, as the target states.
	inForceBound   = 20 * time.Second
	sampleInterval = 200 * time.Millisecond
	pollInterval   = 250 * time.Millisecond
	startTimeout   = 30 * time.Second
	callerCount    = 4
)

type (
	// Config describes a run. Length and RecoveryTimeout are DefaultLength and DefaultRecoveryTimeout if zero.
	Config struct {
		Seed            uint64
		Length          time.Duration
		RecoveryTimeout time.Duration
	}

	// Report is the result of a run.
	Report struct {
		Seed       uint64
		Violations []check.Violation
		// NotRecovered describes the accepted jobs that did not end in time, and the daemons that did not recover.
		NotRecovered []string
		Counts       Counts
		trace        *trace
	}

	// Counts is the amount of work in a run.
	Counts struct {
		Requests   int
		Done       int
		Jobs       int
		Executions int
		Runs       int
		Revisions  int
		Faults     int
	}

	// fleet is the state of one run: the daemons, what was recorded, and the random numbers of the faults. mu guards
	// nodes and nodeCount.
	fleet struct {
		config   Config
		cluster  *cluster
		recorder *recorder
		trace    *trace
		random   *rand.Rand

		mu         sync.Mutex
		nodes      []*node
		nodeCount  int
		faultCount int
	}
)

// Run starts the fleet, injects faults under load, waits until the fleet has recovered, and checks the promises. An error
// means that the fleet did not start.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Length == 0 {
		c.Length = DefaultLength
	}
	if c.RecoveryTimeout == 0 {
		c.RecoveryTimeout = DefaultRecoveryTimeout
	}
	cl, err := newCluster()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		config: c, cluster: cl, recorder: newRecorder(), trace: newTrace(cl.clock),
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, err
	}
	f.runLoad(ctx)
	f.cluster.clearStoreFaults()
	unfinished := f.awaitRecovery(ctx)
	f.stop()
	return f.report(unfinished), nil
}

// Failed reports whether the run broke a promise or did not recover in time.
func (r *Report) Failed() bool {
	return len(r.Violations)+len(r.NotRecovered) > 0
}

// Print writes the seed, the counts and the findings, and for a failed run also its trace.
func (r *Report) Print(w io.Writer) {
	lines := []string{fmt.Sprintf("seed %d: %+v", r.Seed, r.Counts)}
	for _, v := range r.Violations {
		lines = append(lines, "  "+v.String())
	}
	for _, u := range r.NotRecovered {
		lines = append(lines, "  not recovered in time: "+u)
	}
	for _, line := range lines {
		// An error of the writer cannot be reported anywhere.
		_, _ = fmt.Fprintln(w, line)
	}
	if r.Failed() {
		r.trace.print(w)
	}
}

// start starts all daemons, puts the first document and waits until every daemon answers requests.
func (f *fleet) start(ctx context.Context) error {
	for _, site := range sites {
		for range entriesPerSite {
			if _, err := f.addNode(site); err != nil {
				return err
			}
		}
	}
	if err := f.putFirstDocument(ctx); err != nil {
		return err
	}
	if err := f.awaitWorkerList(ctx); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range f.liveNodes() {
		for !f.isAnswering(startCtx, n) {
			if !every.Sleep(startCtx, f.cluster.clock, pollInterval) {
				return errs.New(errs.Unavailable, "%s did not answer requests within %s after the start", n.id, startTimeout)
			}
		}
	}
	f.trace.add("all daemons answer")
	return nil
}

// awaitWorkerList waits until the platform lists every worker, and records their VMs.
func (f *fleet) awaitWorkerList(ctx context.Context) error {
	list := f.cluster.Platform.VMs.As("", meter.Discard())
	for len(f.cluster.workerVMs) < len(sites)*workersPerSite {
		every.Sleep(ctx, f.cluster.clock, listLag)
		listing, err := list.List(ctx)
		if err != nil {
			return err
		}
		f.cluster.recordWorkers(listing.VMs)
	}
	return nil
}

// isAnswering sends a request to a daemon and reports whether it was answered with outcome Done.
func (f *fleet) isAnswering(ctx context.Context, n *node) bool {
	id, err := n.client.mintID(ctx)
	if err != nil {
		return false
	}
	c := &caller{random: f.random, fleet: f}
	return !c.send(ctx, n, types.Request{
		ID: id, Service: service, Team: team, Class: types.ClassUrgent, Idempotent: true,
		Deadline: f.cluster.clock.Now().Add(requestTimeout), Body: []byte(id),
	})
}

// runLoad runs the callers, the operators, the sampler and the faults for the length of the run.
func (f *fleet) runLoad(ctx context.Context) {
	runCtx, cancel := context.WithTimeout(ctx, f.config.Length)
	defer cancel()
	var group sync.WaitGroup
	for i := range callerCount {
		c := &caller{random: rand.New(rand.NewPCG(f.config.Seed, uint64(i+1))), fleet: f}
		group.Go(func() { c.sendRequests(runCtx) })
		if i%2 == 0 {
			j := &caller{random: rand.New(rand.NewPCG(f.config.Seed, uint64(callerCount+i+1))), fleet: f}
			group.Go(func() { j.submitJobs(runCtx) })
		}
	}
	group.Go(func() { f.runOperators(runCtx) })
	group.Go(func() { f.sampleLoop(runCtx) })
	f.injectFaults(runCtx)
	group.Wait()
}

// sampleLoop regularly records the revision in force on every daemon until ctx ends.
func (f *fleet) sampleLoop(ctx context.Context) {
	for every.Sleep(ctx, f.cluster.clock, sampleInterval) {
		f.sampleRevisions()
	}
}

func (f *fleet) sampleRevisions() {
	for _, n := range f.liveNodes() {
		f.recorder.addSample(check.Sample{VM: n.id, At: f.cluster.clock.Now(), Revision: n.daemon.Revision()})
	}
}

// awaitRecovery waits until every accepted job has ended, the newest document is in force on every daemon and every daemon
// answers requests. It returns a description of each of these that did not happen in time.
func (f *fleet) awaitRecovery(ctx context.Context) []string {
	recoveryCtx, cancel := context.WithTimeout(ctx, f.config.RecoveryTimeout)
	defer cancel()
	for {
		f.sampleRevisions()
		unfinished := f.findUnfinished(recoveryCtx)
		if len(unfinished) == 0 || !every.Sleep(recoveryCtx, f.cluster.clock, pollInterval) {
			return unfinished
		}
	}
}

// findUnfinished describes the accepted jobs that have not ended and the daemons that have not recovered.
func (f *fleet) findUnfinished(ctx context.Context) []string {
	var out []string
	nodes := f.liveNodes()
	for _, id := range f.recorder.openJobs() {
		n := nodes[f.random.IntN(len(nodes))]
		status, err := n.client.status(ctx, id)
		if err != nil {
			out = append(out, fmt.Sprintf("job %s: %v", id, err))
			continue
		}
		f.recorder.recordStatus(id, status)
		if !isFinal(status.State) {
			out = append(out, fmt.Sprintf("job %s: %+v", id, status))
		}
	}
	newest := f.recorder.newestRevision()
	for _, n := range nodes {
		if n.daemon.Revision() < newest {
			out = append(out, fmt.Sprintf("%s has revision %d in force, %d was accepted", n.id, n.daemon.Revision(), newest))
		}
		if !f.isAnswering(ctx, n) {
			out = append(out, fmt.Sprintf("%s does not answer requests", n.id))
		}
	}
	return out
}

func (f *fleet) report(unfinished []string) *Report {
	h := f.recorder.history()
	h.Workers = f.cluster.workerRecords()
	h.Executions = f.cluster.Platform.Runners.Record()
	h.Leavings = f.cluster.leavingRecords()
	r := &Report{Seed: f.config.Seed, Violations: check.All(&h), NotRecovered: unfinished, trace: f.trace}
	r.Counts = Counts{
		Requests: len(h.Exchanges), Jobs: len(h.Submissions), Executions: len(h.Executions),
		Revisions: len(h.Acceptances), Faults: f.faultCount,
	}
	for i := range h.Exchanges {
		if a := h.Exchanges[i].Answer; a != nil && a.Outcome == types.OutcomeDone {
			r.Counts.Done++
		}
	}
	for _, w := range h.Workers {
		r.Counts.Runs += len(w.Runs)
	}
	return r
}
