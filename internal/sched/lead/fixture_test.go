package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	testDataCentre  types.DataCentre = "carthage"
	otherDataCentre types.DataCentre = "sousse"
	testRegion      types.Region     = "tunis-north"
	testTeam        types.TeamID     = "desk"
)

type (
	// fixture holds stand-ins of the outside services, the workers of one data centre to begin with, and some
	// daemons. The asynchronous operations of the daemons run synchronously within a tick.
	fixture struct {
		t       *testing.T
		ctx     context.Context
		clock   *clockwork.FakeClock
		store   *store.Memory
		list    *vmlist.Memory
		net     *peer.Network
		meter   *meter.Meter
		doc     *envdoc.Document
		rev     types.Revision
		workers map[types.VMID]*worker.Memory
		vms     map[types.VMID]types.VM
		daemons []*daemon
		jobs    map[types.JobID]types.Job
		// refused holds the jobs whose caller got an error that says that nothing was done.
		refused map[types.JobID]bool
	}

	daemon struct {
		*Leader
		target peer.Target
		dead   bool
		paused bool
		epochs []types.Epoch
	}

	// killed is the panic value that ends a daemon at a step.
	killed struct{}
)

func newFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC))
	doc := envdoc.Default()
	// The tests use all cores of the workers, so no headroom is reserved for urgent work.
	doc.Placement.UrgentHeadroom = 0
	doc.Teams = []envdoc.Team{{
		Name: testTeam, MaxClass: types.ClassUrgent,
		Quota: types.Resources{Cores: 1000 * types.Core, Memory: 1000 * types.GiB, Accelerators: 100},
	}}
	f := &fixture{
		t: t, ctx: context.Background(), clock: clock, doc: &doc, rev: 1,
		store:   store.NewMemory(clock, testRegion),
		list:    vmlist.NewMemory(clock, testRegion, 0),
		net:     peer.NewNetwork(),
		meter:   meter.New(metrics.NewRegistry(), testRegion),
		workers: make(map[types.VMID]*worker.Memory),
		vms:     make(map[types.VMID]types.VM),
		jobs:    make(map[types.JobID]types.Job),
		refused: make(map[types.JobID]bool),
	}
	for i := range workers {
		f.addWorker(testDataCentre, i)
	}
	return f
}

func (f *fixture) document() (*envdoc.Document, types.Revision) { return f.doc, f.rev }

func (f *fixture) addWorker(dc types.DataCentre, i int) types.VMID {
	vm := types.VM{
		ID: types.VMID(fmt.Sprintf("%s-w%02d", dc, i)), Role: types.RoleWorker, State: types.VMLive,
		Site:     types.Site{Region: testRegion, DataCentre: dc, Rack: types.Rack(fmt.Sprintf("rack%d", i/8))},
		Address:  types.Address(fmt.Sprintf("10.0.0.%d:1", i)),
		Capacity: types.Resources{Cores: 4 * types.Core, Memory: 8 * types.GiB},
	}
	f.vms[vm.ID] = vm
	f.workers[vm.ID] = worker.NewMemory(f.clock, vm, nil)
	f.list.Set(vm)
	return vm.ID
}

