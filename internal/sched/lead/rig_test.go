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
	testSite   types.DataCentre = "carthage"
	otherSite  types.DataCentre = "sousse"
	testRegion types.Region     = "tunis-north"
	testTeam   types.TeamID     = "desk"
)

type (
	// rig is a data centre of stand-ins with some daemons, whose launches run in place.
	rig struct {
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
		leads   []*member
		jobs    map[types.JobID]types.Job
		// refused holds the jobs of which a caller was told that nothing was done.
		refused map[types.JobID]bool
	}

	member struct {
		*Leader
		target peer.Target
		dead   bool
		paused bool
		epochs []types.Epoch
	}

	// killed is the panic that ends a lead at a step.
	killed struct{}
)

func newRig(t *testing.T, workers int) *rig {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC))
	doc := envdoc.Default()
	// The tests fill workers to the last core.
	doc.Placement.UrgentHeadroom = 0
	doc.Teams = []envdoc.Team{{
		Name: testTeam, MaxClass: types.ClassUrgent,
		Quota: types.Resources{Cores: 1000 * types.Core, Memory: 1000 * types.GiB, Accelerators: 100},
	}}
	r := &rig{
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
		r.addWorker(testSite, i)
	}
	return r
}

func (r *rig) document() (*envdoc.Document, types.Revision) { return r.doc, r.rev }

func (r *rig) addWorker(site types.DataCentre, i int) types.VMID {
	vm := types.VM{
		ID: types.VMID(fmt.Sprintf("%s-w%02d", site, i)), Role: types.RoleWorker, State: types.VMLive,
		Site:     types.Site{Region: testRegion, DataCentre: site, Rack: types.Rack(fmt.Sprintf("rack%d", i/8))},
		Address:  types.Address(fmt.Sprintf("10.0.0.%d:1", i)),
		Capacity: types.Resources{Cores: 4 * types.Core, Memory: 8 * types.GiB},
	}
	r.vms[vm.ID] = vm
	r.workers[vm.ID] = worker.NewMemory(r.clock, vm, nil)
	r.list.Set(vm)
	return vm.ID
}