func (f *fixture) addDaemon(dc types.DataCentre, name string) *daemon {
	f.t.Helper()
	m := &daemon{target: peer.Target{
		VM: types.VMID(name), Site: types.Site{Region: testRegion, DataCentre: dc}, Address: types.Address(name + ":1"),
	}}
	fleet := worker.NewFleet(m.target.Site, f.meter)
	for _, w := range f.workers {
		fleet.Add(w)
	}
	node := f.net.Join(m.target, f.meter)
	l, err := New(Config{
		Self: m.target, Clock: f.clock, Store: f.store.As(dc, f.meter), Workers: fleet,
		VMs: f.list.As(dc, f.meter), Planner: plan.New(plan.Config{Document: f.document, ExternalServices: true}), Audit: audit.Discard{}, Peers: node,
		Document: f.document,
		Entries:  f.entries,
		OnEpoch: func(e types.Epoch, leading bool) {
			if leading {
				m.epochs = append(m.epochs, e)
			}
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	l.spawn = func(run func()) { run() }
	m.Leader = l
	if err := node.Register("Jobs", &jobsStandIn{fixture: f, daemon: m}); err != nil {
		f.t.Fatal(err)
	}
	f.daemons = append(f.daemons, m)
	return m
}

// jobsStandIn is the stand-in of the service of package jobs.
type jobsStandIn struct {
	fixture *fixture
	daemon  *daemon
}

// Take commits a transfer at once, since the daemons of the fixture tick in the caller's goroutine.
func (s *jobsStandIn) Take(t *Transfer, reply *Taken) error {
	l := s.daemon.Leader
	found, err := readTransfer(context.Background(), l.cfg.Store, handoverKey(t.Job.ID, t.Hop))
	if err != nil {
		return peer.Wire(err)
	}
	if found.To != l.dataCentre() {
		return peer.Wire(errs.New(errs.Conflict, "job %s belongs to %s", t.Job.ID, found.To))
	}
	l.mu.Lock()
	w, err := l.enqueueTransfer(found)
	l.mu.Unlock()
	if err == nil && w != nil {
		s.fixture.tickDaemon(s.daemon)
		select {
		case err = <-w.outcome:
		default:
			err = errs.New(errs.Unknown, "not committed yet")
		}
	}
	reply.Job = t.Job.ID
	return peer.Wire(err)
}

func (f *fixture) entries() []peer.Target {
	var out []peer.Target
	for _, m := range f.daemons {
		if !m.dead && !m.paused {
			out = append(out, m.target)
		}
	}
	return out
}

// tick advances the clock, ticks every running daemon once and checks the invariants.
func (f *fixture) tick() {
	f.t.Helper()
	f.clock.Advance(tickInterval)
	for _, m := range f.daemons {
		f.tickDaemon(m)
	}
	f.checkInvariants()
}

// tickDaemon ticks one daemon, which a test may kill at a step.
func (f *fixture) tickDaemon(m *daemon) {
	if m.dead || m.paused {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
			m.dead = true
		}
	}()
	m.Tick(f.ctx)
}

func (f *fixture) run(d time.Duration) {
	f.t.Helper()
	for range int(d / tickInterval) {
		f.tick()
	}
}

// waitUntil ticks until the condition holds, and returns the time that it took.
func (f *fixture) waitUntil(timeout time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	start := f.clock.Now()
	for !done() {
		if f.clock.Since(start) > timeout {
			f.t.Fatalf("not within %s: %s", timeout, what)
		}
		f.tick()
	}
	return f.clock.Since(start)
}

// leader returns the leader of the first data centre, or nil if there is none.
func (f *fixture) leader() *daemon { return f.leaderOf(testDataCentre) }

func (f *fixture) hasLeader() bool { return f.leader() != nil }

// job returns a batch job, which checkRecords knows from then on.
func (f *fixture) job(name string, change func(j *types.Job)) types.Job {
	j := types.Job{
		ID: types.JobID(string(testDataCentre) + ".1." + name), Name: name, Team: testTeam, Class: types.ClassNormal,
		Task: types.TaskSpec{
			Resources: types.Resources{Cores: types.Core, Memory: types.GiB}, RunTime: 5 * time.Second, Idempotent: true,
		},
		Batch: &types.Batch{Count: 1},
	}
	if change != nil {
		change(&j)
	}
	f.jobs[j.ID] = j
	return j
}

// submit submits a job to a daemon. The returned function reports whether the outcome is known, and the error.
func (f *fixture) submit(m *daemon, j types.Job) func() (bool, error) {
	m.mu.Lock()
	w, err := m.submit(j)
	m.mu.Unlock()
	if err != nil {
		f.refused[j.ID] = errs.Is(err, errs.Unavailable, errs.Denied, errs.Impossible)
	}
	known := err != nil || w == nil
	return func() (bool, error) {
		if known {
			return true, err
		}
		select {
		case err = <-w.outcome:
			known = true
			f.refused[j.ID] = errs.Is(err, errs.Unavailable)
		default:
		}
		return known, err
	}
}

// accept submits a job and ticks until it is accepted.
func (f *fixture) accept(j types.Job) {
	f.t.Helper()
	outcome := f.submit(f.leader(), j)
	f.waitUntil(5*time.Second, "acceptance of "+string(j.ID), func() bool {
		known, err := outcome()
		if err != nil {
			f.t.Fatal(err)
		}
		return known
	})
}

func (f *fixture) state(id types.JobID) types.JobState {
	m := f.leader()
	if m == nil {
		return ""
	}
	s, err := m.Status(f.ctx, id)
	if err != nil {
		return ""
	}
	return s.State
}

// checkInvariants verifies the tables of every daemon and the records of the workers.
func (f *fixture) checkInvariants() {
	f.t.Helper()
	for _, m := range f.daemons {
		if m.dead {
			continue
		}
		if err := table.Verify(m.state); err != nil {
			f.t.Fatalf("%s: %v", m.target.VM, err)
		}
		if n := metrics.GetOrRegisterCounter("Lead.RulesBroken", m.cfg.Metrics).Count(); n > 0 {
			f.t.Fatalf("%s violated %d invariants", m.target.VM, n)
		}
	}
	f.checkRecords()
}

// checkRecords checks the records of the workers, independently of the tables of the leaders: no refused job ran,
// no worker is overfilled, no booking runs in two places, and no task that must run at most once ran again.
func (f *fixture) checkRecords() {
	f.t.Helper()
	running := make(map[types.TaskID]int)
	tries := make(map[types.TaskID]int)
	for id, w := range f.workers {
		used := types.Resources{}
		for _, run := range w.Record() {
			task := run.Attempt.Task()
			tries[task]++
			if f.refused[task.Job()] {
				f.t.Fatalf("job %s was refused as not run, but attempt %s ran", task.Job(), run.Attempt)
			}
			if !run.End.IsZero() {
				continue
			}
			used = used.Add(run.Declared)
			if run.Booking {
				running[task]++
			}
		}
		if !used.Fits(f.vms[id].Capacity) {
			f.t.Fatalf("worker %s runs %s of %s", id, used, f.vms[id].Capacity)
		}
	}
	for task, n := range running {
		if n > 1 {
			f.t.Fatalf("booking task %s runs in %d places", task, n)
		}
	}
	for task, n := range tries {
		j := f.jobs[task.Job()]
		if n > 1 && j.Batch != nil && !j.Task.Idempotent && !j.Task.CanCheckpoint {
			f.t.Fatalf("task %s, which must run at most once, ran %d times", task, n)
		}
	}
}

func (f *fixture) writes() int64 {
	return f.meter.Get(store.KindPut, meter.Calls)
}