func (r *rig) addLead(site types.DataCentre, name string) *member {
	r.t.Helper()
	m := &member{target: peer.Target{
		VM: types.VMID(name), Site: types.Site{Region: testRegion, DataCentre: site}, Address: types.Address(name + ":1"),
	}}
	fleet := worker.NewFleet(m.target.Site, r.meter)
	for _, w := range r.workers {
		fleet.Add(w)
	}
	node := r.net.Join(m.target, r.meter)
	l, err := New(Config{
		Self: m.target, Clock: r.clock, Store: r.store.As(site, r.meter), Workers: fleet,
		VMs: r.list.As(site, r.meter), Planner: plan.New(plan.Config{Document: r.document, KeepServices: true}), Audit: audit.Discard{}, Peers: node,
		Document: r.document,
		Entries:  r.entries,
		OnEpoch: func(e types.Epoch, leading bool) {
			if leading {
				m.epochs = append(m.epochs, e)
			}
		},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	l.spawn = func(run func()) { run() }
	m.Leader = l
	if err := node.Register("Jobs", &taker{rig: r, member: m}); err != nil {
		r.t.Fatal(err)
	}
	r.leads = append(r.leads, m)
	return m
}

// taker stands in for the service of package jobs.
type taker struct {
	rig    *rig
	member *member
}

// Take commits a transfer at once, since the rig's leads tick in the caller's goroutine.
func (k *taker) Take(t *Transfer, reply *Taken) error {
	l := k.member.Leader
	found, err := readTransfer(context.Background(), l.cfg.Store, handoverKey(t.Job.ID, t.Hop))
	if err != nil {
		return peer.Wire(err)
	}
	if found.To != l.site() {
		return peer.Wire(errs.New(errs.Conflict, "job %s belongs to %s", t.Job.ID, found.To))
	}
	l.mu.Lock()
	w, err := l.takeIn(found)
	l.mu.Unlock()
	if err == nil && w != nil {
		k.rig.step(k.member)
		select {
		case err = <-w.done:
		default:
			err = errs.New(errs.Unknown, "not committed yet")
		}
	}
	reply.Job = t.Job.ID
	return peer.Wire(err)
}

func (r *rig) entries() []peer.Target {
	var out []peer.Target
	for _, m := range r.leads {
		if !m.dead && !m.paused {
			out = append(out, m.target)
		}
	}
	return out
}

// tick has every running daemon do one step, and checks the invariants.
func (r *rig) tick() {
	r.t.Helper()
	r.clock.Advance(tickPeriod)
	for _, m := range r.leads {
		r.step(m)
	}
	r.check()
}

// step ticks one daemon, which may be killed on the way.
func (r *rig) step(m *member) {
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
	m.Tick(r.ctx)
}

func (r *rig) run(d time.Duration) {
	r.t.Helper()
	for range int(d / tickPeriod) {
		r.tick()
	}
}

// until ticks until the condition holds.
func (r *rig) until(limit time.Duration, what string, done func() bool) time.Duration {
	r.t.Helper()
	start := r.clock.Now()
	for !done() {
		if r.clock.Since(start) > limit {
			r.t.Fatalf("not within %s: %s", limit, what)
		}
		r.tick()
	}
	return r.clock.Since(start)
}

// lead returns the lead of the first data centre.
func (r *rig) lead() *member { return r.leadOf(testSite) }

func (r *rig) hasLead() bool { return r.lead() != nil }

// job returns a batch job that is remembered for the checks.
func (r *rig) job(name string, change func(j *types.Job)) types.Job {
	j := types.Job{
		ID: types.JobID(string(testSite) + ".1." + name), Name: name, Team: testTeam, Class: types.ClassNormal,
		Task: types.TaskSpec{
			Resources: types.Resources{Cores: types.Core, Memory: types.GiB}, RunTime: 5 * time.Second, Idempotent: true,
		},
		Batch: &types.Batch{Count: 1},
	}
	if change != nil {
		change(&j)
	}
	r.jobs[j.ID] = j
	return j
}

// submit hands a job to a lead; the returned function tells the outcome once it is known.
func (r *rig) submit(m *member, j types.Job) func() (bool, error) {
	m.mu.Lock()
	w, err := m.submit(j)
	m.mu.Unlock()
	if err != nil {
		r.refused[j.ID] = errs.Is(err, errs.Unavailable, errs.Denied, errs.Impossible)
	}
	known := err != nil || w == nil
	return func() (bool, error) {
		if known {
			return true, err
		}
		select {
		case err = <-w.done:
			known = true
			r.refused[j.ID] = errs.Is(err, errs.Unavailable)
		default:
		}
		return known, err
	}
}

// accept submits a job and ticks until it is accepted.
func (r *rig) accept(j types.Job) {
	r.t.Helper()
	outcome := r.submit(r.lead(), j)
	r.until(5*time.Second, "acceptance of "+string(j.ID), func() bool {
		known, err := outcome()
		if err != nil {
			r.t.Fatal(err)
		}
		return known
	})
}

func (r *rig) state(id types.JobID) types.JobState {
	m := r.lead()
	if m == nil {
		return ""
	}
	s, err := m.Status(r.ctx, id)
	if err != nil {
		return ""
	}
	return s.State
}

// check verifies the tables of every daemon and the workers' own records.
func (r *rig) check() {
	r.t.Helper()
	for _, m := range r.leads {
		if m.dead {
			continue
		}
		if err := table.Verify(m.state); err != nil {
			r.t.Fatalf("%s: %v", m.target.VM, err)
		}
		if n := metrics.GetOrRegisterCounter("Lead.RulesBroken", m.cfg.Metrics).Count(); n > 0 {
			r.t.Fatalf("%s broke %d rules", m.target.VM, n)
		}
	}
	r.checkRecords()
}

// checkRecords checks what the workers themselves noted, whatever the leads believe.
func (r *rig) checkRecords() {
	r.t.Helper()
	running := make(map[types.TaskID]int)
	tries := make(map[types.TaskID]int)
	for id, w := range r.workers {
		used := types.Resources{}
		for _, run := range w.Record() {
			task := run.Attempt.Task()
			tries[task]++
			if r.refused[task.Job()] {
				r.t.Fatalf("job %s was refused as not run, %s ran", task.Job(), run.Attempt)
			}
			if !run.End.IsZero() {
				continue
			}
			used = used.Add(run.Declared)
			if run.Booking {
				running[task]++
			}
		}
		if !used.Fits(r.vms[id].Capacity) {
			r.t.Fatalf("worker %s runs %s of %s", id, used, r.vms[id].Capacity)
		}
	}
	for task, n := range running {
		if n > 1 {
			r.t.Fatalf("booking task %s runs in %d places", task, n)
		}
	}
	for task, n := range tries {
		j := r.jobs[task.Job()]
		if n > 1 && j.Batch != nil && !j.Task.Idempotent && !j.Task.CanCheckpoint {
			r.t.Fatalf("task %s, which must run at most once, ran %d times", task, n)
		}
	}
}

func (r *rig) writes() int64 {
	return r.meter.Get(store.KindPut, meter.Calls)
}
